//! Coordination between entry hosts without writable shared state.

mod claims;
pub(crate) mod config_sync;
pub(crate) mod config_sync_delta;
mod config_sync_reader;
pub(crate) mod gateway;
pub(crate) mod home;
mod home_decision;
mod home_forwarding;
mod home_handover;
mod home_lease;
pub(crate) mod lease;
mod lease_voter;
pub(crate) mod members;
pub(crate) mod message;
pub(crate) mod node;
pub(crate) mod rendezvous;
pub(crate) mod targets;
mod voter_sets;

pub use config_sync::*;
pub use config_sync_delta::*;
pub use gateway::*;
pub use home::*;
pub use lease::SHARD_COUNT;
pub use lease::shard_of;
pub use members::*;
pub use message::*;
pub use node::*;
pub use rendezvous::first_ranked;
pub use rendezvous::rank;
pub use targets::*;
