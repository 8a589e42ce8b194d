//! Limits of what a message may hold, and lists and texts that keep to them.

use std::fmt;
use std::marker::PhantomData;
use std::time::Duration;

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde::de::SeqAccess;
use serde::de::Visitor;

use super::WireError;

/// The longest name of a host, engine, customer, model or target, in bytes.
pub const MAX_NAME_BYTES: usize = 255;
/// The longest path of a call with its query, in bytes.
pub const MAX_PATH_BYTES: usize = 8 * 1024;
/// The longest text of a configuration, or of all lines that a delta inserts, in bytes.
pub const MAX_CONFIG_BYTES: usize = 1024 * 1024;
/// The most engines, customers or targets in one heartbeat.
pub const MAX_REPORTED: usize = 16 * 1024;
/// The most models that one engine reports.
pub const MAX_MODELS: usize = 64;
/// The most shards that one message names.
pub const MAX_SHARDS: usize = 64 * 1024;
/// The most sets of entry hosts that one lease message names.
pub const MAX_SETS: usize = 64;
/// The most blocks of one prompt.
pub const MAX_BLOCKS: usize = 4 * 1024;
/// The most claims in one hand-over.
pub const MAX_CLAIMS: usize = 64 * 1024;
/// The most edits in a configuration's delta.
pub const MAX_EDITS: usize = 64 * 1024;
/// The most lines that all edits of a delta insert together.
pub const MAX_LINES: usize = 128 * 1024;
/// The longest message of a kind that brings no body of a call or reply, in bytes.
pub const MAX_PLAIN_BYTES: usize = MAX_CONFIG_BYTES + 64 * 1024;

/// A list of at most `MAX` items.
#[derive(Debug, PartialEq)]
pub(crate) struct List<T, const MAX: usize>(pub(crate) Vec<T>);

impl<T, const MAX: usize> FromIterator<T> for List<T, MAX> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        List(items.into_iter().collect())
    }
}

impl<T: Serialize, const MAX: usize> Serialize for List<T, MAX> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<'de, T: Deserialize<'de>, const MAX: usize> Deserialize<'de> for List<T, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ListVisitor(PhantomData))
    }
}

struct ListVisitor<T, const MAX: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for ListVisitor<T, MAX> {
    type Value = List<T, MAX>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        if items.size_hint().is_some_and(|announced| announced > MAX) {
            return Err(A::Error::custom("the list is too long"));
        }
        // The announced length is not trusted: memory grows with the items that are really there.
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            if list.len() == MAX {
                return Err(A::Error::custom("the list is too long"));
            }
            list.push(item);
        }
        Ok(List(list))
    }
}

/// Checks that `text` has at most `limit` bytes.
pub(crate) fn bounded(text: &str, limit: usize) -> Result<&str, WireError> {
    if text.len() > limit {
        return Err(WireError::TextTooLong { found: text.len(), limit });
    }
    Ok(text)
}

/// Checks that `text` can be a name.
pub(crate) fn name(text: &str) -> Result<&str, WireError> {
    if text.is_empty() {
        return Err(WireError::EmptyName);
    }
    bounded(text, MAX_NAME_BYTES)
}

/// Returns `span` in whole microseconds, as it travels.
pub(crate) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Turns each item into its core type, or returns the first error.
pub(crate) fn convert<W, T, const MAX: usize>(list: List<W, MAX>) -> Result<Vec<T>, WireError>
where
    T: TryFrom<W, Error = WireError>,
{
    list.0.into_iter().map(T::try_from).collect()
}
