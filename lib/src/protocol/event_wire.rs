//! JSON format of events and of time line pages.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::state::AttemptId;
use crate::state::Considered;
use crate::state::EngineName;
use crate::state::Event;
use crate::state::HostName;
use crate::state::HybridTime;
use crate::state::LeftOut;
use crate::state::MoveCause;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::StampedEvent;
use crate::state::TimeLinePage;

/// Why a JSON object cannot be converted to an event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventJsonError {
    /// A string is not the id of a request or attempt.
    BadId(String),
    /// A string is not a known reason or outcome.
    UnknownValue(String),
}

impl fmt::Display for EventJsonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EventJsonError::BadId(found) => {
                write!(f, "found `{found}`, expected the id of a request or attempt")
            }
            EventJsonError::UnknownValue(found) => {
                write!(f, "found `{found}`, expected a known reason or outcome")
            }
        }
    }
}

impl std::error::Error for EventJsonError {}

/// The events of one entry host that match a query.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimeLineJson {
    /// The entry host.
    pub host: String,
    /// Number of events that its ring buffer has lost since the process started.
    pub lost: u64,
    /// The time of the newest lost event, in microseconds since the Unix epoch.
    pub lost_until_us: u64,
    /// Number of matching events that were omitted because of the limit.
    pub left_out: u64,
    /// The events, oldest first.
    pub events: Vec<StampedJson>,
}

/// An event with its time and host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StampedJson {
    /// When the event happened, by the hybrid logical clock, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// The entry host on which the event happened.
    pub host: String,
    /// The event.
    #[serde(flatten)]
    pub event: EventJson,
}

/// An event; durations are in microseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum EventJson {
    Admitted { request: String, prompt_tokens: u32, deadline_us: u64 },
    Placed { attempt: String, engine: String, considered: Vec<ConsideredJson> },
    Queued { attempt: String, engine: String, ahead_tokens: u32 },
    Granted { attempt: String, engine: String, queued_us: u64 },
    Denied { attempt: String, engine: String, reason: String },
    FirstToken { attempt: String, engine: String, after_us: u64 },
    Moved { attempt: String, engine: String, sent_tokens: u32, cause: MoveCauseJson },
    Completed { request: String, tokens: u32, after_us: u64 },
    Refused { request: String, outcome: String, reason: String, retry_us: Option<u64> },
    CallSent { request: String, target: String },
    CallForwarded { request: String, home: String },
    PeerSuspected { peer: String },
    PeerAlive { peer: String },
    TargetChanged { target: String, state: String },
    ConfigAccepted { version: u64 },
    ConfigRefused { version: u64, errors: Vec<String> },
    LeaseGained { shards: Vec<u16> },
    LeaseLost { shards: Vec<u16> },
    OrphanCancelled { attempt: String, engine: String },
    OrderSent { engine: String, order: String, fence: u64 },
    StopBegan,
    StopEnded { cut: u32 },
}

/// An engine that placement considered.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConsideredJson {
    /// The engine.
    pub engine: String,
    /// The expected time to the first token, in microseconds.
    pub estimate_us: u64,
    /// Why the engine was excluded, if it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub left_out: Option<LeftOutJson>,
}

/// Why placement excluded an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[allow(missing_docs)]
pub enum LeftOutJson {
    NotLive,
    NoModel,
    NoMemory,
    ShortReserve,
    StaleReport,
}

impl From<TimeLinePage> for TimeLineJson {
    fn from(page: TimeLinePage) -> Self {
        TimeLineJson {
            host: page.host.to_string(),
            lost: page.lost,
            lost_until_us: page.lost_until.0,
            left_out: page.left_out,
            events: page.events.iter().map(StampedJson::from).collect(),
        }
    }
}

impl TryFrom<TimeLineJson> for TimeLinePage {
    type Error = EventJsonError;

