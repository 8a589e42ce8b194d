//! The engine stand-in: runs the engine model in real time behind an HTTP interface.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::AbortHandle;

use crate::engine_core::EngineCore;
use crate::engine_http;
use crate::engine_model::Holding;
use crate::engine_model::ModelConfig;
use crate::engine_model::ModelLoad;
use crate::engine_orders::EngineOrder;
use crate::engine_orders::LoadedModel;
use crate::exports::Exports;
use crate::records::RunRecord;
use crate::relay::Link;
use crate::server::Entrance;
use crate::server::Server;
use crate::stream_faults::StreamFaults;

/// Configuration of an engine stand-in.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The speed and size of the model.
    pub model: ModelConfig,
    /// Speed of the engine's clock as a multiple of real time.
    pub speed: f64,
    /// Whether the engine answers immediately, bypassing the model, to measure overhead.
    pub instant: bool,
    /// Whether clients connect through a relay or directly.
    pub entrance: Entrance,
    /// Whether it rejects orders with a stale fencing number.
    pub fenced: bool,
    /// The models loaded at startup.
    pub models: Vec<LoadedModel>,
    /// The weight store that it loads weights from when ordered to; without one, loading takes no
    /// time.
    pub weight_store: Option<SocketAddr>,
    /// The age of its load reports.
    pub load_lag: Duration,
    /// The delay before its cache events become visible.
    pub cache_lag: Duration,
    /// Omits every nth cache event; zero omits none.
    pub cache_gap_every: u64,
    /// Runs per request, across all engines that share the record.
    pub runs: RunRecord,
    /// The exported prompt segments, shared by all engines.
    pub exports: Exports,
}

impl Default for EngineConfig {
    fn default() -> Self {
        EngineConfig {
            model: ModelConfig::default(),
            speed: 1.0,
            instant: false,
            entrance: Entrance::Relay,
            fenced: true,
            models: vec![LoadedModel::new("assist", "1")],
            weight_store: None,
            load_lag: Duration::ZERO,
            cache_lag: Duration::ZERO,
            cache_gap_every: 0,
            runs: RunRecord::default(),
            exports: Exports::default(),
        }
    }
}

/// Counters of an engine since it started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Accepted requests for answers and segments.
    pub accepted: u64,
    /// Requests rejected because memory was full.
    pub memory_full: u64,
    /// Requests rejected because the engine was leaving.
    pub turned_away: u64,
    /// Peak memory use, in tokens.
    pub peak_held: u32,
    /// Answers that outgrew the memory; any nonzero count is the caller's fault.
    pub over_memory: u64,
    /// Rejected resumes whose earlier text does not match this prompt's answer.
    pub wrong_resumes: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Streams whose reader disconnected before the end.
    pub abandoned: u64,
}

/// A running engine stand-in, stopped on drop.
#[derive(Debug)]
pub struct Engine {
    core: Arc<EngineCore>,
    server: Server,
    driver: AbortHandle,
}

impl Engine {
    /// Starts an engine on a free port of the loopback address.
    pub async fn start(config: EngineConfig) -> io::Result<Engine> {
        let entrance = config.entrance;
        let core = Arc::new(EngineCore::new(config));
        let build = |rocket| engine_http::mount_routes(rocket, core.clone());
        let server = Server::launch(build, entrance).await?;
        core.set_addr(server.addr());
        let driver = tokio::spawn(core.clone().drive()).abort_handle();
        Ok(Engine { core, server, driver })
    }

    /// Returns the address of its HTTP interface.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns the counters.
    pub fn counts(&self) -> EngineCounts {
        self.core.counts()
    }

    /// Returns the current load, without the report lag.
    pub fn load(&self) -> ModelLoad {
        self.core.load()
    }

    /// Returns the memory held by each attempt.
    pub fn holdings(&self) -> Vec<Holding> {
        self.core.holdings()
    }

    /// Returns the received orders, including stale ones, oldest first.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.core.orders()
    }

    /// Returns the loaded models.
    pub fn models(&self) -> Vec<LoadedModel> {
        self.core.models()
    }

    /// Simulates a process crash: closes and refuses connections and clears the memory.
    pub fn kill(&self) {
        self.server.refuse();
        self.core.reset();
    }

    /// Simulates a restart on the same address, with empty memory.
    pub async fn revive(&self) -> io::Result<()> {
        self.server.accept().await
    }

    /// Simulates a paused process: accepts connections but does no work and sends no response.
    pub fn freeze(&self) {
        self.server.set_frozen(true);
        self.core.set_frozen(true);
    }

    /// Resumes a paused process.
    pub fn thaw(&self) {
        self.core.set_frozen(false);
        self.server.set_frozen(false);
    }

    /// Closes all open connections.
    pub fn drop_connections(&self) {
        self.server.drop_connections();
    }

    /// Sets the state of the link to the engine.
    pub fn set_link(&self, link: Link) {
        self.server.set_link(link);
    }

    /// Sets the faults injected into answer streams, including running ones.
    pub fn set_stream_faults(&self, faults: StreamFaults) {
        self.core.set_stream_faults(faults);
    }

    /// Changes the clock speed, as a multiple of real time.
    pub fn set_speed(&self, speed: f64) {
        self.core.set_speed(speed);
    }

    /// Makes the engine finish its work and reject new requests, or accept requests again.
    pub fn set_leaving(&self, leaving: bool) {
        self.core.set_leaving(leaving);
    }

    /// Changes the age of load reports.
    pub fn set_load_lag(&self, lag: Duration) {
        self.core.set_load_lag(lag);
    }

    /// Changes the delay of cache events and which of them are omitted.
    pub fn set_cache_faults(&self, lag: Duration, gap_every: u64) {
        self.core.set_cache_faults(lag, gap_every);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
