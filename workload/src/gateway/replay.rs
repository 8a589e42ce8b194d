//! Replays a load against the gateway's decisions on several hosts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabicrank_lib::coordination::Dispatch;
use wasabicrank_lib::coordination::Gateway;
use wasabicrank_lib::coordination::GatewayPlacement;
use wasabicrank_lib::coordination::GatewayRefusal;
use wasabicrank_lib::coordination::GatewayRequest;
use wasabicrank_lib::coordination::NextStep;
use wasabicrank_lib::coordination::ReceivedSummary;
use wasabicrank_lib::coordination::SendResult;
use wasabicrank_lib::coordination::SummaryScope;
use wasabicrank_lib::coordination::SummaryTarget;
use wasabicrank_lib::state::EngineProfile;
use wasabicrank_lib::state::LimitVersion;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::RequestFacts;
use wasabicrank_lib::state::SendId;
use wasabicrank_lib::state::Server;
use wasabicrank_lib::state::ServerId;

use super::engine::Engine;
use super::engine::EngineEvent;
use super::engine::EngineFault;
use super::engine::JobId;
use super::fleet::address;
use super::fleet::gateway;
use super::fleet::key;
use super::fleet::server;
use super::hedges::HedgeResult;
use super::limits::EngineLimit;
use super::limits::count_requests;
use super::limits::take_permit;
use super::load::Arrival;
use super::load::GatewayLoad;
use super::report::KindResult;
use super::report::ReplayReport;
use super::report::earned_fractions;

/// The network delay between a host and an engine, or between two hosts.
const NETWORK_DELAY: Duration = Duration::from_millis(2);
/// A send whose expected delay exceeds this is announced to all peers at once.
const IMMEDIATE_SUMMARY_DELAY: Duration = Duration::from_millis(150);
/// The users' goal for the time to the first token, at the 95th percentile.
const FIRST_TOKEN_GOAL: Duration = Duration::from_millis(1_700);
/// The urgency of a dispatch that sets none.
const DEFAULT_URGENCY: u8 = 5;
/// The host name that all routes match.
pub(crate) const HOST: &str = "replay.example";

/// The deployment that a load is replayed against.
#[derive(Debug, Clone)]
pub struct ReplaySetup {
    /// The number of entry hosts.
    pub hosts: usize,
    /// The number of engines.
    pub engines: usize,
    /// The performance figures of each engine.
    pub profile: EngineProfile,
    /// The engines that have a fault, by position.
    pub faults: Vec<(usize, EngineFault)>,
    /// The engines that name a limit.
    pub limits: Vec<EngineLimit>,
    /// Whether hosts use the model of engines under load.
    pub engine_model: bool,
    /// The policy that places requests.
    pub policy: ReplayPolicy,
    /// The hedged requests that are allowed per request.
    pub hedge_ratio: f64,
}

/// The policy that places requests in a replay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplayPolicy {
    /// The gateway's own placement.
    Gateway,
    /// Sends each request at once to the engine with the fewest requests from the same host.
    FewestRequests,
}

impl ReplaySetup {
    /// Returns today's deployments: five hosts before sixteen engines.
    pub fn today() -> ReplaySetup {
        let profile = EngineProfile {
            slots: 16,
            memory_tokens: 450_000,
            step_ms: 0.925,
            per_seq_ms: 0.00483,
            context_per_k: 0.00254,
            prefill_rate: 256_000.0,
            attention_ms: 0.0917,
            pass_steps: 46,
            mean_output: 1_540,
            joint_prefill: true,
        };
        ReplaySetup {
            hosts: 5,
            engines: 16,
            profile,
            faults: Vec::new(),
            limits: Vec::new(),
            engine_model: false,
            policy: ReplayPolicy::Gateway,
            hedge_ratio: 0.0,
        }
    }

