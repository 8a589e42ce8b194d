//! Metrics in the Prometheus text format, with names and units by its conventions.
//!
//! Counters and histograms are updated by events; gauges are updated by each snapshot of the core.

use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;
use prometheus_client::registry::Unit;

use crate::coordination::NodeStatus;
use crate::state::EngineLoad;
use crate::state::EngineName;
use crate::state::Event;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;

use super::DropCause;
use super::LinkCounters;
use super::PeerCounters;

/// The upper bound of each prompt length bucket, in tokens, with the bucket's label.
const LENGTH_BUCKETS: [(u32, &str); 6] = [
    (1024, "1k"),
    (4 * 1024, "4k"),
    (16 * 1024, "16k"),
    (64 * 1024, "64k"),
    (256 * 1024, "256k"),
    (1024 * 1024, "1m"),
];
/// The label of prompts that are longer than every bucket.
const OVER_LENGTH_LABEL: &str = "over_1m";
/// The upper bounds of the time to the first token, in seconds.
const FIRST_TOKEN_BOUNDS: [f64; 14] =
    [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.7, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0];
/// The upper bounds of the slowdown.
const SLOWDOWN_BOUNDS: [f64; 9] = [1.05, 1.1, 1.2, 1.3, 1.5, 2.0, 3.0, 5.0, 10.0];
/// The minimum time to the first token that is assumed for an idle engine.
const MIN_IDLE_TIME: Duration = Duration::from_millis(10);
/// How many open requests are tracked for their prompt length.
const MAX_OPEN: usize = 65_536;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LengthLabel {
    prompt: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RefusalLabel {
    reason: &'static str,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EngineLabel {
    engine: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueLabel {
    engine: String,
    length: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct LinkLabel {
    link: &'static str,
    direction: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StateLabel {
    state: &'static str,
}

type BoundedHistogram = Family<LengthLabel, Histogram, fn() -> Histogram>;

/// The prefill rates of engines, in tokens a second, from the newest snapshot.
#[derive(Debug, Default)]
struct PrefillRates {
    engines: HashMap<EngineName, u32>,
}

impl PrefillRates {
    /// Returns the rate of `engine`, or the mean of those known if another host dispatches to it.
    fn of(&self, engine: &EngineName) -> Option<f64> {
        let own = self.engines.get(engine).copied().map(f64::from);
        let sum: f64 = self.engines.values().copied().map(f64::from).sum();
        let mean = || sum / self.engines.len() as f64;
        own.or_else(|| (!self.engines.is_empty()).then(mean))
    }
}

/// Counters and histograms that are updated by events.
struct EventMetrics {
    requests: Counter,
    completed: Counter,
    tokens: Counter,
    moves: Counter,
    orphans: Counter,
    orders: Counter,
    refusals: Family<RefusalLabel, Counter>,
    first_token: BoundedHistogram,
    slowdown: BoundedHistogram,
}

/// Gauges and totals that are updated by snapshots.
#[derive(Default)]
struct SnapshotMetrics {
    open: Gauge,
    ready: Gauge,
    shards: Gauge,
    config: Gauge,
    config_age: Gauge,
    refused_config: Gauge,
    list: Gauge,
    peers: Family<StateLabel, Gauge>,
    held: Family<EngineLabel, Gauge>,
    memory: Family<EngineLabel, Gauge>,
    waiting: Family<QueueLabel, Gauge>,
    failed_connects: Counter,
    drops: Family<CauseLabel, Counter>,
    bytes: Family<LinkLabel, Counter>,
    messages: Family<LinkLabel, Counter>,
}

/// A count since the start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MetricCount {
    /// The name of the counter.
    pub name: String,
    /// The count.
    pub count: u64,
}

impl MetricCount {
    fn new(name: &str, count: u64) -> Self {
        MetricCount { name: name.to_owned(), count }
    }
}

/// The metrics of one process.
pub struct Metrics {
    registry: Registry,
    events: EventMetrics,
    snapshot: SnapshotMetrics,
    /// The prompt tokens of each request until it ends.
    open: Mutex<HashMap<RequestId, u32>>,
    rates: Mutex<PrefillRates>,
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers all metrics.
    ///
    /// ```
    /// use wasabicrank_lib::state::Event;
    /// use wasabicrank_lib::transport::Metrics;
    /// let metrics = Metrics::new();
    /// metrics.observe(&Event::StopBegan);
    /// assert!(metrics.text().contains("wasabicrank_requests_total 0"));
    /// ```
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix("wasabicrank");
        let events = EventMetrics::register(&mut registry);
        let snapshot = SnapshotMetrics::default();
        snapshot.register(&mut registry);
        Metrics { registry, events, snapshot, open: Mutex::default(), rates: Mutex::default() }
    }

    /// Updates the metrics by an event.
    pub fn observe(&self, event: &Event) {
        match event {
            Event::Admitted { request, prompt_tokens, .. } => {
                self.events.requests.inc();
                self.track_request(*request, *prompt_tokens);
            }
            Event::FirstToken { attempt, engine, after } => {
                self.observe_first_token(attempt.request, engine, *after);
            }
            Event::Moved { .. } => {
                self.events.moves.inc();
            }
            Event::Completed { request, tokens, .. } => {
                self.events.completed.inc();
                self.events.tokens.inc_by(u64::from(*tokens));
                self.untrack_request(*request);
            }
            Event::Refused { request, refusal } => {
                self.events.refusals.get_or_create(&RefusalLabel::from(refusal)).inc();
                self.untrack_request(*request);
            }
            Event::OrphanCancelled { .. } => {
                self.events.orphans.inc();
            }
            Event::OrderSent { .. } => {
                self.events.orders.inc();
            }
            _ => {}
        }
    }

    /// Updates the gauges from a snapshot; `shed` is the number of messages that the rings into the core
    /// have shed.
    pub fn record(&self, status: &NodeStatus, links: &PeerCounters, shed: u64) {
        let gauges = &self.snapshot;
        gauges.open.set(signed(status.open as u64));
        gauges.ready.set(i64::from(status.ready));
        gauges.shards.set(signed(status.shards.len() as u64));
        gauges.config.set(signed(status.config.version));
        gauges.config_age.set(signed(status.config.age.as_secs()));
        let refused = status.config.refused.as_ref().map_or(0, |refused| refused.version);
        gauges.refused_config.set(signed(refused));
        gauges.list.set(signed(status.list));
        gauges.record_peers(status);
        gauges.record_engines(status);
        gauges.record_links(links, shed);
        self.update_rates(status);
    }

    /// Returns the main counts since the start, for the status page.
    pub fn counts(&self) -> Vec<MetricCount> {
        let events = &self.events;
        let mut counts = vec![
            MetricCount::new("requests", events.requests.get()),
            MetricCount::new("completed_requests", events.completed.get()),
            MetricCount::new("answer_tokens", events.tokens.get()),
            MetricCount::new("moves", events.moves.get()),
            MetricCount::new("orphans_cancelled", events.orphans.get()),
        ];
        counts.extend(Reason::ALL.iter().filter_map(|reason| self.refused_for(*reason)));
        counts.extend(DropCause::ALL.iter().filter_map(|cause| self.dropped_for(*cause)));
        counts
    }

    /// Returns the number of requests refused for `reason`, if there are any.
    fn refused_for(&self, reason: Reason) -> Option<MetricCount> {
        let outcomes = [Outcome::NotRun, Outcome::Unknown, Outcome::Failed];
        let labels = outcomes
            .map(|outcome| RefusalLabel { reason: reason.as_str(), outcome: outcome.as_str() });
        let counts = labels.iter().filter_map(|label| self.events.refusals.get(label));
        let count = counts.map(|counter| counter.get()).sum();
        (count > 0).then(|| MetricCount { name: format!("refused_{reason}"), count })
    }

    /// Returns the number of drops for `cause`, if there are any.
    fn dropped_for(&self, cause: DropCause) -> Option<MetricCount> {
        let label = CauseLabel { cause: cause.as_str() };
        let count = self.snapshot.drops.get(&label).map_or(0, |counter| counter.get());
        (count > 0).then(|| MetricCount { name: format!("dropped_{}", cause.as_str()), count })
    }

    /// Returns all metrics as text.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail; after an encoder error the text would be incomplete.
        let _ = encode(&mut text, &self.registry);
        text
    }

    fn track_request(&self, request: RequestId, prompt_tokens: u32) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if open.len() < MAX_OPEN {
            open.insert(request, prompt_tokens);
        }
    }

    fn untrack_request(&self, request: RequestId) {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).remove(&request);
    }

    /// Records the first token of a request; later attempts continue an answer that has already begun.
    fn observe_first_token(&self, request: RequestId, engine: &EngineName, after: Duration) {
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(prompt_tokens) = open.get(&request).copied() else { return };
        drop(open);
        let label = LengthLabel { prompt: length_label(prompt_tokens) };
        self.events.first_token.get_or_create(&label).observe(after.as_secs_f64());
        let rate = self.rates.lock().unwrap_or_else(PoisonError::into_inner).of(engine);
        if let Some(rate) = rate {
            let idle_time = (f64::from(prompt_tokens) / rate).max(MIN_IDLE_TIME.as_secs_f64());
            self.events.slowdown.get_or_create(&label).observe(after.as_secs_f64() / idle_time);
        }
    }

    fn update_rates(&self, status: &NodeStatus) {
        let loads = status.targets.iter().filter_map(|target| target.load.as_ref());
        let known = loads.filter(|load| load.prefill_rate > 0);
        let engines = known.map(|load| (load.engine.clone(), load.prefill_rate)).collect();
        *self.rates.lock().unwrap_or_else(PoisonError::into_inner) = PrefillRates { engines };
    }
}

