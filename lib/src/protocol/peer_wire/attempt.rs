//! Wire format of messages about attempts to run a request on an engine.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::AttemptRef;
use crate::coordination::Denial;
use crate::coordination::Finished;
use crate::coordination::FirstToken;
use crate::coordination::Grant;
use crate::coordination::StartRequest;
use crate::state::AttemptId;
use crate::state::CustomerName;
use crate::state::EngineName;
use crate::state::Incarnation;
use crate::state::PrefixHash;
use crate::state::Priority;
use crate::state::RequestId;

use super::WireError;
use super::call::WireReason;
use super::limits::BoundedList;
use super::limits::MAX_BLOCKS;
use super::limits::check_name;
use super::limits::micros;

/// A request's identifier. The origin is random, so a fixed width is shorter than a varint.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct WireRequestId {
    origin: [u8; 8],
    seq: u64,
}

impl From<RequestId> for WireRequestId {
    fn from(id: RequestId) -> Self {
        WireRequestId { origin: id.origin.0.to_le_bytes(), seq: id.seq }
    }
}

impl From<WireRequestId> for RequestId {
    fn from(wire: WireRequestId) -> Self {
        RequestId { origin: Incarnation(u64::from_le_bytes(wire.origin)), seq: wire.seq }
    }
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct WireAttemptId {
    request: WireRequestId,
    number: u32,
}

impl From<AttemptId> for WireAttemptId {
    fn from(id: AttemptId) -> Self {
        WireAttemptId { request: id.request.into(), number: id.number }
    }
}

impl From<WireAttemptId> for AttemptId {
    fn from(wire: WireAttemptId) -> Self {
        AttemptId { request: wire.request.into(), number: wire.number }
    }
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum WirePriority {
    Low,
    Normal,
    High,
}

impl From<Priority> for WirePriority {
    fn from(priority: Priority) -> Self {
        match priority {
            Priority::Low => WirePriority::Low,
            Priority::Normal => WirePriority::Normal,
            Priority::High => WirePriority::High,
        }
    }
}

impl From<WirePriority> for Priority {
    fn from(wire: WirePriority) -> Self {
        match wire {
            WirePriority::Low => Priority::Low,
            WirePriority::Normal => Priority::Normal,
            WirePriority::High => Priority::High,
        }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireStartRequest<'a> {
    attempt: WireAttemptId,
    engine: &'a str,
    customer: &'a str,
    weight: u32,
    priority: WirePriority,
    prompt_tokens: u32,
    output_tokens: u32,
    blocks: BoundedList<[u8; 8], MAX_BLOCKS>,
    waited_us: u64,
    left_us: u64,
    segment: bool,
}

impl<'a> From<&'a StartRequest> for WireStartRequest<'a> {
    fn from(start: &'a StartRequest) -> Self {
        WireStartRequest {
            attempt: start.attempt.into(),
            engine: start.engine.as_str(),
            customer: start.customer.as_str(),
            weight: start.weight,
            priority: start.priority.into(),
            prompt_tokens: start.prompt_tokens,
            output_tokens: start.output_tokens,
            blocks: start.blocks.iter().map(|block| block.0.to_le_bytes()).collect(),
            waited_us: micros(start.waited),
            left_us: micros(start.left),
            segment: start.segment,
        }
    }
}

impl TryFrom<WireStartRequest<'_>> for StartRequest {
    type Error = WireError;

