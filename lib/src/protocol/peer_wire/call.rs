//! Wire format of forwarded calls to plain services and of their answers.

use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::CallAnswer;
use crate::coordination::ForwardedCall;
use crate::state::CallKey;
use crate::state::CustomerName;
use crate::state::Moment;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::ServiceCall;
use crate::state::ServiceName;
use crate::state::ServiceReply;

use super::WireError;
use super::attempt::WireRequestId;
use super::limits::MAX_NAME_BYTES;
use super::limits::MAX_PATH_BYTES;
use super::limits::check_name;
use super::limits::check_text;
use super::limits::micros;

/// Defines the wire type of a fieldless enum and the conversions to and from the core type.
///
/// The order of the variants is part of the format.
macro_rules! wire_enum {
    ($wire:ident = $core:ident { $($variant:ident),* $(,)? }) => {
        #[derive(Debug, Clone, Copy, Serialize, Deserialize)]
        pub(crate) enum $wire {
            $($variant),*
        }

        impl From<$core> for $wire {
            fn from(value: $core) -> Self {
                match value {
                    $($core::$variant => $wire::$variant),*
                }
            }
        }

        impl From<$wire> for $core {
            fn from(wire: $wire) -> Self {
                match wire {
                    $($wire::$variant => $core::$variant),*
                }
            }
        }
    };
}

wire_enum!(WireOutcome = Outcome { NotRun, Unknown, Failed });
wire_enum!(
    WireReason = Reason {
        RateLimit,
        InFlightLimit,
        FairShare,
        DeadlineTooShort,
        DeadlinePassed,
        NoConfiguration,
        NoTarget,
        PromptTooLong,
        MemoryFull,
        Overloaded,
        Stopping,
        TargetFailed,
        RetryBudget,
        HomeUnavailable,
        KeyTooOld,
        KeyFromFuture,
        CopyRunning,
        KeyReused,
        CallerGone,
        ResumeUnknown,
    }
);

/// An idempotency key. Its bits are random, so a fixed width is shorter than a varint.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(crate) struct WireKey([u8; 16]);

impl From<CallKey> for WireKey {
    fn from(key: CallKey) -> Self {
        WireKey(key.0.to_le_bytes())
    }
}

impl From<WireKey> for CallKey {
    fn from(wire: WireKey) -> Self {
        CallKey(u128::from_le_bytes(wire.0))
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireForward<'a> {
    id: WireRequestId,
    customer: &'a str,
    service: &'a str,
    method: &'a str,
    path: &'a str,
    body: &'a [u8],
    media: Option<&'a str>,
    repeatable: bool,
    key: Option<WireKey>,
    left_us: u64,
}

impl WireForward<'_> {
    pub(crate) fn body_len(&self) -> usize {
        self.body.len()
    }
}

impl<'a> From<&'a ForwardedCall> for WireForward<'a> {
    fn from(forward: &'a ForwardedCall) -> Self {
        let call = &forward.call;
        WireForward {
            id: call.id.into(),
            customer: call.customer.as_str(),
            service: call.service.as_str(),
            method: &call.method,
            path: &call.path,
            body: &call.body,
            media: call.media.as_deref(),
            repeatable: call.repeatable,
            key: call.key.map(WireKey::from),
            left_us: micros(forward.time_left),
        }
    }
}

impl TryFrom<WireForward<'_>> for ForwardedCall {
    type Error = WireError;

    fn try_from(wire: WireForward<'_>) -> Result<Self, WireError> {
        let call = ServiceCall {
            id: wire.id.into(),
            customer: CustomerName::new(check_name(wire.customer)?),
            service: ServiceName::new(check_name(wire.service)?),
            method: check_name(wire.method)?.into(),
            path: check_text(wire.path, MAX_PATH_BYTES)?.into(),
            body: wire.body.into(),
            media: check_media(wire.media)?,
            repeatable: wire.repeatable,
            key: wire.key.map(CallKey::from),
            // The sender's clock has no meaning here; the receiver sets the deadline from the
            // time left.
            deadline: Moment::default(),
        };
        Ok(ForwardedCall { call, time_left: Duration::from_micros(wire.left_us) })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireAnswer<'a> {
    request: WireRequestId,
    #[serde(borrow)]
    result: Result<WireReply<'a>, WireRefusal>,
}

impl WireAnswer<'_> {
    pub(crate) fn body_len(&self) -> usize {
        self.result.as_ref().map_or(0, WireReply::body_len)
    }
}

impl<'a> From<&'a CallAnswer> for WireAnswer<'a> {
    fn from(answer: &'a CallAnswer) -> Self {
        let result = match &answer.result {
            Ok(reply) => Ok(reply.into()),
            Err(refusal) => Err((*refusal).into()),
        };
        WireAnswer { request: answer.request.into(), result }
    }
}

impl TryFrom<WireAnswer<'_>> for CallAnswer {
    type Error = WireError;

    fn try_from(wire: WireAnswer<'_>) -> Result<Self, WireError> {
        let result = match wire.result {
            Ok(reply) => Ok(reply.try_into()?),
            Err(refusal) => Err(refusal.into()),
        };
        Ok(CallAnswer { request: wire.request.into(), result })
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireReply<'a> {
    status: u16,
    media: Option<&'a str>,
    body: &'a [u8],
}

impl WireReply<'_> {
    pub(crate) fn body_len(&self) -> usize {
        self.body.len()
    }
}

impl<'a> From<&'a ServiceReply> for WireReply<'a> {
    fn from(reply: &'a ServiceReply) -> Self {
        WireReply { status: reply.status, media: reply.media.as_deref(), body: &reply.body }
    }
}

impl TryFrom<WireReply<'_>> for ServiceReply {
    type Error = WireError;

    fn try_from(wire: WireReply<'_>) -> Result<Self, WireError> {
        let media = check_media(wire.media)?;
        Ok(ServiceReply { status: wire.status, media, body: wire.body.into() })
    }
}

#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct WireRefusal {
    outcome: WireOutcome,
    reason: WireReason,
    retry_us: Option<u64>,
}

impl From<Refusal> for WireRefusal {
    fn from(refusal: Refusal) -> Self {
        WireRefusal {
            outcome: refusal.outcome.into(),
            reason: refusal.reason.into(),
            retry_us: refusal.retry_after.map(micros),
        }
    }
}

impl From<WireRefusal> for Refusal {
    fn from(wire: WireRefusal) -> Self {
        Refusal {
            outcome: wire.outcome.into(),
            reason: wire.reason.into(),
            retry_after: wire.retry_us.map(Duration::from_micros),
        }
    }
}

/// Checks the length of a media type.
fn check_media(text: Option<&str>) -> Result<Option<Arc<str>>, WireError> {
    text.map(|text| check_text(text, MAX_NAME_BYTES).map(Arc::from)).transpose()
}
