//! When the platform's store is read: one host reads often for all, and the others in turn when they hear
//! nothing from it. All times are parts of the bounds within which a change must be in force.

use std::time::Duration;

use super::Gateway;
use crate::state::Moment;

/// How often the host reads the configuration that does so for all: with an answer of the store and the
/// word to the others well within the bound for a change.
const READ_PART: f64 = 0.4;
/// The age of the configuration at which the next host takes over reading.
const TAKE_OVER_PART: f64 = 0.675;
/// How much later each further host takes over, and how many such steps there are.
const STEP_PART: f64 = 0.075;
const STEPS_MAX: usize = 3;
/// The age from which the source counts as having been away: longer than all hosts need to take over.
const OUTAGE_PART: f64 = 1.15;
/// How long the watches of the list of servers wait at the first hosts in the common order, and at the
/// others. A watch that fell silent is noticed after this time or, where it missed a change, by what the
/// first hosts tell.
const WATCH_PARTS: [f64; 2] = [0.5, 1.0];
const WATCH_WAIT: Duration = Duration::from_secs(20);
/// How long a server may stay in use that is missing from the list after an outage. Servers that live
/// are listed again within two seconds of the store's return.
const RELIST_PART: f64 = 0.85;
const RELIST_MAX: Duration = Duration::from_millis(1_700);
/// How often the first host in the common order asks for a configuration where none is written yet, and
/// how often the others do, which it would tell.
const ASK_FIRST: Duration = Duration::from_millis(400);
const ASK_OTHERS: Duration = Duration::from_secs(3);

impl Gateway {
    /// Returns in how long the configuration is to be read from its source.
    ///
    /// One host reads often and vouches for the version; the others take over in turn when they
    /// were not told for a while, and read at once when a peer has a newer version.
    pub fn catalog_read_in(&self, now: Moment) -> Duration {
        let version = self.catalog.as_ref().map_or(0, |catalog| catalog.version());
        if self.peers.newest_version(now) > version {
            return Duration::ZERO;
        }
        if self.catalog.is_none() {
            let pause = if self.peers.is_first(now) { ASK_FIRST } else { ASK_OTHERS };
            return self.found_none.map_or(Duration::ZERO, |at| (at + pause).since(now));
        }
        let bound = self.bounds.config;
        let limit = match self.peers.rank(now).min(STEPS_MAX) {
            0 => bound.mul_f64(READ_PART),
            rank => bound.mul_f64(TAKE_OVER_PART + STEP_PART * (rank - 1) as f64),
        };
        self.freshness.age(now).map_or(Duration::ZERO, |age| limit.saturating_sub(age))
    }

    /// Notes that a read sent at `sent` found no configuration.
    pub fn record_no_catalog(&mut self, sent: Moment) {
        self.found_none = Some(sent);
    }

    /// Returns how long a watch of the list of servers may wait.
    pub fn watch_wait(&self, now: Moment) -> Duration {
        let part = WATCH_PARTS.get(self.peers.rank(now));
        part.map_or(WATCH_WAIT, |part| self.bounds.drain.mul_f64(*part))
    }

    /// Returns how soon a server must get no more requests after the list said that it leaves.
    pub fn drain_bound(&self) -> Duration {
        self.bounds.drain
    }

    pub(crate) fn outage_age(&self) -> Duration {
        self.bounds.config.mul_f64(OUTAGE_PART)
    }

    pub(crate) fn relist_grace(&self) -> Duration {
        self.bounds.drain.mul_f64(RELIST_PART).min(RELIST_MAX)
    }
}
