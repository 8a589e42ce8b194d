//! Errors in a settings file.

use std::fmt;

use serde_json::Value;

use super::field::Field;
use super::fields::FIELDS;
use crate::protocol::position::Position;
use crate::protocol::spelling::nearest;

/// An error in a settings file; its message is one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The settings file.
    pub file: String,
    /// The kind of error.
    pub kind: SettingsErrorKind,
}

/// The kinds of errors in a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsErrorKind {
    /// The file cannot be read.
    Unreadable {
        /// The operating system's message.
        cause: String,
    },
    /// The text is not a JSON object.
    Syntax {
        /// The position at which parsing stopped.
        position: Position,
        /// The parser's message.
        cause: String,
    },
    /// A field is invalid, missing or inconsistent with another.
    Field {
        /// The position of the field; a missing field has none.
        position: Option<Position>,
        /// The error in the field.
        error: FieldError,
    },
}

/// An error in one field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// The field.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl FieldError {
    /// Creates the error of a field that is unknown or given twice.
    pub(crate) fn unexpected(name: &str, twice: bool) -> FieldError {
        let (found, expected) = match (twice, nearest(name, FIELDS.iter().map(|field| field.name)))
        {
            (true, _) => ("the field a second time", "each field once".to_owned()),
            (false, Some(near)) => ("an unknown field", format!("perhaps `{near}`")),
            (false, None) => {
                ("an unknown field", "a field that `wasabicrank settings` lists".to_owned())
            }
        };
        FieldError { field: name.to_owned(), found: found.to_owned(), expected }
    }

    /// Creates the error of a value that its field does not accept.
    pub(crate) fn of_value(field: &Field, value: &Value) -> FieldError {
        FieldError {
            field: field.name.to_owned(),
            found: field.show(value),
            expected: field.expected(),
        }
    }

    /// Creates the error of a missing field.
    pub(crate) fn missing(field: &Field) -> FieldError {
        FieldError {
            field: field.name.to_owned(),
            found: "nothing".to_owned(),
            expected: field.expected(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = &self.file;
        match &self.kind {
            SettingsErrorKind::Unreadable { cause } => write!(f, "{file}: cannot be read: {cause}"),
            SettingsErrorKind::Syntax { position, cause } => {
                write!(f, "{file}:{position}: not a JSON object: {cause}")
            }
            SettingsErrorKind::Field { position: Some(position), error } => {
                write!(f, "{file}:{position}: {error}")
            }
            SettingsErrorKind::Field { position: None, error } => write!(f, "{file}: {error}"),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, expected {}", self.field, self.found, self.expected)
    }
}

impl std::error::Error for SettingsError {}
