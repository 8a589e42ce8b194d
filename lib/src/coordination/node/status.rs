//! A snapshot of the core for operators.

use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use crate::state::CustomerUsage;
use crate::state::EngineLoad;
use crate::state::EngineName;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::Moment;
use crate::state::Now;
use crate::state::TargetState;
use crate::state::ZoneName;

/// What one entry host knows, at one moment.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeStatus {
    /// The entry host.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// How long it has run.
    pub uptime: Duration,
    /// Whether the balancer may send more requests.
    pub ready: bool,
    /// Whether it is in a planned stop.
    pub stopping: bool,
    /// The configuration.
    pub config: ConfigStatus,
    /// The version of the live list in use; zero is none.
    pub list: u64,
    /// The completions and calls without a final answer.
    pub open: usize,
    /// The peers.
    pub peers: Vec<PeerStatus>,
    /// The engines and services.
    pub targets: Vec<TargetStatus>,
    /// The shards of idempotency keys that this host leads.
    pub shards: Vec<u16>,
    /// What customers use at this host.
    pub usage: Vec<CustomerUsage>,
}

/// The configuration of one entry host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigStatus {
    /// The version in force; zero is none.
    pub version: u64,
    /// The hash of its text.
    pub hash: u64,
    /// How long it has been in force.
    pub age: Duration,
    /// The newest version that was refused.
    pub refused: Option<RefusedStatus>,
}

/// A configuration that was refused.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusedStatus {
    /// Its version.
    pub version: u64,
    /// Why, one line each with file, line and column.
    pub errors: Vec<String>,
}

/// A peer as one entry host sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerStatus {
    /// The peer.
    pub host: HostName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its incarnation, once it was heard.
    pub incarnation: Option<Incarnation>,
    /// Whether it is alive in this host's eyes.
    pub alive: bool,
    /// Whether it is stopping.
    pub stopping: bool,
    /// For how long that has been so.
    pub since: Duration,
    /// The version of its configuration.
    pub config: u64,
    /// The shards that it leads.
    pub shards: Vec<u16>,
}

/// An engine or a process of a service as one entry host sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// The engine's name, or the service's.
    pub name: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Its address.
    pub addr: SocketAddr,
    /// What the published list says.
    pub listed: TargetState,
    /// Whether this host gives it new work.
    pub takes_work: bool,
    /// For how long that has been so, if it was ever otherwise.
    pub since: Option<Duration>,
    /// Who dispatches to it, if it is an engine.
    pub dispatcher: Option<HostName>,
    /// Its load, if this host dispatches to it.
    pub load: Option<EngineLoad>,
}

impl NodeStatus {
    /// Returns the status of a host that has not started to decide.
    pub fn starting(host: HostName, zone: ZoneName, incarnation: Incarnation) -> NodeStatus {
        NodeStatus {
            host,
            zone,
            incarnation,
            uptime: Duration::ZERO,
            ready: false,
            stopping: false,
            config: ConfigStatus::default(),
            list: 0,
            open: 0,
            peers: Vec::new(),
            targets: Vec::new(),
            shards: Vec::new(),
            usage: Vec::new(),
        }
    }
}

impl Node {
    /// Returns a snapshot for operators.
    pub fn status(&mut self, now: Now) -> NodeStatus {
        NodeStatus {
            host: self.host.clone(),
            zone: self.zone.clone(),
            incarnation: self.incarnation,
            uptime: now.mono.since(Moment::default()),
            ready: self.refusal_if_unavailable().is_none(),
            stopping: self.control.is_stopping(),
            config: self.config_status(now.mono),
            list: self.list.version,
            open: self.running.len() + self.calls.len(),
            peers: self.peer_status(now.mono),
            targets: self.target_status(now.mono),
            shards: self.homes.held_shards(now),
            usage: self.limits.usage(now.mono),
        }
    }

    fn config_status(&self, now: Moment) -> ConfigStatus {
        let refused = self.config.refused().map(|refused| RefusedStatus {
            version: refused.version,
            errors: refused.errors.clone(),
        });
        let since = self.config.accepted().map_or(now, |accepted| accepted.since);
        ConfigStatus {
            version: self.config.version(),
            hash: self.config.hash(),
            age: now.since(since),
            refused,
        }
    }

    fn peer_status(&self, now: Moment) -> Vec<PeerStatus> {
        let peers = self.members.peers().map(|(host, peer)| PeerStatus {
            host: host.clone(),
            zone: peer.zone.clone(),
            incarnation: peer.incarnation,
            alive: peer.alive,
            stopping: peer.stopping,
            since: now.since(peer.since),
            config: peer.config,
            shards: peer.shards.clone(),
        });
        peers.collect()
    }

    fn target_status(&self, now: Moment) -> Vec<TargetStatus> {
        let engines = self.list.engines.iter().map(|engine| TargetStatus {
            name: engine.name.to_string(),
            zone: engine.zone.clone(),
            addr: engine.addr,
            listed: engine.state,
            takes_work: self.takes_work(engine.addr),
            since: self.target_since(now, engine.addr),
            dispatcher: self.members.dispatcher_of(&engine.name, &engine.zone),
            load: self.engine_load(&engine.name),
        });
        let services = self.list.services.iter().map(|host| TargetStatus {
            name: host.service.to_string(),
            zone: host.zone.clone(),
            addr: host.addr,
            listed: host.state,
            takes_work: self.takes_work(host.addr),
            since: self.target_since(now, host.addr),
            dispatcher: None,
            load: None,
        });
        engines.chain(services).collect()
    }

    fn target_since(&self, now: Moment, addr: SocketAddr) -> Option<Duration> {
        let since = self.targets.health_since(&addr.to_string())?;
        Some(now.since(since))
    }

    fn engine_load(&self, engine: &EngineName) -> Option<EngineLoad> {
        self.dispatch.engines.get(engine).map(|dispatched| dispatched.queue.load())
    }
}
