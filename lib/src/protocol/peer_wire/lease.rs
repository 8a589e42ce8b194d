//! Wire format of messages about leases on shards of idempotency keys.

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::ClaimRecord;
use crate::coordination::ClaimState;
use crate::coordination::HandOver;
use crate::coordination::LeaseMessage;
use crate::coordination::Process;
use crate::state::HostName;
use crate::state::Incarnation;

use super::WireError;
use super::call::WireKey;
use super::call::WireReason;
use super::call::WireReply;
use super::limits::BoundedList;
use super::limits::MAX_CLAIMS;
use super::limits::MAX_SETS;
use super::limits::MAX_SHARDS;
use super::limits::check_name;
use super::limits::convert_list;

type Shards = BoundedList<u16, MAX_SHARDS>;
type Sets = BoundedList<u64, MAX_SETS>;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WireLease<'a> {
    Request {
        round: u64,
        list: u64,
        sets: Sets,
        shards: Shards,
    },
    Grant {
        round: u64,
        list: u64,
        sets: Sets,
        shards: Shards,
        handed: Shards,
    },
    Release {
        round: u64,
        shards: Shards,
        #[serde(borrow)]
        successor: Option<WireProcess<'a>>,
    },
    #[serde(borrow)]
    HandOver(WireHandOver<'a>),
    HandOverDone {
        round: u64,
        shard: u16,
    },
}

impl WireLease<'_> {
    /// Returns the length of the longest body in the message, in bytes.
    pub(crate) fn largest_body(&self) -> usize {
        match self {
            WireLease::HandOver(hand_over) => hand_over.largest_body(),
            _ => 0,
        }
    }
}

impl<'a> From<&'a LeaseMessage> for WireLease<'a> {
    fn from(message: &'a LeaseMessage) -> Self {
        match message {
            LeaseMessage::Request { round, list, sets, shards } => WireLease::Request {
                round: *round,
                list: *list,
                sets: BoundedList(sets.clone()),
                shards: BoundedList(shards.clone()),
            },
            LeaseMessage::Grant { round, list, sets, shards, handed } => WireLease::Grant {
                round: *round,
                list: *list,
                sets: BoundedList(sets.clone()),
                shards: BoundedList(shards.clone()),
                handed: BoundedList(handed.clone()),
            },
            LeaseMessage::Release { round, shards, successor } => WireLease::Release {
                round: *round,
                shards: BoundedList(shards.clone()),
                successor: successor.as_ref().map(WireProcess::from),
            },
            LeaseMessage::HandOver(hand_over) => WireLease::HandOver(hand_over.as_ref().into()),
            LeaseMessage::HandOverDone { round, shard } => {
                WireLease::HandOverDone { round: *round, shard: *shard }
            }
        }
    }
}

impl TryFrom<WireLease<'_>> for LeaseMessage {
    type Error = WireError;

    fn try_from(wire: WireLease<'_>) -> Result<Self, WireError> {
        Ok(match wire {
            WireLease::Request { round, list, sets, shards } => {
                LeaseMessage::Request { round, list, sets: sets.0, shards: shards.0 }
            }
            WireLease::Grant { round, list, sets, shards, handed } => {
                let (sets, shards, handed) = (sets.0, shards.0, handed.0);
                LeaseMessage::Grant { round, list, sets, shards, handed }
            }
            WireLease::Release { round, shards, successor } => {
                let successor = successor.map(Process::try_from).transpose()?;
                LeaseMessage::Release { round, shards: shards.0, successor }
            }
            WireLease::HandOver(hand_over) => {
                LeaseMessage::HandOver(Box::new(hand_over.try_into()?))
            }
            WireLease::HandOverDone { round, shard } => LeaseMessage::HandOverDone { round, shard },
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireProcess<'a> {
    host: &'a str,
    incarnation: u64,
}

impl<'a> From<&'a Process> for WireProcess<'a> {
    fn from(process: &'a Process) -> Self {
        WireProcess { host: process.host.as_str(), incarnation: process.incarnation.0 }
    }
}

impl TryFrom<WireProcess<'_>> for Process {
    type Error = WireError;

    fn try_from(wire: WireProcess<'_>) -> Result<Self, WireError> {
        let host = HostName::new(check_name(wire.host)?);
        Ok(Process { host, incarnation: Incarnation(wire.incarnation) })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireHandOver<'a> {
    round: u64,
    shard: u16,
    known_since: u64,
    #[serde(borrow)]
    claims: BoundedList<WireClaim<'a>, MAX_CLAIMS>,
}

impl WireHandOver<'_> {
    fn largest_body(&self) -> usize {
        self.claims.0.iter().map(WireClaim::body_len).max().unwrap_or(0)
    }
}

impl<'a> From<&'a HandOver> for WireHandOver<'a> {
    fn from(hand_over: &'a HandOver) -> Self {
        WireHandOver {
            round: hand_over.round,
            shard: hand_over.shard,
            known_since: hand_over.known_since,
            claims: hand_over.claims.iter().map(WireClaim::from).collect(),
        }
    }
}

impl TryFrom<WireHandOver<'_>> for HandOver {
    type Error = WireError;

    fn try_from(wire: WireHandOver<'_>) -> Result<Self, WireError> {
        let claims = convert_list(wire.claims)?;
        Ok(HandOver { round: wire.round, shard: wire.shard, known_since: wire.known_since, claims })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireClaim<'a> {
    key: WireKey,
    call_hash: u64,
    #[serde(borrow)]
    state: WireClaimState<'a>,
}

impl WireClaim<'_> {
    fn body_len(&self) -> usize {
        match &self.state {
            WireClaimState::Done(reply) => reply.body_len(),
            _ => 0,
        }
    }
}

impl<'a> From<&'a ClaimRecord> for WireClaim<'a> {
    fn from(claim: &'a ClaimRecord) -> Self {
        WireClaim {
            key: claim.key.into(),
            call_hash: claim.call_hash,
            state: (&claim.state).into(),
        }
    }
}

impl TryFrom<WireClaim<'_>> for ClaimRecord {
    type Error = WireError;

    fn try_from(wire: WireClaim<'_>) -> Result<Self, WireError> {
        let state = wire.state.try_into()?;
        Ok(ClaimRecord { key: wire.key.into(), call_hash: wire.call_hash, state })
    }
}

#[derive(Debug, Serialize, Deserialize)]
enum WireClaimState<'a> {
    Running,
    #[serde(borrow)]
    Done(WireReply<'a>),
    Refused(WireReason),
    Unknown,
}

impl<'a> From<&'a ClaimState> for WireClaimState<'a> {
    fn from(state: &'a ClaimState) -> Self {
        match state {
            ClaimState::Running => WireClaimState::Running,
            ClaimState::Done(reply) => WireClaimState::Done(reply.into()),
            ClaimState::Refused(reason) => WireClaimState::Refused((*reason).into()),
            ClaimState::Unknown => WireClaimState::Unknown,
        }
    }
}

impl TryFrom<WireClaimState<'_>> for ClaimState {
    type Error = WireError;

    fn try_from(wire: WireClaimState<'_>) -> Result<Self, WireError> {
        Ok(match wire {
            WireClaimState::Running => ClaimState::Running,
            WireClaimState::Done(reply) => ClaimState::Done(reply.try_into()?),
            WireClaimState::Refused(reason) => ClaimState::Refused(reason.into()),
            WireClaimState::Unknown => ClaimState::Unknown,
        })
    }
}
