//! The system's own router in a replay: entry hosts that place, ask, dispatch and report.

use std::time::Duration;

use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Candidate;
use wasabicrank_lib::state::CustomerName;
use wasabicrank_lib::state::EngineLoad;
use wasabicrank_lib::state::EngineName;
use wasabicrank_lib::state::EngineQueue;
use wasabicrank_lib::state::Finished;
use wasabicrank_lib::state::FirstToken;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::ListedAttempt;
use wasabicrank_lib::state::ModelName;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::Placer;
use wasabicrank_lib::state::PlacerSettings;
use wasabicrank_lib::state::Priority;
use wasabicrank_lib::state::QueuePolicy;
use wasabicrank_lib::state::Reason;
use wasabicrank_lib::state::RequestId;
use wasabicrank_lib::state::RetryBudget;
use wasabicrank_lib::state::StartRequest;
use wasabicrank_lib::state::Verdict;
use wasabicrank_lib::state::ZoneName;

use crate::replay::ENGINES;
use crate::replay::End;
use crate::replay::EngineReply;
use crate::replay::HOSTS;
use crate::replay::Link;
use crate::replay::Router;
use crate::replay::delay;
use crate::replay::zone_of;
use crate::replay_load::OUTPUT_MAX;
use crate::replay_origin::Origin;
use wasabicrank_testutils::engine_model::ModelConfig;

/// The interval between heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(200);

/// The interval between reads of an engine's listing.
const LISTING_INTERVAL: Duration = Duration::from_secs(1);

/// A peer that sends nothing for this long is considered dead.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The mechanisms that a replay can disable.
#[derive(Debug, Clone, Default)]
pub struct FleetSettings {
    /// The policy of the queues.
    pub queue: QueuePolicy,
    /// The settings of placement.
    pub placer: PlacerSettings,
}

/// The messages between entry hosts, and their timers.
#[derive(Debug, Clone)]
pub enum FleetMessage {
    /// An ask, from one host to another.
    Ask {
        /// The origin.
        from: usize,
        /// The dispatcher.
        to: usize,
        /// The engine.
        engine: usize,
        /// The ask.
        ask: Box<StartRequest>,
    },
    /// A verdict to an origin.
    Verdict {
        /// The origin.
        to: usize,
        /// The verdict.
        verdict: Verdict,
    },
    /// The end of a prefill, to a dispatcher.
    First {
        /// The dispatcher.
        to: usize,
        /// The engine.
        engine: usize,
        /// The message.
        first: FirstToken,
    },
    /// The end of an attempt, to a dispatcher.
    Finished {
        /// The dispatcher.
        to: usize,
        /// The engine.
        engine: usize,
        /// The message.
        finished: Finished,
    },
    /// The withdrawal of an ask or grant.
    Withdraw {
        /// The dispatcher.
        to: usize,
        /// The engine.
        engine: usize,
        /// The attempt.
        attempt: AttemptId,
    },
    /// A heartbeat from one host to another.
    Beat {
        /// The receiver.
        to: usize,
        /// The time when it was created.
        made: Moment,
        /// The load of the sender's engines.
        loads: Vec<EngineLoad>,
    },
    /// A host's heartbeat is due.
    BeatDue(usize),
    /// The listing of an engine is due.
    ListingDue(usize),
    /// A queue has a pending decision.
    Wake {
        /// The engine.
        engine: usize,
    },
    /// A request for which no group had room is placed again.
    PlaceAgain {
        /// The origin.
        host: usize,
        /// The request.
        request: usize,
    },
    /// A request's deadline.
    Deadline(usize),
    /// All hosts notice the loss of a peer or engine.
    LossSeen,
}

/// One entry host.
pub(crate) struct Host {
    pub(crate) placer: Placer,
    pub(crate) budget: RetryBudget,
    pub(crate) origin: Origin,
}

/// The entry hosts, with the queues of the engines that each dispatches for.
pub struct FleetRouter {
    pub(crate) settings: FleetSettings,
    pub(crate) hosts: Vec<Host>,
    pub(crate) candidates: Vec<Candidate>,
    queues: Vec<EngineQueue>,
    dispatchers: [usize; ENGINES],
    wakes: [Option<Moment>; ENGINES],
}

impl FleetRouter {
    /// Creates the router; `seed` breaks ties.
    pub fn new(settings: FleetSettings, seed: u64) -> FleetRouter {
        let host = |index: usize| Host {
            placer: Placer::new(settings.placer.clone(), zone_name(index), seed + index as u64),
            budget: RetryBudget::new(Moment(0)),
            origin: Origin::default(),
        };
        let memory = ModelConfig::default().memory;
        let candidate = |index| Candidate::new(engine_name(index), zone_name(index), memory);
        FleetRouter {
            hosts: (0..HOSTS).map(host).collect(),
            candidates: (0..ENGINES).map(candidate).collect(),
            queues: (0..ENGINES).map(|index| new_queue(&settings, index)).collect(),
            dispatchers: std::array::from_fn(|engine| dispatcher(engine, |_| true)),
            wakes: [None; ENGINES],
            settings,
        }
    }

