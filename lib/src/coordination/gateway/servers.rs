//! The list of live servers, as the platform publishes it.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use crate::state::Moment;
use crate::state::Server;
use crate::state::ServerId;
use crate::state::ServiceName;

/// The number of starts of servers that are remembered after they left the list.
const MAX_DEPARTED: usize = 1_024;

/// A server with the revision of the source at which its entry was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedServer {
    /// The server.
    pub server: Server,
    /// The revision.
    pub revision: u64,
}

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
    /// The starts of servers that left the list, oldest first.
    departed: VecDeque<ServerId>,
}

impl ServerList {
    /// Applies one change; returns whether the list differs now.
    pub fn apply(&mut self, change: ServerChange) -> bool {
        match change {
            ServerChange::Listed(server) => {
                let id = server.id.id().to_owned();
                self.missing.remove(&id);
                self.departed.retain(|departed| *departed != server.id);
                let before = self.servers.insert(id, server.clone());
                if let Some(before) = &before
                    && before.id != server.id
                {
                    self.record_departure(before.id.clone());
                }
                before != Some(server)
            }
            ServerChange::Removed(id) => {
                self.missing.remove(&id);
                let removed = self.servers.remove(&id);
                let is_changed = removed.is_some();
                removed.into_iter().for_each(|server| self.record_departure(server.id));
                is_changed
            }
        }
    }

    fn record_departure(&mut self, id: ServerId) {
        self.departed.push_back(id);
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
    }

    /// Returns the servers of a list that was read, without the entries that are older than what is
    /// known: up to the revision `copied`, an entry may be that of an older copy. It lists no start
    /// that has departed, and no draining start as one that accepts requests.
    ///
    /// ```
    /// use wasabicrank_lib::coordination::{ListedServer, ServerChange, ServerList};
    /// use wasabicrank_lib::state::{Server, ServerId, ServiceName, ZoneName};
    /// let server = Server {
    ///     id: ServerId::new("i-1", 1),
    ///     service: ServiceName::new("app"),
    ///     address: ([10, 9, 0, 1], 80).into(),
    ///     zone: ZoneName::new("zone-a"),
    ///     slots: 6,
    ///     draining: false,
    ///     cold_left: None,
    /// };
    /// let mut list = ServerList::default();
    /// list.apply(ServerChange::Listed(server.clone()));
    /// list.apply(ServerChange::Removed("i-1".to_owned()));
    /// let listed = vec![ListedServer { server, revision: 8 }];
    /// assert!(list.without_copies(listed.clone(), Some(8)).is_empty());
    /// assert_eq!(list.without_copies(listed, Some(7)).len(), 1);
    /// ```
    pub fn without_copies(&self, listed: Vec<ListedServer>, copied: Option<u64>) -> Vec<Server> {
        let current = |entry: ListedServer| {
            let ListedServer { server, revision } = entry;
            if copied.is_none_or(|copied| revision > copied) {
                return Some(server);
            }
            if self.departed.contains(&server.id) {
                return None;
            }
            let known = self.servers.get(server.id.id());
            Some(
                known
                    .filter(|known| known.id == server.id && known.draining)
                    .cloned()
                    .unwrap_or(server),
            )
        };
        listed.into_iter().filter_map(current).collect()
    }

    /// Replaces the whole list. After an outage of the store, servers that are not in it stay for
    /// `grace`, since entries that expired meanwhile are listed again.
    pub fn replace(&mut self, listed: Vec<Server>, grace: Option<Duration>, now: Moment) {
        let mut servers: BTreeMap<String, Server> =
            listed.into_iter().map(|server| (server.id.id().to_owned(), server)).collect();
        self.departed.retain(|id| servers.get(id.id()).is_none_or(|server| server.id != *id));
        self.missing.retain(|id, _| !servers.contains_key(id));
        for (id, server) in std::mem::take(&mut self.servers) {
            if let Some(listed) = servers.get(&id) {
                if listed.id != server.id {
                    self.record_departure(server.id);
                }
                continue;
            }
            let until = match (self.missing.get(&id), grace) {
                (Some(until), _) => *until,
                (None, Some(grace)) => now + grace,
                (None, None) => now,
            };
            if now < until {
                self.missing.insert(id.clone(), until);
                servers.insert(id, server);
            } else {
                self.record_departure(server.id);
            }
        }
        self.servers = servers;
        self.drop_missing(now);
    }

    /// Removes the servers that were not listed again in time; returns their number.
    pub fn drop_missing(&mut self, now: Moment) -> usize {
        let before = self.servers.len();
        let is_over = |until: &Moment| now >= *until;
        let mut dropped = Vec::new();
        self.servers.retain(|id, server| {
            let is_kept = !self.missing.get(id).is_some_and(is_over);
            if !is_kept {
                dropped.push(server.id.clone());
            }
            is_kept
        });
        dropped.into_iter().for_each(|id| self.record_departure(id));
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

    /// Returns all listed servers.
    pub fn iter(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
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
        self.servers.get(id.id()).is_some_and(|server| server.id == *id)
    }

    /// Returns whether this start of the server is listed or was lately.
    pub(crate) fn has_known(&self, id: &ServerId) -> bool {
        self.contains(id) || self.departed.contains(id)
    }

    /// Returns whether the start with this digest is listed.
    pub(crate) fn contains_digest(&self, digest: u32) -> bool {
        self.with_digest(digest).is_some()
    }

    /// Returns the start with this digest.
    pub(crate) fn with_digest(&self, digest: u32) -> Option<&Server> {
        self.servers.values().find(|server| server.id.digest() == digest)
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
