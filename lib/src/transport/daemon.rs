//! One entry host as a process: starts the threads, connects them by rings (bounded queues), and stops
//! them in order.

use std::error::Error;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use error_stack::Report;
use error_stack::ResultExt;
use rocket::config::LogLevel as RocketLog;
use rocket::config::Shutdown as RocketStop;
use slog::Logger;
use slog::info;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

use super::callers;
use super::callers::CallerLimits;
use super::callers::CallerState;
use super::core_thread::Clients;
use super::core_thread::CoreRings;
use super::core_thread::CoreThread;
use super::core_thread::OperatorState;
use super::engine_client::EngineClient;
use super::metrics::Metrics;
use super::operators;
use super::peer_links::PeerLinks;
use super::peer_links::PeerLinksSettings;
use super::platform_client::PlatformClient;
use super::ring::CoreMessage;
use super::ring::CoreSender;
use super::service_client::ServiceClient;
use crate::coordination::Envelope;
use crate::coordination::Input;
use crate::coordination::Node;
use crate::coordination::NodeSettings;
use crate::coordination::NodeStatus;
use crate::coordination::PeerAddr;
use crate::protocol::RulesReader;
use crate::protocol::Settings;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::Moment;
use crate::state::Now;
use crate::state::TimeLine;
use crate::state::WallTime;

/// The bytes of a message between entry hosts in addition to the longest body.
const FRAME_HEADROOM: usize = 64 * 1024;

/// The timeout for connecting to an engine or service.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The timeout for the HTTP servers to finish their last responses.
const HTTP_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(2);

/// How many times a stop is tried while the ring into the core is full.
const MAX_STOP_ATTEMPTS: u32 = 500;

/// The delay before a stop is tried again.
const STOP_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Why an entry host could not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DaemonError {
    /// A thread or the runtime could not be started.
    Threads,
    /// An address could not be listened on.
    Listen(SocketAddr),
    /// The HTTP client could not be created.
    Client,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DaemonError::Threads => f.write_str("the threads could not be started"),
            DaemonError::Listen(addr) => write!(f, "cannot listen on {addr}"),
            DaemonError::Client => f.write_str("the HTTP client could not be created"),
        }
    }
}

impl Error for DaemonError {}

/// Begins the planned stop of a running entry host.
pub struct StopHandle {
    core: CoreSender,
}

impl StopHandle {
    /// Begins the planned stop; repeating it changes nothing.
    pub fn stop(&self) {
        // Retries for some seconds, so that the stop is not lost if the ring is full.
        for _ in 0..MAX_STOP_ATTEMPTS {
            if self.core.try_send(CoreMessage::Input(Input::Stop)).is_ok() {
                return;
            }
            thread::sleep(STOP_RETRY_DELAY);
        }
    }
}

/// A running entry host.
pub struct Daemon {
    core: CoreSender,
    thread: JoinHandle<()>,
    servers: Vec<rocket::Shutdown>,
    runtime: Runtime,
    log: Logger,
}

impl Daemon {
    /// Starts an entry host with `settings`.
    pub fn start(settings: &Settings, log: Logger) -> Result<Daemon, Report<DaemonError>> {
        let start = Instant::now();
        let incarnation = Incarnation(rand::random());
        let log = log.new(slog::o!("host" => settings.host.to_string()));
        let runtime = start_runtime(settings)?;
        let (control_in, control) = crossbeam_channel::bounded(settings.ring_size);
        let (work_in, work) = crossbeam_channel::bounded(settings.ring_size);
        let core = CoreSender::new(control_in, work_in);
        let operator_state = Arc::new(initial_operator_state(settings, incarnation));
        let links = start_links(settings, incarnation, &core, &log)?;
        let clients = make_clients(settings, &runtime, core.clone(), links)?;
        let node = Node::new(first_now(start), node_settings(settings, incarnation));
        let rings = CoreRings { control, work };
        let driver =
            CoreThread::new(node, rings, clients, operator_state.clone(), log.clone(), start);
        let thread = thread::Builder::new()
            .name("core".to_owned())
            .spawn(move || driver.run())
            .change_context(DaemonError::Threads)?;
        let mut daemon = Daemon { core, thread, servers: Vec::new(), runtime, log };
        daemon.serve_callers(settings, &operator_state)?;
        daemon.serve_operators(settings, &operator_state)?;
        info!(daemon.log, "entry host started";
            "incarnation" => incarnation.to_string(),
            "callers" => settings.caller_addr().to_string(),
            "operators" => settings.operator_addr().to_string(),
            "peers" => settings.peer_addr().to_string());
        Ok(daemon)
    }

