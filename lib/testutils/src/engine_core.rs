//! State of the engine stand-in: the model, its streams, load reports and cache events.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::Notify;
use tokio::sync::mpsc;
use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::Moment;

use crate::clock::ScaledClock;
use crate::engine::EngineConfig;
use crate::engine::EngineCounts;
use crate::engine_model::EngineEvent;
use crate::engine_model::EngineEventKind;
use crate::engine_model::EngineModel;
use crate::engine_model::Finish;
use crate::engine_model::Holding;
use crate::engine_model::ModelLoad;
use crate::engine_model::Order;
use crate::engine_model::Rejection;
use crate::engine_model::Work;
use crate::engine_orders::EngineOrder;
use crate::engine_orders::EngineSetup;
use crate::engine_orders::LoadedModel;
use crate::engine_orders::StaleFence;
use crate::exports::SegmentRef;
use crate::prefix_cache::CacheEvent;
use crate::server::lock;
use crate::stream_faults::StreamFaults;
use crate::text::TextHash;
use crate::text::answer_text;
use crate::text::token_count;

/// Interval at which load reports are taken and segments on other engines are checked.
const TICK: Duration = Duration::from_millis(20);

/// How long load reports are retained.
const LOAD_HISTORY: Duration = Duration::from_secs(30);

/// Maximum number of cache events in one response.
const CACHE_PAGE: usize = 10_000;

/// An event sent to the reader of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamItem {
    /// Prefill finished.
    Started { cached: u32, prefill: Duration },
    /// One answer token was generated.
    Token { offset: u32 },
    /// The answer is complete.
    Finished { tokens: u32, finish: Finish },
    /// A segment was prefilled and is held for other engines.
    Exported { export: String, tokens: u32 },
}

/// A parsed and validated request for an answer or a segment.
#[derive(Debug, Clone)]
pub(crate) struct Submission {
    pub(crate) attempt: AttemptId,
    pub(crate) owner: Incarnation,
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) priority: u8,
    pub(crate) segments: Vec<SegmentRef>,
    /// The text of the answer tokens that the caller already has; empty if not supplied.
    pub(crate) prior_text: String,
    pub(crate) work: Work,
}

impl Submission {
    /// Returns whether the supplied earlier text matches the answer to the prompt with `hash`.
    fn matches_answer(&self, hash: u64) -> bool {
        let Work::Stream { resume_from, .. } = self.work else { return true };
        self.prior_text.is_empty() || self.prior_text == answer_text(hash, 0, resume_from)
    }
}

/// Why an engine rejects a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineRefusal {
    MemoryFull,
    UnknownModel,
    Leaving,
    BadSegment,
    ResumeMismatch,
    Duplicate,
}

/// The receiving end of an accepted request's stream.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) attempt: AttemptId,
    /// The hash of the full prompt text.
    pub(crate) hash: u64,
    /// The simulated process generation in which it runs.
    pub(crate) generation: u64,
    pub(crate) items: mpsc::UnboundedReceiver<StreamItem>,
}

/// State of a running attempt that the model does not track.
#[derive(Debug)]
struct Running {
    sender: mpsc::UnboundedSender<StreamItem>,
    text: TextHash,
    segments: Vec<SegmentRef>,
    export: Option<String>,
}

/// A load report with the time it was taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadReport {
    pub(crate) taken: Instant,
    pub(crate) load: ModelLoad,
}

#[derive(Debug)]
struct State {
    model: EngineModel,
    clock: ScaledClock,
    generation: u64,
    leaving: bool,
    running: HashMap<AttemptId, Running>,
    setup: EngineSetup,
    reports: VecDeque<LoadReport>,
    cache_events: VecDeque<(Instant, CacheEvent)>,
    faults: StreamFaults,
    load_lag: Duration,
    cache_lag: Duration,
    cache_gap_every: u64,
    counts: EngineCounts,
}

/// The state of an engine stand-in, shared by its HTTP interface and its driver.
#[derive(Debug)]
pub(crate) struct EngineCore {
    config: EngineConfig,
    addr: Mutex<Option<SocketAddr>>,
    state: Mutex<State>,
    changed: Notify,
}

