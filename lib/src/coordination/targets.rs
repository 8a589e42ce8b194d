//! Target health: corrects the live list, which lags, with what entry hosts observe themselves.
//!
//! The leaving state is announced by the target itself, so a report of it counts from any host. A
//! refused connection may be a problem of the reporter, so the reports of a host that sees many
//! targets as gone at once are ignored.

use std::collections::BTreeMap;
use std::time::Duration;

use indexmap::IndexMap;

use super::message::TargetSeen;
use crate::state::Event;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::Moment;
use crate::state::TargetState;

/// How long a sighting is valid unless it is made or reported again.
pub const SIGHTING_TTL: Duration = Duration::from_secs(10);

/// One reporter may report up to `1 / GONE_SHARE_DIVISOR` of the targets as gone, and at least one.
const GONE_SHARE_DIVISOR: usize = 4;

/// Whether a target gets new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetHealth {
    /// It gets new work.
    Live,
    /// It refused connections or was silent.
    Gone,
    /// It accepts no new work and finishes what it has.
    Leaving,
    /// It is not on the live list.
    Unlisted,
}

impl TargetHealth {
    /// Returns the name shown to operators.
    pub fn as_str(self) -> &'static str {
        match self {
            TargetHealth::Live => "live",
            TargetHealth::Gone => "gone",
            TargetHealth::Leaving => "leaving",
            TargetHealth::Unlisted => "unlisted",
        }
    }
}

/// The latest observation of one target by one reporter.
#[derive(Debug, Clone, Copy)]
struct Sighting {
    state: Option<TargetState>,
    number: u64,
    at: Moment,
    /// When the target was first seen live again after it had not been.
    recovered_at: Option<Moment>,
}

/// One target with its sightings.
#[derive(Debug, Clone)]
struct Target {
    listed: TargetState,
    sightings: BTreeMap<HostName, Sighting>,
    /// The health in the latest event.
    last_health: TargetHealth,
    /// When that health began, if it has ever changed.
    since: Option<Moment>,
}

