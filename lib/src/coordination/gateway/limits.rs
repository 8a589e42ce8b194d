//! The limits that servers name, as the gateway learns of them.

use super::Gateway;
use crate::state::LimitChange;
use crate::state::LimitVersion;
use crate::state::Moment;
use crate::state::RequestRate;
use crate::state::ServerId;

impl Gateway {
    /// Returns the rate of requests that `server` accepts from all hosts; `None` if it names no limit.
    pub fn server_limit(&self, server: &ServerId) -> Option<RequestRate> {
        self.limits.rate(server)
    }

    /// Returns the version of the limit of `server`, to be kept with each request that is sent to it.
    pub fn limit_version(&self, server: &ServerId) -> LimitVersion {
        self.limits.version(server)
    }

    /// Returns the number of servers that name a limit.
    pub fn limited_servers(&self) -> usize {
        self.limits.limited_count()
    }

    /// Records that a response of `server` names `rate`, or no limit; the request was sent with the
    /// version `sent`.
    pub fn record_limit(
        &mut self,
        now: Moment,
        server: &ServerId,
        sent: LimitVersion,
        rate: Option<RequestRate>,
    ) -> Option<LimitChange> {
        if !self.servers.contains(server) {
            return None;
        }
        self.limits.record_response(now, server, sent, rate)
    }
}
