//! Processes of services that said that they are leaving.
//!
//! An engine repeats that in each poll. A service says it only in answers to calls, of which it gets
//! none any more, so this host keeps its word standing until the published list can be expected to
//! show it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use crate::state::Moment;
use crate::state::TargetState;

/// How long a service's word that it is leaving stands; then a call may find out anew.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// When each process of a service said last that it is leaving.
#[derive(Debug, Default)]
pub(super) struct LeavingServices {
    seen: BTreeMap<SocketAddr, Moment>,
}

impl Node {
    /// Notes whether a process of a service said, with its answer, that it is leaving.
    pub(super) fn record_leaving(&mut self, now: Moment, addr: SocketAddr, leaving: bool) {
        if leaving {
            self.leaving.seen.insert(addr, now);
            self.observe_target(now, addr, Some(TargetState::Leaving));
        }
    }

    /// Renews the sightings of processes that are leaving.
    pub(super) fn refresh_leaving(&mut self, now: Moment) {
        let services = &self.list.services;
        self.leaving.seen.retain(|addr, at| {
            let listed = services.iter().any(|host| host.addr == *addr);
            listed && now.since(*at) < LEAVING_TTL
        });
        for addr in self.leaving.seen.keys() {
            self.targets.observe(now, &addr.to_string(), Some(TargetState::Leaving));
        }
    }
}
