//! Places in texts that operators write.

use std::fmt;

/// A place in a text; both numbers count from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line.
    pub line: usize,
    /// The column, in characters.
    pub column: usize,
}

impl Place {
    /// Returns the place of the character at `offset` bytes of `text`.
    pub(crate) fn at(text: &str, offset: usize) -> Place {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |at| at + 1);
        let line = before.matches('\n').count() + 1;
        Place { line, column: before[line_start..].chars().count() + 1 }
    }
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}
