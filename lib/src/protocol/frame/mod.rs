//! Frames between entry hosts: authenticated, numbered, and bound to one connection.
//!
//! A frame consists of a length prefix (u32, little endian, excluding the prefix), a header, a
//! payload and a keyed BLAKE3 tag over header and payload. The tag's key is derived for each
//! connection from the fleet key, the receiver's random nonce and the receiver's name, so that the
//! tag of a frame that is replayed on another connection or to another host does not match.
//! Nothing is encrypted. Reading and writing bytes is left to the transport.

mod senders;
mod session;

pub use senders::*;
pub use session::*;

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use subtle::ConstantTimeEq;

/// The only version of the frame format that this build supports.
pub const FRAME_VERSION: u8 = 1;
/// Length of the length prefix of each frame.
pub const LENGTH_BYTES: usize = 4;
/// Length of the tag at the end of each frame.
pub const TAG_BYTES: usize = 32;
/// Maximum length of a hello; nothing longer is read from a peer that is not authenticated yet.
pub const MAX_HELLO_BYTES: usize = 512;

/// Why a frame was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The frame exceeds the limit; both lengths are in bytes.
    Oversize { found: usize, limit: usize },
    /// The frame's version is not supported by this build.
    UnknownVersion(u8),
    /// The bytes do not follow the format.
    Malformed,
    /// The tag does not match: wrong key, modified frame, or a frame of another connection.
    BadTag,
    /// The frame's number is not greater than the previous frame's.
    Replayed { found: u64, last: u64 },
    /// The frame's sender differs from the sender in the connection's hello.
    WrongSender,
    /// The sender is not among the published entry hosts.
    UnknownSender,
    /// Frames of a later incarnation of the same host have been received.
    OldIncarnation,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::Oversize { found, limit } => {
                write!(f, "the frame has {found} bytes: expected at most {limit}")
            }
            FrameError::UnknownVersion(found) => {
                write!(f, "unsupported frame version {found}: expected {FRAME_VERSION}")
            }
            FrameError::Malformed => write!(f, "the frame does not follow the format"),
            FrameError::BadTag => write!(f, "the frame's tag does not match"),
            FrameError::Replayed { found, last } => {
                write!(f, "replayed frame number {found}: expected a number greater than {last}")
            }
            FrameError::WrongSender => {
                write!(f, "the frame's sender differs from the sender in the hello")
            }
            FrameError::UnknownSender => write!(f, "the sender is not a published entry host"),
            FrameError::OldIncarnation => write!(f, "a later incarnation of the sender is known"),
        }
    }
}

impl std::error::Error for FrameError {}

/// The header before the payload of each frame.
#[derive(Debug, Serialize, Deserialize)]
struct Header<'a> {
    version: u8,
    sender: &'a str,
    incarnation: [u8; 8],
    counter: u64,
}

/// Decodes the length prefix of a frame and checks it against `limit`.
///
/// ```
/// use wasabicrank_lib::protocol::{FrameError, frame_len};
/// assert_eq!(frame_len([100, 0, 0, 0], 512), Ok(100));
/// let oversize = FrameError::Oversize { found: 1024, limit: 512 };
/// assert_eq!(frame_len([0, 4, 0, 0], 512), Err(oversize));
/// ```
pub fn frame_len(prefix: [u8; LENGTH_BYTES], limit: usize) -> Result<usize, FrameError> {
    let found = u32::from_le_bytes(prefix) as usize;
    if found > limit {
        return Err(FrameError::Oversize { found, limit });
    }
    if found <= TAG_BYTES {
        return Err(FrameError::Malformed);
    }
    Ok(found)
}

/// Encodes and authenticates a frame, including its length prefix.
fn seal(key: &SessionKey, header: &Header<'_>, payload: &[u8]) -> Result<Vec<u8>, FrameError> {
    let buffer = vec![0; LENGTH_BYTES];
    let mut frame = postcard::to_extend(header, buffer).map_err(|_| FrameError::Malformed)?;
    frame.extend_from_slice(payload);
    let tag = key.tag(&frame[LENGTH_BYTES..]);
    frame.extend_from_slice(&tag);
    let found = frame.len() - LENGTH_BYTES;
    let limit = u32::MAX as usize;
    let len = u32::try_from(found).map_err(|_| FrameError::Oversize { found, limit })?;
    frame[..LENGTH_BYTES].copy_from_slice(&len.to_le_bytes());
    Ok(frame)
}

/// Verifies a frame, given without its length prefix, and splits it into header and payload.
fn open<'a>(key: &SessionKey, frame: &'a [u8]) -> Result<(Header<'a>, &'a [u8]), FrameError> {
    let split = frame.len().checked_sub(TAG_BYTES).ok_or(FrameError::Malformed)?;
    let (signed, tag) = frame.split_at(split);
    match signed.first() {
        Some(&FRAME_VERSION) => {}
        Some(&other) => return Err(FrameError::UnknownVersion(other)),
        None => return Err(FrameError::Malformed),
    }
    if !bool::from(key.tag(signed).ct_eq(tag)) {
        return Err(FrameError::BadTag);
    }
    postcard::take_from_bytes(signed).map_err(|_| FrameError::Malformed)
}
