//! The thread that owns the core: takes inputs from its rings and carries out its outputs.

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
const TICK: Duration = Duration::from_millis(10);

/// How often the snapshot for operators is renewed.
const SNAPSHOT_EVERY: Duration = Duration::from_millis(500);

/// How many messages of the work ring are taken before the control ring is looked at again.
const WORK_BATCH: usize = 64;

/// What operators' pages read; the core's thread writes it.
pub(crate) struct Shown {
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
    /// To the peers.
    pub(crate) links: PeerLinks,
    /// To the engines.
    pub(crate) engines: EngineClient,
    /// To the plain services.
    pub(crate) services: ServiceClient,
    /// To the platform.
    pub(crate) platform: PlatformClient,
    /// Where their calls run.
    pub(crate) runtime: Handle,
    /// The way back into the core.
    pub(crate) core: CoreSender,
}

/// Drives the core until its planned stop is over.
pub(crate) struct CoreThread {
    node: Node,
    rings: CoreRings,
    clients: Clients,
    shown: Arc<Shown>,
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
        shown: Arc<Shown>,
        log: Logger,
        start: Instant,
    ) -> CoreThread {
        CoreThread {
            node,
            rings,
            clients,
            shown,
            log,
            start,
            callers: HashMap::new(),
            streams: HashMap::new(),
            snapshot_at: Moment::default(),
            stopped: false,
        }
    }

    /// Runs until the planned stop is over.
    pub(crate) fn run(mut self) {
        let mut ticked = Moment::default();
        while !self.stopped {
            self.wait();
            self.drain_control();
            for _ in 0..WORK_BATCH {
                let Ok(message) = self.rings.work.try_recv() else { break };
                self.take(message);
            }
            let now = self.now().mono;
            if now.since(ticked) >= TICK {
                ticked = now;
                self.handle(Input::Tick);
            }
            self.snapshot(now);
        }
        self.clients.links.stop();
    }

    /// Waits until a ring has something or a tick is due.
    fn wait(&self) {
        let mut select = crossbeam_channel::Select::new();
        select.recv(&self.rings.control);
        select.recv(&self.rings.work);
        let _ = select.ready_timeout(TICK);
    }

    fn drain_control(&mut self) {
        while let Ok(message) = self.rings.control.try_recv() {
            self.take(message);
        }
    }

    fn take(&mut self, message: CoreMessage) {
        match message {
            CoreMessage::Input(input) => {
                self.note_end(&input);
                self.handle(input);
            }
            CoreMessage::Caller { input, caller, sink } => {
                self.callers.insert(caller, sink);
                self.handle(input);
            }
        }
    }

    /// Forgets the handle of a stream that has ended by itself.
    fn note_end(&mut self, input: &Input) {
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
        witness_clock(&self.shown, now, &input);
        for output in self.node.handle(now, input) {
            self.carry_out(now, output);
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

    fn carry_out(&mut self, now: Now, output: Output) {
        let Clients { links, engines, services, platform, runtime, .. } = &self.clients;
        match output {
            Output::Send { to, mut message } => {
                stamp_clock(&self.shown, now, &mut message);
                // A refused send is counted by the links and made good by the core's own timers.
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
                self.shown.metrics.observe(&event);
                let mut line = lock(&self.shown.time_line);
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

    /// Passes a piece to a caller; one that reads too slowly is given up.
    fn answer(&mut self, caller: CallerId, piece: AnswerPiece) {
        let more = matches!(piece, AnswerPiece::Accepted(_) | AnswerPiece::Text { .. });
        let Some(sink) = self.callers.get(&caller) else { return };
        let passed = sink.try_send(piece).is_ok();
        if !more || !passed {
            self.callers.remove(&caller);
        }
        if more && !passed {
            let gone = CoreMessage::Input(Input::CallerGone(caller));
            // A full ring loses this; the deadline then ends the request instead.
            let _ = self.clients.core.try_send(gone);
        }
    }

    fn snapshot(&mut self, now: Moment) {
        if now < self.snapshot_at {
            return;
        }
        self.snapshot_at = now + SNAPSHOT_EVERY;
        let status = self.node.status(self.now());
        self.shown.healthy.store(status.ready, Ordering::Relaxed);
        self.shown.metrics.record(
            &status,
            &self.clients.links.counters(),
            self.clients.core.shed(),
        );
        *lock(&self.shown.status) = Arc::new(status);
    }
}

/// Puts the time line's clock into a heartbeat.
fn stamp_clock(shown: &Shown, now: Now, message: &mut PeerMessage) {
    if let PeerMessage::Heartbeat(beat) = message {
        beat.clock = lock(&shown.time_line).tick(now.wall).0;
    }
}

/// Takes note of the clock in a peer's heartbeat, so that later events here come after it.
fn witness_clock(shown: &Shown, now: Now, input: &Input) {
    let Input::Peer(envelope) = input else { return };
    if let PeerMessage::Heartbeat(beat) = &envelope.message {
        lock(&shown.time_line).observe(now.wall, HybridTime(beat.clock));
    }
}

/// Locks `mutex`, also after a thread that held it has stopped in the middle.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
