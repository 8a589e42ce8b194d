//! Wire format of the live list, which a host pulls from a peer while the platform does not answer.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::coordination::ListPull;
use crate::state::Engine;
use crate::state::EngineName;
use crate::state::EntryHost;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::ServiceHost;
use crate::state::ServiceName;
use crate::state::ZoneName;

use super::WireError;
use super::heartbeat::WireTargetState;
use super::limits::BoundedList;
use super::limits::MAX_ENTRIES;
use super::limits::check_name;
use super::limits::convert_list;

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireListPull {
    have: u64,
}

impl From<&ListPull> for WireListPull {
    fn from(pull: &ListPull) -> Self {
        WireListPull { have: pull.have }
    }
}

impl From<WireListPull> for ListPull {
    fn from(wire: WireListPull) -> Self {
        ListPull { have: wire.have }
    }
}

#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct WireLiveList<'a> {
    version: u64,
    #[serde(borrow)]
    entry_hosts: BoundedList<WireEntryHost<'a>, MAX_ENTRIES>,
    #[serde(borrow)]
    engines: BoundedList<WireEngine<'a>, MAX_ENTRIES>,
    #[serde(borrow)]
    services: BoundedList<WireServiceHost<'a>, MAX_ENTRIES>,
}

impl<'a> From<&'a LiveList> for WireLiveList<'a> {
    fn from(list: &'a LiveList) -> Self {
        WireLiveList {
            version: list.version,
            entry_hosts: list.entry_hosts.iter().map(WireEntryHost::from).collect(),
            engines: list.engines.iter().map(WireEngine::from).collect(),
            services: list.services.iter().map(WireServiceHost::from).collect(),
        }
    }
}

impl TryFrom<WireLiveList<'_>> for LiveList {
    type Error = WireError;

    fn try_from(wire: WireLiveList<'_>) -> Result<Self, WireError> {
        Ok(LiveList {
            version: wire.version,
            entry_hosts: convert_list(wire.entry_hosts)?,
            engines: convert_list(wire.engines)?,
            services: convert_list(wire.services)?,
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireEntryHost<'a> {
    name: &'a str,
    zone: &'a str,
    peer_addr: SocketAddr,
}

impl<'a> From<&'a EntryHost> for WireEntryHost<'a> {
    fn from(host: &'a EntryHost) -> Self {
        WireEntryHost {
            name: host.name.as_str(),
            zone: host.zone.as_str(),
            peer_addr: host.peer_addr,
        }
    }
}

impl TryFrom<WireEntryHost<'_>> for EntryHost {
    type Error = WireError;

    fn try_from(wire: WireEntryHost<'_>) -> Result<Self, WireError> {
        Ok(EntryHost {
            name: HostName::new(check_name(wire.name)?),
            zone: ZoneName::new(check_name(wire.zone)?),
            peer_addr: wire.peer_addr,
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireEngine<'a> {
    name: &'a str,
    zone: &'a str,
    addr: SocketAddr,
    memory: u32,
    fenced: bool,
    state: WireTargetState,
}

impl<'a> From<&'a Engine> for WireEngine<'a> {
    fn from(engine: &'a Engine) -> Self {
        WireEngine {
            name: engine.name.as_str(),
            zone: engine.zone.as_str(),
            addr: engine.addr,
            memory: engine.memory,
            fenced: engine.fenced,
            state: engine.state.into(),
        }
    }
}

impl TryFrom<WireEngine<'_>> for Engine {
    type Error = WireError;

    fn try_from(wire: WireEngine<'_>) -> Result<Self, WireError> {
        Ok(Engine {
            name: EngineName::new(check_name(wire.name)?),
            zone: ZoneName::new(check_name(wire.zone)?),
            addr: wire.addr,
            memory: wire.memory,
            fenced: wire.fenced,
            state: wire.state.into(),
        })
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct WireServiceHost<'a> {
    service: &'a str,
    zone: &'a str,
    addr: SocketAddr,
    state: WireTargetState,
}

impl<'a> From<&'a ServiceHost> for WireServiceHost<'a> {
    fn from(host: &'a ServiceHost) -> Self {
        WireServiceHost {
            service: host.service.as_str(),
            zone: host.zone.as_str(),
            addr: host.addr,
            state: host.state.into(),
        }
    }
}

impl TryFrom<WireServiceHost<'_>> for ServiceHost {
    type Error = WireError;

    fn try_from(wire: WireServiceHost<'_>) -> Result<Self, WireError> {
        Ok(ServiceHost {
            service: ServiceName::new(check_name(wire.service)?),
            zone: ZoneName::new(check_name(wire.zone)?),
            addr: wire.addr,
            state: wire.state.into(),
        })
    }
}
