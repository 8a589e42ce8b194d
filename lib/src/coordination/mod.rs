//! Coordination: what entry hosts agree on without writing shared state.

mod claims;
pub(crate) mod config_sync;
pub(crate) mod config_sync_delta;
mod config_sync_reader;
pub(crate) mod gateway;
pub(crate) mod home;
mod home_decide;
mod home_forward;
mod home_lease;
mod home_stop;
pub(crate) mod lease;
mod lease_sets;
mod lease_voter;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod node;
pub(crate) mod rendezvous;
pub(crate) mod targets;

pub use config_sync::*;
pub use config_sync_delta::*;
pub use gateway::*;
pub use home::*;
pub use lease::SHARDS;
pub use lease::shard_of;
pub use members::*;
pub use message::*;
pub use node::*;
pub use rendezvous::first_ranked;
pub use rendezvous::rank;
pub use targets::*;
