//! The settings of one process: read once at its start from a JSON file and never changed.
//!
//! The table in `fields` is the one place that says which fields there are; files are checked
//! against it and the printed defaults come from it.

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

pub use error::FieldFault;
pub use error::SettingsError;
pub use error::SettingsFault;
pub use field::Field;
pub use field::Form;
pub use field::Preset;
pub use fields::FIELDS;

use super::place::Place;
use crate::state::HostName;
use crate::state::Tuning;
use crate::state::ZoneName;
use document::field_place;
use document::read_document;
use file::SettingsFile;

/// The settings of one entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The published name of this entry host.
    pub host: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The IP number on which it listens.
    pub ip: IpAddr,
    /// The TCP port for callers.
    pub caller_port: u16,
    /// The TCP port for operators.
    pub operator_port: u16,
    /// The TCP and UDP port for the other entry hosts.
    pub peer_port: u16,
    /// The configuration service, which also publishes the live list.
    pub platform: SocketAddr,
    /// Peer addresses to ask when the platform is down at the start.
    pub peers: Vec<SocketAddr>,
    /// The key that proves messages to come from an entry host.
    pub peer_key: PeerKey,
    /// What is logged, and how.
    pub log: LogSettings,
    /// What a caller may send.
    pub bounds: RequestBounds,
    /// The entries of each ring between threads.
    pub ring_size: usize,
    /// The threads that serve HTTP.
    pub worker_threads: usize,
    /// What the core decides by.
    pub tuning: Tuning,
}

/// The key that all entry hosts share; its `Debug` form does not tell it.
#[derive(Clone, PartialEq, Eq)]
pub struct PeerKey(pub [u8; 32]);

/// What is logged, and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// The least serious lines that are logged.
    pub level: LogLevel,
    /// The form of a line.
    pub format: LogFormat,
}

/// How serious a log line is, the most serious first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// The process cannot go on.
    Critical,
    /// Something failed.
    Error,
    /// Something is not as it should be.
    Warning,
    /// A decision that an operator would ask about.
    Info,
    /// Details for developers.
    Debug,
}

/// The form of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// One JSON object a line.
    Json,
    /// Coloured text.
    Terminal,
}

/// What one caller, and all of them together, may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestBounds {
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest head, in bytes.
    pub header_bytes: usize,
    /// The most connections at once.
    pub connections: usize,
    /// The time in which a whole request must arrive.
    pub body_timeout: Duration,
}

impl Settings {
    /// Reads and checks the settings file at `path`.
    ///
    /// The error's message is one line that names the file, the place or field, what was found and
    /// what was expected.
    pub fn read(path: impl AsRef<Path>) -> Result<Settings, Report<SettingsError>> {
        let path = path.as_ref();
        let file = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Settings::parse(&file, &text),
            Err(error) => {
                let fault = SettingsFault::Unreadable { cause: error.to_string() };
                Err(Report::new(SettingsError { file, fault }))
            }
        }
    }

    /// Checks the settings in `text`; messages call it `file`.
    ///
    /// ```
    /// use wasabicrank_lib::protocol::Settings;
    /// let text = r#"{ "host": "entry-1", "zone": "a", "ip": "10.0.1" }"#;
    /// let error = Settings::parse("entry.json", text).unwrap_err();
    /// assert!(error.to_string().starts_with("entry.json:1:"));
    /// assert!(error.to_string().contains("ip: found \"10.0.1\", expected the IP number"));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Settings, Report<SettingsError>> {
        parse_text(text)
            .map_err(|fault| Report::new(SettingsError { file: file.to_owned(), fault }))
    }

    /// Returns where callers connect.
    pub fn caller_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.caller_port)
    }

    /// Returns where operators connect.
    pub fn operator_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.operator_port)
    }

    /// Returns where the other entry hosts reach this one.
    pub fn peer_addr(&self) -> SocketAddr {
        SocketAddr::new(self.ip, self.peer_port)
    }
}

/// Checks each field alone, then all of them together.
fn parse_text(text: &str) -> Result<Settings, SettingsFault> {
    let fields = read_document(text)?;
    let missing = FIELDS
        .iter()
        .find(|field| field.default == Preset::Required && !fields.contains_key(field.name));
    if let Some(field) = missing {
        return Err(SettingsFault::Field { place: None, fault: FieldFault::missing(field) });
    }
    let file: SettingsFile = serde_json::from_value(Value::Object(fields)).map_err(|error| {
        let place = Place { line: error.line(), column: error.column() };
        SettingsFault::Syntax { place, cause: error.to_string() }
    })?;
    Settings::try_from(file).map_err(|fault| {
        let place = field_place(text, &fault.field, false);
        SettingsFault::Field { place, fault }
    })
}

impl PeerKey {
    /// Reads a key from 64 hex digits.
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
