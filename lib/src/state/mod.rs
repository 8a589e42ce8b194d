//! State: what one entry host knows and decides about requests, engines and customers.
//!
//! Nothing here reads a clock, opens a socket or knows of the layers above.

pub(crate) mod answer;
pub(crate) mod event;
pub(crate) mod fleet;
pub(crate) mod names;
pub(crate) mod outcome;
pub(crate) mod request;
pub(crate) mod rules;
pub(crate) mod time;
pub(crate) mod tuning;

pub use answer::*;
pub use event::*;
pub use fleet::*;
pub use names::*;
pub use outcome::*;
pub use request::*;
pub use rules::*;
pub use time::*;
pub use tuning::*;
