//! What can be wrong with a rules text, and the list that gathers it.

use std::fmt;
use std::sync::Arc;

use super::line::Word;
use crate::protocol::place::Place;

/// The most errors that one reading reports; more would only hide the first.
pub const MAX_ERRORS: usize = 1_000;

/// The most characters of the text that a message repeats.
const SHOWN_CHARS: usize = 60;

/// One mistake in a rules text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleError {
    /// The name of the text.
    pub file: Arc<str>,
    /// Where the mistake stands.
    pub place: Place,
    /// The sort of mistake.
    pub fault: RuleFault,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

/// The sorts of mistakes in a rules text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RuleFault {
    /// A rule has no comment that names who asked for it.
    MissingComment,
    /// A word has no meaning where it stands.
    UnknownWord,
    /// A word that the rule needs is not there.
    MissingWord,
    /// A value has not the form or range that its word needs.
    BadValue,
    /// Something stands a second time.
    Duplicate,
    /// A rule contradicts another.
    Contradiction,
    /// A rule refers to a customer, model or service that has no rule.
    UnknownName,
    /// A rule can never take effect because of another.
    Unreachable,
    /// The text or a line is too long, or there are too many rules or errors.
    TooMuch,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RuleError { file, place, found, expected, .. } = self;
        write!(f, "{file}:{place}: found {found}, expected {expected}")
    }
}

impl std::error::Error for RuleError {}

/// Gathers the mistakes of one text.
#[derive(Debug)]
pub(crate) struct Faults {
    file: Arc<str>,
    errors: Vec<RuleError>,
    dropped: usize,
}

impl Faults {
    /// Starts an empty list for the text called `file`.
    pub(crate) fn new(file: &str) -> Faults {
        Faults { file: Arc::from(file), errors: Vec::new(), dropped: 0 }
    }

    /// Adds a mistake at `place`.
    pub(crate) fn push(
        &mut self,
        place: Place,
        fault: RuleFault,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        if self.errors.len() >= MAX_ERRORS {
            self.dropped += 1;
            return;
        }
        let file = Arc::clone(&self.file);
        let (found, expected) = (found.into(), expected.into());
        self.errors.push(RuleError { file, place, fault, found, expected });
    }

    /// Adds a mistake in one word, which is shown as what was found.
    pub(crate) fn push_word(
        &mut self,
        word: Word<'_>,
        fault: RuleFault,
        expected: impl Into<String>,
    ) {
        self.push(word.place, fault, quoted(word.text), expected);
    }

    /// Returns the mistakes in the order of their places, or nothing if there are none.
    pub(crate) fn into_errors(mut self) -> Option<Vec<RuleError>> {
        if self.errors.is_empty() {
            return None;
        }
        self.errors.sort_by_key(|error| error.place);
        if let (true, Some(last)) = (self.dropped > 0, self.errors.last()) {
            let found = format!("{} more errors", self.dropped);
            let expected = format!("at most {MAX_ERRORS}");
            let (file, place) = (Arc::clone(&self.file), last.place);
            let fault = RuleFault::TooMuch;
            self.errors.push(RuleError { file, place, fault, found, expected });
        }
        Some(self.errors)
    }
}

/// Returns `text` in back quotes, cut to a bounded length and with control characters escaped.
pub(crate) fn quoted(text: &str) -> String {
    let shown: String = text.chars().take(SHOWN_CHARS).collect();
    let more = if shown.len() < text.len() { "…" } else { "" };
    format!("`{}{more}`", shown.escape_debug())
}
