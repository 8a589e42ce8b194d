//! Relays an answer from the core to one caller, streamed or complete.

use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use tokio::time::timeout;

use super::caller_response::CallerResponse;
use super::callers::OpenAnswer;
use crate::coordination::AnswerPiece;
use crate::protocol::caller_api;
use crate::protocol::caller_api::AnswerShape;
use crate::protocol::caller_api::PieceView;
use crate::protocol::caller_api::RefusalJson;
use crate::protocol::caller_api::UsageView;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;

/// How long a stream may be silent before a comment is written, which detects a disconnected caller.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The number of bytes from which on no further event is added to one write.
const MAX_WRITE_BYTES: usize = 64 * 1024;

/// Answers one request, streamed if the caller asked for that.
pub(crate) async fn respond(
    mut answer: OpenAnswer,
    shape: AnswerShape,
    streamed: bool,
) -> CallerResponse {
    let mut id = None;
    if streamed {
        return respond_streamed(answer, shape).await;
    }
    let mut text = String::new();
    loop {
        match answer.next().await {
            Some(AnswerPiece::Accepted(request)) => id = Some(request),
            Some(AnswerPiece::Text { text: more, .. }) => text.push_str(&more),
            Some(AnswerPiece::End { finish, prompt_tokens, output_tokens }) => {
                let usage = UsageView { prompt_tokens, output_tokens, finish };
                let Some(id) = id else { return lost(None) };
                return CallerResponse::json(
                    200,
                    caller_api::whole_answer(shape, id, &text, &usage),
                );
            }
            Some(AnswerPiece::Reply(reply)) => return CallerResponse::Service { id, reply },
            Some(AnswerPiece::Refused(refusal)) => return CallerResponse::refused(id, &refusal),
            Some(AnswerPiece::Rejected(rejection)) => return CallerResponse::rejection(&rejection),
            None => return lost(id),
        }
    }
}

/// The refusal for a request that the core dropped without an answer, as at the end of the process.
fn lost_refusal() -> Refusal {
    Refusal { outcome: Outcome::Unknown, reason: Reason::Stopping, retry_after: None }
}

fn lost(id: Option<RequestId>) -> CallerResponse {
    CallerResponse::refused(id, &lost_refusal())
}

/// Waits briefly for the first piece, so that an early refusal gets its own HTTP status, then streams.
async fn respond_streamed(mut answer: OpenAnswer, shape: AnswerShape) -> CallerResponse {
    let mut id = None;
    let first = loop {
        match timeout(KEEPALIVE_INTERVAL, answer.next()).await {
            Ok(Some(AnswerPiece::Accepted(request))) => id = Some(request),
            Ok(Some(AnswerPiece::Refused(refusal))) => {
                return CallerResponse::refused(id, &refusal);
            }
            Ok(Some(AnswerPiece::Rejected(rejection))) => {
                return CallerResponse::rejection(&rejection);
            }
            Ok(Some(piece)) => break Some(piece),
            Ok(None) => return lost(id),
            Err(_) => break None,
        }
    };
    let writer = EventWriter { answer, shape, id, pending: first, over: false };
    let events = stream::unfold(writer, |mut writer| async move {
        let bytes = writer.next_bytes().await?;
        Some((bytes, writer))
    });
    CallerResponse::Events(events.boxed())
}

/// Writes the events of one streamed answer.
struct EventWriter {
    answer: OpenAnswer,
    shape: AnswerShape,
    id: Option<RequestId>,
    pending: Option<AnswerPiece>,
    over: bool,
}

impl EventWriter {
    /// Returns the bytes to write next, or `None` after the end.
    async fn next_bytes(&mut self) -> Option<Vec<u8>> {
        if self.over {
            return None;
        }
        let first = match self.pending.take() {
            Some(piece) => Ok(Some(piece)),
            None => timeout(KEEPALIVE_INTERVAL, self.answer.next()).await,
        };
        let mut out = String::new();
        match first {
            Err(_) => out.push_str(": waiting\n\n"),
            Ok(piece) => self.write(&mut out, piece),
        }
        while !self.over && out.len() < MAX_WRITE_BYTES {
            let Some(piece) = self.answer.ready() else { break };
            self.write(&mut out, Some(piece));
        }
        Some(out.into_bytes())
    }

    fn write(&mut self, out: &mut String, piece: Option<AnswerPiece>) {
        match piece {
            Some(AnswerPiece::Accepted(id)) => self.id = Some(id),
            Some(AnswerPiece::Text { upto, text }) => self.write_piece(out, upto, &text),
            Some(AnswerPiece::End { finish, output_tokens, .. }) => {
                if let Some(id) = self.id {
                    let finish = Some(finish);
                    let view = PieceView { id, upto: output_tokens, text: "", finish };
                    caller_api::write_piece(out, self.shape, &view);
                }
                out.push_str("data: [DONE]\n\n");
                self.over = true;
            }
            Some(AnswerPiece::Refused(refusal)) => self.write_refusal(out, &refusal),
            Some(AnswerPiece::Reply(_) | AnswerPiece::Rejected(_)) | None => {
                self.write_refusal(out, &lost_refusal());
            }
        }
    }

    fn write_piece(&self, out: &mut String, upto: u32, text: &str) {
        let Some(id) = self.id else { return };
        caller_api::write_piece(out, self.shape, &PieceView { id, upto, text, finish: None });
    }

    /// Ends the stream with an error event, since the HTTP status has already been sent.
    fn write_refusal(&mut self, out: &mut String, refusal: &Refusal) {
        let json = serde_json::to_string(&RefusalJson::new(self.id, refusal)).unwrap_or_default();
        out.push_str("event: error\ndata: ");
        out.push_str(&json);
        out.push_str("\n\n");
        self.over = true;
    }
}
