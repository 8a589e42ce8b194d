//! A request that the gateway serves: its admission, and the record of its sends.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;

use super::Gateway;
use super::GatewayRefusal;
use super::PlacementInputs;
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
use crate::state::SharedParts;

/// The retry delay for callers of a host without a usable configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The shortest time that a caller is assumed to wait for the first event of a stream, whatever the
/// route's objective; callers leave before their deadline.
const MIN_STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// How long a caller is assumed to wait for the first event, in multiples of the route's objective
/// and of its longest event gap; the longer time counts.
const PATIENCE_OBJECTIVES: u32 = 4;
const PATIENCE_GAPS: u32 = 8;
/// The time reserved for the transfer of the final response to the caller.
const RETURN_MARGIN: Duration = Duration::from_millis(15);
/// The timeout of a request that states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// A request that is served here.
#[derive(Debug, Clone)]
pub struct GatewayRequest {
    /// The caller's id for the request.
    pub id: String,
    /// The route that matched it.
    pub route: Arc<Route>,
    /// The service that it goes to.
    pub service: ServiceName,
    /// The customer that sent it.
    pub customer: Option<CustomerName>,
    /// Its size, if it is for a model engine.
    pub size: Option<PromptSize>,
    /// The parts of its prompt that other prompts may have as well.
    pub parts: SharedParts,
    /// When its head was read.
    pub arrived: Moment,
    /// When the final response must be sent.
    pub deadline: Moment,
    /// When its caller abandons the request; for streams, earlier than the deadline if no event has
    /// arrived.
    pub abandon_at: Moment,
    /// The priority from the configuration; 0 is the highest.
    pub priority: u8,
    /// A random number from 0 to 1, by which some requests are served whatever their priority;
    /// 1 if the service has one priority and the configuration no customers.
    pub admission_draw: f64,
    /// Whether its caller was refused in favour of others and returned when it was asked to.
    pub has_returned: bool,
    /// The id of the last event that the caller has.
    pub last_event: Option<u64>,
    /// The servers that it was sent to, and helpers that failed it.
    pub tried: Vec<ServerId>,
    /// The number of sends to a server.
    pub sends: u32,
    /// The number of attempts that ended before anything was sent: the server could not be reached,
    /// or memory could not be reserved.
    pub unsent_attempts: u32,
    /// The number of sends after which a server may have run it, or may still run it.
    pub unresolved_sends: u32,
    /// The cells that were queried for it in the current placement.
    pub queried: Vec<usize>,
    /// Its ticket in the queue of this host, while it waits.
    pub queue_ticket: Option<u64>,
    /// The inputs of its last placement decision.
    pub inputs: PlacementInputs,
}

/// Which request a response belongs to, by the id that it states.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseOrigin {
    /// The one that was sent on its connection.
    OwnRequest,
    /// Another one.
    OtherRequest,
    /// It states no id.
    Unknown,
}

impl GatewayRequest {
    /// Returns which request a response with the id `stated` belongs to.
    pub fn response_origin(&self, stated: Option<&str>) -> ResponseOrigin {
        match stated {
            Some(id) if id == self.id => ResponseOrigin::OwnRequest,
            Some(_) => ResponseOrigin::OtherRequest,
            None => ResponseOrigin::Unknown,
        }
    }

    /// Returns how sensitive the response is to gaps between its events.
    pub fn gap_class(&self) -> GapClass {
        GapClass::of(self.route.gap)
    }

    /// Returns how long after `now` the response is still on time.
    pub fn objective_left(&self, now: Moment) -> Duration {
        (self.arrived + self.route.objective).since(now)
    }

    /// Returns whether a server may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.unresolved_sends > 0
    }

    /// Returns whether the request may be retried although it may have run.
    pub fn is_retryable(&self) -> bool {
        self.route.kind.is_retryable()
    }
}

impl Gateway {
    /// Admits a request or refuses it, by its head.
    pub fn admit(
        &mut self,
        now: Moment,
        facts: &RequestFacts,
    ) -> Result<GatewayRequest, GatewayRefusal> {
        let refuse = |reason| Err(GatewayRefusal::new(reason));
        let retry_later =
            |reason| Err(GatewayRefusal::retry_after(reason, UNCONFIGURED_RETRY_AFTER));
        let Some(catalog) = self.catalog.clone() else {
            return retry_later(RefusalReason::NoConfiguration);
        };
        if self.awaits_zones() {
            return retry_later(RefusalReason::NoConfiguration);
        }
        if !self.freshness.is_usable(now) {
            return retry_later(RefusalReason::StaleConfiguration);
        }
        let Some(route) = catalog.route(&facts.host, &facts.path) else {
            return refuse(RefusalReason::NoRoute);
        };
        if !self.accepts(now, route) {
            return Err(self.stopping_refusal(now));
        }
        let mut customer = None;
        if catalog.requires_keys() && !route.public {
            customer = facts.key.as_deref().and_then(|key| catalog.customer(key));
            if customer.is_none() {
                return refuse(RefusalReason::UnknownKey);
            }
        }
        let timeout = facts.timeout.unwrap_or(DEFAULT_TIMEOUT);
        let service = self.pick_service(route);
        self.budget(&service).count_request(now);
        self.count_for_hedging(now);
        let mut request = GatewayRequest {
            id: facts.id.clone(),
            route: route.clone(),
            service,
            customer: customer.map(|customer| customer.name.clone()),
            size: facts.size,
            parts: facts.parts.clone(),
            arrived: now,
            deadline: now + timeout.saturating_sub(RETURN_MARGIN).min(route.timeout),
            abandon_at: now + first_event_patience(route, timeout),
            priority: customer.and_then(|found| found.priority).unwrap_or(route.priority),
            admission_draw: 1.0,
            has_returned: false,
            last_event: facts.last_event,
            tried: Vec::new(),
            sends: 0,
            unsent_attempts: 0,
            unresolved_sends: 0,
            queried: Vec::new(),
            queue_ticket: None,
            inputs: PlacementInputs::default(),
        };
        self.register_arrival(now, &mut request);
        Ok(request)
    }

    /// Picks one of a route's services at random, by their weights. If all weights are 0, returns an
    /// empty name, for which there is no server.
    fn pick_service(&mut self, route: &Route) -> ServiceName {
        let total: u64 = route.backends.iter().map(|backend| u64::from(backend.weight)).sum();
        let mut left = if total > 0 { self.random.random_range(0..total) } else { 0 };
        for backend in &route.backends {
            if left < u64::from(backend.weight) {
                return backend.service.clone();
            }
            left -= u64::from(backend.weight);
        }
        ServiceName::new("")
    }
}

/// Returns how long a caller is assumed to wait without any part of a response.
fn first_event_patience(route: &Route, timeout: Duration) -> Duration {
    let RouteKind::Stream { .. } = route.kind else { return timeout };
    let by_objective = route.objective * PATIENCE_OBJECTIVES;
    let by_gap = route.gap.unwrap_or_default() * PATIENCE_GAPS;
    MIN_STREAM_PATIENCE.max(by_objective).max(by_gap).min(timeout)
}