    /// Returns the grown deployments: thirty hosts before fifty-four engines.
    pub fn grown() -> ReplaySetup {
        let mut setup = ReplaySetup::today();
        setup.hosts = 30;
        setup.engines = 54;
        setup.profile.slots = 12;
        setup.profile.pass_steps = 52;
        setup
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Event {
    Arrive(usize),
    Place(usize),
    PassEnd(usize),
    AtEngine(JobId),
    AnswerStarted(JobId),
    SilenceDeadline(JobId),
    HedgeReview(JobId),
    CallerTimeout(usize),
    Summarize(usize),
}

pub(crate) struct Job {
    pub(crate) request: usize,
    pub(crate) dispatch: Dispatch,
    parts_left: usize,
    first: usize,
    pub(crate) is_finished: bool,
    pub(crate) has_started: bool,
    sent: Moment,
}

pub(crate) struct Caller {
    arrival: Arrival,
    pub(crate) host: usize,
    pub(crate) admitted: Option<GatewayRequest>,
    tries: u32,
    pub(crate) job: Option<JobId>,
    /// The hedged request, until it has won or ended.
    pub(crate) hedge: Option<JobId>,
    first_event: Option<Moment>,
    last_event: Option<Moment>,
    longest_pause: Duration,
    end: Option<End>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Answered,
    Refused,
    TimedOut,
}

pub(crate) struct Simulation<'a> {
    load: &'a GatewayLoad,
    setup: &'a ReplaySetup,
    pub(crate) now: Moment,
    queue: BinaryHeap<Reverse<(Moment, u64, Event)>>,
    order: u64,
    pub(crate) gateways: Vec<Gateway>,
    is_summary_due: Vec<bool>,
    summarized: Vec<Moment>,
    engines: Vec<Engine>,
    /// When requests arrived at each engine.
    engine_arrivals: Vec<Vec<Moment>>,
    positions: HashMap<ServerId, usize>,
    pub(crate) jobs: HashMap<JobId, Job>,
    last_job: JobId,
    pub(crate) callers: Vec<Caller>,
    pub(crate) hedges: HedgeResult,
    forecasts: Vec<(Duration, Duration)>,
    random: SmallRng,
}

/// Replays `load` against `setup`.
pub fn replay(setup: &ReplaySetup, load: &GatewayLoad) -> ReplayReport {
    let mut simulation = Simulation::new(setup, load);
    while let Some(Reverse((at, _, event))) = simulation.queue.pop() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.report()
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a ReplaySetup, load: &'a GatewayLoad) -> Simulation<'a> {
        let servers: Vec<Server> = (0..setup.engines).map(server).collect();
        let gateways = (0..setup.hosts).map(|host| gateway(setup, load, host, &servers)).collect();
        let fault = |at| setup.faults.iter().find(|(one, _)| *one == at).map(|(_, fault)| *fault);
        let engines = (0..setup.engines).map(|at| Engine::new(setup.profile, fault(at)));
        let mut random = SmallRng::seed_from_u64(load.seed ^ 0x5eed);
        let callers: Vec<Caller> = load
            .arrivals()
            .into_iter()
            .map(|arrival| Caller {
                host: random.random_range(0..setup.hosts),
                arrival,
                admitted: None,
                tries: 0,
                job: None,
                hedge: None,
                first_event: None,
                last_event: None,
                longest_pause: Duration::ZERO,
                end: None,
            })
            .collect();
        let mut simulation = Simulation {
            load,
            setup,
            now: Moment(0),
            queue: BinaryHeap::new(),
            order: 0,
            gateways,
            is_summary_due: vec![false; setup.hosts],
            summarized: vec![Moment(0); setup.hosts],
            engines: engines.collect(),
            engine_arrivals: vec![Vec::new(); setup.engines],
            positions: servers.iter().enumerate().map(|(at, one)| (one.id.clone(), at)).collect(),
            jobs: HashMap::new(),
            last_job: 0,
            callers,
            hedges: HedgeResult::default(),
            forecasts: Vec::new(),
            random,
        };
        simulation.name_limits();
        for request in 0..simulation.callers.len() {
            let at = simulation.callers[request].arrival.at;
            simulation.schedule(at, Event::Arrive(request));
        }
        simulation
    }

    /// Lets the first host read the limits in responses; the others learn of them from it.
    fn name_limits(&mut self) {
        for limit in &self.setup.limits {
            let server = server(limit.engine).id;
            let rate = Some(limit.rate);
            self.gateways[0].record_limit(self.now, &server, LimitVersion::default(), rate);
        }
        for host in 0..self.setup.hosts {
            self.summarize(host, SummaryScope::All);
        }
    }

    pub(crate) fn schedule(&mut self, at: Moment, event: Event) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(request) => self.arrive(request),
            Event::Place(request) => self.try_place(request),
            Event::PassEnd(engine) => self.end_pass(engine),
            Event::AtEngine(job) => self.start_job(job),
            Event::AnswerStarted(job) => self.first_event(job),
            Event::SilenceDeadline(job) => self.handle_silence(job),
            Event::HedgeReview(job) => self.review_hedge(job),
            Event::CallerTimeout(request) => self.handle_timeout(request),
            Event::Summarize(host) => self.summarize(host, SummaryScope::Due),
        }
    }

    fn kind(&self, request: usize) -> &super::load::SheetKind {
        &self.load.kinds[self.callers[request].arrival.kind]
    }

    fn arrive(&mut self, request: usize) {
        let kind = self.kind(request).clone();
        let caller = &mut self.callers[request];
        caller.tries += 1;
        let left = (caller.arrival.at + kind.patience).since(self.now);
        let facts = RequestFacts {
            id: format!("{request}-{}", caller.tries),
            host: HOST.to_owned(),
            path: format!("/{}/", caller.arrival.kind),
            key: Some(key(caller.arrival.customer)),
            timeout: Some(left),
            size: Some(caller.arrival.size),
            ..RequestFacts::default()
        };
        match self.gateways[caller.host].admit(self.now, &facts) {
            Ok(admitted) => {
                caller.admitted = Some(admitted);
                self.schedule(
                    self.now + kind.first_patience().min(left),
                    Event::CallerTimeout(request),
                );
                self.try_place(request);
            }
            Err(refusal) => self.refuse(request, refusal),
        }
    }

    fn try_place(&mut self, request: usize) {
        let caller = &mut self.callers[request];
        if caller.end.is_some() || caller.job.is_some() {
            return;
        }
        let Some(admitted) = caller.admitted.as_mut() else { return };
        let mut placement = self.gateways[caller.host].place(self.now, admitted);
        if self.setup.policy == ReplayPolicy::FewestRequests {
            placement = self.place_by_count(request, placement);
        }
        match placement {
            GatewayPlacement::Send(dispatch) => self.send_by_limits(request, *dispatch),
            GatewayPlacement::Wait(time) => self.schedule(self.now + time, Event::Place(request)),
            GatewayPlacement::Refuse(refusal) => self.refuse(request, refusal),
        }
    }

    /// Sends a request unless its engine names a limit and no permit is left; it is placed again then.
    fn send_by_limits(&mut self, request: usize, dispatch: Dispatch) {
        let host = self.callers[request].host;
        if take_permit(&mut self.gateways, host, &dispatch.server.id, self.now) {
            return self.send(request, dispatch);
        }
        self.gateways[host].finish(self.now, &dispatch);
        if let Some(admitted) = self.callers[request].admitted.as_mut() {
            self.gateways[host].after_send(self.now, admitted, &dispatch, &SendResult::Limited);
        }
        self.try_place(request);
    }

    /// Replaces the gateway's placement with the engine that has the fewest requests from the same
    /// host.
    fn place_by_count(&mut self, request: usize, placement: GatewayPlacement) -> GatewayPlacement {
        let host = self.callers[request].host;
        let gateway = &mut self.gateways[host];
        if let GatewayPlacement::Send(dispatch) = &placement {
            gateway.finish(self.now, dispatch);
        }
        let Some(admitted) = self.callers[request].admitted.as_mut() else { return placement };
        gateway.leave_queue(admitted);
        let mut counts = vec![0_u32; self.setup.engines];
        for job in self.jobs.values().filter(|job| !job.is_finished) {
            counts[job.first] += u32::from(self.callers[job.request].host == host);
        }
        let first = (0..self.setup.engines).min_by_key(|at| (counts[*at], *at)).unwrap_or(0);
        self.last_job += 1;
        let deadline = request_deadline(&self.callers[request], self.now);
        GatewayPlacement::Send(Box::new(Dispatch {
            send: SendId(self.last_job),
            server: server(first),
            helpers: Vec::new(),
            time_left: deadline.since(self.now),
            expected_delay: Duration::ZERO,
            silence_deadline: deadline,
            urgency: None,
            is_successor: false,
            guest: None,
            is_hedge: false,
            placed: self.now,
        }))
    }

    fn send(&mut self, request: usize, dispatch: Dispatch) {
        let caller = &mut self.callers[request];
        if let Some(admitted) = caller.admitted.as_mut() {
            self.gateways[caller.host].record_sent(admitted);
        }
        let id = self.start_send(request, dispatch);
        self.callers[request].job = Some(id);
        self.schedule_hedge(id);
    }

    /// Sends a dispatch that was recorded as sent.
    pub(crate) fn start_send(&mut self, request: usize, dispatch: Dispatch) -> JobId {
        self.last_job += 1;
        let id = self.last_job;
        let host = self.callers[request].host;
        let limit = dispatch.silence_deadline;
        let is_summary_urgent = dispatch.expected_delay > IMMEDIATE_SUMMARY_DELAY;
        let job = Job {
            request,
            parts_left: dispatch.helpers.len() + 1,
            first: self.positions[&dispatch.server.id],
            dispatch,
            is_finished: false,
            has_started: false,
            sent: self.now,
        };
        self.jobs.insert(id, job);
        self.schedule(self.now + NETWORK_DELAY, Event::AtEngine(id));
        self.schedule(limit, Event::SilenceDeadline(id));
        if is_summary_urgent {
            self.summarize(host, SummaryScope::All);
        } else {
            self.schedule_summary(host);
        }
        id
    }

    fn start_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_finished) else { return };
        let size = self.callers[job.request].arrival.size;
        let parts = job.parts_left as f64;
        let ms = self.setup.profile.prefill_time(size.prompt).as_secs_f64() * 1_000.0 / parts;
        let tokens = size.prompt as f64 / parts;
        let servers: Vec<usize> =
            job.dispatch.servers().map(|server| self.positions[&server.id]).collect();
        let urgency = job.dispatch.urgency.unwrap_or(DEFAULT_URGENCY);
        self.engine_arrivals[job.first].push(self.now);
        for (at, engine) in servers.into_iter().enumerate() {
            match at {
                0 => self.engines[engine].queue_prefill(id, tokens, ms, urgency),
                _ => self.engines[engine].add_helper_part(id, tokens, ms),
            }
            self.start_pass(engine);
        }
    }

    fn start_pass(&mut self, engine: usize) {
        if self.engines[engine].is_startable() {
            let ms = self.engines[engine].begin_pass();
            let end = self.now + Duration::from_secs_f64(ms / 1_000.0);
            self.schedule(end, Event::PassEnd(engine));
        }
    }

    fn end_pass(&mut self, engine: usize) {
        for event in self.engines[engine].end_pass() {
            match event {
                EngineEvent::PartPrefilled(id) => self.part_prefilled(id),
                EngineEvent::Event(id) => self.next_event(id),
                EngineEvent::Complete(id) => self.complete(id),
            }
        }
        self.start_pass(engine);
    }

    fn part_prefilled(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_finished) else { return };
        job.parts_left -= 1;
        if job.parts_left > 0 {
            return;
        }
        let arrival = &self.callers[job.request].arrival;
        let first = job.first;
        self.engines[first].start_decode(id, arrival.answer, arrival.size.prompt);
        self.schedule(self.now + NETWORK_DELAY, Event::AnswerStarted(id));
        self.start_pass(first);
    }

    fn first_event(&mut self, id: JobId) {
        if self.jobs.get(&id).is_none_or(|job| job.is_finished) {
            return;
        }
        self.end_race(id);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.has_started = true;
        self.forecasts.push((job.dispatch.expected_delay, self.now.since(job.sent)));
        let caller = &mut self.callers[job.request];
        caller.first_event = Some(self.now);
        caller.last_event = Some(self.now);
        if let Some(admitted) = &caller.admitted {
            let gateway = &mut self.gateways[caller.host];
            gateway.record_response_time(self.now, admitted, &job.dispatch);
        }
        self.gateways[caller.host].record_first_event(self.now, &job.dispatch);
        let host = caller.host;
        self.schedule_summary(host);
    }

    fn next_event(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| !job.is_finished) else { return };
        let caller = &mut self.callers[job.request];
        if let Some(last) = caller.last_event {
            caller.longest_pause = caller.longest_pause.max((self.now + NETWORK_DELAY).since(last));
        }
        caller.last_event = Some(self.now + NETWORK_DELAY);
    }

    fn complete(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_finished) else { return };
        job.is_finished = true;
        let caller = &mut self.callers[job.request];
        caller.end = Some(End::Answered);
        self.gateways[caller.host].record_response(self.now, &job.dispatch);
        self.gateways[caller.host].finish(self.now, &job.dispatch);
        let host = caller.host;
        self.schedule_summary(host);
    }

    /// Cancels a job on its engines.
    pub(crate) fn stop_job(&mut self, id: JobId) -> Option<Dispatch> {
        let job = self.jobs.get_mut(&id).filter(|job| !job.is_finished)?;
        job.is_finished = true;
        let dispatch = job.dispatch.clone();
        let request = job.request;
        for server in dispatch.servers() {
            self.engines[self.positions[&server.id]].cancel(id);
        }
        let host = self.callers[request].host;
        self.gateways[host].finish(self.now, &dispatch);
        let caller = &mut self.callers[request];
        for one in [&mut caller.job, &mut caller.hedge] {
            one.take_if(|one| *one == id);
        }
        self.schedule_summary(host);
        Some(dispatch)
    }

    fn handle_silence(&mut self, id: JobId) {
        if self.jobs.get(&id).is_none_or(|job| job.has_started) {
            return;
        }
        let request = self.jobs[&id].request;
        if self.defer_silence(id) {
            return;
        }
        let Some(dispatch) = self.stop_job(id) else { return };
        let caller = &mut self.callers[request];
        let Some(admitted) = caller.admitted.as_mut() else { return };
        let gateway = &mut self.gateways[caller.host];
        match gateway.after_send(self.now, admitted, &dispatch, &SendResult::Lost) {
            NextStep::PlaceAgain => self.try_place(request),
            NextStep::Refuse(refusal) => self.refuse(request, refusal),
            NextStep::RelayFailure | NextStep::CutAnswer => caller.end = Some(End::Refused),
        }
    }

    fn refuse(&mut self, request: usize, refusal: GatewayRefusal) {
        let patience = self.kind(request).patience;
        let caller = &mut self.callers[request];
        let left = (caller.arrival.at + patience).since(self.now);
        caller.admitted = None;
        match refusal.retry_after {
            Some(back) if caller.tries < 2 => {
                caller.host = self.random.random_range(0..self.setup.hosts);
                let at = self.now + back.min(left / 3);
                self.schedule(at, Event::Arrive(request));
            }
            _ => caller.end = Some(End::Refused),
        }
    }

    fn handle_timeout(&mut self, request: usize) {
        let caller = &mut self.callers[request];
        if caller.end.is_some() || caller.first_event.is_some() || caller.admitted.is_none() {
            return;
        }
        caller.end = Some(End::TimedOut);
        if let Some(admitted) = caller.admitted.as_mut() {
            self.gateways[caller.host].leave_queue(admitted);
        }
        for id in [caller.job, caller.hedge].into_iter().flatten() {
            self.stop_job(id);
        }
    }

    fn schedule_summary(&mut self, host: usize) {
        if !self.is_summary_due[host] {
            self.is_summary_due[host] = true;
            let (shortest, _) = self.gateways[host].summary_interval(self.now);
            let at = (self.summarized[host] + shortest).max(self.now);
            self.schedule(at, Event::Summarize(host));
        }
    }

    /// Sends a summary to the peers. The network delay is left out, since the interval between
    /// summaries is usually longer.
    fn summarize(&mut self, host: usize, scope: SummaryScope) {
        self.is_summary_due[host] = false;
        self.summarized[host] = self.now;
        let targets = self.gateways[host].summary_targets(self.now, scope);
        let summary = self.gateways[host].peer_summary(self.now);
        for peer in 0..self.setup.hosts {
            let is_peer = |target: &&SummaryTarget| target.address == address(peer);
            let Some(target) = targets.iter().find(is_peer) else { continue };
            let heard = ReceivedSummary { from: address(host), summary: summary.for_peer(*target) };
            self.gateways[peer].apply_summary(self.now, heard);
        }
    }

    fn report(&self) -> ReplayReport {
        let count =
            |limit: &EngineLimit| count_requests(*limit, &self.engine_arrivals[limit.engine]);
        let mut report = ReplayReport {
            limits: self.setup.limits.iter().map(count).collect(),
            hedges: self.hedges.clone(),
            first_events: vec![Vec::new(); self.load.kinds.len()],
            forecasts: self.forecasts.clone(),
            kinds: vec![KindResult::default(); self.load.kinds.len()],
            ..ReplayReport::default()
        };
        let mut windows: Vec<(f64, f64)> = Vec::new();
        for (position, result) in report.kinds.iter_mut().enumerate() {
            let mut sizes: Vec<u64> = self
                .callers
                .iter()
                .filter(|caller| caller.arrival.kind == position)
                .map(|caller| caller.arrival.size.prompt)
                .collect();
            sizes.sort_unstable();
            let large = sizes.get(sizes.len() * 9 / 10).copied().unwrap_or(u64::MAX);
            let mut own: Vec<(f64, f64)> = Vec::new();
            for caller in self.callers.iter().filter(|one| one.arrival.kind == position) {
                let (owed, earned) = self.count(caller, large, result);
                let first = caller.first_event.map(|at| at.since(caller.arrival.at));
                report.first_events[position].extend(first);
                let window = (caller.arrival.at.0 / 2_000_000) as usize;
                for sums in [&mut windows, &mut own] {
                    sums.resize(sums.len().max(window + 1), (0.0, 0.0));
                    sums[window].0 += earned;
                    sums[window].1 += owed;
                }
            }
            report.kind_windows.push(earned_fractions(&own));
        }
        report.customers = vec![(0, 0); self.load.customers.len()];
        for caller in &self.callers {
            let Some(counts) = report.customers.get_mut(caller.arrival.customer) else { continue };
            counts.0 += 1;
            counts.1 += u32::from(caller.end == Some(End::Answered));
        }
        report.windows = earned_fractions(&windows);
        report
    }

    /// Adds one caller to `result` and returns its worth and the part that was earned.
    fn count(&self, caller: &Caller, large: u64, result: &mut KindResult) -> (f64, f64) {
        let kind = &self.load.kinds[caller.arrival.kind];
        let (worth, late_worth) = kind.worth_of(caller.arrival.size.prompt);
        let is_large = caller.arrival.size.prompt >= large;
        result.asked += 1;
        result.owed += worth;
        result.large.0 += u32::from(is_large);
        if caller.end != Some(End::Answered) {
            result.refused += 1;
            return (worth, 0.0);
        }
        result.large.1 += u32::from(is_large);
        let first = caller.first_event.map_or(Duration::MAX, |at| at.since(caller.arrival.at));
        let is_first_late = first > kind.objective;
        result.late_first += u32::from(is_first_late);
        result.soon += u32::from(first <= FIRST_TOKEN_GOAL);
        let is_late = is_first_late || caller.longest_pause > kind.gap;
        let earned = if is_late { late_worth } else { worth };
        result.late += u32::from(is_late);
        result.on_time += u32::from(!is_late);
        result.earned += earned;
        (worth, earned)
    }
}

/// Returns the deadline of a caller's request, or `now` if it has none.
fn request_deadline(caller: &Caller, now: Moment) -> Moment {
    caller.admitted.as_ref().map_or(now, |admitted| admitted.deadline)
}
