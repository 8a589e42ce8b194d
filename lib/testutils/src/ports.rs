//! Ports for processes that are told where to listen before they start.

use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

/// The first port that is given out.
///
/// The range lies below the ports that systems give to outgoing connections, which could otherwise
/// take a port between its choice and the process's start.
const FIRST_PORT: u32 = 20_000;

/// How many ports may be given out.
const PORTS: u32 = 12_000;

/// The ports that each process of tests starts from lie this far apart.
const PROCESS_STRIDE: u32 = 131;

/// Returns a port of the loopback address at which nothing listens, another at each call.
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
