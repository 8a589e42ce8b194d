//! The clock of the gateway's timestamps.

use nix::time::ClockId;
use nix::time::clock_gettime;

use crate::state::Moment;

/// A clock that keeps running while the machine is suspended (`CLOCK_BOOTTIME`), so that data read
/// before a suspension does not count as fresh after it.
#[derive(Debug, Clone, Copy)]
pub struct BootClock {
    start_micros: u64,
}

impl BootClock {
    /// Starts a clock at zero.
    pub fn start() -> BootClock {
        BootClock { start_micros: read_micros().unwrap_or(0) }
    }

    /// Returns the time since the start.
    ///
    /// Returns the latest possible time if the clock cannot be read, so that no data counts as fresh.
    pub fn now(&self) -> Moment {
        read_micros()
            .map_or(Moment(u64::MAX), |micros| Moment(micros.saturating_sub(self.start_micros)))
    }
}

fn read_micros() -> Option<u64> {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).ok()?;
    let seconds = u64::try_from(time.tv_sec()).ok()?;
    let nanos = u64::try_from(time.tv_nsec()).ok()?;
    Some(seconds * 1_000_000 + nanos / 1_000)
}
