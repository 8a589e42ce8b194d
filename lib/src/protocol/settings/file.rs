//! The settings as in the JSON file, and their conversion into the types that the code uses.

use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::Deserialize;

use super::LogFormat;
use super::LogLevel;
use super::LogSettings;
use super::PeerKey;
use super::RequestBounds;
use super::Settings;
use super::error::FieldError;
use crate::state::HostName;
use crate::state::Tuning;
use crate::state::ZoneName;

/// The number of heartbeats that may be lost before a peer is suspected or a lease lapses, which is
/// the lower bound of `suspect_ms` and `lease_ms`.
const MIN_HEARTBEATS: u64 = 3;

/// The settings file with defaults filled in; every value has its field's format.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SettingsFile {
    #[serde(rename = "note")]
    _note: String,
    host: String,
    zone: String,
    ip: IpAddr,
    caller_port: u16,
    operator_port: u16,
    peer_port: u16,
    platform: SocketAddr,
    peers: Vec<SocketAddr>,
    peer_key: Option<String>,
    peer_key_file: Option<PathBuf>,
    log_level: LogLevel,
    log_format: LogFormat,
    heartbeat_ms: u64,
    suspect_ms: u64,
    lease_ms: u64,
    clock_skew_ms: u64,
    claim_life_s: u64,
    orphan_margin_ms: u64,
    max_body_bytes: usize,
    max_header_bytes: usize,
    max_connections: usize,
    body_timeout_ms: u64,
    ring_size: usize,
    event_ring: usize,
    stop_bound_s: u64,
    load_poll_ms: u64,
    platform_wait_ms: u64,
    engine_idle_ms: u64,
    weight_loads: u32,
    worker_threads: usize,
}

impl TryFrom<SettingsFile> for Settings {
    type Error = FieldError;

    fn try_from(file: SettingsFile) -> Result<Settings, FieldError> {
        check_ports(&file)?;
        check_durations(&file)?;
        Ok(Settings {
            peer_key: peer_key(&file)?,
            tuning: tuning(&file),
            log: LogSettings { level: file.log_level, format: file.log_format },
            bounds: RequestBounds {
                body_bytes: file.max_body_bytes,
                header_bytes: file.max_header_bytes,
                connections: file.max_connections,
                body_timeout: Duration::from_millis(file.body_timeout_ms),
            },
            host: HostName::new(file.host),
            zone: ZoneName::new(file.zone),
            ip: file.ip,
            caller_port: file.caller_port,
            operator_port: file.operator_port,
            peer_port: file.peer_port,
            platform: file.platform,
            peers: file.peers,
            ring_size: file.ring_size,
            worker_threads: file.worker_threads,
        })
    }
}

/// Returns the parameters of the core's decisions.
fn tuning(file: &SettingsFile) -> Tuning {
    Tuning {
        heartbeat: Duration::from_millis(file.heartbeat_ms),
        suspect: Duration::from_millis(file.suspect_ms),
        lease: Duration::from_millis(file.lease_ms),
        clock_skew: Duration::from_millis(file.clock_skew_ms),
        claim_life: Duration::from_secs(file.claim_life_s),
        orphan_margin: Duration::from_millis(file.orphan_margin_ms),
        load_poll: Duration::from_millis(file.load_poll_ms),
        engine_idle: Duration::from_millis(file.engine_idle_ms),
        platform_wait: Duration::from_millis(file.platform_wait_ms),
        stop_bound: Duration::from_secs(file.stop_bound_s),
        weight_loads: file.weight_loads,
        event_ring: file.event_ring,
    }
}

/// Refuses settings that give two listeners the same port.
fn check_ports(file: &SettingsFile) -> Result<(), FieldError> {
    let ports = [
        ("caller_port", file.caller_port),
        ("operator_port", file.operator_port),
        ("peer_port", file.peer_port),
    ];
    for (i, (name, port)) in ports.iter().enumerate() {
        if let Some((other, _)) = ports[..i].iter().find(|(_, taken)| taken == port) {
            let expected = format!("a port other than that of `{other}`");
            return Err(field_error(name, port.to_string(), expected));
        }
    }
    Ok(())
}

/// Refuses timeouts so short that a live peer would be considered dead.
fn check_durations(file: &SettingsFile) -> Result<(), FieldError> {
    let min_ms = MIN_HEARTBEATS * file.heartbeat_ms;
    let expected_min = format!("at least {min_ms}, three times `heartbeat_ms`");
    if file.suspect_ms < min_ms {
        return Err(field_error("suspect_ms", file.suspect_ms.to_string(), expected_min));
    }
    if file.lease_ms < min_ms {
        return Err(field_error("lease_ms", file.lease_ms.to_string(), expected_min));
    }
    if file.orphan_margin_ms < file.suspect_ms {
        let expected = format!("at least {}, the value of `suspect_ms`", file.suspect_ms);
        return Err(field_error("orphan_margin_ms", file.orphan_margin_ms.to_string(), expected));
    }
    Ok(())
}

/// Reads the peer key from the settings or from the file that they name.
fn peer_key(file: &SettingsFile) -> Result<PeerKey, FieldError> {
    const ONE_KEY: &str = "either `peer_key` or `peer_key_file`";
    let (name, text) = match (&file.peer_key, &file.peer_key_file) {
        (Some(key), None) => ("peer_key", key.clone()),
        (None, Some(path)) => {
            let text = std::fs::read_to_string(path).map_err(|error| {
                let found = format!("{} ({error})", path.display());
                field_error("peer_key_file", found, "a file that can be read".to_owned())
            })?;
            ("peer_key_file", text.trim().to_owned())
        }
        (Some(_), Some(_)) => {
            return Err(field_error("peer_key", "both".to_owned(), ONE_KEY.to_owned()));
        }
        (None, None) => {
            return Err(field_error("peer_key", "nothing".to_owned(), ONE_KEY.to_owned()));
        }
    };
    PeerKey::from_hex(&text).ok_or_else(|| {
        let found = format!("a text of {} characters", text.chars().count());
        field_error(name, found, "a text of 64 hex digits".to_owned())
    })
}

/// Creates the error of a field that is inconsistent with another.
fn field_error(field: &str, found: String, expected: String) -> FieldError {
    FieldError { field: field.to_owned(), found, expected }
}
