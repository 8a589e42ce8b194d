//! The entry hosts of a soak: processes, their links, and the load balancer's health checks.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;
use tokio::time::sleep;
use wasabicrank_testutils::process::Process;
use wasabicrank_testutils::process::Signal;
use wasabicrank_testutils::relay::Relay;
use wasabicrank_testutils::server::lock;

use crate::caller::Target;
use crate::caller::is_ready;
use crate::evidence::Evidence;
use crate::evidence::Scope;

/// The platform's bounds, passed to hosts in their settings and enforced by the checks.
pub(crate) const STOP_GRACE: Duration = Duration::from_secs(8);
pub(crate) const REVOKE_MS: u64 = 5_000;
pub(crate) const CONFIG_MS: u64 = 2_000;
pub(crate) const DRAIN_MS: u64 = 2_000;
const UNUSED_MS: u64 = 9_000;
const RELEASE_MS: u64 = 4_000;
pub(crate) const RETRY_RATIO: f64 = 0.2;
pub(crate) const RETRY_SLACK: f64 = 40.0;
pub(crate) const RETRY_WINDOW_MS: u64 = 10_000;

const CALLER_PORT: u16 = 8_227;
const HEALTH_PORT: u16 = 8_220;
const PEER_PORT: u16 = 7_340;
const METRICS_PORT: u16 = 9_464;
/// The interval of health checks, and the number of failures after which a host gets no new connections.
const HEALTH_INTERVAL: Duration = Duration::from_secs(1);
const FAILURE_LIMIT: u32 = 2;
/// How long a started host may take to become ready, even while the store is unreachable.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One entry host.
pub(crate) struct Host {
    index: usize,
    settings: Value,
    callers: SocketAddr,
    health: SocketAddr,
    binary: PathBuf,
    process: Mutex<Option<Process>>,
    start: AtomicU64,
    in_rotation: AtomicBool,
    /// Set while a fault has exclusive use of the process.
    is_claimed: AtomicBool,
    /// The relay between callers and the host.
    pub(crate) caller_relay: Relay,
    /// The relay between the host and the store.
    pub(crate) store_relay: Relay,
}

impl Host {
    pub(crate) async fn prepare(
        index: usize,
        net: [u8; 2],
        hosts: usize,
        binary: &Path,
        store: SocketAddr,
        evacuate_ms: Option<u64>,
    ) -> io::Result<Host> {
        let address = |host: usize| Ipv4Addr::new(127, net[0], net[1], host as u8 + 1);
        let own = address(index);
        let callers = SocketAddr::from((own, CALLER_PORT));
        let health = SocketAddr::from((own, HEALTH_PORT));
        // Fails if another soak has hosts at these addresses, which would mix their callers.
        drop(TcpListener::bind(callers)?);
        let store = Relay::start(store).await?;
        let seeds: Vec<String> =
            (0..hosts.min(3)).map(|host| format!("{}:8229", address(host))).collect();
        let mut settings = json!({
            "host": format!("host-{index}"), "zone": if index.is_multiple_of(2) { "zone-a" } else { "zone-b" },
            "callers": callers.to_string(), "health": health.to_string(), "peer_port": PEER_PORT,
            "seeds": seeds, "metrics_port": METRICS_PORT, "store": store.addr().to_string(),
            "memory_mb": 390, "descriptors": 2_000, "grace_s": STOP_GRACE.as_secs_f64(),
            "revoke_ms": REVOKE_MS, "config_ms": CONFIG_MS, "drain_ms": DRAIN_MS,
            "unused_ms": UNUSED_MS, "release_ms": RELEASE_MS, "repeat_ratio": RETRY_RATIO, "repeat_slack": RETRY_SLACK,
            "repeat_window_s": RETRY_WINDOW_MS / 1_000,
        });
        if let Some(evacuate_ms) = evacuate_ms {
            settings["evacuate_ms"] = json!(evacuate_ms);
        }
        Ok(Host {
            index,
            settings,
            callers,
            health,
            binary: binary.to_owned(),
            process: Mutex::default(),
            start: AtomicU64::new(0),
            in_rotation: AtomicBool::new(false),
            is_claimed: AtomicBool::new(false),
            caller_relay: Relay::start(callers).await?,
            store_relay: store,
        })
    }

