//! Time, gossip, the platform's publications and the planned stop.

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

/// How often running requests are looked at for lost asks and silent streams.
const SWEEP: Duration = Duration::from_millis(100);

/// The shortest wait after a failed read of the live list.
const READ_PAUSE: Duration = Duration::from_millis(500);

/// The longest wait after failed reads of the live list.
const READ_PAUSE_MAX: Duration = Duration::from_secs(8);

/// Every how many heartbeats bring the engines' loads, which are their largest part.
const LOADS_EVERY: u64 = 3;

/// The fleet is full when its engines have more than this long to read of short prompts.
const FULL_SHORT: Duration = Duration::from_secs(2);

/// The fleet is full when its engines have more than this long to read in all.
///
/// A few very long prompts are many seconds of reading on a fleet that is not full.
const FULL_ALL: Duration = Duration::from_secs(30);

/// The time between two questions to the settings' peers while no live list is known.
const SEED_PAUSE: Duration = Duration::from_millis(500);

/// How long a stopping host still waits for heartbeats to tell its peers before it may end.
const STOP_NOTICE: Duration = Duration::from_secs(1);

/// The timers of one entry host.
#[derive(Debug)]
pub(super) struct Control {
    seed_peers: Vec<PeerAddr>,
    seeded: bool,
    seed_at: Moment,
    beat: u64,
    beat_at: Moment,
    sweep_at: Moment,
    reading_live: bool,
    read_live_at: Moment,
    failed_reads: u32,
    stop_at: Option<Moment>,
}

impl Control {
    /// Starts the timers; `seed_peers` are asked for the configuration while no live list is known.
    pub(super) fn new(seed_peers: Vec<PeerAddr>, now: Moment) -> Control {
        Control {
            seed_peers,
            seeded: false,
            seed_at: now,
            beat: 0,
            beat_at: now,
            sweep_at: now,
            reading_live: false,
            read_live_at: now,
            failed_reads: 0,
            stop_at: None,
        }
    }

    /// Tells whether a planned stop has begun.
    pub(super) fn stopping(&self) -> bool {
        self.stop_at.is_some()
    }
}

