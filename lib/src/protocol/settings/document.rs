//! Reads a settings file's JSON object field by field, so that each mistake is named with its place.

use serde::de::DeserializeSeed;
use serde::de::Deserializer;
use serde::de::Error;
use serde::de::MapAccess;
use serde::de::Visitor;
use serde_json::Map;
use serde_json::Value;

use super::error::FieldFault;
use super::error::SettingsFault;
use super::field::Field;
use super::fields::FIELDS;
use crate::protocol::place::Place;

/// Reads `text` into a JSON object that has every field with a default and only known ones.
pub(crate) fn read_document(text: &str) -> Result<Map<String, Value>, SettingsFault> {
    let mut wrong = None;
    let mut input = serde_json::Deserializer::from_str(text);
    let fields = FieldsSeed { wrong: &mut wrong }
        .deserialize(&mut input)
        .and_then(|fields| input.end().map(|()| fields));
    let mut fields = fields.map_err(|error| located(text, wrong, &error))?;
    for field in FIELDS {
        if let Some(value) = field.default_value() {
            fields.entry(field.name).or_insert(value);
        }
    }
    Ok(fields)
}

/// Returns the place of the field called `name`, or of its second occurrence.
///
/// A quoted name before a colon is always a field: inside of texts quotes are escaped.
pub(crate) fn field_place(text: &str, name: &str, second: bool) -> Option<Place> {
    let quoted = format!("\"{name}\"");
    text.match_indices(&quoted)
        .filter(|(at, _)| text[at + quoted.len()..].trim_start().starts_with(':'))
        .nth(usize::from(second))
        .map(|(at, _)| Place::at(text, at))
}

/// Joins what was wrong with its place; serde knows only where it stopped reading.
fn located(text: &str, wrong: Option<WrongField>, error: &serde_json::Error) -> SettingsFault {
    let stopped = Place { line: error.line(), column: error.column() };
    match wrong {
        Some(WrongField { fault, second }) => {
            let place = field_place(text, &fault.field, second).or(Some(stopped));
            SettingsFault::Field { place, fault }
        }
        None => SettingsFault::Syntax { place: stopped, cause: syntax_cause(error) },
    }
}

/// Returns the parser's message without the place, which is shown before it.
fn syntax_cause(error: &serde_json::Error) -> String {
    let text = error.to_string();
    match text.rsplit_once(" at line ") {
        Some((cause, _)) => cause.to_owned(),
        None => text,
    }
}

/// A wrong field, and whether it is the second of its name.
struct WrongField {
    fault: FieldFault,
    second: bool,
}

/// Reads the object and keeps the first wrong field aside, since serde's errors are only text.
struct FieldsSeed<'a> {
    wrong: &'a mut Option<WrongField>,
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
            let second = fields.contains_key(&name);
            let Some(field) = find_field(&name).filter(|_| !second) else {
                let fault = FieldFault::unexpected(&name, second);
                *self.wrong = Some(WrongField { fault, second });
                return Err(A::Error::custom("unexpected field"));
            };
            let value: Value = entries.next_value()?;
            if !field.accepts(&value) {
                let fault = FieldFault::of_value(field, &value);
                *self.wrong = Some(WrongField { fault, second });
                return Err(A::Error::custom("wrong value"));
            }
            fields.insert(name, value);
        }
        Ok(fields)
    }
}

/// Returns the description of the field called `name`.
fn find_field(name: &str) -> Option<&'static Field> {
    FIELDS.iter().find(|field| field.name == name)
}
