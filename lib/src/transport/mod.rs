//! Transport: sockets, HTTP, timers and threads; it takes no decisions.
