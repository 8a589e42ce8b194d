//! Timers, messages between peers, the configuration and the live list, and planned stops.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Node;
use super::io::Output;
use super::io::PeerAddr;
use super::io::ReadFailure;
use crate::coordination::ConfigOutput;
use crate::coordination::ConfigReadResult;
use crate::coordination::Envelope;
use crate::coordination::Heartbeat;
use crate::coordination::PeerMessage;
use crate::coordination::SenderStatus;
use crate::coordination::TargetHealth;
use crate::state::EngineLoad;
use crate::state::Event;
use crate::state::FleetPressure;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::LiveList;
use crate::state::Moment;
use crate::state::Now;
use crate::state::TargetState;

/// How often running requests are checked for lost start requests and silent streams.
const SWEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Minimum backoff after a failed read of the live list.
const WATCH_BACKOFF_MIN: Duration = Duration::from_millis(500);

/// Maximum backoff after failed reads of the live list.
const WATCH_BACKOFF_MAX: Duration = Duration::from_secs(8);

/// Only every nth heartbeat carries the loads of the engines, which are its largest part.
const BEATS_PER_LOADS: u64 = 3;

/// The fleet is full when its engines need longer than this to read their pending short prompts.
const FULL_SHORT_BACKLOG: Duration = Duration::from_secs(2);

/// The fleet is full when its engines need longer than this to read all their pending prompts.
///
/// The limit is higher than that for short prompts because a few very long prompts take many
/// seconds to read on a fleet that is not full.
const FULL_TOTAL_BACKLOG: Duration = Duration::from_secs(30);

/// Interval between requests to the seed peers while no live list is known.
const SEED_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum duration of a planned stop, so that heartbeats can notify the peers before the process
/// ends.
const STOP_NOTICE: Duration = Duration::from_secs(1);

/// Timers and flags of the periodic work of one entry host.
#[derive(Debug)]
pub(super) struct ControlState {
    seed_peers: Vec<PeerAddr>,
    seeds_set: bool,
    next_seed: Moment,
    beat: u64,
    next_heartbeat: Moment,
    next_sweep: Moment,
    watching_list: bool,
    next_watch: Moment,
    failed_reads: u32,
    stop_began: Option<Moment>,
}

impl ControlState {
    /// Starts the timers. The live list is requested from `seed_peers` while none is known.
    pub(super) fn new(seed_peers: Vec<PeerAddr>, now: Moment) -> ControlState {
        ControlState {
            seed_peers,
            seeds_set: false,
            next_seed: now,
            beat: 0,
            next_heartbeat: now,
            next_sweep: now,
            watching_list: false,
            next_watch: now,
            failed_reads: 0,
            stop_began: None,
        }
    }

    /// Returns whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.stop_began.is_some()
    }
}

impl Node {
    /// Runs the periodic work that is due.
    pub(super) fn on_tick(&mut self, now: Now) {
        self.end_overdue(now.mono);
        for event in self.members.on_tick(now.mono) {
            self.on_member_event(now.mono, event);
        }
        let outputs = self.homes.on_tick(now, &self.members);
        self.apply_home_outputs(now, outputs);
        let outputs = self.config.on_tick(now.mono, &self.members);
        self.apply_config_outputs(now, outputs);
        self.watch_live_list(now.mono);
        self.pull_from_seeds(now.mono);
        self.poll_engines(now.mono);
        if now.mono >= self.control.next_heartbeat {
            self.control.next_heartbeat = now.mono + self.tuning.heartbeat;
            self.send_heartbeat(now);
        }
        if now.mono >= self.control.next_sweep {
            self.control.next_sweep = now.mono + SWEEP_INTERVAL;
            self.repeat_start_requests(now.mono);
            self.move_silent_streams(now.mono);
            self.refresh_dispatch(now.mono);
            self.refresh_leaving(now.mono);
            self.refresh_targets(now.mono);
        }
        self.finish_stop(now);
    }

    fn on_member_event(&mut self, now: Moment, event: Event) {
        if let Event::PeerSuspected { peer } = &event {
            self.limits.peer_gone(peer);
            let known = self.members.peer(peer).and_then(|peer| peer.incarnation);
            if let Some(incarnation) = known {
                self.drop_owner(now, incarnation);
            }
        }
        self.record(event);
        self.refresh_dispatch(now);
    }

