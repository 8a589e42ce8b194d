//! What a host knows of the capacity of other cells: the answers to its queries.

use std::net::Ipv4Addr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::state::Moment;

/// The bounds of the time in which a cell that stated no room is not queried.
const MIN_CLOSED_TIME: Duration = Duration::from_millis(100);
const MAX_CLOSED_TIME: Duration = Duration::from_secs(1);
/// How long a host that did not answer is not queried.
const UNANSWERED_TIME: Duration = Duration::from_secs(5);

/// The cells and hosts to query, as far as earlier answers show.
#[derive(Debug, Default)]
pub struct CellRoom {
    /// The number of cells in the division that the other fields refer to.
    count: usize,
    /// The cell that granted the last query.
    granting: Option<usize>,
    /// The cells that stated no room, and until when.
    closed: FxHashMap<usize, Moment>,
    /// The hosts that did not answer, and when they may be queried again.
    unanswered: FxHashMap<Ipv4Addr, Moment>,
}

impl CellRoom {
    /// Sets the number of cells; what is known of cells ends when it changes.
    pub fn set_count(&mut self, count: usize) {
        if self.count != count {
            self.count = count;
            self.granting = None;
            self.closed.clear();
        }
    }

    /// Returns the cell that had room last.
    pub fn granting(&self) -> Option<usize> {
        self.granting
    }

    /// Returns whether `cell` may be queried.
    pub fn is_open(&self, now: Moment, cell: usize) -> bool {
        self.closed.get(&cell).is_none_or(|until| now >= *until)
    }

    /// Returns whether the host at `address` may be queried.
    pub fn is_available(&self, now: Moment, address: &Ipv4Addr) -> bool {
        self.unanswered.get(address).is_none_or(|until| now >= *until)
    }

    /// Records that a host of `cell` granted a query.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{CellRoom, Moment};
    /// let mut room = CellRoom::default();
    /// room.record_grant(2);
    /// assert_eq!(room.granting(), Some(2));
    /// room.record_denial(Moment(0), 2, Duration::from_secs(9));
    /// assert_eq!(room.granting(), None);
    /// assert!(!room.is_open(Moment(999_000), 2) && room.is_open(Moment(1_000_000), 2));
    /// ```
    pub fn record_grant(&mut self, cell: usize) {
        self.granting = Some(cell);
        self.closed.remove(&cell);
    }

    /// Records that `cell` has no room for `wait`.
    pub fn record_denial(&mut self, now: Moment, cell: usize, wait: Duration) {
        self.closed.insert(cell, now + wait.clamp(MIN_CLOSED_TIME, MAX_CLOSED_TIME));
        if self.granting == Some(cell) {
            self.granting = None;
        }
    }

    /// Records that the host at `address` did not answer.
    pub fn record_unanswered(&mut self, now: Moment, address: Ipv4Addr) {
        self.unanswered.retain(|_, until| now < *until);
        self.unanswered.insert(address, now + UNANSWERED_TIME);
    }
}
