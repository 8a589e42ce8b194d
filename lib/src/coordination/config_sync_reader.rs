//! Who calls the configuration service, and how often.
//!
//! One entry host in each zone watches. The others call it rarely, for the case that no watcher can
//! reach it. Failures back off with jitter, so that a service that comes back is not flooded.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::config_sync::ConfigOutput;
use super::config_sync::ConfigReadResult;
use super::members::Members;
use crate::state::Moment;

/// How long a watch may wait at the service.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The least time between two calls of one process.
const MIN_GAP: Duration = Duration::from_millis(500);

/// The longest time between two calls after failures.
const MAX_BACK_OFF: Duration = Duration::from_secs(5);

/// How often a host that is no reader calls all the same.
const SPARE_GAP: Duration = Duration::from_secs(60);

/// How long the answer to a watch is awaited beyond its wait.
const ANSWER_GRACE: Duration = Duration::from_secs(10);

/// The calls of one entry host to the configuration service.
#[derive(Debug)]
pub(crate) struct ServiceReader {
    rng: SmallRng,
    calls: u64,
    next_at: Moment,
    spare_at: Moment,
    /// When the call under way is given up.
    pending: Option<Moment>,
    back_off: Duration,
}

impl ServiceReader {
    pub(crate) fn new(seed: u64, now: Moment) -> ServiceReader {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = rng.random_range(Duration::ZERO..MIN_GAP);
        ServiceReader {
            rng,
            calls: 0,
            next_at: now + first,
            spare_at: now + first,
            pending: None,
            back_off: MIN_GAP,
        }
    }

    pub(crate) fn calls(&self) -> u64 {
        self.calls
    }

    /// Notes how the call under way ended and when the next may begin.
    pub(crate) fn on_answer(&mut self, now: Moment, answer: &ConfigReadResult) {
        self.pending = None;
        let failed = matches!(answer, ConfigReadResult::RateLimited | ConfigReadResult::Failed);
        if !failed {
            self.back_off = MIN_GAP;
            self.next_at = now + MIN_GAP;
            return;
        }
        self.back_off = (self.back_off * 2).min(MAX_BACK_OFF);
        self.next_at = now + self.rng.random_range(self.back_off / 2..=self.back_off);
    }

    /// Begins a call if one is due.
    pub(crate) fn on_tick(
        &mut self,
        now: Moment,
        members: &Members,
        after: u64,
    ) -> Option<ConfigOutput> {
        if self.pending.is_some_and(|until| now >= until) {
            self.on_answer(now, &ConfigReadResult::Failed);
        }
        if self.pending.is_some() || now < self.next_at {
            return None;
        }
        let reads = members.zone_duty("configuration").as_ref() == Some(members.host());
        if !reads && now < self.spare_at {
            return None;
        }
        self.spare_at = now + self.rng.random_range(SPARE_GAP / 2..=SPARE_GAP * 3 / 2);
        // A host that is no reader looks once and does not stay.
        let wait = if reads { WATCH_WAIT } else { Duration::ZERO };
        self.pending = Some(now + wait + ANSWER_GRACE);
        self.calls += 1;
        Some(ConfigOutput::Watch { after, wait })
    }
}
