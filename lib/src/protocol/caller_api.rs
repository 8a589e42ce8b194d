//! The caller-facing HTTP API: OpenAI-style completion requests and answers, and refusals as JSON.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use super::token::hash_token;
use crate::coordination::CompletionRequest;
use crate::coordination::FinishReason;
use crate::coordination::ResumePoint;
use crate::state::CallKey;
use crate::state::ModelName;
use crate::state::Outcome;
use crate::state::Priority;
use crate::state::Prompt;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::prefix;

/// The limit on answer tokens if the request has no `max_tokens`.
const DEFAULT_OUTPUT_TOKENS: u32 = 256;

/// The fields of an engine request that callers must not set; they are dropped from the body.
const RESERVED_FIELDS: [&str; 9] = [
    "model",
    "prompt",
    "max_tokens",
    "priority",
    "attempt",
    "owner",
    "resume_from",
    "answered",
    "segments",
];

/// Why a caller's request could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerError {
    /// The body is not the JSON that was expected.
    Body(String),
    /// A header has an invalid value.
    Header { name: &'static str, found: String, expected: &'static str },
    /// The prompt is empty.
    EmptyPrompt,
    /// `max_tokens` is 0.
    NoOutput,
}

impl fmt::Display for CallerError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CallerError::Body(detail) => write!(f, "the body is not a valid request: {detail}"),
            CallerError::Header { name, found, expected } => {
                write!(f, "header `{name}` is `{found}`: expected {expected}")
            }
            CallerError::EmptyPrompt => f.write_str("the prompt is empty: expected some text"),
            CallerError::NoOutput => f.write_str("`max_tokens` is 0: expected at least 1"),
        }
    }
}

impl std::error::Error for CallerError {}

/// The body of `POST /v1/completions`.
#[derive(Debug, Clone, Deserialize)]
pub struct CompletionJson {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume: Option<ResumeJson>,
    #[serde(flatten)]
    options: serde_json::Map<String, serde_json::Value>,
}

/// The body of `POST /v1/chat/completions`.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatJson {
    model: String,
    messages: Vec<ChatMessage>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    resume: Option<ResumeJson>,
    #[serde(flatten)]
    options: serde_json::Map<String, serde_json::Value>,
}

/// One message of a chat.
#[derive(Debug, Clone, Deserialize)]
pub struct ChatMessage {
    role: String,
    content: String,
}

/// The part of an interrupted answer that a caller has already received.
#[derive(Debug, Clone, Deserialize)]
pub struct ResumeJson {
    token: String,
    #[serde(default)]
    text: String,
}

/// The headers of a caller's request that the core uses.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallerHeaders<'a> {
    /// `authorization`.
    pub authorization: Option<&'a str>,
    /// `x-priority`.
    pub priority: Option<&'a str>,
    /// `x-deadline-ms`.
    pub deadline: Option<&'a str>,
    /// `idempotency-key`.
    pub key: Option<&'a str>,
}

impl CallerHeaders<'_> {
    /// Returns the hash of the bearer token, if there is one.
    pub fn token_hash(&self) -> Option<[u8; 32]> {
        let token = self.authorization?.strip_prefix("Bearer ")?;
        Some(hash_token(token.trim()))
    }

    /// Returns the priority, if the header is present.
    pub fn priority(&self) -> Result<Option<Priority>, CallerError> {
        let Some(found) = self.priority else { return Ok(None) };
        match found {
            "low" => Ok(Some(Priority::Low)),
            "normal" => Ok(Some(Priority::Normal)),
            "high" => Ok(Some(Priority::High)),
            _ => Err(bad_header("x-priority", found, "`low`, `normal` or `high`")),
        }
    }

    /// Returns the caller's deadline for the request, if the header is present.
    pub fn deadline(&self) -> Result<Option<Duration>, CallerError> {
        let Some(found) = self.deadline else { return Ok(None) };
        let expected = "a number of milliseconds from 1 to 86400000";
        match found.parse::<u64>() {
            Ok(ms) if (1..=86_400_000).contains(&ms) => Ok(Some(Duration::from_millis(ms))),
            _ => Err(bad_header("x-deadline-ms", found, expected)),
        }
    }

    /// Returns the idempotency key, if there is one.
    pub fn key(&self) -> Result<Option<CallKey>, CallerError> {
        let Some(found) = self.key else { return Ok(None) };
        let expected = "a UUID of version 7, such as 0193b5a0-7c00-7000-8000-000000000000";
        match uuid::Uuid::parse_str(found) {
            Ok(uuid) if uuid.get_version_num() == 7 => Ok(Some(CallKey(uuid.as_u128()))),
            _ => Err(bad_header("idempotency-key", found, expected)),
        }
    }
}

