//! The thread that owns the core: passes it inputs from the rings and executes its outputs.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use crossbeam_channel::Receiver;
use slog::Logger;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::engine_client::EngineClient;
use super::event_log;
use super::metrics::Metrics;
use super::peer_links::PeerLinks;
use super::platform_client::PlatformClient;
use super::ring::CoreMessage;
use super::ring::CoreSender;
use super::service_client::ServiceClient;
use crate::coordination::AnswerPiece;
use crate::coordination::AttemptEvent;
use crate::coordination::CallerId;
use crate::coordination::Input;
use crate::coordination::Node;
use crate::coordination::NodeStatus;
use crate::coordination::Output;
use crate::coordination::PeerMessage;
use crate::coordination::StreamReport;
use crate::state::AttemptId;
use crate::state::HybridTime;
use crate::state::Moment;
use crate::state::Now;
use crate::state::TimeLine;
use crate::state::WallTime;

/// The longest time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// How often the snapshot for operators is updated.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// How many messages of the work ring are handled before the control ring is checked again.
const WORK_BATCH: usize = 64;

/// State that the operators' HTTP interface reads and the core thread writes.
pub(crate) struct OperatorState {
    /// The events of this process.
    pub(crate) time_line: Mutex<TimeLine>,
    /// The newest snapshot of the core.
    pub(crate) status: Mutex<Arc<NodeStatus>>,
    /// The metrics.
    pub(crate) metrics: Metrics,
    /// Whether the balancer may send more requests.
    pub(crate) healthy: Arc<AtomicBool>,
}

/// The receiving ends of the rings into the core.
pub(crate) struct CoreRings {
    /// Gossip, configuration, reports and time.
    pub(crate) control: Receiver<CoreMessage>,
    /// Requests and the pieces of answers.
    pub(crate) work: Receiver<CoreMessage>,
}

/// The clients through which the core's outputs go out.
pub(crate) struct Clients {
    /// The links to peers.
    pub(crate) links: PeerLinks,
    /// The client of engines.
    pub(crate) engines: EngineClient,
    /// The client of plain services.
    pub(crate) services: ServiceClient,
    /// The client of the platform.
    pub(crate) platform: PlatformClient,
    /// The runtime on which the clients' calls run.
    pub(crate) runtime: Handle,
    /// The sender of inputs into the core.
    pub(crate) core: CoreSender,
}

/// Runs the core until its planned stop has ended.
pub(crate) struct CoreThread {
    node: Node,
    rings: CoreRings,
    clients: Clients,
    operator_state: Arc<OperatorState>,
    log: Logger,
    start: Instant,
    callers: HashMap<CallerId, mpsc::Sender<AnswerPiece>>,
    streams: HashMap<AttemptId, AbortHandle>,
    snapshot_at: Moment,
    stopped: bool,
}

impl CoreThread {
    /// Prepares the thread; `start` is the zero of the core's monotonic clock.
    pub(crate) fn new(
        node: Node,
        rings: CoreRings,
        clients: Clients,
        operator_state: Arc<OperatorState>,
        log: Logger,
        start: Instant,
    ) -> CoreThread {
        CoreThread {
            node,
            rings,
            clients,
            operator_state,
            log,
            start,
            callers: HashMap::new(),
            streams: HashMap::new(),
            snapshot_at: Moment::default(),
            stopped: false,
        }
    }

    /// Runs until the planned stop has ended.
    pub(crate) fn run(mut self) {
        let mut ticked = Moment::default();
        while !self.stopped {
            self.wait();
            self.drain_control();
            for _ in 0..WORK_BATCH {
                let Ok(message) = self.rings.work.try_recv() else { break };
                self.handle_message(message);
            }
            let now = self.now().mono;
            if now.since(ticked) >= TICK_INTERVAL {
                ticked = now;
                self.handle(Input::Tick);
            }
            self.snapshot(now);
        }
        self.clients.links.stop();
    }

    /// Waits until a ring has a message or a tick is due.
    fn wait(&self) {
        let mut select = crossbeam_channel::Select::new();
        select.recv(&self.rings.control);
        select.recv(&self.rings.work);
        let _ = select.ready_timeout(TICK_INTERVAL);
    }

    fn drain_control(&mut self) {
        while let Ok(message) = self.rings.control.try_recv() {
            self.handle_message(message);
        }
    }

