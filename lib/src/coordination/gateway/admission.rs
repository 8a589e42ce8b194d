//! Admission by priority and by customer, where a service cannot serve all requests.
//!
//! Each placement gets terms: the price that the request pays for prefill, its weight in the queue, and
//! whether it is refused in favour of others. There are none, and requests are placed without this
//! module, where a service has one priority and no customer asks for far more than the others.

use std::collections::HashMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustc_hash::FxHashMap;

use super::Gateway;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use crate::state::CustomerDemand;
use crate::state::LATE_LOSS_FRACTION;
use crate::state::Moment;
use crate::state::PriorityOutcomes;
use crate::state::RefusedCallers;
use crate::state::SendId;
use crate::state::Server;
use crate::state::ServiceName;
use crate::state::kept_share;

/// The weight in the queue by which a priority exceeds the next less urgent one: more than the values per
/// second of prefill of the users' kinds differ from one kind to the next.
const PRIORITY_WEIGHT: f64 = 8.0;
/// The most of the load that sets the price of a request that is kept. At no price at all, large prompts
/// delay the short ones of the same engines by more than they are worth.
const KEPT_LOAD_SHARE: f64 = 0.6;
/// The part of the requests that are kept that may use the slots reserved for short prompts. With all of
/// them, short prompts of a higher priority lose a fifth of their value under three times the load; with
/// none, middle prompts get less than a quarter of their share in a burst of short ones.
const RESERVE_FRACTION: f64 = 0.5;
/// The fraction of a service's slots in use above which its capacity counts as scarce. Responses and
/// prefill delay each other from about this fraction on.
const SCARCE_SLOT_FRACTION: f64 = 0.5;
/// The retry delay for callers whose request is refused in favour of others; as long as that for
/// requests that are worth less than their price.
const YIELD_RETRY_AFTER: Duration = Duration::from_millis(3_500);
/// The largest fraction of a retry delay that is added at random, so that callers that were refused
/// together do not return together.
const RETRY_SPREAD: f64 = 0.4;

/// The largest weight in the queue that a customer gains by a small demand.
const MAX_CUSTOMER_WEIGHT: f64 = 4.0;

/// The terms on which a request is placed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct AdmissionTerms {
    /// The fraction of the load that sets the price.
    pub(crate) load_share: f64,
    /// Whether it may use the slots that are reserved for short prompts.
    pub(crate) uses_reserve: bool,
    /// Its weight in the queue; 1 for the least urgent priority.
    pub(crate) weight: f64,
    /// Why it is refused while capacity is scarce; `None` if it is not.
    pub(crate) yields: Option<RefusalReason>,
    /// Whether it waits for a free slot at a plain service.
    pub(crate) waits: bool,
}

/// The inputs of admission, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionInputs {
    pub priority: u8,
    /// The fraction of the load that set the price.
    pub load_share: f64,
    /// The shares of the requests of its priority and of its customer that are served while capacity is
    /// scarce.
    pub priority_share: f64,
    pub customer_share: f64,
    /// Whether it is served whatever its priority and customer.
    pub is_kept: bool,
}

/// A send whose outcome counts for its priority.
#[derive(Debug)]
struct PendingSend {
    service: ServiceName,
    priority: u8,
    due: Moment,
}

/// The outcomes and the demand of services with several priorities or with customers.
#[derive(Debug)]
pub(crate) struct Admission {
    outcomes: HashMap<ServiceName, PriorityOutcomes>,
    customers: HashMap<ServiceName, CustomerDemand>,
    pending: FxHashMap<SendId, PendingSend>,
    refused: RefusedCallers,
    /// Draws of its own, so that those of the other decisions do not depend on admission.
    random: SmallRng,
}

impl Admission {
    pub(crate) fn new(seed: u64) -> Admission {
        Admission {
            outcomes: HashMap::new(),
            customers: HashMap::new(),
            pending: FxHashMap::default(),
            refused: RefusedCallers::default(),
            random: SmallRng::seed_from_u64(!seed),
        }
    }
}

impl Gateway {
    /// Returns the priorities that compete for `service`, the most urgent first; none if all requests
    /// have the same one.
    pub(crate) fn contested_priorities(&self, service: &ServiceName) -> &[u8] {
        let priorities = self.catalog.as_ref().map_or(&[][..], |one| one.priorities(service));
        if priorities.len() > 1 { priorities } else { &[] }
    }

