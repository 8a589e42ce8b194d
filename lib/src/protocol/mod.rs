//! Protocol: wire types, their versions and limits, and their way into the core's types.

pub(crate) mod settings;

pub use settings::*;
