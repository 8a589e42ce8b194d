//! Explains why a request waited, moved or was refused, from the event logs of all entry hosts.

use std::fmt;
use std::time::Duration;

use crate::state::Event;
use crate::state::HybridTime;
use crate::state::RequestId;
use crate::state::StampedEvent;
use crate::state::TimeLinePage;
use crate::state::merge_events;

use super::event_text::event_sentence;
use super::event_text::span_text;
use super::event_text::time_of_day;

/// The reply of one entry host to a query for its events.
#[derive(Debug, Clone, PartialEq)]
pub enum HostReply {
    /// Its events.
    Page(TimeLinePage),
    /// It gave no readable answer; the text names the host or its address, and the cause.
    NoAnswer(String),
}

/// An explanation in plain sentences.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Explanation {
    /// Whether any event of the request was found.
    pub found: bool,
    /// How the request ended, or that it is still open.
    pub verdict: String,
    /// What happened, in order.
    pub steps: Vec<String>,
    /// The events that may be missing.
    pub gaps: Vec<String>,
}

impl fmt::Display for Explanation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.verdict)?;
        self.steps.iter().try_for_each(|step| writeln!(f, "  {step}"))?;
        self.gaps.iter().try_for_each(|gap| writeln!(f, "Incomplete: {gap}"))
    }
}

/// Explains the course and outcome of `request`.
///
/// ```
/// use wasabicrank_lib::protocol::{HostReply, explain};
/// use wasabicrank_lib::state::{Incarnation, RequestId};
/// let request = RequestId { origin: Incarnation(1), seq: 1 };
/// let explanation = explain(request, [HostReply::NoAnswer("127.0.0.1:9 refused".to_owned())]);
/// assert!(!explanation.found);
/// assert_eq!(explanation.gaps, ["127.0.0.1:9 refused did not answer."]);
/// ```
pub fn explain(request: RequestId, replies: impl IntoIterator<Item = HostReply>) -> Explanation {
    let mut pages = Vec::new();
    let mut gaps = Vec::new();
    for reply in replies {
        match reply {
            HostReply::Page(page) => pages.push(page),
            HostReply::NoAnswer(who) => gaps.push(format!("{who} did not answer.")),
        }
    }
    let lost_events: Vec<LostEvents> = pages.iter().filter_map(LostEvents::of).collect();
    let mut events = merge_events(pages);
    events.retain(|stamped| stamped.event.request() == Some(request));
    let start = events.first().map(|first| first.at);
    gaps.extend(
        lost_events.iter().filter(|loss| loss.may_concern(start)).map(LostEvents::sentence),
    );
    Explanation {
        found: !events.is_empty(),
        verdict: verdict(request, &events),
        steps: start.map_or(Vec::new(), |start| steps(start, &events)),
        gaps,
    }
}

/// The events that are missing from one entry host's reply.
struct LostEvents {
    host: String,
    lost: u64,
    left_out: u64,
    until: HybridTime,
}

impl LostEvents {
    fn of(page: &TimeLinePage) -> Option<LostEvents> {
        let (lost, left_out) = (page.lost, page.left_out);
        let loss =
            LostEvents { host: page.host.to_string(), lost, left_out, until: page.lost_until };
        (lost > 0 || left_out > 0).then_some(loss)
    }

    /// Returns whether the lost events may include some of a request first seen at `start`.
    ///
    /// A request's first event is its admission or refusal. Events lost before it belong to other
    /// requests, while events lost after it may belong to this one. Without any event the start is
    /// unknown, so any loss counts.
    fn may_concern(&self, start: Option<HybridTime>) -> bool {
        self.left_out > 0 || start.is_none_or(|start| self.until >= start)
    }

    fn sentence(&self) -> String {
        let LostEvents { host, lost, left_out, until } = self;
        if *left_out > 0 {
            return format!("{host} has {left_out} more events of this request than it told.");
        }
        let until = time_of_day(*until);
        format!("{host} has lost its {lost} oldest events, up to {until}.")
    }
}

/// Returns a sentence that says how the request ended.
fn verdict(request: RequestId, events: &[StampedEvent]) -> String {
    if events.is_empty() {
        return format!("Nothing is known of request {request}.");
    }
    let end = events.iter().rev().find_map(|stamped| match stamped.event.as_ref() {
        Event::Completed { .. } | Event::Refused { .. } => Some(event_sentence(&stamped.event)),
        _ => None,
    });
    let end = end.unwrap_or_else(|| "It has no final answer yet.".to_owned());
    format!("Request {request}: {end}{}", waits(events))
}

/// Returns sentences for the total queueing time and the number of moves to another engine.
fn waits(events: &[StampedEvent]) -> String {
    let queued: Duration = events.iter().map(|stamped| queued(&stamped.event)).sum();
    let moves = events.iter().filter(|stamped| is_move(&stamped.event)).count();
    let mut text = String::new();
    if !queued.is_zero() {
        text += &format!(" It waited {} in engines' queues.", span_text(queued));
    }
    match moves {
        0 => {}
        1 => text += " It moved once to another engine.",
        _ => text += &format!(" It moved {moves} times to another engine."),
    }
    text
}

fn queued(event: &Event) -> Duration {
    match event {
        Event::Granted { queued, .. } => *queued,
        _ => Duration::ZERO,
    }
}

fn is_move(event: &Event) -> bool {
    matches!(event, Event::Moved { .. })
}

/// Returns a line for each event, with its time since the first.
fn steps(start: HybridTime, events: &[StampedEvent]) -> Vec<String> {
    let line = |stamped: &StampedEvent| {
        let since = span_text(Duration::from_micros(stamped.at.0 - start.0));
        let (at, host) = (time_of_day(stamped.at), &stamped.host);
        format!("{at} (+{since}) {host}: {}", event_sentence(&stamped.event))
    };
    events.iter().map(line).collect()
}
