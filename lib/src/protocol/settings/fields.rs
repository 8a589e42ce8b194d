//! The table of all settings fields, used to validate files and to print the defaults.

use std::time::Duration;

use super::field::Field;
use super::field::Form;
use super::field::Preset;
use crate::state::Tuning;

/// 16 MiB: room for a prompt of a million tokens and its JSON encoding.
const DEFAULT_MAX_BODY_BYTES: u64 = 16 * 1024 * 1024;

/// The unit name of milliseconds in messages and printed defaults.
const MILLISECONDS: &str = "milliseconds";

/// The unit name of seconds in messages and printed defaults.
const SECONDS: &str = "seconds";

/// The values of `log_level`, from the fewest log lines to the most.
const LOG_LEVELS: &[&str] = &["critical", "error", "warning", "info", "debug"];

/// The values of `log_format`.
const LOG_FORMATS: &[&str] = &["json", "terminal"];

/// Every field that a settings file may have, in the order of the printed defaults.
pub const FIELDS: &[Field] = &[
    field("note", Form::Text, Preset::Text(""))
        .meaning("A remark for readers of the file; nothing uses it."),
    field("host", Form::Name, Preset::Required)
        .sample("\"entry-1\"")
        .meaning("The published name of this entry host."),
    field("zone", Form::Name, Preset::Required)
        .sample("\"zone-a\"")
        .meaning("The availability zone of this entry host."),
    field("ip", Form::Ip, Preset::Required)
        .sample("\"127.0.0.1\"")
        .meaning("The IP number on which all three ports listen."),
    field("caller_port", PORT, Preset::Required)
        .sample("7101")
        .meaning("The TCP port for callers."),
    field("operator_port", PORT, Preset::Required)
        .sample("7102")
        .meaning("The TCP port for operators' pages and metrics."),
    field("peer_port", PORT, Preset::Required)
        .sample("7103")
        .meaning("The TCP and UDP port for the other entry hosts."),
    field("platform", Form::Address, Preset::Required)
        .sample("\"127.0.0.1:7000\"")
        .meaning("The configuration service, which also publishes the list of live hosts."),
    field("peers", Form::Addresses, Preset::Empty)
        .meaning("Peer ports of other entry hosts, asked when the platform is down at the start."),
    field("peer_key", Form::Key, Preset::Absent)
        .meaning("The key that all entry hosts share; give either this or `peer_key_file`."),
    field("peer_key_file", Form::File, Preset::Absent)
        .sample("\"peer.key\"")
        .meaning("A file that holds the key's 64 hex digits; give either this or `peer_key`."),
    field("log_level", Form::Word(LOG_LEVELS), Preset::Text("info"))
        .meaning("The least serious lines that are logged."),
    field("log_format", Form::Word(LOG_FORMATS), Preset::Text("json"))
        .meaning("One JSON object a line, or coloured text for a terminal."),
    duration_ms("heartbeat_ms", 10, 5_000, Tuning::DEFAULT.heartbeat)
        .meaning("The time between two heartbeats to every peer."),
    duration_ms("suspect_ms", 50, 60_000, Tuning::DEFAULT.suspect)
        .meaning("The silence after which a peer is suspected; at least three heartbeats."),
    duration_ms("lease_ms", 50, 60_000, Tuning::DEFAULT.lease)
        .meaning("How long a lease on idempotency keys holds; at least three heartbeats."),
    duration_ms("clock_skew_ms", 0, 60_000, Tuning::DEFAULT.clock_skew)
        .meaning("How far the wall clocks of callers and entry hosts may differ."),
    number("claim_life_s", 10, 86_400, Tuning::DEFAULT.claim_life.as_secs())
        .unit(SECONDS)
        .meaning("How long a home remembers an idempotency key."),
    duration_ms("orphan_margin_ms", 100, 600_000, Tuning::DEFAULT.orphan_margin)
        .meaning("How long engines may hold what a silent owner left; at least `suspect_ms`."),
    number("max_body_bytes", 1_024, 256 * 1024 * 1024, DEFAULT_MAX_BODY_BYTES)
        .unit("bytes")
        .meaning(
            "The longest body of a request; a million tokens are 4 MB of text before escapes.",
        ),
    number("max_header_bytes", 1_024, 1024 * 1024, 16 * 1024)
        .unit("bytes")
        .meaning("The longest head of a request."),
    number("max_connections", 1, 65_536, 2_048)
        .unit("connections")
        .meaning("The most callers connected at once; more are turned away."),
    duration_ms("body_timeout_ms", 100, 600_000, Duration::from_secs(30))
        .meaning("The time a caller has to send its whole request."),
    number("ring_size", 16, 1_048_576, 8_192)
        .unit("entries")
        .meaning("The entries of each ring between threads; what finds a full ring is refused."),
    number("event_ring", 16, 4_194_304, Tuning::DEFAULT.event_ring as u64)
        .unit("events")
        .meaning("The events that are kept for the time line."),
    number("stop_bound_s", 1, 86_400, Tuning::DEFAULT.stop_bound.as_secs())
        .unit(SECONDS)
        .meaning("How long a planned stop waits for its last stream."),
    duration_ms("load_poll_ms", 10, 60_000, Tuning::DEFAULT.load_poll)
        .meaning("The time between two readings of an engine's load."),
    duration_ms("platform_wait_ms", 100, 60_000, Tuning::DEFAULT.platform_wait)
        .meaning("How long one watch at the platform waits for a change."),
    duration_ms("engine_idle_ms", 100, 600_000, Tuning::DEFAULT.engine_idle)
        .meaning("The silence on an engine's stream after which it is given up."),
    number("weight_loads", 1, 10_000, Tuning::DEFAULT.weight_loads as u64)
        .unit("loads a minute")
        .meaning("The model loads that the weight store allows the whole fleet."),
    number("worker_threads", 1, 256, 4).unit("threads").meaning("The threads that serve HTTP."),
];

/// The format of a port.
const PORT: Form = Form::Number { min: 1, max: 65_535 };

/// Creates a field; the methods below set its unit, sample and meaning.
const fn field(name: &'static str, form: Form, default: Preset) -> Field {
    Field { name, form, unit: "", default, sample: "", meaning: "" }
}

/// Creates a number field.
const fn number(name: &'static str, min: u64, max: u64, default: u64) -> Field {
    field(name, Form::Number { min, max }, Preset::Number(default))
}

/// Creates a duration field in milliseconds.
const fn duration_ms(name: &'static str, min: u64, max: u64, default: Duration) -> Field {
    number(name, min, max, default.as_millis() as u64).unit(MILLISECONDS)
}

impl Field {
    /// Sets the unit.
    const fn unit(mut self, unit: &'static str) -> Field {
        self.unit = unit;
        self
    }

    /// Sets the sample.
    const fn sample(mut self, sample: &'static str) -> Field {
        self.sample = sample;
        self
    }

    /// Sets the meaning.
    const fn meaning(mut self, meaning: &'static str) -> Field {
        self.meaning = meaning;
        self
    }
}
