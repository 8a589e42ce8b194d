//! Parses the operators' rules: one rule per line, with a comment that names who requested it.
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
//! A text is accepted or refused as a whole; a refusal lists all of its errors.

mod error;
mod limits;
mod line;
mod options;
mod parsed_rule;
mod paths;
mod rule_set;
mod value;

pub use error::MAX_ERRORS;
pub use error::RuleError;
pub use error::RuleErrorKind;

use super::position::Position;
use crate::state::Rules;
use error::ErrorList;
use line::read_line;
use parsed_rule::parse_rule;
use rule_set::RuleSet;

/// The maximum length of a rules text, in bytes; the configuration service stores no longer value.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// The maximum length of a line of a rules text, in bytes.
pub const MAX_LINE_BYTES: usize = 2_048;

/// The maximum number of rules in one text.
pub const MAX_RULES: usize = 32_768;

/// Parses and checks a rules text published as `version`; errors give `file` as its name.
///
/// Any text gives either the rules or its errors in the order of their positions.
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
    let mut errors = ErrorList::new(file);
    if text.len() > MAX_TEXT_BYTES {
        let found = format!("{} bytes", text.len());
        let expected = format!("at most {MAX_TEXT_BYTES} bytes of rules");
        errors.push(TEXT_START, RuleErrorKind::TooMuch, found, expected);
        return Err(errors.into_errors().unwrap_or_default());
    }
    let lines: Vec<_> = numbered(text)
        .filter(|(number, line)| is_short(*number, line, &mut errors))
        .filter_map(|(number, line)| read_line(number, line))
        .take(MAX_RULES + 1)
        .collect();
    let mut rule_set = RuleSet::default();
    for line in lines.iter().take(MAX_RULES) {
        if let Some(rule) = parse_rule(line, &mut errors) {
            rule_set.add(rule, &mut errors);
        }
    }
    if let Some(line) = lines.get(MAX_RULES) {
        let expected = format!("at most {MAX_RULES} rules");
        errors.push(line.end, RuleErrorKind::TooMuch, "one more rule", expected);
    }
    if lines.is_empty() {
        errors.push(TEXT_START, RuleErrorKind::MissingWord, "no rule", "at least one rule");
    }
    rule_set.check(&mut errors);
    match errors.into_errors() {
        Some(errors) => Err(errors),
        None => Ok(rule_set.into_rules(version)),
    }
}

/// The position of errors that concern the whole text.
const TEXT_START: Position = Position { line: 1, column: 1 };

/// Returns the lines, numbered from one.
fn numbered(text: &str) -> impl Iterator<Item = (usize, &str)> {
    text.lines().enumerate().map(|(index, line)| (index + 1, line))
}

/// Returns whether a line is short enough to parse, and reports an error if not.
fn is_short(number: usize, line: &str, errors: &mut ErrorList) -> bool {
    if line.len() > MAX_LINE_BYTES {
        let found = format!("a line of {} bytes", line.len());
        let expected = format!("at most {MAX_LINE_BYTES} bytes a line");
        let position = Position { line: number, column: 1 };
        errors.push(position, RuleErrorKind::TooMuch, found, expected);
    }
    line.len() <= MAX_LINE_BYTES
}
