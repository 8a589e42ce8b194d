//! The requests of this host that wait for permits of limited servers.

use std::time::Duration;

use crate::state::Moment;
use crate::state::ServiceName;

/// The waiting time after which a request's rank has doubled, so that no request starves.
const RANK_DOUBLING_TIME: Duration = Duration::from_secs(1);
/// How long a request counts as waiting after it should have been placed again.
const OVERDUE_TIME: Duration = Duration::from_millis(150);

#[derive(Debug)]
struct PermitWaiter {
    ticket: u64,
    service: ServiceName,
    value: f64,
    since: Moment,
    /// When it counts as waiting no longer, unless it is placed again and still lacks a permit.
    until: Moment,
}

impl PermitWaiter {
    fn rank(&self, now: Moment) -> f64 {
        self.value * rank_factor(now.since(self.since))
    }
}

fn rank_factor(waited: Duration) -> f64 {
    1.0 + waited.as_secs_f64() / RANK_DOUBLING_TIME.as_secs_f64()
}

/// Requests that wait for permits; those of the highest value get them first. A limit counts requests,
/// so that the value of each decides, whatever its size.
#[derive(Debug, Default)]
pub(crate) struct PermitQueue {
    waiters: Vec<PermitWaiter>,
}

impl PermitQueue {
    /// Records that the request with this ticket waits, and is placed again after `delay`.
    pub(crate) fn record_wait(
        &mut self,
        now: Moment,
        ticket: u64,
        service: &ServiceName,
        value: f64,
        delay: Duration,
    ) {
        self.waiters.retain(|waiter| waiter.until > now);
        let until = now + delay + OVERDUE_TIME;
        match self.waiters.iter_mut().find(|waiter| waiter.ticket == ticket) {
            Some(waiter) => waiter.until = until,
            None => {
                let service = service.clone();
                self.waiters.push(PermitWaiter { ticket, service, value, since: now, until });
            }
        }
    }

    /// Removes a request by its ticket.
    pub(crate) fn leave(&mut self, ticket: u64) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    /// Returns how many requests for `service` get permits before the one with `ticket`, or before a new
    /// one of the given value.
    pub(crate) fn count_ahead(
        &self,
        now: Moment,
        ticket: Option<u64>,
        service: &ServiceName,
        value: f64,
    ) -> usize {
        let own = self.waiters.iter().find(|waiter| Some(waiter.ticket) == ticket);
        let rank = own.map_or(value, |own| own.rank(now));
        let number = ticket.unwrap_or(u64::MAX);
        let is_ahead = |other: &&PermitWaiter| {
            let theirs = other.rank(now);
            let is_earlier = theirs == rank && other.ticket < number;
            other.until > now && other.service == *service && (theirs > rank || is_earlier)
        };
        self.waiters.iter().filter(is_ahead).count()
    }
}
