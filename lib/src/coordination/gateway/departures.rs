//! The servers that stated in a response to this host that they are leaving.
//!
//! The statement holds for one start of a server and never ends: a server that starts again has
//! another [`ServerId`]. The published list says the same later, at times much later, and may still
//! say the opposite; the stricter of the two counts.

use std::collections::HashMap;

use super::Dispatch;
use super::Gateway;
use super::ServerList;
use crate::state::Server;
use crate::state::ServerId;
use crate::state::ServiceName;

/// The maximum number of marked servers that are not listed. They are kept, since an entry may be
/// listed again after an outage of the store.
const MAX_UNLISTED_DEPARTURES: usize = 1_024;

/// The marked servers, each with the number of its mark.
#[derive(Debug, Default)]
pub(crate) struct Departures {
    marks: HashMap<ServerId, u64>,
    last: u64,
}

impl Departures {
    /// Marks this start of a server; returns whether the mark is new.
    fn mark(&mut self, server: &ServerId, listed: &ServerList) -> bool {
        if self.marks.contains_key(server) {
            return false;
        }
        self.last += 1;
        self.marks.insert(server.clone(), self.last);
        self.drop_oldest_unlisted(listed);
        true
    }

    fn drop_oldest_unlisted(&mut self, listed: &ServerList) {
        if self.marks.len() <= MAX_UNLISTED_DEPARTURES {
            return;
        }
        let unlisted = || self.marks.iter().filter(|(id, _)| !listed.contains(id));
        if unlisted().count() <= MAX_UNLISTED_DEPARTURES {
            return;
        }
        let oldest = unlisted().min_by_key(|(_, number)| **number).map(|(id, _)| id.clone());
        if let Some(oldest) = oldest {
            self.marks.remove(&oldest);
        }
    }

    pub(crate) fn contains(&self, server: &ServerId) -> bool {
        self.marks.contains_key(server)
    }
}

impl Gateway {
    /// Records that a server stated that it is leaving: from now on it gets no request and no share
    /// of one. Returns whether it did so for the first time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::coordination::{Gateway, GatewayBounds};
    /// use wasabicrank_lib::state::{MemoryBounds, RetryBounds, ServerId, ZoneName};
    /// let limit = Duration::from_secs(2);
    /// let budget = RetryBounds { ratio: 0.2, slack: 104.0, window: limit };
    /// let zone = ZoneName::new("z");
    /// let memory = MemoryBounds { unused: limit, release: limit };
    /// let bounds = GatewayBounds {
    ///     zone,
    ///     revoke: limit,
    ///     config: limit,
    ///     drain: limit,
    ///     memory,
    ///     budget,
    ///     evacuate: None,
    ///     hedge_ratio: 0.0,
    ///     fair_customers: false,
    ///     engine_model: false,
    /// };
    /// let mut gateway = Gateway::new(bounds, 1);
    /// let server = ServerId::new("i-1", 1);
    /// assert!(gateway.record_leaving(&server));
    /// assert!(!gateway.record_leaving(&server));
    /// ```
    pub fn record_leaving(&mut self, server: &ServerId) -> bool {
        self.departures.mark(server, &self.servers)
    }

    /// Returns whether a server of `dispatch` stated that it is leaving, so that nothing of it may
    /// be sent any more.
    pub(crate) fn has_leaving_server(&self, dispatch: &Dispatch) -> bool {
        dispatch.servers().any(|server| self.departures.contains(&server.id))
    }

    /// Returns whether `server` stated that it is leaving.
    pub(crate) fn has_left(&self, server: &ServerId) -> bool {
        self.departures.contains(server)
    }

    /// Returns the servers of `service` that may get requests: those of this host's cell, in an order
    /// that all hosts share.
    pub(crate) fn usable_servers(&self, service: &ServiceName) -> Vec<&Server> {
        let mut servers = self.servers.of_service(service);
        self.peers.cells().retain_servers(&mut servers);
        servers.retain(|server| !self.departures.contains(&server.id));
        self.retain_open_zones(&mut servers);
        servers
    }
}
