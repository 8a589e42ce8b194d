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
use tokio::sync::mpsc;

/// How many chunks of a response may be queued for a slow caller.
pub(crate) const CHUNK_QUEUE_LEN: usize = 32;

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
pub(crate) type ChunkReceiver = mpsc::Receiver<Result<Bytes, ResponseAborted>>;

/// The body of a response.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// The complete body.
    Whole(Full<Bytes>),
    /// Chunks in the order of arrival; the end of the channel without an error ends the response.
    Streamed(ChunkReceiver),
}

impl ResponseBody {
    pub(crate) fn whole(bytes: impl Into<Bytes>) -> ResponseBody {
        ResponseBody::Whole(Full::new(bytes.into()))
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
                chunks.poll_recv(cx).map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
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
