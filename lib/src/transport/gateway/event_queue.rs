//! The queue of a stream's events that its caller has not read yet.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use slog::info;
use tokio::sync::Notify;
use tokio::time::timeout;

use super::caller_stream::CallerConnection;
use super::context::GatewayContext;
use super::response_body::ResponseAborted;
use super::telemetry::LineKind;
use crate::state::EventAdmission;
use crate::state::MAX_READ_STOP;
use crate::state::ReaderId;

/// Why no more events are accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueEnd {
    /// The caller disconnected.
    CallerLeft,
    /// The caller read too slowly, so that the stream was ended.
    TooSlow,
}

/// How the events end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Tail {
    Open,
    Complete,
    Aborted,
}

/// A queue that the relay of a stream and the body of its response share.
pub(crate) struct EventQueue {
    ctx: Rc<GatewayContext>,
    id: ReaderId,
    request: String,
    connection: Rc<CallerConnection>,
    events: RefCell<VecDeque<Bytes>>,
    tail: Cell<Tail>,
    end: Cell<Option<QueueEnd>>,
    body: RefCell<Option<Waker>>,
    /// Notified when the caller's connection took an event.
    taken: Notify,
    /// Notified when `end` is set.
    ended: Notify,
}

/// The end of a queue to which the relay adds events. Dropping it without [`EventSender::finish`] aborts
/// the response.
pub(crate) struct EventSender(Rc<EventQueue>);

/// The end of a queue from which the response takes events.
pub(crate) struct EventReceiver(Rc<EventQueue>);

/// Creates the queue of the response to `request`.
pub(crate) fn event_queue(
    ctx: &Rc<GatewayContext>,
    request: &str,
    connection: &Rc<CallerConnection>,
) -> (EventSender, EventReceiver) {
    let id = ctx.readers.borrow_mut().open(ctx.now());
    let queue = Rc::new(EventQueue {
        ctx: ctx.clone(),
        id,
        request: request.to_owned(),
        connection: connection.clone(),
        events: RefCell::default(),
        tail: Cell::new(Tail::Open),
        end: Cell::new(None),
        body: RefCell::default(),
        taken: Notify::new(),
        ended: Notify::new(),
    });
    ctx.queues.borrow_mut().insert(id, Rc::downgrade(&queue));
    (EventSender(queue.clone()), EventReceiver(queue))
}

impl EventQueue {
    fn wake_body(&self) {
        if let Some(waker) = self.body.take() {
            waker.wake();
        }
    }

    /// Ends the stream of a slow caller, incomplete, and closes its connection.
    fn end_slow(&self) {
        let now = self.ctx.now();
        let (held, total) = {
            let readers = self.ctx.readers.borrow();
            (readers.held(self.id), readers.total())
        };
        self.ctx.telemetry.count_slow_caller("ended");
        if let Some(log) = self.ctx.telemetry.limited_log(now, LineKind::Failure) {
            info!(log, "stream of a slow caller ended"; "request" => &self.request,
                "held_bytes" => held, "held_for_all_bytes" => total);
        }
        self.tail.set(Tail::Aborted);
        self.release(QueueEnd::TooSlow);
        self.wake_body();
        self.connection.abort();
    }

    /// Drops the events and accepts no more.
    fn release(&self, end: QueueEnd) {
        if self.end.get().is_none() {
            self.end.set(Some(end));
        }
        self.events.borrow_mut().clear();
        self.ctx.readers.borrow_mut().close(self.id);
        self.ctx.queues.borrow_mut().remove(&self.id);
        self.ended.notify_waiters();
        self.ctx.reader_space.notify_waiters();
    }
}

impl EventSender {
    /// Adds an event. While it does not fit, the server is not read; the stream of the slowest caller is
    /// ended if that lasts.
    pub(crate) async fn send(&self, event: Bytes) -> Result<(), QueueEnd> {
        let queue = &*self.0;
        loop {
            let (taken, ended) = (queue.taken.notified(), queue.ended.notified());
            let space = queue.ctx.reader_space.notified();
            if let Some(end) = queue.end.get() {
                return Err(end);
            }
            let admission =
                queue.ctx.readers.borrow_mut().admit(queue.ctx.now(), queue.id, event.len());
            match admission {
                EventAdmission::Held => break,
                EventAdmission::End(slowest) => queue.ctx.end_slow(slowest),
                EventAdmission::Wait => {
                    let freed = async {
                        tokio::select! {
                            () = taken => {}
                            () = ended => {}
                            () = space => {}
                        }
                    };
                    if timeout(MAX_READ_STOP, freed).await.is_err() {
                        let slowest = queue.ctx.readers.borrow().overdue(queue.id, event.len());
                        queue.ctx.end_slow(slowest);
                    }
                }
            }
        }
        queue.events.borrow_mut().push_back(event);
        queue.wake_body();
        Ok(())
    }

    /// Waits until no more events are accepted.
    pub(crate) async fn closed(&self) -> QueueEnd {
        loop {
            let ended = self.0.ended.notified();
            if let Some(end) = self.0.end.get() {
                return end;
            }
            ended.await;
        }
    }

    /// Ends the response properly after the events that are held.
    pub(crate) fn finish(self) {
        self.0.tail.set(Tail::Complete);
    }
}

impl Drop for EventSender {
    fn drop(&mut self) {
        if self.0.tail.get() == Tail::Open {
            self.0.tail.set(Tail::Aborted);
        }
        self.0.wake_body();
    }
}

impl EventReceiver {
    /// Takes the next event.
    pub(crate) fn poll_next(
        &self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ResponseAborted>>> {
        let queue = &*self.0;
        let event = queue.events.borrow_mut().pop_front();
        if let Some(event) = event {
            queue.ctx.readers.borrow_mut().take(queue.ctx.now(), queue.id, event.len());
            queue.taken.notify_waiters();
            queue.ctx.reader_space.notify_waiters();
            return Poll::Ready(Some(Ok(event)));
        }
        match queue.tail.get() {
            Tail::Open => {
                queue.body.replace(Some(cx.waker().clone()));
                Poll::Pending
            }
            Tail::Complete => Poll::Ready(None),
            Tail::Aborted => Poll::Ready(Some(Err(ResponseAborted))),
        }
    }
}

impl Drop for EventReceiver {
    fn drop(&mut self) {
        self.0.release(QueueEnd::CallerLeft);
    }
}

impl GatewayContext {
    /// Ends the stream of a slow caller.
    fn end_slow(&self, id: ReaderId) {
        let queue = self.queues.borrow().get(&id).and_then(std::rc::Weak::upgrade);
        match queue {
            Some(queue) => queue.end_slow(),
            None => self.readers.borrow_mut().close(id),
        }
    }
}
