//! Logs and metrics of the gateway.
//!
//! A line is one JSON object on standard output. Lines are written by a thread of their own from a
//! bounded ring, so that a reader that stalls never holds up a request, and are limited each second:
//! successes first give way to failures, and what was left out is counted and told.

use std::cell::Cell;
use std::cell::RefCell;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;
use slog::Logger;
use slog::info;
use slog::warn;

use crate::state::Moment;

/// The lines a second from which successes are left out: at some 300 bytes a line, 30 KB a second.
const LINES_SUCCESS: u32 = 100;
/// The lines a second from which failures are left out as well.
const LINES_ALL: u32 = 250;
/// How long lines are counted together.
const LINE_WINDOW: Duration = Duration::from_secs(1);
/// The upper bounds of times, in seconds.
const TIME_BOUNDS: [f64; 13] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0];

/// How a request ended, as metrics count it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabel {
    /// The kind of its route.
    pub(crate) kind: &'static str,
    /// What became of it.
    pub(crate) outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SizeLabel {
    size: &'static str,
}

/// How serious a log line is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// It may be left out under load.
    Success,
    /// It goes before successes.
    Failure,
}

/// Logs and metrics.
pub(crate) struct Telemetry {
    log: Logger,
    window: Cell<Moment>,
    lines: Cell<u32>,
    left_out: Cell<u32>,
    registry: RefCell<Registry>,
    requests: Family<RequestLabel, Counter>,
    sends: Family<ResultLabel, Counter>,
    first_event: Family<SizeLabel, Histogram>,
    waited: Histogram,
    lines_dropped: Counter,
    pub(crate) gauges: Gauges,
}

/// Figures that are renewed when the metrics are read.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    pub(crate) catalog_version: Gauge,
    pub(crate) catalog_age_ms: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) peers: Gauge,
    pub(crate) waiting: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) buffered: Gauge,
}

impl Telemetry {
    pub(crate) fn new(log: Logger) -> Telemetry {
        let mut registry = Registry::with_prefix("wasabicrank_gateway");
        let requests = Family::default();
        registry.register("requests", "Requests by kind and outcome", requests.clone());
        let sends = Family::default();
        registry.register("sends", "Sends to servers by result", sends.clone());
        let first_event: Family<SizeLabel, Histogram> =
            Family::new_with_constructor(|| Histogram::new(TIME_BOUNDS));
        registry.register_with_unit(
            "first_event",
            "Time from a request's arrival to the first part of its answer",
            Unit::Seconds,
            first_event.clone(),
        );
        let waited = Histogram::new(TIME_BOUNDS);
        registry.register_with_unit(
            "waited",
            "Time that a request waited here before it was sent",
            Unit::Seconds,
            waited.clone(),
        );
        let lines_dropped = Counter::default();
        registry.register("log_lines_dropped", "Log lines left out", lines_dropped.clone());
        let gauges = Gauges::default();
        let named = [
            ("catalog_version", "Version of the configuration", &gauges.catalog_version),
            ("catalog_age_ms", "Milliseconds since it was surely newest", &gauges.catalog_age_ms),
            ("servers", "Servers that are known", &gauges.servers),
            ("peers", "Entry hosts heard lately", &gauges.peers),
            ("waiting", "Requests that wait here", &gauges.waiting),
            ("connections", "Open connections of callers", &gauges.connections),
            ("buffered_bytes", "Bytes of request bodies that are held", &gauges.buffered),
        ];
        for (name, help, gauge) in named {
            registry.register(name, help, gauge.clone());
        }
        Telemetry {
            log,
            window: Cell::default(),
            lines: Cell::default(),
            left_out: Cell::default(),
            registry: RefCell::new(registry),
            requests,
            sends,
            first_event,
            waited,
            lines_dropped,
            gauges,
        }
    }

    /// Returns the log for a line of `kind`, unless the second's lines are used up.
    pub(crate) fn line(&self, now: Moment, kind: LineKind) -> Option<&Logger> {
        if now.since(self.window.get()) >= LINE_WINDOW {
            self.window.set(now);
            self.lines.set(0);
            let left_out = self.left_out.replace(0);
            if left_out > 0 {
                warn!(self.log, "log lines were left out"; "lines" => left_out);
            }
        }
        let limit = match kind {
            LineKind::Success => LINES_SUCCESS,
            LineKind::Failure => LINES_ALL,
        };
        if self.lines.get() >= limit {
            self.left_out.set(self.left_out.get() + 1);
            self.lines_dropped.inc();
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(&self.log)
    }

    /// Returns the log for rare lines: the process's life and its dependencies.
    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    pub(crate) fn count_request(&self, label: RequestLabel) {
        self.requests.get_or_create(&label).inc();
    }

    pub(crate) fn count_send(&self, result: &'static str) {
        self.sends.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn observe_first_event(&self, prompt: Option<u64>, time: Duration) {
        let size = match prompt {
            None => "none",
            Some(tokens) if tokens < 16_000 => "16k",
            Some(tokens) if tokens < 128_000 => "128k",
            Some(_) => "over_128k",
        };
        self.first_event.get_or_create(&SizeLabel { size }).observe(time.as_secs_f64());
    }

    pub(crate) fn observe_waited(&self, time: Duration) {
        self.waited.observe(time.as_secs_f64());
    }

    /// Returns all metrics as text.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry.borrow()) {
            info!(self.log, "metrics cannot be written"; "error" => %error);
        }
        text
    }
}