    fn record_load(&mut self, now: Moment, load: EngineLoad) {
        self.loads.insert(load.engine.clone(), load.clone());
        self.placer.report(now, load);
    }

    /// Returns whether the engines have a larger backlog than they can read soon, and their total
    /// prefill rate.
    fn fleet_pressure(&self) -> FleetPressure {
        let live = || self.loads.values().filter(|load| load.healthy);
        let capacity: f64 = live().map(|load| f64::from(load.prefill_rate)).sum();
        let short: f64 = live().map(|load| f64::from(load.short_tokens)).sum();
        let long: f64 = live().map(|load| f64::from(load.long_tokens)).sum();
        let full = short > capacity * FULL_SHORT_BACKLOG.as_secs_f64()
            || short + long > capacity * FULL_TOTAL_BACKLOG.as_secs_f64();
        FleetPressure { full, capacity }
    }

    /// Drops the queue entries of a process that has terminated or cannot be reached.
    ///
    /// A process that was only unreachable repeats its start requests once its heartbeats arrive
    /// again.
    fn drop_owner(&mut self, now: Moment, owner: Incarnation) {
        for dispatched in self.dispatch.engines.values_mut() {
            dispatched.queue.owner_gone(now, owner);
        }
    }

    /// Sends a heartbeat to every peer.
    fn send_heartbeat(&mut self, now: Now) {
        self.control.beat += 1;
        let loads = self.loads();
        for load in &loads {
            self.record_load(now.mono, load.clone());
        }
        self.limits.set_pressure(self.fleet_pressure());
        let beat = Heartbeat {
            beat: self.control.beat,
            clock: now.wall.0,
            config: self.config.version(),
            config_hash: self.config.hash(),
            list: self.list.version,
            stopping: self.control.is_stopping(),
            engines: if self.control.beat.is_multiple_of(BEATS_PER_LOADS) {
                loads
            } else {
                Vec::new()
            },
            usage: self.limits.usage(now.mono),
            targets: self.targets.reports(now.mono),
            shards: self.homes.held_shards(now),
        };
        let peers: Vec<HostName> = self.members.peers().map(|(name, _)| name.clone()).collect();
        for peer in peers {
            self.send(&peer, PeerMessage::Heartbeat(Box::new(beat.clone())));
        }
    }

    /// Handles an authenticated message from another entry host.
    pub(super) fn on_peer_message(&mut self, now: Now, envelope: Envelope) {
        let sender = self.members.admit_sender(&envelope.from, envelope.incarnation);
        let from = &envelope.from;
        match &envelope.message {
            // Accepted from any sender, even an unlisted or replaced one: a host that has no live
            // list, or is missing from a peer's, must still be able to get the list and the
            // configuration.
            PeerMessage::ConfigPull(pull) => {
                let outputs = self.config.on_pull(from, pull);
                self.apply_config_outputs(now, outputs);
                return;
            }
            PeerMessage::Config(update) => {
                let outputs = self.config.on_update(now.mono, from, update);
                self.apply_config_outputs(now, outputs);
                return;
            }
            PeerMessage::ListPull(pull) => {
                self.send_list(from, pull.have);
                return;
            }
            PeerMessage::List(list) => {
                self.apply_list(now, list.as_ref().clone());
                return;
            }
            _ if sender != SenderStatus::Current => return,
            _ => {}
        }
        match envelope.message {
            PeerMessage::Heartbeat(ref beat) => self.on_heartbeat(now, &envelope, beat),
            PeerMessage::Lease(_) | PeerMessage::Forward(_) | PeerMessage::Answer(_) => {
                let outputs = self.homes.on_peer(now, &envelope);
                self.apply_home_outputs(now, outputs);
            }
            PeerMessage::Ask(request) => {
                self.on_start_request(now.mono, envelope.incarnation, *request)
            }
            PeerMessage::Grant(grant) => self.on_grant(now.mono, &envelope.from, grant),
            PeerMessage::Deny(denial) => self.on_denial(now.mono, denial),
            PeerMessage::Withdraw(withdrawn) => self.on_withdraw(now.mono, &withdrawn),
            PeerMessage::FirstToken(first) => self.on_first_token(now.mono, &first),
            PeerMessage::Finished(finished) => self.on_finished(now.mono, &finished),
            PeerMessage::TargetSeen(seen) => {
                self.on_target_seen(now.mono, &envelope.from, std::slice::from_ref(&seen));
            }
            PeerMessage::ConfigPull(_) | PeerMessage::Config(_) => {}
            PeerMessage::ListPull(_) | PeerMessage::List(_) => {}
        }
    }

