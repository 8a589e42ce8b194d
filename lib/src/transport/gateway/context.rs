//! State that all tasks of the gateway's transport share on its one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::future::Future;
use std::pin::Pin;
use std::rc::Weak;
use std::time::Duration;

use http::response;
use slog::info;
use tokio::sync::Notify;
use tokio::sync::watch;

use super::clock::BootClock;
use super::dialect::Dialect;
use super::event_queue::EventQueue;
use super::fleet_source::ReadSchedule;
use super::moves::MoveClient;
use super::permits::PermitClient;
use super::telemetry::Telemetry;
use crate::coordination::Gateway;
use crate::coordination::StopPhase;
use crate::state::Moment;
use crate::state::ReaderBuffers;
use crate::state::ReaderId;
use crate::state::ServerId;
use crate::state::SourceEra;

/// The shared state.
pub(crate) struct GatewayContext {
    /// The decision logic; borrowed for one call at a time, never across an `await`.
    pub(crate) gateway: RefCell<Gateway>,
    /// The HTTP conventions of callers and servers.
    pub(crate) dialect: Box<dyn Dialect>,
    /// The clock of all timestamps.
    pub(crate) clock: BootClock,
    /// Logs and metrics.
    pub(crate) telemetry: Telemetry,
    /// Notified when a request ends or the known servers change, so that queued requests are placed.
    pub(crate) capacity_freed: Notify,
    /// Notified when this host sends a long prompt to engines, which all peers must know at once.
    pub(crate) urgent_summary: Notify,
    /// Notified when the read schedule may have changed: a peer knows a newer configuration or server
    /// list, or an outage of the source is over, or the source was restored.
    pub(crate) schedule_changed: Notify,
    /// Notified when this host's load changes, so that a summary is sent to peers.
    pub(crate) load_changed: Notify,
    /// Notified when a server became cold or may have, so that health checks may be due.
    pub(crate) cold_changed: Notify,
    /// The servers, by digest, whose limit could not be parsed and was logged.
    pub(crate) invalid_limits: RefCell<HashSet<u32>>,
    /// The questions to arbiters of limited servers.
    pub(crate) permits: PermitClient,
    /// The queries to hosts of other cells.
    pub(crate) moves: MoveClient,
    /// The bytes of request bodies in memory.
    pub(crate) buffered_bytes: Cell<usize>,
    /// The limit of `buffered_bytes`.
    pub(crate) buffer_limit: usize,
    /// The events that callers have not read yet.
    pub(crate) readers: RefCell<ReaderBuffers>,
    /// The queues of these events.
    pub(crate) queues: RefCell<HashMap<ReaderId, Weak<EventQueue>>>,
    /// Notified when a caller has read an event, or its stream has ended.
    pub(crate) reader_space: Notify,
    /// The number of open caller connections.
    pub(crate) connections: Cell<usize>,
    /// The phase of a planned stop that all tasks have been notified of.
    pub(crate) stop_phase: watch::Sender<StopPhase>,
}

impl GatewayContext {
    pub(crate) fn now(&self) -> Moment {
        self.clock.now()
    }

    /// Returns whether a planned stop has begun.
    pub(crate) fn is_stopping(&self) -> bool {
        self.gateway.borrow().stop_phase(self.now()) != StopPhase::Running
    }

    /// Waits until a planned stop has reached `phase`.
    pub(crate) async fn await_stop_phase(&self, phase: StopPhase) {
        // The sender is a part of this context, so that waiting can't fail.
        let _ = self.stop_phase.subscribe().wait_for(|reached| *reached >= phase).await;
    }

    /// Records that `server` is leaving if its response `head` states so. Called as soon as the head
    /// has arrived, since the body may be long, incomplete or wrong.
    pub(crate) fn record_if_leaving(&self, server: &ServerId, head: &response::Parts) {
        if !self.dialect.response_facts(head).is_leaving
            || !self.gateway.borrow_mut().record_leaving(server)
        {
            return;
        }
        info!(self.telemetry.log(), "server leaving"; "server" => server.id(),
            "born" => server.born());
        // Queued requests are placed at the remaining servers or refused.
        self.capacity_freed.notify_waiters();
    }

    /// Notifies the reads of the source, and the peers at once, that the source was restored.
    pub(crate) fn notify_rewind(&self) {
        self.schedule_changed.notify_waiters();
        self.urgent_summary.notify_one();
    }

    /// Notifies queued requests and the peer summaries that the load has changed.
    pub(crate) fn notify_load_change(&self) {
        self.capacity_freed.notify_waiters();
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

    fn follows_evacuations(&self) -> bool {
        self.gateway.borrow().follows_evacuations()
    }

    fn misses_server_change(&self) -> bool {
        self.gateway.borrow().misses_server_change(self.now())
    }

    fn outages(&self) -> u64 {
        self.gateway.borrow().outages()
    }

    fn source_era(&self) -> SourceEra {
        self.gateway.borrow().source_era()
    }

    fn changed(&self) -> Pin<Box<dyn Future<Output = ()> + '_>> {
        Box::pin(self.schedule_changed.notified())
    }
}