    fn try_from(json: TimeLineJson) -> Result<Self, EventJsonError> {
        let events: Result<_, _> = json.events.into_iter().map(StampedEvent::try_from).collect();
        Ok(TimeLinePage {
            host: HostName::new(json.host),
            lost: json.lost,
            lost_until: HybridTime(json.lost_until_us),
            left_out: json.left_out,
            events: events?,
        })
    }
}

impl From<&StampedEvent> for StampedJson {
    fn from(stamped: &StampedEvent) -> Self {
        let event = EventJson::from(stamped.event.as_ref());
        StampedJson { at_us: stamped.at.0, host: stamped.host.to_string(), event }
    }
}

impl TryFrom<StampedJson> for StampedEvent {
    type Error = EventJsonError;

    fn try_from(json: StampedJson) -> Result<Self, EventJsonError> {
        let event = Arc::new(json.event.try_into()?);
        Ok(StampedEvent { at: HybridTime(json.at_us), host: HostName::new(json.host), event })
    }
}

impl From<&Event> for EventJson {
    fn from(event: &Event) -> Self {
        match event {
            Event::Admitted { request, prompt_tokens, deadline } => EventJson::Admitted {
                request: request.to_string(),
                prompt_tokens: *prompt_tokens,
                deadline_us: micros(*deadline),
            },
            Event::Placed { attempt, engine, considered } => EventJson::Placed {
                attempt: attempt.to_string(),
                engine: engine.to_string(),
                considered: considered.iter().map(ConsideredJson::from).collect(),
            },
            Event::Queued { attempt, engine, ahead_tokens } => EventJson::Queued {
                attempt: attempt.to_string(),
                engine: engine.to_string(),
                ahead_tokens: *ahead_tokens,
            },
            Event::Granted { attempt, engine, queued } => EventJson::Granted {
                attempt: attempt.to_string(),
                engine: engine.to_string(),
                queued_us: micros(*queued),
            },
            Event::Denied { attempt, engine, reason } => EventJson::Denied {
                attempt: attempt.to_string(),
                engine: engine.to_string(),
                reason: reason.to_string(),
            },
            Event::FirstToken { attempt, engine, after } => EventJson::FirstToken {
                attempt: attempt.to_string(),
                engine: engine.to_string(),
                after_us: micros(*after),
            },
            Event::Moved { attempt, engine, sent_tokens, cause } => EventJson::Moved {
                attempt: attempt.to_string(),
                engine: engine.to_string(),
                sent_tokens: *sent_tokens,
                cause: (*cause).into(),
            },
            Event::Completed { request, tokens, after } => EventJson::Completed {
                request: request.to_string(),
                tokens: *tokens,
                after_us: micros(*after),
            },
            Event::Refused { request, refusal } => EventJson::Refused {
                request: request.to_string(),
                outcome: refusal.outcome.as_str().to_owned(),
                reason: refusal.reason.to_string(),
                retry_us: refusal.retry_after.map(micros),
            },
            Event::CallSent { request, target } => {
                EventJson::CallSent { request: request.to_string(), target: target.clone() }
            }
            Event::CallForwarded { request, home } => {
                EventJson::CallForwarded { request: request.to_string(), home: home.to_string() }
            }
            Event::PeerSuspected { peer } => EventJson::PeerSuspected { peer: peer.to_string() },
            Event::PeerAlive { peer } => EventJson::PeerAlive { peer: peer.to_string() },
            Event::TargetChanged { target, state } => {
                EventJson::TargetChanged { target: target.clone(), state: state.clone() }
            }
            Event::ConfigAccepted { version } => EventJson::ConfigAccepted { version: *version },
            Event::ConfigRefused { version, errors } => {
                EventJson::ConfigRefused { version: *version, errors: errors.clone() }
            }
            Event::LeaseGained { shards } => EventJson::LeaseGained { shards: shards.clone() },
            Event::LeaseLost { shards } => EventJson::LeaseLost { shards: shards.clone() },
            Event::OrphanCancelled { attempt, engine } => EventJson::OrphanCancelled {
                attempt: attempt.to_string(),
                engine: engine.to_string(),
            },
            Event::OrderSent { engine, order, fence } => EventJson::OrderSent {
                engine: engine.to_string(),
                order: order.clone(),
                fence: *fence,
            },
            Event::StopBegan => EventJson::StopBegan,
            Event::StopEnded { cut } => EventJson::StopEnded { cut: *cut },
        }
    }
}

