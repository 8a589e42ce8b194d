//! State: what one entry host knows and decides about requests, engines and customers.
//!
//! Nothing here reads a clock, opens a socket or knows of the layers above.

pub(crate) mod answer;
pub(crate) mod ask;
pub(crate) mod engine_queue;
pub(crate) mod engine_queue_order;
pub(crate) mod engine_queue_policy;
pub(crate) mod engine_queue_rate;
pub(crate) mod engine_queue_room;
pub(crate) mod engine_queue_ticket;
pub(crate) mod event;
pub(crate) mod fleet;
pub(crate) mod limits;
pub(crate) mod limits_bucket;
pub(crate) mod long_group;
pub(crate) mod memory;
pub(crate) mod names;
pub(crate) mod orders;
pub(crate) mod outcome;
pub(crate) mod placement;
pub(crate) mod placement_estimate;
pub(crate) mod placement_group;
pub(crate) mod placement_reserve;
pub(crate) mod prefix;
pub(crate) mod request;
pub(crate) mod retry_budget;
pub(crate) mod rules;
pub(crate) mod time;
pub(crate) mod tuning;

pub use answer::*;
pub use ask::*;
pub use engine_queue::*;
pub use engine_queue_order::LONG_TOKENS;
pub use engine_queue_order::LengthClass;
pub use engine_queue_order::SHORT_TOKENS;
pub use engine_queue_order::engine_priority;
pub use engine_queue_policy::*;
pub use engine_queue_ticket::ListedAttempt;
pub use engine_queue_ticket::Suspect;
pub use event::*;
pub use fleet::*;
pub use limits::*;
pub use long_group::*;
pub use memory::*;
pub use names::*;
pub use orders::*;
pub use outcome::*;
pub use placement::*;
pub use prefix::*;
pub use request::*;
pub use retry_budget::*;
pub use rules::*;
pub use time::*;
pub use tuning::*;
