//! Parses a published configuration for the core, which does not depend on the text format.

use super::rules_text;
use crate::coordination::RulesParser;
use crate::state::Rules;

/// The file name of the published rules in error messages.
const PUBLISHED_NAME: &str = "rules";

/// The parser of the rules text, for the core.
///
/// ```
/// use wasabicrank_lib::coordination::RulesParser;
/// use wasabicrank_lib::protocol::RulesReader;
/// let errors = RulesReader.parse(3, "customer acme\n").unwrap_err();
/// assert!(errors[0].starts_with("rules:1:"));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct RulesReader;

impl RulesParser for RulesReader {
    fn parse(&self, version: u64, text: &str) -> Result<Rules, Vec<String>> {
        rules_text::parse(version, PUBLISHED_NAME, text)
            .map_err(|errors| errors.iter().map(ToString::to_string).collect())
    }
}
