//! Wire format of the load datagrams that entry hosts send each other, in postcard.

use std::net::Ipv4Addr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::cold_wire::WireColdServers;
use super::crash_wire::WireCrashes;
use super::limit_wire::WireLimits;
use super::zone_wire::WireZones;
use crate::coordination::ColdNews;
use crate::coordination::CrashNews;
use crate::coordination::HostAck;
use crate::coordination::LimitNews;
use crate::coordination::PeerSummary;
use crate::state::GapClass;
use crate::state::ServerLoad;
use crate::state::SourceEra;
use crate::state::SourcePoint;

/// Version of the datagram format; datagrams of other versions are dropped.
const WIRE_VERSION: u8 = 2;

/// Maximum length of a received datagram, in bytes: that of UDP over IPv4.
pub const MAX_DATAGRAM: usize = 65_507;

/// Response values are sent as integers in units of a tenth.
const VALUE_SCALE: f64 = 10.0;

/// Maximum number of servers in one datagram.
const MAX_LOADS: usize = 700;

#[derive(Debug, Serialize, Deserialize)]
struct WireSummary {
    version: u8,
    incarnation: u64,
    zone: u32,
    sequence: u64,
    catalog_version: u64,
    age_ms: Option<u32>,
    is_usable: bool,
    servers_change: u64,
    queued_ms: u32,
    demand: f32,
    known: Vec<WireAck>,
    loads: Vec<WireLoad>,
}

/// What follows the summary in a datagram. Builds that do not know it ignore these bytes, and their
/// own datagrams end before them.
#[derive(Debug, Default, Serialize, Deserialize)]
struct WireSuffix {
    /// The era of `servers_change`.
    era: u64,
}

/// What follows the suffix, by builds that divide large fleets into cells.
#[derive(Debug, Default, Serialize, Deserialize)]
struct WireFleet {
    /// The number of hosts that the sender knows of.
    hosts: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireAck {
    address: [u8; 4],
    incarnation: u64,
    sequence: u64,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireLoad {
    server: u32,
    backlog_ms: u32,
    running: [u32; GapClass::ALL.len()],
    /// In tenths.
    response_value: [u32; GapClass::ALL.len()],
    tokens: u64,
}

/// Why a datagram is dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramError {
    /// The bytes do not follow the format of this version.
    Malformed,
    /// The datagram has another format version.
    OtherVersion(u8),
}

/// Encodes a summary as a datagram. Servers beyond the limit for one datagram are omitted.
///
/// # Errors
///
/// Returns postcard's error, which encoding a [`PeerSummary`] does not cause.
pub fn encode_summary(summary: &PeerSummary) -> Result<Vec<u8>, postcard::Error> {
    let suffix = WireSuffix { era: summary.servers_change.era.0 };
    let fleet = WireFleet { hosts: summary.hosts };
    let mut datagram = postcard::to_stdvec(&(WireSummary::from(summary), suffix, fleet))?;
    // A part that is sent makes all before it present.
    let has_cold = !summary.cold.is_empty();
    let has_zones = has_cold || summary.zones.is_some();
    let has_limits = has_zones || !summary.limits.is_empty();
    if has_limits || !summary.crashes.is_empty() {
        datagram.extend(postcard::to_stdvec(&WireCrashes::from(&summary.crashes))?);
    }
    if has_limits {
        datagram.extend(postcard::to_stdvec(&WireLimits::from(&summary.limits))?);
    }
    if has_zones {
        datagram.extend(postcard::to_stdvec(&WireZones::from(&summary.zones))?);
    }
    if has_cold {
        datagram.extend(postcard::to_stdvec(&WireColdServers::from(&summary.cold))?);
    }
    Ok(datagram)
}

/// Decodes a datagram.
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
    let malformed = |_| DatagramError::Malformed;
    let (wire, rest): (WireSummary, _) = postcard::take_from_bytes(datagram).map_err(malformed)?;
    let (suffix, rest): (WireSuffix, &[u8]) = match rest {
        [] => Default::default(),
        rest => postcard::take_from_bytes(rest).map_err(malformed)?,
    };
    let (fleet, rest): (WireFleet, &[u8]) = match rest {
        [] => Default::default(),
        rest => postcard::take_from_bytes(rest).map_err(malformed)?,
    };
    let (crashes, rest): (WireCrashes, &[u8]) = match rest {
        [] => Default::default(),
        rest => postcard::take_from_bytes(rest).map_err(malformed)?,
    };
    let (limits, rest): (WireLimits, &[u8]) = match rest {
        [] => Default::default(),
        rest => postcard::take_from_bytes(rest).map_err(malformed)?,
    };
    let (zones, rest): (WireZones, &[u8]) = match rest {
        [] => Default::default(),
        rest => postcard::take_from_bytes(rest).map_err(malformed)?,
    };
    let cold: WireColdServers = match rest {
        [] => WireColdServers::default(),
        rest => postcard::from_bytes(rest).map_err(malformed)?,
    };
    let mut summary = PeerSummary::from(wire);
    summary.servers_change.era = SourceEra(suffix.era);
    summary.hosts = fleet.hosts;
    summary.crashes = crashes.into();
    summary.limits = limits.into();
    summary.zones = zones.into();
    summary.cold = cold.into();
    Ok(summary)
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}

