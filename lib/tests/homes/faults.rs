//! What a schedule does to the hosts and to the published list.

use rand::Rng;
use wasabicrank_lib::state::HostName;

use super::Host;
use super::Input;
use super::Micros;
use super::TICK;
use super::World;
use super::list_of;
use super::name_of;

impl World {
    /// Tries each kind of fault on a random host.
    pub(super) fn fault(&mut self) {
        let faults = self.faults;
        let at = self.rng.random_range(0..self.hosts.len());
        let other = self.rng.random_range(0..self.hosts.len());
        let span = self.rng.random_range(TICK..1_500_000);
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
        if self.chance(faults.suspend) && self.hosts[at].thaws <= self.now {
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

    /// Cuts the hosts into two groups.
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

    /// Publishes a list with one entry host more, fewer or exchanged; hosts learn it late.
    fn publish(&mut self) {
        let last = &self.lists[self.lists.len() - 1].1;
        let mut names: Vec<_> = last.entry_hosts.iter().map(|host| host.name.clone()).collect();
        let version = last.version + 1;
        let gone = self.rng.random_range(0..names.len());
        let change = self.rng.random_range(0..3);
        if change != 0 && names.len() > 2 {
            names.remove(gone);
        }
        let add = (0..self.hosts.len()).find(|&at| !names.contains(&name_of(at)));
        let fresh = change != 1 && self.hosts.len() < 7 && names.len() < 5;
        if fresh && self.fresh_allowed(&names) {
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
            let most = if long { 4_000_000 } else { 300_000 };
            let when = self.now + self.rng.random_range(1_000..most);
            self.push(when, at, Input::List(latest));
        }
    }

    fn may_start(&self, at: usize) -> bool {
        let last = &self.lists[self.lists.len() - 1].1;
        let names: Vec<_> = last.entry_hosts.iter().map(|host| host.name.clone()).collect();
        !names.contains(&name_of(at)) || self.fresh_allowed(&names)
    }

    /// Tells whether one more of `names` may start now within what is assumed: most of a set's
    /// processes are older than the newest list that a live process does not know yet.
    fn fresh_allowed(&self, names: &[HostName]) -> bool {
        let live = self.hosts.iter().filter(|host| host.alive);
        let oldest = live.map(|host| host.list).min().unwrap_or(0);
        let Some((since, _)) = self.lists.get(oldest + 1) else {
            return true;
        };
        // A set is in use for a lease longer than the last host that knows it.
        let member = |host: &&Host| names.contains(&host.name);
        let fresh = self.hosts.iter().filter(member).filter(|host| host.started >= *since).count();
        (fresh + 1) * 2 <= names.len()
    }
}