impl Node {
    /// Does what time asks for.
    pub(super) fn on_tick(&mut self, now: Now) {
        self.end_overdue(now.mono);
        for event in self.members.on_tick(now.mono) {
            self.on_member_event(now.mono, event);
        }
        let outputs = self.homes.on_tick(now, &self.members);
        self.do_home(now, outputs);
        let outputs = self.config.on_tick(now.mono, &self.members);
        self.do_config(now, outputs);
        self.read_live(now.mono);
        self.ask_seeds(now.mono);
        self.poll_engines(now.mono);
        if now.mono >= self.control.beat_at {
            self.control.beat_at = now.mono + self.tuning.heartbeat;
            self.heartbeat(now);
        }
        if now.mono >= self.control.sweep_at {
            self.control.sweep_at = now.mono + SWEEP;
            self.repeat_asks(now.mono);
            self.end_silent_streams(now.mono);
            self.refresh_dispatch(now.mono);
            self.renew_leaving(now.mono);
            self.judge_targets(now.mono);
        }
        self.end_stop(now);
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

    fn learn_load(&mut self, now: Moment, load: EngineLoad) {
        self.loads.insert(load.engine.clone(), load.clone());
        self.placer.report(now, load);
    }

    /// Returns whether the engines have more to read than they can soon, and what they do together.
    fn fleet_pressure(&self) -> FleetPressure {
        let live = || self.loads.values().filter(|load| load.healthy);
        let capacity: f64 = live().map(|load| f64::from(load.prefill_rate)).sum();
        let short: f64 = live().map(|load| f64::from(load.short_tokens)).sum();
        let long: f64 = live().map(|load| f64::from(load.long_tokens)).sum();
        let full = short > capacity * FULL_SHORT.as_secs_f64()
            || short + long > capacity * FULL_ALL.as_secs_f64();
        FleetPressure { full, capacity }
    }

    /// Drops what a process that is gone asked this host's queues for.
    ///
    /// One that is only cut off asks again once it is heard.
    fn drop_owner(&mut self, now: Moment, owner: Incarnation) {
        for owned in self.dispatch.engines.values_mut() {
            owned.queue.owner_gone(now, owner);
        }
    }

    /// Reports to every peer.
    fn heartbeat(&mut self, now: Now) {
        self.control.beat += 1;
        let loads = self.loads();
        for load in &loads {
            self.learn_load(now.mono, load.clone());
        }
        self.limits.set_pressure(self.fleet_pressure());
        let beat = Heartbeat {
            beat: self.control.beat,
            clock: now.wall.0,
            config: self.config.version(),
            config_hash: self.config.hash(),
            list: self.list.version,
            stopping: self.control.stopping(),
            engines: if self.control.beat.is_multiple_of(LOADS_EVERY) { loads } else { Vec::new() },
            usage: self.limits.usage(now.mono),
            targets: self.targets.reports(now.mono),
            shards: self.homes.held_shards(now),
        };
        let peers: Vec<HostName> = self.members.peers().map(|(name, _)| name.clone()).collect();
        for peer in peers {
            self.send(&peer, PeerMessage::Heartbeat(Box::new(beat.clone())));
        }
    }

    /// Takes a message of a peer whose sender was proved.
    pub(super) fn on_peer(&mut self, now: Now, envelope: Envelope) {
        let sender = self.members.admit_sender(&envelope.from, envelope.incarnation);
        let from = &envelope.from;
        match &envelope.message {
            // A host that has no list yet must be able to learn the configuration.
            PeerMessage::ConfigPull(pull) => {
                let outputs = self.config.on_pull(from, pull);
                self.do_config(now, outputs);
                return;
            }
            PeerMessage::Config(update) => {
                let outputs = self.config.on_update(now.mono, from, update);
                self.do_config(now, outputs);
                return;
            }
            PeerMessage::ListPull(pull) => {
                self.send_list(from, pull.have);
                return;
            }
            PeerMessage::List(list) => {
                self.take_list(now, list.as_ref().clone());
                return;
            }
            _ if sender != SenderStatus::Current => return,
            _ => {}
        }
        match envelope.message {
            PeerMessage::Heartbeat(ref beat) => self.on_heartbeat(now, &envelope, beat),
            PeerMessage::Lease(_) | PeerMessage::Forward(_) | PeerMessage::Answer(_) => {
                let outputs = self.homes.on_peer(now, &envelope);
                self.do_home(now, outputs);
            }
            PeerMessage::Ask(ask) => self.on_ask(now.mono, envelope.incarnation, *ask),
            PeerMessage::Grant(grant) => self.on_grant(now.mono, &envelope.from, grant),
            PeerMessage::Deny(deny) => self.on_deny(now.mono, deny),
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
            self.learn_load(now.mono, load.clone());
        }
        self.limits.record_peer_usage(now.mono, from, &beat.usage);
        self.on_target_seen(now.mono, from, &beat.targets);
        let outputs = self.config.on_heartbeat(now.mono, from, beat.config, beat.config_hash);
        self.do_config(now, outputs);
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
        for one in seen {
            self.targets.on_peer_report(now, from, one);
        }
        if !seen.is_empty() {
            self.judge_targets(now);
        }
    }

    /// Notes what this host's own connection to a target showed.
    pub(super) fn see_target(&mut self, now: Moment, addr: SocketAddr, state: Option<TargetState>) {
        self.targets.observe(now, &addr.to_string(), state);
        self.judge_targets(now);
    }

    /// Works out anew which targets take work, and tells what has changed.
    fn judge_targets(&mut self, now: Moment) {
        let events = self.targets.on_tick(now);
        if events.is_empty() {
            return;
        }
        self.renew_usable(now);
        for event in events {
            if let Event::TargetChanged { target, state } = &event
                && state == TargetHealth::Gone.as_str()
                && let Ok(addr) = target.parse()
            {
                self.leave_engine(now, addr);
            }
            self.record(event);
        }
    }

    /// Works out anew which targets take new work.
    pub(super) fn renew_usable(&mut self, now: Moment) {
        let live = self.targets.all(now).filter(|(_, health)| *health == TargetHealth::Live);
        self.usable = live.filter_map(|(name, _)| name.parse().ok()).collect();
    }

    /// Tells whether a target gets new work.
    pub(super) fn takes_work(&self, addr: SocketAddr) -> bool {
        self.usable.contains(&addr)
    }

    /// Carries out what the spread of the configuration wants done.
    fn do_config(&mut self, now: Now, outputs: Vec<ConfigOutput>) {
        for output in outputs {
            match output {
                ConfigOutput::Send { to, message } => self.send(&to, message),
                ConfigOutput::Watch { after, wait } => {
                    self.emit(Output::WatchConfig { after, wait });
                }
                ConfigOutput::InForce(rules) => self.put_in_force(now.mono, rules),
                ConfigOutput::Event(event) => self.record(event),
            }
        }
    }

    /// Takes the configuration service's answer.
    pub(super) fn on_config_read(&mut self, now: Now, answer: ConfigReadResult) {
        let outputs = self.config.on_service(now.mono, &self.members, answer);
        self.do_config(now, outputs);
    }

    /// Watches the live list.
    fn read_live(&mut self, now: Moment) {
        if self.control.reading_live || now < self.control.read_live_at {
            return;
        }
        self.control.reading_live = true;
        self.emit(Output::WatchLiveList { after: self.list.version });
    }

    /// Takes the platform's answer to a watch of the live list.
    pub(super) fn on_live_list_read(
        &mut self,
        now: Now,
        read: Result<Option<LiveList>, ReadFailure>,
    ) {
        self.control.reading_live = false;
        match read {
            Ok(list) => {
                self.control.failed_reads = 0;
                self.control.read_live_at = now.mono;
                if let Some(list) = list {
                    self.take_list(now, list);
                }
            }
            Err(_) => {
                self.control.failed_reads += 1;
                let pause = self.read_pause();
                self.control.read_live_at = now.mono + pause;
            }
        }
    }

    /// Returns a wait that grows with failures and differs between hosts.
    fn read_pause(&mut self) -> Duration {
        let doubled = READ_PAUSE * 2u32.saturating_pow(self.control.failed_reads.min(6));
        doubled.min(READ_PAUSE_MAX).mul_f64(self.rng.random_range(0.5..1.0))
    }

    /// Asks the peers of the settings for the live list, while none is known.
    fn ask_seeds(&mut self, now: Moment) {
        if self.list.version > 0 || now < self.control.seed_at {
            return;
        }
        self.control.seed_at = now + SEED_PAUSE;
        let seed_peers = self.control.seed_peers.clone();
        if !self.control.seeded && !seed_peers.is_empty() {
            self.control.seeded = true;
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

    /// Takes a newer live list, from the platform or a peer; an older one is ignored.
    fn take_list(&mut self, now: Now, list: LiveList) {
        if list.version <= self.list.version {
            return;
        }
        for gone in self
            .list
            .engines
            .iter()
            .filter(|engine| !list.engines.iter().any(|listed| listed.name == engine.name))
        {
            self.placer.forget(&gone.name);
            self.loads.remove(&gone.name);
        }
        self.members.set_hosts(now.mono, &list);
        self.targets.set_list(&list);
        self.renew_usable(now.mono);
        let outputs = self.homes.set_hosts(now, &list);
        let peers = list.entry_hosts.iter().filter(|entry| entry.name != self.host);
        let peers = peers.map(|entry| PeerAddr { host: entry.name.clone(), addr: entry.peer_addr });
        let peers = peers.collect();
        self.list = list;
        self.emit(Output::SetPeers(peers));
        self.do_home(now, outputs);
        self.refresh_dispatch(now.mono);
    }

    /// Begins the planned stop: no new work, claims handed over, streams to their end.
    pub(super) fn on_stop(&mut self, now: Now) {
        if self.control.stopping() {
            return;
        }
        self.control.stop_at = Some(now.mono);
        self.record(Event::StopBegan);
        self.members.begin_stop();
        let outputs = self.homes.begin_stop(now, &self.members);
        self.do_home(now, outputs);
        self.heartbeat(now);
        self.refresh_dispatch(now.mono);
    }

    /// Ends the process once nothing is left to do, or when the stop has taken as long as it may.
    fn end_stop(&mut self, now: Now) {
        let Some(began) = self.control.stop_at else { return };
        let open = self.running.len() + self.calls.len();
        let told = now.mono.since(began) >= STOP_NOTICE;
        let done = told && open == 0 && self.homes.is_stopped(now, &self.members);
        let bound = now.mono.since(began) >= self.tuning.stop_bound;
        if !done && !bound {
            return;
        }
        self.record(Event::StopEnded { cut: u32::try_from(open).unwrap_or(u32::MAX) });
        self.emit(Output::Stopped);
    }

    /// Returns the rules in force.
    pub fn rules(&self) -> &Arc<crate::state::Rules> {
        &self.rules
    }
}
