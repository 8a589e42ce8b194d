//! Converts answers and refusals to HTTP responses.

use std::io::Cursor;
use std::time::Duration;

use futures_util::StreamExt;
use rocket::Request;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::response::Responder;
use rocket::response::Response;
use rocket::response::stream::ReaderStream;

use crate::coordination::Rejection;
use crate::protocol::caller_api::RefusalJson;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::ServiceReply;

/// A stream of the bytes of server-sent events.
pub(crate) type EventBytes = futures_util::stream::BoxStream<'static, Vec<u8>>;

/// The response to a caller.
pub(crate) enum CallerResponse {
    /// A JSON body.
    Json { status: u16, body: String, retry: Option<Duration> },
    /// A request that was rejected before it was admitted.
    Rejected { status: u16, refusal: RefusalJson },
    /// A stream of server-sent events.
    Events(EventBytes),
    /// A plain service's response, unchanged.
    Service { id: Option<RequestId>, reply: ServiceReply },
}

impl CallerResponse {
    /// Creates a JSON response.
    pub(crate) fn json(status: u16, body: String) -> CallerResponse {
        CallerResponse::Json { status, body, retry: None }
    }

    /// Creates the response to a request that never reached the core.
    pub(crate) fn rejected(status: u16, reason: &str, message: String) -> CallerResponse {
        CallerResponse::Rejected { status, refusal: RefusalJson::not_run(reason, message) }
    }

    /// Converts this to the response to one copy of a call with an idempotency key.
    ///
    /// The rejection of this copy does not imply that no other copy ran, so the outcome is unknown.
    pub(crate) fn of_copy(self) -> CallerResponse {
        let CallerResponse::Rejected { status, refusal } = self else { return self };
        let outcome = Outcome::Unknown.as_str().to_owned();
        CallerResponse::Rejected { status, refusal: RefusalJson { outcome, ..refusal } }
    }

    /// Creates the response to a request that the core refused or abandoned.
    pub(crate) fn refused(id: Option<RequestId>, refusal: &Refusal) -> CallerResponse {
        CallerResponse::Json {
            status: status_of(refusal),
            body: to_json(&RefusalJson::new(id, refusal)),
            retry: refusal.retry_after,
        }
    }

    /// Creates the response to a request that the rules reject.
    pub(crate) fn rejection(rejection: &Rejection) -> CallerResponse {
        match rejection {
            Rejection::UnknownCustomer => {
                let text = "the bearer token is missing or not known".to_owned();
                CallerResponse::rejected(401, "unknown_customer", text)
            }
            Rejection::UnknownModel(model) => {
                let text = format!("there is no model `{model}`");
                CallerResponse::rejected(404, "unknown_model", text)
            }
            Rejection::UnknownPath => {
                let text = "no service is reached by this path".to_owned();
                CallerResponse::rejected(404, "unknown_path", text)
            }
            Rejection::PromptTooLong { tokens, limit } => {
                let text = format!("the prompt has {tokens} tokens: expected at most {limit}");
                CallerResponse::rejected(413, "prompt_too_long", text)
            }
        }
    }
}

fn to_json(refusal: &RefusalJson) -> String {
    serde_json::to_string(refusal).unwrap_or_default()
}

/// Returns the HTTP status of a refusal.
fn status_of(refusal: &Refusal) -> u16 {
    match (refusal.outcome, refusal.reason) {
        (_, Reason::DeadlinePassed) => 504,
        (_, Reason::KeyReused) => 422,
        (_, Reason::PromptTooLong) => 413,
        (Outcome::NotRun, Reason::RateLimit | Reason::InFlightLimit | Reason::FairShare) => 429,
        (Outcome::NotRun, _) => 503,
        (Outcome::Unknown | Outcome::Failed, _) => 502,
    }
}

impl<'r> Responder<'r, 'static> for CallerResponse {
    fn respond_to(self, _request: &'r Request<'_>) -> rocket::response::Result<'static> {
        match self {
            CallerResponse::Json { status, body, retry } => json_response(status, body, retry),
            CallerResponse::Rejected { status, refusal } => {
                json_response(status, to_json(&refusal), None)
            }
            CallerResponse::Events(events) => {
                let mut response = Response::build();
                response.header(ContentType::EventStream);
                response.raw_header("cache-control", "no-cache");
                response.streamed_body(ReaderStream::from(events.map(Cursor::new)));
                response.ok()
            }
            CallerResponse::Service { id, reply } => service_response(id, reply),
        }
    }
}

fn json_response(
    status: u16,
    body: String,
    retry: Option<Duration>,
) -> rocket::response::Result<'static> {
    let mut response = Response::build();
    response.status(Status::new(status)).header(ContentType::JSON);
    if let Some(retry) = retry {
        // The header has whole seconds; rounds up, so that callers never retry too early.
        let seconds = retry.as_millis().div_ceil(1000).max(1);
        response.raw_header("retry-after", seconds.to_string());
    }
    response.sized_body(body.len(), Cursor::new(body));
    response.ok()
}

fn service_response(
    id: Option<RequestId>,
    reply: ServiceReply,
) -> rocket::response::Result<'static> {
    let mut response = Response::build();
    response.status(Status::new(reply.status));
    if let Some(media) = &reply.media {
        response.raw_header("content-type", media.to_string());
    }
    if let Some(id) = id {
        response.raw_header("x-request-id", id.to_string());
    }
    let body = reply.body.to_vec();
    response.sized_body(body.len(), Cursor::new(body));
    response.ok()
}
