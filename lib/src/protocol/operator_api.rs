//! The JSON form of what operators see of one entry host.

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

/// One entry host as it sees itself and the fleet; spans are in milliseconds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StatusJson {
    /// The entry host.
    pub host: String,
    /// Its incarnation, 16 hex digits.
    pub incarnation: String,
    /// Its zone.
    pub zone: String,
    /// How long it has run.
    pub uptime_ms: u64,
    /// Whether the balancer may send more requests.
    pub ready: bool,
    /// Whether it is in a planned stop.
    pub stopping: bool,
    /// The configuration.
    pub config: ConfigJson,
    /// The version of the live list in use; zero is none.
    pub list_version: u64,
    /// The requests without a final answer.
    pub open_requests: u64,
    /// The peers.
    pub peers: Vec<PeerJson>,
    /// The engines and services.
    pub targets: Vec<TargetJson>,
    /// The shards of idempotency keys that it leads.
    pub shards: Vec<u16>,
    /// What customers use at this host.
    pub customers: Vec<CustomerJson>,
    /// Counts since the start, one for each name.
    pub counters: Vec<CounterJson>,
}

/// The configuration of one entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigJson {
    /// The version in force; zero is none.
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
    /// Why, one line each with file, line and column.
    pub errors: Vec<String>,
}

/// A peer as one entry host sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerJson {
    /// The peer.
    pub host: String,
    /// Its zone.
    pub zone: String,
    /// Its incarnation, once it was heard.
    pub incarnation: Option<String>,
    /// Its state.
    pub state: PeerStateJson,
    /// For how long it has been in that state.
    pub since_ms: u64,
    /// The version of its configuration.
    pub config: u64,
    /// The shards that it leads.
    pub shards: Vec<u16>,
}

/// The state of a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PeerStateJson {
    /// It is heard.
    Alive,
    /// It is heard and in a planned stop.
    Stopping,
    /// It is not heard.
    Suspected,
}

impl PeerStateJson {
    /// Returns the word for the state.
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
    /// What the published list says: `live` or `leaving`.
    pub listed: String,
    /// Whether this host gives it new work.
    pub takes_work: bool,
    /// For how long that has been so, if it was ever otherwise.
    pub since_ms: Option<u64>,
    /// Who dispatches to it, if it is an engine.
    pub dispatcher: Option<String>,
    /// Its load, if this host dispatches to it.
    pub load: Option<LoadJson>,
}

/// The load of an engine as its dispatcher knows it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadJson {
    /// Prompt tokens of short requests that wait or are being read.
    pub short_tokens: u32,
    /// Prompt tokens of long requests that wait or are being read.
    pub long_tokens: u32,
    /// Requests that wait or run.
    pub requests: u32,
    /// Memory that is reserved or held, in tokens.
    pub held_tokens: u32,
    /// Memory in all, in tokens.
    pub memory_tokens: u32,
    /// The observed prefill rate, in tokens a second.
    pub prefill_rate: u32,
    /// Whether the engine answers.
    pub healthy: bool,
}

/// What one customer uses at one entry host.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CustomerJson {
    /// The customer.
    pub customer: String,
    /// Its demand in tokens a second.
    pub demand: u32,
    /// Its requests in flight.
    pub in_flight: u32,
}

/// One count since the start.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CounterJson {
    /// What is counted.
    pub name: String,
    /// How often it was.
    pub count: u64,
}

/// Why a request waited, moved or was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WhyJson {
    /// Whether anything is known of the request.
    pub found: bool,
    /// How it ended, or that it has not.
    pub verdict: String,
    /// What happened, in order.
    pub steps: Vec<String>,
    /// What may be missing from the account.
    pub gaps: Vec<String>,
}

impl From<Explanation> for WhyJson {
    fn from(told: Explanation) -> Self {
        let Explanation { found, verdict, steps, gaps } = told;
        WhyJson { found, verdict, steps, gaps }
    }
}

impl From<&NodeStatus> for StatusJson {
    /// Leaves the counters empty; the transport adds its own.
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

fn millis(span: std::time::Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
