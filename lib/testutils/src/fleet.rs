//! A complete fleet on one machine: stand-ins in process, and entry hosts as child processes.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde_json::Value;
use serde_json::json;
use tokio::time::Instant;

use crate::engine::Engine;
use crate::engine::EngineConfig;
use crate::exports::Exports;
use crate::live::HostState;
use crate::live::LiveEngine;
use crate::live::LiveEntryHost;
use crate::live::LiveService;
use crate::operators::operator_addr;
use crate::platform::Platform;
use crate::platform::PlatformView;
use crate::ports::free_port;
use crate::process::Process;
use crate::process::ProcessError;
use crate::process::Signal;
use crate::process::caller_addr;
use crate::records::RunRecord;
use crate::relay::Relay;
use crate::service::Service;
use crate::service::ServiceRuns;
use crate::weight_store::WeightStore;

/// Timeout for an entry host to become healthy.
const HEALTHY_WITHIN: Duration = Duration::from_secs(30);

/// Polling interval for the engines' memory in use.
const LOOK: Duration = Duration::from_millis(20);

/// Rate limit of the weight store, in loads per minute; also set in each entry host's settings.
const WEIGHT_RATE: u32 = 60;

/// Configuration of a fleet.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The entry host binary; without it, entry hosts are listed but not started.
    pub binary: Option<PathBuf>,
    /// The availability zones, assigned to hosts and targets round-robin.
    pub zones: Vec<String>,
    /// The number of entry hosts.
    pub entry_hosts: usize,
    /// The number of engines.
    pub engines: usize,
    /// Configuration of each engine; the run record, the exported segments and the weight store
    /// are replaced by those that all engines of the fleet share.
    pub engine: EngineConfig,
    /// The plain service's name.
    pub service: String,
    /// The number of hosts of the plain service.
    pub services: usize,
    /// The rules to publish at startup; if empty, none are published.
    pub rules: String,
    /// Fields to add to each entry host's settings, or to replace there.
    pub settings: Value,
    /// Whether each entry host reaches each other one through a relay.
    pub links: bool,
}

impl Default for FleetConfig {
    fn default() -> Self {
        FleetConfig {
            binary: None,
            zones: ["a", "b", "c"].map(str::to_owned).to_vec(),
            entry_hosts: 5,
            engines: 16,
            engine: EngineConfig::default(),
            service: "enrolment".to_owned(),
            services: 3,
            rules: String::new(),
            settings: json!({}),
            links: false,
        }
    }
}

/// An engine of a fleet.
#[derive(Debug)]
pub struct FleetEngine {
    /// Its published name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The engine.
    pub engine: Engine,
}

/// A host of a fleet's plain service.
#[derive(Debug)]
pub struct FleetService {
    /// Its availability zone.
    pub zone: String,
    /// The service.
    pub service: Service,
}

/// An entry host of a fleet.
#[derive(Debug)]
pub struct FleetHost {
    /// Its published name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Its settings.
    pub settings: Value,
    /// Its view of the platform.
    pub view: PlatformView,
    /// The process, until it is killed with `kill_host`; it may have exited before.
    pub process: Option<Process>,
    /// Its links to the other entry hosts, by index; `None` at its own index, and everywhere if the
    /// fleet uses no relays.
    links: Vec<Option<Relay>>,
}

impl FleetHost {
    /// Returns the caller address, whether or not the process runs.
    pub fn callers(&self) -> io::Result<SocketAddr> {
        caller_addr(&self.settings)
    }

    /// Returns the operator address, whether or not the process runs.
    pub fn operators(&self) -> io::Result<SocketAddr> {
        operator_addr(&self.settings)
    }
}

/// A running fleet, stopped on drop.
#[derive(Debug)]
pub struct Fleet {
    /// The entry hosts.
    pub hosts: Vec<FleetHost>,
    /// The engines.
    pub engines: Vec<FleetEngine>,
    /// The hosts of the plain service.
    pub services: Vec<FleetService>,
    /// The configuration service and the list of live hosts.
    pub platform: Platform,
    /// The weight store.
    pub weights: WeightStore,
    /// How many attempts of each request the engines accepted.
    pub engine_runs: RunRecord,
    /// How often each call ran on the plain service, by idempotency key and by request.
    pub service_runs: ServiceRuns,
    binary: Option<PathBuf>,
}

