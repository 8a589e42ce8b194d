//! State of the gateway: routes, engines' loads, servers' health, budgets and the age of the
//! configuration. The gateway relays requests whose bodies it does not read.

pub(crate) mod board;
pub(crate) mod budget;
pub(crate) mod catalog;
pub(crate) mod demand;
pub(crate) mod engine_profile;
pub(crate) mod facts;
pub(crate) mod freshness;
pub(crate) mod group_choice;
pub(crate) mod health;
pub(crate) mod server;
pub(crate) mod ticket_renewal;

pub use board::*;
pub use budget::*;
pub use catalog::*;
pub use demand::*;
pub use engine_profile::*;
pub use facts::*;
pub use freshness::*;
pub use group_choice::*;
pub use health::*;
pub use server::*;
pub use ticket_renewal::*;
