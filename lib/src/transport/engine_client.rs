//! The HTTP client of model engines; translates their responses to inputs of the core.

use std::net::SocketAddr;
use std::time::Duration;

use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use reqwest::Response;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::ring::CoreSender;
use crate::coordination::AttemptEvent;
use crate::coordination::AttemptRefusal;
use crate::coordination::EnginePoll;
use crate::coordination::EngineStats;
use crate::coordination::Input;
use crate::coordination::OrderReport;
use crate::coordination::OrderResult;
use crate::coordination::StreamReport;
use crate::coordination::StreamStart;
use crate::protocol::engine_api::CacheReply;
use crate::protocol::engine_api::EngineRefusal;
use crate::protocol::engine_api::EngineRequest;
use crate::protocol::engine_api::ListingReply;
use crate::protocol::engine_api::LoadReply;
use crate::protocol::engine_api::PrefillReply;
use crate::protocol::engine_api::SegmentJson;
use crate::protocol::engine_api::StreamEvent;
use crate::state::AttemptId;
use crate::state::EngineName;
use crate::state::EngineRole;
use crate::state::ListedAttempt;
use crate::state::Order;
use crate::state::OrderAction;

/// The timeout of a call without a stream.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// How many times a cancel is tried; after that the next listing shows whether it is still needed.
const MAX_CANCEL_ATTEMPTS: u32 = 3;

/// The timeout of an order; it is long because an engine loads weights before it answers.
const ORDER_TIMEOUT: Duration = Duration::from_secs(120);

/// The client of all model engines.
#[derive(Clone)]
pub(crate) struct EngineClient {
    http: reqwest::Client,
    core: CoreSender,
    idle: Duration,
}

impl EngineClient {
    /// Creates a client that abandons the stream of a group after its first event if no event arrives
    /// for `idle`.
    pub(crate) fn new(http: reqwest::Client, core: CoreSender, idle: Duration) -> EngineClient {
        EngineClient { http, core, idle }
    }

    /// Runs one attempt to its end and reports its events to the core.
    pub(crate) async fn run(self, start: StreamStart) {
        let end =
            if start.prefill_only { self.prefill(&start).await } else { self.stream(&start).await };
        if let Err(event) = end {
            self.report(&start, event).await;
        }
    }

    async fn stream(&self, start: &StreamStart) -> Result<(), AttemptEvent> {
        let url = format!("http://{}/v1/completions", start.addr);
        let response = self.post(&url, start).await?;
        let mut events = response.bytes_stream().eventsource();
        let mut pieces = Pieces::default();
        // An engine is silent during the prefill of a long prompt; one that hangs then is detected by
        // polls.
        let mut idle_timeout = start.time_left;
        loop {
            // Joins the pieces that have already arrived before reporting them to the core.
            let next = match futures_util::poll!(events.next()) {
                std::task::Poll::Ready(next) => next,
                std::task::Poll::Pending => {
                    self.flush(start, &mut pieces).await;
                    let waited = tokio::time::timeout(idle_timeout, events.next()).await;
                    waited.map_err(|_| AttemptEvent::Lost { refused: false })?
                }
            };
            let Some(Ok(event)) = next else {
                self.flush(start, &mut pieces).await;
                return Err(AttemptEvent::Lost { refused: false });
            };
            if event.data == "[DONE]" {
                self.flush(start, &mut pieces).await;
                return Ok(());
            }
            let Ok(event) = serde_json::from_str::<StreamEvent>(&event.data) else { continue };
            if event.attempt != start.attempt.to_string() {
                // Drops an event that belongs to another attempt.
                continue;
            }
            // The core moves the other streams, which it keeps until another engine has granted them.
            if !start.segments.is_empty() {
                idle_timeout = self.idle;
            }
            self.take(start, &mut pieces, event.into()).await;
        }
    }