impl EngineCore {
    pub(crate) fn new(config: EngineConfig) -> EngineCore {
        let state = State {
            model: EngineModel::new(config.model.clone()),
            clock: ScaledClock::new(config.speed),
            generation: 0,
            leaving: false,
            running: HashMap::new(),
            setup: EngineSetup::new(config.models.clone(), config.fenced),
            reports: VecDeque::new(),
            cache_events: VecDeque::new(),
            faults: StreamFaults::default(),
            load_lag: config.load_lag,
            cache_lag: config.cache_lag,
            cache_gap_every: config.cache_gap_every,
            counts: EngineCounts::default(),
        };
        let changed = Notify::new();
        EngineCore { config, addr: Mutex::default(), state: Mutex::new(state), changed }
    }

    pub(crate) fn config(&self) -> &EngineConfig {
        &self.config
    }

    pub(crate) fn set_addr(&self, addr: SocketAddr) {
        *lock(&self.addr) = Some(addr);
    }

    /// Advances the model with the clock until the task is aborted.
    pub(crate) async fn drive(self: Arc<Self>) {
        loop {
            let wait = self.work().unwrap_or(TICK).min(TICK);
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.changed.notified() => {}
            }
        }
    }

    /// Accepts a request or returns why it was rejected.
    pub(crate) fn submit(&self, submission: Submission) -> Result<OpenStream, EngineRefusal> {
        let mut text = self.import(&submission.segments)?;
        let blocks = text.read(&submission.prompt);
        let hash = text.value();
        let mut state = lock(&self.state);
        if !submission.matches_answer(hash) {
            state.counts.wrong_resumes += 1;
            return Err(EngineRefusal::ResumeMismatch);
        }
        state.admit(&submission)?;
        let attempt = submission.attempt;
        let order = Order {
            attempt,
            owner: submission.owner,
            priority: submission.priority,
            prompt_tokens: token_count(&submission.prompt),
            blocks,
            work: submission.work,
        };
        let (sender, items) = mpsc::unbounded_channel();
        if !self.config.instant {
            state.submit(order)?;
            let segments = submission.segments;
            state.running.insert(attempt, Running { sender, text, segments, export: None });
        } else {
            send_instant_answer(&sender, submission.work);
        }
        state.counts.accepted += 1;
        let generation = state.generation;
        drop(state);
        self.config.runs.add(attempt.request.to_string());
        self.changed.notify_one();
        Ok(OpenStream { attempt, hash, generation, items })
    }

    /// Cancels an attempt and frees its memory and export; returns whether it existed.
    pub(crate) fn cancel(&self, attempt: AttemptId) -> bool {
        let mut state = lock(&self.state);
        let now = state.clock.now();
        let cancelled = state.model.cancel(now, attempt);
        let running = state.running.remove(&attempt);
        state.counts.cancelled += u64::from(cancelled);
        if let (Some(addr), Some(export)) =
            (*lock(&self.addr), running.and_then(|running| running.export))
        {
            self.config.exports.drop_export(addr, &export);
        }
        drop(state);
        self.changed.notify_one();
        cancelled
    }

    /// Records that a stream's reader disconnected before the end.
    pub(crate) fn abandon(&self, attempt: AttemptId, generation: u64) {
        let mut state = lock(&self.state);
        if state.generation != generation || !state.running.contains_key(&attempt) {
            return;
        }
        let now = state.clock.now();
        state.model.abandon(now, attempt);
        state.counts.abandoned += 1;
    }

    /// Records an order and checks its fencing number; returns whether it needs weights loaded.
    pub(crate) fn receive(&self, order: &EngineOrder) -> Result<bool, StaleFence> {
        let mut state = lock(&self.state);
        state.setup.receive(order)?;
        Ok(state.setup.needs_weights(&order.action))
    }

    /// Applies an order.
    pub(crate) fn apply(&self, order: &EngineOrder) {
        lock(&self.state).setup.apply(&order.action);
    }

    /// Returns the newest load report at least as old as the lag, the setup, and the leaving flag.
    pub(crate) fn report(&self) -> (LoadReport, EngineSetup, bool) {
        let state = lock(&self.state);
        (state.report(), state.setup.clone(), state.leaving)
    }

    /// Returns the cache events after `after` whose delay has passed, and the next cursor.
    pub(crate) fn cache_events(&self, after: u64) -> (u64, Vec<CacheEvent>) {
        let state = lock(&self.state);
        let lag = state.cache_lag;
        let gap = state.cache_gap_every;
        let due = state.cache_events.iter().take_while(|(at, _)| at.elapsed() >= lag);
        let fresh = due.map(|(_, event)| *event).filter(|event| event.seq > after);
        let page: Vec<CacheEvent> = fresh.take(CACHE_PAGE).collect();
        let next = page.last().map_or(after, |event| event.seq);
        let kept = page.into_iter().filter(|event| gap == 0 || !event.seq.is_multiple_of(gap));
        (next, kept.collect())
    }

    pub(crate) fn stream_faults(&self) -> StreamFaults {
        lock(&self.state).faults
    }

    pub(crate) fn set_stream_faults(&self, faults: StreamFaults) {
        lock(&self.state).faults = faults;
    }

    pub(crate) fn counts(&self) -> EngineCounts {
        let state = lock(&self.state);
        let mut counts = state.counts;
        counts.peak_held = counts.peak_held.max(state.model.peak_held());
        counts.over_memory += state.model.over_memory();
        counts
    }

    pub(crate) fn load(&self) -> ModelLoad {
        lock(&self.state).model.load()
    }

    pub(crate) fn holdings(&self) -> Vec<Holding> {
        lock(&self.state).model.holdings()
    }

    /// Lists the attempts, each with its age in real time.
    pub(crate) fn listing(&self) -> Vec<(Holding, Duration)> {
        let state = lock(&self.state);
        let now = state.clock.now();
        let age = |since: Moment| now.since(since).div_f64(state.clock.speed());
        let holdings = state.model.holdings().into_iter();
        holdings.map(|holding| (holding, age(holding.since))).collect()
    }

    pub(crate) fn orders(&self) -> Vec<EngineOrder> {
        lock(&self.state).setup.received.clone()
    }

    pub(crate) fn models(&self) -> Vec<LoadedModel> {
        lock(&self.state).setup.models.clone()
    }

    /// Clears the memory as a process crash would; counters and loaded models are kept.
    pub(crate) fn reset(&self) {
        let counts = self.counts();
        let mut state = lock(&self.state);
        state.counts = counts;
        state.model = EngineModel::new(self.config.model.clone());
        state.running.clear();
        state.reports.clear();
        state.cache_events.clear();
        state.generation += 1;
        if let Some(addr) = *lock(&self.addr) {
            self.config.exports.drop_engine(addr);
        }
    }

    pub(crate) fn set_frozen(&self, frozen: bool) {
        lock(&self.state).clock.set_frozen(frozen);
        self.changed.notify_one();
    }

    pub(crate) fn set_speed(&self, speed: f64) {
        lock(&self.state).clock.set_speed(speed);
        self.changed.notify_one();
    }

    pub(crate) fn set_leaving(&self, leaving: bool) {
        lock(&self.state).leaving = leaving;
    }

    pub(crate) fn set_load_lag(&self, lag: Duration) {
        lock(&self.state).load_lag = lag;
    }

    pub(crate) fn set_cache_faults(&self, lag: Duration, gap_every: u64) {
        let mut state = lock(&self.state);
        state.cache_lag = lag;
        state.cache_gap_every = gap_every;
    }

    fn import(&self, segments: &[SegmentRef]) -> Result<TextHash, EngineRefusal> {
        self.config.exports.import(segments).ok_or(EngineRefusal::BadSegment)
    }

    /// Advances the model to now and forwards its events to the streams; returns the time until
    /// the next event.
    fn work(&self) -> Option<Duration> {
        let mut state = lock(&self.state);
        let now = state.clock.now();
        let events = state.model.advance(now);
        for event in events {
            self.forward(&mut state, event);
        }
        self.cancel_orphaned(&mut state);
        state.take_report();
        let next = state.model.next_event()?;
        Some(state.clock.until(next))
    }

    /// Forwards a model event to the reader of its stream.
    fn forward(&self, state: &mut State, event: EngineEvent) {
        let generation = state.generation;
        let Some(running) = state.running.get_mut(&event.attempt) else { return };
        let item = match event.kind {
            EngineEventKind::Started { cached, prefill } => StreamItem::Started { cached, prefill },
            EngineEventKind::Token { offset } => StreamItem::Token { offset },
            EngineEventKind::Finished { tokens, finish } => StreamItem::Finished { tokens, finish },
            EngineEventKind::Exported { export, tokens } => {
                let export = format!("{generation}-{export}");
                running.export = Some(export.clone());
                if let Some(engine) = *lock(&self.addr) {
                    let segment = SegmentRef { engine, export: export.clone(), tokens };
                    let before = running.segments.clone();
                    self.config.exports.hold(segment, running.text.clone(), before);
                }
                StreamItem::Exported { export, tokens }
            }
            // Dropping the sender ends the stream without its closing events.
            EngineEventKind::OutOfMemory => {
                state.running.remove(&event.attempt);
                return;
            }
        };
        let ends = matches!(item, StreamItem::Finished { .. });
        let _ = running.sender.send(item);
        if ends {
            state.running.remove(&event.attempt);
        }
    }

    /// Cancels attempts that depend on segments which are no longer held.
    fn cancel_orphaned(&self, state: &mut State) {
        let is_orphaned = |running: &Running| {
            !running.segments.is_empty() && !self.config.exports.are_held(&running.segments)
        };
        let orphaned: Vec<AttemptId> = state
            .running
            .iter()
            .filter(|(_, running)| is_orphaned(running))
            .map(|(attempt, _)| *attempt)
            .collect();
        let now = state.clock.now();
        for attempt in orphaned {
            state.model.cancel(now, attempt);
            if let (Some(addr), Some(export)) = (
                *lock(&self.addr),
                state.running.remove(&attempt).and_then(|running| running.export),
            ) {
                self.config.exports.drop_export(addr, &export);
            }
        }
    }
}

