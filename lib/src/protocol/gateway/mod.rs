//! Formats of the gateway: its settings, the messages between entry hosts, the events of streamed
//! responses, and traces from its logs.

pub(crate) mod cold_wire;
pub(crate) mod crash_wire;
pub(crate) mod event_splitter;
pub(crate) mod limit_wire;
pub(crate) mod load_wire;
pub(crate) mod log_trace;
pub(crate) mod move_wire;
pub(crate) mod permit_wire;
pub(crate) mod settings;
pub(crate) mod zone_wire;

pub use event_splitter::*;
pub use load_wire::*;
pub use log_trace::*;
pub use move_wire::*;
pub use permit_wire::*;
pub use settings::*;
