//! The HTTP interface of the engine stand-in.

use std::io::Cursor;
use std::sync::Arc;

use futures_util::Stream;
use futures_util::stream;
use rocket::Build;
use rocket::Request;
use rocket::Response;
use rocket::Rocket;
use rocket::State;
use rocket::delete;
use rocket::get;
use rocket::http::ContentType;
use rocket::http::Status;
use rocket::post;
use rocket::response::Responder;
use rocket::response::stream::ReaderStream;
use rocket::routes;
use rocket::serde::json::Error as JsonError;
use rocket::serde::json::Json;
use serde::Deserialize;
use serde_json::Value;
use serde_json::json;
use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Incarnation;

use crate::engine_core::EngineCore;
use crate::engine_core::EngineRefusal;
use crate::engine_core::OpenStream;
use crate::engine_core::StreamItem;
use crate::engine_core::Submission;
use crate::engine_model::Finish;
use crate::engine_model::Work;
use crate::engine_orders::EngineOrder;
use crate::engine_orders::OrderAction;
use crate::exports::SegmentRef;
use crate::prefix_cache::CacheChange;
use crate::stream_faults::StreamFate;
use crate::stream_faults::StreamWriter;

/// Maximum number of event bytes written at once.
const WRITE_BYTES: usize = 4_000;

/// The highest priority that an engine accepts.
const MAX_PRIORITY: u8 = 9;

/// Mounts the engine's routes and state on `rocket`.
pub(crate) fn mount_routes(rocket: Rocket<Build>, core: Arc<EngineCore>) -> Rocket<Build> {
    let routes =
        routes![complete, prefill, cancel, list_attempts, load, cache_events, receive_order];
    rocket.manage(core).mount("/", routes)
}

/// A JSON response with its status.
type Answer = (Status, Json<Value>);

/// The body of a request for an answer or a segment.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    #[serde(default)]
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    attempt: String,
    owner: String,
    #[serde(default)]
    resume_from: u32,
    #[serde(default)]
    answered: String,
    #[serde(default)]
    segments: Vec<SegmentRef>,
}

impl CompletionBody {
    /// Parses and validates the fields.
    fn into_submission(self, work: Work) -> Result<Submission, Answer> {
        let attempt = self.attempt.parse::<AttemptId>();
        let attempt = attempt.map_err(|error| bad_request(error.to_string()))?;
        let owner = u64::from_str_radix(&self.owner, 16).map(Incarnation);
        let owner = owner.map_err(|_| bad_request(format!("owner `{}` is not hex", self.owner)))?;
        if self.priority > MAX_PRIORITY {
            return Err(bad_request(format!("priority {} is above 9", self.priority)));
        }
        Ok(Submission {
            attempt,
            owner,
            model: self.model,
            prompt: self.prompt,
            priority: self.priority,
            segments: self.segments,
            prior_text: self.answered,
            work,
        })
    }
}

/// An answer streamed as server-sent events.
struct EventBody<S>(S);

impl<'r, S> Responder<'r, 'r> for EventBody<S>
where
    S: Stream<Item = Cursor<String>> + Send + 'r,
{
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'r> {
        let body = ReaderStream::from(self.0);
        Response::build().header(ContentType::EventStream).streamed_body(body).ok()
    }
}

#[post("/v1/completions", data = "<body>")]
fn complete(
    core: &State<Arc<EngineCore>>,
    body: Result<Json<CompletionBody>, JsonError<'_>>,
) -> Result<EventBody<impl Stream<Item = Cursor<String>> + Send + use<>>, Answer> {
    let body = body.map_err(|error| bad_request(error.to_string()))?.into_inner();
    if body.resume_from > body.max_tokens || body.max_tokens == 0 {
        return Err(bad_request("max_tokens is zero or below resume_from".to_owned()));
    }
    let work = Work::Stream {
        resume_from: body.resume_from,
        answer_tokens: body.max_tokens,
        max_tokens: body.max_tokens,
    };
    let submission = body.into_submission(work)?;
    let open = core.submit(submission).map_err(refusal)?;
    Ok(EventBody(answer_events(Reader::new(core.inner().clone(), open))))
}