/// The health of all targets in the view of one entry host.
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
    /// Creates a view without targets.
    pub fn new(host: HostName) -> Targets {
        let (reporters, targets) = (Vec::new(), IndexMap::new());
        Targets { host, list: 0, number: 0, reporters, targets }
    }

    /// Updates the targets from the published live list; an older list is ignored.
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

    /// Records what this host observed of a target; `None` is a refused connection or no response.
    pub fn observe(&mut self, now: Moment, target: &str, state: Option<TargetState>) {
        self.number += 1;
        let host = self.host.clone();
        self.record(now, target, host, state, self.number);
    }

    /// Records a sighting reported by a peer; unlisted targets and unknown peers are ignored.
    pub fn on_peer_report(&mut self, now: Moment, from: &HostName, seen: &TargetSeen) {
        if self.reporters.contains(from) && *from != self.host {
            self.record(now, &seen.target, from.clone(), seen.state, seen.sighting);
        }
    }

    /// Drops the sightings of a peer's earlier incarnation, because the new one restarts its
    /// numbers.
    pub fn on_new_incarnation(&mut self, peer: &HostName) {
        for target in self.targets.values_mut() {
            target.sightings.remove(peer);
        }
    }

    /// Returns the recent sightings of this host to include in its heartbeat.
    ///
    /// A live target is reported only after this host saw it otherwise, to revoke that sighting.
    pub fn reports(&self, now: Moment) -> Vec<TargetSeen> {
        let trusted = !self.distrusted_reporters(now).contains(&self.host);
        let mut reports = Vec::new();
        for (name, target) in &self.targets {
            let Some(seen) = target.sightings.get(&self.host).filter(|seen| seen.is_fresh(now))
            else {
                continue;
            };
            let is_reported = match seen.state {
                Some(TargetState::Leaving) => true,
                Some(TargetState::Live) => seen.recovered_recently(now),
                None => trusted,
            };
            if is_reported {
                let target = name.clone();
                reports.push(TargetSeen { target, state: seen.state, sighting: seen.number });
            }
        }
        reports
    }

    /// Returns whether a target gets new work.
    pub fn health(&self, now: Moment, target: &str) -> TargetHealth {
        let distrusted = self.distrusted_reporters(now);
        self.targets
            .get(target)
            .map_or(TargetHealth::Unlisted, |target| target.health(now, &self.host, &distrusted))
    }

    /// Returns when a target's health last changed, if it ever did.
    pub fn health_since(&self, target: &str) -> Option<Moment> {
        self.targets.get(target)?.since
    }

    /// Returns every listed target with its health, in the order of the list.
    pub fn all(&self, now: Moment) -> impl Iterator<Item = (&str, TargetHealth)> {
        let distrusted = self.distrusted_reporters(now);
        let targets = self.targets.iter();
        targets.map(move |(name, target)| (&name[..], target.health(now, &self.host, &distrusted)))
    }

    /// Returns events for the targets whose health has changed since their latest event.
    pub fn on_tick(&mut self, now: Moment) -> Vec<Event> {
        let distrusted = self.distrusted_reporters(now);
        let mut events = Vec::new();
        for (name, target) in &mut self.targets {
            let health = target.health(now, &self.host, &distrusted);
            if health != target.last_health {
                target.last_health = health;
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
        let recovered_at = match known {
            Some(known) if state == live && known.state != live => Some(now),
            Some(known) if state == live => known.recovered_at,
            _ => None,
        };
        target.sightings.insert(by, Sighting { state, number, at: now, recovered_at });
    }

    /// Returns the reporters whose reports of gone targets are ignored because they report too
    /// many.
    fn distrusted_reporters(&self, now: Moment) -> Vec<HostName> {
        let mut gone: BTreeMap<&HostName, usize> = BTreeMap::new();
        for (by, seen) in self.targets.values().flat_map(|target| &target.sightings) {
            if seen.state.is_none() && seen.is_fresh(now) {
                *gone.entry(by).or_default() += 1;
            }
        }
        let max_gone = (self.targets.len() / GONE_SHARE_DIVISOR).max(1);
        let distrusted = gone.into_iter().filter(|(_, count)| *count > max_gone);
        distrusted.map(|(by, _)| by.clone()).collect()
    }
}

impl Target {
    fn new(listed: TargetState) -> Target {
        let last_health = match listed {
            TargetState::Live => TargetHealth::Live,
            TargetState::Leaving => TargetHealth::Leaving,
        };
        Target { listed, sightings: BTreeMap::new(), last_health, since: None }
    }

    fn health(&self, now: Moment, own: &HostName, distrusted: &[HostName]) -> TargetHealth {
        let fresh = || self.sightings.iter().filter(|(_, seen)| seen.is_fresh(now));
        let leaving = |seen: &Sighting| seen.state == Some(TargetState::Leaving);
        if self.listed == TargetState::Leaving || fresh().any(|(_, seen)| leaving(seen)) {
            return TargetHealth::Leaving;
        }
        // A sighting of this host takes precedence over those of others, because new work is sent
        // over its own connections.
        if let Some(seen) = self.sightings.get(own).filter(|seen| seen.is_fresh(now)) {
            return match seen.state {
                Some(_) => TargetHealth::Live,
                None => TargetHealth::Gone,
            };
        }
        let gone = fresh().any(|(by, seen)| seen.state.is_none() && !distrusted.contains(by));
        if gone { TargetHealth::Gone } else { TargetHealth::Live }
    }
}

impl Sighting {
    fn is_fresh(&self, now: Moment) -> bool {
        now.since(self.at) < SIGHTING_TTL
    }

    /// Returns whether peers may still hold an earlier sighting by the same reporter.
    fn recovered_recently(&self, now: Moment) -> bool {
        self.recovered_at.is_some_and(|at| now.since(at) < SIGHTING_TTL)
    }
}