impl Fleet {
    /// Starts the stand-ins and the entry hosts, and waits until the entry hosts are
    /// healthy.
    pub async fn start(config: FleetConfig) -> Result<Fleet, ProcessError> {
        let platform = Platform::start().await?;
        let weights = WeightStore::start(WEIGHT_RATE, Duration::ZERO).await?;
        let mut fleet = Fleet {
            hosts: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform,
            weights,
            engine_runs: RunRecord::default(),
            service_runs: ServiceRuns::default(),
            binary: config.binary.clone(),
        };
        fleet.start_engines(&config).await?;
        fleet.start_services(&config).await?;
        if !config.rules.is_empty() {
            fleet.platform.publish(config.rules.clone());
        }
        fleet.start_hosts(&config).await?;
        Ok(fleet)
    }

    /// Returns the caller addresses of the entry hosts that have a process, even if it has exited.
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.hosts.iter().filter_map(|host| host.process.as_ref()).map(Process::callers).collect()
    }

    /// Kills an entry host.
    pub fn kill_host(&mut self, index: usize) {
        self.hosts[index].process = None;
    }

    /// Starts an entry host whose process was killed or has exited, with its current settings, and
    /// waits until it is healthy; does nothing without a binary.
    pub async fn start_host(&mut self, index: usize) -> Result<(), ProcessError> {
        let Some(binary) = &self.binary else { return Ok(()) };
        let host = &mut self.hosts[index];
        let process = Process::spawn(binary, &host.settings)?;
        process.wait_healthy(HEALTHY_WITHIN).await?;
        host.process = Some(process);
        Ok(())
    }

    /// Sends an entry host a signal; does nothing if it has no process.
    pub fn signal_host(&self, index: usize, signal: Signal) -> io::Result<()> {
        self.hosts[index].process.as_ref().map_or(Ok(()), |process| process.signal(signal))
    }

    /// Cuts the relay through which entry host `from` connects to `to`, in both directions; the
    /// relay from `to` to `from` stays open. Does nothing if the fleet uses no relays.
    pub fn cut_link(&self, from: usize, to: usize) {
        if let Some(relay) = &self.hosts[from].links[to] {
            relay.cut();
        }
    }

    /// Cuts all links between entry hosts of different groups, in both directions; the hosts in
    /// none of `groups` form one more group.
    pub fn partition(&self, groups: &[&[usize]]) {
        let group = |host| groups.iter().position(|group| group.contains(&host));
        let count = self.hosts.len();
        for from in 0..count {
            for to in 0..count {
                if group(from) != group(to) {
                    self.cut_link(from, to);
                }
            }
        }
    }

    /// Restores all links between entry hosts.
    pub fn heal_links(&self) {
        let links = self.hosts.iter().flat_map(|host| &host.links).flatten();
        links.for_each(Relay::heal);
    }

    /// Publishes the state of the target at `addr`; the target itself does not act on it.
    pub fn publish_state(&self, addr: SocketAddr, state: HostState) {
        self.platform.edit_live(|hosts| {
            let engines = hosts.engines.iter_mut().map(|engine| (engine.addr, &mut engine.state));
            let services = hosts.services.iter_mut().map(|host| (host.addr, &mut host.state));
            for (_, shown) in engines.chain(services).filter(|(at, _)| *at == addr) {
                *shown = state;
            }
        });
    }

    /// Returns the total memory in use on all engines, in tokens.
    pub fn held(&self) -> u32 {
        self.engines.iter().map(|engine| engine.engine.load().held).sum()
    }

    /// Waits until no engine has memory in use; returns the time taken, or `None` on timeout.
    pub async fn wait_idle(&self, limit: Duration) -> Option<Duration> {
        let start = Instant::now();
        while self.held() > 0 {
            if start.elapsed() >= limit {
                return None;
            }
            tokio::time::sleep(LOOK).await;
        }
        Some(start.elapsed())
    }

    async fn start_engines(&mut self, config: &FleetConfig) -> io::Result<()> {
        let exports = Exports::default();
        for index in 0..config.engines {
            let setup = EngineConfig {
                runs: self.engine_runs.clone(),
                exports: exports.clone(),
                weight_store: Some(self.weights.addr()),
                ..config.engine.clone()
            };
            let (memory, fenced) = (setup.model.memory, setup.fenced);
            let engine = Engine::start(setup).await?;
            let (name, zone) = (format!("engine-{}", index + 1), zone(config, index));
            let addr = engine.addr();
            let state = HostState::Live;
            let live =
                LiveEngine { name: name.clone(), zone: zone.clone(), addr, memory, fenced, state };
            self.platform.edit_live(|hosts| hosts.engines.push(live));
            self.engines.push(FleetEngine { name, zone, engine });
        }
        Ok(())
    }

    async fn start_services(&mut self, config: &FleetConfig) -> io::Result<()> {
        for index in 0..config.services {
            let service = Service::start(self.service_runs.clone()).await?;
            let zone = zone(config, index);
            let live = LiveService {
                service: config.service.clone(),
                zone: zone.clone(),
                addr: service.addr(),
                state: HostState::Live,
            };
            self.platform.edit_live(|hosts| hosts.services.push(live));
            self.services.push(FleetService { zone, service });
        }
        Ok(())
    }

    async fn start_hosts(&mut self, config: &FleetConfig) -> Result<(), ProcessError> {
        let live: Vec<LiveEntryHost> = (0..config.entry_hosts)
            .map(|index| LiveEntryHost {
                name: format!("entry-{}", index + 1),
                zone: zone(config, index),
                peer_addr: SocketAddr::from((Ipv4Addr::LOCALHOST, free_port())),
            })
            .collect();
        self.platform.edit_live(|hosts| hosts.entry_hosts.clone_from(&live));
        for (index, own) in live.iter().enumerate() {
            let links = open_links(config, index, &live).await?;
            let routes = live.iter().zip(&links).filter_map(|(host, relay)| {
                relay.as_ref().map(|relay| (host.name.clone(), relay.addr()))
            });
            let view = self.platform.view(routes.collect()).await?;
            let settings = host_settings(config, own, view.addr());
            let (name, zone) = (own.name.clone(), own.zone.clone());
            self.hosts.push(FleetHost { name, zone, settings, view, process: None, links });
        }
        let Some(binary) = &config.binary else { return Ok(()) };
        // Start all processes before waiting for any, since they need each other.
        for host in &mut self.hosts {
            host.process = Some(Process::spawn(binary, &host.settings)?);
        }
        for process in self.hosts.iter().filter_map(|host| host.process.as_ref()) {
            process.wait_healthy(HEALTHY_WITHIN).await?;
        }
        Ok(())
    }
}

fn zone(config: &FleetConfig, index: usize) -> String {
    config.zones[index % config.zones.len()].clone()
}

/// Starts relays from one entry host to each other one, if the fleet uses relays.
async fn open_links(
    config: &FleetConfig,
    own: usize,
    live: &[LiveEntryHost],
) -> io::Result<Vec<Option<Relay>>> {
    let mut links = Vec::with_capacity(live.len());
    for (index, host) in live.iter().enumerate() {
        let relay = match config.links && index != own {
            true => Some(Relay::start(host.peer_addr).await?),
            false => None,
        };
        links.push(relay);
    }
    Ok(links)
}

fn host_settings(config: &FleetConfig, own: &LiveEntryHost, platform: SocketAddr) -> Value {
    let mut settings = json!({
        "host": own.name,
        "zone": own.zone,
        "ip": own.peer_addr.ip(),
        "caller_port": free_port(),
        "operator_port": free_port(),
        "peer_port": own.peer_addr.port(),
        "platform": platform,
        "peer_key": "0f".repeat(32),
        "weight_loads": WEIGHT_RATE,
    });
    if let (Some(settings), Some(extra)) = (settings.as_object_mut(), config.settings.as_object()) {
        settings.extend(extra.clone());
    }
    settings
}
