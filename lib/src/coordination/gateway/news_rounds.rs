//! When hosts of other cells are sent news, which they get seldom otherwise.

use std::collections::VecDeque;
use std::time::Duration;

use crate::state::Moment;

/// When the messages after news are sent; several, since single ones may be lost.
const ROUNDS: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(400), Duration::from_millis(1_200)];
/// The most messages that wait.
const MAX_ROUNDS: usize = 16;

/// The times at which all hosts are sent a message.
#[derive(Debug, Default)]
pub(crate) struct NewsRounds {
    due: VecDeque<Moment>,
}

impl NewsRounds {
    /// Plans the messages after news that came at `now`.
    pub(crate) fn begin(&mut self, now: Moment) {
        if self.due.len() + ROUNDS.len() <= MAX_ROUNDS {
            self.due.extend(ROUNDS.map(|delay| now + delay));
            self.due.make_contiguous().sort_unstable();
        }
    }

    /// Returns whether a message is due, which is then taken as sent.
    pub(crate) fn take(&mut self, now: Moment) -> bool {
        let waiting = self.due.len();
        self.due.retain(|at| *at > now);
        self.due.len() < waiting
    }
}
