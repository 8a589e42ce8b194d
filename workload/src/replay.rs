//! A replay in virtual time: a seeded arrival list against engine models, through a router.
//!
//! The replay knows engines, arrivals and delays; what is decided is the router's. It is no model of
//! a whole cluster: it has what the measures of placement need.

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

/// The engines of a replay.
pub const ENGINES: usize = 16;

/// The entry hosts of a replay.
pub const HOSTS: usize = 5;

/// The zones of a replay.
pub const ZONES: usize = 3;

/// The time one way between two zones.
const ZONE_DELAY: Duration = Duration::from_micros(1_500);

/// The time one way within a zone.
const NEAR_DELAY: Duration = Duration::from_micros(100);

/// How long after the last arrival a replay goes on, so that what was admitted can end.
const TAIL: Duration = Duration::from_secs(400);

/// Returns the zone of an engine or entry host.
pub fn zone_of(index: usize) -> usize {
    index % ZONES
}

/// Returns the time one way between two machines.
pub fn delay(from: usize, to: usize) -> Duration {
    if zone_of(from) == zone_of(to) { NEAR_DELAY } else { ZONE_DELAY }
}

/// The faults of a replay.
#[derive(Debug, Clone, Default)]
pub struct Faults {
    /// An engine that is ten times slower from the start.
    pub slow_engine: Option<usize>,
    /// A zone that is lost, and when.
    pub lost_zone: Option<LostZone>,
    /// By how much reports between entry hosts lag in addition.
    pub report_lag: Duration,
}

/// The loss of a zone.
#[derive(Debug, Clone, Copy)]
pub struct LostZone {
    /// The zone.
    pub zone: usize,
    /// When.
    pub at: Moment,
}

impl Faults {
    /// Tells whether a machine is gone at `now`.
    pub fn is_lost(&self, index: usize, now: Moment) -> bool {
        self.lost_zone.is_some_and(|lost| lost.zone == zone_of(index) && now >= lost.at)
    }
}

/// What an engine tells the entry host that sent it an attempt.
#[derive(Debug, Clone, Copy)]
pub enum EngineSays {
    /// The engine model's own event.
    Event(EngineEvent),
    /// The attempt was not taken: the memory is full.
    Full(AttemptId),
    /// The connection broke, or none could be made.
    Broken(AttemptId),
}

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Answered,
    /// It was refused or given up.
    Refused(Reason),
    /// Its deadline passed after it was admitted.
    Missed,
    /// Its entry host was lost.
    HostLost,
}

/// What became of one request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Record {
    /// The time to the first token.
    pub first: Option<Duration>,
    /// How it ended.
    pub end: Option<End>,
}

/// Decides where requests go.
pub trait Router {
    /// What the router's parts send each other, and its timers.
    type Message;

    /// Sets the first timers.
    fn start(&mut self, _link: &mut Link<Self::Message>) {}

    /// Takes a request at its entry host.
    fn arrive(&mut self, request: usize, link: &mut Link<Self::Message>);

    /// Takes a message.
    fn message(&mut self, message: Self::Message, link: &mut Link<Self::Message>);

    /// Takes what an engine told an entry host.
    fn engine_says(&mut self, engine: usize, says: EngineSays, link: &mut Link<Self::Message>);
}

/// Something that happens at a time.
enum Happening<M> {
    Arrive(usize),
    Submit { engine: usize, host: usize, order: Order },
    Cancel { engine: usize, attempt: AttemptId },
    Tick(usize),
    Says { engine: usize, says: EngineSays },
    Message(M),
    LoseZone(usize),
}

/// A place in the order of time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Slot {
    at: Moment,
    seq: u64,
    index: usize,
}

/// The router's way to engines, to its other parts and to the records.
pub struct Link<M> {
    /// The time.
    pub now: Moment,
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// The faults.
    pub faults: Faults,
    records: Vec<Record>,
    engines: Vec<EngineModel>,
    /// When each engine is to work on; other ticks are out of date.
    ticks: [Option<Moment>; ENGINES],
    /// The entry host of each attempt, for what its engine says.
    homes: HashMap<AttemptId, usize>,
    heap: BinaryHeap<Reverse<Slot>>,
    happenings: Vec<Option<Happening<M>>>,
    unused: Vec<usize>,
    seq: u64,
}

impl<M> Link<M> {
    /// Sends a message that arrives after `delay`.
    pub fn send(&mut self, delay: Duration, message: M) {
        self.push(self.now + delay, Happening::Message(message));
    }

    /// Sends an order to an engine from an entry host.
    pub fn submit(&mut self, host: usize, engine: usize, order: Order) {
        let at = self.now + delay(host, engine);
        self.push(at, Happening::Submit { engine, host, order });
    }

