//! Size limits of a message's contents, and the list type and checks that enforce them.

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

/// Maximum length of the name of a host, engine, customer, model or target.
pub const MAX_NAME_BYTES: usize = 255;
/// Maximum length of a call's path including its query.
pub const MAX_PATH_BYTES: usize = 8 * 1024;
/// Maximum length of a configuration's text, or of all lines that a delta inserts.
pub const MAX_CONFIG_BYTES: usize = 1024 * 1024;
/// Maximum number of engines, customers or targets in one heartbeat, and of entries of each kind
/// in one live list.
pub const MAX_ENTRIES: usize = 16 * 1024;
/// Maximum number of models that one engine reports.
pub const MAX_MODELS: usize = 64;
/// Maximum number of shards in each list of shards of one message.
pub const MAX_SHARDS: usize = 64 * 1024;
/// Maximum number of sets of entry hosts in one lease message.
pub const MAX_SETS: usize = 64;
/// Maximum number of blocks of one prompt.
pub const MAX_BLOCKS: usize = 4 * 1024;
/// Maximum number of claims in one hand-over.
pub const MAX_CLAIMS: usize = 64 * 1024;
/// Maximum number of edits in a configuration delta.
pub const MAX_EDITS: usize = 64 * 1024;
/// Maximum number of lines that all edits of a delta insert together.
pub const MAX_LINES: usize = 128 * 1024;
/// Maximum length of a message of a kind that carries no body of a call or reply.
pub const MAX_PLAIN_BYTES: usize = MAX_CONFIG_BYTES + 64 * 1024;

/// A list of at most `MAX` items.
#[derive(Debug, PartialEq)]
pub(crate) struct BoundedList<T, const MAX: usize>(pub(crate) Vec<T>);

impl<T, const MAX: usize> FromIterator<T> for BoundedList<T, MAX> {
    fn from_iter<I: IntoIterator<Item = T>>(items: I) -> Self {
        BoundedList(items.into_iter().collect())
    }
}

impl<T: Serialize, const MAX: usize> Serialize for BoundedList<T, MAX> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.0.serialize(serializer)
    }
}

impl<'de, T: Deserialize<'de>, const MAX: usize> Deserialize<'de> for BoundedList<T, MAX> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(ListVisitor(PhantomData))
    }
}

struct ListVisitor<T, const MAX: usize>(PhantomData<T>);

impl<'de, T: Deserialize<'de>, const MAX: usize> Visitor<'de> for ListVisitor<T, MAX> {
    type Value = BoundedList<T, MAX>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a list of at most {MAX} items")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut items: A) -> Result<Self::Value, A::Error> {
        if items.size_hint().is_some_and(|declared| declared > MAX) {
            return Err(A::Error::custom("the list is too long"));
        }
        // The declared length is not trusted: memory grows only with the items that are decoded.
        let mut list = Vec::new();
        while let Some(item) = items.next_element()? {
            if list.len() == MAX {
                return Err(A::Error::custom("the list is too long"));
            }
            list.push(item);
        }
        Ok(BoundedList(list))
    }
}

/// Checks that `text` has at most `limit` bytes.
pub(crate) fn check_text(text: &str, limit: usize) -> Result<&str, WireError> {
    if text.len() > limit {
        return Err(WireError::TextTooLong { found: text.len(), limit });
    }
    Ok(text)
}

/// Checks that `text` is not empty and at most [`MAX_NAME_BYTES`] long.
pub(crate) fn check_name(text: &str) -> Result<&str, WireError> {
    if text.is_empty() {
        return Err(WireError::EmptyName);
    }
    check_text(text, MAX_NAME_BYTES)
}

/// Returns `duration` in whole microseconds, the unit of durations on the wire.
pub(crate) fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Converts each item to its core type, or returns the first error.
pub(crate) fn convert_list<W, T, const MAX: usize>(
    list: BoundedList<W, MAX>,
) -> Result<Vec<T>, WireError>
where
    T: TryFrom<W, Error = WireError>,
{
    list.0.into_iter().map(T::try_from).collect()
}
