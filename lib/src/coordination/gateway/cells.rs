//! Division of a large fleet into cells.
//!
//! The hosts of one cell exchange their loads and place requests at the servers of that cell, so that
//! what a host sends, receives and weighs does not grow with the fleet. All hosts derive the same
//! division from the hosts and servers that they know of. Where their knowledge differs for a while,
//! they know less of each other's load; nothing else depends on the division.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::state::Moment;
use crate::state::Server;
use crate::state::ZoneName;

/// The most hosts in one cell. Each of them sends its load to all others several times per second.
const MAX_CELL_HOSTS: usize = 64;
/// The fewest servers of one service in a cell. Cells that share servers do not know each other's load there,
/// and overfill them; with fewer servers, a cell could not keep short prompts apart from long ones.
const MIN_CELL_SERVERS: usize = 8;
/// The fraction of a cell's hosts that are live below which the division follows from the live ones.
/// The others' cells have then lost as many, and their servers would be idle.
const MIN_LIVE_FRACTION: f64 = 0.7;
/// How often the division is worked out again.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);

/// A host that the division counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CellHost {
    pub address: Ipv4Addr,
    /// Whether messages came from it before but not recently.
    pub is_silent: bool,
}

/// The division of the fleet as one host sees it.
///
/// The cell of a host follows from its address and the number of cells alone. Each cell has a part of the
/// servers that is proportional to its hosts.
#[derive(Debug)]
pub struct Cells {
    /// The number of cells; a power of two, so that a division refines the coarser one.
    count: usize,
    own_address: Ipv4Addr,
    /// The number of hosts in all cells up to each one.
    host_sums: Vec<usize>,
    reviewed: Option<Moment>,
}

impl Default for Cells {
    fn default() -> Cells {
        Cells { count: 1, own_address: Ipv4Addr::UNSPECIFIED, host_sums: vec![1], reviewed: None }
    }
}

impl Cells {
    /// Returns the number of cells.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns whether `address` is a host of this cell.
    pub fn has_member(&self, address: &Ipv4Addr) -> bool {
        self.count == 1 || cell_of(*address, self.count) == cell_of(self.own_address, self.count)
    }

    /// Returns the cell of this host.
    pub(crate) fn own_cell(&self) -> usize {
        self.cell_of(self.own_address)
    }

    /// Returns the cell of the host at `address`.
    pub(crate) fn cell_of(&self, address: Ipv4Addr) -> usize {
        cell_of(address, self.count)
    }

    /// Returns the cell that grants permits for the server with this digest, whose service has
    /// `servers` servers: one of the cells that share it.
    pub(crate) fn arbitrating_cell(&self, server: u32, servers: usize) -> usize {
        let merged = self.count / self.server_cells(servers);
        let first = self.own_cell() / merged * merged;
        first + server as usize % merged
    }

    /// Returns whether `cell` uses the same servers as this host's cell, of a service with `servers` servers.
    pub(crate) fn shares_servers(&self, cell: usize, servers: usize) -> bool {
        let merged = self.count / self.server_cells(servers);
        cell / merged == self.own_cell() / merged
    }

    /// Returns the number of cells among which `servers` servers of one service are divided.
    fn server_cells(&self, servers: usize) -> usize {
        self.count.min(previous_power_of_two(servers / MIN_CELL_SERVERS)).max(1)
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
        self.own_address = own;
        let mut hosts = hosts();
        hosts.push(CellHost { address: own, is_silent: false });
        self.count = cell_count(live_hosts(&hosts, own));
        self.host_sums = vec![0; self.count];
        for host in &hosts {
            self.host_sums[cell_of(host.address, self.count)] += 1;
        }
        for cell in 1..self.count {
            self.host_sums[cell] += self.host_sums[cell - 1];
        }
    }

    /// Keeps the servers of this cell. All belong to one service, in an order that all hosts share.
    pub fn retain_servers(&self, servers: &mut Vec<&Server>) {
        let count = self.server_cells(servers.len());
        if count <= 1 {
            return;
        }
        // Several cells of hosts share the servers of a small service.
        let merged = self.count / count;
        let own = cell_of(self.own_address, count);
        let hosts = self.host_sums[self.count - 1];
        let first = if own == 0 { 0 } else { self.host_sums[own * merged - 1] };
        let last = self.host_sums[(own + 1) * merged - 1];
        let mut totals: HashMap<&ZoneName, usize> = HashMap::new();
        for server in servers.iter() {
            *totals.entry(&server.zone).or_default() += 1;
        }
        let mut positions: HashMap<&ZoneName, usize> = HashMap::new();
        servers.retain(|server| {
            let total = totals[&server.zone];
            let position = positions.entry(&server.zone).or_default();
            let share = *position * hosts;
            *position += 1;
            (first * total..last * total).contains(&share)
        });
    }
}

fn cell_count(hosts: usize) -> usize {
    hosts.div_ceil(MAX_CELL_HOSTS).next_power_of_two()
}

/// Returns the number of live hosts among all `hosts`. Hosts of other cells send few messages, so their
/// live fraction is taken to be that of the cell which a division of all hosts gives.
fn live_hosts(hosts: &[CellHost], own: Ipv4Addr) -> usize {
    let count = cell_count(hosts.len());
    let own_cell = cell_of(own, count);
    let members = || hosts.iter().filter(|host| cell_of(host.address, count) == own_cell);
    let live = members().filter(|host| !host.is_silent).count();
    let live_fraction = live as f64 / members().count().max(1) as f64;
    if live_fraction >= MIN_LIVE_FRACTION {
        return hosts.len();
    }
    (hosts.len() as f64 * live_fraction).ceil() as usize
}

fn previous_power_of_two(number: usize) -> usize {
    number.checked_ilog2().map_or(0, |exponent| 1 << exponent)
}

/// Returns the cell of a host among `count` cells.
fn cell_of(address: Ipv4Addr, count: usize) -> usize {
    ((u64::from(scatter(u32::from(address))) * count as u64) >> u32::BITS) as usize
}

/// Scatters numbers evenly, so that neighbours in a network are in different cells (the finalizer of
/// MurmurHash3).
pub(crate) fn scatter(number: u32) -> u32 {
    let mut hash = number;
    hash = (hash ^ (hash >> 16)).wrapping_mul(0x85eb_ca6b);
    hash = (hash ^ (hash >> 13)).wrapping_mul(0xc2b2_ae35);
    hash ^ (hash >> 16)
}
