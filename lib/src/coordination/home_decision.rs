//! Decides what the home of a key does with a call: run it, wait for the result of an earlier copy,
//! or answer it at once.

use std::time::Duration;

use super::claims::Claims;
use super::claims::Waiter;
use super::home_lease::Tenure;
use super::lease::millis;
use super::lease::shard_of;
use super::message::ClaimState;
use super::message::ForwardedCall;
use super::rendezvous::first_u64;
use crate::state::CallKey;
use crate::state::Now;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::ServiceCall;
use crate::state::ServiceReply;

/// The inputs to the decision on one call, besides the claims.
#[derive(Debug, Clone, Copy)]
pub(crate) struct DecisionContext {
    /// The tenure of the key's shard, if this process holds its lease.
    pub(crate) tenure: Option<Tenure>,
    /// Whether the shard is being handed over to a successor, so that no claim may be added.
    pub(crate) frozen: bool,
    pub(crate) clock_skew: Duration,
    pub(crate) now: Now,
}

/// How the home handles a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Decision {
    /// Run the call, which has been recorded as running.
    Run,
    /// Wait for the answer to a copy that is already running.
    Wait,
    /// Answer the call at once.
    Answer(Result<ServiceReply, Refusal>),
}

/// Decides how to handle a call and records the decision in the claims.
pub(crate) fn decide(
    context: &DecisionContext,
    claims: &mut Claims,
    key: CallKey,
    call: &ForwardedCall,
    waiter: Waiter,
) -> Decision {
    let Some(tenure) = context.tenure else {
        return Decision::Answer(unknown(Reason::HomeUnavailable));
    };
    let call_hash = call_hash_of(&call.call);
    if claims.get(key).is_some() {
        return decide_copy(claims, key, call_hash, waiter);
    }
    if context.frozen {
        return Decision::Answer(unknown(Reason::HomeUnavailable));
    }
    if let Some(reason) = key_age_refusal(context, tenure, claims, key) {
        return Decision::Answer(unknown(reason));
    }
    if call.time_left.is_zero() {
        return record_refusal(claims, key, call_hash, Reason::DeadlinePassed);
    }
    match claims.start(key, call_hash, waiter) {
        Ok(()) => Decision::Run,
        Err(_) => Decision::Answer(unknown(Reason::Overloaded)),
    }
}

/// Decides how to handle a call whose key already has a claim.
fn decide_copy(claims: &mut Claims, key: CallKey, call_hash: u64, waiter: Waiter) -> Decision {
    let Some(claim) = claims.get(key) else {
        return Decision::Answer(unknown(Reason::HomeUnavailable));
    };
    if claim.call_hash != call_hash {
        // The first call with this key may have run, so the answer must not be `not_run`.
        let reason = Reason::KeyReused;
        let refusal = Refusal { outcome: Outcome::Failed, reason, retry_after: None };
        return Decision::Answer(Err(refusal));
    }
    if claim.state != ClaimState::Running {
        return Decision::Answer(answer_of(&claim.state));
    }
    match claims.add_waiter(key, waiter) {
        true => Decision::Wait,
        false => Decision::Answer(unknown(Reason::CopyRunning)),
    }
}

/// Returns the reason why the home cannot tell whether a call with an unrecorded key has run
/// before.
///
/// An earlier home accepted keys created up to one clock skew after its own time, and its clock may
/// have been one skew ahead of this host's clock when this tenure began.
fn key_age_refusal(
    context: &DecisionContext,
    tenure: Tenure,
    claims: &Claims,
    key: CallKey,
) -> Option<Reason> {
    let created = key.created_at();
    let skew = millis(context.clock_skew);
    if created.0 <= tenure.known_since.0.saturating_add(2 * skew) {
        return Some(Reason::KeyTooOld);
    }
    if created <= claims.expired_through(shard_of(key)) {
        return Some(Reason::KeyTooOld);
    }
    // A later home would accept such a key as new, so the refusal must not state `not_run`.
    (created.0 > context.now.wall.0.saturating_add(skew)).then_some(Reason::KeyFromFuture)
}

/// Records that the call will never run before answering so.
fn record_refusal(claims: &mut Claims, key: CallKey, call_hash: u64, reason: Reason) -> Decision {
    let state = ClaimState::Refused(reason);
    match claims.insert(key, call_hash, state.clone()) {
        Ok(()) => Decision::Answer(answer_of(&state)),
        Err(_) => Decision::Answer(unknown(Reason::Overloaded)),
    }
}

/// Returns the answer to a copy of a call whose claim is in `state`.
pub(crate) fn answer_of(state: &ClaimState) -> Result<ServiceReply, Refusal> {
    match state {
        ClaimState::Done(reply) => Ok(reply.clone()),
        ClaimState::Refused(reason) => {
            Err(Refusal { outcome: Outcome::NotRun, reason: *reason, retry_after: None })
        }
        ClaimState::Running => unknown(Reason::CopyRunning),
        ClaimState::Unknown => unknown(Reason::TargetFailed),
    }
}

/// Returns the answer to a call that may or may not have run.
pub(crate) fn unknown(reason: Reason) -> Result<ServiceReply, Refusal> {
    Err(Refusal { outcome: Outcome::Unknown, reason, retry_after: None })
}

/// Returns a hash of the call, to detect a different call with the same key.
fn call_hash_of(call: &ServiceCall) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let media = call.media.as_deref().unwrap_or_default();
    let texts = [call.customer.as_str(), call.service.as_str(), &call.method, &call.path, media];
    for part in texts.map(str::as_bytes).into_iter().chain([&call.body[..]]) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    first_u64(&hasher.finalize())
}