impl TryFrom<EventJson> for Event {
    type Error = EventJsonError;

    fn try_from(json: EventJson) -> Result<Self, EventJsonError> {
        Ok(match json {
            EventJson::Admitted { request, prompt_tokens, deadline_us } => Event::Admitted {
                request: parse_request_id(&request)?,
                prompt_tokens,
                deadline: from_micros(deadline_us),
            },
            EventJson::Placed { attempt, engine, considered } => Event::Placed {
                attempt: parse_attempt_id(&attempt)?,
                engine: EngineName::new(engine),
                considered: considered.into_iter().map(Considered::from).collect(),
            },
            EventJson::Queued { attempt, engine, ahead_tokens } => Event::Queued {
                attempt: parse_attempt_id(&attempt)?,
                engine: EngineName::new(engine),
                ahead_tokens,
            },
            EventJson::Granted { attempt, engine, queued_us } => Event::Granted {
                attempt: parse_attempt_id(&attempt)?,
                engine: EngineName::new(engine),
                queued: from_micros(queued_us),
            },
            EventJson::Denied { attempt, engine, reason } => Event::Denied {
                attempt: parse_attempt_id(&attempt)?,
                engine: EngineName::new(engine),
                reason: parse_reason(&reason)?,
            },
            EventJson::FirstToken { attempt, engine, after_us } => Event::FirstToken {
                attempt: parse_attempt_id(&attempt)?,
                engine: EngineName::new(engine),
                after: from_micros(after_us),
            },
            EventJson::Moved { attempt, engine, sent_tokens, cause } => Event::Moved {
                attempt: parse_attempt_id(&attempt)?,
                engine: EngineName::new(engine),
                sent_tokens,
                cause: cause.into(),
            },
            EventJson::Completed { request, tokens, after_us } => Event::Completed {
                request: parse_request_id(&request)?,
                tokens,
                after: from_micros(after_us),
            },
            EventJson::Refused { request, outcome, reason, retry_us } => Event::Refused {
                request: parse_request_id(&request)?,
                refusal: Refusal {
                    outcome: parse_outcome(&outcome)?,
                    reason: parse_reason(&reason)?,
                    retry_after: retry_us.map(from_micros),
                },
            },
            EventJson::CallSent { request, target } => {
                Event::CallSent { request: parse_request_id(&request)?, target }
            }
            EventJson::CallForwarded { request, home } => Event::CallForwarded {
                request: parse_request_id(&request)?,
                home: HostName::new(home),
            },
            EventJson::PeerSuspected { peer } => Event::PeerSuspected { peer: HostName::new(peer) },
            EventJson::PeerAlive { peer } => Event::PeerAlive { peer: HostName::new(peer) },
            EventJson::TargetChanged { target, state } => Event::TargetChanged { target, state },
            EventJson::ConfigAccepted { version } => Event::ConfigAccepted { version },
            EventJson::ConfigRefused { version, errors } => {
                Event::ConfigRefused { version, errors }
            }
            EventJson::LeaseGained { shards } => Event::LeaseGained { shards },
            EventJson::LeaseLost { shards } => Event::LeaseLost { shards },
            EventJson::OrphanCancelled { attempt, engine } => Event::OrphanCancelled {
                attempt: parse_attempt_id(&attempt)?,
                engine: EngineName::new(engine),
            },
            EventJson::OrderSent { engine, order, fence } => {
                Event::OrderSent { engine: EngineName::new(engine), order, fence }
            }
            EventJson::StopBegan => Event::StopBegan,
            EventJson::StopEnded { cut } => Event::StopEnded { cut },
        })
    }
}