    fn on_heartbeat(&mut self, now: Now, envelope: &Envelope, beat: &Heartbeat) {
        let from = &envelope.from;
        let known = self.members.peer(from).map(|peer| (peer.stopping, peer.incarnation));
        let stopping = known.is_some_and(|(stopping, _)| stopping);
        let event = self.members.on_heartbeat(now.mono, from, envelope.incarnation, beat);
        if let Some(event) = event {
            self.on_member_event(now.mono, event);
        }
        if let Some(old) = known.and_then(|(_, incarnation)| incarnation)
            && old != envelope.incarnation
        {
            self.targets.on_new_incarnation(from);
            self.drop_owner(now.mono, old);
        }
        if stopping != beat.stopping {
            self.refresh_dispatch(now.mono);
        }
        for load in &beat.engines {
            self.record_load(now.mono, load.clone());
        }
        self.limits.record_peer_usage(now.mono, from, &beat.usage);
        self.on_target_seen(now.mono, from, &beat.targets);
        let outputs = self.config.on_heartbeat(now.mono, from, beat.config, beat.config_hash);
        self.apply_config_outputs(now, outputs);
        if beat.list > self.list.version {
            let have = self.list.version;
            self.send(from, PeerMessage::ListPull(crate::coordination::ListPull { have }));
        }
    }

    fn on_target_seen(
        &mut self,
        now: Moment,
        from: &HostName,
        seen: &[crate::coordination::TargetSeen],
    ) {
        for report in seen {
            self.targets.on_peer_report(now, from, report);
        }
        if !seen.is_empty() {
            self.refresh_targets(now);
        }
    }

    /// Records what this host's own connection to a target showed.
    pub(super) fn observe_target(
        &mut self,
        now: Moment,
        addr: SocketAddr,
        state: Option<TargetState>,
    ) {
        self.targets.observe(now, &addr.to_string(), state);
        self.refresh_targets(now);
    }

    /// Recomputes the health of the targets and handles the changes.
    fn refresh_targets(&mut self, now: Moment) {
        let events = self.targets.on_tick(now);
        if events.is_empty() {
            return;
        }
        self.refresh_usable(now);
        for event in events {
            if let Event::TargetChanged { target, state } = &event
                && state == TargetHealth::Gone.as_str()
                && let Ok(addr) = target.parse()
            {
                self.move_unstarted(now, addr);
            }
            self.record(event);
        }
    }

    /// Recomputes which targets take new work.
    pub(super) fn refresh_usable(&mut self, now: Moment) {
        let live = self.targets.all(now).filter(|(_, health)| *health == TargetHealth::Live);
        self.usable_targets = live.filter_map(|(name, _)| name.parse().ok()).collect();
    }

    /// Returns whether a target takes new work.
    pub(super) fn takes_work(&self, addr: SocketAddr) -> bool {
        self.usable_targets.contains(&addr)
    }

    /// Executes the outputs of the configuration sync.
    fn apply_config_outputs(&mut self, now: Now, outputs: Vec<ConfigOutput>) {
        for output in outputs {
            match output {
                ConfigOutput::Send { to, message } => self.send(&to, message),
                ConfigOutput::Read { after, wait } => {
                    self.emit(Output::WatchConfig { after, wait });
                }
                ConfigOutput::Apply(rules) => self.apply_rules(now.mono, rules),
                ConfigOutput::Event(event) => self.record(event),
            }
        }
    }

    /// Handles the response of the configuration service.
    pub(super) fn on_config_read(&mut self, now: Now, answer: ConfigReadResult) {
        let outputs = self.config.on_read_result(now.mono, &self.members, answer);
        self.apply_config_outputs(now, outputs);
    }

