//! The table of all settings fields, from which files are checked and the defaults are printed.

use std::time::Duration;

use super::field::Field;
use super::field::Form;
use super::field::Preset;
use crate::state::Tuning;

/// Sixteen mebibytes: a prompt of a million tokens with room for its JSON.
const BODY_BYTES: u64 = 16 * 1024 * 1024;

/// Milliseconds as messages and the printed defaults name them.
const MILLISECONDS: &str = "milliseconds";

/// Seconds as messages and the printed defaults name them.
const SECONDS: &str = "seconds";

/// The words for `log_level`, from the fewest lines to the most.
const LOG_LEVELS: &[&str] = &["critical", "error", "warning", "info", "debug"];

/// The words for `log_format`.
const LOG_FORMATS: &[&str] = &["json", "terminal"];

/// Every field that a settings file may have, in the order of the printed defaults.
pub const FIELDS: &[Field] = &[
    field("note", Form::Text, Preset::Text(""))
        .means("A remark for readers of the file; nothing uses it."),
    field("host", Form::Name, Preset::Required)
        .starts_from("\"entry-1\"")
        .means("The published name of this entry host."),
    field("zone", Form::Name, Preset::Required)
        .starts_from("\"zone-a\"")
        .means("The availability zone of this entry host."),
    field("ip", Form::Ip, Preset::Required)
        .starts_from("\"127.0.0.1\"")
        .means("The IP number on which all three ports listen."),
    field("caller_port", PORT, Preset::Required)
        .starts_from("7101")
        .means("The TCP port for callers."),
    field("operator_port", PORT, Preset::Required)
        .starts_from("7102")
        .means("The TCP port for operators' pages and metrics."),
    field("peer_port", PORT, Preset::Required)
        .starts_from("7103")
        .means("The TCP and UDP port for the other entry hosts."),
    field("platform", Form::Address, Preset::Required)
        .starts_from("\"127.0.0.1:7000\"")
        .means("The configuration service, which also publishes the list of live hosts."),
    field("peers", Form::Addresses, Preset::Empty)
        .means("Peer ports of other entry hosts, asked when the platform is down at the start."),
    field("peer_key", Form::Key, Preset::Absent)
        .means("The key that all entry hosts share; give either this or `peer_key_file`."),
    field("peer_key_file", Form::File, Preset::Absent)
        .starts_from("\"peer.key\"")
        .means("A file that holds the key's 64 hex digits; give either this or `peer_key`."),
    field("log_level", Form::Word(LOG_LEVELS), Preset::Text("info"))
        .means("The least serious lines that are logged."),
    field("log_format", Form::Word(LOG_FORMATS), Preset::Text("json"))
        .means("One JSON object a line, or coloured text for a terminal."),
    span("heartbeat_ms", 10, 5_000, Tuning::DEFAULT.heartbeat)
        .means("The time between two heartbeats to every peer."),
    span("suspect_ms", 50, 60_000, Tuning::DEFAULT.suspect)
        .means("The silence after which a peer is suspected; at least three heartbeats."),
    span("lease_ms", 50, 60_000, Tuning::DEFAULT.lease)
        .means("How long a lease on idempotency keys holds; at least three heartbeats."),
    span("clock_skew_ms", 0, 60_000, Tuning::DEFAULT.clock_skew)
        .means("How far the wall clocks of callers and entry hosts may differ."),
    number("claim_life_s", 10, 86_400, Tuning::DEFAULT.claim_life.as_secs())
        .counts(SECONDS)
        .means("How long a home remembers an idempotency key."),
    span("orphan_margin_ms", 100, 600_000, Tuning::DEFAULT.orphan_margin)
        .means("How long engines may hold what a silent owner left; at least `suspect_ms`."),
    number("max_body_bytes", 1_024, 256 * 1024 * 1024, BODY_BYTES)
        .counts("bytes")
        .means("The longest body of a request; a million tokens are 4 MB of text before escapes."),
    number("max_header_bytes", 1_024, 1024 * 1024, 16 * 1024)
        .counts("bytes")
        .means("The longest head of a request."),
    number("max_connections", 1, 65_536, 2_048)
        .counts("connections")
        .means("The most callers connected at once; more are turned away."),
    span("body_timeout_ms", 100, 600_000, Duration::from_secs(30))
        .means("The time a caller has to send its whole request."),
    number("ring_size", 16, 1_048_576, 8_192)
        .counts("entries")
        .means("The entries of each ring between threads; what finds a full ring is refused."),
    number("event_ring", 16, 4_194_304, Tuning::DEFAULT.event_ring as u64)
        .counts("events")
        .means("The events that are kept for the time line."),
    number("stop_bound_s", 1, 86_400, Tuning::DEFAULT.stop_bound.as_secs())
        .counts(SECONDS)
        .means("How long a planned stop waits for its last stream."),
    span("load_poll_ms", 10, 60_000, Tuning::DEFAULT.load_poll)
        .means("The time between two readings of an engine's load."),
    span("platform_wait_ms", 100, 60_000, Tuning::DEFAULT.platform_wait)
        .means("How long one watch at the platform waits for a change."),
    span("engine_idle_ms", 100, 600_000, Tuning::DEFAULT.engine_idle)
        .means("The silence on an engine's stream after which it is given up."),
    number("weight_loads", 1, 10_000, Tuning::DEFAULT.weight_loads as u64)
        .counts("loads a minute")
        .means("The model loads that the weight store allows the whole fleet."),
    number("worker_threads", 1, 256, 4).counts("threads").means("The threads that serve HTTP."),
];

/// The form of a port.
const PORT: Form = Form::Number { least: 1, most: 65_535 };

/// Describes a field; the methods below say the rest.
const fn field(name: &'static str, form: Form, default: Preset) -> Field {
    Field { name, form, unit: "", default, sample: "", meaning: "" }
}

/// Describes a number.
const fn number(name: &'static str, least: u64, most: u64, default: u64) -> Field {
    field(name, Form::Number { least, most }, Preset::Number(default))
}

/// Describes a time span in milliseconds.
const fn span(name: &'static str, least: u64, most: u64, default: Duration) -> Field {
    number(name, least, most, default.as_millis() as u64).counts(MILLISECONDS)
}

impl Field {
    /// Sets the unit.
    const fn counts(mut self, unit: &'static str) -> Field {
        self.unit = unit;
        self
    }

    /// Sets the sample.
    const fn starts_from(mut self, sample: &'static str) -> Field {
        self.sample = sample;
        self
    }

    /// Sets the meaning.
    const fn means(mut self, meaning: &'static str) -> Field {
        self.meaning = meaning;
        self
    }
}
