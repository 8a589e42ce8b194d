//! Requests of callers, as parsed and validated by the protocol layer.

use std::sync::Arc;

use super::names::CallKey;
use super::names::CustomerName;
use super::names::ModelName;
use super::names::RequestId;
use super::names::ServiceName;
use super::time::Moment;

/// The priority of a request among those of the same customer; higher goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Work that can be deferred, such as archive digests.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Interactive work: a person is waiting for the answer.
    High,
}

/// The hash of a prompt's text from its start to the end of one block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// The text of a prompt, with the properties that placement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The text that the engine reads.
    pub text: Arc<str>,
    /// The estimated length in tokens.
    pub tokens: u32,
    /// The hash of the text up to the end of each whole block of `prefix::BLOCK_TOKENS`, in order.
    pub blocks: Vec<PrefixHash>,
}

/// A completion request, admitted or about to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The identifier assigned by the entry host that it reached first.
    pub id: RequestId,
    /// The customer that it is charged to.
    pub customer: CustomerName,
    /// The requested model.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Prompt,
    /// The other fields of the body, as the text of a JSON object.
    pub options: Arc<str>,
    /// The maximum length of the answer, in tokens.
    pub max_output: u32,
    /// Its priority among the customer's own requests.
    pub priority: Priority,
    /// When it reached this entry host.
    pub arrived: Moment,
    /// The time by which the final answer must be sent.
    pub deadline: Moment,
    /// The number of answer tokens that the caller already received from an earlier entry host.
    pub resume_from: u32,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The identifier assigned by the entry host that it reached first.
    pub id: RequestId,
    /// The customer that it is charged to.
    pub customer: CustomerName,
    /// The service that the rules route it to.
    pub service: ServiceName,
    /// The HTTP method, such as `POST`.
    pub method: Arc<str>,
    /// The path at the service, including the query.
    pub path: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
    /// The media type of the body, if the caller gave one.
    pub media: Option<Arc<str>>,
    /// Whether the rules allow repeating the call.
    pub repeatable: bool,
    /// The caller's idempotency key, if it gave one.
    pub key: Option<CallKey>,
    /// The time by which the final answer must be sent.
    pub deadline: Moment,
}

/// The response of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The media type, if the service gave one.
    pub media: Option<Arc<str>>,
    /// The body.
    pub body: Arc<[u8]>,
}
