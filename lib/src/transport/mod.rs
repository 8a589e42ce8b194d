//! Transport: sockets, HTTP, timers and threads; it takes no decisions.

pub(crate) mod peer_links;

pub use peer_links::*;
