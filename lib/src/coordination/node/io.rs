//! What goes into the core and what comes out of it.

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

/// Names a caller's connection to the driver; the core hands it back with each answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u64);

/// Everything that happens to the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// A peer's message arrived and its sender was proved.
    Peer(Envelope),
    /// A caller asks for a completion.
    Completion {
        /// The caller's connection.
        caller: CallerId,
        /// What it asks for.
        request: Box<CompletionRequest>,
    },
    /// A caller asks for a call to a plain service.
    Call {
        /// The caller's connection.
        caller: CallerId,
        /// What it asks for.
        request: Box<CallRequest>,
    },
    /// A caller closed its connection.
    CallerGone(CallerId),
    /// An engine's stream said something.
    Stream(StreamReport),
    /// The answer to `Output::PollEngine`.
    EnginePolled(EnginePoll),
    /// A plain service answered, or did not.
    CallEnded(ServiceReport),
    /// The configuration service answered a watch, or did not.
    ConfigRead(ConfigReadResult),
    /// The platform answered a watch of the live list, or did not.
    LiveListRead(Result<Option<LiveList>, ReadFailure>),
    /// An engine answered an order, or did not.
    OrderEnded(OrderReport),
    /// The operator stops this process.
    Stop,
}

/// Everything that the core wants done.
#[derive(Debug, Clone)]
pub enum Output {
    /// Send a message to a peer.
    Send {
        /// The peer.
        to: HostName,
        /// The message.
        message: PeerMessage,
    },
    /// Pass something to a caller.
    Answer {
        /// The caller's connection.
        caller: CallerId,
        /// What to pass.
        piece: AnswerPiece,
    },
    /// Start a stream at an engine, or the prefill of a segment.
    StartStream(Box<StreamStart>),
    /// Close the local end of a stream and delete the attempt at the engine.
    CancelStream {
        /// The attempt.
        attempt: AttemptId,
        /// The engine's address.
        addr: SocketAddr,
    },
    /// Read an engine's listing and load.
    PollEngine {
        /// The engine.
        engine: EngineName,
        /// Its address.
        addr: SocketAddr,
        /// The cache events before this number are known.
        cache_after: u64,
    },
    /// Send a call to a plain service.
    SendCall {
        /// The address of the service's process.
        addr: SocketAddr,
        /// The call.
        call: ServiceCall,
        /// The time left until its deadline.
        left: Duration,
    },
    /// Watch the configuration service for a version above `after`.
    WatchConfig {
        /// The version in force; zero is none.
        after: u64,
        /// How long the service may wait for a newer one.
        wait: Duration,
    },
    /// Watch the live list for a version above `after`.
    WatchLiveList {
        /// The version in use; zero is none.
        after: u64,
    },
    /// Give an order to an engine.
    SendOrder {
        /// The engine's address.
        addr: SocketAddr,
        /// The order, with the fencing number of the configuration that it follows from.
        order: Order,
    },
    /// The addresses of the peers changed; one whose name is not known is named by its address.
    SetPeers(Vec<PeerAddr>),
    /// Something to note in the time line.
    RecordEvent(Event),
    /// The planned stop is over; the process may end.
    Stopped,
}

/// Where a peer is reached.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerAddr {
    /// The peer.
    pub host: HostName,
    /// Its address.
    pub addr: SocketAddr,
}

/// A caller's completion request before admission.
#[derive(Debug, Clone)]
pub struct CompletionRequest {
    /// The hash of the bearer token, if one was sent.
    pub token_hash: Option<[u8; 32]>,
    /// The model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Prompt,
    /// Further fields of the body, as the text of a JSON object, which the engine gets as they are.
    pub options: Arc<str>,
    /// The most tokens that the answer may have.
    pub max_output: u32,
    /// The priority, if the caller named one.
    pub priority: Option<Priority>,
    /// The time until the final answer must have gone out, if the caller named one.
    pub deadline: Option<Duration>,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// What the caller already has of the answer.
    pub resume: Option<ResumePoint>,
}

/// Where an answer that broke off goes on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResumePoint {
    /// The request that broke off.
    pub request: RequestId,
    /// The answer tokens that the caller has.
    pub tokens: u32,
    /// Their text.
    pub text: Arc<str>,
}

/// A caller's call to a plain service before admission.
#[derive(Debug, Clone)]
pub struct CallRequest {
    /// The hash of the bearer token, if one was sent.
    pub token_hash: Option<[u8; 32]>,
    /// The method.
    pub method: Arc<str>,
    /// The path with its query, as the caller sent it.
    pub path: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
    /// The body's media type.
    pub media: Option<Arc<str>>,
    /// The time until the final answer must have gone out, if the caller named one.
    pub deadline: Option<Duration>,
    /// The idempotency key.
    pub key: Option<CallKey>,
}

/// What the core passes to a caller.
#[derive(Debug, Clone, PartialEq)]
pub enum AnswerPiece {
    /// The request has this identifier; always first.
    Accepted(RequestId),
    /// More of the answer.
    Text {
        /// The answer tokens up to the end of this piece.
        upto: u32,
        /// The text.
        text: String,
    },
    /// The answer is whole.
    End {
        /// Why generation ended.
        finish: FinishReason,
        /// The prompt's length in tokens.
        prompt_tokens: u32,
        /// The answer's length in tokens.
        output_tokens: u32,
    },
    /// A plain service's answer.
    Reply(ServiceReply),
    /// The request was refused or failed.
    Refused(Refusal),
    /// The caller's token is not known, or its request names something that does not exist.
    Rejected(Rejection),
}

