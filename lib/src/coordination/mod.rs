//! Coordination: what entry hosts agree on without writing shared state.

pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod node;
pub(crate) mod rendezvous;

pub use members::*;
pub use message::*;
pub use node::*;
pub use rendezvous::first_ranked;
pub use rendezvous::rank;