    fn try_from(wire: WireStartRequest<'_>) -> Result<Self, WireError> {
        let blocks = wire.blocks.0.into_iter().map(u64::from_le_bytes).map(PrefixHash);
        Ok(StartRequest {
            attempt: wire.attempt.into(),
            engine: EngineName::new(check_name(wire.engine)?),
            customer: CustomerName::new(check_name(wire.customer)?),
            weight: wire.weight,
            priority: wire.priority.into(),
            prompt_tokens: wire.prompt_tokens,
            output_tokens: wire.output_tokens,
            blocks: blocks.collect(),
            waited: Duration::from_micros(wire.waited_us),
            left: Duration::from_micros(wire.left_us),
            segment: wire.segment,
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireGrant<'a> {
    attempt: WireAttemptId,
    engine: &'a str,
    valid_us: u64,
    cached: u32,
    queued_us: u64,
}

impl<'a> From<&'a Grant> for WireGrant<'a> {
    fn from(grant: &'a Grant) -> Self {
        WireGrant {
            attempt: grant.attempt.into(),
            engine: grant.engine.as_str(),
            valid_us: micros(grant.valid),
            cached: grant.cached,
            queued_us: micros(grant.queued),
        }
    }
}

impl TryFrom<WireGrant<'_>> for Grant {
    type Error = WireError;

    fn try_from(wire: WireGrant<'_>) -> Result<Self, WireError> {
        Ok(Grant {
            attempt: wire.attempt.into(),
            engine: EngineName::new(check_name(wire.engine)?),
            valid: Duration::from_micros(wire.valid_us),
            cached: wire.cached,
            queued: Duration::from_micros(wire.queued_us),
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireDenial<'a> {
    attempt: WireAttemptId,
    engine: &'a str,
    reason: WireReason,
    room_in_us: Option<u64>,
}

impl<'a> From<&'a Denial> for WireDenial<'a> {
    fn from(denial: &'a Denial) -> Self {
        WireDenial {
            attempt: denial.attempt.into(),
            engine: denial.engine.as_str(),
            reason: denial.reason.into(),
            room_in_us: denial.room_in.map(micros),
        }
    }
}

impl TryFrom<WireDenial<'_>> for Denial {
    type Error = WireError;

    fn try_from(wire: WireDenial<'_>) -> Result<Self, WireError> {
        Ok(Denial {
            attempt: wire.attempt.into(),
            engine: EngineName::new(check_name(wire.engine)?),
            reason: wire.reason.into(),
            room_in: wire.room_in_us.map(Duration::from_micros),
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireAttemptRef<'a> {
    attempt: WireAttemptId,
    engine: &'a str,
}

impl<'a> From<&'a AttemptRef> for WireAttemptRef<'a> {
    fn from(reference: &'a AttemptRef) -> Self {
        WireAttemptRef { attempt: reference.attempt.into(), engine: reference.engine.as_str() }
    }
}

impl TryFrom<WireAttemptRef<'_>> for AttemptRef {
    type Error = WireError;

    fn try_from(wire: WireAttemptRef<'_>) -> Result<Self, WireError> {
        Ok(AttemptRef {
            attempt: wire.attempt.into(),
            engine: EngineName::new(check_name(wire.engine)?),
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireFirstToken<'a> {
    attempt: WireAttemptId,
    engine: &'a str,
    cached: u32,
    prefill_us: u64,
}

impl<'a> From<&'a FirstToken> for WireFirstToken<'a> {
    fn from(first: &'a FirstToken) -> Self {
        WireFirstToken {
            attempt: first.attempt.into(),
            engine: first.engine.as_str(),
            cached: first.cached,
            prefill_us: micros(first.prefill),
        }
    }
}

impl TryFrom<WireFirstToken<'_>> for FirstToken {
    type Error = WireError;

    fn try_from(wire: WireFirstToken<'_>) -> Result<Self, WireError> {
        Ok(FirstToken {
            attempt: wire.attempt.into(),
            engine: EngineName::new(check_name(wire.engine)?),
            cached: wire.cached,
            prefill: Duration::from_micros(wire.prefill_us),
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireFinished<'a> {
    attempt: WireAttemptId,
    engine: &'a str,
    output_tokens: u32,
    decode_us: u64,
    failed: bool,
}

impl<'a> From<&'a Finished> for WireFinished<'a> {
    fn from(finished: &'a Finished) -> Self {
        WireFinished {
            attempt: finished.attempt.into(),
            engine: finished.engine.as_str(),
            output_tokens: finished.output_tokens,
            decode_us: micros(finished.decode),
            failed: finished.failed,
        }
    }
}

impl TryFrom<WireFinished<'_>> for Finished {
    type Error = WireError;

    fn try_from(wire: WireFinished<'_>) -> Result<Self, WireError> {
        Ok(Finished {
            attempt: wire.attempt.into(),
            engine: EngineName::new(check_name(wire.engine)?),
            output_tokens: wire.output_tokens,
            decode: Duration::from_micros(wire.decode_us),
            failed: wire.failed,
        })
    }
}
