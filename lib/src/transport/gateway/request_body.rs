//! Reads a request's body whole, within the limits, so that the request can be sent again.

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

/// How long the bytes of a body that is refused are still read, so that the refusal arrives before
/// the connection is closed.
const DRAIN_TIME: Duration = Duration::from_millis(500);
/// When a caller may come back that found no room for its body.
const BACK_NO_BUFFER: Duration = Duration::from_millis(500);

/// Why a request has no whole body.
#[derive(Debug)]
pub(crate) enum BodyFault {
    /// The caller gets this answer.
    Refuse(GatewayRefusal),
    /// The caller's connection broke off.
    Broken,
}

/// A body that is held, and counted as held until it is dropped.
pub(crate) struct HeldBody {
    ctx: Rc<GatewayContext>,
    size: usize,
    bytes: Bytes,
}

impl HeldBody {
    pub(crate) fn bytes(&self) -> Bytes {
        self.bytes.clone()
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.ctx.buffered.set(self.ctx.buffered.get().saturating_sub(self.size));
    }
}

/// Reads `body`, of `limit` bytes at most, within `time`.
pub(crate) async fn read_body(
    ctx: &Rc<GatewayContext>,
    mut body: Incoming,
    limit: usize,
    time: Duration,
) -> Result<HeldBody, BodyFault> {
    let stated = body.size_hint().exact().and_then(|size| usize::try_from(size).ok());
    let mut held = HeldBody { ctx: ctx.clone(), size: 0, bytes: Bytes::new() };
    if stated == Some(0) {
        return Ok(held);
    }
    if stated.is_some_and(|size| size > limit) {
        drain(&mut body).await;
        return Err(BodyFault::Refuse(GatewayRefusal::new(RefusalReason::BodyTooLarge)));
    }
    match timeout(time, collect(&mut held, &mut body, limit, stated.unwrap_or(0))).await {
        Ok(Ok(bytes)) => {
            held.bytes = bytes;
            Ok(held)
        }
        Ok(Err(fault)) => {
            if matches!(fault, BodyFault::Refuse(_)) {
                drain(&mut body).await;
            }
            Err(fault)
        }
        Err(_) => Err(BodyFault::Refuse(GatewayRefusal::new(RefusalReason::BodyTimeout))),
    }
}

async fn collect(
    held: &mut HeldBody,
    body: &mut Incoming,
    limit: usize,
    stated: usize,
) -> Result<Bytes, BodyFault> {
    let mut bytes = BytesMut::with_capacity(stated);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| BodyFault::Broken)?.into_data() else { continue };
        if bytes.len() + data.len() > limit {
            return Err(BodyFault::Refuse(GatewayRefusal::new(RefusalReason::BodyTooLarge)));
        }
        let total = held.ctx.buffered.get() + data.len();
        if total > held.ctx.buffer_limit {
            let reason = RefusalReason::NoBufferSpace;
            return Err(BodyFault::Refuse(GatewayRefusal::retry_after(reason, BACK_NO_BUFFER)));
        }
        held.ctx.buffered.set(total);
        held.size += data.len();
        bytes.extend_from_slice(&data);
    }
    Ok(bytes.freeze())
}

/// Reads and drops what is left of a body, for a while.
async fn drain(body: &mut Incoming) {
    let all = async { while let Some(Ok(_)) = body.frame().await {} };
    // Running out of time only means that the connection is closed with bytes unread.
    let _ = timeout(DRAIN_TIME, all).await;
}
