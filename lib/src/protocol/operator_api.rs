//! The JSON that an entry host serves to operators.

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::ConfigStatus;
use crate::coordination::NodeStatus;
use crate::coordination::PeerStatus;
use crate::coordination::TargetStatus;
use crate::state::CustomerUsage;
use crate::state::EngineLoad;
use crate::state::TargetState;

use super::why::Explanation;

/// The status of one entry host, with its own view of the fleet; durations are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusJson {
    /// The entry host.
    pub host: String,
    /// Its incarnation, 16 hex digits.
    pub incarnation: String,
    /// Its zone.
    pub zone: String,
    /// The time since its start.
    pub uptime_ms: u64,
    /// Whether the load balancer may send more requests.
    pub ready: bool,
    /// Whether it is in a planned stop.
    pub stopping: bool,
    /// The configuration.
    pub config: ConfigJson,
    /// The version of the live list in use, or zero if there is none.
    pub list_version: u64,
    /// The number of requests without a final answer.
    pub open_requests: u64,
    /// The peers.
    pub peers: Vec<PeerJson>,
    /// The engines and services.
    pub targets: Vec<TargetJson>,
    /// The shards of idempotency keys for which it is the leader.
    pub shards: Vec<u16>,
    /// The usage of each customer at this host.
    pub customers: Vec<CustomerJson>,
    /// Counters since the start, one for each name.
    pub counters: Vec<CounterJson>,
}

/// The configuration of one entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigJson {
    /// The version in force, or zero if there is none.
    pub version: u64,
    /// The hash of its text, 16 hex digits.
    pub hash: String,
    /// How long it has been in force.
    pub age_ms: u64,
    /// The newest version that was refused.
    pub refused: Option<RefusedConfigJson>,
}

/// A configuration that was refused.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RefusedConfigJson {
    /// Its version.
    pub version: u64,
    /// The errors, one line each with file, line and column.
    pub errors: Vec<String>,
}

/// A peer as one entry host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerJson {
    /// The peer.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Its incarnation, once a message from it has arrived.
    pub incarnation: Option<String>,
    /// Its state.
    pub state: PeerStateJson,
    /// How long it has been in that state.
    pub since_ms: u64,
    /// The version of its configuration.
    pub config: u64,
    /// The shards for which it is the leader.
    pub shards: Vec<u16>,
}

/// The state of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStateJson {
    /// Its heartbeats arrive.
    Alive,
    /// Its heartbeats arrive, and it is in a planned stop.
    Stopping,
    /// No heartbeat of it has arrived for too long.
    Suspected,
}

impl PeerStateJson {
    /// Returns the state as in the JSON.
    pub fn as_str(self) -> &'static str {
        match self {
            PeerStateJson::Alive => "alive",
            PeerStateJson::Stopping => "stopping",
            PeerStateJson::Suspected => "suspected",
        }
    }
}

/// An engine or a process of a service as one entry host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TargetJson {
    /// The engine's name, or the service's.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its address.
    pub addr: String,
    /// The state in the published list: `live` or `leaving`.
    pub listed: String,
    /// Whether this host sends it new work.
    pub takes_work: bool,
    /// How long `takes_work` has had its present value, if it ever changed.
    pub since_ms: Option<u64>,
    /// The entry host that dispatches to it, if it is an engine.
    pub dispatcher: Option<String>,
    /// Its load, if this host dispatches to it.
    pub load: Option<LoadJson>,
}

/// The load of an engine as its dispatcher knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadJson {
    /// Prompt tokens of short requests that are queued or in prefill.
    pub short_tokens: u32,
    /// Prompt tokens of long requests that are queued or in prefill.
    pub long_tokens: u32,
    /// Requests that are queued or running.
    pub requests: u32,
    /// Reserved or held memory, in tokens.
    pub held_tokens: u32,
    /// Total memory, in tokens.
    pub memory_tokens: u32,
    /// The observed prefill rate, in tokens per second.
    pub prefill_rate: u32,
    /// Whether the engine responds.
    pub healthy: bool,
}

