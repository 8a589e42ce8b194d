//! Snapshot of the core for operators.

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

/// The state of one entry host at one point in time.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeStatus {
    pub host: HostName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    /// Time since the process started.
    pub uptime: Duration,
    /// Whether the balancer may send requests to this host.
    pub ready: bool,
    /// Whether a planned stop is in progress.
    pub stopping: bool,
    pub config: ConfigStatus,
    /// Version of the live list in use; zero if there is none.
    pub list: u64,
    /// Number of completions and calls without a final answer.
    pub open: usize,
    pub peers: Vec<PeerStatus>,
    /// Engines and service processes.
    pub targets: Vec<TargetStatus>,
    /// Shards of idempotency keys for which this host holds the lease.
    pub shards: Vec<u16>,
    /// Usage of each customer at this host.
    pub usage: Vec<CustomerUsage>,
}

/// Configuration of one entry host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ConfigStatus {
    /// Version in force; zero if there is none.
    pub version: u64,
    /// Hash of the configuration's text.
    pub hash: u64,
    /// Time that the version has been in force.
    pub age: Duration,
    /// Newest version that was refused.
    pub refused: Option<RefusedStatus>,
}

/// A refused configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct RefusedStatus {
    pub version: u64,
    /// The errors, one per line with file, line and column.
    pub errors: Vec<String>,
}

/// A peer as seen by one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerStatus {
    pub host: HostName,
    pub zone: ZoneName,
    /// Incarnation, once a heartbeat of the peer has arrived.
    pub incarnation: Option<Incarnation>,
    /// Whether this host considers the peer alive.
    pub alive: bool,
    /// Whether a planned stop of the peer is in progress.
    pub stopping: bool,
    /// Time since the peer's state last changed.
    pub since: Duration,
    /// Version of the peer's configuration.
    pub config: u64,
    /// Shards of idempotency keys for which the peer holds the lease.
    pub shards: Vec<u16>,
}

/// An engine or service process as seen by one entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct TargetStatus {
    /// Name of the engine or service.
    pub name: String,
    pub zone: ZoneName,
    pub addr: SocketAddr,
    /// State in the live list.
    pub listed: TargetState,
    /// Whether this host gives the target new work.
    pub takes_work: bool,
    /// Time since the target's health last changed, if it ever did.
    pub since: Option<Duration>,
    /// Dispatcher of the target, if it is an engine.
    pub dispatcher: Option<HostName>,
    /// Load of the engine, if this host is its dispatcher.
    pub load: Option<EngineLoad>,
}

impl NodeStatus {
    /// Returns the status of a host that has not started its core.
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
