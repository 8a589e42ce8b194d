//! Wire format of a whole message: one variant for each message kind.
//!
//! The order of the variants is part of the format, so a new kind must be added at the end.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::PeerMessage;

use super::WireError;
use super::attempt::WireAttemptRef;
use super::attempt::WireDenial;
use super::attempt::WireFinished;
use super::attempt::WireFirstToken;
use super::attempt::WireGrant;
use super::attempt::WireStartRequest;
use super::call::WireAnswer;
use super::call::WireForward;
use super::config::WireConfigPull;
use super::config::WireConfigUpdate;
use super::heartbeat::WireHeartbeat;
use super::heartbeat::WireTargetSeen;
use super::lease::WireLease;
use super::limits::MAX_PLAIN_BYTES;
use super::list::WireListPull;
use super::list::WireLiveList;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WireMessage<'a> {
    #[serde(borrow)]
    Heartbeat(WireHeartbeat<'a>),
    Ask(WireStartRequest<'a>),
    Grant(WireGrant<'a>),
    Deny(WireDenial<'a>),
    Withdraw(WireAttemptRef<'a>),
    FirstToken(WireFirstToken<'a>),
    Finished(WireFinished<'a>),
    Lease(WireLease<'a>),
    Forward(WireForward<'a>),
    Answer(WireAnswer<'a>),
    ConfigPull(WireConfigPull),
    Config(WireConfigUpdate<'a>),
    TargetSeen(WireTargetSeen<'a>),
    ListPull(WireListPull),
    List(WireLiveList<'a>),
}

/// Variant indices of the kinds that may carry bodies: lease, forward and answer.
const KINDS_WITH_BODY: RangeInclusive<u8> = 7..=9;

/// Checks the length of a message, given without its version byte, against the limit for its kind.
///
/// The bodies that a kind may carry are limited after decoding.
pub(crate) fn check_len(message: &[u8]) -> Result<(), WireError> {
    let has_body = message.first().is_some_and(|kind| KINDS_WITH_BODY.contains(kind));
    let (found, limit) = (message.len(), MAX_PLAIN_BYTES);
    if found > limit && !has_body {
        return Err(WireError::BodyTooLong { found, limit });
    }
    Ok(())
}

impl WireMessage<'_> {
    /// Returns the length of the longest body in the message, in bytes.
    pub(crate) fn largest_body(&self) -> usize {
        match self {
            WireMessage::Forward(forward) => forward.body_len(),
            WireMessage::Answer(answer) => answer.body_len(),
            WireMessage::Lease(lease) => lease.largest_body(),
            _ => 0,
        }
    }
}

impl<'a> From<&'a PeerMessage> for WireMessage<'a> {
    fn from(message: &'a PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(heartbeat) => WireMessage::Heartbeat(heartbeat.as_ref().into()),
            PeerMessage::Ask(start) => WireMessage::Ask(start.as_ref().into()),
            PeerMessage::Grant(grant) => WireMessage::Grant(grant.into()),
            PeerMessage::Deny(denial) => WireMessage::Deny(denial.into()),
            PeerMessage::Withdraw(attempt) => WireMessage::Withdraw(attempt.into()),
            PeerMessage::FirstToken(first) => WireMessage::FirstToken(first.into()),
            PeerMessage::Finished(finished) => WireMessage::Finished(finished.into()),
            PeerMessage::Lease(lease) => WireMessage::Lease(lease.into()),
            PeerMessage::Forward(forward) => WireMessage::Forward(forward.as_ref().into()),
            PeerMessage::Answer(answer) => WireMessage::Answer(answer.as_ref().into()),
            PeerMessage::ConfigPull(pull) => WireMessage::ConfigPull(pull.into()),
            PeerMessage::Config(update) => WireMessage::Config(update.as_ref().into()),
            PeerMessage::TargetSeen(seen) => WireMessage::TargetSeen(seen.into()),
            PeerMessage::ListPull(pull) => WireMessage::ListPull(pull.into()),
            PeerMessage::List(list) => WireMessage::List(list.as_ref().into()),
        }
    }
}

impl TryFrom<WireMessage<'_>> for PeerMessage {
    type Error = WireError;

    fn try_from(wire: WireMessage<'_>) -> Result<Self, WireError> {
        Ok(match wire {
            WireMessage::Heartbeat(heartbeat) => {
                PeerMessage::Heartbeat(Box::new(heartbeat.try_into()?))
            }
            WireMessage::Ask(start) => PeerMessage::Ask(Box::new(start.try_into()?)),
            WireMessage::Grant(grant) => PeerMessage::Grant(grant.try_into()?),
            WireMessage::Deny(denial) => PeerMessage::Deny(denial.try_into()?),
            WireMessage::Withdraw(attempt) => PeerMessage::Withdraw(attempt.try_into()?),
            WireMessage::FirstToken(first) => PeerMessage::FirstToken(first.try_into()?),
            WireMessage::Finished(finished) => PeerMessage::Finished(finished.try_into()?),
            WireMessage::Lease(lease) => PeerMessage::Lease(lease.try_into()?),
            WireMessage::Forward(forward) => PeerMessage::Forward(Box::new(forward.try_into()?)),
            WireMessage::Answer(answer) => PeerMessage::Answer(Box::new(answer.try_into()?)),
            WireMessage::ConfigPull(pull) => PeerMessage::ConfigPull(pull.into()),
            WireMessage::Config(update) => PeerMessage::Config(Box::new(update.try_into()?)),
            WireMessage::TargetSeen(seen) => PeerMessage::TargetSeen(seen.try_into()?),
            WireMessage::ListPull(pull) => PeerMessage::ListPull(pull.into()),
            WireMessage::List(list) => PeerMessage::List(Box::new(list.try_into()?)),
        })
    }
}
