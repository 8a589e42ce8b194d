//! Configuration sync between several entry hosts when the service is down or serves older values.

use std::sync::Arc;
use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

const STEP: u64 = 100_000;
const SECOND: u64 = 1_000_000;

/// A configuration service that can be down or serve an older value.
#[derive(Default)]
struct Service {
    published: Option<(u64, Arc<str>)>,
    down: bool,
    calls: u64,
}

struct Host {
    name: HostName,
    sync: ConfigSync,
    members: Members,
    started: u64,
    partitioned: bool,
    /// Until when its incoming heartbeats are dropped.
    deaf: u64,
    in_force: Vec<u64>,
    refusals: Vec<(u64, Vec<String>)>,
}

struct Fleet {
    now: u64,
    hosts: Vec<Host>,
    service: Service,
    bytes: usize,
    rng: SmallRng,
    /// How many messages in a thousand are lost; as many are delivered again in the next step.
    loss_per_mille: u32,
    delayed: Vec<(usize, HostName, PeerMessage)>,
}

fn check(version: u64, text: &str) -> Result<Rules, Vec<String>> {
    let bad = text.lines().position(|line| line.contains("bad"));
    match bad {
        Some(line) => Err(vec![format!("rules:{}:1: found `bad`", line + 1)]),
        None => Ok(Rules { version, ..Rules::default() }),
    }
}

fn list(count: usize) -> LiveList {
    let peer_addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let zone = |at: usize| ZoneName::new(format!("z{}", at % 3));
    let name = |at: usize| HostName::new(format!("h{at}"));
    let entry = |at| EntryHost { name: name(at), zone: zone(at), peer_addr };
    LiveList { version: 1, entry_hosts: (0..count).map(entry).collect(), ..LiveList::default() }
}