    /// Returns the dispatcher of an engine.
    pub(crate) fn dispatcher(&self, engine: usize) -> usize {
        self.dispatchers[engine]
    }

    /// Sends a message to an engine's dispatcher.
    pub(crate) fn tell(
        &self,
        from: usize,
        engine: usize,
        make: impl FnOnce(usize) -> FleetMessage,
        link: &mut Link<FleetMessage>,
    ) {
        let to = self.dispatcher(engine);
        let span = if from == to { Duration::ZERO } else { delay(from, to) };
        link.send(span, make(to));
    }

    /// Runs a queue's decisions and sends the verdicts.
    fn decide(&mut self, engine: usize, link: &mut Link<FleetMessage>) {
        let from = self.dispatcher(engine);
        for verdict in self.queues[engine].poll(link.now) {
            let (Verdict::Grant { to, .. } | Verdict::Deny { to, .. }) = &verdict;
            let to = host_of(*to);
            let span = if from == to { Duration::ZERO } else { delay(from, to) };
            link.send(span, FleetMessage::Verdict { to, verdict });
        }
        let wake = self.queues[engine].next_wake();
        if let Some(at) = wake.filter(|_| wake != self.wakes[engine]) {
            let span = at.since(link.now) + Duration::from_micros(1);
            link.send(span, FleetMessage::Wake { engine });
        }
        self.wakes[engine] = wake;
    }

    fn beat(&mut self, host: usize, link: &mut Link<FleetMessage>) {
        if link.faults.is_lost(host, link.now) {
            return;
        }
        link.send(HEARTBEAT_INTERVAL, FleetMessage::BeatDue(host));
        let mine = (0..ENGINES).filter(|engine| self.dispatchers[*engine] == host);
        let loads: Vec<EngineLoad> = mine.map(|engine| self.queues[engine].load()).collect();
        for to in 0..HOSTS {
            let lag = if to == host { Duration::ZERO } else { link.faults.report_lag };
            let span = if to == host { Duration::ZERO } else { delay(host, to) + lag };
            let loads = loads.clone();
            link.send(span, FleetMessage::Beat { to, made: link.now, loads });
        }
    }

    fn list(&mut self, engine: usize, link: &mut Link<FleetMessage>) {
        link.send(LISTING_INTERVAL, FleetMessage::ListingDue(engine));
        let listing = link.listing(engine);
        self.queues[engine].set_healthy(listing.is_some());
        let listed = listing.unwrap_or_default().into_iter().map(|holding| ListedAttempt {
            attempt: holding.attempt,
            owner: holding.owner,
            held: holding.held,
        });
        let listed: Vec<ListedAttempt> = listed.collect();
        let host = self.dispatcher(engine);
        for suspect in self.queues[engine].reconcile(link.now, &listed) {
            if link.faults.is_lost(host_of(suspect.owner), link.now) {
                link.cancel(host, engine, suspect.attempt);
            }
        }
        self.decide(engine, link);
    }

    /// Moves the queues of lost dispatchers to live ones, which rebuild them from the engines'
    /// listings.
    fn loss_seen(&mut self, link: &mut Link<FleetMessage>) {
        let now = link.now;
        for engine in 0..ENGINES {
            let live = |host: usize| !link.faults.is_lost(host, now);
            let next = dispatcher(engine, live);
            if next != self.dispatchers[engine] {
                self.dispatchers[engine] = next;
                self.queues[engine] = new_queue(&self.settings, engine);
                self.list(engine, link);
            }
            for host in (0..HOSTS).filter(|host| link.faults.is_lost(*host, now)) {
                self.queues[engine].owner_gone(now, incarnation(host));
            }
        }
        for index in 0..ENGINES {
            self.candidates[index].live = !link.faults.is_lost(index, now);
        }
        for host in 0..HOSTS {
            if !link.faults.is_lost(host, now) {
                self.ask_again(host, link);
            }
        }
    }

    fn queue_input(&mut self, message: FleetMessage, link: &mut Link<FleetMessage>) {
        let now = link.now;
        let engine = match message {
            FleetMessage::Ask { from, engine, ask, .. } => {
                self.queues[engine].submit(now, incarnation(from), *ask);
                engine
            }
            FleetMessage::First { engine, first, .. } => {
                self.queues[engine].first_token(now, &first);
                engine
            }
            FleetMessage::Finished { engine, finished, .. } => {
                self.queues[engine].finished(now, &finished);
                engine
            }
            FleetMessage::Withdraw { engine, attempt, .. } => {
                self.queues[engine].withdraw(now, attempt);
                engine
            }
            _ => return,
        };
        self.decide(engine, link);
    }
}

impl Router for FleetRouter {
    type Message = FleetMessage;

    fn start(&mut self, link: &mut Link<FleetMessage>) {
        for host in 0..HOSTS {
            link.send(Duration::from_millis(7 * host as u64), FleetMessage::BeatDue(host));
        }
        for engine in 0..ENGINES {
            self.queues[engine].set_models(vec![model_name()]);
            link.send(Duration::from_millis(13 * engine as u64), FleetMessage::ListingDue(engine));
        }
        if let Some(lost) = link.faults.lost_zone {
            link.send(lost.at.since(Moment(0)) + PEER_TIMEOUT, FleetMessage::LossSeen);
        }
    }

