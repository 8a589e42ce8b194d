//! Today's fleet in one process: stand-ins for engines, services and platform, and entry hosts.

use std::io;
use std::net::SocketAddr;
use std::net::TcpListener;

use serde_json::json;
use slog::Discard;
use slog::Logger;
use slog::o;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::transport::Daemon;
use wasabicrank_testutils::engine::Engine;
use wasabicrank_testutils::engine::EngineConfig;
use wasabicrank_testutils::engine_model::ModelConfig;
use wasabicrank_testutils::exports::Exports;
use wasabicrank_testutils::live::HostState;
use wasabicrank_testutils::live::LiveEngine;
use wasabicrank_testutils::live::LiveEntryHost;
use wasabicrank_testutils::live::LiveHosts;
use wasabicrank_testutils::live::LiveService;
use wasabicrank_testutils::platform::Platform;
use wasabicrank_testutils::service::Service;
use wasabicrank_testutils::service::ServiceRuns;

/// The engines of today's fleet.
const ENGINES: usize = 16;

/// The processes of the plain service.
const SERVICES: usize = 3;

/// The entry hosts.
const ENTRY_HOSTS: usize = 5;

/// The zones, in which hosts are placed in turn.
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// The memory of one engine, in tokens.
const ENGINE_MEMORY: u32 = 480_000;

/// The prompt tokens that one engine reads a second.
const PREFILL_RATE: u32 = 40_000;

/// The key that the demo's entry hosts share; it guards nothing outside this process.
const DEMO_KEY: &str = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff";

/// The bearer tokens of the demo's customers.
pub(crate) const CUSTOMER_TOKENS: [&str; 3] = ["demo-large", "demo-small-1", "demo-small-2"];

/// Where one entry host of the demo is reached.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostAddrs {
    /// By callers.
    pub(crate) callers: SocketAddr,
    /// By operators.
    pub(crate) operators: SocketAddr,
    peers: SocketAddr,
}

/// A running fleet.
pub(crate) struct DemoFleet {
    /// The engines.
    pub(crate) engines: Vec<Engine>,
    /// What the services ran.
    pub(crate) runs: ServiceRuns,
    /// The entry hosts' addresses.
    pub(crate) hosts: Vec<HostAddrs>,
    daemons: Vec<Daemon>,
    _services: Vec<Service>,
    _platform: Platform,
}

impl DemoFleet {
    /// Starts the stand-ins on the caller's runtime.
    pub(crate) async fn start() -> io::Result<DemoFleet> {
        let platform = Platform::start().await?;
        let exports = Exports::default();
        let mut engines = Vec::new();
        for _ in 0..ENGINES {
            engines.push(Engine::start(engine_config(&exports)).await?);
        }
        let runs = ServiceRuns::default();
        let mut services = Vec::new();
        for _ in 0..SERVICES {
            services.push(Service::start(runs.clone()).await?);
        }
        let hosts = (0..ENTRY_HOSTS).map(|_| free_addrs()).collect::<io::Result<Vec<_>>>()?;
        platform.edit_live(|live| fill_list(live, &engines, &services, &hosts));
        platform.publish(rules());
        let addr = platform.addr();
        let daemons = Vec::new();
        let mut fleet =
            DemoFleet { engines, runs, hosts, daemons, _services: services, _platform: platform };
        for index in 0..ENTRY_HOSTS {
            let settings = host_settings(index, &fleet.hosts[index], addr)?;
            fleet.daemons.push(start_daemon(settings).await?);
        }
        Ok(fleet)
    }

    /// Stops the entry hosts in order, as an operator would.
    pub(crate) fn stop(self) {
        for daemon in &self.daemons {
            daemon.stopper().stop();
        }
        for daemon in self.daemons {
            daemon.wait();
        }
    }
}

fn engine_config(exports: &Exports) -> EngineConfig {
    let model =
        ModelConfig { memory: ENGINE_MEMORY, prefill_rate: PREFILL_RATE, ..ModelConfig::default() };
    EngineConfig { model, exports: exports.clone(), ..EngineConfig::default() }
}

/// Starts an entry host on a thread of its own, since it waits for its servers to listen.
async fn start_daemon(settings: Settings) -> io::Result<Daemon> {
    let log = Logger::root(Discard, o!());
    let started = tokio::task::spawn_blocking(move || Daemon::start(&settings, log)).await;
    let started = started.map_err(io::Error::other)?;
    started.map_err(|report| io::Error::other(report.to_string()))
}

/// Finds ports that are free now.
fn free_addrs() -> io::Result<HostAddrs> {
    let free = || TcpListener::bind("127.0.0.1:0");
    let (callers, operators, peers) = (free()?, free()?, free()?);
    Ok(HostAddrs {
        callers: callers.local_addr()?,
        operators: operators.local_addr()?,
        peers: peers.local_addr()?,
    })
}

fn host_settings(index: usize, addrs: &HostAddrs, platform: SocketAddr) -> io::Result<Settings> {
    let text = json!({
        "host": format!("entry-{}", index + 1),
        "zone": ZONES[index % ZONES.len()],
        "ip": "127.0.0.1",
        "caller_port": addrs.callers.port(),
        "operator_port": addrs.operators.port(),
        "peer_port": addrs.peers.port(),
        "platform": platform.to_string(),
        "peer_key": DEMO_KEY,
    });
    Settings::parse("demo", &text.to_string())
        .map_err(|report| io::Error::other(report.to_string()))
}

fn fill_list(live: &mut LiveHosts, engines: &[Engine], services: &[Service], hosts: &[HostAddrs]) {
    let zone = |index: usize| ZONES[index % ZONES.len()].to_owned();
    live.engines = (0..)
        .zip(engines)
        .map(|(index, engine)| LiveEngine {
            name: format!("engine-{:02}", index + 1),
            zone: zone(index),
            addr: engine.addr(),
            memory: ENGINE_MEMORY,
            fenced: true,
            state: HostState::Live,
        })
        .collect();
    live.services = (0..)
        .zip(services)
        .map(|(index, service)| LiveService {
            service: "booking".to_owned(),
            zone: zone(index),
            addr: service.addr(),
            state: HostState::Live,
        })
        .collect();
    live.entry_hosts = (0..)
        .zip(hosts)
        .map(|(index, host)| LiveEntryHost {
            name: format!("entry-{}", index + 1),
            zone: zone(index),
            peer_addr: host.peers,
        })
        .collect();
}

/// Returns the demo's rules, as an operator would publish them.
fn rules() -> String {
    let mut text = String::from("# The rules of the demo.\n");
    for (index, token) in CUSTOMER_TOKENS.iter().enumerate() {
        let hash = blake3::hash(token.as_bytes()).to_hex();
        let weight = if index == 0 { 4 } else { 1 };
        text.push_str(&format!(
            "customer {token} token blake3:{hash} weight {weight} rate 4000000/s in-flight 2000 \
             # demo\n"
        ));
    }
    text.push_str(
        "model assist revision 1 max-prompt 1200000 max-output 4096 deadline 120s # demo\n\
         service booking path /booking deadline 10s # demo\n\
         repeatable booking GET /shows # demo\n\
         engine engine-* role any models assist # demo\n",
    );
    text
}
