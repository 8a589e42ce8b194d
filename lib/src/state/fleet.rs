//! The entry hosts, engines and plain services that the platform publishes.

use std::net::SocketAddr;

use super::names::EngineName;
use super::names::HostName;
use super::names::ServiceName;
use super::names::ZoneName;

/// Whether a target accepts new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetState {
    /// It accepts new work.
    Live,
    /// It finishes its current work and accepts none.
    Leaving,
}

/// A published entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// Its name.
    pub name: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address for connections from its peers.
    pub peer_addr: SocketAddr,
}

/// A published model engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: EngineName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address of its HTTP interface.
    pub addr: SocketAddr,
    /// Its memory for prompts and answers, in tokens.
    pub memory: u32,
    /// Whether it refuses orders with an outdated fencing token.
    pub fenced: bool,
    /// Whether it accepts new work.
    pub state: TargetState,
}

/// A published process of a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceHost {
    /// The service that it runs.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// The address of its HTTP interface.
    pub addr: SocketAddr,
    /// Whether it accepts new work.
    pub state: TargetState,
}

/// The platform's list of live and leaving hosts. It lags behind their actual state.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LiveList {
    /// The version that the platform gave this list; versions only increase.
    pub version: u64,
    /// The entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The processes of plain services.
    pub services: Vec<ServiceHost>,
}
