//! What can be wrong with a settings file.

use std::fmt;

use serde_json::Value;

use super::field::Field;
use super::fields::FIELDS;
use crate::protocol::place::Place;
use crate::protocol::spelling::nearest;

/// Says that settings could not be read, in one line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// The settings file.
    pub file: String,
    /// What is wrong with it.
    pub fault: SettingsFault,
}

/// What is wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsFault {
    /// The file cannot be read.
    Unreadable {
        /// What the operating system says.
        cause: String,
    },
    /// The text is not a JSON object.
    Syntax {
        /// Where reading stopped.
        place: Place,
        /// What the parser says.
        cause: String,
    },
    /// A field is wrong, missing or does not go with another.
    Field {
        /// Where the field stands; a missing field has no place.
        place: Option<Place>,
        /// What is wrong.
        fault: FieldFault,
    },
}

/// What is wrong with one field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldFault {
    /// The field.
    pub field: String,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
}

impl FieldFault {
    /// Says that a field is unknown, or stands twice.
    pub(crate) fn unexpected(name: &str, twice: bool) -> FieldFault {
        let (found, expected) = match (twice, nearest(name, FIELDS.iter().map(|field| field.name)))
        {
            (true, _) => ("the field a second time", "each field once".to_owned()),
            (false, Some(near)) => ("an unknown field", format!("perhaps `{near}`")),
            (false, None) => {
                ("an unknown field", "a field that `wasabicrank settings` lists".to_owned())
            }
        };
        FieldFault { field: name.to_owned(), found: found.to_owned(), expected }
    }

    /// Says that a value has not its field's form.
    pub(crate) fn of_value(field: &Field, value: &Value) -> FieldFault {
        FieldFault {
            field: field.name.to_owned(),
            found: field.show(value),
            expected: field.expected(),
        }
    }

    /// Says that a field is missing.
    pub(crate) fn missing(field: &Field) -> FieldFault {
        FieldFault {
            field: field.name.to_owned(),
            found: "nothing".to_owned(),
            expected: field.expected(),
        }
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = &self.file;
        match &self.fault {
            SettingsFault::Unreadable { cause } => write!(f, "{file}: cannot be read: {cause}"),
            SettingsFault::Syntax { place, cause } => {
                write!(f, "{file}:{place}: not a JSON object: {cause}")
            }
            SettingsFault::Field { place: Some(place), fault } => {
                write!(f, "{file}:{place}: {fault}")
            }
            SettingsFault::Field { place: None, fault } => write!(f, "{file}: {fault}"),
        }
    }
}

impl fmt::Display for FieldFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: found {}, expected {}", self.field, self.found, self.expected)
    }
}

impl std::error::Error for SettingsError {}