    /// Returns a handle to begin the planned stop from another thread.
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle { core: self.core.clone() }
    }

    /// Waits until the planned stop has ended, then shuts down the HTTP servers.
    pub fn wait(self) {
        // The core thread ends by itself at the end of the stop.
        let core = self.thread.join();
        for server in &self.servers {
            server.clone().notify();
        }
        self.runtime.shutdown_timeout(HTTP_SHUTDOWN_TIMEOUT);
        match core {
            Ok(()) => info!(self.log, "entry host stopped"),
            Err(_) => slog::crit!(self.log, "the core's thread stopped on a broken invariant"),
        }
    }

    fn serve_callers(
        &mut self,
        settings: &Settings,
        operator_state: &Arc<OperatorState>,
    ) -> Result<(), Report<DaemonError>> {
        let limits = CallerLimits {
            head: settings.bounds.header_bytes,
            body: settings.bounds.body_bytes,
            body_time: settings.bounds.body_timeout,
            requests: settings.bounds.connections,
        };
        let state = CallerState::new(self.core.clone(), limits, operator_state.healthy.clone());
        let server = rocket::custom(http_config(settings, settings.caller_addr()))
            .manage(Arc::new(state))
            .mount("/", callers::routes());
        self.launch(server, settings.caller_addr())
    }

    fn serve_operators(
        &mut self,
        settings: &Settings,
        operator_state: &Arc<OperatorState>,
    ) -> Result<(), Report<DaemonError>> {
        let server = rocket::custom(http_config(settings, settings.operator_addr()))
            .manage(operator_state.clone())
            .mount("/", operators::routes());
        self.launch(server, settings.operator_addr())
    }

    /// Starts an HTTP server and waits until it listens or fails.
    fn launch(
        &mut self,
        server: rocket::Rocket<rocket::Build>,
        addr: SocketAddr,
    ) -> Result<(), Report<DaemonError>> {
        let (up, is_up) = crossbeam_channel::bounded(1);
        let failed = up.clone();
        let server = server.attach(rocket::fairing::AdHoc::on_liftoff("listening", move |_| {
            Box::pin(async move {
                let _ = up.try_send(true);
            })
        }));
        let ignited = self
            .runtime
            .block_on(server.ignite())
            .map_err(|error| Report::new(DaemonError::Listen(addr)).attach(error.to_string()))?;
        self.servers.push(ignited.shutdown());
        self.runtime.spawn(async move {
            if ignited.launch().await.is_err() {
                let _ = failed.try_send(false);
            }
        });
        match is_up.recv() {
            Ok(true) => Ok(()),
            Ok(false) | Err(_) => Err(Report::new(DaemonError::Listen(addr))),
        }
    }
}

fn start_runtime(settings: &Settings) -> Result<Runtime, Report<DaemonError>> {
    Builder::new_multi_thread()
        .worker_threads(settings.worker_threads)
        .thread_name("http")
        .enable_all()
        .build()
        .change_context(DaemonError::Threads)
}

fn initial_operator_state(settings: &Settings, incarnation: Incarnation) -> OperatorState {
    let (host, zone) = (settings.host.clone(), settings.zone.clone());
    let status = NodeStatus::starting(host.clone(), zone, incarnation);
    OperatorState {
        time_line: Mutex::new(TimeLine::new(host, settings.tuning.event_ring)),
        status: Mutex::new(Arc::new(status)),
        metrics: Metrics::new(),
        healthy: Arc::new(AtomicBool::new(false)),
    }
}

fn start_links(
    settings: &Settings,
    incarnation: Incarnation,
    core: &CoreSender,
    log: &Logger,
) -> Result<PeerLinks, Report<DaemonError>> {
    let links = PeerLinksSettings {
        listen: settings.peer_addr(),
        host: settings.host.clone(),
        incarnation,
        key: settings.peer_key.0,
        max_frame: settings.bounds.body_bytes + FRAME_HEADROOM,
        ring_size: settings.ring_size,
    };
    let core = core.clone();
    let inbox = move |envelope: Envelope| {
        // If the ring is full, the message is shed and counted; the sender's timers recover from it.
        let _ = core.try_send(CoreMessage::Input(Input::Peer(envelope)));
    };
    PeerLinks::start(links, inbox, log.clone())
        .change_context(DaemonError::Listen(settings.peer_addr()))
}

fn make_clients(
    settings: &Settings,
    runtime: &Runtime,
    core: CoreSender,
    links: PeerLinks,
) -> Result<Clients, Report<DaemonError>> {
    let pooled = http_client(usize::MAX)?;
    // Calls to services, which may not be safe to run twice, never use a pooled connection: if the
    // service closes it at that moment, the call fails after the first byte with an unknown outcome.
    let fresh = http_client(0)?;
    let tuning = &settings.tuning;
    Ok(Clients {
        links,
        engines: EngineClient::new(pooled.clone(), core.clone(), tuning.engine_idle),
        services: ServiceClient::new(fresh, core.clone(), settings.bounds.body_bytes),
        platform: PlatformClient::new(
            pooled,
            core.clone(),
            settings.platform,
            tuning.platform_wait,
        ),
        runtime: runtime.handle().clone(),
        core,
    })
}

fn http_client(idle: usize) -> Result<reqwest::Client, Report<DaemonError>> {
    reqwest::Client::builder()
        .no_proxy()
        .retry(reqwest::retry::never())
        .redirect(reqwest::redirect::Policy::none())
        .connect_timeout(CONNECT_TIMEOUT)
        .pool_max_idle_per_host(idle)
        .tcp_nodelay(true)
        .build()
        .change_context(DaemonError::Client)
}

fn node_settings(settings: &Settings, incarnation: Incarnation) -> NodeSettings {
    let seed_peers = settings.peers.iter().map(|addr| {
        let host = HostName::new(addr.to_string());
        PeerAddr { host, addr: *addr }
    });
    NodeSettings {
        host: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation,
        rng_seed: rand::random(),
        tuning: settings.tuning.clone(),
        seed_peers: seed_peers.collect(),
        rules_parser: Box::new(RulesReader),
    }
}

fn first_now(start: Instant) -> Now {
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    Now { mono: Moment(micros), wall: WallTime(u64::try_from(wall).unwrap_or(u64::MAX)) }
}

fn http_config(settings: &Settings, addr: SocketAddr) -> rocket::Config {
    rocket::Config {
        address: addr.ip(),
        port: addr.port(),
        workers: settings.worker_threads,
        log_level: RocketLog::Off,
        cli_colors: false,
        shutdown: RocketStop {
            ctrlc: false,
            signals: Default::default(),
            grace: 1,
            mercy: 1,
            ..RocketStop::default()
        },
        ..rocket::Config::release_default()
    }
}
