//! A stand-in's clock: scaled real time that stops while the stand-in is frozen.

use std::time::Duration;
use std::time::Instant;

use wasabicrank_lib::state::Moment;

/// A clock that runs `speed` times as fast as real time.
#[derive(Debug, Clone)]
pub(crate) struct ScaledClock {
    speed: f64,
    /// The clock's time at `since`.
    base: Moment,
    since: Instant,
    frozen: bool,
}

impl ScaledClock {
    pub(crate) fn new(speed: f64) -> ScaledClock {
        ScaledClock { speed, base: Moment(0), since: Instant::now(), frozen: false }
    }

    /// Returns the clock's current time.
    pub(crate) fn now(&self) -> Moment {
        if self.frozen {
            return self.base;
        }
        self.base + self.since.elapsed().mul_f64(self.speed)
    }

    /// Returns the real time until the clock reads `moment`.
    pub(crate) fn until(&self, moment: Moment) -> Duration {
        moment.since(self.now()).div_f64(self.speed)
    }

    /// Returns the speed as a multiple of real time.
    pub(crate) fn speed(&self) -> f64 {
        self.speed
    }

    /// Changes the speed from now on.
    pub(crate) fn set_speed(&mut self, speed: f64) {
        self.rebase();
        self.speed = speed;
    }

    /// Stops or resumes the clock.
    pub(crate) fn set_frozen(&mut self, frozen: bool) {
        self.rebase();
        self.frozen = frozen;
    }

    fn rebase(&mut self) {
        self.base = self.now();
        self.since = Instant::now();
    }
}
