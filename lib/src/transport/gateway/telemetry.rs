//! Logs and metrics of the gateway.
//!
//! A log line is one JSON object on standard output. Lines are written by a separate thread from a
//! bounded queue, so that a stalled reader never delays a request. The number of lines per second is
//! limited, lower for successes than for failures; omitted lines are counted and reported.

use std::cell::Cell;
use std::cell::RefCell;
use std::sync::atomic::AtomicU64;
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
use crate::state::RequestRate;

/// The number of lines per second above which successes are omitted: 30 KB per second at about 300
/// bytes per line.
const MAX_SUCCESS_LINES: u32 = 100;
/// The number of lines per second above which failures are omitted as well.
const MAX_LINES: u32 = 250;
/// The window of the line limits.
const LINE_WINDOW: Duration = Duration::from_secs(1);
/// The upper bounds of the time histograms' buckets, in seconds.
const TIME_BUCKETS: [f64; 13] =
    [0.01, 0.025, 0.05, 0.1, 0.15, 0.3, 0.5, 1.0, 1.5, 3.0, 5.0, 10.0, 15.0];

/// The metric labels of an ended request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct RequestLabel {
    /// The kind of the request's route.
    pub(crate) kind: &'static str,
    /// How the request ended.
    pub(crate) outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ResultLabel {
    result: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServerLabel {
    server: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct FaultLabel {
    fault: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SizeLabel {
    size: &'static str,
}

/// The priority of a log line under the line limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LineKind {
    /// Omitted first under load.
    Success,
    /// Omitted only above the limit for all lines.
    Failure,
}

/// Logs and metrics.
pub(crate) struct Telemetry {
    log: Logger,
    window: Cell<Moment>,
    lines: Cell<u32>,
    omitted: Cell<u32>,
    registry: RefCell<Registry>,
    requests: Family<RequestLabel, Counter>,
    sends: Family<ResultLabel, Counter>,
    server_faults: Family<FaultLabel, Counter>,
    first_event: Family<SizeLabel, Histogram>,
    waited: Histogram,
    dropped_lines: Counter,
    rewinds: Counter,
    dropped_crash_reports: Counter,
    permits: Family<ResultLabel, Counter>,
    moves: Family<ResultLabel, Counter>,
    guests: Family<ResultLabel, Counter>,
    health_checks: Family<ResultLabel, Counter>,
    hedges: Family<ResultLabel, Counter>,
    hedge_denials: Family<ReasonLabel, Counter>,
    hedge_waste: Counter<f64, AtomicU64>,
    slow_callers: Family<ResultLabel, Counter>,
    server_limits: Family<ServerLabel, Gauge<f64, AtomicU64>>,
    pub(crate) gauges: Gauges,
}

/// Gauges that are updated when the metrics are read.
#[derive(Debug, Default)]
pub(crate) struct Gauges {
    pub(crate) catalog_version: Gauge,
    pub(crate) catalog_age_ms: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) peers: Gauge,
    pub(crate) waiting: Gauge,
    pub(crate) connections: Gauge,
    pub(crate) buffered_bytes: Gauge,
    pub(crate) unread_bytes: Gauge,
    pub(crate) isolated_parts: Gauge,
    pub(crate) limited_servers: Gauge,
    pub(crate) evacuated_zones: Gauge,
    pub(crate) guests: Gauge,
    pub(crate) cold_servers: Gauge,
    pub(crate) urgent_services: Gauge,
    pub(crate) uneven_services: Gauge,
}

impl Telemetry {
    pub(crate) fn new(log: Logger) -> Telemetry {
        let mut registry = Registry::with_prefix("wasabicrank_gateway");
        let requests = Family::default();
        registry.register("requests", "Requests by kind and outcome", requests.clone());
        let sends = Family::default();
        registry.register("sends", "Sends to servers by result", sends.clone());
        let server_faults = Family::default();
        registry.register(
            "server_faults",
            "Silent servers and broken streams",
            server_faults.clone(),
        );
        let first_event: Family<SizeLabel, Histogram> =
            Family::new_with_constructor(|| Histogram::new(TIME_BUCKETS));
        registry.register_with_unit(
            "first_event",
            "Time from a request's arrival to the first part of its answer",
            Unit::Seconds,
            first_event.clone(),
        );
        let waited = Histogram::new(TIME_BUCKETS);
        registry.register_with_unit(
            "waited",
            "Time that a request waited here before it was sent",
            Unit::Seconds,
            waited.clone(),
        );
        let dropped_lines = Counter::default();
        registry.register("log_lines_dropped", "Log lines left out", dropped_lines.clone());
        let rewinds = Counter::default();
        let help = "Rises of the source's era: it was restored from an older copy";
        registry.register("source_rewinds", help, rewinds.clone());
        let dropped_crash_reports = Counter::default();
        let help = "Reports on crashes that were dropped because too many came";
        registry.register("crash_reports_dropped", help, dropped_crash_reports.clone());
        let permits = Family::default();
        registry.register("permits", "Permits for limited servers by result", permits.clone());
        let moves = Family::default();
        registry.register("moves", "Queries to hosts of other cells by result", moves.clone());
        let guests = Family::default();
        registry.register("guest_queries", "Queries of other cells by result", guests.clone());
        let health_checks = Family::default();
        let help = "Health checks of servers that were lost, by result";
        registry.register("health_checks", help, health_checks.clone());
        let hedges = Family::default();
        registry.register("hedged_requests", "Hedged requests by result", hedges.clone());
        let hedge_denials = Family::default();
        let help = "Decisions against a hedged request for a slow send, by reason";
        registry.register("hedges_denied", help, hedge_denials.clone());
        let hedge_waste = Counter::default();
        let help = "Time that servers spent on sends whose response was not used";
        registry.register_with_unit("hedge_waste", help, Unit::Seconds, hedge_waste.clone());
        let slow_callers = Family::default();
        let help = "Streams ended and callers disconnected for slowness";
        registry.register("slow_callers", help, slow_callers.clone());
        let server_limits = Family::default();
        let help = "Requests per second that a server accepts from all hosts, if it names a limit";
        registry.register("server_limit", help, server_limits.clone());
        let gauges = Gauges::default();
        let named = [
            ("catalog_version", "Version of the configuration", &gauges.catalog_version),
            ("catalog_age_ms", "Milliseconds since it was surely newest", &gauges.catalog_age_ms),
            ("servers", "Servers that are known", &gauges.servers),
            ("peers", "Entry hosts heard lately", &gauges.peers),
            ("waiting", "Requests that wait here", &gauges.waiting),
            ("connections", "Open connections of callers", &gauges.connections),
            ("buffered_bytes", "Bytes of request bodies that are held", &gauges.buffered_bytes),
            ("unread_bytes", "Bytes of events held for slow callers", &gauges.unread_bytes),
            ("isolated_parts", "Parts of prompts that are refused", &gauges.isolated_parts),
            ("limited_servers", "Servers that name a limit", &gauges.limited_servers),
            ("guests", "Requests of other cells that are counted here", &gauges.guests),
            ("evacuated_zones", "Availability zones that are evacuated", &gauges.evacuated_zones),
            ("cold_servers", "Servers that are cold", &gauges.cold_servers),
            (
                "urgent_services",
                "Services whose less urgent requests are refused while capacity is scarce",
                &gauges.urgent_services,
            ),
            (
                "uneven_services",
                "Services that refuse requests while a customer asks for far more than the others",
                &gauges.uneven_services,
            ),
        ];
        for (name, help, gauge) in named {
            registry.register(name, help, gauge.clone());
        }
        Telemetry {
            log,
            window: Cell::default(),
            lines: Cell::default(),
            omitted: Cell::default(),
            registry: RefCell::new(registry),
            requests,
            sends,
            server_faults,
            first_event,
            waited,
            dropped_lines,
            rewinds,
            dropped_crash_reports,
            permits,
            moves,
            guests,
            health_checks,
            hedges,
            hedge_denials,
            hedge_waste,
            slow_callers,
            server_limits,
            gauges,
        }
    }

    /// Returns the logger for a line of `kind`, unless the limit of this second is reached.
    pub(crate) fn limited_log(&self, now: Moment, kind: LineKind) -> Option<&Logger> {
        if now.since(self.window.get()) >= LINE_WINDOW {
            self.window.set(now);
            self.lines.set(0);
            let omitted = self.omitted.replace(0);
            if omitted > 0 {
                warn!(self.log, "log lines were left out"; "lines" => omitted);
            }
        }
        let limit = match kind {
            LineKind::Success => MAX_SUCCESS_LINES,
            LineKind::Failure => MAX_LINES,
        };
        if self.lines.get() >= limit {
            self.omitted.set(self.omitted.get() + 1);
            self.dropped_lines.inc();
            return None;
        }
        self.lines.set(self.lines.get() + 1);
        Some(&self.log)
    }

    /// Returns the logger for rare lines, which are not limited: start, stop and dependencies.
    pub(crate) fn log(&self) -> &Logger {
        &self.log
    }

    pub(crate) fn count_request(&self, label: RequestLabel) {
        self.requests.get_or_create(&label).inc();
    }

    pub(crate) fn count_send(&self, result: &'static str) {
        self.sends.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn count_server_fault(&self, fault: &'static str) {
        self.server_faults.get_or_create(&FaultLabel { fault }).inc();
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

    pub(crate) fn count_permit(&self, result: &'static str) {
        self.permits.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn count_move(&self, result: &'static str) {
        self.moves.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn count_guest(&self, result: &'static str) {
        self.guests.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn count_health_check(&self, result: &'static str) {
        self.health_checks.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn count_hedge(&self, result: &'static str) {
        self.hedges.get_or_create(&ResultLabel { result }).inc();
    }

    pub(crate) fn count_hedge_denial(&self, reason: &'static str) {
        self.hedge_denials.get_or_create(&ReasonLabel { reason }).inc();
    }

    pub(crate) fn count_hedge_waste(&self, time: Duration) {
        self.hedge_waste.inc_by(time.as_secs_f64());
    }

    pub(crate) fn count_slow_caller(&self, result: &'static str) {
        self.slow_callers.get_or_create(&ResultLabel { result }).inc();
    }

    /// Sets the limits that servers name; other servers have none.
    pub(crate) fn set_server_limits<'a>(
        &self,
        limits: impl IntoIterator<Item = (&'a str, RequestRate)>,
    ) {
        self.server_limits.clear();
        for (server, rate) in limits {
            let label = ServerLabel { server: server.to_owned() };
            self.server_limits.get_or_create(&label).set(rate.per_second());
        }
    }

    /// Sets the number of rewinds of the source.
    pub(crate) fn set_rewinds(&self, rewinds: u64) {
        self.rewinds.inc_by(rewinds.saturating_sub(self.rewinds.get()));
    }

    /// Sets the number of reports on crashes that were dropped because too many came.
    pub(crate) fn set_dropped_crash_reports(&self, dropped: u64) {
        let counter = &self.dropped_crash_reports;
        counter.inc_by(dropped.saturating_sub(counter.get()));
    }

    /// Returns all metrics in the text format.
    pub(crate) fn render(&self) -> String {
        let mut text = String::new();
        if let Err(error) = encode(&mut text, &self.registry.borrow()) {
            info!(self.log, "metrics cannot be written"; "error" => %error);
        }
        text
    }
}
