//! The parts of a prompt that requests have in common.

use std::fmt;

use rustc_hash::FxHashSet;

/// The most parts of one prompt that are kept: as many different ids as a head of 16 KiB can list, which is
/// the longest one by default.
pub(crate) const MAX_PARTS: usize = 4_096;
/// The most digits of an id that is kept as a number.
const MAX_DIGITS: usize = 16;

/// The id of a part of a prompt, as its caller states it.
///
/// An id of up to 16 hexadecimal digits is its number, and is printed in lower case without leading
/// zeros; any other id is a digest of its text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartId(pub u64);

impl PartId {
    /// Converts the text of an id.
    ///
    /// ```
    /// use wasabicrank_lib::state::PartId;
    /// assert_eq!(PartId::from_text("5C1e07a2"), PartId(0x5c1e07a2));
    /// assert_ne!(PartId::from_text("-5c1e07a2"), PartId::from_text("+5c1e07a2"));
    /// ```
    pub fn from_text(text: &str) -> PartId {
        let is_number = (1..=MAX_DIGITS).contains(&text.len())
            && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = u64::from_str_radix(text, 16).ok().filter(|_| is_number);
        PartId(number.unwrap_or_else(|| {
            let digest = blake3::hash(text.as_bytes());
            let mut first = [0; 8];
            first.copy_from_slice(&digest.as_bytes()[..8]);
            u64::from_le_bytes(first)
        }))
    }
}

impl fmt::Display for PartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}", self.0)
    }
}

/// The parts of a prompt that other prompts may have as well, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedParts(Vec<PartId>);

impl SharedParts {
    /// Takes all parts of a prompt. The last one belongs to the request or its session and is left out,
    /// as are repeated ones and those past a limit.
    ///
    /// ```
    /// use wasabicrank_lib::state::{PartId, SharedParts};
    /// let parts = SharedParts::from_prompt([PartId(1), PartId(2), PartId(1), PartId(3)]);
    /// assert_eq!(parts.as_slice(), [PartId(1), PartId(2)]);
    /// ```
    pub fn from_prompt(parts: impl IntoIterator<Item = PartId>) -> SharedParts {
        let mut shared = Vec::new();
        let mut seen = FxHashSet::default();
        let mut parts = parts.into_iter().peekable();
        while let Some(part) = parts.next() {
            if parts.peek().is_none() || shared.len() == MAX_PARTS {
                break;
            }
            if seen.insert(part) {
                shared.push(part);
            }
        }
        SharedParts(shared)
    }

    /// Returns the parts in the order of the prompt.
    pub fn as_slice(&self) -> &[PartId] {
        &self.0
    }
}

impl fmt::Display for SharedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, part) in self.0.iter().enumerate() {
            let separator = if position == 0 { "" } else { "," };
            write!(f, "{separator}{part}")?;
        }
        Ok(())
    }
}
