//! The limits of a customer, which stand in its own rule or in `limit` rules.

use super::error::Faults;
use super::error::RuleFault;
use super::error::quoted;
use super::line::Word;
use super::options::Options;
use super::value;
use crate::state::CustomerRule;
use crate::state::Priority;

/// The words that set a limit.
pub(crate) const LIMIT_WORDS: &[&str] = &["weight", "rate", "in-flight", "priority"];

/// The greatest weight.
const MOST_WEIGHT: u32 = 1_000;

/// The weight of a customer without one.
const DEFAULT_WEIGHT: u32 = 1;

/// The greatest rate, in tokens a second.
const MOST_RATE: u32 = 1_000_000_000;

/// The rate of a customer without one, in tokens a second.
const DEFAULT_RATE: u32 = 10_000;

/// The most requests in flight that a rule may allow.
const MOST_IN_FLIGHT: u32 = 100_000;

/// The requests in flight of a customer without a limit of its own.
const DEFAULT_IN_FLIGHT: u32 = 32;

/// A limit and the word that sets it.
#[derive(Debug, Clone, Copy)]
struct Given<'a, T> {
    word: Word<'a>,
    value: Option<T>,
}

/// The limits that one rule sets, or several together.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Limits<'a> {
    weight: Option<Given<'a, u32>>,
    rate: Option<Given<'a, u32>>,
    in_flight: Option<Given<'a, u32>>,
    priority: Option<Given<'a, Priority>>,
}

impl<'a> Limits<'a> {
    /// Takes the limits out of a rule's words.
    pub(crate) fn read(options: &Options<'a>, faults: &mut Faults) -> Limits<'a> {
        Limits {
            weight: given(options, "weight", |word| {
                value::count(word, 1..=MOST_WEIGHT, "shares", faults)
            }),
            rate: given(options, "rate", |word| value::rate(word, 1..=MOST_RATE, faults)),
            in_flight: given(options, "in-flight", |word| {
                value::count(word, 1..=MOST_IN_FLIGHT, "requests", faults)
            }),
            priority: given(options, "priority", |word| value::priority(word, faults)),
        }
    }

    /// Adds what another rule of the same customer sets; each limit may be set only once.
    pub(crate) fn merge(&mut self, other: Limits<'a>, faults: &mut Faults) {
        merge_one(&mut self.weight, other.weight, faults);
        merge_one(&mut self.rate, other.rate, faults);
        merge_one(&mut self.in_flight, other.in_flight, faults);
        merge_one(&mut self.priority, other.priority, faults);
    }

    /// Returns the customer's rule, with defaults for limits that no rule sets.
    pub(crate) fn rule(&self, token_hash: [u8; 32]) -> Option<CustomerRule> {
        Some(CustomerRule {
            token_hash,
            weight: self.weight.map_or(Some(DEFAULT_WEIGHT), |given| given.value)?,
            rate: self.rate.map_or(Some(DEFAULT_RATE), |given| given.value)?,
            in_flight: self.in_flight.map_or(Some(DEFAULT_IN_FLIGHT), |given| given.value)?,
            priority: self.priority.map_or(Some(Priority::default()), |given| given.value)?,
        })
    }
}

/// Reads one limit, keeping its word also when its value is wrong.
fn given<'a, T>(
    options: &Options<'a>,
    name: &str,
    read: impl FnOnce(Word<'a>) -> Option<T>,
) -> Option<Given<'a, T>> {
    let word = options.word(name)?;
    let value = read(options.get(name)?);
    Some(Given { word, value })
}

/// Adds one limit, or says that it was set before.
fn merge_one<'a, T>(
    first: &mut Option<Given<'a, T>>,
    second: Option<Given<'a, T>>,
    faults: &mut Faults,
) {
    match (&first, second) {
        (Some(first), Some(second)) => {
            let word = second.word;
            let found = format!("{} again", quoted(word.text));
            let line = first.word.place.line;
            let expected = format!("one value for the customer; line {line} sets it");
            faults.push(word.place, RuleFault::Contradiction, found, expected);
        }
        (None, Some(second)) => *first = Some(second),
        (_, None) => {}
    }
}
