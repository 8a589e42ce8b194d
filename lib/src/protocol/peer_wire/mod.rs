//! The wire form of what entry hosts say to each other: postcard behind a version byte.
//!
//! Every message has wire types of its own, so that the core's types may change without changing
//! what older processes read. Sizes are checked before memory is taken: texts and bodies are
//! borrowed from the received bytes until they have passed, and lists grow only as far as the
//! received bytes fill them. Authentication is left to [`frame`](super::frame).

mod attempt;
mod call;
mod config;
mod heartbeat;
mod lease;
mod limits;
mod list;
mod message;

pub use limits::*;

use std::fmt;

use crate::coordination::PeerMessage;

use message::WireMessage;
use message::check_len;

/// The version of the message format that this build speaks.
pub const MESSAGE_VERSION: u8 = 1;

/// Why a payload is not a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The payload has no byte at all.
    Empty,
    /// The payload is in a version that this build does not speak.
    UnknownVersion(u8),
    /// The bytes do not follow the format, or a list is longer than its limit.
    Malformed,
    /// Bytes are left over after the message.
    Trailing(usize),
    /// A text is longer than its limit; both are in bytes.
    TextTooLong { found: usize, limit: usize },
    /// A body, or a message without one, is longer than its limit; both are in bytes.
    BodyTooLong { found: usize, limit: usize },
    /// A name is empty.
    EmptyName,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Empty => write!(f, "the payload is empty: expected a version byte"),
            WireError::UnknownVersion(found) => {
                write!(f, "message version {found}: expected {MESSAGE_VERSION}")
            }
            WireError::Malformed => write!(f, "the payload does not follow the message format"),
            WireError::Trailing(bytes) => write!(f, "{bytes} bytes are left after the message"),
            WireError::TextTooLong { found, limit } => {
                write!(f, "a text has {found} bytes: expected at most {limit}")
            }
            WireError::BodyTooLong { found, limit } => {
                write!(f, "a body has {found} bytes: expected at most {limit}")
            }
            WireError::EmptyName => write!(f, "a name is empty"),
        }
    }
}

impl std::error::Error for WireError {}

/// Returns the payload that stands for `message`.
///
/// ```
/// use wasabicrank_lib::coordination::{ConfigPull, PeerMessage};
/// use wasabicrank_lib::protocol::{decode_message, encode_message};
/// let pull = PeerMessage::ConfigPull(ConfigPull { have: 7, have_hash: 1 });
/// let payload = encode_message(&pull).unwrap();
/// assert_eq!(decode_message(&payload, 1024), Ok(pull));
/// ```
pub fn encode_message(message: &PeerMessage) -> Result<Vec<u8>, WireError> {
    let wire = WireMessage::from(message);
    postcard::to_extend(&wire, vec![MESSAGE_VERSION]).map_err(|_| WireError::Malformed)
}

/// Reads a message whose bodies have at most `max_body` bytes each.
pub fn decode_message(payload: &[u8], max_body: usize) -> Result<PeerMessage, WireError> {
    let (&version, rest) = payload.split_first().ok_or(WireError::Empty)?;
    if version != MESSAGE_VERSION {
        return Err(WireError::UnknownVersion(version));
    }
    check_len(rest)?;
    let (wire, rest): (WireMessage<'_>, _) =
        postcard::take_from_bytes(rest).map_err(|_| WireError::Malformed)?;
    if !rest.is_empty() {
        return Err(WireError::Trailing(rest.len()));
    }
    let found = wire.largest_body();
    if found > max_body {
        return Err(WireError::BodyTooLong { found, limit: max_body });
    }
    PeerMessage::try_from(wire)
}
