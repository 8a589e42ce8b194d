//! Transport of the gateway: connections of callers and servers, the peers' datagrams and the
//! process's life. Decisions are the gateway's in `coordination`.
//!
//! Everything runs on one thread: an entry host has a part of one core, on which a change of threads
//! costs more than it gives. Only the log's writer has a thread of its own.

pub(crate) mod answer_body;
pub(crate) mod answer_head;
pub(crate) mod clock;
pub(crate) mod context;
pub(crate) mod dialect;
pub(crate) mod event_relay;
pub(crate) mod exchange;
pub(crate) mod exchange_log;
pub(crate) mod fleet_source;
pub(crate) mod listener;
pub(crate) mod memory_tickets;
pub(crate) mod peer_socket;
pub(crate) mod process;
pub(crate) mod request_body;
pub(crate) mod telemetry;
pub(crate) mod upstream;

pub use clock::BootClock;
pub use dialect::*;
pub use fleet_source::*;
pub use process::*;
