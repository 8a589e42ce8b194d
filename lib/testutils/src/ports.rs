//! Allocates ports for processes whose listen address is configured before they start.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The first port of the allocated range.
///
/// The range lies below the ephemeral port range, since an outgoing connection could otherwise take
/// a port between its allocation and the process's start.
const FIRST_PORT: u32 = 20_000;

/// The size of the allocated range.
const PORTS: u32 = 12_000;

/// The distance between the first ports tried by different test processes.
const PROCESS_STRIDE: u32 = 131;

/// Returns an unused port of the loopback address, a different one on each call.
///
/// ```
/// let (first, second) = (wasabicrank_testutils::ports::free_port(), wasabicrank_testutils::ports::free_port());
/// assert_ne!(first, second);
/// ```
pub fn free_port() -> u16 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let start = std::process::id().wrapping_mul(PROCESS_STRIDE);
    loop {
        let offset = start.wrapping_add(NEXT.fetch_add(1, Ordering::Relaxed)) % PORTS;
        let port = u16::try_from(FIRST_PORT + offset).unwrap_or(u16::MAX);
        if TcpListener::bind((Ipv4Addr::LOCALHOST, port)).is_ok() {
            return port;
        }
    }
}
