//! The limits of a customer, set in its own rule or in `limit` rules.

use super::error::ErrorList;
use super::error::RuleErrorKind;
use super::error::quoted;
use super::line::Word;
use super::options::Options;
use super::value;
use crate::state::CustomerRule;
use crate::state::Priority;

/// The words that set a limit.
pub(crate) const LIMIT_WORDS: &[&str] = &["weight", "rate", "in-flight", "priority"];

/// The maximum weight.
const MAX_WEIGHT: u32 = 1_000;

/// The weight of a customer if no rule sets it.
const DEFAULT_WEIGHT: u32 = 1;

/// The maximum rate, in tokens per second.
const MAX_RATE: u32 = 1_000_000_000;

/// The rate of a customer if no rule sets it, in tokens per second.
const DEFAULT_RATE: u32 = 10_000;

/// The maximum number of requests in flight that a rule may allow.
const MAX_IN_FLIGHT: u32 = 100_000;

/// The maximum number of requests in flight of a customer if no rule sets it.
const DEFAULT_IN_FLIGHT: u32 = 32;

/// A limit and the word that sets it; `value` is `None` if it was invalid.
#[derive(Debug, Clone, Copy)]
struct LimitSetting<'a, T> {
    word: Word<'a>,
    value: Option<T>,
}

/// The limits that one or several rules set.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Limits<'a> {
    weight: Option<LimitSetting<'a, u32>>,
    rate: Option<LimitSetting<'a, u32>>,
    in_flight: Option<LimitSetting<'a, u32>>,
    priority: Option<LimitSetting<'a, Priority>>,
}

impl<'a> Limits<'a> {
    /// Parses the limits among a rule's options.
    pub(crate) fn read(options: &Options<'a>, errors: &mut ErrorList) -> Limits<'a> {
        Limits {
            weight: read_setting(options, "weight", |word| {
                value::count(word, 1..=MAX_WEIGHT, "shares", errors)
            }),
            rate: read_setting(options, "rate", |word| value::rate(word, 1..=MAX_RATE, errors)),
            in_flight: read_setting(options, "in-flight", |word| {
                value::count(word, 1..=MAX_IN_FLIGHT, "requests", errors)
            }),
            priority: read_setting(options, "priority", |word| value::priority(word, errors)),
        }
    }

    /// Adds the limits of another rule of the same customer; each limit may be set only once.
    pub(crate) fn merge(&mut self, other: Limits<'a>, errors: &mut ErrorList) {
        merge_one(&mut self.weight, other.weight, errors);
        merge_one(&mut self.rate, other.rate, errors);
        merge_one(&mut self.in_flight, other.in_flight, errors);
        merge_one(&mut self.priority, other.priority, errors);
    }

    /// Returns the customer's rule, with defaults for limits that no rule sets, or `None` if a
    /// limit was invalid.
    pub(crate) fn rule(&self, token_hash: [u8; 32]) -> Option<CustomerRule> {
        Some(CustomerRule {
            token_hash,
            weight: self.weight.map_or(Some(DEFAULT_WEIGHT), |setting| setting.value)?,
            rate: self.rate.map_or(Some(DEFAULT_RATE), |setting| setting.value)?,
            in_flight: self.in_flight.map_or(Some(DEFAULT_IN_FLIGHT), |setting| setting.value)?,
            priority: self.priority.map_or(Some(Priority::default()), |setting| setting.value)?,
        })
    }
}

/// Parses one limit; the word is kept even if its value is invalid.
fn read_setting<'a, T>(
    options: &Options<'a>,
    name: &str,
    read: impl FnOnce(Word<'a>) -> Option<T>,
) -> Option<LimitSetting<'a, T>> {
    let word = options.word(name)?;
    let value = read(options.get(name)?);
    Some(LimitSetting { word, value })
}

/// Adds one limit, or reports an error if it was already set.
fn merge_one<'a, T>(
    first: &mut Option<LimitSetting<'a, T>>,
    second: Option<LimitSetting<'a, T>>,
    errors: &mut ErrorList,
) {
    match (&first, second) {
        (Some(first), Some(second)) => {
            let word = second.word;
            let found = format!("{} again", quoted(word.text));
            let line = first.word.position.line;
            let expected = format!("one value for the customer; line {line} sets it");
            errors.push(word.position, RuleErrorKind::Contradiction, found, expected);
        }
        (None, Some(second)) => *first = Some(second),
        (_, None) => {}
    }
}