    pub(crate) fn target(&self) -> Target {
        let start = self.start.load(Ordering::SeqCst);
        Target { host: self.index, start, address: self.caller_relay.addr() }
    }

    pub(crate) fn is_in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::SeqCst)
    }

    /// Claims the process for a fault; returns `None` if another fault holds it.
    pub(crate) fn claim(&self) -> Option<ProcessClaim<'_>> {
        let was_claimed = self.is_claimed.swap(true, Ordering::SeqCst);
        (!was_claimed).then(|| ProcessClaim { host: self })
    }

    /// Starts the process, which must have ended.
    pub(crate) fn start_process(&self) -> io::Result<()> {
        let process = Process::run(&self.binary, "host", &self.settings, self.callers);
        *lock(&self.process) = Some(process.map_err(io::Error::other)?);
        self.start.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    pub(crate) async fn wait_ready(&self) -> bool {
        let end = Instant::now() + READY_TIMEOUT;
        while Instant::now() < end {
            if is_ready(self.health).await {
                return true;
            }
            sleep(POLL_INTERVAL).await;
        }
        false
    }

    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        lock(&self.process).as_ref().map_or(Ok(()), |process| process.signal(signal))
    }

    /// Rewrites the settings and sends the host a hangup signal.
    pub(crate) fn reload(&self) -> io::Result<()> {
        let process = lock(&self.process);
        let Some(process) = process.as_ref() else { return Ok(()) };
        process.rewrite_settings(&self.settings)?;
        process.signal(Signal::Hangup)
    }

    /// Returns the exit status if the process has exited.
    pub(crate) fn exit_status(&self) -> Option<std::process::ExitStatus> {
        lock(&self.process).as_ref().and_then(Process::exit_status)
    }

    pub(crate) async fn wait_exit(&self, limit: Duration) -> Option<std::process::ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            let ended = self.exit_status();
            if ended.is_some() || Instant::now() >= end {
                return ended;
            }
            sleep(POLL_INTERVAL / 5).await;
        }
    }

    /// Returns the log lines that the process has written so far.
    pub(crate) fn log(&self) -> Vec<String> {
        lock(&self.process).as_ref().map(Process::log).unwrap_or_default()
    }

    /// Polls the host's readiness, as the platform's load balancer does.
    pub(crate) async fn check_health(&self) {
        let mut failures = FAILURE_LIMIT;
        loop {
            failures = if is_ready(self.health).await { 0 } else { failures + 1 };
            self.in_rotation.store(failures < FAILURE_LIMIT, Ordering::SeqCst);
            sleep(HEALTH_INTERVAL).await;
        }
    }
}

/// A fault's exclusive claim to a host's process, released on drop.
pub(crate) struct ProcessClaim<'a> {
    host: &'a Host,
}

impl Drop for ProcessClaim<'_> {
    fn drop(&mut self) {
        self.host.is_claimed.store(false, Ordering::SeqCst);
    }
}

/// A disturbance that lasts until this is dropped.
pub(crate) struct Disturbance {
    evidence: Evidence,
    position: usize,
}

impl Disturbance {
    pub(crate) fn begin(evidence: &Evidence, scope: Scope) -> Disturbance {
        let now = evidence.now();
        let mut observations = evidence.observations();
        observations.disturbed.push((scope, now, u64::MAX));
        Disturbance { evidence: evidence.clone(), position: observations.disturbed.len() - 1 }
    }
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        let now = self.evidence.now();
        self.evidence.observations().disturbed[self.position].2 = now;
    }
}