/// The usage of one customer at one entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerJson {
    /// The customer.
    pub customer: String,
    /// Its demand, in tokens per second.
    pub demand: u32,
    /// Its requests in flight.
    pub in_flight: u32,
}

/// A counter since the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterJson {
    /// The counter's name.
    pub name: String,
    /// The counter's value.
    pub count: u64,
}

/// Why a request waited, moved or was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WhyJson {
    /// Whether any event of the request was found.
    pub found: bool,
    /// How the request ended, or that it is still open.
    pub verdict: String,
    /// What happened, in order.
    pub steps: Vec<String>,
    /// The events that may be missing.
    pub gaps: Vec<String>,
}

impl From<Explanation> for WhyJson {
    fn from(explanation: Explanation) -> Self {
        let Explanation { found, verdict, steps, gaps } = explanation;
        WhyJson { found, verdict, steps, gaps }
    }
}

impl From<&NodeStatus> for StatusJson {
    /// Leaves `counters` empty; the transport layer fills it.
    fn from(status: &NodeStatus) -> Self {
        StatusJson {
            host: status.host.to_string(),
            incarnation: status.incarnation.to_string(),
            zone: status.zone.to_string(),
            uptime_ms: millis(status.uptime),
            ready: status.ready,
            stopping: status.stopping,
            config: (&status.config).into(),
            list_version: status.list,
            open_requests: status.open as u64,
            peers: status.peers.iter().map(PeerJson::from).collect(),
            targets: status.targets.iter().map(TargetJson::from).collect(),
            shards: status.shards.clone(),
            customers: status.usage.iter().map(CustomerJson::from).collect(),
            counters: Vec::new(),
        }
    }
}

impl From<&ConfigStatus> for ConfigJson {
    fn from(config: &ConfigStatus) -> Self {
        let refused = config.refused.as_ref().map(|refused| RefusedConfigJson {
            version: refused.version,
            errors: refused.errors.clone(),
        });
        ConfigJson {
            version: config.version,
            hash: format!("{:016x}", config.hash),
            age_ms: millis(config.age),
            refused,
        }
    }
}

impl From<&PeerStatus> for PeerJson {
    fn from(peer: &PeerStatus) -> Self {
        let state = match (peer.alive, peer.stopping) {
            (false, _) => PeerStateJson::Suspected,
            (true, true) => PeerStateJson::Stopping,
            (true, false) => PeerStateJson::Alive,
        };
        PeerJson {
            host: peer.host.to_string(),
            zone: peer.zone.to_string(),
            incarnation: peer.incarnation.map(|incarnation| incarnation.to_string()),
            state,
            since_ms: millis(peer.since),
            config: peer.config,
            shards: peer.shards.clone(),
        }
    }
}

impl From<&TargetStatus> for TargetJson {
    fn from(target: &TargetStatus) -> Self {
        let listed = match target.listed {
            TargetState::Live => "live",
            TargetState::Leaving => "leaving",
        };
        TargetJson {
            name: target.name.clone(),
            zone: target.zone.to_string(),
            addr: target.addr.to_string(),
            listed: listed.to_owned(),
            takes_work: target.takes_work,
            since_ms: target.since.map(millis),
            dispatcher: target.dispatcher.as_ref().map(|host| host.to_string()),
            load: target.load.as_ref().map(LoadJson::from),
        }
    }
}

impl From<&EngineLoad> for LoadJson {
    fn from(load: &EngineLoad) -> Self {
        LoadJson {
            short_tokens: load.short_tokens,
            long_tokens: load.long_tokens,
            requests: load.requests,
            held_tokens: load.held,
            memory_tokens: load.memory,
            prefill_rate: load.prefill_rate,
            healthy: load.healthy,
        }
    }
}

impl From<&CustomerUsage> for CustomerJson {
    fn from(usage: &CustomerUsage) -> Self {
        CustomerJson {
            customer: usage.customer.to_string(),
            demand: usage.demand,
            in_flight: usage.in_flight,
        }
    }
}

fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
