//! Protocol: wire types, their versions and limits, and their way into the core's types.

pub(crate) mod frame;
pub(crate) mod peer_wire;

pub use frame::*;
pub use peer_wire::*;
