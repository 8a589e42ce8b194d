//! A simulation of several `Homes` with messages, clocks, faults and a service that counts runs.

mod callers;
mod faults;

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

/// Wall time at the start of a schedule, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;
pub const TICK_INTERVAL: u64 = 50_000;
const HEARTBEAT_INTERVAL: u64 = 150_000;
const SUSPECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Real time in microseconds.
type Micros = u64;

/// The rates of faults in a schedule, per mille and step or event.
#[derive(Debug, Clone, Copy)]
pub struct Faults {
    pub drop: u32,
    pub duplicate: u32,
    pub delay: u32,
    pub cut: u32,
    pub kill: u32,
    pub freeze: u32,
    pub suspend: u32,
    pub stop: u32,
    pub list: u32,
    pub freeze_on_send: u32,
    pub lost_reply: u32,
}

pub const NO_FAULTS: Faults = Faults {
    drop: 0,
    duplicate: 0,
    delay: 0,
    cut: 0,
    kill: 0,
    freeze: 0,
    suspend: 0,
    stop: 0,
    list: 0,
    freeze_on_send: 0,
    lost_reply: 0,
};

#[derive(Debug, Clone)]
enum Input {
    Peer(Box<Envelope>),
    Tick,
    Heartbeat,
    Call(Box<ForwardedCall>),
    /// The connection was made or failed; `authorize_send` is checked next.
    Connected(CallKey, u64),
    /// The call was written, so the service runs it.
    Written(CallKey, u64),
    Result(CallKey, CallResult),
    List(usize),
    Stop,
}

#[derive(Debug)]
struct Host {
    name: HostName,
    homes: Homes,
    members: Members,
    incarnation: Incarnation,
    started: Micros,
    alive: bool,
    stopping: bool,
    frozen_until: Micros,
    /// The rate of the monotonic clock, per mille.
    rate: u64,
    /// The time for which the monotonic clock stood still during suspends.
    suspended: Micros,
    /// How far the wall clock is ahead of the slowest permitted one, in milliseconds.
    wall_offset: u64,
    list: usize,
    last_beat: u64,
}

/// One copy of a call at one host.
#[derive(Debug, Clone)]
struct Copy {
    key: CallKey,
    body: u64,
    host: usize,
    incarnation: Incarnation,
    issued: Micros,
    due: Micros,
    may_be_late: bool,
    answers: Vec<Result<u64, Refusal>>,
}

/// The answers and runs in a schedule.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    pub copies: u64,
    pub served: u64,
    pub not_run: u64,
    pub failed: u64,
    pub unknown: u64,
    pub runs: u64,
}

pub struct Simulation {
    rng: SmallRng,
    faults: Faults,
    now: Micros,
    seq: u64,
    queue: BinaryHeap<Reverse<(Micros, u64, usize, u64)>>,
    inputs: BTreeMap<u64, Input>,
    hosts: Vec<Host>,
    lists: Vec<(Micros, LiveList)>,
    cuts: BTreeMap<(usize, usize), Micros>,
    runs: BTreeMap<CallKey, Vec<u64>>,
    not_run: BTreeMap<CallKey, usize>,
    copies: Vec<Copy>,
    settings: HomeSettings,
    keys: u64,
    pub error: Option<String>,
}

impl Simulation {
    pub fn new(seed: u64, count: usize, settings: HomeSettings, faults: Faults) -> Simulation {
        let mut simulation = Simulation {
            rng: SmallRng::seed_from_u64(seed),
            faults,
            now: 0,
            seq: 0,
            queue: BinaryHeap::new(),
            inputs: BTreeMap::new(),
            hosts: Vec::new(),
            lists: Vec::new(),
            cuts: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_run: BTreeMap::new(),
            copies: Vec::new(),
            settings,
            keys: 0,
            error: None,
        };
        let names: Vec<_> = (0..count).map(name_of).collect();
        simulation.lists.push((0, list_of(1, &names)));
        for at in 0..count {
            simulation.start(at, 0);
        }
        simulation
    }

