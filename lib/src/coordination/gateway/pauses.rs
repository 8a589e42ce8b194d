//! What pauses of servers mean for requests: where they may go, and when refused callers return.

use std::time::Duration;

use rand::Rng;

use super::Dispatch;
use super::Gateway;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use crate::state::ChoiceOutcome;
use crate::state::EngineProfile;
use crate::state::GroupCandidate;
use crate::state::GroupQuery;
use crate::state::Moment;
use crate::state::Server;
use crate::state::ServerId;
use crate::state::ServerLoad;
use crate::state::ServiceName;
use crate::state::choose_group;

/// The maximum random time that a pause is extended by, as a fraction of it and in all, so that hosts
/// that were turned away together do not return together.
const END_JITTER_FRACTION: f64 = 0.1;
const MAX_END_JITTER: Duration = Duration::from_millis(200);
/// The maximum random time between the end of a pause and the return of a caller.
const RETURN_SPREAD: Duration = Duration::from_millis(400);
/// The retry delay for callers whose time ends before the first pause does: only another host may
/// still help them.
const OTHER_HOST_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The minimum time that a caller must have left after the end of a pause to wait for it.
const MIN_TIME_AFTER_PAUSE: Duration = Duration::from_millis(50);

impl Gateway {
    /// Records that `server` asked for a pause of `length`.
    pub fn record_pause(&mut self, now: Moment, server: &ServerId, length: Duration) {
        let jitter = length.mul_f64(END_JITTER_FRACTION).min(MAX_END_JITTER);
        let jitter = jitter.mul_f64(self.random.random_range(0.0..1.0));
        self.pauses.record(server, now, length.saturating_add(jitter));
    }

    /// Returns whether `server` must get nothing now.
    pub fn is_paused(&self, now: Moment, server: &ServerId) -> bool {
        self.pauses.is_paused(server, now)
    }

    /// Returns whether a server of `dispatch` asked for a pause after it was chosen.
    pub fn is_dispatch_paused(&self, now: Moment, dispatch: &Dispatch) -> bool {
        dispatch.servers().any(|server| self.is_paused(now, &server.id))
    }

    /// Returns whether a server of `service` is paused, or was until recently.
    pub(crate) fn has_withheld_slots(&self, now: Moment, service: &ServiceName) -> bool {
        let servers = self.usable_servers(service);
        servers.iter().any(|server| self.withheld_slots(now, server, server.slots) > 0)
    }

    /// Returns how many of its slots `server` keeps free during a pause and shortly after it.
    pub(crate) fn withheld_slots(&self, now: Moment, server: &Server, slots: u32) -> u32 {
        self.pauses.withheld_slots(&server.id, slots, now)
    }

    /// Returns the refusal for a request that only paused servers could serve.
    pub(crate) fn pause_refusal(
        &mut self,
        now: Moment,
        request: &GatewayRequest,
    ) -> GatewayRefusal {
        let servers = self.usable_servers(&request.service);
        let first_end = servers.iter().filter_map(|server| self.pauses.left(&server.id, now)).min();
        let caller_left = request.deadline.max(request.abandon_at).since(now);
        let spread = RETURN_SPREAD.mul_f64(self.random.random_range(0.0..1.0));
        let retry_after = first_end
            .filter(|end| *end + MIN_TIME_AFTER_PAUSE < caller_left)
            .map_or(OTHER_HOST_RETRY_AFTER, |end| end + spread.min((caller_left - end) / 2));
        GatewayRefusal::retry_after(RefusalReason::ServersPaused, retry_after)
    }

    /// Returns the refusal for a request that fits only together with engines that are paused or limited.
    pub(crate) fn withheld_refusal(
        &mut self,
        now: Moment,
        request: &GatewayRequest,
    ) -> GatewayRefusal {
        let engines = self.usable_servers(&request.service);
        if engines.iter().any(|engine| self.is_paused(now, &engine.id)) {
            return self.pause_refusal(now, request);
        }
        self.limited_group_refusal(now, request)
    }

    /// Returns whether all servers of `service` are paused.
    pub(crate) fn are_all_paused(&self, now: Moment, service: &ServiceName) -> bool {
        let servers = self.usable_servers(service);
        !servers.is_empty() && servers.iter().all(|server| self.is_paused(now, &server.id))
    }

    /// Returns whether the engines that are paused or limited, together with the others, could hold a
    /// prompt.
    pub(crate) fn fits_with_withheld(
        &self,
        now: Moment,
        request: &GatewayRequest,
        profile: &EngineProfile,
        query: &GroupQuery,
    ) -> bool {
        let engines = self.usable_servers(&request.service);
        let is_withheld =
            |engine: &&&Server| self.is_paused(now, &engine.id) || self.is_limited(now, engine);
        let has_withheld = engines.iter().any(|engine| is_withheld(&engine));
        let idle = GroupCandidate {
            load: ServerLoad::default(),
            degraded: false,
            zone: 0,
            same_zone: true,
        };
        has_withheld
            && choose_group(profile, query, &vec![idle; engines.len()]) != ChoiceOutcome::TooLarge
    }
}
