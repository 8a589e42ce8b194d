//! Settings of a gateway process: a JSON file that is read at startup and on reload.

use std::fmt;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;

use crate::coordination::GatewayBounds;
use crate::protocol::LogLevel;
use crate::state::MemoryBounds;
use crate::state::PartId;
use crate::state::RetryBounds;
use crate::state::ZoneName;

/// Maximum value of any duration setting.
const MAX_DURATION_SECONDS: f64 = 3_600.0;
/// Maximum share of hedged requests.
const MAX_HEDGE_RATIO: f64 = 0.2;

/// The settings of one gateway process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// The name of this entry host.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// The address on which callers' connections are accepted.
    pub callers: SocketAddrV4,
    /// The address at which the load balancer checks whether to send new connections to this host.
    pub health: SocketAddrV4,
    /// The UDP port for messages between entry hosts; the same on all hosts.
    pub peer_port: u16,
    /// Addresses of some entry hosts; only the IP address of each is used.
    pub seeds: Vec<SocketAddrV4>,
    /// The port on which metrics are served.
    pub metrics_port: u16,
    /// The address of the platform's store.
    pub store: SocketAddrV4,
    /// The memory that this process may use, in megabytes.
    pub memory_mb: u64,
    /// The number of file descriptors that this process may use.
    pub descriptors: u64,
    /// The time between SIGTERM and SIGKILL, in seconds.
    pub grace_s: f64,
    /// The time after which a revoked key must be refused, in milliseconds.
    pub revoke_ms: f64,
    /// The time within which a change of the configuration must be in force, in milliseconds.
    pub config_ms: f64,
    /// The time after which a draining server must receive no more requests, in milliseconds.
    pub drain_ms: f64,
    /// The time for which reserved engine memory may stay unused, in milliseconds.
    pub unused_ms: f64,
    /// The time within which reserved engine memory must be free after its last request, in
    /// milliseconds.
    pub release_ms: f64,
    /// Retries allowed per request.
    pub repeat_ratio: f64,
    /// Retries allowed regardless of the number of requests.
    pub repeat_slack: f64,
    /// The window in which retries are counted, in seconds.
    pub repeat_window_s: f64,
    /// The time after which an evacuated availability zone must receive no more requests, in
    /// milliseconds. If absent, evacuations are not followed.
    #[serde(default)]
    pub evacuate_ms: Option<f64>,
    /// Hedged requests allowed per request, from 0 (none) to 0.2.
    #[serde(default)]
    pub hedge_ratio: f64,
    /// Whether a customer whose demand is far above that of the others is refused first while a
    /// service refuses requests.
    #[serde(default)]
    pub fair_customers: bool,
    /// Whether the expected time to the first event includes the slots and the sequences in use.
    #[serde(default)]
    pub engine_model: bool,
    /// The parts of prompts that are never isolated, by their ids.
    #[serde(default)]
    pub trusted_parts: Vec<String>,
    /// The lowest severity of log lines that are written.
    #[serde(default)]
    pub log_level: SettingsLevel,
}

/// The lowest severity of log lines that are written.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SettingsLevel {
    /// Failures.
    Error,
    /// Also conditions that may lead to a failure.
    Warning,
    /// Also every decision.
    #[default]
    Info,
    /// Also details for debugging the product.
    Debug,
}

impl From<SettingsLevel> for LogLevel {
    fn from(level: SettingsLevel) -> LogLevel {
        match level {
            SettingsLevel::Error => LogLevel::Error,
            SettingsLevel::Warning => LogLevel::Warning,
            SettingsLevel::Info => LogLevel::Info,
            SettingsLevel::Debug => LogLevel::Debug,
        }
    }
}

/// Why a settings file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum GatewaySettingsError {
    /// The file cannot be read.
    Unreadable(String),
    /// The file is not JSON of the expected structure; the message names the position.
    Malformed(String),
    /// A field's value is out of range or empty.
    BadValue {
        /// The field.
        field: &'static str,
        /// What was found and what was expected.
        message: String,
    },
}

impl fmt::Display for GatewaySettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            GatewaySettingsError::Unreadable(message) => {
                write!(f, "the settings cannot be read: {message}")
            }
            GatewaySettingsError::Malformed(message) => {
                write!(f, "the settings are malformed: {message}")
            }
            GatewaySettingsError::BadValue { field, message } => {
                write!(f, "the settings field {field} {message}")
            }
        }
    }
}

impl std::error::Error for GatewaySettingsError {}

