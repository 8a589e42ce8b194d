//! The requests that wait at this host for engines to become free.

use std::time::Duration;

use crate::state::Moment;

/// How long a request waits until its rank has doubled, so that none waits for ever behind others.
const RANK_DOUBLES: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Waiter {
    ticket: u64,
    worth: f64,
    reading: Duration,
    since: Moment,
}

impl Waiter {
    /// Returns what a second of reading for it is worth, raised by the time that it waited.
    fn rank(&self, now: Moment) -> f64 {
        let density = self.worth / self.reading.as_secs_f64().max(1e-3);
        density * (1.0 + now.since(self.since).as_secs_f64() / RANK_DOUBLES.as_secs_f64())
    }
}

/// Requests in the order in which they are placed: most worth for the engines' time first.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
    last: u64,
}

impl WaitQueue {
    /// Adds a request that engines read for `reading`; returns its ticket.
    pub fn enter(&mut self, now: Moment, worth: f64, reading: Duration) -> u64 {
        self.last += 1;
        self.waiters.push(Waiter { ticket: self.last, worth, reading, since: now });
        self.last
    }

    /// Removes a request.
    pub fn leave(&mut self, ticket: u64) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Returns the reading time of the requests that go before `ticket`, or before a new request of
    /// the given worth and reading time.
    pub fn ahead_of(
        &self,
        now: Moment,
        ticket: Option<u64>,
        worth: f64,
        reading: Duration,
    ) -> Duration {
        let own = ticket.and_then(|ticket| self.waiters.iter().find(|one| one.ticket == ticket));
        let new = Waiter { ticket: u64::MAX, worth, reading, since: now };
        let own = own.unwrap_or(&new);
        let rank = own.rank(now);
        let goes_before = |other: &&Waiter| {
            let theirs = other.rank(now);
            theirs > rank || (theirs == rank && other.ticket < own.ticket)
        };
        self.waiters.iter().filter(goes_before).map(|waiter| waiter.reading).sum()
    }

    /// Returns the reading time of all requests that wait.
    pub fn reading_time(&self) -> Duration {
        self.waiters.iter().map(|waiter| waiter.reading).sum()
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
