//! The description of one settings field: its value format, unit, default and meaning.

use std::fmt;
use std::net::IpAddr;
use std::net::SocketAddr;

use serde_json::Value;

/// The number of hex digits in a peer key.
const KEY_HEX_DIGITS: usize = 64;

/// The maximum number of characters that a message quotes from an invalid value.
const MAX_QUOTED_CHARS: usize = 40;

/// One field of the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Field {
    /// Its name in the file.
    pub name: &'static str,
    /// The format of its value.
    pub form: Form,
    /// The unit of its value; empty if it has none.
    pub unit: &'static str,
    /// The value used if the file does not have the field.
    pub default: Preset,
    /// An example value for a field without a default, as JSON text; empty if there is none.
    pub sample: &'static str,
    /// Its purpose, in one sentence.
    pub meaning: &'static str,
}

/// The format that a field's value must have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Form {
    /// Any text.
    Text,
    /// A name of letters, digits, `-`, `_` and `.`.
    Name,
    /// The IP address of one host.
    Ip,
    /// An IP address with a port.
    Address,
    /// A list of IP addresses with ports.
    Addresses,
    /// A secret key of 64 hex digits, which messages never quote.
    Key,
    /// The path of a file.
    File,
    /// One of the given words.
    Word(&'static [&'static str]),
    /// A whole number in an inclusive range.
    Number {
        /// The minimum value.
        min: u64,
        /// The maximum value.
        max: u64,
    },
}

/// The default of a field that the settings file does not have.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preset {
    /// The field must be given.
    Required,
    /// The field stays unset.
    Absent,
    /// An empty list.
    Empty,
    /// A text.
    Text(&'static str),
    /// A number.
    Number(u64),
}

impl Field {
    /// Returns the default as a JSON value, if the field has one.
    pub fn default_value(&self) -> Option<Value> {
        match self.default {
            Preset::Required | Preset::Absent => None,
            Preset::Empty => Some(Value::Array(Vec::new())),
            Preset::Text(text) => Some(Value::from(text)),
            Preset::Number(number) => Some(Value::from(number)),
        }
    }

    /// Returns the expected value and its unit, in the wording of error messages.
    ///
    /// ```
    /// use wasabicrank_lib::protocol::FIELDS;
    /// let field = FIELDS.iter().find(|field| field.name == "heartbeat_ms").unwrap();
    /// assert_eq!(field.expected(), "a whole number from 10 to 5000 (milliseconds)");
    /// ```
    pub fn expected(&self) -> String {
        match self.unit {
            "" => self.form.to_string(),
            unit => format!("{} ({unit})", self.form),
        }
    }

    /// Returns whether `value` has the field's format and is in its range.
    pub(crate) fn accepts(&self, value: &Value) -> bool {
        self.form.accepts(value)
    }

    /// Returns an invalid value as text for a message, without revealing a secret.
    pub(crate) fn show(&self, value: &Value) -> String {
        if self.form == Form::Key {
            return match value {
                Value::String(text) => format!("a text of {} characters", text.chars().count()),
                _ => "another type".to_owned(),
            };
        }
        let text = value.to_string();
        match text.char_indices().nth(MAX_QUOTED_CHARS) {
            Some((end, _)) => format!("{}…", &text[..end]),
            None => text,
        }
    }
}

impl Form {
    /// Returns whether `value` has this format.
    fn accepts(self, value: &Value) -> bool {
        match self {
            Form::Text => value.is_string(),
            Form::Name => value.as_str().is_some_and(is_name),
            Form::Ip => value.as_str().is_some_and(is_host_ip),
            Form::Address => value.as_str().is_some_and(is_address),
            Form::Addresses => value.as_array().is_some_and(|list| is_address_list(list)),
            Form::Key => value.as_str().is_some_and(is_key),
            Form::File => value.as_str().is_some_and(|path| !path.is_empty()),
            Form::Word(words) => value.as_str().is_some_and(|word| words.contains(&word)),
            Form::Number { min, max } => {
                value.as_u64().is_some_and(|number| (min..=max).contains(&number))
            }
        }
    }
}

impl fmt::Display for Form {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Form::Text => f.write_str("a text"),
            Form::Name => f.write_str("a name of 1 to 64 letters, digits, `-`, `_` or `.`"),
            Form::Ip => f.write_str("the IP number of one host, such as \"10.0.1.5\""),
            Form::Address => f.write_str("an IP number and port, such as \"10.0.1.5:7000\""),
            Form::Addresses => {
                f.write_str("a list of IP numbers with ports, such as [\"10.0.1.5:7000\"]")
            }
            Form::Key => write!(f, "a text of {KEY_HEX_DIGITS} hex digits"),
            Form::File => f.write_str("the path of a file"),
            Form::Word(words) => write!(f, "one of \"{}\"", words.join("\", \"")),
            Form::Number { min, max } => write!(f, "a whole number from {min} to {max}"),
        }
    }
}

/// Returns whether `text` can name a host or zone.
fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=64).contains(&text.len()) && text.bytes().all(allowed)
}

/// Returns whether `text` is an IP address that one host can have.
fn is_host_ip(text: &str) -> bool {
    text.parse().is_ok_and(|ip: IpAddr| !ip.is_unspecified() && !ip.is_multicast())
}

/// Returns whether `text` is an IP address with a port that can be connected to.
fn is_address(text: &str) -> bool {
    text.parse().is_ok_and(|addr: SocketAddr| {
        !addr.ip().is_unspecified() && !addr.ip().is_multicast() && addr.port() != 0
    })
}

/// Returns whether every entry of `list` is an address.
fn is_address_list(list: &[Value]) -> bool {
    list.iter().all(|entry| entry.as_str().is_some_and(is_address))
}

/// Returns whether `text` is a key in hex digits.
pub(crate) fn is_key(text: &str) -> bool {
    text.len() == KEY_HEX_DIGITS && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