#[post("/v1/prefill", data = "<body>")]
async fn prefill(
    core: &State<Arc<EngineCore>>,
    body: Result<Json<CompletionBody>, JsonError<'_>>,
) -> Answer {
    let submission = body
        .map_err(|error| bad_request(error.to_string()))
        .and_then(|body| body.into_inner().into_submission(Work::Export));
    let submission = match submission {
        Ok(submission) => submission,
        Err(answer) => return answer,
    };
    let mut open = match core.submit(submission) {
        Ok(open) => open,
        Err(reason) => return refusal(reason),
    };
    match open.items.recv().await {
        Some(StreamItem::Exported { export, tokens }) => {
            (Status::Ok, Json(json!({ "export": export, "tokens": tokens })))
        }
        _ => error(Status::Gone, "bad_segment", "the attempt ended before its prefill finished"),
    }
}

#[delete("/v1/attempts/<attempt>")]
fn cancel(core: &State<Arc<EngineCore>>, attempt: &str) -> Answer {
    match attempt.parse() {
        Ok(attempt) => (Status::Ok, Json(json!({ "cancelled": core.cancel(attempt) }))),
        Err(error) => bad_request(format!("{error}")),
    }
}

#[get("/v1/attempts")]
fn list_attempts(core: &State<Arc<EngineCore>>) -> Json<Value> {
    let listing = core.listing();
    let attempts = listing.iter().map(|(holding, age)| {
        json!({
            "attempt": holding.attempt.to_string(),
            "owner": holding.owner.to_string(),
            "kind": if holding.export { "export" } else { "stream" },
            "held": holding.held,
            "age_ms": age.as_millis() as u64,
        })
    });
    Json(json!({ "attempts": attempts.collect::<Vec<_>>() }))
}

#[get("/v1/load")]
fn load(core: &State<Arc<EngineCore>>) -> Json<Value> {
    let (report, setup, leaving) = core.report();
    let model = &core.config().model;
    Json(json!({
        "age_ms": report.taken.elapsed().as_millis() as u64,
        "queued_tokens": report.load.queued_tokens,
        "running": report.load.running,
        "held": report.load.held,
        "memory": model.memory,
        "prefill_rate": model.prefill_rate,
        "leaving": leaving,
        "role": setup.role,
        "models": setup.models,
    }))
}

#[get("/v1/cache-events?<after>")]
fn cache_events(core: &State<Arc<EngineCore>>, after: u64) -> Json<Value> {
    let (next, events) = core.cache_events(after);
    let events = events.iter().map(|event| {
        let kind = match event.kind {
            CacheChange::Stored => "stored",
            CacheChange::Evicted => "evicted",
        };
        json!({ "seq": event.seq, "kind": kind, "hash": format!("{:016x}", event.hash) })
    });
    Json(json!({ "next": next, "events": events.collect::<Vec<_>>() }))
}

#[post("/v1/orders", data = "<body>")]
async fn receive_order(
    core: &State<Arc<EngineCore>>,
    body: Result<Json<EngineOrder>, JsonError<'_>>,
) -> Answer {
    let order = match body {
        Ok(order) => order.into_inner(),
        Err(error) => return bad_request(error.to_string()),
    };
    match core.receive(&order) {
        Err(stale) => {
            return (
                Status::Conflict,
                Json(json!({ "error": "stale_fence", "fence": stale.fence })),
            );
        }
        Ok(true) => {
            if let Err(message) = fetch_weights(core, &order.action).await {
                return error(Status::ServiceUnavailable, "weight_store", &message);
            }
        }
        Ok(false) => {}
    }
    core.apply(&order);
    (Status::Ok, Json(json!({ "done": true })))
}