/// Why a request does not fit the rules in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Rejection {
    /// The bearer token is missing or unknown.
    UnknownCustomer,
    /// The rules have no such model.
    UnknownModel(ModelName),
    /// The rules route no service below this path.
    UnknownPath,
    /// The prompt is longer than the model's limit.
    PromptTooLong {
        /// The prompt's length in tokens.
        tokens: u32,
        /// The limit.
        limit: u32,
    },
}

/// Why generation ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FinishReason {
    /// The engine came to an end.
    Stop,
    /// The answer reached its longest length.
    Length,
}

/// A stream, or the prefill of a segment, to be started at an engine.
#[derive(Debug, Clone)]
pub struct StreamStart {
    /// The engine.
    pub engine: EngineName,
    /// Its address.
    pub addr: SocketAddr,
    /// The attempt.
    pub attempt: AttemptId,
    /// The incarnation that owns it.
    pub owner: Incarnation,
    /// The model.
    pub model: ModelName,
    /// The prompt's whole text.
    pub text: Arc<str>,
    /// The part of the text that this engine reads, in bytes.
    pub range: std::ops::Range<usize>,
    /// Further fields of the request, as the text of a JSON object.
    pub options: Arc<str>,
    /// The most tokens of the whole answer.
    pub max_output: u32,
    /// From 0 to 9; higher goes first.
    pub priority: u8,
    /// The answer tokens that the caller already has.
    pub resume_from: u32,
    /// The text of those tokens.
    pub answered: Arc<str>,
    /// The earlier segments, held by other engines.
    pub segments: Vec<Segment>,
    /// Whether only a segment is read, held and exported.
    pub prefill_only: bool,
    /// The time left until the request's deadline.
    pub left: Duration,
}

/// A segment of a prompt that an engine holds for others to import.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Segment {
    /// The engine's address.
    pub addr: SocketAddr,
    /// The export's name there, as the text of a JSON value.
    pub export: Arc<str>,
    /// The segment's length in tokens.
    pub tokens: u32,
}

/// Something that an attempt's stream at an engine said.
#[derive(Debug, Clone)]
pub struct StreamReport {
    /// The attempt that the driver started the connection for.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
    /// What it said.
    pub event: AttemptEvent,
}

/// What an engine says of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptEvent {
    /// Prefill is over.
    Started {
        /// The tokens that were cached.
        cached: u32,
        /// How long prefill took at the engine.
        prefill: Duration,
    },
    /// A piece of the answer.
    Piece {
        /// The answer tokens before it.
        offset: u32,
        /// Its tokens.
        tokens: u32,
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Why generation ended.
        finish: FinishReason,
        /// The answer's whole length in tokens.
        tokens: u32,
    },
    /// The segment is read and can be imported.
    Exported {
        /// The export's name, as the text of a JSON value.
        export: Arc<str>,
        /// The segment's length in tokens.
        tokens: u32,
    },
    /// The engine refused the attempt; nothing of it runs there.
    Refused(AttemptRefusal),
    /// The connection could not be made or broke off.
    Lost {
        /// Whether the engine refused the connection.
        refused: bool,
    },
}

/// An engine's reason for refusing an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum AttemptRefusal {
    /// Its memory is full.
    MemoryFull,
    /// It does not have the model.
    UnknownModel,
    /// It is leaving.
    Leaving,
    /// An imported segment is not there any more.
    BadSegment,
    /// Anything else.
    Other,
}

/// What an engine said when it was polled.
#[derive(Debug, Clone)]
pub struct EnginePoll {
    /// The engine.
    pub engine: EngineName,
    /// Everything that holds memory there, or `None` if it did not answer.
    pub listing: Option<Vec<ListedAttempt>>,
    /// Its own figures, or `None` if it did not answer.
    pub stats: Option<EngineStats>,
    /// What it published of its cache, late and with gaps.
    pub cache: Vec<CacheEvent>,
    /// Whether the engine refused the connection.
    pub refused: bool,
}

/// An engine's own figures, which lag.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EngineStats {
    /// How old the figures are.
    pub age: Duration,
    /// Prompt tokens read a second.
    pub prefill_rate: u32,
    /// What orders can change, and whether the engine is leaving.
    pub report: EngineReport,
}

/// How a call to a plain service ended.
#[derive(Debug, Clone)]
pub struct ServiceReport {
    /// The request.
    pub request: RequestId,
    /// The address that it was sent to.
    pub addr: SocketAddr,
    /// How it ended.
    pub result: Result<ServiceReply, ServiceFailure>,
    /// Whether the service said that it is leaving.
    pub leaving: bool,
}

/// Why a call to a plain service has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ServiceFailure {
    /// No byte of the call was written; it did not run.
    NotSent,
    /// The connection failed or time ran out after the first byte; it may have run.
    Lost,
}

/// Why the platform could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReadFailure {
    /// It did not answer, or not in a way that can be understood.
    Unavailable,
    /// It asked to be called less often.
    RateLimited,
}

/// How an order ended.
#[derive(Debug, Clone)]
pub struct OrderReport {
    /// The order.
    pub order: Order,
    /// How it ended.
    pub result: OrderResult,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderResult {
    /// The engine carried it out.
    Done,
    /// The engine has seen a higher fencing number.
    Stale,
    /// The engine did not answer or refused; the order may have been carried out.
    Failed,
}
