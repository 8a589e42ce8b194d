//! The requests of other cells whose work this host counts at the servers of its own cell.

use std::net::Ipv4Addr;
use std::time::Duration;

use rustc_hash::FxHashMap;

use crate::state::Moment;
use crate::state::SendId;
use crate::state::ServerId;

/// The most guest requests that are counted at once. Each takes about 200 bytes.
const MAX_GUESTS: usize = 1_024;
/// How long an ended guest request is remembered, so that a duplicate of its query is not granted again.
const ENDED_TIME: Duration = Duration::from_secs(2);

/// Identifies a query: the host that sent it, and its number there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct GuestKey {
    pub host: Ipv4Addr,
    pub query: u32,
}

/// A guest request, and its work in the load table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Guest<T> {
    /// What identifies its work in the load table.
    pub send: SendId,
    /// The servers that work for it.
    pub servers: Vec<ServerId>,
    /// Until when it is counted if its end is not reported.
    pub until: Moment,
    /// The answer to the query, which is repeated when the query arrives again.
    pub answer: T,
}

#[derive(Debug)]
enum Entry<T> {
    Counted(Guest<T>),
    Ended(Moment),
}

/// What is known of a query.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KnownGuest<'a, T> {
    /// It is the first one of its key.
    New,
    /// It was granted with this answer.
    Granted(&'a T),
    /// The request has ended, or there are too many guest requests.
    Closed,
}

/// The guest requests of one host; `T` is the answer to a query.
#[derive(Debug)]
pub struct GuestTable<T> {
    entries: FxHashMap<GuestKey, Entry<T>>,
}

impl<T> Default for GuestTable<T> {
    fn default() -> GuestTable<T> {
        GuestTable { entries: FxHashMap::default() }
    }
}

impl<T> GuestTable<T> {
    /// Returns what is known of the query with this key.
    pub fn get(&self, key: &GuestKey) -> KnownGuest<'_, T> {
        match self.entries.get(key) {
            Some(Entry::Counted(guest)) => KnownGuest::Granted(&guest.answer),
            Some(Entry::Ended(_)) => KnownGuest::Closed,
            None if self.entries.len() >= MAX_GUESTS => KnownGuest::Closed,
            None => KnownGuest::New,
        }
    }

    /// Adds a guest request.
    ///
    /// ```
    /// use std::net::Ipv4Addr;
    /// use wasabicrank_lib::state::{Guest, GuestKey, GuestTable, KnownGuest, Moment, SendId};
    /// let key = GuestKey { host: Ipv4Addr::LOCALHOST, query: 1 };
    /// let until = Moment(2_000);
    /// let guest = Guest { send: SendId(7), servers: Vec::new(), until, answer: "granted" };
    /// let mut guests = GuestTable::default();
    /// guests.insert(key, guest);
    /// assert_eq!(guests.get(&key), KnownGuest::Granted(&"granted"));
    /// assert_eq!(guests.take_expired(Moment(3_000)).len(), 1);
    /// ```
    pub fn insert(&mut self, key: GuestKey, guest: Guest<T>) {
        self.entries.insert(key, Entry::Counted(guest));
    }

    /// Returns the guest request with this key if it is still counted.
    pub fn counted(&self, key: &GuestKey) -> Option<&Guest<T>> {
        match self.entries.get(key) {
            Some(Entry::Counted(guest)) => Some(guest),
            _ => None,
        }
    }

    /// Ends the guest request with this key; returns it if it was counted.
    pub fn end(&mut self, now: Moment, key: GuestKey) -> Option<Guest<T>> {
        match self.entries.insert(key, Entry::Ended(now + ENDED_TIME)) {
            Some(Entry::Counted(guest)) => Some(guest),
            Some(Entry::Ended(_)) | None => None,
        }
    }

    /// Removes and returns the guest requests whose end was not reported in time.
    pub fn take_expired(&mut self, now: Moment) -> Vec<Guest<T>> {
        let is_expired = |entry: &Entry<T>| match entry {
            Entry::Counted(guest) => now >= guest.until,
            Entry::Ended(until) => now >= *until,
        };
        let expired = self.entries.extract_if(|_, entry| is_expired(entry));
        let counted = expired.filter_map(|(_, entry)| match entry {
            Entry::Counted(guest) => Some(guest),
            Entry::Ended(_) => None,
        });
        counted.collect()
    }

    /// Returns the number of guest requests that are counted.
    pub fn len(&self) -> usize {
        self.entries.values().filter(|entry| matches!(entry, Entry::Counted(_))).count()
    }

    /// Returns whether no guest request is counted.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
