//! The list of live servers, as the platform publishes it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::time::Duration;

use crate::state::Moment;
use crate::state::Server;
use crate::state::ServerId;
use crate::state::ServiceName;

/// A change of the server list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServerChange {
    /// A server is listed for the first time, or listed differently.
    Listed(Server),
    /// The entry of the server with this published id was removed.
    Removed(String),
}

/// The servers that are listed, by published id.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServerList {
    servers: BTreeMap<String, Server>,
    /// The servers that are missing from the list, with the time until which they stay in use.
    missing: HashMap<String, Moment>,
}

impl ServerList {
    /// Applies one change; returns whether the list differs now.
    pub fn apply(&mut self, change: ServerChange) -> bool {
        match change {
            ServerChange::Listed(server) => {
                let id = server.id.id.to_string();
                self.missing.remove(&id);
                self.servers.insert(id, server.clone()) != Some(server)
            }
            ServerChange::Removed(id) => {
                self.missing.remove(&id);
                self.servers.remove(&id).is_some()
            }
        }
    }

    /// Replaces the whole list. After an outage of the store, servers that are not in it stay for
    /// `grace`, since entries that expired meanwhile are listed again.
    pub fn replace(&mut self, listed: Vec<Server>, grace: Option<Duration>, now: Moment) {
        let mut servers: BTreeMap<String, Server> =
            listed.into_iter().map(|server| (server.id.id.to_string(), server)).collect();
        self.missing.retain(|id, _| !servers.contains_key(id));
        for (id, server) in std::mem::take(&mut self.servers) {
            if servers.contains_key(&id) {
                continue;
            }
            let until = match (self.missing.get(&id), grace) {
                (Some(until), _) => *until,
                (None, Some(grace)) => now + grace,
                (None, None) => continue,
            };
            if now < until {
                self.missing.insert(id.clone(), until);
                servers.insert(id, server);
            }
        }
        self.servers = servers;
        self.drop_missing(now);
    }

    /// Removes the servers that were not listed again in time; returns their number.
    pub fn drop_missing(&mut self, now: Moment) -> usize {
        let before = self.servers.len();
        let is_over = |until: &Moment| now >= *until;
        self.servers.retain(|id, _| !self.missing.get(id).is_some_and(is_over));
        self.missing.retain(|_, until| !is_over(until));
        before - self.servers.len()
    }

    /// Returns whether servers are missing that may still be listed again.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// Returns the servers of `service` that accept requests, in an order that all hosts share.
    pub fn of_service(&self, service: &ServiceName) -> Vec<&Server> {
        let accepts = |server: &&Server| server.service == *service && !server.draining;
        self.servers.values().filter(accepts).collect()
    }

    /// Returns the server of `service` that listens on `address`.
    pub fn at_address(&self, address: &str, service: &ServiceName) -> Option<&ServerId> {
        self.servers
            .values()
            .find(|server| server.service == *service && server.address.to_string() == address)
            .map(|server| &server.id)
    }

    /// Returns whether this start of the server is listed.
    pub fn contains(&self, id: &ServerId) -> bool {
        self.servers.get(&*id.id).is_some_and(|server| server.id == *id)
    }

    /// Returns the number of servers.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}
