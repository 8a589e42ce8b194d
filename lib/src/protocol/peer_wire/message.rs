//! The wire form of a whole message: one variant for each kind.
//!
//! The order of variants is part of the format; a new kind goes to the end.

use std::ops::RangeInclusive;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::PeerMessage;

use super::WireError;
use super::attempt::WireAsk;
use super::attempt::WireAttemptRef;
use super::attempt::WireDeny;
use super::attempt::WireFinished;
use super::attempt::WireFirstToken;
use super::attempt::WireGrant;
use super::call::WireAnswer;
use super::call::WireForward;
use super::config::WireConfig;
use super::config::WirePull;
use super::heartbeat::WireHeartbeat;
use super::heartbeat::WireTarget;
use super::lease::WireLease;
use super::limits::MAX_PLAIN_BYTES;
use super::list::WireListPull;
use super::list::WireLiveList;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum WireMessage<'a> {
    #[serde(borrow)]
    Heartbeat(WireHeartbeat<'a>),
    Ask(WireAsk<'a>),
    Grant(WireGrant<'a>),
    Deny(WireDeny<'a>),
    Withdraw(WireAttemptRef<'a>),
    FirstToken(WireFirstToken<'a>),
    Finished(WireFinished<'a>),
    Lease(WireLease<'a>),
    Forward(WireForward<'a>),
    Answer(WireAnswer<'a>),
    ConfigPull(WirePull),
    Config(WireConfig<'a>),
    TargetSeen(WireTarget<'a>),
    ListPull(WireListPull),
    List(WireLiveList<'a>),
}

/// The place of the kinds that may bring bodies among the variants: lease, forward and answer.
const KINDS_WITH_BODY: RangeInclusive<u8> = 7..=9;

/// Checks that a message, given without its version, is not longer than its kind may be.
pub(crate) fn check_len(message: &[u8]) -> Result<(), WireError> {
    let has_body = message.first().is_some_and(|kind| KINDS_WITH_BODY.contains(kind));
    let (found, limit) = (message.len(), MAX_PLAIN_BYTES);
    if found > limit && !has_body {
        return Err(WireError::BodyTooLong { found, limit });
    }
    Ok(())
}

impl WireMessage<'_> {
    /// Returns the length of the longest body that the message brings, in bytes.
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
            PeerMessage::Heartbeat(beat) => WireMessage::Heartbeat(beat.as_ref().into()),
            PeerMessage::Ask(ask) => WireMessage::Ask(ask.as_ref().into()),
            PeerMessage::Grant(grant) => WireMessage::Grant(grant.into()),
            PeerMessage::Deny(deny) => WireMessage::Deny(deny.into()),
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
            WireMessage::Heartbeat(beat) => PeerMessage::Heartbeat(Box::new(beat.try_into()?)),
            WireMessage::Ask(ask) => PeerMessage::Ask(Box::new(ask.try_into()?)),
            WireMessage::Grant(grant) => PeerMessage::Grant(grant.try_into()?),
            WireMessage::Deny(deny) => PeerMessage::Deny(deny.try_into()?),
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