impl State {
    /// Rejects requests while the engine is leaving and requests for models that are not loaded.
    fn admit(&mut self, submission: &Submission) -> Result<(), EngineRefusal> {
        if self.leaving {
            self.counts.turned_away += 1;
            return Err(EngineRefusal::Leaving);
        }
        if self.setup.model(&submission.model).is_none() {
            return Err(EngineRefusal::UnknownModel);
        }
        Ok(())
    }

    fn submit(&mut self, order: Order) -> Result<(), EngineRefusal> {
        let now = self.clock.now();
        self.model.submit(now, order).map_err(|rejection| match rejection {
            Rejection::MemoryFull => {
                self.counts.memory_full += 1;
                EngineRefusal::MemoryFull
            }
            Rejection::Duplicate => EngineRefusal::Duplicate,
        })
    }

    /// Returns the newest load report at least as old as the lag; the oldest if none is.
    fn report(&self) -> LoadReport {
        let fresh = LoadReport { taken: Instant::now(), load: self.model.load() };
        if self.load_lag.is_zero() {
            return fresh;
        }
        let old = self.reports.iter().rev().find(|report| report.taken.elapsed() >= self.load_lag);
        old.or(self.reports.front()).copied().unwrap_or(fresh)
    }

    /// Stores a load report and new cache events for later readers.
    fn take_report(&mut self) {
        let taken = Instant::now();
        let last = self.reports.back().map(|report| report.taken);
        if last.is_none_or(|last| taken - last >= TICK) {
            let load = self.model.load();
            self.reports.push_back(LoadReport { taken, load });
        }
        while self.reports.front().is_some_and(|report| taken - report.taken > LOAD_HISTORY) {
            self.reports.pop_front();
        }
        let events = self.model.take_cache_events().into_iter();
        self.cache_events.extend(events.map(|event| (taken, event)));
    }
}

/// Sends a complete answer without running the model.
fn send_instant_answer(sender: &mpsc::UnboundedSender<StreamItem>, work: Work) {
    let Work::Stream { resume_from, answer_tokens, .. } = work else { return };
    let _ = sender.send(StreamItem::Started { cached: 0, prefill: Duration::ZERO });
    for offset in resume_from..answer_tokens {
        let _ = sender.send(StreamItem::Token { offset });
    }
    let _ = sender.send(StreamItem::Finished { tokens: answer_tokens, finish: Finish::Length });
}
