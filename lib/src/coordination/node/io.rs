//! Inputs and outputs of the core.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::coordination::ConfigReadResult;
use crate::coordination::Envelope;
use crate::coordination::PeerMessage;
use crate::state::AttemptId;
use crate::state::CacheEvent;
use crate::state::CallKey;
use crate::state::EngineName;
use crate::state::EngineReport;
use crate::state::Event;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::ListedAttempt;
use crate::state::LiveList;
use crate::state::ModelName;
use crate::state::Order;
use crate::state::Priority;
use crate::state::Prompt;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::ServiceCall;
use crate::state::ServiceReply;

/// Identifies a caller's connection to the driver; the core returns it with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// An event that the core has to handle.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A peer's message arrived; its sender has been verified.
    Peer(Envelope),
    /// A caller requests a completion.
    Completion { caller: CallerId, request: Box<CompletionRequest> },
    /// A caller requests a call to a plain service.
    Call { caller: CallerId, request: Box<CallRequest> },
    /// A caller closed its connection.
    CallerGone(CallerId),
    /// An event on an attempt's stream at an engine.
    Stream(StreamReport),
    /// The result of `Output::PollEngine`.
    EnginePolled(EnginePoll),
    /// The result of `Output::SendCall`.
    CallEnded(ServiceReport),
    /// The result of `Output::WatchConfig`.
    ConfigRead(ConfigReadResult),
    /// The result of `Output::WatchLiveList`.
    LiveListRead(Result<Option<LiveList>, ReadFailure>),
    /// The result of `Output::SendOrder`.
    OrderEnded(OrderReport),
    /// The operator requests a planned stop of this process.
    Stop,
}

/// An action that the core requests from its driver.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message to a peer.
    Send { to: HostName, message: PeerMessage },
    /// Send a part of the answer to a caller.
    Answer { caller: CallerId, piece: AnswerPiece },
    /// Start a stream at an engine, or the prefill of a segment.
    StartStream(Box<StreamStart>),
    /// Close the local end of a stream and delete the attempt at the engine.
    CancelStream { attempt: AttemptId, addr: SocketAddr },
    /// Read an engine's listing, load and cache events.
    PollEngine {
        engine: EngineName,
        addr: SocketAddr,
        /// Sequence number of the last cache event that the core has received.
        cache_after: u64,
    },
    /// Send a call to a plain service.
    SendCall {
        /// Address of the service process.
        addr: SocketAddr,
        call: ServiceCall,
        /// Time left until the call's deadline.
        time_left: Duration,
    },
    /// Watch the configuration service for a version above `after`.
    WatchConfig {
        /// Version in force; zero if there is none.
        after: u64,
        /// Maximum time that the service may wait for a newer version.
        wait: Duration,
    },
    /// Watch the live list for a version above `after`.
    WatchLiveList {
        /// Version in use; zero if there is none.
        after: u64,
    },
    /// Send an order to an engine.
    SendOrder {
        addr: SocketAddr,
        /// The order, with the fencing number of the configuration that it is derived from.
        order: Order,
    },
    /// The addresses of the peers changed. A peer whose name is not yet known is named by its
    /// address.
    SetPeers(Vec<PeerAddr>),
    /// Record an event in the time line.
    RecordEvent(Event),
    /// The planned stop has ended; the process may exit.
    Stopped,
}

/// The name and address of a peer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddr {
    pub host: HostName,
    pub addr: SocketAddr,
}

/// A caller's completion request before admission.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// Hash of the bearer token, if one was sent.
    pub token_hash: Option<[u8; 32]>,
    pub model: ModelName,
    pub prompt: Prompt,
    /// Other fields of the body, as the text of a JSON object. They are passed to the engine
    /// unchanged.
    pub options: Arc<str>,
    /// Maximum number of answer tokens.
    pub max_output: u32,
    /// Priority, if the caller set one.
    pub priority: Option<Priority>,
    /// Time until the final answer must have been sent, if the caller set one.
    pub deadline: Option<Duration>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// The part of the answer that the caller already has.
    pub resume: Option<ResumePoint>,
}

/// Position from which an interrupted answer continues.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// The request that was interrupted.
    pub request: RequestId,
    /// Number of answer tokens that the caller has.
    pub tokens: u32,
    /// Text of those tokens.
    pub text: Arc<str>,
}

/// A caller's call to a plain service before admission.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// Hash of the bearer token, if one was sent.
    pub token_hash: Option<[u8; 32]>,
    pub method: Arc<str>,
    /// The path with its query, as sent by the caller.
    pub path: Arc<str>,
    pub body: Arc<[u8]>,
    /// Media type of the body.
    pub media: Option<Arc<str>>,
    /// Time until the final answer must have been sent, if the caller set one.
    pub deadline: Option<Duration>,
    /// The idempotency key.
    pub key: Option<CallKey>,
}

/// A part of the answer to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerPiece {
    /// The identifier of the request; always sent first.
    Accepted(RequestId),
    /// More of the answer.
    Text {
        /// Number of answer tokens up to the end of this piece.
        upto: u32,
        text: String,
    },
    /// The answer is complete.
    End {
        finish: FinishReason,
        /// Length of the prompt in tokens.
        prompt_tokens: u32,
        /// Length of the answer in tokens.
        output_tokens: u32,
    },
    /// A plain service's answer.
    Reply(ServiceReply),
    /// The request was refused or has failed.
    Refused(Refusal),
    /// The caller's token is unknown, or the request names something that does not exist.
    Rejected(Rejection),
}

