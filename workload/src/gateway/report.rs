//! What a replay brought: the requests answered on time, late or not at all, and their worth.

/// What became of the requests of one kind.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct KindResult {
    /// All requests.
    pub asked: u32,
    /// Those that were answered on time.
    pub on_time: u32,
    /// Those that were answered late.
    pub late: u32,
    /// Those whose first event came too late.
    pub late_first: u32,
    /// Those whose first event came within the users' aim of 1.7 s, whatever their sheet says.
    pub soon: u32,
    /// Those that were refused in the end.
    pub refused: u32,
    /// What was earned of the worth.
    pub earned: f64,
    /// The whole worth.
    pub owed: f64,
    /// Requests among the largest tenth, and how many of these were served.
    pub large: (u32, u32),
}

/// What a replay brought.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ReplayReport {
    /// By kind, in the load's order.
    pub kinds: Vec<KindResult>,
    /// The part of the worth that was earned in each span of two seconds, by arrival.
    pub windows: Vec<f64>,
    /// The same by kind, in the load's order.
    pub kind_windows: Vec<Vec<f64>>,
}

impl ReplayReport {
    /// Returns the part of the worth that was earned.
    pub fn earned(&self) -> f64 {
        let earned: f64 = self.kinds.iter().map(|kind| kind.earned).sum();
        let owed: f64 = self.kinds.iter().map(|kind| kind.owed).sum();
        earned / owed.max(f64::MIN_POSITIVE)
    }
}

/// Returns the part that was earned in each window; a window in which nothing was owed counts as
/// earned.
pub(crate) fn parts(windows: &[(f64, f64)]) -> Vec<f64> {
    let part = |(earned, owed): &(f64, f64)| if *owed > 0.0 { earned / owed } else { 1.0 };
    windows.iter().map(part).collect()
}
