//! The loads behind `wasabicrank demo` and `wasabicrank measure`.
//!
//! [`load`] sends a seeded load over HTTP and compares what callers were told with what ran.
//! [`replay`] replays a seeded list of arrivals in virtual time against the core's decisions and
//! against [`naive`] routers.

pub mod gateway;
pub mod load;
pub mod naive;
pub mod replay;
pub mod replay_fleet;
pub mod replay_load;
pub mod replay_measure;
pub(crate) mod replay_origin;