    /// Starts a watch of the live list, unless one is open or the backoff has not passed.
    fn watch_live_list(&mut self, now: Moment) {
        if self.control.watching_list || now < self.control.next_watch {
            return;
        }
        self.control.watching_list = true;
        self.emit(Output::WatchLiveList { after: self.list.version });
    }

    /// Handles the platform's response to a watch of the live list.
    pub(super) fn on_live_list_read(
        &mut self,
        now: Now,
        read: Result<Option<LiveList>, ReadFailure>,
    ) {
        self.control.watching_list = false;
        match read {
            Ok(list) => {
                self.control.failed_reads = 0;
                self.control.next_watch = now.mono;
                if let Some(list) = list {
                    self.apply_list(now, list);
                }
            }
            Err(_) => {
                self.control.failed_reads += 1;
                let pause = self.watch_backoff();
                self.control.next_watch = now.mono + pause;
            }
        }
    }

    /// Returns an exponential backoff, randomised so that hosts do not retry at the same time.
    fn watch_backoff(&mut self) -> Duration {
        let doubled = WATCH_BACKOFF_MIN * 2u32.saturating_pow(self.control.failed_reads.min(6));
        doubled.min(WATCH_BACKOFF_MAX).mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Requests the live list from the seed peers while none is known.
    fn pull_from_seeds(&mut self, now: Moment) {
        if self.list.version > 0 || now < self.control.next_seed {
            return;
        }
        self.control.next_seed = now + SEED_INTERVAL;
        let seed_peers = self.control.seed_peers.clone();
        if !self.control.seeds_set && !seed_peers.is_empty() {
            self.control.seeds_set = true;
            self.emit(Output::SetPeers(seed_peers.clone()));
        }
        for seed in seed_peers {
            let pull = crate::coordination::ListPull { have: 0 };
            self.send(&seed.host, PeerMessage::ListPull(pull));
        }
    }

    fn send_list(&mut self, to: &HostName, have: u64) {
        if self.list.version > have {
            let list = Box::new(self.list.clone());
            self.send(to, PeerMessage::List(list));
        }
    }

    /// Applies a live list from the platform or a peer if it is newer than the current one.
    fn apply_list(&mut self, now: Now, list: LiveList) {
        if list.version <= self.list.version {
            return;
        }
        for removed in self
            .list
            .engines
            .iter()
            .filter(|engine| !list.engines.iter().any(|listed| listed.name == engine.name))
        {
            self.placer.forget(&removed.name);
            self.loads.remove(&removed.name);
        }
        self.members.set_hosts(now.mono, &list);
        self.targets.set_list(&list);
        self.refresh_usable(now.mono);
        let outputs = self.homes.set_hosts(now, &list);
        let peers = list.entry_hosts.iter().filter(|entry| entry.name != self.host);
        let peers = peers.map(|entry| PeerAddr { host: entry.name.clone(), addr: entry.peer_addr });
        let peers = peers.collect();
        self.list = list;
        self.emit(Output::SetPeers(peers));
        self.apply_home_outputs(now, outputs);
        self.refresh_dispatch(now.mono);
    }

    /// Begins a planned stop: new work is refused, claims are handed over and open streams run to
    /// their end.
    pub(super) fn on_stop(&mut self, now: Now) {
        if self.control.is_stopping() {
            return;
        }
        self.control.stop_began = Some(now.mono);
        self.record(Event::StopBegan);
        self.members.begin_stop();
        let outputs = self.homes.begin_stop(now, &self.members);
        self.apply_home_outputs(now, outputs);
        self.send_heartbeat(now);
        self.refresh_dispatch(now.mono);
    }

    /// Ends the planned stop once no work is left, or when it has reached its time limit.
    fn finish_stop(&mut self, now: Now) {
        let Some(began) = self.control.stop_began else { return };
        let open = self.running.len() + self.calls.len();
        let notified = now.mono.since(began) >= STOP_NOTICE;
        let done = notified && open == 0 && self.homes.is_stopped(now, &self.members);
        let timed_out = now.mono.since(began) >= self.tuning.stop_bound;
        if !done && !timed_out {
            return;
        }
        self.end_all_at_stop(now.mono);
        self.record(Event::StopEnded { cut: u32::try_from(open).unwrap_or(u32::MAX) });
        self.emit(Output::Stopped);
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> &Arc<crate::state::Rules> {
        &self.rules
    }
}
