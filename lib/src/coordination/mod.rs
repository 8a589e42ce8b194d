//! Coordination: what entry hosts agree on without writing shared state.

pub(crate) mod message;
pub(crate) mod node;

pub use message::*;
pub use node::*;
