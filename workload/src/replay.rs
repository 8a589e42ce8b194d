//! Replays a seeded list of arrivals in virtual time against engine models, through a router.
//!
//! The replay simulates engines, arrivals and network delays; the router makes all decisions. The
//! replay doesn't model a whole cluster, only what the measurements of placement need.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::Reason;

use crate::replay_load::Arrival;
use wasabicrank_testutils::engine_model::EngineEvent;
use wasabicrank_testutils::engine_model::EngineEventKind;
use wasabicrank_testutils::engine_model::EngineModel;
use wasabicrank_testutils::engine_model::Holding;
use wasabicrank_testutils::engine_model::ModelConfig;
use wasabicrank_testutils::engine_model::Order;

/// The number of engines in a replay.
pub const ENGINES: usize = 16;

/// The number of entry hosts in a replay.
pub const HOSTS: usize = 5;

/// The number of zones in a replay.
pub const ZONES: usize = 3;

/// The one-way network delay between two zones.
const CROSS_ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// The one-way network delay within a zone.
const INTRA_ZONE_DELAY: Duration = Duration::from_micros(100);

/// How long a replay continues after the last arrival, so that admitted requests can finish.
const DRAIN_TIME: Duration = Duration::from_secs(400);

/// Returns the zone of an engine or entry host.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// Returns the one-way network delay between two machines.
pub fn delay(from: usize, to: usize) -> Duration {
    if zone_of(from) == zone_of(to) { INTRA_ZONE_DELAY } else { CROSS_ZONE_DELAY }
}

/// The faults of a replay.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// An engine that is ten times slower from the start.
    pub slow_engine: Option<usize>,
    /// A zone that is lost, and when.
    pub lost_zone: Option<LostZone>,
    /// The additional delay of reports between entry hosts.
    pub report_lag: Duration,
}

/// The loss of a zone.
#[derive(Debug, Clone, Copy)]
pub struct LostZone {
    /// The zone.
    pub zone: usize,
    /// When it is lost.
    pub at: Moment,
}

impl Faults {
    /// Returns whether a machine is lost at `now`.
    pub fn is_lost(&self, index: usize, now: Moment) -> bool {
        self.lost_zone.is_some_and(|lost| lost.zone == zone_of(index) && now >= lost.at)
    }
}

/// A message from an engine to the entry host that sent it an attempt.
#[derive(Debug, Clone, Copy)]
pub enum EngineReply {
    /// An event of the engine model.
    Event(EngineEvent),
    /// The attempt was not accepted because the memory is full.
    Full(AttemptId),
    /// The connection broke or could not be established.
    Broken(AttemptId),
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer arrived.
    Answered,
    /// It was refused or given up.
    Refused(Reason),
    /// Its deadline passed after it was admitted.
    Missed,
    /// Its entry host was lost.
    HostLost,
}

/// The outcome of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Record {
    /// The time to the first token.
    pub first: Option<Duration>,
    /// How it ended.
    pub end: Option<End>,
}

/// Decides where requests go.
pub trait Router {
    /// The messages between the router's components, and its timers.
    type Message;

    /// Sets the first timers.
    fn start(&mut self, _link: &mut Link<Self::Message>) {}

    /// Handles a request that arrives at its entry host.
    fn arrive(&mut self, request: usize, link: &mut Link<Self::Message>);

    /// Handles a message or timer.
    fn message(&mut self, message: Self::Message, link: &mut Link<Self::Message>);

    /// Handles a message from an engine to an entry host.
    fn engine_reply(&mut self, engine: usize, reply: EngineReply, link: &mut Link<Self::Message>);
}

/// A scheduled event of the replay.
enum ReplayEvent<M> {
    Arrive(usize),
    Submit { engine: usize, host: usize, order: Order },
    Cancel { engine: usize, attempt: AttemptId },
    Tick(usize),
    Reply { engine: usize, reply: EngineReply },
    Message(M),
    LoseZone(usize),
}

/// A reference to a scheduled event, ordered by time and then by sequence number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Moment,
    seq: u64,
    index: usize,
}

