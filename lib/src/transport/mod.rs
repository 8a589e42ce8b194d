//! Transport: sockets, HTTP, timers and threads; it makes no decisions.

pub(crate) mod caller_response;
pub(crate) mod caller_stream;
pub(crate) mod callers;
pub(crate) mod core_thread;
pub(crate) mod daemon;
pub(crate) mod engine_client;
pub(crate) mod event_log;
pub(crate) mod gateway;
pub(crate) mod logging;
pub(crate) mod metrics;
pub(crate) mod operator_origin;
pub(crate) mod operators;
pub(crate) mod page;
pub(crate) mod peer_links;
pub(crate) mod platform_client;
pub(crate) mod ring;
pub(crate) mod service_client;

pub use daemon::*;
pub use gateway::*;
pub use logging::make_logger;
pub use logging::make_stdout_logger;
pub use metrics::*;
pub use peer_links::*;