impl Fleet {
    fn new(count: usize) -> Fleet {
        let service = Service::default();
        let rng = SmallRng::seed_from_u64(0);
        let (hosts, delayed) = (Vec::new(), Vec::new());
        let mut fleet = Fleet { now: 0, hosts, service, bytes: 0, rng, loss_per_mille: 0, delayed };
        for at in 0..count {
            let host = fleet.new_host(at, count);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn new_host(&self, at: usize, count: usize) -> Host {
        let now = Moment(self.now);
        let list = list(count);
        let entry = &list.entry_hosts[at];
        let suspect = Duration::from_millis(1_500);
        let mut members = Members::new(entry.name.clone(), entry.zone.clone(), suspect, now);
        members.set_hosts(now, &list);
        Host {
            name: entry.name.clone(),
            sync: ConfigSync::new(Box::new(check), self.now + at as u64, now),
            members,
            started: self.now,
            partitioned: false,
            deaf: 0,
            in_force: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn restart(&mut self, at: usize) {
        self.hosts[at] = self.new_host(at, self.hosts.len());
    }

    fn publish(&mut self, version: u64, text: &str) {
        self.service.published = Some((version, text.into()));
    }

    fn run(&mut self, seconds: u64) {
        let until = self.now + seconds * SECOND;
        while self.now < until {
            self.now += STEP;
            for (at, to, message) in std::mem::take(&mut self.delayed) {
                self.deliver(at, &to, &message);
            }
            for at in 0..self.hosts.len() {
                self.send_heartbeats(at);
                let host = &mut self.hosts[at];
                host.members.on_tick(Moment(self.now));
                let outputs = host.sync.on_tick(Moment(self.now), &host.members);
                self.handle(at, outputs);
            }
        }
    }

    fn send_heartbeats(&mut self, at: usize) {
        let now = Moment(self.now);
        let host = &self.hosts[at];
        let incarnation = Incarnation(host.started + at as u64);
        let (config, config_hash) = (host.sync.version(), host.sync.hash());
        let heartbeat = Heartbeat { beat: self.now, config, config_hash, ..Heartbeat::default() };
        let from = host.name.clone();
        for to in 0..self.hosts.len() {
            let deaf = self.hosts[to].deaf > self.now;
            if to == at || deaf || self.hosts[to].partitioned || self.hosts[at].partitioned {
                continue;
            }
            let peer = &mut self.hosts[to];
            peer.members.on_heartbeat(now, &from, incarnation, &heartbeat);
            let outputs = peer.sync.on_heartbeat(now, &from, config, config_hash);
            self.handle(to, outputs);
        }
    }

    fn handle(&mut self, at: usize, outputs: Vec<ConfigOutput>) {
        for output in outputs {
            match output {
                ConfigOutput::Send { to, message } => self.send(at, to, message),
                ConfigOutput::Read { after, .. } => self.watch(at, after),
                ConfigOutput::Apply(rules) => {
                    let host = &mut self.hosts[at];
                    let last = host.in_force.last().copied().unwrap_or(0);
                    assert!(rules.version > last, "{} after {last}", rules.version);
                    host.in_force.push(rules.version);
                }
                ConfigOutput::Event(Event::ConfigRefused { version, errors }) => {
                    self.hosts[at].refusals.push((version, errors));
                }
                ConfigOutput::Event(_) => {}
            }
        }
    }

    /// Delivers a message, drops it, or delivers it now and again in the next step.
    fn send(&mut self, at: usize, to: HostName, message: PeerMessage) {
        let draw = self.rng.random_range(0..1_000);
        if draw < self.loss_per_mille {
            return;
        }
        if draw < 2 * self.loss_per_mille {
            self.delayed.push((at, to.clone(), message.clone()));
        }
        self.deliver(at, &to, &message);
    }

    fn deliver(&mut self, at: usize, to: &HostName, message: &PeerMessage) {
        let Some(to) = self.hosts.iter().position(|host| host.name == *to) else {
            return;
        };
        if self.hosts[to].partitioned || self.hosts[at].partitioned {
            return;
        }
        let (from, now) = (self.hosts[at].name.clone(), Moment(self.now));
        let sync = &mut self.hosts[to].sync;
        let outputs = match message {
            PeerMessage::ConfigPull(pull) => sync.on_pull(&from, pull),
            PeerMessage::Config(update) => {
                self.bytes += size_of_update(update);
                sync.on_update(now, &from, update)
            }
            _ => Vec::new(),
        };
        self.handle(to, outputs);
    }

    /// Replies at once instead of waiting for a newer version.
    fn watch(&mut self, at: usize, after: u64) {
        self.service.calls += 1;
        let answer = match &self.service.published {
            _ if self.service.down || self.hosts[at].partitioned => ConfigReadResult::Failed,
            // A stale service replies with its version even if it is older than `after`.
            Some((version, text)) if *version != after => {
                ConfigReadResult::Value { version: *version, text: text.clone() }
            }
            _ => ConfigReadResult::Unchanged,
        };
        let host = &mut self.hosts[at];
        let outputs = host.sync.on_read_result(Moment(self.now), &host.members, answer);
        self.handle(at, outputs);
    }

    fn versions(&self) -> Vec<u64> {
        self.hosts.iter().map(|host| host.sync.version()).collect()
    }
}

fn size_of_update(update: &ConfigUpdate) -> usize {
    match &update.body {
        ConfigBody::Whole(text) => text.len(),
        ConfigBody::Delta { edits, .. } => {
            edits.iter().flat_map(|edit| &edit.insert).map(String::len).sum()
        }
    }
}

#[test]
fn an_older_value_after_an_outage_changes_nothing() {
    let mut fleet = Fleet::new(5);
    fleet.publish(7, "seven\n");
    fleet.run(9);
    assert_eq!(fleet.versions(), [7; 5]);
    fleet.service.down = true;
    fleet.run(60);
    fleet.service.down = false;
    fleet.publish(5, "five\n");
    fleet.run(30);
    assert_eq!(fleet.versions(), [7; 5]);
}

#[test]
fn a_process_that_starts_asks_its_peers_first() {
    let mut fleet = Fleet::new(5);
    fleet.publish(7, "seven\n");
    fleet.run(9);
    // The service replies to the new process with an older value before any heartbeat arrives.
    fleet.publish(5, "five\n");
    fleet.restart(3);
    fleet.hosts[3].deaf = fleet.now + SECOND;
    fleet.run(9);
    assert_eq!(fleet.versions(), [7; 5]);
    assert_eq!(fleet.hosts[3].in_force, [7]);
    fleet.service.down = true;
    fleet.restart(2);
    fleet.run(9);
    assert_eq!(fleet.versions(), [7; 5]);
}

#[test]
fn a_partitioned_process_catches_up_after_two_quick_edits() {
    let mut fleet = Fleet::new(5);
    fleet.publish(1, "one\n");
    fleet.run(9);
    fleet.hosts[4].partitioned = true;
    fleet.run(5);
    fleet.publish(2, "one\ntwo\n");
    fleet.run(1);
    fleet.publish(3, "one\ntwo\nthree\n");
    fleet.run(9);
    assert_eq!(fleet.versions(), [3, 3, 3, 3, 1]);
    fleet.hosts[4].partitioned = false;
    fleet.run(9);
    assert_eq!(fleet.versions(), [3; 5]);
}

#[test]
fn lost_and_repeated_messages_delay_a_change_by_seconds() {
    for seed in 0..20 {
        let mut fleet = Fleet::new(5);
        fleet.rng = SmallRng::seed_from_u64(seed);
        fleet.loss_per_mille = 300;
        for version in 1..=6 {
            let line = if version == 4 { "bad" } else { "good" };
            fleet.publish(version, &format!("{line}\nversion {version}\n"));
            fleet.run(1 + seed % 3);
        }
        fleet.run(9);
        assert_eq!(fleet.versions(), [6; 5], "seed {seed}");
    }
}

#[test]
fn an_invalid_edit_is_refused_as_a_whole_and_reported_by_every_host() {
    let mut fleet = Fleet::new(5);
    fleet.publish(1, "one\n");
    fleet.run(9);
    fleet.publish(2, "one\nbad\n");
    fleet.run(9);
    assert_eq!(fleet.versions(), [1; 5]);
    for host in &fleet.hosts {
        let errors = host.sync.refused().map(|bad| bad.errors.clone()).unwrap_or_default();
        assert_eq!(errors, ["rules:2:1: found `bad`"], "{}", host.name);
        assert_eq!(host.refusals.len(), 1, "reported more than once by {}", host.name);
    }
    fleet.publish(3, "one\ngood\n");
    fleet.run(9);
    assert_eq!(fleet.versions(), [3; 5]);
    assert!(fleet.hosts.iter().all(|host| host.sync.refused().is_none()));
}

#[test]
fn another_text_under_the_same_version_is_reported_and_not_taken() {
    let mut fleet = Fleet::new(3);
    fleet.publish(1, "one\n");
    fleet.run(9);
    let hash = fleet.hosts[0].sync.hash();
    let now = Moment(fleet.now);
    let answer = ConfigReadResult::Value { version: 1, text: "uno\n".into() };
    let host = &mut fleet.hosts[0];
    let outputs = host.sync.on_read_result(now, &host.members, answer);
    assert!(matches!(outputs[..], [ConfigOutput::Event(Event::ConfigRefused { version: 1, .. })]));
    assert_eq!(host.sync.hash(), hash);
}

#[test]
fn the_service_is_called_within_its_budget() {
    let mut fleet = Fleet::new(20);
    fleet.publish(1, "one\n");
    fleet.run(60);
    // Each call is answered at once, so only the minimum interval limits the three readers.
    let up = fleet.service.calls;
    assert!(up <= 3 * 2 * 60 + 20 * 3, "{up} calls");
    fleet.service.down = true;
    fleet.run(60);
    let down = fleet.service.calls - up;
    assert!(down <= 3 * 30 + 20 * 3, "{down} calls while down");
}

#[test]
fn a_small_edit_of_a_long_text_is_sent_as_a_small_delta() {
    let mut fleet = Fleet::new(5);
    let text: String = (0..10_000).map(|line| format!("rule {line}\n")).collect();
    fleet.publish(1, &text);
    fleet.run(9);
    fleet.bytes = 0;
    let edited = text.replace("rule 12\n", "rule twelve\n").replace("rule 9990\n", "");
    fleet.publish(2, &edited);
    fleet.run(9);
    assert_eq!(fleet.versions(), [2; 5]);
    assert!(fleet.bytes < 200, "{} bytes", fleet.bytes);
}

#[test]
fn edits_turn_the_old_text_into_the_new() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(Config::with_cases(2_000), rng);
    let text = "([ab]\n){0,12}[ab]?";
    let result = runner.run(&(text, text), |(old, new)| {
        let edits = line_edits(&old, &new);
        let made = edits.and_then(|edits| apply_edits(&old, &edits));
        prop_assert_eq!(made, Some(new));
        Ok(())
    });
    assert_eq!(result, Ok(()));
}
