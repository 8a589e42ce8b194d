//! A hybrid logical clock, which orders events across processes whose wall clocks differ.
//!
//! It follows the wall clock, never goes back, and advances past every timestamp that it receives,
//! so that an effect has a later timestamp than its cause.

use std::time::Duration;

use super::time::WallTime;

/// How far ahead of the own wall clock a received timestamp may be. Later ones are ignored.
pub const MAX_CLOCK_LEAD: Duration = Duration::from_secs(60);

/// A timestamp of a hybrid logical clock, in microseconds since the Unix epoch.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HybridTime(pub u64);

impl From<WallTime> for HybridTime {
    fn from(wall: WallTime) -> Self {
        HybridTime(wall.0.saturating_mul(1000))
    }
}

/// The hybrid logical clock of one process.
///
/// ```
/// use wasabicrank_lib::state::{HybridClock, HybridTime, WallTime};
/// let mut clock = HybridClock::default();
/// assert_eq!(clock.tick(WallTime(5)), HybridTime(5_000));
/// clock.observe(WallTime(5), HybridTime(9_000));
/// assert_eq!(clock.tick(WallTime(5)), HybridTime(9_001));
/// ```
#[derive(Debug, Clone, Default)]
pub struct HybridClock {
    last: HybridTime,
}

impl HybridClock {
    /// Returns a timestamp that is later than all previous ones.
    pub fn tick(&mut self, wall: WallTime) -> HybridTime {
        let next = HybridTime(self.last.0.saturating_add(1));
        self.last = next.max(HybridTime::from(wall));
        self.last
    }

    /// Advances the clock to a timestamp received from a peer.
    pub fn observe(&mut self, wall: WallTime, received: HybridTime) {
        let lead = u64::try_from(MAX_CLOCK_LEAD.as_micros()).unwrap_or(u64::MAX);
        let limit = HybridTime::from(wall).0.saturating_add(lead);
        if received.0 <= limit {
            self.last = self.last.max(received);
        }
    }
}
