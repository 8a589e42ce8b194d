//! Datagrams about permits for requests to limited servers, between a host and an arbiter, in postcard.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::DatagramError;
use crate::coordination::PermitAnswer;

/// The first byte of these datagrams, by which they differ from the summaries of any version so far.
pub const PERMIT_VERSION: u8 = 64;

/// A message about permits. Servers are named by their digests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitMessage {
    /// Asks the arbiter for a permit.
    Ask {
        /// The sender's number for the question.
        question: u64,
        server: u32,
    },
    /// Answers a question.
    Answer { question: u64, server: u32, answer: PermitAnswer },
    /// Gives a permit back that was not used.
    Return { server: u32 },
    /// States that a request was sent without a permit.
    Charge { server: u32 },
}

#[derive(Debug, Serialize, Deserialize)]
struct WirePermit {
    version: u8,
    kind: WireKind,
    server: u32,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireKind {
    Ask { question: u64 },
    Granted { question: u64 },
    Denied { question: u64, wait_ms: u32 },
    Return,
    Charge,
}

/// Returns whether a datagram is a message about permits.
pub(crate) fn is_permit(datagram: &[u8]) -> bool {
    datagram.first() == Some(&PERMIT_VERSION)
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns postcard's error, which encoding a [`PermitMessage`] does not cause.
pub fn encode_permit(message: &PermitMessage) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&WirePermit::from(message))
}

/// Decodes a datagram.
///
/// ```
/// use wasabicrank_lib::protocol::{PermitMessage, decode_permit, encode_permit};
/// let message = PermitMessage::Ask { question: 7, server: 9 };
/// assert_eq!(decode_permit(&encode_permit(&message).unwrap()), Ok(message));
/// ```
///
/// # Errors
///
/// Returns why the datagram must be dropped.
pub fn decode_permit(datagram: &[u8]) -> Result<PermitMessage, DatagramError> {
    match datagram.first() {
        Some(&PERMIT_VERSION) => {}
        Some(&version) => return Err(DatagramError::OtherVersion(version)),
        None => return Err(DatagramError::Malformed),
    }
    let wire: WirePermit = postcard::from_bytes(datagram).map_err(|_| DatagramError::Malformed)?;
    Ok(wire.into())
}

impl From<&PermitMessage> for WirePermit {
    fn from(message: &PermitMessage) -> WirePermit {
        let (kind, server) = match *message {
            PermitMessage::Ask { question, server } => (WireKind::Ask { question }, server),
            PermitMessage::Answer { question, server, answer: PermitAnswer::Granted } => {
                (WireKind::Granted { question }, server)
            }
            PermitMessage::Answer { question, server, answer: PermitAnswer::Denied(wait) } => {
                let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                (WireKind::Denied { question, wait_ms }, server)
            }
            PermitMessage::Return { server } => (WireKind::Return, server),
            PermitMessage::Charge { server } => (WireKind::Charge, server),
        };
        WirePermit { version: PERMIT_VERSION, kind, server }
    }
}

impl From<WirePermit> for PermitMessage {
    fn from(wire: WirePermit) -> PermitMessage {
        let server = wire.server;
        match wire.kind {
            WireKind::Ask { question } => PermitMessage::Ask { question, server },
            WireKind::Granted { question } => {
                PermitMessage::Answer { question, server, answer: PermitAnswer::Granted }
            }
            WireKind::Denied { question, wait_ms } => {
                let wait = Duration::from_millis(wait_ms.into());
                PermitMessage::Answer { question, server, answer: PermitAnswer::Denied(wait) }
            }
            WireKind::Return => PermitMessage::Return { server },
            WireKind::Charge => PermitMessage::Charge { server },
        }
    }
}