/// Why a request is invalid under the rules in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// The bearer token is missing or unknown.
    UnknownCustomer,
    /// The rules do not define this model.
    UnknownModel(ModelName),
    /// The rules route no service for this path.
    UnknownPath,
    /// The prompt exceeds the model's limit.
    PromptTooLong {
        /// Length of the prompt in tokens.
        tokens: u32,
        /// Maximum length in tokens.
        limit: u32,
    },
}

/// Why generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FinishReason {
    /// The model finished the answer.
    Stop,
    /// The answer reached its maximum length.
    Length,
}

/// A stream, or the prefill of a segment, to be started at an engine.
#[derive(Debug, Clone)]
pub struct StreamStart {
    pub engine: EngineName,
    pub addr: SocketAddr,
    pub attempt: AttemptId,
    /// Incarnation of the process that owns the attempt.
    pub owner: Incarnation,
    pub model: ModelName,
    /// The whole text of the prompt.
    pub text: Arc<str>,
    /// Byte range of the text that this engine reads.
    pub range: std::ops::Range<usize>,
    /// Other fields of the request, as the text of a JSON object.
    pub options: Arc<str>,
    /// Maximum number of tokens of the whole answer.
    pub max_output: u32,
    /// Priority from 0 to 9; higher values are scheduled first.
    pub priority: u8,
    /// Number of answer tokens that the caller already has.
    pub resume_from: u32,
    /// Text of those tokens.
    pub answered: Arc<str>,
    /// Earlier segments of the prompt, held by other engines.
    pub segments: Vec<Segment>,
    /// Whether the engine only reads, holds and exports a segment.
    pub prefill_only: bool,
    /// Time left until the request's deadline.
    pub time_left: Duration,
}

/// A segment of a prompt that an engine holds for other engines to import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    pub addr: SocketAddr,
    /// Name of the export at that engine, as the text of a JSON value.
    pub export: Arc<str>,
    /// Length of the segment in tokens.
    pub tokens: u32,
}

/// An event on the stream of an attempt at an engine.
#[derive(Debug, Clone)]
pub struct StreamReport {
    /// The attempt that the driver opened the connection for.
    pub attempt: AttemptId,
    pub engine: EngineName,
    pub event: AttemptEvent,
}

/// What an engine reports about an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// Prefill has ended.
    Started {
        /// Number of prompt tokens that were cached.
        cached: u32,
        /// Duration of prefill at the engine.
        prefill: Duration,
    },
    /// A piece of the answer.
    Piece {
        /// Number of answer tokens before this piece.
        offset: u32,
        /// Number of tokens in this piece.
        tokens: u32,
        text: String,
    },
    /// The answer is complete.
    Done {
        finish: FinishReason,
        /// Length of the whole answer in tokens.
        tokens: u32,
    },
    /// The segment has been read and can be imported.
    Exported {
        /// Name of the export, as the text of a JSON value.
        export: Arc<str>,
        /// Length of the segment in tokens.
        tokens: u32,
    },
    /// The engine refused the attempt; no part of it runs there.
    Refused(AttemptRefusal),
    /// The connection could not be opened or was lost.
    Lost {
        /// Whether the engine refused the connection.
        refused: bool,
    },
}

/// Why an engine refused an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptRefusal {
    /// Its memory is full.
    MemoryFull,
    /// It does not have the model.
    UnknownModel,
    /// It accepts no new attempts because it is leaving.
    Leaving,
    /// A segment to be imported no longer exists.
    BadSegment,
    /// Any other reason.
    Other,
}

/// Result of polling an engine.
#[derive(Debug, Clone)]
pub struct EnginePoll {
    pub engine: EngineName,
    /// All attempts that hold memory at the engine, or `None` if it did not answer.
    pub listing: Option<Vec<ListedAttempt>>,
    /// The engine's own statistics, or `None` if it did not answer.
    pub stats: Option<EngineStats>,
    /// Events of its prefix cache, which arrive late and with gaps.
    pub cache: Vec<CacheEvent>,
    /// Whether the engine refused the connection.
    pub refused: bool,
}

/// An engine's own statistics, which lag behind its state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineStats {
    /// Age of the statistics.
    pub age: Duration,
    /// Prompt tokens read per second.
    pub prefill_rate: u32,
    /// The models, adapters and role that orders can change, and whether the engine is leaving.
    pub report: EngineReport,
}

/// Result of a call to a plain service.
#[derive(Debug, Clone)]
pub struct ServiceReport {
    pub request: RequestId,
    /// The address that the call was sent to.
    pub addr: SocketAddr,
    pub result: Result<ServiceReply, ServiceFailure>,
    /// Whether the service reported that it is leaving.
    pub leaving: bool,
}

/// Why a call to a plain service got no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceFailure {
    /// No byte of the call was written; it did not run.
    NotSent,
    /// The connection failed or the time limit passed after the first byte; the call may have run.
    Lost,
}

/// Why the platform could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReadFailure {
    /// It did not answer, or its answer could not be parsed.
    Unavailable,
    /// It is limiting the request rate.
    RateLimited,
}

/// Result of an order to an engine.
#[derive(Debug, Clone)]
pub struct OrderReport {
    pub order: Order,
    pub result: OrderResult,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderResult {
    /// The engine executed the order.
    Done,
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine did not answer or refused; it may have executed the order.
    Failed,
}
