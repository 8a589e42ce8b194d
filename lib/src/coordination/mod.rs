//! Coordination: what entry hosts agree on without writing shared state.

pub(crate) mod message;

pub use message::*;
