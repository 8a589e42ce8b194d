//! The JSON that entry hosts and model engines exchange, as docs/platform.md describes it.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::AttemptEvent;
use crate::coordination::EngineStats;
use crate::coordination::FinishReason;
use crate::coordination::Segment;
use crate::state::CacheChange;
use crate::state::CacheEvent;
use crate::state::EngineReport;
use crate::state::EngineRole;
use crate::state::Incarnation;
use crate::state::ListedAttempt;
use crate::state::LoadedModel;
use crate::state::ModelName;
use crate::state::ParseRequestIdError;
use crate::state::PrefixHash;

/// The body of `POST /v1/completions` and `POST /v1/prefill` at an engine.
#[derive(Debug, Clone, Serialize)]
pub struct EngineRequest<'a> {
    /// The model.
    pub model: &'a str,
    /// The prompt's text.
    pub prompt: &'a str,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The priority, from 0 to 9; higher runs first.
    pub priority: u8,
    /// The attempt, as text.
    pub attempt: String,
    /// The incarnation that owns the attempt, as 16 hex digits.
    pub owner: String,
    /// The number of answer tokens that the caller has already received.
    pub resume_from: u32,
    /// The text of the answer tokens that the caller has already received.
    pub answered: &'a str,
    /// The earlier segments of the prompt, held by other engines.
    pub segments: Vec<SegmentJson>,
    /// Other fields of the caller's body, forwarded unchanged.
    #[serde(flatten)]
    pub options: serde_json::Map<String, serde_json::Value>,
}

/// A segment of a prompt that another engine holds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct SegmentJson {
    /// The engine's address.
    pub engine: String,
    /// The engine's identifier of the exported segment, passed back unchanged.
    pub export: serde_json::Value,
    /// The segment's length in tokens.
    pub tokens: u32,
}

impl From<&Segment> for SegmentJson {
    fn from(segment: &Segment) -> SegmentJson {
        SegmentJson {
            engine: segment.addr.to_string(),
            export: serde_json::from_str(&segment.export).unwrap_or_default(),
            tokens: segment.tokens,
        }
    }
}

/// One server-sent event of a completion.
#[derive(Debug, Clone, Deserialize)]
pub struct StreamEvent {
    /// The attempt that the event belongs to, as text.
    pub attempt: String,
    /// Whether this is the start event, sent when prefill ends.
    #[serde(default)]
    pub start: bool,
    /// The number of cached prompt tokens; set on the start event.
    #[serde(default)]
    pub cached: u32,
    /// How long prefill took; set on the start event.
    #[serde(default)]
    pub prefill_ms: u64,
    /// The number of answer tokens before this piece.
    #[serde(default)]
    pub offset: u32,
    /// The number of tokens in this piece, or in the whole answer on the last event.
    #[serde(default)]
    pub tokens: u32,
    /// The text of this piece.
    #[serde(default)]
    pub text: String,
    /// Whether this is the last event.
    #[serde(default)]
    pub done: bool,
    /// Why generation ended; set on the last event.
    #[serde(default)]
    pub finish: Option<String>,
}

impl From<StreamEvent> for AttemptEvent {
    fn from(event: StreamEvent) -> AttemptEvent {
        if event.start {
            let prefill = Duration::from_millis(event.prefill_ms);
            return AttemptEvent::Started { cached: event.cached, prefill };
        }
        if event.done {
            let finish = match event.finish.as_deref() {
                Some("length") => FinishReason::Length,
                _ => FinishReason::Stop,
            };
            return AttemptEvent::Done { finish, tokens: event.tokens };
        }
        AttemptEvent::Piece { offset: event.offset, tokens: event.tokens, text: event.text }
    }
}

/// The body of an engine's refusal.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct EngineRefusal {
    /// The machine-readable error code.
    pub error: String,
    /// The human-readable message.
    pub message: String,
}

/// The answer of `POST /v1/prefill`.
#[derive(Debug, Clone, Deserialize)]
pub struct PrefillReply {
    /// The engine's identifier of the exported segment, which is passed back unchanged.
    pub export: serde_json::Value,
    /// The segment's length in tokens.
    pub tokens: u32,
}