/// The router's interface to engines, to its other components and to the records.
pub struct Link<M> {
    /// The current virtual time.
    pub now: Moment,
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// The faults.
    pub faults: Faults,
    records: Vec<Record>,
    engines: Vec<EngineModel>,
    /// The time of each engine's next tick; ticks at any other time are stale.
    ticks: [Option<Moment>; ENGINES],
    /// The entry host of each attempt, which receives its engine's replies.
    entry_hosts: HashMap<AttemptId, usize>,
    heap: BinaryHeap<Reverse<Slot>>,
    events: Vec<Option<ReplayEvent<M>>>,
    free_slots: Vec<usize>,
    seq: u64,
}

impl<M> Link<M> {
    /// Sends a message that arrives after `delay`.
    pub fn send(&mut self, delay: Duration, message: M) {
        self.push(self.now + delay, ReplayEvent::Message(message));
    }

    /// Sends an order to an engine from an entry host.
    pub fn submit(&mut self, host: usize, engine: usize, order: Order) {
        let at = self.now + delay(host, engine);
        self.push(at, ReplayEvent::Submit { engine, host, order });
    }

    /// Cancels an attempt on an engine.
    pub fn cancel(&mut self, host: usize, engine: usize, attempt: AttemptId) {
        let at = self.now + delay(host, engine);
        self.push(at, ReplayEvent::Cancel { engine, attempt });
    }

    /// Records a request's first token.
    pub fn first_token(&mut self, request: usize) {
        let passed = self.now.since(self.arrivals[request].at);
        self.records[request].first.get_or_insert(passed);
    }

    /// Records how a request ended.
    pub fn end(&mut self, request: usize, end: End) {
        self.records[request].end.get_or_insert(end);
    }

    /// Returns an engine's listing, or `None` if the engine is lost.
    pub fn listing(&mut self, engine: usize) -> Option<Vec<Holding>> {
        let lost = self.faults.is_lost(engine, self.now);
        (!lost).then(|| self.engines[engine].holdings())
    }

    fn push(&mut self, at: Moment, event: ReplayEvent<M>) {
        let index = match self.free_slots.pop() {
            Some(index) => index,
            None => {
                self.events.push(None);
                self.events.len() - 1
            }
        };
        self.events[index] = Some(event);
        self.seq += 1;
        self.heap.push(Reverse(Slot { at, seq: self.seq, index }));
    }

    fn pop(&mut self) -> Option<(Moment, ReplayEvent<M>)> {
        let Reverse(slot) = self.heap.pop()?;
        let event = self.events[slot.index].take()?;
        self.free_slots.push(slot.index);
        Some((slot.at, event))
    }

    fn reply(&mut self, engine: usize, attempt: AttemptId, reply: EngineReply) {
        let Some(host) = self.entry_hosts.get(&attempt).copied() else { return };
        let at = self.now + delay(engine, host);
        self.push(at, ReplayEvent::Reply { engine, reply });
    }

    /// Advances an engine to the current time and delivers its events.
    fn work(&mut self, engine: usize) {
        for event in self.engines[engine].advance(self.now) {
            self.reply(engine, event.attempt, EngineReply::Event(event));
        }
        let next = self.engines[engine].next_event();
        if next != self.ticks[engine] {
            self.ticks[engine] = next;
            if let Some(at) = next {
                self.push(at, ReplayEvent::Tick(engine));
            }
        }
    }

    fn take_order(&mut self, engine: usize, host: usize, order: Order) {
        let attempt = order.attempt;
        self.entry_hosts.insert(attempt, host);
        if self.faults.is_lost(engine, self.now) {
            return self.reply(engine, attempt, EngineReply::Broken(attempt));
        }
        if self.engines[engine].submit(self.now, order).is_err() {
            self.reply(engine, attempt, EngineReply::Full(attempt));
        }
        self.work(engine);
    }

