//! Formats events as plain sentences for operators.

use std::time::Duration;

use crate::state::Considered;
use crate::state::Event;
use crate::state::HybridTime;
use crate::state::LeftOut;
use crate::state::MoveCause;

/// The maximum number of engines in each list of a sentence, not counting the chosen one.
const MAX_LISTED_ENGINES: usize = 6;

/// Returns the time of day, in UTC, to the millisecond.
///
/// ```
/// use wasabicrank_lib::protocol::time_of_day;
/// use wasabicrank_lib::state::HybridTime;
/// assert_eq!(time_of_day(HybridTime(86_400_000_000 + 3_661_007_000)), "01:01:01.007");
/// ```
pub fn time_of_day(at: HybridTime) -> String {
    let millis = at.0 / 1000;
    let (seconds, millis) = (millis / 1000, millis % 1000);
    let (minutes, hours) = (seconds / 60, seconds / 3600);
    format!("{:02}:{:02}:{:02}.{millis:03}", hours % 24, minutes % 60, seconds % 60)
}

/// Formats a duration in milliseconds, or in seconds from one second on.
///
/// ```
/// use std::time::Duration;
/// use wasabicrank_lib::protocol::span_text;
/// assert_eq!(span_text(Duration::from_micros(300)), "0.3 ms");
/// assert_eq!(span_text(Duration::from_millis(1_250)), "1.25 s");
/// ```
pub fn span_text(span: Duration) -> String {
    let millis = span.as_secs_f64() * 1000.0;
    match millis {
        ..10.0 => format!("{millis:.1} ms"),
        ..1000.0 => format!("{millis:.0} ms"),
        _ => format!("{:.2} s", span.as_secs_f64()),
    }
}

/// Formats an event as a sentence.
///
/// ```
/// use wasabicrank_lib::protocol::event_sentence;
/// use wasabicrank_lib::state::Event;
/// let event = Event::ConfigAccepted { version: 7 };
/// assert_eq!(event_sentence(&event), "Configuration 7 is in force.");
/// ```
pub fn event_sentence(event: &Event) -> String {
    request_sentence(event).unwrap_or_else(|| fleet_sentence(event))
}

/// Formats an event of a request; returns `None` for other events.
fn request_sentence(event: &Event) -> Option<String> {
    Some(match event {
        Event::Admitted { prompt_tokens, deadline, .. } => {
            let left = span_text(*deadline);
            format!("Admitted with {prompt_tokens} prompt tokens and {left} until its deadline.")
        }
        Event::Placed { engine, considered, .. } => placement(engine.as_str(), considered),
        Event::Queued { engine, ahead_tokens, .. } => {
            format!("Waits at {engine} behind {ahead_tokens} prompt tokens.")
        }
        Event::Granted { engine, queued, .. } => {
            format!("Got leave to start on {engine} after {} in its queue.", span_text(*queued))
        }
        Event::Denied { engine, reason, .. } => {
            format!("Was not let onto {engine} ({reason}): {}", reason.sentence())
        }
        Event::FirstToken { engine, after, .. } => {
            format!("The first token came from {engine} after {}.", span_text(*after))
        }
        Event::Moved { engine, sent_tokens, cause, .. } => {
            let cause = cause_text(*cause);
            format!("Moved away from {engine} after {sent_tokens} tokens had gone out: {cause}.")
        }
        Event::Completed { tokens, after, .. } => {
            format!("The whole answer of {tokens} tokens went out after {}.", span_text(*after))
        }
        Event::Refused { refusal, .. } => {
            let (outcome, reason) = (refusal.outcome.as_str(), refusal.reason);
            format!("Ended as {outcome} ({reason}): {}", reason.sentence())
        }
        Event::CallSent { target, .. } => format!("The call was sent to {target}."),
        Event::CallForwarded { home, .. } => {
            format!("The call was forwarded to {home}, the home of its idempotency key.")
        }
        Event::OrphanCancelled { engine, attempt } => {
            format!("Attempt {attempt}, whose owner is gone, was cancelled on {engine}.")
        }
        _ => return None,
    })
}

/// Formats an event that does not belong to a request.
fn fleet_sentence(event: &Event) -> String {
    match event {
        Event::PeerSuspected { peer } => format!("Entry host {peer} is suspected of being dead."),
        Event::PeerAlive { peer } => format!("Entry host {peer} is alive."),
        Event::TargetChanged { target, state } => format!("Target {target} is now {state}."),
        Event::ConfigAccepted { version } => format!("Configuration {version} is in force."),
        Event::ConfigRefused { version, errors } => {
            let first = errors.first().map_or("no error was given", String::as_str);
            let more = errors.len().saturating_sub(1);
            format!("Configuration {version} was refused: {first} (and {more} more).")
        }
        Event::LeaseGained { shards } => format!("Got leases on {} shards.", shards.len()),
        Event::LeaseLost { shards } => format!("Lost leases on {} shards.", shards.len()),
        Event::OrderSent { engine, order, fence } => {
            format!("Ordered {engine} to {order}, with fencing number {fence}.")
        }
        Event::StopBegan => "A planned stop began.".to_owned(),
        Event::StopEnded { cut } => format!("The planned stop ended; {cut} streams were cut."),
        other => format!("{other:?}."),
    }
}

/// Formats a placement: the chosen engine, the estimates for it and the alternatives, and the
/// excluded engines with the reason.
fn placement(chosen: &str, considered: &[Considered]) -> String {
    let mut text = format!("Placed on {chosen}");
    if let Some(own) = considered.iter().find(|other| other.engine.as_str() == chosen) {
        text += &format!(", first token expected after {}", span_text(own.estimate));
    }
    let fit = considered.iter().filter(|other| other.left_out.is_none());
    let mut others: Vec<_> = fit.filter(|other| other.engine.as_str() != chosen).collect();
    others.sort_by_key(|other| other.estimate);
    let named = others.iter().map(|o| format!("{} ({})", o.engine, span_text(o.estimate)));
    text += &join_limited("; also possible: ", named);
    let left_out = considered.iter().filter_map(|other| {
        let why = left_out_text(other.left_out?);
        Some(format!("{} ({why})", other.engine))
    });
    text += &join_limited("; left out: ", left_out);
    text + "."
}

/// Returns `start` and at most `MAX_LISTED_ENGINES` items, or an empty text without items.
fn join_limited(start: &str, items: impl Iterator<Item = String>) -> String {
    let items: Vec<_> = items.collect();
    if items.is_empty() {
        return String::new();
    }
    let more = items.len().saturating_sub(MAX_LISTED_ENGINES);
    let named = items[..items.len() - more].join(", ");
    if more == 0 { format!("{start}{named}") } else { format!("{start}{named} and {more} more") }
}

fn left_out_text(why: LeftOut) -> &'static str {
    match why {
        LeftOut::NotLive => "leaving or gone",
        LeftOut::NoModel => "does not have the model",
        LeftOut::NoMemory => "too little memory",
        LeftOut::ShortReserve => "kept free of long prompts",
        LeftOut::StaleReport => "its report is too old",
    }
}

/// Returns why a request moved, as the end of a sentence.
fn cause_text(cause: MoveCause) -> &'static str {
    match cause {
        MoveCause::EngineRefused => "the engine refused it",
        MoveCause::ConnectionRefused => "the engine refused the connection",
        MoveCause::ConnectionLost => "the connection broke off",
        MoveCause::StreamBroken => "the stream missed a part of the answer",
        MoveCause::Silent => "the engine said nothing for too long",
        MoveCause::EngineGone => "the engine was seen gone",
    }
}