    fn handle_message(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Input(input) => {
                self.remove_ended_stream(&input);
                self.handle(input);
            }
            CoreMessage::Caller { input, caller, sink } => {
                self.callers.insert(caller, sink);
                self.handle(input);
            }
        }
    }

    /// Removes the abort handle of a stream that has ended by itself.
    fn remove_ended_stream(&mut self, input: &Input) {
        let Input::Stream(StreamReport { attempt, event, .. }) = input else { return };
        let over = match event {
            AttemptEvent::Lost { .. } | AttemptEvent::Refused(_) => true,
            AttemptEvent::Done { .. } | AttemptEvent::Exported { .. } => true,
            AttemptEvent::Started { .. } | AttemptEvent::Piece { .. } => false,
        };
        if over {
            self.streams.remove(attempt);
        }
    }

    fn handle(&mut self, input: Input) {
        let now = self.now();
        witness_clock(&self.operator_state, now, &input);
        for output in self.node.handle(now, input) {
            self.execute(now, output);
        }
    }

    fn now(&self) -> Now {
        let micros = self.start.elapsed().as_micros();
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        Now {
            mono: Moment(u64::try_from(micros).unwrap_or(u64::MAX)),
            wall: WallTime(u64::try_from(wall).unwrap_or(u64::MAX)),
        }
    }

    fn execute(&mut self, now: Now, output: Output) {
        let Clients { links, engines, services, platform, runtime, .. } = &self.clients;
        match output {
            Output::Send { to, mut message } => {
                stamp_clock(&self.operator_state, now, &mut message);
                // The links count a refused send; the core recovers from it by its timers.
                let _ = links.send(&to, &message);
            }
            Output::Answer { caller, piece } => self.answer(caller, piece),
            Output::StartStream(start) => {
                let attempt = start.attempt;
                let task = runtime.spawn(engines.clone().run(*start));
                self.streams.insert(attempt, task.abort_handle());
            }
            Output::CancelStream { attempt, addr } => {
                if let Some(task) = self.streams.remove(&attempt) {
                    task.abort();
                }
                runtime.spawn(engines.clone().cancel(attempt, addr));
            }
            Output::PollEngine { engine, addr, cache_after } => {
                runtime.spawn(engines.clone().poll(engine, addr, cache_after));
            }
            Output::SendCall { addr, call, time_left } => {
                runtime.spawn(services.clone().call(addr, call, time_left));
            }
            Output::WatchConfig { after, wait } => {
                runtime.spawn(platform.clone().read_config(after, wait));
            }
            Output::WatchLiveList { after } => {
                runtime.spawn(platform.clone().read_live(after));
            }
            Output::SendOrder { addr, order } => {
                runtime.spawn(engines.clone().order(addr, order));
            }
            Output::SetPeers(peers) => self.warn_links(links.set_peers(&peers)),
            Output::RecordEvent(event) => {
                event_log::write(&self.log, &event);
                self.operator_state.metrics.observe(&event);
                let mut line = lock(&self.operator_state.time_line);
                line.push(now.wall, event);
            }
            Output::Stopped => self.stopped = true,
        }
    }

    fn warn_links(&self, opened: std::io::Result<()>) {
        if let Err(error) = opened {
            slog::warn!(self.log, "links to peers could not be opened"; "error" => %error);
        }
    }

    /// Passes a piece of the answer to a caller; drops the caller if it reads too slowly.
    fn answer(&mut self, caller: CallerId, piece: AnswerPiece) {
        let more = matches!(piece, AnswerPiece::Accepted(_) | AnswerPiece::Text { .. });
        let Some(sink) = self.callers.get(&caller) else { return };
        let passed = sink.try_send(piece).is_ok();
        if !more || !passed {
            self.callers.remove(&caller);
        }
        if more && !passed {
            let message = CoreMessage::Input(Input::CallerGone(caller));
            // If the ring is full, this input is lost and the request ends at its deadline.
            let _ = self.clients.core.try_send(message);
        }
    }

    fn snapshot(&mut self, now: Moment) {
        if now < self.snapshot_at {
            return;
        }
        self.snapshot_at = now + SNAPSHOT_INTERVAL;
        let status = self.node.status(self.now());
        self.operator_state.healthy.store(status.ready, Ordering::Relaxed);
        self.operator_state.metrics.record(
            &status,
            &self.clients.links.counters(),
            self.clients.core.shed(),
        );
        *lock(&self.operator_state.status) = Arc::new(status);
    }
}

/// Sets the time line's hybrid clock in a heartbeat.
fn stamp_clock(operator_state: &OperatorState, now: Now, message: &mut PeerMessage) {
    if let PeerMessage::Heartbeat(beat) = message {
        beat.clock = lock(&operator_state.time_line).tick(now.wall).0;
    }
}

/// Advances the time line's clock to that of a peer's heartbeat, so that later events here are ordered
/// after it.
fn witness_clock(operator_state: &OperatorState, now: Now, input: &Input) {
    let Input::Peer(envelope) = input else { return };
    if let PeerMessage::Heartbeat(beat) = &envelope.message {
        lock(&operator_state.time_line).observe(now.wall, HybridTime(beat.clock));
    }
}

/// Locks `mutex`, ignoring poisoning by a thread that panicked while holding it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
