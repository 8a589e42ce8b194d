//! What a caller asks for, after the protocol layer has checked its form.

use std::sync::Arc;

use super::names::CallKey;
use super::names::CustomerName;
use super::names::ModelName;
use super::names::RequestId;
use super::names::ServiceName;
use super::time::Moment;

/// How much a request matters beside others of the same customer; higher goes first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Priority {
    /// Work that may wait, such as archive digests.
    Low,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that a person waits for at that moment.
    High,
}

/// The hash of a prompt's text from its start to the end of one block.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PrefixHash(pub u64);

/// The text of a prompt with what placement needs to know of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// The text that the engine reads.
    pub text: Arc<str>,
    /// The estimated length in tokens.
    pub tokens: u32,
    /// The hash up to the end of each whole block of `prefix::BLOCK_TOKENS`, first block first.
    pub blocks: Vec<PrefixHash>,
}

/// A request for a completion that was admitted or is about to be.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Completion {
    /// The identifier given by the entry host that it reached first.
    pub id: RequestId,
    /// The customer that it counts for.
    pub customer: CustomerName,
    /// The model that it asks for.
    pub model: ModelName,
    /// The prompt.
    pub prompt: Prompt,
    /// Further fields of the body, as the text of a JSON object.
    pub options: Arc<str>,
    /// The most tokens that the answer may have.
    pub max_output: u32,
    /// Its priority among the customer's own requests.
    pub priority: Priority,
    /// When it reached this entry host.
    pub arrived: Moment,
    /// When its final answer must have gone out.
    pub deadline: Moment,
    /// The number of tokens that the caller already has, from an earlier entry host.
    pub resume_from: u32,
}

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// The identifier given by the entry host that it reached first.
    pub id: RequestId,
    /// The customer that it counts for.
    pub customer: CustomerName,
    /// The service that the rules route it to.
    pub service: ServiceName,
    /// The method, such as `POST`.
    pub method: Arc<str>,
    /// The path at the service, with its query.
    pub path: Arc<str>,
    /// The body.
    pub body: Arc<[u8]>,
    /// The body's media type, if the caller gave one.
    pub media: Option<Arc<str>>,
    /// Whether the rules allow the call to be repeated.
    pub repeatable: bool,
    /// The caller's idempotency key, if it gave one.
    pub key: Option<CallKey>,
    /// The time left until the final answer must have gone out, in milliseconds.
    pub deadline: Moment,
}

/// What a plain service answered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceReply {
    /// The HTTP status.
    pub status: u16,
    /// The media type, if the service gave one.
    pub media: Option<Arc<str>>,
    /// The body.
    pub body: Arc<[u8]>,
}
