//! The engine stand-in: the engine model on real time, behind its HTTP interface.

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

/// How an engine stand-in is set up.
#[derive(Debug, Clone)]
pub struct EngineConfig {
    /// The speed and size of the model.
    pub model: ModelConfig,
    /// How many times as fast as real time the engine works.
    pub speed: f64,
    /// Whether the engine answers at once, without the model; for measurements of overhead.
    pub instant: bool,
    /// How clients reach it.
    pub entrance: Entrance,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// The models loaded at its start.
    pub models: Vec<LoadedModel>,
    /// Where it loads weights from when it is ordered to; without one a load takes no time.
    pub weight_store: Option<SocketAddr>,
    /// How old its reports of load are.
    pub load_lag: Duration,
    /// How late its cache events come.
    pub cache_lag: Duration,
    /// Each cache event of this number is left out; zero is none.
    pub cache_gap_every: u64,
    /// The runs by request, over all engines that share the record.
    pub runs: RunRecord,
    /// The segments that engines hold for each other.
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

/// What an engine counted since its start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests for answers and segments that it took.
    pub accepted: u64,
    /// Requests that it refused because its memory was full.
    pub memory_full: u64,
    /// Requests that it refused because it was leaving.
    pub turned_away: u64,
    /// The most memory that it held, in tokens.
    pub peak_held: u32,
    /// Answers that grew past its memory; more than none is the caller's fault.
    pub over_memory: u64,
    /// Resumed answers whose earlier text was not this prompt's answer, which are refused.
    pub wrong_resumes: u64,
    /// Attempts that were cancelled.
    pub cancelled: u64,
    /// Streams whose reader went away before their end.
    pub abandoned: u64,
}

/// A running engine stand-in; it ends when it is dropped.
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
        let equip = |rocket| engine_http::equip(rocket, core.clone());
        let server = Server::launch(equip, entrance).await?;
        core.set_addr(server.addr());
        let driver = tokio::spawn(core.clone().drive()).abort_handle();
        Ok(Engine { core, server, driver })
    }

    /// Returns the address of its HTTP interface.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Returns what it counted.
    pub fn counts(&self) -> EngineCounts {
        self.core.counts()
    }

    /// Returns the load at this moment, without lag.
    pub fn load(&self) -> ModelLoad {
        self.core.load()
    }

    /// Returns what each attempt holds.
    pub fn holdings(&self) -> Vec<Holding> {
        self.core.holdings()
    }

    /// Returns the orders that came, stale ones too, oldest first.
    pub fn orders(&self) -> Vec<EngineOrder> {
        self.core.orders()
    }

    /// Returns the models that are loaded.
    pub fn models(&self) -> Vec<LoadedModel> {
        self.core.models()
    }

    /// Ends the process: connections are dropped and refused, and its memory is gone.
    pub fn kill(&self) {
        self.server.refuse();
        self.core.reset();
    }

    /// Starts the process again, empty, on the same address.
    pub async fn revive(&self) -> io::Result<()> {
        self.server.accept().await
    }

    /// Pauses the process: connections are taken, nothing is answered, no work is done.
    pub fn freeze(&self) {
        self.server.set_frozen(true);
        self.core.set_frozen(true);
    }

    /// Lets a paused process go on.
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

    /// Sets the faults of answers from now on, of running ones too.
    pub fn set_stream_faults(&self, faults: StreamFaults) {
        self.core.set_stream_faults(faults);
    }

    /// Changes how many times as fast as real time the engine works.
    pub fn set_speed(&self, speed: f64) {
        self.core.set_speed(speed);
    }

    /// Makes the engine finish what it has and take nothing new, or take work again.
    pub fn set_leaving(&self, leaving: bool) {
        self.core.set_leaving(leaving);
    }

    /// Changes how old reports of load are.
    pub fn set_load_lag(&self, lag: Duration) {
        self.core.set_load_lag(lag);
    }

    /// Changes how late cache events come, and which are left out.
    pub fn set_cache_faults(&self, lag: Duration, gap_every: u64) {
        self.core.set_cache_faults(lag, gap_every);
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
