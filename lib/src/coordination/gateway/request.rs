//! A request that the gateway serves: what was judged once, and what became of its sends.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Gateway;
use super::GatewayRefusal;
use super::RefusalReason;
use crate::state::CustomerName;
use crate::state::GapClass;
use crate::state::Moment;
use crate::state::PromptSize;
use crate::state::RequestFacts;
use crate::state::Route;
use crate::state::RouteKind;
use crate::state::ServerId;
use crate::state::ServiceName;

/// When a caller may come back to a host that has no configuration it can judge by.
const BACK_UNCONFIGURED: Duration = Duration::from_millis(500);
/// When a caller may come back, to another host, that met a stopping one.
const BACK_STOPPING: Duration = Duration::from_millis(50);
/// The longest time that a caller waits for the first event of a stream, whatever its objective;
/// callers leave earlier than their deadline.
const LEAST_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// The objectives, and the longest pauses, that a caller waits for the first event.
const OBJECTIVES_WAITED: u32 = 4;
const PAUSES_WAITED: u32 = 8;
/// The time kept for the way of the final answer back to the caller.
const WAY_BACK: Duration = Duration::from_millis(15);
/// The deadline of a request that states none.
const DEFAULT_PATIENCE: Duration = Duration::from_secs(30);

/// A request that is served here.
#[derive(Debug, Clone)]
pub struct GatewayRequest {
    /// The caller's identifier.
    pub id: String,
    /// The route that takes it.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// The customer that asks.
    pub customer: Option<CustomerName>,
    /// Its size, if it goes to engines.
    pub size: Option<PromptSize>,
    /// When its head was read.
    pub arrived: Moment,
    /// When its final answer must be on its way.
    pub deadline: Moment,
    /// When its caller leaves; for streams also without a first event.
    pub abandon_at: Moment,
    /// The rank that the operator gives it; 0 comes first.
    pub priority: u8,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
    /// The servers that it was sent to, with helpers that failed it.
    pub tried: Vec<ServerId>,
    /// How often it was sent to a server.
    pub sends: u32,
    /// How often a server could not be reached, so that nothing was sent.
    pub unsent_attempts: u32,
    /// The sends after which a server may have run it, or may still run it.
    pub unresolved_sends: u32,
    /// Its place in the queue of requests that wait here.
    pub waiting: Option<u64>,
}

impl GatewayRequest {
    /// Returns how sensitive the answer is to pauses.
    pub fn pauses(&self) -> GapClass {
        GapClass::of(self.route.gap)
    }

    /// Returns how long after `now` the answer is still on time.
    pub fn on_time(&self, now: Moment) -> Duration {
        (self.arrived + self.route.objective).since(now)
    }

    /// Returns whether some server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.unresolved_sends > 0
    }

    /// Returns whether the request may be sent again although it may have run.
    pub fn is_repeatable(&self) -> bool {
        self.route.kind.is_repeatable()
    }
}

impl Gateway {
    /// Judges a request by its head.
    pub fn admit(
        &mut self,
        now: Moment,
        facts: &RequestFacts,
    ) -> Result<GatewayRequest, GatewayRefusal> {
        let refuse = |reason| Err(GatewayRefusal::new(reason));
        let back = |reason| Err(GatewayRefusal::retry_after(reason, BACK_UNCONFIGURED));
        let Some(catalog) = self.catalog.clone() else {
            return back(RefusalReason::NoConfiguration);
        };
        if !self.freshness.is_usable(now) {
            return back(RefusalReason::StaleConfiguration);
        }
        let Some(route) = catalog.route(&facts.host, &facts.path) else {
            return refuse(RefusalReason::NoRoute);
        };
        if !self.takes(now, route) {
            let back = GatewayRefusal::retry_after(RefusalReason::Stopping, BACK_STOPPING);
            return Err(back);
        }
        let mut customer = None;
        if catalog.needs_keys() && !route.public {
            customer = facts.key.as_deref().and_then(|key| catalog.customer(key));
            if customer.is_none() {
                return refuse(RefusalReason::UnknownKey);
            }
        }
        let patience = facts.timeout.unwrap_or(DEFAULT_PATIENCE);
        let service = self.pick_service(route);
        self.budget(&service).count_request(now);
        Ok(GatewayRequest {
            id: facts.id.clone(),
            route: route.clone(),
            service,
            customer: customer.map(|customer| customer.name.clone()),
            size: facts.size,
            arrived: now,
            deadline: now + patience.saturating_sub(WAY_BACK).min(route.timeout),
            abandon_at: now + first_answer_patience(route, patience),
            priority: customer.and_then(|found| found.priority).unwrap_or(route.priority),
            last_event: facts.last_event,
            tried: Vec::new(),
            sends: 0,
            unsent_attempts: 0,
            unresolved_sends: 0,
            waiting: None,
        })
    }

    /// Picks one of a route's services by their weights.
    fn pick_service(&mut self, route: &Route) -> ServiceName {
        let total: u32 = route.backends.iter().map(|backend| backend.weight).sum();
        let mut left = if total > 0 { self.random.random_range(0..total) } else { 0 };
        for backend in &route.backends {
            if left < backend.weight || total == 0 {
                return backend.service.clone();
            }
            left -= backend.weight;
        }
        ServiceName::new("")
    }
}

/// Returns how long a caller waits before it leaves without any part of an answer.
fn first_answer_patience(route: &Route, patience: Duration) -> Duration {
    let RouteKind::Stream { .. } = route.kind else { return patience };
    let by_objective = route.objective * OBJECTIVES_WAITED;
    let by_pause = route.gap.unwrap_or_default() * PAUSES_WAITED;
    LEAST_STREAM_PATIENCE.max(by_objective).max(by_pause).min(patience)
}