    fn is_admission_tracked(&self, service: &ServiceName) -> bool {
        self.bounds.fair_customers || !self.contested_priorities(service).is_empty()
    }

    /// Draws the number by which a request is among those that are served whatever their priority, and
    /// counts its demand.
    pub(crate) fn register_arrival(&mut self, now: Moment, request: &mut GatewayRequest) {
        if !self.is_admission_tracked(&request.service) {
            return;
        }
        request.admission_draw = self.admission.random.random();
        request.has_returned = self.admission.refused.has_returned(&request.id, now);
        let spec = self.catalog.as_ref().and_then(|catalog| catalog.service(&request.service));
        let profile = spec.and_then(|spec| spec.engine);
        let service = &request.service;
        if let (Some(profile), Some(size)) = (profile, request.size) {
            let prefill = profile.prefill_time(size.prompt);
            let outcomes = self.admission.outcomes.entry(service.clone()).or_default();
            outcomes.count_demand(now, request.priority, prefill);
        }
        if let Some(customer) = &request.customer {
            let customers = self.admission.customers.entry(service.clone()).or_default();
            customers.count(now, customer);
        }
    }

    /// Returns the fraction of the load that sets the price of the request's customer, and the share of
    /// the customer's requests that is served; `None` if customers are treated alike.
    fn customer_terms(&self, now: Moment, request: &GatewayRequest) -> Option<(f64, f64)> {
        let customer = request.customer.as_ref().filter(|_| self.bounds.fair_customers)?;
        let demand = self.admission.customers.get(&request.service)?;
        if !demand.is_contested(now) {
            return None;
        }
        let outcomes = self.admission.outcomes.get(&request.service);
        let capacity = outcomes.map_or(1.0, |outcomes| outcomes.capacity_share(now));
        let admitted = demand.admitted_share(now, customer, capacity);
        Some((demand.load_share(now, customer), admitted))
    }

    /// Returns the terms on which `request` is placed and their inputs; `None` if all requests of its
    /// service have the same priority and customers are treated alike.
    pub(crate) fn admission_terms(
        &self,
        now: Moment,
        request: &GatewayRequest,
    ) -> Option<(AdmissionTerms, AdmissionInputs)> {
        let priorities = self.contested_priorities(&request.service);
        let customer = self.customer_terms(now, request);
        let has_priorities = !priorities.is_empty();
        if !has_priorities && customer.is_none() {
            return None;
        }
        let (customer_load, customer_share) = customer.unwrap_or((1.0, 1.0));
        let less_urgent = priorities.iter().filter(|other| **other > request.priority).count();
        let draw = request.admission_draw;
        let has_more_urgent = priorities.iter().any(|other| *other < request.priority);
        let is_kept = request.has_returned || (has_more_urgent && draw < kept_share(less_urgent));
        let untouched = PriorityOutcomes::default();
        let outcomes = self.admission.outcomes.get(&request.service).unwrap_or(&untouched);
        let (priority_load, priority_share) = match has_priorities {
            true => {
                let priority = request.priority;
                (outcomes.demand_share(now, priority), outcomes.admitted_share(now, priority))
            }
            false => (1.0, 1.0),
        };
        // A server may have run a request that was sent before; refusing it now would waste that work.
        let may_yield = !is_kept && request.sends == 0;
        let yields = match may_yield {
            true if draw >= priority_share => Some(RefusalReason::LowPriority),
            true if draw >= customer_share => Some(RefusalReason::CustomerShare),
            _ => None,
        };
        let most_load = if is_kept { KEPT_LOAD_SHARE } else { 1.0 };
        let load_share = (priority_load * customer_load).min(most_load);
        // A request that is kept goes before the most urgent ones, which may never leave it a slot.
        let weight_steps = if is_kept { priorities.len() } else { less_urgent };
        let customer_weight = customer_load.max(f64::MIN_POSITIVE).recip().min(MAX_CUSTOMER_WEIGHT);
        let terms = AdmissionTerms {
            load_share,
            uses_reserve: is_kept && draw < kept_share(less_urgent) * RESERVE_FRACTION,
            weight: PRIORITY_WEIGHT.powi(weight_steps as i32) * customer_weight,
            yields,
            waits: may_yield && has_more_urgent,
        };
        let priority = request.priority;
        let inputs =
            AdmissionInputs { priority, load_share, priority_share, customer_share, is_kept };
        Some((terms, inputs))
    }

