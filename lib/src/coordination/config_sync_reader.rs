//! Schedules the calls of one entry host to the configuration service.
//!
//! One entry host in each zone watches the service. The others call it rarely, in case no watcher
//! can reach it. Calls after failures back off with jitter so that a recovering service is not
//! overloaded.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::config_sync::ConfigOutput;
use super::config_sync::ConfigReadResult;
use super::members::Members;
use crate::state::Moment;

/// How long the service may delay its reply to a watch.
const WATCH_WAIT: Duration = Duration::from_secs(20);

/// The minimum time between two calls of one process.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum delay between two calls after failures.
const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The mean time between two calls of a host that is not its zone's reader.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(60);

/// How long to wait for the reply to a call beyond the wait that it asked for.
const RESULT_GRACE: Duration = Duration::from_secs(10);

/// The schedule of calls to the configuration service.
#[derive(Debug)]
pub(crate) struct ServiceReader {
    rng: SmallRng,
    calls: u64,
    next_at: Moment,
    fallback_at: Moment,
    /// When the call in progress times out.
    timeout_at: Option<Moment>,
    backoff: Duration,
}

impl ServiceReader {
    pub(crate) fn new(seed: u64, now: Moment) -> ServiceReader {
        let mut rng = SmallRng::seed_from_u64(seed);
        let first = rng.random_range(Duration::ZERO..MIN_CALL_INTERVAL);
        ServiceReader {
            rng,
            calls: 0,
            next_at: now + first,
            fallback_at: now + first,
            timeout_at: None,
            backoff: MIN_CALL_INTERVAL,
        }
    }

    pub(crate) fn calls(&self) -> u64 {
        self.calls
    }

    /// Records the result of the call in progress and schedules the next.
    pub(crate) fn on_result(&mut self, now: Moment, result: &ConfigReadResult) {
        self.timeout_at = None;
        let failed = matches!(result, ConfigReadResult::RateLimited | ConfigReadResult::Failed);
        if !failed {
            self.backoff = MIN_CALL_INTERVAL;
            self.next_at = now + MIN_CALL_INTERVAL;
            return;
        }
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.next_at = now + self.rng.random_range(self.backoff / 2..=self.backoff);
    }

    /// Starts a call if one is due.
    pub(crate) fn on_tick(
        &mut self,
        now: Moment,
        members: &Members,
        after: u64,
    ) -> Option<ConfigOutput> {
        if self.timeout_at.is_some_and(|until| now >= until) {
            self.on_result(now, &ConfigReadResult::Failed);
        }
        if self.timeout_at.is_some() || now < self.next_at {
            return None;
        }
        let is_reader = members.assigned_in_zone("configuration").as_ref() == Some(members.host());
        if !is_reader && now < self.fallback_at {
            return None;
        }
        self.fallback_at =
            now + self.rng.random_range(FALLBACK_INTERVAL / 2..=FALLBACK_INTERVAL * 3 / 2);
        // A host that is not the reader reads once without watching.
        let wait = if is_reader { WATCH_WAIT } else { Duration::ZERO };
        self.timeout_at = Some(now + wait + RESULT_GRACE);
        self.calls += 1;
        Some(ConfigOutput::Read { after, wait })
    }
}
