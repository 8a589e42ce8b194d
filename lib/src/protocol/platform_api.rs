//! The JSON that the platform publishes: configuration and the list of live hosts.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::state::Engine;
use crate::state::EngineName;
use crate::state::EntryHost;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::ServiceHost;
use crate::state::ServiceName;
use crate::state::TargetState;
use crate::state::ZoneName;

/// The answer of `GET /config`.
#[derive(Debug, Clone, Deserialize)]
pub struct ConfigReply {
    /// The version of the configuration.
    pub version: u64,
    /// The text of the rules.
    pub text: String,
}

/// The answer of `GET /live`.
#[derive(Debug, Clone, Deserialize)]
pub struct LiveReply {
    /// The version of the list.
    pub version: u64,
    /// The entry hosts.
    #[serde(default)]
    pub entry_hosts: Vec<EntryHostJson>,
    /// The engines.
    #[serde(default)]
    pub engines: Vec<EngineJson>,
    /// The processes of plain services.
    #[serde(default)]
    pub services: Vec<ServiceJson>,
}

/// An entry host in the list.
#[derive(Debug, Clone, Deserialize)]
pub struct EntryHostJson {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address for its peers.
    pub peer_addr: SocketAddr,
}

/// An engine in the list.
#[derive(Debug, Clone, Deserialize)]
pub struct EngineJson {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// The address of its HTTP interface.
    pub addr: SocketAddr,
    /// Its memory capacity, in tokens.
    pub memory: u32,
    /// Whether it checks fencing numbers.
    #[serde(default)]
    pub fenced: bool,
    /// `live` or `leaving`.
    pub state: StateJson,
}

/// A process of a service in the list.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceJson {
    /// The service.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// The address of its HTTP interface.
    pub addr: SocketAddr,
    /// `live` or `leaving`.
    pub state: StateJson,
}

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StateJson {
    /// It accepts new work.
    Live,
    /// It is draining and accepts no new work.
    Leaving,
}

impl From<StateJson> for TargetState {
    fn from(state: StateJson) -> TargetState {
        match state {
            StateJson::Live => TargetState::Live,
            StateJson::Leaving => TargetState::Leaving,
        }
    }
}

impl From<EntryHostJson> for EntryHost {
    fn from(json: EntryHostJson) -> EntryHost {
        EntryHost {
            name: HostName::new(json.name),
            zone: ZoneName::new(json.zone),
            peer_addr: json.peer_addr,
        }
    }
}

impl From<EngineJson> for Engine {
    fn from(json: EngineJson) -> Engine {
        Engine {
            name: EngineName::new(json.name),
            zone: ZoneName::new(json.zone),
            addr: json.addr,
            memory: json.memory,
            fenced: json.fenced,
            state: json.state.into(),
        }
    }
}

impl From<ServiceJson> for ServiceHost {
    fn from(json: ServiceJson) -> ServiceHost {
        ServiceHost {
            service: ServiceName::new(json.service),
            zone: ZoneName::new(json.zone),
            addr: json.addr,
            state: json.state.into(),
        }
    }
}

impl From<LiveReply> for LiveList {
    fn from(reply: LiveReply) -> LiveList {
        LiveList {
            version: reply.version,
            entry_hosts: reply.entry_hosts.into_iter().map(EntryHost::from).collect(),
            engines: reply.engines.into_iter().map(Engine::from).collect(),
            services: reply.services.into_iter().map(ServiceHost::from).collect(),
        }
    }
}
