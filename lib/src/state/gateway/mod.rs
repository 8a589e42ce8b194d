//! State of the gateway: routes, load per server, server health, retry budgets and the age of the
//! configuration. The gateway relays request bodies without reading them.

pub(crate) mod answered_parts;
pub(crate) mod budget;
pub(crate) mod catalog;
pub(crate) mod catalog_check;
pub(crate) mod crash_evidence;
pub(crate) mod demand;
pub(crate) mod engine_profile;
pub(crate) mod facts;
pub(crate) mod freshness;
pub(crate) mod group_choice;
pub(crate) mod health;
pub(crate) mod limit_table;
pub(crate) mod load_table;
pub(crate) mod pause;
pub(crate) mod prompt_part;
pub(crate) mod rate_bucket;
pub(crate) mod request_rate;
pub(crate) mod server;
pub(crate) mod source_era;
pub(crate) mod ticket_renewal;

pub use answered_parts::*;
pub use budget::*;
pub use catalog::*;
pub use catalog_check::*;
pub use crash_evidence::*;
pub use demand::*;
pub use engine_profile::*;
pub use facts::*;
pub use freshness::*;
pub use group_choice::*;
pub use health::*;
pub use limit_table::*;
pub use load_table::*;
pub use pause::*;
pub use prompt_part::*;
pub use rate_bucket::*;
pub use request_rate::*;
pub use server::*;
pub use source_era::*;
pub use ticket_renewal::*;
