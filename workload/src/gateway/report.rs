//! The results of a replay: requests answered on time, late or not at all, and the worth earned.

use std::time::Duration;

use super::hedges::HedgeResult;
use super::limits::LimitResult;

/// The outcomes of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindResult {
    /// The number of requests.
    pub asked: u32,
    /// Requests answered on time.
    pub on_time: u32,
    /// Requests answered late.
    pub late: u32,
    /// Requests whose first event came after the objective of their kind.
    pub late_first: u32,
    /// Requests whose first event came within the users' overall goal of 1.7 s, regardless of the
    /// objective of their kind.
    pub soon: u32,
    /// Requests without a complete answer: refused, or abandoned by the caller.
    pub refused: u32,
    /// The worth earned.
    pub earned: f64,
    /// The worth if all requests were answered on time.
    pub owed: f64,
    /// The number of requests among the largest tenth, and how many of these were answered.
    pub large: (u32, u32),
}

/// The results of a replay.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplayReport {
    /// Results by kind, in the load's order.
    pub kinds: Vec<KindResult>,
    /// The number of requests of each customer, and how many of these were answered.
    pub customers: Vec<(u32, u32)>,
    /// The expected and the actual time from each send to its first event.
    pub forecasts: Vec<(Duration, Duration)>,
    /// The requests at the engines with limits.
    pub limits: Vec<LimitResult>,
    /// The hedged requests.
    pub hedges: HedgeResult,
    /// The times from a request's arrival to its first event, by kind, in the order of arrival.
    pub first_events: Vec<Vec<Duration>>,
    /// The fraction of the worth earned in each two-second window of arrival times.
    pub windows: Vec<f64>,
    /// The same fractions by kind, in the load's order.
    pub kind_windows: Vec<Vec<f64>>,
}

impl ReplayReport {
    /// Returns the fraction of the worth that was earned.
    pub fn earned(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned).sum();
        let owed: f64 = self.kinds.iter().map(|kind| kind.owed).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }
}

/// Returns the fraction earned in each window; a window in which nothing was owed counts as fully
/// earned.
pub(crate) fn earned_fractions(windows: &[(f64, f64)]) -> Vec<f64> {
    let fraction = |(earned, owed): &(f64, f64)| if *owed > 0.0 { earned / owed } else { 1.0 };
    windows.iter().map(fraction).collect()
}