fn bad_header(name: &'static str, found: &str, expected: &'static str) -> CallerError {
    CallerError::Header { name, found: found.chars().take(80).collect(), expected }
}

/// Parses the body of `POST /v1/completions`.
pub fn read_completion(
    body: &[u8],
    headers: &CallerHeaders<'_>,
) -> Result<CompletionRequest, CallerError> {
    let json: CompletionJson = parse(body)?;
    let resume = json.resume.map(resume_point).transpose()?;
    let fields = CompletionFields {
        model: json.model,
        prompt: json.prompt,
        max_tokens: json.max_tokens,
        stream: json.stream,
        resume,
        options: json.options,
    };
    build_request(fields, headers)
}

/// Parses the body of `POST /v1/chat/completions`, joining the messages into one prompt.
pub fn read_chat(
    body: &[u8],
    headers: &CallerHeaders<'_>,
) -> Result<CompletionRequest, CallerError> {
    let json: ChatJson = parse(body)?;
    let mut prompt = String::with_capacity(body.len());
    for message in &json.messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    let resume = json.resume.map(resume_point).transpose()?;
    let fields = CompletionFields {
        model: json.model,
        prompt,
        max_tokens: json.max_tokens,
        stream: json.stream,
        resume,
        options: json.options,
    };
    build_request(fields, headers)
}

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, CallerError> {
    serde_json::from_slice(body).map_err(|e| CallerError::Body(e.to_string()))
}

/// The fields that plain and chat completion requests share.
struct CompletionFields {
    model: String,
    prompt: String,
    max_tokens: Option<u32>,
    stream: bool,
    resume: Option<ResumePoint>,
    options: serde_json::Map<String, serde_json::Value>,
}

fn build_request(
    fields: CompletionFields,
    headers: &CallerHeaders<'_>,
) -> Result<CompletionRequest, CallerError> {
    let CompletionFields { model, prompt, max_tokens, stream, resume, mut options } = fields;
    // A caller must not be able to set the owner, attempt or priority that the engine sees.
    options.retain(|name, _| !RESERVED_FIELDS.contains(&name.as_str()));
    if prompt.is_empty() {
        return Err(CallerError::EmptyPrompt);
    }
    if max_tokens == Some(0) {
        return Err(CallerError::NoOutput);
    }
    let prompt = Prompt {
        tokens: prefix::token_estimate(&prompt),
        blocks: prefix::block_hashes(&prompt),
        text: Arc::from(prompt),
    };
    Ok(CompletionRequest {
        token_hash: headers.token_hash(),
        model: ModelName::new(model),
        prompt,
        options: Arc::from(serde_json::Value::Object(options).to_string()),
        max_output: max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS),
        priority: headers.priority()?,
        deadline: headers.deadline()?,
        stream,
        resume,
    })
}

/// Parses a resume token `ID:N`: the interrupted request's id and the number of tokens received.
fn resume_point(json: ResumeJson) -> Result<ResumePoint, CallerError> {
    let expected = "the `id` of the last event that came, such as 0123456789abcdef-7:42";
    let bad = || bad_header("resume.token", &json.token, expected);
    let (request, tokens) = json.token.rsplit_once(':').ok_or_else(bad)?;
    let request = request.parse().map_err(|_| bad())?;
    let tokens = tokens.parse().map_err(|_| bad())?;
    Ok(ResumePoint { request, tokens, text: Arc::from(json.text.as_str()) })
}