/// Loads the weights that an order needs from the weight store.
async fn fetch_weights(core: &EngineCore, action: &OrderAction) -> Result<(), String> {
    let Some(store) = core.config().weight_store else { return Ok(()) };
    let name = match action {
        OrderAction::LoadModel { model, revision } => format!("{model}/{revision}"),
        OrderAction::LoadAdapter { model, adapter } => format!("{model}/{adapter}"),
        OrderAction::UnloadModel { .. } | OrderAction::SetRole { .. } => return Ok(()),
    };
    let answer = reqwest::get(format!("http://{store}/weights/{name}")).await;
    let answer = answer.map_err(|error| error.to_string())?;
    answer.error_for_status().map(|_| ()).map_err(|error| error.to_string())
}

/// Reads an answer stream for a client; dropping it early marks the attempt abandoned.
struct Reader {
    core: Arc<EngineCore>,
    open: OpenStream,
    writer: StreamWriter,
    ended: bool,
    stalled: bool,
}

impl Reader {
    fn new(core: Arc<EngineCore>, open: OpenStream) -> Reader {
        let writer = StreamWriter::new(open.attempt, open.hash);
        Reader { core, open, writer, ended: false, stalled: false }
    }

    /// Returns the events since the last call; `None` ends the stream.
    async fn next_events(&mut self) -> Option<String> {
        if self.ended {
            return None;
        }
        if self.stalled {
            std::future::pending::<()>().await;
        }
        let mut out = String::with_capacity(WRITE_BYTES);
        let faults = self.core.stream_faults();
        let mut item = self.open.items.recv().await?;
        loop {
            match item {
                StreamItem::Started { cached, prefill } => {
                    self.writer.start(&mut out, cached, prefill.as_millis() as u64);
                }
                StreamItem::Token { offset } => {
                    match self.writer.piece(&mut out, offset, 1, &faults) {
                        StreamFate::Open => {}
                        StreamFate::Cut => return self.cut(out),
                        StreamFate::Stalled => {
                            self.stalled = true;
                            return Some(out);
                        }
                    }
                }
                StreamItem::Finished { tokens, finish } => {
                    let finish = match finish {
                        Finish::Stop => "stop",
                        Finish::Length => "length",
                    };
                    self.writer.done(&mut out, tokens, finish);
                    self.ended = true;
                    return Some(out);
                }
                StreamItem::Exported { .. } => {}
            }
            if out.len() >= WRITE_BYTES {
                return Some(out);
            }
            match self.open.items.try_recv() {
                Ok(next) => item = next,
                Err(_) => return Some(out),
            }
        }
    }

    fn cut(&mut self, out: String) -> Option<String> {
        self.ended = true;
        self.core.abandon(self.open.attempt, self.open.generation);
        Some(out)
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        if !self.ended {
            self.core.abandon(self.open.attempt, self.open.generation);
        }
    }
}

fn answer_events(reader: Reader) -> impl Stream<Item = Cursor<String>> + Send {
    stream::unfold(reader, |mut reader| async move {
        let events = reader.next_events().await?;
        Some((Cursor::new(events), reader))
    })
}

fn refusal(reason: EngineRefusal) -> Answer {
    match reason {
        EngineRefusal::MemoryFull => {
            error(Status::ServiceUnavailable, "memory_full", "the prompt does not fit")
        }
        EngineRefusal::UnknownModel => {
            error(Status::NotFound, "unknown_model", "the model is not loaded")
        }
        EngineRefusal::Leaving => error(
            Status::ServiceUnavailable,
            "leaving",
            "the engine is leaving and accepts no new work",
        ),
        EngineRefusal::BadSegment => {
            error(Status::Conflict, "bad_segment", "a segment is not held or is out of order")
        }
        EngineRefusal::ResumeMismatch => {
            bad_request("the earlier text does not match this prompt's answer".to_owned())
        }
        EngineRefusal::Duplicate => {
            bad_request("an attempt with this ID already exists".to_owned())
        }
    }
}

fn bad_request(message: String) -> Answer {
    error(Status::BadRequest, "bad_request", &message)
}

fn error(status: Status, word: &str, message: &str) -> Answer {
    (status, Json(json!({ "error": word, "message": message })))
}
