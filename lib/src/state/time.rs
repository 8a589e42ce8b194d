//! Clock readings. The driver passes them to the core, which never reads a clock itself.

use std::ops::Add;
use std::time::Duration;

/// A reading of one process's monotonic clock, in microseconds since that process started.
///
/// Readings of different processes are not comparable.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::Moment;
    /// assert_eq!(Moment(1_500).since(Moment(500)), Duration::from_millis(1));
    /// assert_eq!(Moment(500).since(Moment(1_500)), Duration::ZERO);
    /// ```
    pub fn since(self, earlier: Moment) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Moment;

    fn add(self, span: Duration) -> Moment {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Moment(self.0.saturating_add(micros))
    }
}

/// A reading of the wall clock, in milliseconds since the Unix epoch.
///
/// It may jump. Only the age of idempotency keys and the time line depend on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WallTime(pub u64);

/// A reading of both clocks of a process, taken by the driver for one input.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Now {
    /// The monotonic clock, for all timeouts and leases.
    pub mono: Moment,
    /// The wall clock, for the order of events and the age of keys.
    pub wall: WallTime,
}