impl From<&Considered> for ConsideredJson {
    fn from(considered: &Considered) -> Self {
        ConsideredJson {
            engine: considered.engine.to_string(),
            estimate_us: micros(considered.estimate),
            left_out: considered.left_out.map(LeftOutJson::from),
        }
    }
}

impl From<ConsideredJson> for Considered {
    fn from(json: ConsideredJson) -> Self {
        Considered {
            engine: EngineName::new(json.engine),
            estimate: from_micros(json.estimate_us),
            left_out: json.left_out.map(LeftOut::from),
        }
    }
}

/// Why a request was moved from its engine to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MoveCauseJson {
    EngineRefused,
    ConnectionRefused,
    ConnectionLost,
    StreamBroken,
    Silent,
    EngineGone,
}

impl From<MoveCause> for MoveCauseJson {
    fn from(cause: MoveCause) -> Self {
        match cause {
            MoveCause::EngineRefused => MoveCauseJson::EngineRefused,
            MoveCause::ConnectionRefused => MoveCauseJson::ConnectionRefused,
            MoveCause::ConnectionLost => MoveCauseJson::ConnectionLost,
            MoveCause::StreamBroken => MoveCauseJson::StreamBroken,
            MoveCause::Silent => MoveCauseJson::Silent,
            MoveCause::EngineGone => MoveCauseJson::EngineGone,
        }
    }
}

impl From<MoveCauseJson> for MoveCause {
    fn from(json: MoveCauseJson) -> Self {
        match json {
            MoveCauseJson::EngineRefused => MoveCause::EngineRefused,
            MoveCauseJson::ConnectionRefused => MoveCause::ConnectionRefused,
            MoveCauseJson::ConnectionLost => MoveCause::ConnectionLost,
            MoveCauseJson::StreamBroken => MoveCause::StreamBroken,
            MoveCauseJson::Silent => MoveCause::Silent,
            MoveCauseJson::EngineGone => MoveCause::EngineGone,
        }
    }
}

impl From<LeftOut> for LeftOutJson {
    fn from(cause: LeftOut) -> Self {
        match cause {
            LeftOut::NotLive => LeftOutJson::NotLive,
            LeftOut::NoModel => LeftOutJson::NoModel,
            LeftOut::NoMemory => LeftOutJson::NoMemory,
            LeftOut::ShortReserve => LeftOutJson::ShortReserve,
            LeftOut::StaleReport => LeftOutJson::StaleReport,
        }
    }
}

impl From<LeftOutJson> for LeftOut {
    fn from(json: LeftOutJson) -> Self {
        match json {
            LeftOutJson::NotLive => LeftOut::NotLive,
            LeftOutJson::NoModel => LeftOut::NoModel,
            LeftOutJson::NoMemory => LeftOut::NoMemory,
            LeftOutJson::ShortReserve => LeftOut::ShortReserve,
            LeftOutJson::StaleReport => LeftOut::StaleReport,
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

fn from_micros(micros: u64) -> Duration {
    Duration::from_micros(micros)
}

fn parse_request_id(text: &str) -> Result<RequestId, EventJsonError> {
    text.parse().map_err(|_| EventJsonError::BadId(text.to_owned()))
}

fn parse_attempt_id(text: &str) -> Result<AttemptId, EventJsonError> {
    text.parse().map_err(|_| EventJsonError::BadId(text.to_owned()))
}

fn parse_reason(text: &str) -> Result<Reason, EventJsonError> {
    let found = Reason::ALL.into_iter().find(|reason| reason.as_str() == text);
    found.ok_or_else(|| EventJsonError::UnknownValue(text.to_owned()))
}

fn parse_outcome(text: &str) -> Result<Outcome, EventJsonError> {
    let all = [Outcome::NotRun, Outcome::Unknown, Outcome::Failed];
    let found = all.into_iter().find(|outcome| outcome.as_str() == text);
    found.ok_or_else(|| EventJsonError::UnknownValue(text.to_owned()))
}