    /// Runs until `until`, with a chance of faults and a call in each step.
    pub fn run(&mut self, until: Micros, quiet_after: Micros, calls: u32) {
        let mut step = self.now;
        while step < until && self.error.is_none() {
            step += TICK_INTERVAL;
            self.run_until(step);
            if step < quiet_after {
                self.fault();
            }
            if self.rng.random_range(0..1000) < calls {
                self.call();
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.faults = NO_FAULTS;
        for at in 0..self.hosts.len() {
            let latest = self.lists.len() - 1;
            self.push(self.now, at, Input::List(latest));
        }
    }

    pub fn begin_stop(&mut self, at: usize) {
        self.push(self.now, at, Input::Stop);
    }

    pub fn is_stopped(&self, at: usize) -> bool {
        let host = &self.hosts[at];
        host.homes.is_stopped(self.clock(at), &host.members)
    }

    pub fn kill(&mut self, at: usize) {
        self.hosts[at].alive = false;
    }

    /// Returns when the last call was issued whose answer was `unknown`.
    pub fn last_unknown(&self) -> Micros {
        let unknown = |copy: &&Copy| match copy.answers.first() {
            Some(Err(refusal)) => refusal.outcome == Outcome::Unknown,
            _ => false,
        };
        self.copies.iter().filter(unknown).map(|copy| copy.issued).max().unwrap_or(0)
    }

    pub fn restart(&mut self, at: usize) {
        let latest = self.lists.len() - 1;
        self.start(at, latest);
    }

    fn freeze(&mut self, at: usize, span: Micros) {
        self.hosts[at].frozen_until = self.hosts[at].frozen_until.max(self.now + span);
        for copy in self.copies.iter_mut().filter(|copy| copy.host == at) {
            copy.may_be_late |= copy.answers.is_empty();
        }
    }

    /// Checks that each copy got one answer, and counts the answers.
    pub fn finish(&mut self) -> Counts {
        let mut counts = Counts::default();
        let mut wrong = None;
        for copy in &self.copies {
            if !self.is_process_running(copy) {
                continue;
            }
            if copy.answers.len() != 1 {
                wrong = Some(format!("{} answers to {copy:?}", copy.answers.len()));
            }
            counts.copies += 1;
            match copy.answers.first() {
                Some(Ok(_)) => counts.served += 1,
                Some(Err(refusal)) if refusal.outcome == Outcome::NotRun => counts.not_run += 1,
                Some(Err(refusal)) if refusal.outcome == Outcome::Failed => counts.failed += 1,
                _ => counts.unknown += 1,
            }
        }
        counts.runs = self.runs.values().map(|runs| runs.len() as u64).sum();
        if self.error.is_none() {
            self.error = wrong;
        }
        counts
    }

    fn start(&mut self, at: usize, list: usize) {
        let incarnation = Incarnation(self.rng.random());
        let host = name_of(at);
        let rate = self.rng.random_range(995..=1005);
        let mut host_state = Host {
            name: host.clone(),
            homes: Homes::new(host.clone(), incarnation, self.settings, 0, Now::default()),
            members: Members::new(host.clone(), ZoneName::new("z"), SUSPECT_TIMEOUT, Moment(0)),
            incarnation,
            started: self.now,
            alive: true,
            stopping: false,
            frozen_until: 0,
            rate,
            suspended: 0,
            wall_offset: self.rng.random_range(0..=self.skew()),
            list,
            last_beat: 0,
        };
        let now = clock_of(&host_state, self.now);
        let seed = self.rng.random();
        host_state.homes = Homes::new(host, incarnation, self.settings, seed, now);
        host_state.homes.set_hosts(now, &self.lists[list].1);
        host_state.members.set_hosts(now.mono, &self.lists[list].1);
        if at < self.hosts.len() {
            self.hosts[at] = host_state;
        } else {
            self.hosts.push(host_state);
        }
        let first = self.rng.random_range(0..TICK_INTERVAL);
        self.push(self.now + first, at, Input::Tick);
        self.push(self.now + first, at, Input::Heartbeat);
    }

    fn push(&mut self, when: Micros, host: usize, input: Input) {
        self.seq += 1;
        let incarnation = self.hosts[host].incarnation.0;
        self.inputs.insert(self.seq, input);
        self.queue.push(Reverse((when, self.seq, host, incarnation)));
    }

    fn run_until(&mut self, until: Micros) {
        while let Some(&Reverse((when, seq, at, incarnation))) = self.queue.peek()
            && when <= until
        {
            self.queue.pop();
            let host = &self.hosts[at];
            if host.frozen_until > when {
                // A frozen process handles its inputs in order when it resumes.
                self.queue.push(Reverse((host.frozen_until, seq, at, incarnation)));
                continue;
            }
            self.now = when;
            let input = self.inputs.remove(&seq);
            let same = host.incarnation.0 == incarnation || matches!(input, Some(Input::Peer(_)));
            if let Some(input) = input
                && host.alive
                && same
            {
                self.handle(at, input);
            }
        }
        self.now = until;
    }

    fn clock(&self, at: usize) -> Now {
        clock_of(&self.hosts[at], self.now)
    }

    fn handle(&mut self, at: usize, input: Input) {
        let now = self.clock(at);
        let host = &mut self.hosts[at];
        let outputs = match input {
            Input::Peer(envelope) => {
                let current = host.members.admit_sender(&envelope.from, envelope.incarnation);
                if let PeerMessage::Heartbeat(heartbeat) = &envelope.message {
                    let from = &envelope.from;
                    host.members.on_heartbeat(now.mono, from, envelope.incarnation, heartbeat);
                }
                match current {
                    SenderStatus::Current => host.homes.on_peer(now, &envelope),
                    _ => Vec::new(),
                }
            }
            Input::Tick => {
                host.members.on_tick(now.mono);
                let outputs = host.homes.on_tick(now, &host.members);
                self.push(self.now + TICK_INTERVAL, at, Input::Tick);
                outputs
            }
            Input::Heartbeat => return self.send_heartbeats(at, now),
            Input::Call(call) => host.homes.on_call(now, &host.members, *call),
            Input::Connected(key, body) => return self.connected(at, now, key, body),
            Input::Written(key, body) => return self.written(at, key, body),
            Input::Result(key, result) => host.homes.on_result(now, key, result),
            Input::List(list) => {
                host.list = list.max(host.list);
                host.members.set_hosts(now.mono, &self.lists[list].1);
                host.homes.set_hosts(now, &self.lists[list].1)
            }
            Input::Stop => {
                host.stopping = true;
                host.members.begin_stop();
                host.homes.begin_stop(now, &host.members)
            }
        };
        for output in outputs {
            self.output(at, output);
        }
    }

    fn output(&mut self, at: usize, output: HomeOutput) {
        match output {
            HomeOutput::Send { to, message } => self.send(at, &to, message),
            HomeOutput::Run(call) => {
                let wait = self.rng.random_range(500..20_000);
                let body = body_of(&call.call);
                let key = call.call.key.expect("calls of schedules have keys");
                self.push(self.now + wait, at, Input::Connected(key, body));
            }
            HomeOutput::Reply { request, result } => self.check_answer(at, request, result),
            HomeOutput::Event(_) => {}
        }
    }

    /// Checks `authorize_send`, after which the process may still freeze before it sends.
    fn connected(&mut self, at: usize, now: Now, key: CallKey, body: u64) {
        let failed = self.chance(self.faults.lost_reply);
        if failed || !self.hosts[at].homes.authorize_send(now, key) {
            return self.push(self.now, at, Input::Result(key, CallResult::NotSent));
        }
        if self.chance(self.faults.freeze_on_send) {
            let span = self.rng.random_range(TICK_INTERVAL..1_500_000);
            self.freeze(at, span);
        }
        self.push(self.now, at, Input::Written(key, body));
    }

    fn written(&mut self, at: usize, key: CallKey, body: u64) {
        let runs = self.runs.entry(key).or_default();
        runs.push(body);
        if runs.len() > 1 {
            self.fail(format!("{key} ran {} times, last at host {at}", self.runs[&key].len()));
        }
        if self.not_run.contains_key(&key) {
            self.fail(format!("{key} ran at host {at} after `not_run` was said"));
        }
        let result = match self.chance(self.faults.lost_reply) {
            true => CallResult::Lost,
            false => CallResult::Replied(reply_of(body)),
        };
        let wait = self.rng.random_range(1_000..200_000);
        self.push(self.now + wait, at, Input::Result(key, result));
    }

    fn send_heartbeats(&mut self, at: usize, now: Now) {
        self.push(self.now + HEARTBEAT_INTERVAL, at, Input::Heartbeat);
        let host = &mut self.hosts[at];
        host.last_beat += 1;
        let heartbeat = Heartbeat {
            beat: host.last_beat,
            list: self.lists[host.list].1.version,
            stopping: host.stopping,
            shards: host.homes.held_shards(now),
            ..Heartbeat::default()
        };
        let peers: Vec<_> = host.members.peers().map(|(name, _)| name.clone()).collect();
        for to in peers {
            self.send(at, &to, PeerMessage::Heartbeat(Box::new(heartbeat.clone())));
        }
    }

    fn send(&mut self, at: usize, to: &HostName, message: PeerMessage) {
        let Some(to) = self.hosts.iter().position(|host| host.name == *to) else {
            return;
        };
        let cut = self.cuts.get(&(at, to)).is_some_and(|until| self.now < *until);
        if cut || self.chance(self.faults.drop) {
            return;
        }
        let host = &self.hosts[at];
        let (from, incarnation) = (host.name.clone(), host.incarnation);
        let envelope = Envelope { from, incarnation, message };
        let copies = if self.chance(self.faults.duplicate) { 2 } else { 1 };
        for _ in 0..copies {
            let delayed = self.chance(self.faults.delay);
            let max_delay = if delayed { 1_500_000 } else { 5_000 };
            let when = self.now + self.rng.random_range(500..max_delay);
            self.push(when, to, Input::Peer(Box::new(envelope.clone())));
        }
    }

    /// The maximum difference between two wall clocks, in milliseconds.
    fn skew(&self) -> u64 {
        self.settings.clock_skew.as_millis() as u64
    }

    fn chance(&mut self, per_mille: u32) -> bool {
        per_mille > 0 && self.rng.random_range(0..1000) < per_mille
    }

    fn fail(&mut self, error: String) {
        let now = self.now;
        self.error.get_or_insert_with(|| format!("at {now} us: {error}"));
    }
}

fn clock_of(host: &Host, now: Micros) -> Now {
    let run = now - host.started - host.suspended.min(now - host.started);
    let wall = EPOCH + now / 1000 + host.wall_offset;
    Now { mono: Moment(run * host.rate / 1000), wall: WallTime(wall) }
}

fn name_of(at: usize) -> HostName {
    HostName::new(format!("h{at}"))
}

pub fn list_of(version: u64, names: &[HostName]) -> LiveList {
    let peer_addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let zone = ZoneName::new("z");
    let entry = |name: &HostName| EntryHost { name: name.clone(), zone: zone.clone(), peer_addr };
    let entry_hosts = names.iter().map(entry).collect();
    LiveList { version, entry_hosts, ..LiveList::default() }
}

pub fn call_of(id: RequestId, key: CallKey, body: u64) -> ServiceCall {
    ServiceCall {
        id,
        customer: CustomerName::new("c"),
        service: ServiceName::new("s"),
        method: "POST".into(),
        path: "/".into(),
        body: body.to_le_bytes().as_slice().into(),
        media: None,
        repeatable: false,
        key: Some(key),
        deadline: Moment(0),
    }
}

fn body_of(call: &ServiceCall) -> u64 {
    number_in(&call.body)
}

fn number_in(body: &[u8]) -> u64 {
    u64::from_le_bytes(body.try_into().expect("bodies of schedules are numbers"))
}

fn reply_of(body: u64) -> ServiceReply {
    ServiceReply { status: 200, media: None, body: body.to_le_bytes().as_slice().into() }
}
