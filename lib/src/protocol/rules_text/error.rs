//! Errors in a rules text, and the list that collects them.

use std::fmt;
use std::sync::Arc;

use super::line::Word;
use crate::protocol::position::Position;

/// The maximum number of errors reported for one text; more would only hide the first ones.
pub const MAX_ERRORS: usize = 1_000;

/// The maximum number of characters that a message quotes from the text.
const MAX_QUOTED_CHARS: usize = 60;

/// An error in a rules text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleError {
    /// The name of the text.
    pub file: Arc<str>,
    /// The position of the error.
    pub position: Position,
    /// The kind of error.
    pub kind: RuleErrorKind,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

/// The kinds of errors in a rules text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum RuleErrorKind {
    /// A rule has no comment that names who requested it.
    MissingComment,
    /// A word is not known at its position.
    UnknownWord,
    /// A word that the rule requires is missing.
    MissingWord,
    /// A value has the wrong format or is out of range.
    BadValue,
    /// Something is given a second time.
    Duplicate,
    /// A rule contradicts another.
    Contradiction,
    /// A rule refers to a customer, model or service that no rule defines.
    UnknownName,
    /// A rule can never take effect because of another.
    Unreachable,
    /// The text or a line is too long, or there are too many rules or errors.
    TooMuch,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let RuleError { file, position, found, expected, .. } = self;
        write!(f, "{file}:{position}: found {found}, expected {expected}")
    }
}

impl std::error::Error for RuleError {}

/// Collects the errors of one text.
#[derive(Debug)]
pub(crate) struct ErrorList {
    file: Arc<str>,
    errors: Vec<RuleError>,
    dropped: usize,
}

impl ErrorList {
    /// Creates an empty list for the text named `file`.
    pub(crate) fn new(file: &str) -> ErrorList {
        ErrorList { file: Arc::from(file), errors: Vec::new(), dropped: 0 }
    }

    /// Adds an error at `position`.
    pub(crate) fn push(
        &mut self,
        position: Position,
        kind: RuleErrorKind,
        found: impl Into<String>,
        expected: impl Into<String>,
    ) {
        if self.errors.len() >= MAX_ERRORS {
            self.dropped += 1;
            return;
        }
        let file = Arc::clone(&self.file);
        let (found, expected) = (found.into(), expected.into());
        self.errors.push(RuleError { file, position, kind, found, expected });
    }

    /// Adds an error at one word, which the message quotes as found.
    pub(crate) fn push_word(
        &mut self,
        word: Word<'_>,
        kind: RuleErrorKind,
        expected: impl Into<String>,
    ) {
        self.push(word.position, kind, quoted(word.text), expected);
    }

    /// Returns the errors in the order of their positions, or `None` if there are none.
    pub(crate) fn into_errors(mut self) -> Option<Vec<RuleError>> {
        if self.errors.is_empty() {
            return None;
        }
        self.errors.sort_by_key(|error| error.position);
        if let (true, Some(last)) = (self.dropped > 0, self.errors.last()) {
            let found = format!("{} more errors", self.dropped);
            let expected = format!("at most {MAX_ERRORS}");
            let (file, position) = (Arc::clone(&self.file), last.position);
            let kind = RuleErrorKind::TooMuch;
            self.errors.push(RuleError { file, position, kind, found, expected });
        }
        Some(self.errors)
    }
}

/// Returns `text` in backquotes, truncated and with control characters escaped.
pub(crate) fn quoted(text: &str) -> String {
    let shown: String = text.chars().take(MAX_QUOTED_CHARS).collect();
    let more = if shown.len() < text.len() { "…" } else { "" };
    format!("`{}{more}`", shown.escape_debug())
}