    /// Returns the number of services of which this host refuses less urgent requests, and of those of
    /// which it limits customers.
    pub fn scarce_services(&self, now: Moment) -> (usize, usize) {
        let refuses = |(service, outcomes): &(&ServiceName, &PriorityOutcomes)| {
            let least = self.contested_priorities(service).last();
            least.is_some_and(|least| outcomes.admitted_share(now, *least) < 1.0)
        };
        let by_priority = self.admission.outcomes.iter().filter(refuses).count();
        let customers = self.admission.customers.values();
        (by_priority, customers.filter(|demand| demand.is_contested(now)).count())
    }

    /// Returns whether the slots of `servers`, of which each has `slots` or what it publishes, are scarce.
    pub(crate) fn has_scarce_slots(
        &self,
        now: Moment,
        servers: &[&Server],
        slots: Option<u32>,
    ) -> bool {
        let (mut used, mut total) = (0, 0);
        for server in servers {
            let slots = slots.unwrap_or(server.slots).max(1);
            total += slots;
            used += self.loads.load(&server.id, now).running_total().min(slots);
        }
        f64::from(used) >= f64::from(total) * SCARCE_SLOT_FRACTION
    }

    /// Returns the refusal of a request in favour of others.
    pub(crate) fn yield_refusal(&self, reason: RefusalReason) -> GatewayRefusal {
        GatewayRefusal::retry_after(reason, YIELD_RETRY_AFTER)
    }

    /// Counts a refusal, and spreads the time after which the caller returns if requests of the service
    /// are placed on terms.
    pub(crate) fn record_refusal(
        &mut self,
        now: Moment,
        request: &GatewayRequest,
        refusal: GatewayRefusal,
    ) -> GatewayRefusal {
        let reason = refusal.cause.unwrap_or(refusal.reason);
        if !is_capacity_reason(reason) || !self.is_admission_tracked(&request.service) {
            return refusal;
        }
        let service = request.service.clone();
        let customers = self.admission.customers.entry(service.clone()).or_default();
        customers.count_refusal(now);
        // Refusals of customers above their share do not count as lost, or their share would only fall.
        if reason != RefusalReason::CustomerShare {
            self.record_share(now, &service, request.priority, 0.0);
        }
        let Some(after) = refusal.retry_after else { return refusal };
        if self.admission_terms(now, request).is_none() {
            return refusal;
        }
        let factor = 1.0 + RETRY_SPREAD * self.admission.random.random::<f64>();
        let after = after.mul_f64(factor);
        self.admission.refused.record(&request.id, now + after);
        GatewayRefusal { retry_after: Some(after), ..refusal }
    }

    /// Records that `request` is sent as `send`.
    pub(crate) fn await_outcome(&mut self, send: SendId, request: &GatewayRequest) {
        if !self.is_admission_tracked(&request.service) {
            return;
        }
        let due = request.arrived + request.route.objective;
        let service = request.service.clone();
        let pending = PendingSend { service, priority: request.priority, due };
        self.admission.pending.insert(send, pending);
    }

    /// Records that the first part of a response arrived.
    pub(crate) fn record_served(&mut self, now: Moment, send: SendId) {
        let Some(pending) = self.admission.pending.remove(&send) else { return };
        let share = if now <= pending.due { 1.0 } else { 1.0 - LATE_LOSS_FRACTION };
        self.record_share(now, &pending.service, pending.priority, share);
    }

    /// Records that a send ended; one that is overdue without a response counts as not served. An earlier
    /// one may still be served on time by another server.
    pub(crate) fn record_unserved(&mut self, now: Moment, send: SendId) {
        let Some(pending) = self.admission.pending.remove(&send) else { return };
        if now > pending.due {
            self.record_share(now, &pending.service, pending.priority, 0.0);
        }
    }

    fn record_share(&mut self, now: Moment, service: &ServiceName, priority: u8, share: f64) {
        let outcomes = self.admission.outcomes.entry(service.clone()).or_default();
        outcomes.record(now, priority, share);
    }
}

/// Returns whether a request is refused for `reason` since its service lacks capacity.
fn is_capacity_reason(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::Overload
            | RefusalReason::TooCostly
            | RefusalReason::LowPriority
            | RefusalReason::CustomerShare
            | RefusalReason::WaitedTooLong
            | RefusalReason::ServersLimited
    )
}
