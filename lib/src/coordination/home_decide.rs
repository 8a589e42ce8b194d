//! What the home of a key does with a call: run it, let it wait for a copy, or answer it.

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

/// What the decision on one call depends on beside the claims.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallContext {
    /// The tenure of the key's shard, if this process holds it.
    pub(crate) tenure: Option<Tenure>,
    /// Whether the shard's claims are on their way to a successor, so that none may be added.
    pub(crate) frozen: bool,
    pub(crate) clock_skew: Duration,
    pub(crate) now: Now,
}

/// What is to be done with a call.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Decision {
    /// It is recorded as running and is to be run.
    Run,
    /// A copy runs, whose answer this one gets too.
    Wait,
    /// It is answered at once.
    Answer(Result<ServiceReply, Refusal>),
}

/// Decides on a call and records the decision.
pub(crate) fn decide(
    context: &CallContext,
    claims: &mut Claims,
    key: CallKey,
    call: &ForwardedCall,
    waiter: Waiter,
) -> Decision {
    let Some(tenure) = context.tenure else {
        return Decision::Answer(unknown(Reason::HomeUnavailable));
    };
    let call_hash = hash_of(&call.call);
    if claims.get(key).is_some() {
        return decide_copy(claims, key, call_hash, waiter);
    }
    if context.frozen {
        return Decision::Answer(unknown(Reason::HomeUnavailable));
    }
    if let Some(reason) = age_problem(context, tenure, claims, key) {
        return Decision::Answer(unknown(reason));
    }
    if call.time_left.is_zero() {
        return refuse(claims, key, call_hash, Reason::DeadlinePassed);
    }
    match claims.start(key, call_hash, waiter) {
        Ok(()) => Decision::Run,
        Err(_) => Decision::Answer(unknown(Reason::Overloaded)),
    }
}

/// Decides on a call whose key is known.
fn decide_copy(claims: &mut Claims, key: CallKey, call_hash: u64, waiter: Waiter) -> Decision {
    let Some(claim) = claims.get(key) else {
        return Decision::Answer(unknown(Reason::HomeUnavailable));
    };
    if claim.call_hash != call_hash {
        // The key's first call may have run, so this copy must not be told that nothing did.
        let reason = Reason::KeyReused;
        let refusal = Refusal { outcome: Outcome::Failed, reason, retry_after: None };
        return Decision::Answer(Err(refusal));
    }
    if claim.state != ClaimState::Running {
        return Decision::Answer(answer_of(&claim.state));
    }
    match claims.join(key, waiter) {
        true => Decision::Wait,
        false => Decision::Answer(unknown(Reason::CopyRunning)),
    }
}

/// Says why the home cannot know whether a key without a claim has run before.
///
/// An earlier home accepted keys made up to one skew after its own clock, and its clock may have
/// been one skew ahead of this one's when this one's tenure began.
fn age_problem(
    context: &CallContext,
    tenure: Tenure,
    claims: &Claims,
    key: CallKey,
) -> Option<Reason> {
    let made = key.created_at();
    let skew = millis(context.clock_skew);
    if made.0 <= tenure.known_since.0.saturating_add(2 * skew) {
        return Some(Reason::KeyTooOld);
    }
    if made <= claims.forgotten(shard_of(key)) {
        return Some(Reason::KeyTooOld);
    }
    // A later home would take such a key for new, so it can be refused but not called not run.
    (made.0 > context.now.wall.0.saturating_add(skew)).then_some(Reason::KeyFromFuture)
}

/// Records that the call will never run, and only then says so.
fn refuse(claims: &mut Claims, key: CallKey, call_hash: u64, reason: Reason) -> Decision {
    let state = ClaimState::Refused(reason);
    match claims.insert(key, call_hash, state.clone()) {
        Ok(()) => Decision::Answer(answer_of(&state)),
        Err(_) => Decision::Answer(unknown(Reason::Overloaded)),
    }
}

/// Returns the answer that a claim's state stands for.
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

/// Returns a hash by which another call under the same key is told apart.
fn hash_of(call: &ServiceCall) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let media = call.media.as_deref().unwrap_or_default();
    let texts = [call.customer.as_str(), call.service.as_str(), &call.method, &call.path, media];
    for part in texts.map(str::as_bytes).into_iter().chain([&call.body[..]]) {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    first_u64(&hasher.finalize())
}
