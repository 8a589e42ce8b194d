//! A request in progress at a server, with all that it holds.

use std::cell::Cell;
use std::rc::Rc;

use super::context::GatewayContext;
use super::memory_reservation::MemoryReservation;
use super::upstream::Upstream;
use crate::coordination::Dispatch;
use crate::state::Moment;

/// A request in progress at a server. Dropping it closes the connection and removes the request from
/// the server's recorded load.
pub(crate) struct ActiveSend {
    ctx: Rc<GatewayContext>,
    pub(crate) dispatch: Dispatch,
    pub(crate) upstream: Option<Upstream>,
    /// The engine memory that is reserved for it; released on drop.
    pub(crate) memory: Option<MemoryReservation>,
    /// When the first event of the response arrived.
    pub(crate) first_event: Cell<Option<Moment>>,
    /// Whether the response shows that the prompt crashes no server.
    pub(crate) is_sound: Cell<bool>,
    is_closed: bool,
}

impl ActiveSend {
    /// Creates a send that is not connected yet.
    pub(crate) fn new(ctx: Rc<GatewayContext>, dispatch: Dispatch) -> ActiveSend {
        ActiveSend {
            ctx,
            dispatch,
            upstream: None,
            memory: None,
            first_event: Cell::new(None),
            is_sound: Cell::new(false),
            is_closed: false,
        }
    }

    /// Closes the connection and releases what the send holds; also done on drop.
    pub(crate) fn close(&mut self) {
        if std::mem::replace(&mut self.is_closed, true) {
            return;
        }
        self.upstream = None;
        self.memory = None;
        self.ctx.gateway.borrow_mut().finish(self.ctx.now(), &self.dispatch);
        if let Some(key) = &self.dispatch.guest {
            self.ctx.notify_guest_ended(key);
        }
        self.ctx.notify_load_change();
    }

    /// Records that a part of the response arrived.
    pub(crate) fn record_progress(&self, now: Moment) {
        if let Some(memory) = &self.memory {
            memory.record_progress(now);
        }
    }
}

impl Drop for ActiveSend {
    fn drop(&mut self) {
        self.close();
    }
}