/// Rounds up, so that an age is never understated.
fn age_millis(age: Duration) -> u32 {
    millis(age).saturating_add(1)
}

impl From<&PeerSummary> for WireSummary {
    fn from(summary: &PeerSummary) -> WireSummary {
        let loads = summary.loads.iter().take(MAX_LOADS).map(|(server, load)| WireLoad {
            server: *server,
            backlog_ms: millis(load.backlog),
            running: load.running,
            response_value: load.response_value.map(|value| (value * VALUE_SCALE).round() as u32),
            tokens: load.tokens,
        });
        let known = summary.known.iter().map(|ack| WireAck {
            address: ack.address.octets(),
            incarnation: ack.incarnation,
            sequence: ack.sequence,
        });
        WireSummary {
            version: WIRE_VERSION,
            incarnation: summary.incarnation,
            zone: summary.zone,
            sequence: summary.sequence,
            catalog_version: summary.version,
            age_ms: summary.age.map(age_millis),
            is_usable: summary.is_usable,
            servers_change: summary.servers_change.revision,
            queued_ms: millis(summary.queued),
            demand: summary.demand as f32,
            known: known.collect(),
            loads: loads.collect(),
        }
    }
}

impl From<WireSummary> for PeerSummary {
    fn from(wire: WireSummary) -> PeerSummary {
        let loads = wire.loads.into_iter().map(|load| {
            let decoded = ServerLoad {
                backlog: Duration::from_millis(load.backlog_ms.into()),
                running: load.running,
                response_value: load.response_value.map(|tenths| f64::from(tenths) / VALUE_SCALE),
                tokens: load.tokens,
            };
            (load.server, decoded)
        });
        let known = wire.known.into_iter().map(|ack| HostAck {
            address: Ipv4Addr::from(ack.address),
            incarnation: ack.incarnation,
            sequence: ack.sequence,
        });
        PeerSummary {
            incarnation: wire.incarnation,
            zone: wire.zone,
            sequence: wire.sequence,
            version: wire.catalog_version,
            age: wire.age_ms.map(|age| Duration::from_millis(age.into())),
            is_usable: wire.is_usable,
            servers_change: SourcePoint { revision: wire.servers_change, ..SourcePoint::default() },
            queued: Duration::from_millis(wire.queued_ms.into()),
            demand: f64::from(wire.demand),
            hosts: 0,
            known: known.collect(),
            loads: loads.collect(),
            crashes: CrashNews::default(),
            limits: LimitNews::default(),
            zones: None,
            cold: ColdNews::default(),
        }
    }
}
