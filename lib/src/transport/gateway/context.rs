//! What all parts of the gateway's transport share on its one thread.

use std::cell::Cell;
use std::cell::RefCell;

use tokio::sync::Notify;

use super::clock::BootClock;
use super::dialect::Dialect;
use super::telemetry::Telemetry;
use crate::coordination::Gateway;
use crate::state::Moment;

/// The shared parts.
pub(crate) struct GatewayContext {
    /// The decisions; borrowed for one call at a time, never over a wait.
    pub(crate) gateway: RefCell<Gateway>,
    /// What callers and servers speak.
    pub(crate) dialect: Box<dyn Dialect>,
    /// The clock of all moments.
    pub(crate) clock: BootClock,
    /// Logs and metrics.
    pub(crate) telemetry: Telemetry,
    /// Told when a request ends or a belief changes, for requests that wait here.
    pub(crate) room: Notify,
    /// Told when this host's load changes, for its peers.
    pub(crate) load_changed: Notify,
    /// Whether the process is to stop.
    pub(crate) is_stopping: Cell<bool>,
    /// The bytes of request bodies that are held.
    pub(crate) buffered: Cell<usize>,
    /// The most bytes of request bodies that are held.
    pub(crate) buffer_limit: usize,
    /// The connections of callers that are open.
    pub(crate) connections: Cell<usize>,
}

impl GatewayContext {
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Tells waiting requests and peers that the load has changed.
    pub(crate) fn load_changes(&self) {
        self.room.notify_waiters();
        self.load_changed.notify_one();
    }
}