/// The JSON of a refusal.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct RefusalJson {
    /// `not_run`, `unknown` or `failed`.
    pub outcome: String,
    /// The machine-readable reason.
    pub reason: String,
    /// The human-readable reason.
    pub message: String,
    /// The request's id; empty if the request was not given one.
    pub request_id: String,
}

impl RefusalJson {
    /// Creates the JSON of a refusal by the core.
    pub fn new(id: Option<RequestId>, refusal: &Refusal) -> RefusalJson {
        RefusalJson {
            outcome: refusal.outcome.as_str().to_owned(),
            reason: refusal.reason.as_str().to_owned(),
            message: refusal.reason.sentence().to_owned(),
            request_id: id.map(|id| id.to_string()).unwrap_or_default(),
        }
    }

    /// Creates the JSON of a refusal issued before the core saw the request, so that the request
    /// certainly did not run.
    pub fn not_run(reason: &str, message: impl Into<String>) -> RefusalJson {
        RefusalJson {
            outcome: Outcome::NotRun.as_str().to_owned(),
            reason: reason.to_owned(),
            message: message.into(),
            request_id: String::new(),
        }
    }
}

/// The response format of a completion: plain or chat.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerShape {
    /// The format of `POST /v1/completions`.
    Text,
    /// The format of `POST /v1/chat/completions`.
    Chat,
}

/// One piece of a streamed answer.
#[derive(Debug, Clone, Copy)]
pub struct PieceView<'a> {
    /// The request.
    pub id: RequestId,
    /// The number of answer tokens up to and including this piece.
    pub upto: u32,
    /// The text.
    pub text: &'a str,
    /// Why generation ended; set only on the last piece.
    pub finish: Option<FinishReason>,
}

/// Appends a piece as one server-sent event, whose `id` is a resume token.
pub fn write_piece(out: &mut String, shape: AnswerShape, piece: &PieceView<'_>) {
    use fmt::Write;
    let text = serde_json::to_string(piece.text).unwrap_or_default();
    let finish = piece.finish.map_or("null", finish_json);
    let id = piece.id;
    let upto = piece.upto;
    let written = match shape {
        AnswerShape::Text => write!(
            out,
            "id: {id}:{upto}\ndata: {{\"id\":\"{id}\",\"object\":\"text_completion\",\"choices\":\
             [{{\"index\":0,\"text\":{text},\"finish_reason\":{finish}}}]}}\n\n"
        ),
        AnswerShape::Chat => write!(
            out,
            "id: {id}:{upto}\ndata: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\
             \"choices\":[{{\"index\":0,\"delta\":{{\"content\":{text}}},\
             \"finish_reason\":{finish}}}]}}\n\n"
        ),
    };
    debug_assert!(written.is_ok(), "writing to a string cannot fail");
}

/// Returns the JSON of a complete, unstreamed answer.
pub fn whole_answer(shape: AnswerShape, id: RequestId, text: &str, usage: &UsageView) -> String {
    let finish = finish_word(usage.finish);
    let usage = serde_json::json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.output_tokens,
        "total_tokens": usage.prompt_tokens + usage.output_tokens,
    });
    let (object, choice) = match shape {
        AnswerShape::Text => (
            "text_completion",
            serde_json::json!({"index": 0, "text": text, "finish_reason": finish}),
        ),
        AnswerShape::Chat => (
            "chat.completion",
            serde_json::json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": finish,
            }),
        ),
    };
    serde_json::json!({
        "id": id.to_string(), "object": object, "choices": [choice], "usage": usage,
    })
    .to_string()
}

/// The token usage and finish reason reported at the end of an answer.
#[derive(Debug, Clone, Copy)]
pub struct UsageView {
    /// The prompt's length in tokens.
    pub prompt_tokens: u32,
    /// The answer's length in tokens.
    pub output_tokens: u32,
    /// Why generation ended.
    pub finish: FinishReason,
}

fn finish_word(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
    }
}

fn finish_json(finish: FinishReason) -> &'static str {
    match finish {
        FinishReason::Stop => "\"stop\"",
        FinishReason::Length => "\"length\"",
    }
}
