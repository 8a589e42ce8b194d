//! The queue of requests that wait at this host for engine capacity.

use std::time::Duration;

use crate::state::Moment;

/// The waiting time after which a request's rank has doubled, so that no request starves.
const RANK_DOUBLING_TIME: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct Waiter {
    ticket: u64,
    value: f64,
    prefill: Duration,
    since: Moment,
}

impl Waiter {
    /// Returns the request's value per second of prefill, raised by its waiting time.
    fn rank(&self, now: Moment) -> f64 {
        let density = self.value / self.prefill.as_secs_f64().max(1e-3);
        density * (1.0 + now.since(self.since).as_secs_f64() / RANK_DOUBLING_TIME.as_secs_f64())
    }
}

/// Waiting requests; those with the highest value per second of prefill are placed first.
#[derive(Debug, Default)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
    last: u64,
}

impl WaitQueue {
    /// Adds a request whose prefill takes `prefill`; returns its ticket.
    pub fn enter(&mut self, now: Moment, value: f64, prefill: Duration) -> u64 {
        self.last += 1;
        self.waiters.push(Waiter { ticket: self.last, value, prefill, since: now });
        self.last
    }

    /// Removes a request by its ticket.
    pub fn leave(&mut self, ticket: u64) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Returns the summed prefill time of the requests that are placed before `ticket`, or before a
    /// new request of the given value and prefill time.
    pub fn prefill_ahead(
        &self,
        now: Moment,
        ticket: Option<u64>,
        value: f64,
        prefill: Duration,
    ) -> Duration {
        let own = ticket.and_then(|ticket| self.waiters.iter().find(|one| one.ticket == ticket));
        let new = Waiter { ticket: u64::MAX, value, prefill, since: now };
        let own = own.unwrap_or(&new);
        let rank = own.rank(now);
        let goes_before = |other: &&Waiter| {
            let theirs = other.rank(now);
            theirs > rank || (theirs == rank && other.ticket < own.ticket)
        };
        self.waiters.iter().filter(goes_before).map(|waiter| waiter.prefill).sum()
    }

    /// Returns the summed prefill time of all waiting requests.
    pub fn queued_prefill(&self) -> Duration {
        self.waiters.iter().map(|waiter| waiter.prefill).sum()
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }
}