    /// Joins a piece to the pending ones if it follows them, and reports anything else at once.
    ///
    /// A repeated piece is reported separately: joined with the next one, the core could recognize
    /// neither of them.
    async fn take(&self, start: &StreamStart, pieces: &mut Pieces, event: AttemptEvent) {
        let AttemptEvent::Piece { offset, tokens, text } = event else {
            self.flush(start, pieces).await;
            self.report(start, event).await;
            return;
        };
        if pieces.take_next(offset, tokens, &text) {
            return;
        }
        self.flush(start, pieces).await;
        if offset < pieces.reach {
            self.report(start, AttemptEvent::Piece { offset, tokens, text }).await;
        } else {
            pieces.hold(PendingPiece { offset, tokens, text });
        }
    }

    async fn flush(&self, start: &StreamStart, pieces: &mut Pieces) {
        let Some(PendingPiece { offset, tokens, text }) = pieces.pending.take() else { return };
        self.report(start, AttemptEvent::Piece { offset, tokens, text }).await;
    }

    async fn prefill(&self, start: &StreamStart) -> Result<(), AttemptEvent> {
        let url = format!("http://{}/v1/prefill", start.addr);
        let response = tokio::time::timeout(start.time_left, self.post(&url, start)).await;
        let response = response.map_err(|_| AttemptEvent::Lost { refused: false })??;
        let reply: PrefillReply =
            response.json().await.map_err(|_| AttemptEvent::Lost { refused: false })?;
        let event = AttemptEvent::Exported {
            export: reply.export.to_string().into(),
            tokens: reply.tokens,
        };
        self.report(start, event).await;
        Ok(())
    }

    async fn post(&self, url: &str, start: &StreamStart) -> Result<Response, AttemptEvent> {
        let body = request_body(start);
        let sent = self.http.post(url).json(&body).timeout(start.time_left).send().await;
        let response = sent.map_err(|e| AttemptEvent::Lost { refused: e.is_connect() })?;
        if response.status().is_success() {
            return Ok(response);
        }
        let refusal: EngineRefusal = response.json().await.unwrap_or_default();
        Err(AttemptEvent::Refused(parse_refusal(&refusal.error)))
    }

    async fn report(&self, start: &StreamStart, event: AttemptEvent) {
        let report = StreamReport { attempt: start.attempt, engine: start.engine.clone(), event };
        self.core.send(Input::Stream(report)).await;
    }

    /// Deletes an attempt at its engine; the next listing shows whether this succeeded.
    pub(crate) async fn cancel(self, attempt: AttemptId, addr: SocketAddr) {
        let url = format!("http://{addr}/v1/attempts/{attempt}");
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let sent = self.http.delete(&url).timeout(CALL_TIMEOUT).send().await;
            if sent.is_ok_and(|response| response.status().is_success()) {
                return;
            }
            tokio::time::sleep(CALL_TIMEOUT / 4).await;
        }
    }

    /// Reads an engine's listing, load and newest cache events.
    pub(crate) async fn poll(self, engine: EngineName, addr: SocketAddr, cache_after: u64) {
        let cache_path = format!("cache-events?after={cache_after}");
        let (listing, stats, cache) = tokio::join!(
            self.get::<ListingReply>(addr, "attempts"),
            self.get::<LoadReply>(addr, "load"),
            self.get::<CacheReply>(addr, &cache_path),
        );
        let refused = matches!(&listing, Err(error) if error.is_connect());
        let poll = EnginePoll {
            engine,
            listing: listing.ok().map(|reply| parse_listing(&reply)),
            stats: stats.ok().map(EngineStats::from),
            cache: cache.map(|reply| reply.known()).unwrap_or_default(),
            refused,
        };
        self.core.send(Input::EnginePolled(poll)).await;
    }

    async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        what: &str,
    ) -> Result<T, reqwest::Error> {
        let url = format!("http://{addr}/v1/{what}");
        self.http.get(url).timeout(CALL_TIMEOUT).send().await?.error_for_status()?.json().await
    }

    /// Sends an order and reports its result.
    pub(crate) async fn order(self, addr: SocketAddr, order: Order) {
        let url = format!("http://{addr}/v1/orders");
        let body = order_body(&order);
        let sent = self.http.post(url).json(&body).timeout(ORDER_TIMEOUT).send().await;
        let result = match sent {
            Ok(response) if response.status().is_success() => OrderResult::Done,
            Ok(response) if response.status().as_u16() == 409 => OrderResult::Stale,
            _ => OrderResult::Failed,
        };
        self.core.send(Input::OrderEnded(OrderReport { order, result })).await;
    }
}

