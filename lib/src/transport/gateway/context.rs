//! What all parts of the gateway's transport share on its one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::pin::Pin;
use std::time::Duration;

use tokio::sync::Notify;

use super::clock::BootClock;
use super::dialect::Dialect;
use super::fleet_source::ReadSchedule;
use super::telemetry::Telemetry;
use crate::coordination::Gateway;
use crate::coordination::StopPhase;
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
    /// Told when this host sends a request to engines, which its peers must know at once.
    pub(crate) engines_taken: Notify,
    /// Told when a peer knows something newer of the configuration or the servers.
    pub(crate) newer_known: Notify,
    /// Told when this host's load changes, for its peers.
    pub(crate) load_changed: Notify,
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

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.gateway.borrow().stop_phase(self.now()) != StopPhase::Running
    }

    /// Tells waiting requests and peers that the load has changed.
    pub(crate) fn load_changes(&self) {
        self.room.notify_waiters();
        self.load_changed.notify_one();
    }
}

impl ReadSchedule for GatewayContext {
    fn catalog_read_in(&self) -> Duration {
        self.gateway.borrow().catalog_read_in(self.now())
    }

    fn drain_bound(&self) -> Duration {
        self.gateway.borrow().drain_bound()
    }

    fn watch_wait(&self) -> Duration {
        self.gateway.borrow().watch_wait(self.now())
    }

    fn misses_server_change(&self) -> bool {
        self.gateway.borrow().misses_server_change(self.now())
    }

    fn outages(&self) -> u64 {
        self.gateway.borrow().outages()
    }

    fn changed(&self) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(self.newer_known.notified())
    }
}
