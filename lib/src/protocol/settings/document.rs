//! Parses the JSON object of a settings file field by field, so that each error has a position.

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::Map;
use serde_json::Value;

use super::error::FieldError;
use super::error::SettingsErrorKind;
use super::field::Field;
use super::fields::FIELDS;
use crate::protocol::position::Position;

/// Parses `text` into a JSON object that has only known fields, with defaults filled in.
pub(crate) fn read_document(text: &str) -> Result<Map<String, Value>, SettingsErrorKind> {
    let mut invalid = None;
    let mut input = serde_json::Deserializer::from_str(text);
    let fields = FieldsSeed { invalid: &mut invalid }
        .deserialize(&mut input)
        .and_then(|fields| input.end().map(|()| fields));
    let mut fields = fields.map_err(|error| locate_error(text, invalid, &error))?;
    for field in FIELDS {
        if let Some(value) = field.default_value() {
            fields.entry(field.name).or_insert(value);
        }
    }
    Ok(fields)
}

/// Returns the position of the field `name`, or of its second occurrence if `duplicate`.
///
/// A quoted name before a colon is always a field, since quotes inside strings are escaped.
pub(crate) fn field_position(text: &str, name: &str, duplicate: bool) -> Option<Position> {
    let quoted = format!("\"{name}\"");
    text.match_indices(&quoted)
        .filter(|(at, _)| text[at + quoted.len()..].trim_start().starts_with(':'))
        .nth(usize::from(duplicate))
        .map(|(at, _)| Position::at(text, at))
}

/// Adds the position to an error; serde reports only where it stopped reading.
fn locate_error(
    text: &str,
    invalid: Option<InvalidField>,
    error: &serde_json::Error,
) -> SettingsErrorKind {
    let stop_position = Position { line: error.line(), column: error.column() };
    match invalid {
        Some(InvalidField { field_error, duplicate }) => {
            let position =
                field_position(text, &field_error.field, duplicate).or(Some(stop_position));
            SettingsErrorKind::Field { position, error: field_error }
        }
        None => SettingsErrorKind::Syntax { position: stop_position, cause: syntax_cause(error) },
    }
}

/// Returns the parser's message without its position, which the error shows separately.
fn syntax_cause(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rsplit_once(" at line ") {
        Some((cause, _)) => cause.to_owned(),
        None => text,
    }
}

/// An invalid field, and whether it is the second one of its name.
struct InvalidField {
    field_error: FieldError,
    duplicate: bool,
}

/// Deserializes the object and stores the first invalid field separately, since serde's errors are
/// only text.
struct FieldsSeed<'a> {
    invalid: &'a mut Option<InvalidField>,
}

impl<'de> DeserializeSeed<'de> for FieldsSeed<'_> {
    type Value = Map<String, Value>;

    fn deserialize<D: Deserializer<'de>>(self, input: D) -> Result<Self::Value, D::Error> {
        input.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for FieldsSeed<'_> {
    type Value = Map<String, Value>;

    fn expecting(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("a JSON object with the settings")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut entries: A) -> Result<Self::Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = entries.next_key::<String>()? {
            let duplicate = fields.contains_key(&name);
            let Some(field) = find_field(&name).filter(|_| !duplicate) else {
                let field_error = FieldError::unexpected(&name, duplicate);
                *self.invalid = Some(InvalidField { field_error, duplicate });
                return Err(A::Error::custom("unexpected field"));
            };
            let value: Value = entries.next_value()?;
            if !field.accepts(&value) {
                let field_error = FieldError::of_value(field, &value);
                *self.invalid = Some(InvalidField { field_error, duplicate });
                return Err(A::Error::custom("wrong value"));
            }
            fields.insert(name, value);
        }
        Ok(fields)
    }
}

/// Returns the description of the field `name`.
fn find_field(name: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|field| field.name == name)
}
