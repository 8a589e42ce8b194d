//! Division of a large fleet into cells.
//!
//! The hosts of one cell exchange their loads and place requests at the servers of that cell, so that
//! what a host sends, receives and weighs does not grow with the fleet. All hosts derive the same
//! division from the hosts and servers that they know of. Where their knowledge differs for a while,
//! they know less of each other's load; nothing else depends on the division.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::state::Moment;
use crate::state::Server;
use crate::state::ZoneName;

/// The most hosts in one cell. Each of them sends its load to all others several times per second.
const MAX_CELL_HOSTS: usize = 64;
/// The fewest servers of one service in a cell: as many as prefill one prompt jointly.
const MIN_CELL_SERVERS: usize = 16;
/// The fraction of a cell's hosts that are live below which the division follows from the live ones.
/// The others' cells have then lost as many, and their servers would be idle.
const MIN_LIVE_FRACTION: f64 = 0.7;
/// How often the division is worked out again.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// A host that the division counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellHost {
    pub address: Ipv4Addr,
    /// Whether it was heard before but not recently.
    pub is_silent: bool,
}

/// The division of the fleet as one host sees it.
#[derive(Debug)]
pub struct Cells {
    /// The number of cells; a power of two, so that a division refines the coarser one.
    count: usize,
    /// The cell of this host.
    own: usize,
    /// The other hosts of its cell; `None` if all hosts are one cell.
    members: Option<HashSet<Ipv4Addr>>,
    reviewed: Option<Moment>,
}

impl Default for Cells {
    fn default() -> Cells {
        Cells { count: 1, own: 0, members: None, reviewed: None }
    }
}

impl Cells {
    /// Returns the number of cells.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns whether `address` is a host of this cell.
    pub fn has_member(&self, address: &Ipv4Addr) -> bool {
        self.members.as_ref().is_none_or(|members| members.contains(address))
    }

    /// Works the division out again if it is due. `hosts` returns all other hosts.
    ///
    /// ```
    /// use std::net::Ipv4Addr;
    /// use wasabicrank_lib::coordination::{CellHost, Cells};
    /// use wasabicrank_lib::state::Moment;
    /// let host = |number| CellHost { address: Ipv4Addr::from(number), is_silent: false };
    /// let mut cells = Cells::default();
    /// cells.review(Moment(0), Ipv4Addr::from(0), || (1..300).map(host).collect());
    /// assert_eq!(cells.count(), 8);
    /// ```
    pub fn review(&mut self, now: Moment, own: Ipv4Addr, hosts: impl FnOnce() -> Vec<CellHost>) {
        if self.reviewed.is_some_and(|at| now.since(at) < REVIEW_INTERVAL) {
            return;
        }
        self.reviewed = Some(now);
        let mut hosts = hosts();
        hosts.push(CellHost { address: own, is_silent: false });
        hosts.sort_unstable_by_key(|host| scatter(host.address));
        hosts.dedup_by_key(|host| host.address);
        let own_position = hosts.iter().position(|host| host.address == own).unwrap_or(0);
        let count = cell_count(live_hosts(&hosts, own_position));
        let is_member =
            |position: usize| position * count / hosts.len() == own_position * count / hosts.len();
        self.count = count;
        self.own = own_position * count / hosts.len();
        self.members = (count > 1).then(|| {
            let members = hosts.iter().enumerate().filter(|(position, _)| is_member(*position));
            members.map(|(_, host)| host.address).filter(|address| *address != own).collect()
        });
    }

    /// Keeps the servers of this cell. All belong to one service, in an order that all hosts share.
    pub fn retain_servers(&self, servers: &mut Vec<&Server>) {
        let count = self.count.min(previous_power_of_two(servers.len() / MIN_CELL_SERVERS));
        if count <= 1 {
            return;
        }
        let own = self.own * count / self.count;
        let mut totals: HashMap<&ZoneName, usize> = HashMap::new();
        for server in servers.iter() {
            *totals.entry(&server.zone).or_default() += 1;
        }
        let mut positions: HashMap<&ZoneName, usize> = HashMap::new();
        servers.retain(|server| {
            let position = positions.entry(&server.zone).or_default();
            let cell = *position * count / totals[&server.zone];
            *position += 1;
            cell == own
        });
    }
}

fn cell_count(hosts: usize) -> usize {
    hosts.div_ceil(MAX_CELL_HOSTS).next_power_of_two()
}

/// Returns the number of live hosts among all `hosts`. Those of other cells are seldom heard, so their
/// live fraction is taken to be that of the cell which a division of all hosts gives.
fn live_hosts(hosts: &[CellHost], own_position: usize) -> usize {
    let count = cell_count(hosts.len());
    let cell = |position: usize| position * count / hosts.len();
    let members = || {
        let all = hosts.iter().enumerate();
        all.filter(|(position, _)| cell(*position) == cell(own_position))
    };
    let live = members().filter(|(_, host)| !host.is_silent).count();
    let live_fraction = live as f64 / members().count().max(1) as f64;
    if live_fraction >= MIN_LIVE_FRACTION {
        return hosts.len();
    }
    (hosts.len() as f64 * live_fraction).ceil() as usize
}

fn previous_power_of_two(number: usize) -> usize {
    number.checked_ilog2().map_or(0, |exponent| 1 << exponent)
}

/// Returns a number by which hosts are ordered, so that neighbours in a network are in different cells.
fn scatter(address: Ipv4Addr) -> (u32, Ipv4Addr) {
    const GOLDEN_RATIO: u32 = 0x9e37_79b1;
    (
        u32::from(address).wrapping_mul(GOLDEN_RATIO).rotate_left(16).wrapping_mul(GOLDEN_RATIO),
        address,
    )
}
