//! When the platform's store is read: one host reads often on behalf of all, and the others take
//! over in turn when they receive nothing from it. `DEFAULT_WATCH_WAIT`, `MAX_RELIST_GRACE`,
//! `FIRST_HOST_POLL` and `OTHER_HOSTS_POLL` are absolute times; all others are fractions of the
//! published bounds within which a change must be in force.

use std::time::Duration;

use super::Gateway;
use crate::state::Moment;

/// The read interval of the host that reads on behalf of all. Together with the store's response
/// time and the summary to the peers it stays well within the bound for a change.
const READ_FRACTION: f64 = 0.4;
/// The age of the configuration at which the next host takes over reading.
const TAKEOVER_FRACTION: f64 = 0.675;
/// How much later each further host takes over, and the maximum number of such steps.
const TAKEOVER_STEP_FRACTION: f64 = 0.075;
const MAX_TAKEOVER_STEPS: usize = 3;
/// The age above which the source counts as having had an outage: longer than all hosts need to
/// take over.
const OUTAGE_FRACTION: f64 = 1.15;
/// How long a watch of the server list may wait: fractions of the drain bound at the first hosts in
/// the shared order, and a constant at the others. A watch that silently stopped working is noticed
/// after this time or, if it missed a change, by the summaries of the first hosts.
const WATCH_WAIT_FRACTIONS: [f64; 2] = [0.5, 1.0];
const DEFAULT_WATCH_WAIT: Duration = Duration::from_secs(20);
/// How long a server stays in use that is missing from the list after an outage. Live servers are
/// listed again within two seconds after the store has recovered.
const RELIST_FRACTION: f64 = 0.85;
const MAX_RELIST_GRACE: Duration = Duration::from_millis(1_700);
/// The read intervals while no configuration exists yet: of the first host in the shared order, and
/// of the others, which would learn of a configuration from its summaries.
const FIRST_HOST_POLL: Duration = Duration::from_millis(400);
const OTHER_HOSTS_POLL: Duration = Duration::from_secs(3);

impl Gateway {
    /// Returns the time until the configuration is to be read from its source.
    ///
    /// One host reads often and verifies the version for all. The others take over in turn when
    /// they have not received a verification for a while, and read at once when a peer has a newer
    /// version or the source was restored from an older copy. A starting host first waits for the
    /// versions of its peers.
    pub fn catalog_read_in(&self, now: Moment) -> Duration {
        if self.catalog.is_none() {
            let wait = self.peers.start_wait(now);
            if !wait.is_zero() {
                return wait;
            }
        }
        if self.source.is_unread() {
            return Duration::ZERO;
        }
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version());
        let newest = self.peers.newest_version(now);
        if let Some(read) = self.source.outdated_read
            && newest <= read.newest
        {
            return (read.sent + self.outdated_pause(now)).since(now);
        }
        if newest > version {
            return Duration::ZERO;
        }
        if self.catalog.is_none() {
            let pause = if self.peers.is_first(now) { FIRST_HOST_POLL } else { OTHER_HOSTS_POLL };
            return self.empty_read.map_or(Duration::ZERO, |at| (at + pause).since(now));
        }
        let bound = self.bounds.config;
        let limit = match self.peers.rank(now).min(MAX_TAKEOVER_STEPS) {
            0 => bound.mul_f64(READ_FRACTION),
            rank => bound.mul_f64(TAKEOVER_FRACTION + TAKEOVER_STEP_FRACTION * (rank - 1) as f64),
        };
        self.freshness.age(now).map_or(Duration::ZERO, |age| limit.saturating_sub(age))
    }

    /// Returns the pause after a read that returned an older version than a host has.
    fn outdated_pause(&self, now: Moment) -> Duration {
        match self.peers.rank(now) {
            0 => FIRST_HOST_POLL,
            _ => self.bounds.config.mul_f64(TAKEOVER_FRACTION),
        }
    }

    /// Records that a read sent at `sent` found no configuration.
    pub fn record_no_catalog(&mut self, sent: Moment) {
        self.empty_read = Some(sent);
        if self.catalog.is_some() {
            self.record_outdated_read(sent);
        }
    }

    /// Returns how long a watch of the server list may wait.
    pub fn watch_wait(&self, now: Moment) -> Duration {
        let part = WATCH_WAIT_FRACTIONS.get(self.peers.rank(now));
        part.map_or(DEFAULT_WATCH_WAIT, |part| self.bounds.drain.mul_f64(*part))
    }

    /// Returns the time after which a server must receive no more requests once it is listed as
    /// draining.
    pub fn drain_bound(&self) -> Duration {
        self.bounds.drain
    }

    pub(crate) fn outage_age(&self) -> Duration {
        self.bounds.config.mul_f64(OUTAGE_FRACTION)
    }

    pub(crate) fn relist_grace(&self) -> Duration {
        self.bounds.drain.mul_f64(RELIST_FRACTION).min(MAX_RELIST_GRACE)
    }
}
