//! Wire format of messages between entry hosts: a version byte followed by postcard.
//!
//! Each message has its own wire types, so that the core types can change without changing what
//! older processes decode. Sizes are checked before memory is allocated: strings and bodies are
//! borrowed from the received bytes until they pass the checks, and lists grow only as items are
//! decoded from the received bytes. Authentication is done in [`frame`](super::frame).

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

/// The only version of the message format that this build supports.
pub const MESSAGE_VERSION: u8 = 1;

/// Why a payload cannot be decoded as a message, or a message cannot be encoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WireError {
    /// The payload is empty.
    Empty,
    /// The payload's version is not supported by this build.
    UnknownVersion(u8),
    /// The bytes do not follow the format, or a list exceeds its limit.
    Malformed,
    /// Trailing bytes follow the message; their number.
    Trailing(usize),
    /// A string exceeds its limit; both lengths are in bytes.
    TextTooLong { found: usize, limit: usize },
    /// A body, or a message of a kind without a body, exceeds its limit; both lengths are in bytes.
    BodyTooLong { found: usize, limit: usize },
    /// A name is empty.
    EmptyName,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Empty => write!(f, "empty payload: expected a version byte"),
            WireError::UnknownVersion(found) => {
                write!(f, "unsupported message version {found}: expected {MESSAGE_VERSION}")
            }
            WireError::Malformed => write!(f, "the payload does not follow the message format"),
            WireError::Trailing(bytes) => write!(f, "{bytes} trailing bytes after the message"),
            WireError::TextTooLong { found, limit } => {
                write!(f, "a string has {found} bytes: expected at most {limit}")
            }
            WireError::BodyTooLong { found, limit } => {
                write!(f, "a body or message has {found} bytes: expected at most {limit}")
            }
            WireError::EmptyName => write!(f, "a name is empty"),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes `message` as a payload.
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

/// Decodes a message and rejects it if any body exceeds `max_body` bytes.
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