    fn lose_zone(&mut self, zone: usize) {
        for request in 0..self.arrivals.len() {
            let arrival = &self.arrivals[request];
            if arrival.at <= self.now && zone_of(arrival.host % HOSTS) == zone {
                self.end(request, End::HostLost);
            }
        }
        for engine in (0..ENGINES).filter(|engine| zone_of(*engine) == zone) {
            for holding in self.engines[engine].holdings() {
                let attempt = holding.attempt;
                self.engines[engine].cancel(self.now, attempt);
                self.reply(engine, attempt, EngineReply::Broken(attempt));
            }
        }
    }
}

/// The result of a replay.
#[derive(Debug, Clone)]
pub struct ReplayResult {
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// The outcome of each request.
    pub records: Vec<Record>,
    /// The most memory held on any engine, in tokens.
    pub peak_held: u32,
    /// How often an answer grew past an engine's memory.
    pub over_memory: u64,
    /// The memory that engines still held at the end, in tokens.
    pub left_held: u32,
}

/// Replays the arrivals through a router.
pub fn replay<R: Router>(mut router: R, arrivals: Vec<Arrival>, faults: Faults) -> ReplayResult {
    let end = arrivals.last().map_or(Moment(0), |last| last.at) + DRAIN_TIME;
    let mut link = link(arrivals, faults);
    router.start(&mut link);
    while let Some((at, event)) = link.pop() {
        if at > end {
            break;
        }
        link.now = at;
        step(&mut router, event, &mut link);
    }
    ReplayResult {
        peak_held: link.engines.iter().map(EngineModel::peak_held).max().unwrap_or(0),
        over_memory: link.engines.iter().map(EngineModel::over_memory).sum(),
        left_held: link.engines.iter().map(|engine| engine.load().held).sum(),
        arrivals: link.arrivals,
        records: link.records,
    }
}

fn step<R: Router>(router: &mut R, event: ReplayEvent<R::Message>, link: &mut Link<R::Message>) {
    match event {
        ReplayEvent::Arrive(request) => router.arrive(request, link),
        ReplayEvent::Submit { engine, host, order } => link.take_order(engine, host, order),
        ReplayEvent::Cancel { engine, attempt } => {
            link.engines[engine].cancel(link.now, attempt);
            link.work(engine);
        }
        ReplayEvent::Tick(engine) => {
            if link.ticks[engine] == Some(link.now) {
                link.ticks[engine] = None;
                link.work(engine);
            }
        }
        ReplayEvent::Reply { engine, reply } => router.engine_reply(engine, reply, link),
        ReplayEvent::Message(message) => router.message(message, link),
        ReplayEvent::LoseZone(zone) => link.lose_zone(zone),
    }
}

fn link<M>(arrivals: Vec<Arrival>, faults: Faults) -> Link<M> {
    let config = |engine: usize| {
        let slow = faults.slow_engine == Some(engine);
        let config = ModelConfig { token_events: false, ..ModelConfig::default() };
        if slow { slowed(config) } else { config }
    };
    let mut link = Link {
        now: Moment(0),
        records: vec![Record::default(); arrivals.len()],
        engines: (0..ENGINES).map(|engine| EngineModel::new(config(engine))).collect(),
        ticks: [None; ENGINES],
        entry_hosts: HashMap::new(),
        heap: BinaryHeap::new(),
        events: Vec::new(),
        free_slots: Vec::new(),
        seq: 0,
        arrivals,
        faults,
    };
    for request in 0..link.arrivals.len() {
        let at = link.arrivals[request].at;
        link.push(at, ReplayEvent::Arrive(request));
    }
    if let Some(lost) = link.faults.lost_zone {
        link.push(lost.at, ReplayEvent::LoseZone(lost.zone));
    }
    link
}

fn slowed(config: ModelConfig) -> ModelConfig {
    ModelConfig {
        prefill_rate: config.prefill_rate / 10,
        step_base: config.step_base * 10,
        step_stream: config.step_stream * 10,
        ..config
    }
}

/// Returns whether an event is the attempt's first token.
pub fn is_first(event: &EngineEvent) -> bool {
    matches!(event.kind, EngineEventKind::Started { .. })
}