impl EventMetrics {
    fn register(registry: &mut Registry) -> EventMetrics {
        let first_token: BoundedHistogram =
            Family::new_with_constructor(|| Histogram::new(FIRST_TOKEN_BOUNDS));
        let slowdown: BoundedHistogram =
            Family::new_with_constructor(|| Histogram::new(SLOWDOWN_BOUNDS));
        let metrics = EventMetrics {
            requests: Counter::default(),
            completed: Counter::default(),
            tokens: Counter::default(),
            moves: Counter::default(),
            orphans: Counter::default(),
            orders: Counter::default(),
            refusals: Family::default(),
            first_token,
            slowdown,
        };
        let m = &metrics;
        registry.register("requests", "Requests admitted", m.requests.clone());
        registry.register("completed_requests", "Requests answered whole", m.completed.clone());
        registry.register("answer_tokens", "Tokens of whole answers", m.tokens.clone());
        registry.register("moves", "Attempts that moved to another engine", m.moves.clone());
        registry.register("orphans_cancelled", "Orphans cancelled", m.orphans.clone());
        registry.register("orders", "Orders sent to engines", m.orders.clone());
        registry.register("refusals", "Requests refused or failed", m.refusals.clone());
        registry.register_with_unit(
            "first_token",
            "Time to the first token",
            Unit::Seconds,
            m.first_token.clone(),
        );
        registry.register_with_unit(
            "slowdown",
            "Time to the first token over an idle engine's time to read the prompt uncached",
            Unit::Other("ratio".to_owned()),
            m.slowdown.clone(),
        );
        metrics
    }
}

