//! Stand-ins for engines, plain services and the platform, for tests and the demo.
//!
//! Each implements the interface in `docs/platform.md` over HTTP on loopback and can inject the
//! faults that the system must survive. Many can run in one process, on the caller's runtime.

pub(crate) mod clock;
pub mod customers;
pub mod engine;
pub(crate) mod engine_core;
pub(crate) mod engine_http;
pub mod engine_model;
pub mod engine_orders;
pub mod exports;
pub mod fleet;
pub mod live;
pub mod operators;
pub mod platform;
pub mod ports;
pub mod prefix_cache;
pub mod process;
pub(crate) mod rate;
pub mod records;
pub mod relay;
pub mod server;
pub mod service;
pub mod stream_faults;
pub mod text;
pub mod weight_store;
