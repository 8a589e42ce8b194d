//! Which targets get new work: the lagging live list corrected by what entry hosts see themselves.
//!
//! A leaving mark is the target's own word and counts from any host. A refused connection may be the
//! reporter's own fault, so a host that sees many targets gone at once is believed about none.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;

use super::message::TargetSeen;
use crate::state::Event;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::Moment;
use crate::state::TargetState;

/// How long a sighting stands without being made or reported again.
pub const SIGHTING_LIFE: Duration = Duration::from_secs(10);

/// The part of the targets that one reporter may call gone: one in this many, and at least one.
const GONE_PART: usize = 4;

/// Whether a target gets new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetHealth {
    /// It gets new work.
    Live,
    /// It refused connections or was silent.
    Gone,
    /// It finishes what it has.
    Leaving,
    /// It is not on the live list.
    Unlisted,
}

impl TargetHealth {
    /// Returns the word that operators see.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetHealth::Live => "live",
            TargetHealth::Gone => "gone",
            TargetHealth::Leaving => "leaving",
            TargetHealth::Unlisted => "unlisted",
        }
    }
}

/// One reporter's last word on one target.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    state: Option<TargetState>,
    number: u64,
    at: Moment,
    /// When the target was first seen live after it was not.
    back: Option<Moment>,
}

/// One target with the sightings of it.
#[derive(Debug, Clone)]
struct Target {
    listed: TargetState,
    sightings: BTreeMap<HostName, Sighting>,
    /// What was last told in an event.
    told: TargetHealth,
    /// When that began, if it was ever otherwise.
    since: Option<Moment>,
}

/// The targets as one entry host judges them.
///
/// ```
/// use wasabicrank_lib::coordination::{TargetHealth, Targets};
/// use wasabicrank_lib::state::{HostName, LiveList, Moment};
/// let targets = Targets::new(HostName::new("a"));
/// assert_eq!(targets.health(Moment(0), "127.0.0.1:80"), TargetHealth::Unlisted);
/// ```
#[derive(Debug, Clone)]
pub struct Targets {
    host: HostName,
    list: u64,
    number: u64,
    reporters: Vec<HostName>,
    targets: IndexMap<String, Target>,
}

impl Targets {
    /// Starts without a list.
    pub fn new(host: HostName) -> Targets {
        let (reporters, targets) = (Vec::new(), IndexMap::new());
        Targets { host, list: 0, number: 0, reporters, targets }
    }

    /// Takes over the published targets; an older list is ignored.
    pub fn set_list(&mut self, list: &LiveList) {
        if list.version <= self.list {
            return;
        }
        self.list = list.version;
        self.reporters = list.entry_hosts.iter().map(|entry| entry.name.clone()).collect();
        let engines = list.engines.iter().map(|engine| (engine.addr, engine.state));
        let services = list.services.iter().map(|host| (host.addr, host.state));
        let mut next = IndexMap::new();
        for (addr, listed) in engines.chain(services) {
            let name = addr.to_string();
            let mut target = self.targets.swap_remove(&name).unwrap_or_else(|| Target::new(listed));
            target.listed = listed;
            target.sightings.retain(|by, _| *by == self.host || self.reporters.contains(by));
            next.insert(name, target);
        }
        self.targets = next;
    }

    /// Notes what this host saw of a target; `None` is a refused connection or silence.
    pub fn observe(&mut self, now: Moment, target: &str, state: Option<TargetState>) {
        self.number += 1;
        let host = self.host.clone();
        self.record(now, target, host, state, self.number);
    }

    /// Notes what a peer saw; targets that are not listed and unknown peers are ignored.
    pub fn on_peer_report(&mut self, now: Moment, from: &HostName, seen: &TargetSeen) {
        if self.reporters.contains(from) && *from != self.host {
            self.record(now, &seen.target, from.clone(), seen.state, seen.sighting);
        }
    }

    /// Drops what a peer's earlier incarnation reported, as its numbers start again.
    pub fn on_new_incarnation(&mut self, peer: &HostName) {
        for target in self.targets.values_mut() {
            target.sightings.remove(peer);
        }
    }