/// The pieces of one stream that are not reported yet, and the end of all received pieces.
#[derive(Default)]
struct Pieces {
    pending: Option<PendingPiece>,
    /// The answer tokens up to the end of the furthest piece.
    reach: u32,
}

/// Consecutive pieces, joined.
struct PendingPiece {
    offset: u32,
    tokens: u32,
    text: String,
}

impl Pieces {
    /// Joins a piece to the pending ones; returns `false` if it does not follow them.
    fn take_next(&mut self, offset: u32, tokens: u32, text: &str) -> bool {
        let Some(pending) = self.pending.as_mut().filter(|pending| pending.end() == offset) else {
            return false;
        };
        pending.tokens += tokens;
        pending.text.push_str(text);
        self.reach = self.reach.max(pending.end());
        true
    }

    /// Keeps a piece that does not begin before the end of the received pieces.
    fn hold(&mut self, piece: PendingPiece) {
        self.reach = piece.end();
        self.pending = Some(piece);
    }
}

impl PendingPiece {
    fn end(&self) -> u32 {
        self.offset.saturating_add(self.tokens)
    }
}

fn request_body(start: &StreamStart) -> EngineRequest<'_> {
    EngineRequest {
        model: start.model.as_str(),
        prompt: start.text.get(start.range.clone()).unwrap_or_default(),
        max_tokens: start.max_output,
        priority: start.priority,
        attempt: start.attempt.to_string(),
        owner: start.owner.to_string(),
        resume_from: start.resume_from,
        answered: &start.answered,
        segments: start.segments.iter().map(SegmentJson::from).collect(),
        options: serde_json::from_str(&start.options).unwrap_or_default(),
    }
}

fn parse_refusal(word: &str) -> AttemptRefusal {
    match word {
        "memory_full" => AttemptRefusal::MemoryFull,
        "unknown_model" => AttemptRefusal::UnknownModel,
        "leaving" => AttemptRefusal::Leaving,
        "bad_segment" => AttemptRefusal::BadSegment,
        _ => AttemptRefusal::Other,
    }
}

/// Returns the entries of a listing that belong to this system.
fn parse_listing(reply: &ListingReply) -> Vec<ListedAttempt> {
    reply.attempts.iter().filter_map(|entry| ListedAttempt::try_from(entry).ok()).collect()
}

fn order_body(order: &Order) -> serde_json::Value {
    let fence = order.fence;
    match &order.action {
        OrderAction::LoadModel { model, revision } => json!({
            "fence": fence, "load_model": {"model": model.as_str(), "revision": revision},
        }),
        OrderAction::UnloadModel { model, revision } => json!({
            "fence": fence, "unload_model": {"model": model.as_str(), "revision": revision},
        }),
        OrderAction::LoadAdapter { model, adapter } => json!({
            "fence": fence, "load_adapter": {"model": model.as_str(), "adapter": adapter},
        }),
        OrderAction::SetRole { role } => json!({
            "fence": fence, "set_role": {"role": role_name(*role)},
        }),
    }
}

fn role_name(role: EngineRole) -> &'static str {
    match role {
        EngineRole::Any => "any",
        EngineRole::Short => "short",
        EngineRole::Long => "long",
    }
}
