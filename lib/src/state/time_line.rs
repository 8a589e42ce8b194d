//! The bounded ring of events of one process.

use std::collections::VecDeque;

use super::event::Event;
use super::names::HostName;
use super::time::WallTime;

/// The events of one process.
#[derive(Debug, Clone)]
pub struct TimeLine {
    cap: usize,
    events: VecDeque<(WallTime, Event)>,
}

impl TimeLine {
    /// Makes a ring for `cap` events.
    pub fn new(_host: HostName, cap: usize) -> TimeLine {
        TimeLine { cap, events: VecDeque::new() }
    }

    /// Adds an event.
    pub fn push(&mut self, at: WallTime, event: Event) {
        if self.events.len() >= self.cap {
            self.events.pop_front();
        }
        self.events.push_back((at, event));
    }
}
