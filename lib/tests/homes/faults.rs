//! The faults of a schedule: partitions, freezes, stops, restarts and changes of the live list.

use rand::Rng;
use wasabicrank_lib::state::HostName;

use super::Host;
use super::Input;
use super::Micros;
use super::Simulation;
use super::TICK_INTERVAL;
use super::list_of;
use super::name_of;

impl Simulation {
    /// Applies each kind of fault with its chance, on random hosts.
    pub(super) fn fault(&mut self) {
        let faults = self.faults;
        let at = self.rng.random_range(0..self.hosts.len());
        let other = self.rng.random_range(0..self.hosts.len());
        let span = self.rng.random_range(TICK_INTERVAL..1_500_000);
        if self.chance(faults.cut) {
            self.cuts.insert((at, other), self.now + span);
            if self.rng.random() {
                self.cuts.insert((other, at), self.now + span);
            }
        }
        if self.chance(faults.cut / 4) {
            self.split(span);
        }
        if self.chance(faults.freeze) {
            self.freeze(at, span);
        }
        if self.chance(faults.suspend) && self.hosts[at].frozen_until <= self.now {
            self.freeze(at, span);
            self.hosts[at].suspended += span;
        }
        if self.chance(faults.stop) && self.hosts[at].alive {
            self.push(self.now, at, Input::Stop);
        }
        if self.chance(faults.kill) && self.may_start(at) {
            self.hosts[at].alive = false;
            let latest = self.lists.len() - 1;
            self.start(at, latest);
        }
        if self.chance(faults.list) {
            self.publish();
        }
    }

    /// Partitions the hosts into two groups.
    fn split(&mut self, span: Micros) {
        let side: Vec<bool> = self.hosts.iter().map(|_| self.rng.random()).collect();
        for a in 0..side.len() {
            for b in 0..side.len() {
                if side[a] != side[b] {
                    self.cuts.insert((a, b), self.now + span);
                }
            }
        }
    }

    /// Publishes a list with an entry host added, removed or replaced; hosts receive it with a
    /// delay.
    fn publish(&mut self) {
        let last = &self.lists[self.lists.len() - 1].1;
        let mut names: Vec<_> = last.entry_hosts.iter().map(|host| host.name.clone()).collect();
        let version = last.version + 1;
        let removed = self.rng.random_range(0..names.len());
        let change = self.rng.random_range(0..3);
        if change != 0 && names.len() > 2 {
            names.remove(removed);
        }
        let add = (0..self.hosts.len()).find(|&at| !names.contains(&name_of(at)));
        let is_new_host = change != 1 && self.hosts.len() < 7 && names.len() < 5;
        if is_new_host && self.may_start_new(&names) {
            names.push(name_of(self.hosts.len()));
            self.lists.push((self.now, list_of(version, &names)));
            let latest = self.lists.len() - 1;
            self.start(self.hosts.len(), latest);
        } else {
            if let Some(add) = add.filter(|_| change != 1 && names.len() < 5) {
                names.push(name_of(add));
            }
            self.lists.push((self.now, list_of(version, &names)));
        }
        let latest = self.lists.len() - 1;
        for at in 0..self.hosts.len() {
            let long = self.chance(300);
            let max_delay = if long { 4_000_000 } else { 300_000 };
            let when = self.now + self.rng.random_range(1_000..max_delay);
            self.push(when, at, Input::List(latest));
        }
    }

    fn may_start(&self, at: usize) -> bool {
        let last = &self.lists[self.lists.len() - 1].1;
        let names: Vec<_> = last.entry_hosts.iter().map(|host| host.name.clone()).collect();
        !names.contains(&name_of(at)) || self.may_start_new(&names)
    }

    /// Returns whether another process of `names` may start now without violating the assumption of
    /// the leases: most processes of a set are older than the first list that some live process has
    /// not received yet.
    fn may_start_new(&self, names: &[HostName]) -> bool {
        let live = self.hosts.iter().filter(|host| host.alive);
        let oldest = live.map(|host| host.list).min().unwrap_or(0);
        let Some((since, _)) = self.lists.get(oldest + 1) else {
            return true;
        };
        // A set remains in use for one lease longer than by the last host that knows it.
        let member = |host: &&Host| names.contains(&host.name);
        let new_hosts =
            self.hosts.iter().filter(member).filter(|host| host.started >= *since).count();
        (new_hosts + 1) * 2 <= names.len()
    }
}