impl SnapshotMetrics {
    fn register(&self, registry: &mut Registry) {
        let tokens = || Unit::Other("tokens".to_owned());
        registry.register("open_requests", "Requests without a final answer", self.open.clone());
        registry.register("ready", "Whether new requests are welcome", self.ready.clone());
        registry.register("led_shards", "Shards of keys that are led here", self.shards.clone());
        registry.register("config_version", "Configuration in force", self.config.clone());
        let refused = self.refused_config.clone();
        registry.register("refused_config_version", "Newest configuration refused", refused);
        registry.register("live_list_version", "Live list in use", self.list.clone());
        registry.register("peers", "Peers by their state", self.peers.clone());
        registry.register("drops", "What was shed or dropped, by cause", self.drops.clone());
        registry.register("peer_messages", "Messages between entry hosts", self.messages.clone());
        let failed = self.failed_connects.clone();
        registry.register("failed_peer_connects", "Failed tries to connect to peers", failed);
        let age = self.config_age.clone();
        registry.register_with_unit("config_age", "Time in force", Unit::Seconds, age);
        let bytes = self.bytes.clone();
        registry.register_with_unit("peer", "Bytes between entry hosts", Unit::Bytes, bytes);
        let held = self.held.clone();
        registry.register_with_unit("engine_held", "Memory held on engines", tokens(), held);
        let memory = self.memory.clone();
        registry.register_with_unit("engine_memory", "Memory of engines", tokens(), memory);
        let waiting = self.waiting.clone();
        registry.register_with_unit("engine_waiting", "Prompts not yet read", tokens(), waiting);
    }

