//! Reads a published configuration for the core, which knows nothing of its text.

use super::rules_text;
use crate::coordination::RulesParser;
use crate::state::Rules;

/// The name by which operators know the published rules in error messages.
const PUBLISHED_NAME: &str = "rules";

/// Reads the rules' text.
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
