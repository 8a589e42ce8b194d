//! The platform's list of live and leaving hosts, in its published form.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Whether a host is to receive new work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// It may receive new work.
    #[default]
    Live,
    /// It finishes its current work and must receive no new work.
    Leaving,
}

/// An entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEntryHost {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its peers reach it.
    pub peer_addr: SocketAddr,
}

/// A model engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveEngine {
    /// Its name.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its HTTP interface is reached.
    pub addr: SocketAddr,
    /// Its memory, in tokens.
    pub memory: u32,
    /// Whether it rejects orders with a stale fencing number.
    pub fenced: bool,
    /// Whether it is to receive new work.
    pub state: HostState,
}

/// A process of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveService {
    /// The service that it runs.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Where its HTTP interface is reached.
    pub addr: SocketAddr,
    /// Whether it is to receive new work.
    pub state: HostState,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LiveHosts {
    /// The version of this list, which only increases.
    pub version: u64,
    /// The entry hosts.
    pub entry_hosts: Vec<LiveEntryHost>,
    /// The model engines.
    pub engines: Vec<LiveEngine>,
    /// The processes of plain services.
    pub services: Vec<LiveService>,
}
