//! Callers that were refused, so that those that return when they were asked to are served.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::state::Moment;

/// The most callers that are remembered; those refused first are forgotten first.
const MAX_CALLERS: usize = 4_096;

/// The ids of refused requests, with the time from which on their callers may return.
#[derive(Debug, Clone, Default)]
pub struct RefusedCallers {
    due: FxHashMap<String, Moment>,
    order: VecDeque<String>,
}

impl RefusedCallers {
    /// Records that the caller of `request` may return at `due`.
    pub fn record(&mut self, request: &str, due: Moment) {
        if self.due.insert(request.to_owned(), due).is_none() {
            self.order.push_back(request.to_owned());
        }
        if self.order.len() > MAX_CALLERS
            && let Some(oldest) = self.order.pop_front()
        {
            self.due.remove(&oldest);
        }
    }

    /// Returns whether the caller of `request` was refused and returns no earlier than it was asked to.
    ///
    /// ```
    /// use wasabicrank_lib::state::{Moment, RefusedCallers};
    /// let mut callers = RefusedCallers::default();
    /// callers.record("r-1", Moment(500));
    /// assert!(!callers.has_returned("r-1", Moment(499)));
    /// assert!(callers.has_returned("r-1", Moment(500)));
    /// ```
    pub fn has_returned(&self, request: &str, now: Moment) -> bool {
        self.due.get(request).is_some_and(|due| now >= *due)
    }
}
