//! Transport of the gateway: connections to callers and servers, peer datagrams, and process start,
//! reload and shutdown. The decisions are made by `Gateway` in `coordination`.
//!
//! Everything runs on one thread: an entry host has a fraction of one core, on which thread switches
//! cost more than parallelism gains. Only the log writer has its own thread.

pub(crate) mod active_send;
pub(crate) mod byte_meter;
pub(crate) mod caller_stream;
pub(crate) mod clock;
pub(crate) mod cold_servers;
pub(crate) mod context;
pub(crate) mod crash_check;
pub(crate) mod dialect;
pub(crate) mod event_queue;
pub(crate) mod event_relay;
pub(crate) mod exchange;
pub(crate) mod exchange_log;
pub(crate) mod fleet_source;
pub(crate) mod health_checks;
pub(crate) mod hedge;
pub(crate) mod limits;
pub(crate) mod listener;
pub(crate) mod memory_reservation;
pub(crate) mod moves;
pub(crate) mod pauses;
pub(crate) mod peer_socket;
pub(crate) mod permits;
pub(crate) mod process;
pub(crate) mod request_body;
pub(crate) mod response_body;
pub(crate) mod response_head;
pub(crate) mod successor;
pub(crate) mod telemetry;
pub(crate) mod upstream;

pub use byte_meter::*;
pub use clock::BootClock;
pub use dialect::*;
pub use fleet_source::*;
pub use process::*;