    /// Returns what this host saw lately and its heartbeat is to tell.
    ///
    /// A live target is told of only after it was seen otherwise, to end that.
    pub fn reports(&self, now: Moment) -> Vec<TargetSeen> {
        let believed = !self.over_share(now).contains(&self.host);
        let mut reports = Vec::new();
        for (name, target) in &self.targets {
            let Some(seen) = target.sightings.get(&self.host).filter(|seen| seen.is_fresh(now))
            else {
                continue;
            };
            let worth = match seen.state {
                Some(TargetState::Leaving) => true,
                Some(TargetState::Live) => seen.is_back(now),
                None => believed,
            };
            if worth {
                let target = name.clone();
                reports.push(TargetSeen { target, state: seen.state, sighting: seen.number });
            }
        }
        reports
    }

    /// Returns whether a target gets new work.
    pub fn health(&self, now: Moment, target: &str) -> TargetHealth {
        let over = self.over_share(now);
        self.targets
            .get(target)
            .map_or(TargetHealth::Unlisted, |target| target.health(now, &self.host, &over))
    }

    /// Returns since when a target's health has been what it is, if it was ever otherwise.
    pub fn health_since(&self, target: &str) -> Option<Moment> {
        self.targets.get(target)?.since
    }

    /// Returns every listed target with its health, in the list's order.
    pub fn all(&self, now: Moment) -> impl Iterator<Item = (&str, TargetHealth)> {
        let over = self.over_share(now);
        let targets = self.targets.iter();
        targets.map(move |(name, target)| (&name[..], target.health(now, &self.host, &over)))
    }

    /// Tells of targets whose health has changed since it was last told.
    pub fn on_tick(&mut self, now: Moment) -> Vec<Event> {
        let over = self.over_share(now);
        let mut events = Vec::new();
        for (name, target) in &mut self.targets {
            let health = target.health(now, &self.host, &over);
            if health != target.told {
                target.told = health;
                target.since = Some(now);
                let state = health.as_str().to_owned();
                events.push(Event::TargetChanged { target: name.clone(), state });
            }
        }
        events
    }

    fn record(
        &mut self,
        now: Moment,
        target: &str,
        by: HostName,
        state: Option<TargetState>,
        number: u64,
    ) {
        let Some(target) = self.targets.get_mut(target) else {
            return;
        };
        let known = target.sightings.get(&by);
        if known.is_some_and(|known| known.number > number) {
            return;
        }
        let live = Some(TargetState::Live);
        let back = match known {
            Some(known) if state == live && known.state != live => Some(now),
            Some(known) if state == live => known.back,
            _ => None,
        };
        target.sightings.insert(by, Sighting { state, number, at: now, back });
    }

    /// Returns the reporters that call more targets gone than one may.
    fn over_share(&self, now: Moment) -> Vec<HostName> {
        let mut gone: BTreeMap<&HostName, usize> = BTreeMap::new();
        for (by, seen) in self.targets.values().flat_map(|target| &target.sightings) {
            if seen.state.is_none() && seen.is_fresh(now) {
                *gone.entry(by).or_default() += 1;
            }
        }
        let most = (self.targets.len() / GONE_PART).max(1);
        let over = gone.into_iter().filter(|(_, count)| *count > most);
        over.map(|(by, _)| by.clone()).collect()
    }
}

impl Target {
    fn new(listed: TargetState) -> Target {
        let told = match listed {
            TargetState::Live => TargetHealth::Live,
            TargetState::Leaving => TargetHealth::Leaving,
        };
        Target { listed, sightings: BTreeMap::new(), told, since: None }
    }

    fn health(&self, now: Moment, own: &HostName, over: &[HostName]) -> TargetHealth {
        let fresh = || self.sightings.iter().filter(|(_, seen)| seen.is_fresh(now));
        let leaving = |seen: &Sighting| seen.state == Some(TargetState::Leaving);
        if self.listed == TargetState::Leaving || fresh().any(|(_, seen)| leaving(seen)) {
            return TargetHealth::Leaving;
        }
        // What this host sees itself goes before what others see: its own way is the one it uses.
        if let Some(seen) = self.sightings.get(own).filter(|seen| seen.is_fresh(now)) {
            return match seen.state {
                Some(_) => TargetHealth::Live,
                None => TargetHealth::Gone,
            };
        }
        let gone = fresh().any(|(by, seen)| seen.state.is_none() && !over.contains(by));
        if gone { TargetHealth::Gone } else { TargetHealth::Live }
    }
}

impl Sighting {
    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.at) < SIGHTING_LIFE
    }

    /// Tells whether peers may still have an earlier word of the same reporter.
    fn is_back(&self, now: Moment) -> bool {
        self.back.is_some_and(|at| now.since(at) < SIGHTING_LIFE)
    }
}
