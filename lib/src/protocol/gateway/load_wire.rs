//! The datagram that entry hosts send each other, in postcard.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::PeerSummary;
use crate::state::ServerLoad;

/// The version of the datagram's form; others are dropped.
const WIRE_VERSION: u8 = 1;

/// The largest datagram that is read, in bytes.
pub const MAX_DATAGRAM: usize = 16 * 1024;

/// The most servers in one datagram.
const MAX_LOADS: usize = 700;

#[derive(Debug, Serialize, Deserialize)]
struct WireSummary {
    version: u8,
    incarnation: u64,
    sequence: u64,
    catalog_version: u64,
    is_usable: bool,
    queued_ms: u32,
    known: Vec<u32>,
    loads: Vec<WireLoad>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLoad {
    server: u64,
    backlog_ms: u32,
    tight: u16,
    loose: u16,
    tokens: u64,
    is_doubtful: bool,
}

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramError {
    /// It has another form than this version reads.
    Malformed,
    /// It is of another version.
    OtherVersion(u8),
}

/// Writes a summary as a datagram; the servers beyond the limit are left out.
///
/// # Errors
///
/// Postcard's error, which a summary of this form does not cause.
pub fn encode_summary(summary: &PeerSummary) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&WireSummary::from(summary))
}

/// Reads a datagram.
///
/// ```
/// use wasabicrank_lib::protocol::{DatagramError, decode_summary};
/// assert_eq!(decode_summary(&[9, 0]).unwrap_err(), DatagramError::OtherVersion(9));
/// ```
pub fn decode_summary(datagram: &[u8]) -> Result<PeerSummary, DatagramError> {
    match datagram.first() {
        Some(&WIRE_VERSION) => {}
        Some(&version) => return Err(DatagramError::OtherVersion(version)),
        None => return Err(DatagramError::Malformed),
    }
    let wire: WireSummary =
        postcard::from_bytes(datagram).map_err(|_| DatagramError::Malformed)?;
    Ok(PeerSummary::from(wire))
}

fn millis(span: Duration) -> u32 {
    u32::try_from(span.as_millis()).unwrap_or(u32::MAX)
}

impl From<&PeerSummary> for WireSummary {
    fn from(summary: &PeerSummary) -> WireSummary {
        let loads = summary.loads.iter().take(MAX_LOADS).map(|(server, load)| WireLoad {
            server: *server,
            backlog_ms: millis(load.backlog),
            tight: u16::try_from(load.tight).unwrap_or(u16::MAX),
            loose: u16::try_from(load.loose).unwrap_or(u16::MAX),
            tokens: load.tokens,
            is_doubtful: load.doubtful,
        });
        WireSummary {
            version: WIRE_VERSION,
            incarnation: summary.incarnation,
            sequence: summary.sequence,
            catalog_version: summary.version,
            is_usable: summary.is_usable,
            queued_ms: millis(summary.queued),
            known: summary.known.iter().map(|address| u32::from(*address)).collect(),
            loads: loads.collect(),
        }
    }
}

impl From<WireSummary> for PeerSummary {
    fn from(wire: WireSummary) -> PeerSummary {
        let loads = wire.loads.into_iter().map(|load| {
            let decoded = ServerLoad {
                backlog: Duration::from_millis(load.backlog_ms.into()),
                tight: load.tight.into(),
                loose: load.loose.into(),
                tokens: load.tokens,
                doubtful: load.is_doubtful,
            };
            (load.server, decoded)
        });
        PeerSummary {
            incarnation: wire.incarnation,
            sequence: wire.sequence,
            version: wire.catalog_version,
            is_usable: wire.is_usable,
            queued: Duration::from_millis(wire.queued_ms.into()),
            known: wire.known.into_iter().map(Ipv4Addr::from).collect(),
            loads: loads.collect(),
        }
    }
}
