//! Health checks of servers that were lost: whether they are cold now.
//!
//! Only the arbiter of a server checks it, so that the number of checks does not grow with the hosts.

use std::sync::Arc;
use std::time::Duration;

use super::Gateway;
use crate::state::Moment;
use crate::state::Server;
use crate::state::ServerId;

/// The shortest time between two health checks of one server.
pub const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// A health check that is due.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HealthCheck {
    pub server: Server,
    /// The path of the request.
    pub path: Arc<str>,
}

impl Gateway {
    /// Returns whether it is unknown for a server whether it is cold, so that checks may become due.
    pub fn has_doubtful_servers(&self, now: Moment) -> bool {
        self.doubtful_servers(now).next().is_some()
    }

    /// Returns the health checks that are due at this host, which are then taken as sent.
    pub fn take_health_checks(&mut self, now: Moment) -> Vec<HealthCheck> {
        let is_due = |server: &u32| {
            let last = self.cold.checks.get(server);
            last.is_none_or(|at| now.since(*at) >= HEALTH_CHECK_INTERVAL)
        };
        let is_own =
            |server: &u32| self.arbiter(now, *server).is_some_and(|one| self.peers.is_own(one));
        let due = self.doubtful_servers(now).filter(is_due).filter(is_own);
        let checks: Vec<HealthCheck> =
            due.filter_map(|server| self.health_check(now, server)).collect();
        for check in &checks {
            self.cold.checks.insert(check.server.id.digest(), now);
        }
        checks
    }

    fn doubtful_servers(&self, now: Moment) -> impl Iterator<Item = u32> {
        let doubtful =
            self.known_cold().filter(move |(_, known)| known.is_doubtful && known.is_cold(now));
        doubtful.map(|(server, _)| server)
    }

    fn health_check(&self, now: Moment, server: u32) -> Option<HealthCheck> {
        let server = self.servers.with_digest(server)?;
        let path = self.cold_start(&server.service)?.health_path.clone();
        let is_allowed = !path.is_empty() && self.may_check(now, server);
        is_allowed.then(|| HealthCheck { server: server.clone(), path })
    }

    /// Returns whether a health check may be sent to `server`: evacuated, paused and leaving servers get
    /// nothing.
    pub fn may_check(&self, now: Moment, server: &Server) -> bool {
        !self.is_evacuated(&server.zone)
            && !self.is_paused(now, &server.id)
            && !self.departures.contains(&server.id)
    }

    /// Records that `server` stated, in response to a health check sent at `sent`, that it is cold for
    /// `remaining`; returns whether this says more than is known.
    pub fn record_health(
        &mut self,
        now: Moment,
        sent: Moment,
        server: &ServerId,
        remaining: Duration,
    ) -> bool {
        let Some(listed) = self.servers.with_digest(server.digest()).cloned() else { return false };
        let is_taken = self.cold.table.record_check(now, sent, &listed, remaining);
        if is_taken {
            self.cold.begin_news(now);
        }
        is_taken
    }
}
