//! Datagrams about requests that move to servers of another cell, in postcard.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::DatagramError;
use crate::coordination::GrantedHelper;
use crate::coordination::GuestAnswer;
use crate::coordination::GuestGrant;
use crate::coordination::GuestQuery;
use crate::state::GapClass;
use crate::state::PromptSize;
use crate::state::ServiceName;

/// The first byte of these datagrams, by which they differ from summaries and permits of any version.
pub const MOVE_VERSION: u8 = 65;
/// The most servers in each list of a message.
const MAX_SERVERS: usize = 64;

/// A message between the host that queries and the one that is queried. Servers are named by their
/// digests, queries by the querying host's numbers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MoveMessage {
    /// Asks for servers for a request.
    Query { query: u32, request: GuestQuery },
    /// Answers a query.
    Answer { query: u32, answer: GuestAnswer },
    /// States that the first event of the request has arrived.
    FirstEvent { query: u32 },
    /// States that the request has ended, or was not sent.
    Ended { query: u32 },
}

#[derive(Debug, Serialize, Deserialize)]
struct WireMove {
    version: u8,
    query: u32,
    kind: WireKind,
}

#[derive(Debug, Serialize, Deserialize)]
enum WireKind {
    Query(WireQuery),
    Granted { server: u32, helpers: Vec<(u32, u64)>, first_event_ms: u32 },
    NoRoom { wait_ms: u32 },
    FirstEvent,
    Ended,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireQuery {
    service: String,
    /// The tokens of the prompt, and of the longest response.
    size: Option<(u64, u64)>,
    gap_class: u8,
    objective_ms: u32,
    abandon_ms: u32,
    time_left_ms: u32,
    tried: Vec<u32>,
}

/// Returns whether a datagram is a message about requests that move.
pub(crate) fn is_move(datagram: &[u8]) -> bool {
    datagram.first() == Some(&MOVE_VERSION)
}

/// Encodes a message as a datagram.
///
/// # Errors
///
/// Returns postcard's error, which encoding a [`MoveMessage`] does not cause.
pub fn encode_move(message: &MoveMessage) -> Result<Vec<u8>, postcard::Error> {
    postcard::to_stdvec(&WireMove::from(message))
}

/// Decodes a datagram. Times are in whole milliseconds.
///
/// ```
/// use wasabicrank_lib::protocol::{MoveMessage, decode_move, encode_move};
/// let message = MoveMessage::Ended { query: 7 };
/// assert_eq!(decode_move(&encode_move(&message).unwrap()), Ok(message));
/// ```
///
/// # Errors
///
/// Returns why the datagram must be dropped.
pub fn decode_move(datagram: &[u8]) -> Result<MoveMessage, DatagramError> {
    match datagram.first() {
        Some(&MOVE_VERSION) => {}
        Some(&version) => return Err(DatagramError::OtherVersion(version)),
        None => return Err(DatagramError::Malformed),
    }
    let wire: WireMove = postcard::from_bytes(datagram).map_err(|_| DatagramError::Malformed)?;
    wire.try_into()
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}

fn duration(millis: u32) -> Duration {
    Duration::from_millis(millis.into())
}

impl From<&MoveMessage> for WireMove {
    fn from(message: &MoveMessage) -> WireMove {
        let (query, kind) = match message {
            MoveMessage::Query { query, request } => (query, WireKind::Query(request.into())),
            MoveMessage::Answer { query, answer } => (query, answer.into()),
            MoveMessage::FirstEvent { query } => (query, WireKind::FirstEvent),
            MoveMessage::Ended { query } => (query, WireKind::Ended),
        };
        WireMove { version: MOVE_VERSION, query: *query, kind }
    }
}

impl From<&GuestAnswer> for WireKind {
    fn from(answer: &GuestAnswer) -> WireKind {
        match answer {
            GuestAnswer::Granted(grant) => WireKind::Granted {
                server: grant.server,
                helpers: grant.helpers.iter().map(|one| (one.server, one.held_tokens)).collect(),
                first_event_ms: millis(grant.first_event),
            },
            GuestAnswer::NoRoom(wait) => WireKind::NoRoom { wait_ms: millis(*wait) },
        }
    }
}

impl From<&GuestQuery> for WireQuery {
    fn from(request: &GuestQuery) -> WireQuery {
        WireQuery {
            service: request.service.as_str().to_owned(),
            size: request.size.map(|size| (size.prompt, size.max_output)),
            gap_class: request.gap_class as u8,
            objective_ms: millis(request.objective_left),
            abandon_ms: millis(request.abandon_after),
            time_left_ms: millis(request.time_left),
            tried: request.tried.iter().take(MAX_SERVERS).copied().collect(),
        }
    }
}

impl TryFrom<WireMove> for MoveMessage {
    type Error = DatagramError;

    fn try_from(wire: WireMove) -> Result<MoveMessage, DatagramError> {
        let query = wire.query;
        Ok(match wire.kind {
            WireKind::Query(request) => MoveMessage::Query { query, request: request.try_into()? },
            WireKind::Granted { server, helpers, first_event_ms } => {
                if helpers.len() > MAX_SERVERS {
                    return Err(DatagramError::Malformed);
                }
                let helper = |(server, held_tokens)| GrantedHelper { server, held_tokens };
                let helpers = helpers.into_iter().map(helper).collect();
                let first_event = duration(first_event_ms);
                let answer = GuestAnswer::Granted(GuestGrant { server, helpers, first_event });
                MoveMessage::Answer { query, answer }
            }
            WireKind::NoRoom { wait_ms } => {
                MoveMessage::Answer { query, answer: GuestAnswer::NoRoom(duration(wait_ms)) }
            }
            WireKind::FirstEvent => MoveMessage::FirstEvent { query },
            WireKind::Ended => MoveMessage::Ended { query },
        })
    }
}

impl TryFrom<WireQuery> for GuestQuery {
    type Error = DatagramError;

    fn try_from(wire: WireQuery) -> Result<GuestQuery, DatagramError> {
        let class = GapClass::ALL.get(usize::from(wire.gap_class)).copied();
        if wire.tried.len() > MAX_SERVERS {
            return Err(DatagramError::Malformed);
        }
        let size = wire.size.map(|(prompt, max_output)| PromptSize { prompt, max_output });
        Ok(GuestQuery {
            service: ServiceName::new(wire.service.as_str()),
            size,
            gap_class: class.ok_or(DatagramError::Malformed)?,
            objective_left: duration(wire.objective_ms),
            abandon_after: duration(wire.abandon_ms),
            time_left: duration(wire.time_left_ms),
            tried: wire.tried,
        })
    }
}