impl GatewaySettings {
    /// Reads and checks the settings in the file at `path`.
    pub fn read(path: &Path) -> Result<GatewaySettings, GatewaySettingsError> {
        let text = fs::read_to_string(path).map_err(|error| {
            GatewaySettingsError::Unreadable(format!("{}: {error}", path.display()))
        })?;
        GatewaySettings::parse(&text)
    }

    /// Reads and checks settings from JSON text.
    ///
    /// ```
    /// use wasabicrank_lib::protocol::{GatewaySettings, GatewaySettingsError};
    /// let error = GatewaySettings::parse("{}").unwrap_err();
    /// assert!(matches!(error, GatewaySettingsError::Malformed(_)));
    /// ```
    pub fn parse(text: &str) -> Result<GatewaySettings, GatewaySettingsError> {
        let settings: GatewaySettings = serde_json::from_str(text)
            .map_err(|error| GatewaySettingsError::Malformed(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), GatewaySettingsError> {
        let bad_value =
            |field, message: String| Err(GatewaySettingsError::BadValue { field, message });
        if self.host.is_empty() {
            return bad_value("host", "is empty: expected a host name".to_owned());
        }
        let ports = [("peer_port", self.peer_port), ("metrics_port", self.metrics_port)];
        for (field, port) in ports {
            if port == 0 {
                return bad_value(field, "is 0: expected a port from 1 to 65535".to_owned());
            }
        }
        let durations = [
            ("grace_s", self.grace_s),
            ("revoke_ms", self.revoke_ms / 1_000.0),
            ("config_ms", self.config_ms / 1_000.0),
            ("drain_ms", self.drain_ms / 1_000.0),
            ("unused_ms", self.unused_ms / 1_000.0),
            ("release_ms", self.release_ms / 1_000.0),
            ("repeat_window_s", self.repeat_window_s),
        ];
        let evacuate = self.evacuate_ms.map(|millis| ("evacuate_ms", millis / 1_000.0));
        for (field, seconds) in durations.into_iter().chain(evacuate) {
            if !(seconds > 0.0 && seconds <= MAX_DURATION_SECONDS) {
                let message = format!("is {seconds} s: expected more than 0 s and at most 1 h");
                return bad_value(field, message);
            }
        }
        if self.trusted_parts.iter().any(String::is_empty) {
            return bad_value("trusted_parts", "has an empty id: expected ids of parts".to_owned());
        }
        if !(0.0..=MAX_HEDGE_RATIO).contains(&self.hedge_ratio) {
            let message = format!("is {}: expected 0 to {MAX_HEDGE_RATIO}", self.hedge_ratio);
            return bad_value("hedge_ratio", message);
        }
        let counts = [("repeat_ratio", self.repeat_ratio), ("repeat_slack", self.repeat_slack)];
        for (field, value) in counts {
            if !(value >= 0.0 && value.is_finite()) {
                return bad_value(
                    field,
                    format!("is {value}: expected a finite number of at least 0"),
                );
            }
        }
        Ok(())
    }

    /// Returns the bounds within which the gateway makes its decisions.
    pub fn bounds(&self) -> GatewayBounds {
        GatewayBounds {
            zone: ZoneName::new(self.zone.as_str()),
            revoke: Duration::from_secs_f64(self.revoke_ms / 1_000.0),
            config: Duration::from_secs_f64(self.config_ms / 1_000.0),
            drain: Duration::from_secs_f64(self.drain_ms / 1_000.0),
            memory: MemoryBounds {
                unused: Duration::from_secs_f64(self.unused_ms / 1_000.0),
                release: Duration::from_secs_f64(self.release_ms / 1_000.0),
            },
            budget: RetryBounds {
                ratio: self.repeat_ratio,
                slack: self.repeat_slack,
                window: Duration::from_secs_f64(self.repeat_window_s),
            },
            evacuate: self.evacuate_ms.map(|millis| Duration::from_secs_f64(millis / 1_000.0)),
            hedge_ratio: self.hedge_ratio,
            fair_customers: self.fair_customers,
            engine_model: self.engine_model,
        }
    }

    /// Returns the parts of prompts that are never isolated.
    pub fn trusted_parts(&self) -> impl Iterator<Item = PartId> {
        self.trusted_parts.iter().map(|id| PartId::from_text(id))
    }

    /// Returns the IP address of this host.
    pub fn ip(&self) -> Ipv4Addr {
        *self.callers.ip()
    }

    /// Returns the time between SIGTERM and SIGKILL.
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}
