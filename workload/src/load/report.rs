//! The results of a load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;

use crate::load::LENGTH_BOUNDS;

/// The number of significant digits of recorded times.
const DIGITS: u8 = 3;

/// The longest time that is recorded without clamping, in microseconds: one hour.
const LONGEST_MICROS: u64 = 3_600_000_000;

/// The maximum number of broken guarantees that are kept in detail.
const KEPT_BROKEN: usize = 100;

/// A request that was refused or failed, as the caller was told.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Refused {
    /// `not_run`, `unknown` or `failed`.
    pub outcome: String,
    /// The machine-readable reason.
    pub reason: String,
}

/// A guarantee that was broken, with the request or key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Broken {
    /// The answer is not the expected answer to the prompt.
    WrongAnswer { request: String },
    /// Neither an answer nor a refusal arrived by the deadline.
    Late { request: String, by: Duration },
    /// A request ran although its caller was told that it did not.
    RanThoughNotRun { request: String, runs: u32 },
    /// A call that may run at most once ran more than once.
    RanTwice { key: String, runs: u32 },
    /// A caller was told that a call ran, but the service has no record of it.
    AnsweredNotRun { key: String },
    /// A call's answer belongs to another call.
    WrongReply { key: String },
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Broken::WrongAnswer { request } => write!(f, "{request}: wrong answer"),
            Broken::Late { request, by } => write!(f, "{request}: {by:?} after its deadline"),
            Broken::RanThoughNotRun { request, runs } => {
                write!(f, "{request}: told `not_run`, ran {runs} times")
            }
            Broken::RanTwice { key, runs } => write!(f, "{key}: ran {runs} times"),
            Broken::AnsweredNotRun { key } => write!(f, "{key}: answered, never ran"),
            Broken::WrongReply { key } => write!(f, "{key}: another call's answer"),
        }
    }
}

/// A histogram of times, in microseconds.
///
/// ```
/// use std::time::Duration;
/// let mut times = wasabicrank_workload::load::Times::default();
/// times.add(Duration::from_millis(250));
/// let median = times.quantile(0.5);
/// assert!(median.abs_diff(Duration::from_millis(250)) < Duration::from_millis(1));
/// ```
#[derive(Debug, Clone)]
pub struct Times(Histogram<u64>);

impl Default for Times {
    fn default() -> Self {
        let times = Histogram::new_with_bounds(1, LONGEST_MICROS, DIGITS);
        Times(times.expect("the bounds and digits are in range"))
    }
}

impl Times {
    /// Adds a time.
    pub fn add(&mut self, time: Duration) {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.0.saturating_record(micros);
    }

    /// Returns how many times were added.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the quantile `share`, from 0 to 1, of the times.
    pub fn quantile(&self, share: f64) -> Duration {
        Duration::from_micros(self.0.value_at_quantile(share))
    }
}

/// The outcomes of the prompts of one length class.
#[derive(Debug, Clone, Default)]
pub struct LengthReport {
    /// Requests that were sent.
    pub sent: u64,
    /// Requests with a whole answer.
    pub answered: u64,
    /// Requests that were refused or failed.
    pub refused: u64,
    /// Requests whose entry hosts went away for good.
    pub lost: u64,
    /// The time from sending to the first token.
    pub first_token: Times,
}

/// The outcomes of run-once calls.
#[derive(Debug, Clone, Default)]
pub struct CallReport {
    /// Calls that were sent.
    pub sent: u64,
    /// Calls that were answered.
    pub answered: u64,
    /// Calls that were refused or failed.
    pub refused: u64,
    /// Calls without a response.
    pub lost: u64,
    /// The time from sending to the answer.
    pub took: Times,
}

/// The results of a load.
#[derive(Debug, Clone, Default)]
pub struct LoadReport {
    /// Outcomes by prompt length class, in the order of `LENGTH_BOUNDS`.
    pub lengths: [LengthReport; LENGTH_BOUNDS.len()],
    /// The times between consecutive pieces of an answer.
    pub between: Times,
    /// The number of answer tokens received.
    pub tokens: u64,
    /// The outcomes of run-once calls.
    pub calls: CallReport,
    /// Requests that were refused or failed, by what the caller was told.
    pub refusals: BTreeMap<Refused, u64>,
    /// How often requests were retried at another entry host.
    pub came_back: u64,
    /// Arrivals that were skipped because too many requests were in progress.
    pub left_out: u64,
    /// How many guarantees were broken.
    pub broken_count: u64,
    /// The first broken guarantees.
    pub broken: Vec<Broken>,
}

impl LoadReport {
    /// Records a broken guarantee.
    pub fn add_broken(&mut self, broken: Broken) {
        self.broken_count += 1;
        if self.broken.len() < KEPT_BROKEN {
            self.broken.push(broken);
        }
    }

    /// Records what a caller was told instead of an answer.
    pub fn add_refused(&mut self, refused: Refused) {
        *self.refusals.entry(refused).or_default() += 1;
    }

    /// Returns how many requests were sent, including calls.
    pub fn sent(&self) -> u64 {
        self.calls.sent + self.lengths.iter().map(|length| length.sent).sum::<u64>()
    }

    /// Returns how many requests were answered, including calls.
    pub fn answered(&self) -> u64 {
        self.calls.answered + self.lengths.iter().map(|length| length.answered).sum::<u64>()
    }

    /// Returns how many requests were neither answered nor refused.
    pub fn lost(&self) -> u64 {
        self.calls.lost + self.lengths.iter().map(|length| length.lost).sum::<u64>()
    }
}
