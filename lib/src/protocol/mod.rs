//! Protocol: wire types, their versions and limits, and their way into the core's types.

pub(crate) mod caller_api;
pub(crate) mod engine_api;
pub(crate) mod platform_api;
pub(crate) mod settings;

pub use settings::*;
