//! The body of an answer to a caller: whole in memory, or passed on as it comes.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

/// How many pieces of an answer may wait for a slow caller.
pub(crate) const PIECE_RING: usize = 32;

/// The answer ends unfinished: its connection is closed so that nobody takes it for a whole one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerCut {}

/// The receiving end of an answer that is passed on.
pub(crate) type Pieces = mpsc::Receiver<Result<Bytes, AnswerCut>>;

/// The body of an answer.
#[derive(Debug)]
pub(crate) enum AnswerBody {
    /// All of it.
    Whole(Full<Bytes>),
    /// Pieces as they come; the end of the ring without an error is the end of the answer.
    Passed(Pieces),
}

impl AnswerBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> AnswerBody {
        AnswerBody::Whole(Full::new(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = AnswerCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerCut>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            AnswerBody::Passed(pieces) => {
                pieces.poll_recv(cx).map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Passed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Passed(_) => SizeHint::default(),
        }
    }
}
