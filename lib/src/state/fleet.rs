//! The machines that the platform publishes: entry hosts, engines and plain services.

use std::net::SocketAddr;

use super::names::EngineName;
use super::names::HostName;
use super::names::ServiceName;
use super::names::ZoneName;

/// Whether a target takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TargetState {
    /// It takes new work.
    Live,
    /// It finishes what it has and gets no new work.
    Leaving,
}

/// An entry host of the system as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntryHost {
    /// Its name.
    pub name: HostName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its peers reach it.
    pub peer_addr: SocketAddr,
}

/// A model engine as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// Its name.
    pub name: EngineName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its HTTP interface listens.
    pub addr: SocketAddr,
    /// Its memory for prompts and answers, in tokens.
    pub memory: u32,
    /// Whether it refuses an order with an old fencing number.
    pub fenced: bool,
    /// Whether it takes new work.
    pub state: TargetState,
}

/// A process of a plain service as published.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceHost {
    /// The service that it runs.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Where its HTTP interface listens.
    pub addr: SocketAddr,
    /// Whether it takes new work.
    pub state: TargetState,
}

/// The platform's list of live and leaving hosts, which lags.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LiveList {
    /// The platform's number of this list; it only rises.
    pub version: u64,
    /// The entry hosts.
    pub entry_hosts: Vec<EntryHost>,
    /// The model engines.
    pub engines: Vec<Engine>,
    /// The processes of plain services.
    pub services: Vec<ServiceHost>,
}
