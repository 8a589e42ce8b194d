//! The operators' rules as text: one rule a line, each with a comment that names who asked for it.
//!
//! ```text
//! customer acme token blake3:… weight 4 rate 20000/s in-flight 64 priority normal  # Jo, ticket 12
//! limit globex rate 5000/s                                                         # Sam
//! model assistant revision 7 max-prompt 1000000 deadline 120s adapters a,b         # Ann
//! service enrolment path /enrolment deadline 10s                                   # Ann
//! repeatable enrolment GET /plans                                                  # Jo
//! engine gpu-a* role any models assistant                                          # Sam
//! ```
//!
//! A text is taken whole or refused whole, with every mistake in it.

mod draft;
mod error;
mod limits;
mod line;
mod options;
mod paths;
mod value;
mod whole;

pub use error::MAX_ERRORS;
pub use error::RuleError;
pub use error::RuleFault;

use super::place::Place;
use crate::state::Rules;
use draft::read_draft;
use error::Faults;
use line::read_line;
use whole::Whole;

/// The longest rules text, in bytes; the configuration service holds no longer value.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// The longest line of a rules text, in bytes.
pub const MAX_LINE_BYTES: usize = 2_048;

/// The most rules in one text.
pub const MAX_RULES: usize = 32_768;

/// Reads and checks a rules text that was published under `version`; errors call it `file`.
///
/// Any text gives either the rules or all that is wrong with it, in the order of the lines.
///
/// ```
/// use wasabicrank_lib::protocol::parse_rules;
/// let token = "ab".repeat(32);
/// let text = format!("customer acme token blake3:{token} weight 4  # Jo, ticket 12");
/// let rules = parse_rules(7, "cotisa.rules", &text).unwrap();
/// assert_eq!((rules.version, rules.customers[0].weight), (7, 4));
///
/// let errors = parse_rules(8, "cotisa.rules", &text.replace("weight", "wieght")).unwrap_err();
/// let message = errors[0].to_string();
/// assert!(message.ends_with(": found `wieght`, expected `weight`"), "{message}");
/// ```
pub fn parse(version: u64, file: &str, text: &str) -> Result<Rules, Vec<RuleError>> {
    let mut faults = Faults::new(file);
    if text.len() > MAX_TEXT_BYTES {
        let found = format!("{} bytes", text.len());
        let expected = format!("at most {MAX_TEXT_BYTES} bytes of rules");
        faults.push(START, RuleFault::TooMuch, found, expected);
        return Err(faults.into_errors().unwrap_or_default());
    }
    let lines: Vec<_> = numbered(text)
        .filter(|(number, line)| is_short(*number, line, &mut faults))
        .filter_map(|(number, line)| read_line(number, line))
        .take(MAX_RULES + 1)
        .collect();
    let mut whole = Whole::default();
    for line in lines.iter().take(MAX_RULES) {
        if let Some(draft) = read_draft(line, &mut faults) {
            whole.add(draft, &mut faults);
        }
    }
    if let Some(line) = lines.get(MAX_RULES) {
        let expected = format!("at most {MAX_RULES} rules");
        faults.push(line.end, RuleFault::TooMuch, "one more rule", expected);
    }
    if lines.is_empty() {
        faults.push(START, RuleFault::MissingWord, "no rule", "at least one rule");
    }
    whole.check(&mut faults);
    match faults.into_errors() {
        Some(errors) => Err(errors),
        None => Ok(whole.into_rules(version)),
    }
}

/// The place of mistakes that concern the whole text.
const START: Place = Place { line: 1, column: 1 };

/// Returns the lines with their numbers from one.
fn numbered(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines().enumerate().map(|(index, line)| (index + 1, line))
}

/// Refuses a line that is too long to be read.
fn is_short(number: usize, line: &str, faults: &mut Faults) -> bool {
    if line.len() > MAX_LINE_BYTES {
        let found = format!("a line of {} bytes", line.len());
        let expected = format!("at most {MAX_LINE_BYTES} bytes a line");
        let place = Place { line: number, column: 1 };
        faults.push(place, RuleFault::TooMuch, found, expected);
    }
    line.len() <= MAX_LINE_BYTES
}
