//! The settings of one process, read once at startup from a JSON file and never changed.
//!
//! The table in `fields` is the single definition of all fields; files are validated against it and
//! the printed defaults come from it.

mod document;
mod error;
mod field;
mod fields;
mod file;

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use error_stack::Report;
use serde::Deserialize;
use serde_json::Value;

pub use error::FieldError;
pub use error::SettingsError;
pub use error::SettingsErrorKind;
pub use field::Field;
pub use field::Form;
pub use field::Preset;
pub use fields::FIELDS;

use super::position::Position;
use crate::state::HostName;
use crate::state::Tuning;
use crate::state::ZoneName;
use document::field_position;
use document::read_document;
use file::SettingsFile;

/// The settings of one entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The published name of this entry host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The IP address on which it listens.
    pub ip: IpAddr,
    /// The TCP port for callers.
    pub caller_port: u16,
    /// The TCP port for operators.
    pub operator_port: u16,
    /// The TCP and UDP port for the other entry hosts.
    pub peer_port: u16,
    /// The configuration service, which also publishes the live list.
    pub platform: SocketAddr,
    /// Peer addresses to query if the platform is down at startup.
    pub peers: Vec<SocketAddr>,
    /// The key that authenticates messages between entry hosts.
    pub peer_key: PeerKey,
    /// The log level and format.
    pub log: LogSettings,
    /// Limits on what callers may send.
    pub bounds: RequestBounds,
    /// The capacity of each ring buffer between threads, in entries.
    pub ring_size: usize,
    /// The number of threads that serve HTTP.
    pub worker_threads: usize,
    /// The parameters of the core's decisions.
    pub tuning: Tuning,
}

/// The key that all entry hosts share; its `Debug` output hides it.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(pub [u8; 32]);

/// The log level and format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The lowest severity that is logged.
    pub level: LogLevel,
    /// The format of a log line.
    pub format: LogFormat,
}

/// The severity of a log line, most severe first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// The process cannot continue.
    Critical,
    /// Something failed.
    Error,
    /// Something is abnormal but has not failed.
    Warning,
    /// A decision that an operator may want to know about.
    Info,
    /// Details for developers.
    Debug,
}

/// The format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object per line.
    Json,
    /// Coloured text.
    Terminal,
}

/// Limits on each request and on the connections of all callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBounds {
    /// The maximum body size, in bytes.
    pub body_bytes: usize,
    /// The maximum size of the request head, in bytes.
    pub header_bytes: usize,
    /// The maximum number of simultaneous connections.
    pub connections: usize,
    /// The time within which a whole request must arrive.
    pub body_timeout: Duration,
}

impl Settings {
    /// Reads and validates the settings file at `path`.
    ///
    /// The error message is one line with the file, the position or field, what was found and what
    /// was expected.
    pub fn read(path: impl AsRef<Path>) -> Result<Settings, Report<SettingsError>> {
        let path = path.as_ref();
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&file, &text),
            Err(error) => {
                let kind = SettingsErrorKind::Unreadable { cause: error.to_string() };
                Err(Report::new(SettingsError { file, kind }))
            }
        }
    }

    /// Parses and validates the settings in `text`; messages give `file` as its name.
    ///
    /// ```
    /// use wasabicrank_lib::protocol::Settings;
    /// let text = r#"{ "host": "entry-1", "zone": "a", "ip": "10.0.1" }"#;
    /// let error = Settings::parse("entry.json", text).unwrap_err();
    /// assert!(error.to_string().starts_with("entry.json:1:"));
    /// assert!(error.to_string().contains("ip: found \"10.0.1\", expected the IP number"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Settings, Report<SettingsError>> {
        parse_text(text).map_err(|kind| Report::new(SettingsError { file: file.to_owned(), kind }))
    }

    /// Returns the address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.caller_port)
    }

    /// Returns the address for operators.
    pub fn operator_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.operator_port)
    }

    /// Returns the address for the other entry hosts.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

/// Validates each field by itself, then the fields against each other.
fn parse_text(text: &str) -> Result<Settings, SettingsErrorKind> {
    let fields = read_document(text)?;
    let missing = FIELDS
        .iter()
        .find(|field| field.default == Preset::Required && !fields.contains_key(field.name));
    if let Some(field) = missing {
        return Err(SettingsErrorKind::Field { position: None, error: FieldError::missing(field) });
    }
    let file: SettingsFile = serde_json::from_value(Value::Object(fields)).map_err(|error| {
        let position = Position { line: error.line(), column: error.column() };
        SettingsErrorKind::Syntax { position, cause: error.to_string() }
    })?;
    Settings::try_from(file).map_err(|error| {
        let position = field_position(text, &error.field, false);
        SettingsErrorKind::Field { position, error }
    })
}

impl PeerKey {
    /// Parses a key of 64 hex digits.
    ///
    /// ```
    /// use wasabicrank_lib::protocol::PeerKey;
    /// assert_eq!(PeerKey::from_hex(&"0f".repeat(32)).unwrap().0, [15; 32]);
    /// assert!(PeerKey::from_hex("0f").is_none());
    /// ```
    pub fn from_hex(text: &str) -> Option<PeerKey> {
        blake3::Hash::from_hex(text).ok().map(|hash| PeerKey(*hash.as_bytes()))
    }
}

impl fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerKey(hidden)")
    }
}

impl From<LogLevel> for slog::Level {
    fn from(level: LogLevel) -> slog::Level {
        match level {
            LogLevel::Critical => slog::Level::Critical,
            LogLevel::Error => slog::Level::Error,
            LogLevel::Warning => slog::Level::Warning,
            LogLevel::Info => slog::Level::Info,
            LogLevel::Debug => slog::Level::Debug,
        }
    }
}
