//! Pauses that servers asked for: until the end of its pause, a server gets nothing from this host.
//!
//! A pause belongs to one start of a server, so a restart ends it. After its pause a server takes
//! little at first: without this, the first server whose pause ends would get all requests.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::Moment;

use super::ServerId;

/// The longest pause that is believed; a longer one is likely an error of the server.
const MAX_PAUSE: Duration = Duration::from_secs(24 * 3_600);
/// How long after its pause a server takes fewer requests than it has slots.
const RAMP_TIME: Duration = Duration::from_millis(1_000);

/// The pauses of all servers that asked for one.
#[derive(Debug, Clone, Default)]
pub struct ServerPauses {
    ends: HashMap<ServerId, Moment>,
}

impl ServerPauses {
    /// Records that `server` asked for a pause of `length` from `now`. An earlier request for a pause
    /// that ends later stays in force.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{Moment, ServerId, ServerPauses};
    /// let server = ServerId::new("i-1", 1);
    /// let mut pauses = ServerPauses::default();
    /// pauses.record(&server, Moment(0), Duration::from_secs(2));
    /// pauses.record(&server, Moment(0), Duration::ZERO);
    /// assert!(pauses.is_paused(&server, Moment(1_900_000)));
    /// assert!(!pauses.is_paused(&server, Moment(2_000_000)));
    /// ```
    pub fn record(&mut self, server: &ServerId, now: Moment, length: Duration) {
        self.ends.retain(|_, end| now < *end + RAMP_TIME);
        if length.is_zero() {
            return;
        }
        let end = now + length.min(MAX_PAUSE);
        let latest = self.ends.entry(server.clone()).or_insert(end);
        *latest = end.max(*latest);
    }

    /// Returns whether `server` must get nothing now.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, ServerId, ServerPauses};
    /// let server = ServerId::new("i-1", 1);
    /// assert!(!ServerPauses::default().is_paused(&server, Moment(0)));
    /// ```
    pub fn is_paused(&self, server: &ServerId, now: Moment) -> bool {
        self.left(server, now).is_some()
    }

    /// Returns how much longer `server` is paused, or `None` if it is not.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{Moment, ServerId, ServerPauses};
    /// let server = ServerId::new("i-1", 1);
    /// let mut pauses = ServerPauses::default();
    /// pauses.record(&server, Moment(0), Duration::from_secs(2));
    /// assert_eq!(pauses.left(&server, Moment(500_000)), Some(Duration::from_millis(1_500)));
    /// let restarted = ServerId::new("i-1", 2);
    /// assert_eq!(pauses.left(&restarted, Moment(500_000)), None);
    /// ```
    pub fn left(&self, server: &ServerId, now: Moment) -> Option<Duration> {
        self.ends.get(server).filter(|end| now < **end).map(|end| end.since(now))
    }

    /// Returns how many of its `slots` a server keeps free: all during its pause, and fewer and fewer
    /// after it.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::{Moment, ServerId, ServerPauses};
    /// let server = ServerId::new("i-1", 1);
    /// let mut pauses = ServerPauses::default();
    /// assert_eq!(pauses.withheld_slots(&server, 8, Moment(0)), 0);
    /// pauses.record(&server, Moment(0), Duration::from_secs(2));
    /// assert_eq!(pauses.withheld_slots(&server, 8, Moment(1_000_000)), 8);
    /// assert_eq!(pauses.withheld_slots(&server, 8, Moment(2_000_000)), 7);
    /// assert_eq!(pauses.withheld_slots(&server, 8, Moment(2_500_000)), 4);
    /// assert_eq!(pauses.withheld_slots(&server, 8, Moment(3_000_000)), 0);
    /// ```
    pub fn withheld_slots(&self, server: &ServerId, slots: u32, now: Moment) -> u32 {
        let Some(end) = self.ends.get(server) else { return 0 };
        if now < *end {
            return slots;
        }
        let open = now.since(*end).as_secs_f64() / RAMP_TIME.as_secs_f64();
        let taken = (f64::from(slots) * open).max(1.0) as u32;
        slots.saturating_sub(taken)
    }
}
