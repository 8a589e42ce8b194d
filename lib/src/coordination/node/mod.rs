//! The core: one `Node` an entry host, driven by inputs and giving outputs.

mod io;

pub use io::*;