    fn arrive(&mut self, request: usize, link: &mut Link<FleetMessage>) {
        let host = link.arrivals[request].host % HOSTS;
        if link.faults.is_lost(host, link.now) {
            return link.end(request, End::HostLost);
        }
        link.send(link.arrivals[request].patience, FleetMessage::Deadline(request));
        self.hosts[host].budget.record_first_attempt(link.now);
        self.begin(host, request, link);
    }

    fn message(&mut self, message: FleetMessage, link: &mut Link<FleetMessage>) {
        let is_lost = |host: usize| link.faults.is_lost(host, link.now);
        match message {
            FleetMessage::BeatDue(host) => self.beat(host, link),
            FleetMessage::ListingDue(engine) if !is_lost(self.dispatcher(engine)) => {
                self.list(engine, link);
            }
            FleetMessage::ListingDue(engine) => {
                link.send(LISTING_INTERVAL, FleetMessage::ListingDue(engine));
            }
            FleetMessage::Wake { engine } => self.decide(engine, link),
            FleetMessage::Beat { to, made, loads } => {
                for load in loads {
                    self.hosts[to].placer.report(made, load);
                }
            }
            FleetMessage::PlaceAgain { host, request } if !is_lost(host) => {
                self.place_again(host, request, link);
            }
            FleetMessage::Deadline(request) => self.deadline(request, link),
            FleetMessage::LossSeen => self.loss_seen(link),
            FleetMessage::Verdict { to, verdict } if !is_lost(to) => {
                self.verdict(to, verdict, link)
            }
            FleetMessage::Ask { to, .. }
            | FleetMessage::First { to, .. }
            | FleetMessage::Finished { to, .. }
            | FleetMessage::Withdraw { to, .. }
                if !is_lost(to) =>
            {
                self.queue_input(message, link);
            }
            _ => {}
        }
    }

    fn engine_reply(&mut self, engine: usize, reply: EngineReply, link: &mut Link<FleetMessage>) {
        let attempt = match &reply {
            EngineReply::Event(event) => event.attempt,
            EngineReply::Full(attempt) | EngineReply::Broken(attempt) => *attempt,
        };
        let host = host_of(attempt.request.origin);
        if link.faults.is_lost(host, link.now) {
            return link.end(request_of(attempt), End::HostLost);
        }
        self.origin_says(host, engine, attempt, reply, link);
    }
}

/// Returns the entry host that dispatches for an engine: one in the same zone if any is live.
fn dispatcher(engine: usize, live: impl Fn(usize) -> bool) -> usize {
    let hosts = (0..HOSTS).filter(|host| live(*host));
    let rank = |host: &usize| (zone_of(*host) != zone_of(engine), (engine / 3 + host) % HOSTS);
    hosts.min_by_key(rank).unwrap_or(0)
}

fn new_queue(settings: &FleetSettings, engine: usize) -> EngineQueue {
    let memory = ModelConfig::default().memory;
    let mut queue = EngineQueue::new(engine_name(engine), memory, settings.queue.clone());
    queue.set_models(vec![model_name()]);
    queue
}

/// Creates the ask for a request's attempt at an engine.
pub(crate) fn ask_for(
    request: usize,
    attempt: AttemptId,
    engine: usize,
    link: &Link<FleetMessage>,
) -> StartRequest {
    let arrival = &link.arrivals[request];
    let waited = link.now.since(arrival.at);
    StartRequest {
        attempt,
        engine: engine_name(engine),
        customer: CustomerName::new(format!("customer-{}", arrival.customer)),
        weight: 1,
        priority: Priority::Normal,
        prompt_tokens: arrival.prompt_tokens,
        output_tokens: OUTPUT_MAX,
        blocks: arrival.blocks.clone(),
        waited,
        left: arrival.patience.saturating_sub(waited),
        segment: false,
    }
}

pub(crate) fn incarnation(host: usize) -> Incarnation {
    Incarnation(host as u64 + 1)
}

pub(crate) fn host_of(incarnation: Incarnation) -> usize {
    incarnation.0 as usize - 1
}

pub(crate) fn attempt_of(host: usize, request: usize, number: u32) -> AttemptId {
    let request = RequestId { origin: incarnation(host), seq: request as u64 };
    AttemptId { request, number }
}

pub(crate) fn request_of(attempt: AttemptId) -> usize {
    attempt.request.seq as usize
}

pub(crate) fn engine_name(engine: usize) -> EngineName {
    EngineName::new(format!("engine-{engine:02}"))
}

pub(crate) fn engine_index(name: &EngineName) -> usize {
    name.as_str().trim_start_matches("engine-").parse().unwrap_or(0)
}

pub(crate) fn model_name() -> ModelName {
    ModelName::new("model")
}

fn zone_name(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", zone_of(index)))
}

/// Returns the reason for a refusal, as a replay records it.
pub(crate) fn refused(reason: Reason) -> End {
    End::Refused(reason)
}