/// The answer of `GET /v1/attempts`.
#[derive(Debug, Clone, Deserialize)]
pub struct ListingReply {
    /// Every attempt that holds memory on the engine.
    pub attempts: Vec<ListedAttemptJson>,
}

/// One attempt in an engine's listing.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedAttemptJson {
    /// The attempt, as text.
    pub attempt: String,
    /// The incarnation that owns it, as hex digits.
    pub owner: String,
    /// The memory that it holds, in tokens.
    pub held: u32,
}

/// Why an entry of a listing could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListingError {
    /// The attempt is not a valid attempt id of this system.
    Attempt(ParseRequestIdError),
    /// The owner is not a hexadecimal incarnation.
    Owner(String),
}

impl TryFrom<&ListedAttemptJson> for ListedAttempt {
    type Error = ListingError;

    fn try_from(entry: &ListedAttemptJson) -> Result<ListedAttempt, ListingError> {
        let owner = u64::from_str_radix(&entry.owner, 16)
            .map_err(|_| ListingError::Owner(entry.owner.clone()))?;
        Ok(ListedAttempt {
            attempt: entry.attempt.parse().map_err(ListingError::Attempt)?,
            owner: Incarnation(owner),
            held: entry.held,
        })
    }
}

/// The answer of `GET /v1/load`.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct LoadReply {
    /// The age of the reported values.
    pub age_ms: u64,
    /// The prompt tokens in the queue.
    pub queued_tokens: u32,
    /// The number of running streams.
    pub running: u32,
    /// Memory held, in tokens.
    pub held: u32,
    /// Total memory, in tokens.
    pub memory: u32,
    /// The prefill rate, in prompt tokens per second.
    pub prefill_rate: u32,
    /// Whether the engine is draining: it finishes its work and accepts no more.
    pub leaving: bool,
    /// The engine's role: `short` or `long`; any other value means any prompt.
    pub role: String,
    /// The models loaded.
    pub models: Vec<LoadedModelJson>,
}

/// A model on an engine.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(default)]
pub struct LoadedModelJson {
    /// Its name.
    pub model: String,
    /// The version of its weights.
    pub revision: String,
    /// The adapters loaded with it.
    pub adapters: Vec<String>,
}

impl From<LoadReply> for EngineStats {
    fn from(reply: LoadReply) -> EngineStats {
        let models = reply.models.into_iter().map(LoadedModel::from).collect();
        let role = match reply.role.as_str() {
            "short" => EngineRole::Short,
            "long" => EngineRole::Long,
            _ => EngineRole::Any,
        };
        EngineStats {
            age: Duration::from_millis(reply.age_ms),
            prefill_rate: reply.prefill_rate,
            report: EngineReport { role, models, leaving: reply.leaving },
        }
    }
}

impl From<LoadedModelJson> for LoadedModel {
    fn from(json: LoadedModelJson) -> LoadedModel {
        LoadedModel {
            model: ModelName::new(json.model),
            revision: json.revision,
            adapters: json.adapters,
        }
    }
}

/// The answer of `GET /v1/cache-events`.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct CacheReply {
    /// The events after the requested sequence number, oldest first.
    pub events: Vec<CacheEventJson>,
}

/// One event of an engine's prefix cache.
#[derive(Debug, Clone, Deserialize)]
pub struct CacheEventJson {
    /// The sequence number that the engine gave the event.
    pub seq: u64,
    /// `stored` or `evicted`.
    pub kind: String,
    /// The block's hash, 16 hex digits.
    pub hash: String,
}

impl CacheReply {
    /// Returns the events of known kinds with valid hashes, and skips the others.
    pub fn known(&self) -> Vec<CacheEvent> {
        self.events.iter().filter_map(CacheEventJson::known).collect()
    }
}

impl CacheEventJson {
    fn known(&self) -> Option<CacheEvent> {
        let change = match self.kind.as_str() {
            "stored" => CacheChange::Stored,
            "evicted" => CacheChange::Evicted,
            _ => return None,
        };
        let hash = PrefixHash(u64::from_str_radix(&self.hash, 16).ok()?);
        Some(CacheEvent { seq: self.seq, change, hash })
    }
}
