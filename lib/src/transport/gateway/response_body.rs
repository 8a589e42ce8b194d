//! The body of a response to a caller: complete in memory, or streamed in chunks.

use std::fmt;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::event_queue::EventReceiver;

/// A response that ends incomplete. Its connection is closed, so that the caller does not take it for
/// a complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response was aborted")
    }
}

impl std::error::Error for ResponseAborted {}

/// The receiving end of a streamed response.
pub(crate) struct ChunkReceiver {
    events: EventReceiver,
    /// Whether a chunk was returned that may not have been sent yet.
    is_unsent: bool,
    is_aborted: bool,
}

impl ChunkReceiver {
    /// The HTTP library closes the connection at an abort, with what it has not sent. It sends all that it
    /// has when no more is ready, so the abort comes after one such pause.
    fn poll_chunk(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, ResponseAborted>>> {
        if self.is_aborted {
            return Poll::Ready(Some(Err(ResponseAborted)));
        }
        match self.events.poll_next(cx) {
            Poll::Ready(Some(Err(ResponseAborted))) if self.is_unsent => {
                self.is_aborted = true;
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(chunk) => {
                self.is_unsent = true;
                Poll::Ready(chunk)
            }
            Poll::Pending => {
                self.is_unsent = false;
                Poll::Pending
            }
        }
    }
}

/// The body of a response.
pub(crate) enum ResponseBody {
    /// The complete body.
    Whole(Full<Bytes>),
    /// The events of a stream in the order of arrival.
    Streamed(ChunkReceiver),
}

impl ResponseBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Whole(Full::new(bytes.into()))
    }

    pub(crate) fn streamed(events: EventReceiver) -> ResponseBody {
        let (is_unsent, is_aborted) = (false, false);
        ResponseBody::Streamed(ChunkReceiver { events, is_unsent, is_aborted })
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            ResponseBody::Whole(body) => {
                Pin::new(body).poll_frame(cx).map_err(|never| match never {})
            }
            ResponseBody::Streamed(chunks) => {
                chunks.poll_chunk(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Whole(body) => body.is_end_stream(),
            ResponseBody::Streamed(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Whole(body) => body.size_hint(),
            ResponseBody::Streamed(_) => SizeHint::default(),
        }
    }
}
