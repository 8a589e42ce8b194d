//! The entry hosts of a soak: processes, their links, and the balancer that asks whether they are ready.

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

/// The platform's bounds that hosts are told, and that the checks hold them to.
pub(crate) const GRACE: Duration = Duration::from_secs(8);
pub(crate) const REVOKE_MS: u64 = 5_000;
pub(crate) const CONFIG_MS: u64 = 2_000;
pub(crate) const DRAIN_MS: u64 = 2_000;
pub(crate) const REPEAT_RATIO: f64 = 0.2;
pub(crate) const REPEAT_SLACK: f64 = 40.0;
pub(crate) const REPEAT_WINDOW_MS: u64 = 10_000;

const CALLER_PORT: u16 = 8_227;
const HEALTH_PORT: u16 = 8_220;
const PEER_PORT: u16 = 7_340;
const METRICS_PORT: u16 = 9_464;
/// How often the balancer asks, and after how many misses a host gets no new connections.
const ASK_INTERVAL: Duration = Duration::from_secs(1);
const MISSES: u32 = 2;
/// How long a host that was started may take until it is ready, with the store away.
const READY_WITHIN: Duration = Duration::from_secs(20);
const LOOK: Duration = Duration::from_millis(50);

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
    /// Set while a fault deals with the process.
    busy: AtomicBool,
    /// Between callers and the host.
    pub(crate) front: Relay,
    /// Between the host and the store.
    pub(crate) store: Relay,
}

impl Host {
    pub(crate) async fn prepare(
        index: usize,
        net: [u8; 2],
        hosts: usize,
        binary: &Path,
        store: SocketAddr,
    ) -> io::Result<Host> {
        let address = |host: usize| Ipv4Addr::new(127, net[0], net[1], host as u8 + 1);
        let own = address(index);
        let callers = SocketAddr::from((own, CALLER_PORT));
        let health = SocketAddr::from((own, HEALTH_PORT));
        // Fails where another soak has hosts at these addresses; their callers would mix.
        drop(TcpListener::bind(callers)?);
        let store = Relay::start(store).await?;
        let seeds: Vec<String> =
            (0..hosts.min(3)).map(|host| format!("{}:8229", address(host))).collect();
        let settings = json!({
            "host": format!("host-{index}"), "zone": if index.is_multiple_of(2) { "zone-a" } else { "zone-b" },
            "callers": callers.to_string(), "health": health.to_string(), "peer_port": PEER_PORT,
            "seeds": seeds, "metrics_port": METRICS_PORT, "store": store.addr().to_string(),
            "memory_mb": 390, "descriptors": 2_000, "grace_s": GRACE.as_secs_f64(),
            "revoke_ms": REVOKE_MS, "config_ms": CONFIG_MS, "drain_ms": DRAIN_MS, "repeat_ratio": REPEAT_RATIO, "repeat_slack": REPEAT_SLACK,
            "repeat_window_s": REPEAT_WINDOW_MS / 1_000,
        });
        Ok(Host {
            index,
            settings,
            callers,
            health,
            binary: binary.to_owned(),
            process: Mutex::default(),
            start: AtomicU64::new(0),
            in_rotation: AtomicBool::new(false),
            busy: AtomicBool::new(false),
            front: Relay::start(callers).await?,
            store,
        })
    }

    pub(crate) fn target(&self) -> Target {
        let start = self.start.load(Ordering::SeqCst);
        Target { host: self.index, start, address: self.front.addr() }
    }

    pub(crate) fn is_in_rotation(&self) -> bool {
        self.in_rotation.load(Ordering::SeqCst)
    }

    /// Takes the process for a fault; nothing if another one deals with it.
    pub(crate) fn take(&self) -> Option<Taken<'_>> {
        let was_busy = self.busy.swap(true, Ordering::SeqCst);
        (!was_busy).then(|| Taken { host: self })
    }

    /// Starts the process, which must have ended.
    pub(crate) fn start_process(&self) -> io::Result<()> {
        let process = Process::run(&self.binary, "host", &self.settings, self.callers);
        *lock(&self.process) = Some(process.map_err(io::Error::other)?);
        self.start.fetch_add(1, Ordering::SeqCst);
        Ok(())
    }

    pub(crate) async fn wait_ready(&self) -> bool {
        let end = Instant::now() + READY_WITHIN;
        while Instant::now() < end {
            if is_ready(self.health).await {
                return true;
            }
            sleep(LOOK).await;
        }
        false
    }

    pub(crate) fn signal(&self, signal: Signal) -> io::Result<()> {
        lock(&self.process).as_ref().map_or(Ok(()), |process| process.signal(signal))
    }

    /// Writes the settings anew and tells the host.
    pub(crate) fn reload(&self) -> io::Result<()> {
        let process = lock(&self.process);
        let Some(process) = process.as_ref() else { return Ok(()) };
        process.rewrite_settings(&self.settings)?;
        process.signal(Signal::Hangup)
    }

    /// Returns how the process ended, if it has.
    pub(crate) fn ended(&self) -> Option<std::process::ExitStatus> {
        lock(&self.process).as_ref().and_then(Process::exit_status)
    }

    pub(crate) async fn wait_ended(&self, limit: Duration) -> Option<std::process::ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            let ended = self.ended();
            if ended.is_some() || Instant::now() >= end {
                return ended;
            }
            sleep(LOOK / 5).await;
        }
    }

    /// Returns the lines that the process wrote so far.
    pub(crate) fn log(&self) -> Vec<String> {
        lock(&self.process).as_ref().map(Process::log).unwrap_or_default()
    }

    /// Asks again and again whether the host is ready, as the platform's balancer does.
    pub(crate) async fn balance(&self) {
        let mut misses = MISSES;
        loop {
            misses = if is_ready(self.health).await { 0 } else { misses + 1 };
            self.in_rotation.store(misses < MISSES, Ordering::SeqCst);
            sleep(ASK_INTERVAL).await;
        }
    }
}

/// A host whose process one fault deals with.
pub(crate) struct Taken<'a> {
    host: &'a Host,
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        self.host.busy.store(false, Ordering::SeqCst);
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
        let mut seen = evidence.seen();
        seen.disturbed.push((scope, now, u64::MAX));
        Disturbance { evidence: evidence.clone(), position: seen.disturbed.len() - 1 }
    }
}

impl Drop for Disturbance {
    fn drop(&mut self) {
        let now = self.evidence.now();
        self.evidence.seen().disturbed[self.position].2 = now;
    }
}
