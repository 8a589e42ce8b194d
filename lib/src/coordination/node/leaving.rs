//! Service processes that have reported that they are leaving.
//!
//! An engine repeats this report in each poll. A service sends it only in answers to calls, and it
//! gets no calls once it leaves, so this host keeps the report until the live list can be expected
//! to show it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::Node;
use crate::state::Moment;
use crate::state::TargetState;

/// How long the report of a leaving service process stays valid. After that it may get a call
/// again, whose answer shows whether it is still leaving.
const LEAVING_TTL: Duration = Duration::from_secs(600);

/// Time of the last report of each leaving process.
#[derive(Debug, Default)]
pub(super) struct LeavingServices {
    seen: BTreeMap<SocketAddr, Moment>,
}

impl Node {
    /// Records the report of a service process, in its answer to a call, that it is leaving.
    pub(super) fn record_leaving(&mut self, now: Moment, addr: SocketAddr, leaving: bool) {
        if leaving {
            self.leaving.seen.insert(addr, now);
            self.observe_target(now, addr, Some(TargetState::Leaving));
        }
    }

    /// Repeats the observations of leaving processes, which would otherwise expire.
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
