//! Buffers a request's complete body, within the limits, so that the request can be sent again.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::context::GatewayContext;
use crate::coordination::GatewayRefusal;
use crate::coordination::RefusalReason;

/// How long a refused body is still read, so that the refusal reaches the caller before the connection
/// is closed.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(500);
/// The `retry-after` time of a request that is refused because the body buffers are full.
const NO_BUFFER_RETRY_AFTER: Duration = Duration::from_millis(500);

/// An error while reading a request's body.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// The body was refused; the caller gets this refusal.
    Refused(GatewayRefusal),
    /// The caller disconnected.
    Disconnected,
}

/// A share of the buffer limit, which is given back on drop.
pub(crate) struct BufferShare {
    ctx: Rc<GatewayContext>,
    size: usize,
}

impl BufferShare {
    pub(crate) fn new(ctx: Rc<GatewayContext>) -> BufferShare {
        BufferShare { ctx, size: 0 }
    }

    /// Adds `size` bytes; returns `false` if the buffers of all requests would exceed the limit.
    pub(crate) fn grow(&mut self, size: usize) -> bool {
        let total = self.ctx.buffered_bytes.get() + size;
        let has_space = total <= self.ctx.buffer_limit;
        if has_space {
            self.ctx.buffered_bytes.set(total);
            self.size += size;
        }
        has_space
    }
}

impl Drop for BufferShare {
    fn drop(&mut self) {
        self.ctx.buffered_bytes.set(self.ctx.buffered_bytes.get().saturating_sub(self.size));
    }
}

/// A body in memory. Its size counts towards the buffer limit until it is dropped.
pub(crate) struct BufferedBody {
    share: BufferShare,
    bytes: Bytes,
}

impl BufferedBody {
    pub(crate) fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

/// Reads `body`, of at most `limit` bytes, within `time`.
pub(crate) async fn read_body(
    ctx: &Rc<GatewayContext>,
    mut body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<BufferedBody, BodyError> {
    let declared = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
    let mut held = BufferedBody { share: BufferShare::new(ctx.clone()), bytes: Bytes::new() };
    if declared == Some(0) {
        return Ok(held);
    }
    if declared.is_some_and(|size| size > limit) {
        drain(&mut body).await;
        return Err(BodyError::Refused(GatewayRefusal::new(RefusalReason::BodyTooLarge)));
    }
    match timeout(time, collect(&mut held, &mut body, limit, declared.unwrap_or(0))).await {
        Ok(Ok(bytes)) => {
            held.bytes = bytes;
            Ok(held)
        }
        Ok(Err(error)) => {
            if matches!(error, BodyError::Refused(_)) {
                drain(&mut body).await;
            }
            Err(error)
        }
        Err(_) => Err(BodyError::Refused(GatewayRefusal::new(RefusalReason::BodyTimeout))),
    }
}

async fn collect(
    held: &mut BufferedBody,
    body: &mut Incoming,
    limit: usize,
    declared: usize,
) -> Result<Bytes, BodyError> {
    let mut bytes = BytesMut::with_capacity(declared);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyError::Disconnected)?.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(BodyError::Refused(GatewayRefusal::new(RefusalReason::BodyTooLarge)));
        }
        if !held.share.grow(data.len()) {
            let reason = RefusalReason::NoBufferSpace;
            return Err(BodyError::Refused(GatewayRefusal::retry_after(
                reason,
                NO_BUFFER_RETRY_AFTER,
            )));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Reads and discards the rest of a body for up to `DRAIN_TIMEOUT`.
async fn drain(body: &mut Incoming) {
    let all = async { while let Some(Ok(_)) = body.frame().await {} };
    // After a timeout the connection is closed with unread bytes.
    let _ = timeout(DRAIN_TIMEOUT, all).await;
}