    fn record_peers(&self, status: &NodeStatus) {
        let alive = status.peers.iter().filter(|peer| peer.alive).count();
        let suspected = status.peers.len() - alive;
        for (state, count) in [("alive", alive), ("suspected", suspected)] {
            self.peers.get_or_create(&StateLabel { state }).set(signed(count as u64));
        }
    }

    /// Updates the engines' gauges; removes those of engines that this host no longer dispatches to.
    fn record_engines(&self, status: &NodeStatus) {
        self.held.clear();
        self.memory.clear();
        self.waiting.clear();
        let loads = status.targets.iter().filter_map(|target| target.load.as_ref());
        loads.for_each(|load| self.record_engine(load));
    }

    fn record_engine(&self, load: &EngineLoad) {
        let engine = load.engine.to_string();
        let label = EngineLabel { engine: engine.clone() };
        self.held.get_or_create(&label).set(i64::from(load.held));
        self.memory.get_or_create(&label).set(i64::from(load.memory));
        for (length, tokens) in [("short", load.short_tokens), ("long", load.long_tokens)] {
            let label = QueueLabel { engine: engine.clone(), length };
            self.waiting.get_or_create(&label).set(i64::from(tokens));
        }
    }

    fn record_links(&self, links: &PeerCounters, shed: u64) {
        self.record_link("control", &links.control);
        self.record_link("work", &links.work);
        let failed = links.failed_connects.saturating_sub(self.failed_connects.get());
        self.failed_connects.inc_by(failed);
        raise_to(&self.drops, CauseLabel { cause: "core_ring_full" }, shed);
        for drop in &links.drops {
            raise_to(&self.drops, CauseLabel { cause: drop.cause.as_str() }, drop.count);
        }
    }

    fn record_link(&self, link: &'static str, counters: &LinkCounters) {
        let (incoming, outgoing) =
            (LinkLabel { link, direction: "in" }, LinkLabel { link, direction: "out" });
        raise_to(&self.bytes, incoming.clone(), counters.bytes_in);
        raise_to(&self.bytes, outgoing.clone(), counters.bytes_out);
        raise_to(&self.messages, incoming, counters.messages_in);
        raise_to(&self.messages, outgoing, counters.messages_out);
    }
}

impl From<&Refusal> for RefusalLabel {
    fn from(refusal: &Refusal) -> Self {
        RefusalLabel { reason: refusal.reason.as_str(), outcome: refusal.outcome.as_str() }
    }
}

/// Increases a counter to a total that is counted elsewhere.
fn raise_to<L>(family: &Family<L, Counter>, label: L, total: u64)
where
    L: Clone + std::hash::Hash + Eq,
{
    let counter = family.get_or_create(&label);
    counter.inc_by(total.saturating_sub(counter.get()));
}

fn signed(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

fn length_label(prompt_tokens: u32) -> &'static str {
    let bucket = LENGTH_BUCKETS.iter().find(|(longest, _)| prompt_tokens <= *longest);
    bucket.map_or(OVER_LENGTH_LABEL, |(_, label)| label)
}