    /// Cancels an attempt on an engine.
    pub fn cancel(&mut self, host: usize, engine: usize, attempt: AttemptId) {
        let at = self.now + delay(host, engine);
        self.push(at, Happening::Cancel { engine, attempt });
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

    /// Returns an engine's listing, or nothing if it is gone.
    pub fn listing(&mut self, engine: usize) -> Option<Vec<Holding>> {
        let lost = self.faults.is_lost(engine, self.now);
        (!lost).then(|| self.engines[engine].holdings())
    }

    fn push(&mut self, at: Moment, happening: Happening<M>) {
        let index = match self.unused.pop() {
            Some(index) => index,
            None => {
                self.happenings.push(None);
                self.happenings.len() - 1
            }
        };
        self.happenings[index] = Some(happening);
        self.seq += 1;
        self.heap.push(Reverse(Slot { at, seq: self.seq, index }));
    }

    fn pop(&mut self) -> Option<(Moment, Happening<M>)> {
        let Reverse(slot) = self.heap.pop()?;
        let happening = self.happenings[slot.index].take()?;
        self.unused.push(slot.index);
        Some((slot.at, happening))
    }

    fn says(&mut self, engine: usize, attempt: AttemptId, says: EngineSays) {
        let Some(host) = self.homes.get(&attempt).copied() else { return };
        let at = self.now + delay(engine, host);
        self.push(at, Happening::Says { engine, says });
    }

    /// Lets an engine work until now and passes on what it did.
    fn work(&mut self, engine: usize) {
        for event in self.engines[engine].advance(self.now) {
            self.says(engine, event.attempt, EngineSays::Event(event));
        }
        let next = self.engines[engine].next_event();
        if next != self.ticks[engine] {
            self.ticks[engine] = next;
            if let Some(at) = next {
                self.push(at, Happening::Tick(engine));
            }
        }
    }

    fn take_order(&mut self, engine: usize, host: usize, order: Order) {
        let attempt = order.attempt;
        self.homes.insert(attempt, host);
        if self.faults.is_lost(engine, self.now) {
            return self.says(engine, attempt, EngineSays::Broken(attempt));
        }
        if self.engines[engine].submit(self.now, order).is_err() {
            self.says(engine, attempt, EngineSays::Full(attempt));
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
                self.says(engine, attempt, EngineSays::Broken(attempt));
            }
        }
    }
}

/// The result of a replay.
#[derive(Debug, Clone)]
pub struct ReplayResult {
    /// The requests.
    pub arrivals: Vec<Arrival>,
    /// What became of each.
    pub records: Vec<Record>,
    /// The most memory held on any engine, in tokens.
    pub peak_held: u32,
    /// How often an answer grew past an engine's memory.
    pub over_memory: u64,
    /// What the engines still held at the end, in tokens.
    pub left_held: u32,
}

/// Runs the arrivals through a router.
pub fn replay<R: Router>(mut router: R, arrivals: Vec<Arrival>, faults: Faults) -> ReplayResult {
    let end = arrivals.last().map_or(Moment(0), |last| last.at) + TAIL;
    let mut link = link(arrivals, faults);
    router.start(&mut link);
    while let Some((at, happening)) = link.pop() {
        if at > end {
            break;
        }
        link.now = at;
        step(&mut router, happening, &mut link);
    }
    ReplayResult {
        peak_held: link.engines.iter().map(EngineModel::peak_held).max().unwrap_or(0),
        over_memory: link.engines.iter().map(EngineModel::over_memory).sum(),
        left_held: link.engines.iter().map(|engine| engine.load().held).sum(),
        arrivals: link.arrivals,
        records: link.records,
    }
}

fn step<R: Router>(router: &mut R, happening: Happening<R::Message>, link: &mut Link<R::Message>) {
    match happening {
        Happening::Arrive(request) => router.arrive(request, link),
        Happening::Submit { engine, host, order } => link.take_order(engine, host, order),
        Happening::Cancel { engine, attempt } => {
            link.engines[engine].cancel(link.now, attempt);
            link.work(engine);
        }
        Happening::Tick(engine) => {
            if link.ticks[engine] == Some(link.now) {
                link.ticks[engine] = None;
                link.work(engine);
            }
        }
        Happening::Says { engine, says } => router.engine_says(engine, says, link),
        Happening::Message(message) => router.message(message, link),
        Happening::LoseZone(zone) => link.lose_zone(zone),
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
        homes: HashMap::new(),
        heap: BinaryHeap::new(),
        happenings: Vec::new(),
        unused: Vec::new(),
        seq: 0,
        arrivals,
        faults,
    };
    for request in 0..link.arrivals.len() {
        let at = link.arrivals[request].at;
        link.push(at, Happening::Arrive(request));
    }
    if let Some(lost) = link.faults.lost_zone {
        link.push(lost.at, Happening::LoseZone(lost.zone));
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

/// Tells whether an event is the attempt's first token.
pub fn is_first(event: &EngineEvent) -> bool {
    matches!(event.kind, EngineEventKind::Started { .. })
}
