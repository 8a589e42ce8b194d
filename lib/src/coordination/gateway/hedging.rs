//! Hedged requests: a request whose server is slower than most is sent to a second server as well, and
//! the first response is used.
//!
//! A hedged request is extra work, so it is sent only while the service has spare room, within the
//! limit of the settings, and to a server that is expected to respond sooner than the slow one.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Dispatch;
use super::Gateway;
use super::GatewayPlacement;
use super::GatewayRequest;
use super::candidates::ChosenGroup;
use crate::state::ChoiceOutcome;
use crate::state::EngineProfile;
use crate::state::GroupQuery;
use crate::state::HedgeBudget;
use crate::state::Moment;
use crate::state::OverrunDistribution;
use crate::state::OverrunTable;
use crate::state::PromptSize;
use crate::state::SCARCE_LOAD_FACTOR;
use crate::state::Server;
use crate::state::ServiceName;
use crate::state::spendable_ratio;

/// The fraction of responses than which a slow one takes longer.
const SLOW_QUANTILE: f64 = 0.9;
/// How much later than at [`SLOW_QUANTILE`] a response counts as slow at most.
const MAX_SLOW_FACTOR: f64 = 1.5;
/// The part of the route's objective within which no response counts as slow: the times of fast services
/// differ by little more than the scheduling of hosts.
const MIN_SLOW_FRACTION: f64 = 0.1;
/// The quantile that is expected of a server that is not slow.
const MEDIAN: f64 = 0.5;
/// The shortest time between two decisions about a hedged request for the same send.
const MIN_REVIEW_INTERVAL: Duration = Duration::from_millis(25);
/// The part of the time since a send that passes until the next decision about it.
const REVIEW_FRACTION: f64 = 0.5;

/// Why no hedged request is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDenial {
    /// The limit of the settings is reached.
    NoToken,
    /// The request has no attempt left, or the service no retry.
    NoRetry,
    /// Requests wait at this host, or the service's load is too high.
    Overload,
    /// The host stops before the response could be complete, or the prompt may crash servers.
    Unsafe,
    /// There is no other server that may get it, or none has capacity.
    NoServer,
    /// No other server is expected to respond sooner than the slow one.
    NoGain,
}

impl HedgeDenial {
    /// Returns the reason's name in metrics.
    ///
    /// ```
    /// use wasabicrank_lib::coordination::HedgeDenial;
    /// assert_eq!(HedgeDenial::NoGain.name(), "no_gain");
    /// ```
    pub fn name(self) -> &'static str {
        match self {
            HedgeDenial::NoToken => "no_token",
            HedgeDenial::NoRetry => "no_retry",
            HedgeDenial::Overload => "overload",
            HedgeDenial::Unsafe => "unsafe",
            HedgeDenial::NoServer => "no_server",
            HedgeDenial::NoGain => "no_gain",
        }
    }
}

/// A hedged request to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Hedge {
    /// The send to the second server.
    pub dispatch: Dispatch,
    /// How much longer the first server is expected to take.
    pub first_left: Duration,
}

/// What hedged requests depend on besides the load.
#[derive(Debug)]
pub(crate) struct Hedging {
    budget: HedgeBudget,
    overruns: OverrunTable,
}

impl Hedging {
    /// Creates the state of a host; `seed` seeds the phase of its budget.
    pub(crate) fn new(seed: u64) -> Hedging {
        // Requests are placed by another generator, whose sequence does not depend on hedging.
        let phase = SmallRng::seed_from_u64(!seed).random_range(0.0..1.0);
        Hedging { budget: HedgeBudget::new(phase), overruns: OverrunTable::default() }
    }
}

impl Gateway {
    fn is_hedging(&self) -> bool {
        self.bounds.hedge_ratio > 0.0
    }

    pub(crate) fn count_for_hedging(&mut self, now: Moment) {
        if self.is_hedging() {
            let window = self.bounds.budget.window;
            self.hedging.budget.count_request(now, self.bounds.hedge_ratio, window);
        }
    }

    pub(crate) fn has_hedge_token(&mut self, now: Moment) -> bool {
        self.is_hedging() && self.hedging.budget.has_token(now, self.bounds.budget.window)
    }

    pub(crate) fn take_hedge_token(&mut self, now: Moment) {
        self.hedging.budget.take(now, self.bounds.budget.window);
    }

    pub(crate) fn return_hedge_token(&mut self) {
        self.hedging.budget.return_token();
    }

    /// Records that the first event of a response, or a whole response, has arrived.
    pub fn record_response_time(
        &mut self,
        now: Moment,
        request: &GatewayRequest,
        dispatch: &Dispatch,
    ) {
        if self.is_hedging() && !dispatch.is_successor {
            let overrun = now.since(dispatch.placed + dispatch.expected_delay);
            self.hedging.overruns.record(now, &request.route.name, overrun);
        }
    }

    /// Records that a hedged request answered before the send of `dispatch`, which was abandoned. Its
    /// server counts as slow: without its requests it would look idle and get more of them. Its
    /// response counts as one that would have taken as long again; the quantiles below are exact.
    pub fn record_slow(&mut self, now: Moment, request: &GatewayRequest, dispatch: &Dispatch) {
        if self.is_hedging() && !dispatch.is_successor {
            let end = now + now.since(dispatch.placed);
            let overrun = end.since(dispatch.placed + dispatch.expected_delay);
            self.hedging.overruns.record(now, &request.route.name, overrun);
            if self.servers.contains(&dispatch.server.id) {
                self.health.entry(dispatch.server.id.clone()).or_default().record_slow(now);
            }
        }
    }

    /// Returns whether the service has capacity beyond what its requests need: none waits at this host,
    /// and its load factor is below the one at which prefill gets a price. The load factor of a
    /// plain service is the fraction of its slots that are taken.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::coordination::{Gateway, GatewayBounds};
    /// use wasabicrank_lib::state::{MemoryBounds, Moment, RetryBounds, ServiceName, ZoneName};
    /// let limit = Duration::from_secs(2);
    /// let bounds = GatewayBounds {
    ///     zone: ZoneName::new("z"),
    ///     revoke: limit,
    ///     config: limit,
    ///     drain: limit,
    ///     memory: MemoryBounds { unused: limit, release: limit },
    ///     budget: RetryBounds { ratio: 0.2, slack: 104.0, window: limit },
    ///     evacuate: None,
    ///     hedge_ratio: 0.05,
    ///     fair_customers: false,
    ///     engine_model: false,
    /// };
    /// // A service without servers has no capacity.
    /// assert!(!Gateway::new(bounds, 1).has_spare_room(Moment(0), &ServiceName::new("chat")));
    /// ```
    pub fn has_spare_room(&self, now: Moment, service: &ServiceName) -> bool {
        let mut servers = self.usable_servers(service);
        servers.retain(|server| !self.is_paused(now, &server.id));
        if servers.is_empty() || !self.queue.is_empty() {
            return false;
        }
        let load_factor = match self.engine_profile(service) {
            Some(_) => self.load_factor(now, servers.len()),
            None => self.taken_slots(now, &servers),
        };
        load_factor < SCARCE_LOAD_FACTOR
    }

    /// Returns the fraction of the servers' slots that are taken.
    fn taken_slots(&self, now: Moment, servers: &[&Server]) -> f64 {
        let mut taken = 0;
        let mut slots = 0;
        for server in servers {
            let profile = self.engine_profile(&server.service);
            slots += profile.map_or(server.slots, |profile| profile.slots).max(1);
            taken += self.load(&server.id, now).running_total();
        }
        f64::from(taken) / f64::from(slots.max(1))
    }

    /// Returns whether the servers of `service` have so much capacity left that extra sends delay no
    /// request: besides [`Gateway::has_spare_room`], no request waits at another host, and as
    /// large a part of the slots is free. Engines whose slots are taken may prefill little.
    fn is_lightly_loaded(&self, now: Moment, service: &ServiceName) -> bool {
        self.has_spare_room(now, service)
            && self.peers.queued(now).is_zero()
            && self.taken_slots(now, &self.usable_servers(service)) < SCARCE_LOAD_FACTOR
    }

    /// Returns when to decide about a hedged request for `dispatch`, which has no event yet: when nine of
    /// ten responses of its kind would have begun, and not before the expected time; after that at
    /// intervals. Returns `None` if no hedged request will be sent for it.
    pub fn hedge_time(
        &self,
        now: Moment,
        request: &GatewayRequest,
        dispatch: &Dispatch,
    ) -> Option<Moment> {
        let may_repeat = request.is_retryable() && request.route.attempts > 1;
        if !self.is_hedging() || dispatch.is_successor || !may_repeat {
            return None;
        }
        let overruns = self.hedging.overruns.distribution(now, &request.route.name)?;
        let least = request.route.objective.mul_f64(MIN_SLOW_FRACTION);
        let first = dispatch.placed + self.slow_time(dispatch, &overruns).max(least);
        let elapsed = now.since(dispatch.placed);
        let next = now + elapsed.mul_f64(REVIEW_FRACTION).max(MIN_REVIEW_INTERVAL);
        let due = if now < first { first } else { next };
        (due < dispatch.silence_deadline).then_some(due)
    }

    /// Returns the time after which the response to `dispatch` counts as slow: nine of ten responses began
    /// by then, compared with their expected time. If the limit allows fewer hedged requests than one in
    /// ten, it is later, by half at most: beyond that most responses are those of slow servers.
    fn slow_time(&self, dispatch: &Dispatch, overruns: &OverrunDistribution) -> Duration {
        let share = spendable_ratio(self.bounds.hedge_ratio);
        let earliest = dispatch.expected_delay + overruns.quantile(SLOW_QUANTILE);
        let affordable = dispatch.expected_delay + overruns.quantile(1.0 - share);
        affordable.clamp(earliest, earliest.mul_f64(MAX_SLOW_FACTOR))
    }

    /// Decides whether `request`, which the server of `slow` has, is sent to a second server now.
    pub fn place_hedge(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        slow: &Dispatch,
    ) -> Result<Box<Hedge>, HedgeDenial> {
        let overruns = self.hedging.overruns.distribution(now, &request.route.name);
        let Some(overruns) = overruns.filter(|_| self.has_hedge_token(now)) else {
            return Err(HedgeDenial::NoToken);
        };
        if !self.has_time(now, request) || !self.can_retry(now, request, request.sends) {
            return Err(HedgeDenial::NoRetry);
        }
        if !self.is_lightly_loaded(now, &request.service) {
            return Err(HedgeDenial::Overload);
        }
        if self.is_suspected(request) || self.is_isolated(now, request) {
            return Err(HedgeDenial::Unsafe);
        }
        let passed = now.since(slow.placed + slow.expected_delay);
        // A response that is slower than all others is expected to take as long again.
        let first_left = overruns.time_left(passed).unwrap_or(now.since(slow.placed));
        let placement = match (self.engine_profile(&request.service), request.size) {
            (Some(profile), Some(size)) => {
                self.hedge_at_engine(now, request, &profile, size, first_left)?
            }
            _ => self.hedge_at_server(now, request, &overruns, first_left)?,
        };
        let GatewayPlacement::Send(mut dispatch) = placement else {
            return Err(HedgeDenial::NoServer);
        };
        dispatch.is_successor = true;
        dispatch.is_hedge = true;
        Ok(Box::new(Hedge { dispatch: *dispatch, first_left }))
    }

    fn engine_profile(&self, service: &ServiceName) -> Option<EngineProfile> {
        self.catalog.as_ref()?.service(service)?.engine
    }

    /// Returns the servers that a hedged request may be sent to. Those that lost to one lately are included,
    /// since in a small service a single loss would otherwise end hedging; others are preferred.
    fn hedge_servers(&self, now: Moment, request: &GatewayRequest) -> Vec<&Server> {
        let mut servers = self.usable_servers(&request.service);
        let is_failing =
            |id| self.health.get(id).is_some_and(|one| one.is_avoided(now) || one.is_degraded());
        servers.retain(|server| {
            !request.tried.contains(&server.id)
                && !self.is_paused(now, &server.id)
                && !self.is_limited(now, server)
                && !is_failing(&server.id)
        });
        servers
    }

    fn hedge_at_engine(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        profile: &EngineProfile,
        size: PromptSize,
        first_left: Duration,
    ) -> Result<GatewayPlacement, HedgeDenial> {
        let query = GroupQuery {
            size,
            gap_class: request.gap_class(),
            objective_left: request.objective_left(now),
            abandon_after: request.abandon_at.since(now),
            price: 0.0,
            jitter_seed: self.random.random(),
            uses_reserve: false,
            engine_model: self.bounds.engine_model,
        };
        let servers = self.hedge_servers(now, request);
        let candidates = self.group_candidates(now, &servers, profile.slots);
        let alone = EngineProfile { joint_prefill: false, ..*profile };
        let ChoiceOutcome::Send(choice) = crate::state::choose_group(&alone, &query, &candidates)
        else {
            return Err(HedgeDenial::NoServer);
        };
        let first_event = choice.first_event;
        self.check_gain(now, request, first_event, first_left)?;
        let first = servers[choice.first].clone();
        let group = ChosenGroup { first, helpers: Vec::new(), first_event };
        Ok(self.send_to_group(now, request, profile, size, group))
    }

    fn hedge_at_server(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        overruns: &OverrunDistribution,
        first_left: Duration,
    ) -> Result<GatewayPlacement, HedgeDenial> {
        let seed = self.random.random();
        let mut servers = self.hedge_servers(now, request);
        servers.retain(|server| {
            let taken = self.load(&server.id, now).running_total()
                + self.withheld_slots(now, server, server.slots.max(1));
            taken < server.slots.max(1)
        });
        let server = self.choose_server(now, &request.service, &servers, seed, true);
        let server = server.ok_or(HedgeDenial::NoServer)?;
        self.check_gain(now, request, overruns.quantile(MEDIAN), first_left)?;
        Ok(self.place_at_server(now, request, server))
    }

    /// Refuses a second server whose response is expected no sooner than that of the first one, or after
    /// this host has stopped.
    fn check_gain(
        &self,
        now: Moment,
        request: &GatewayRequest,
        expected: Duration,
        first_left: Duration,
    ) -> Result<(), HedgeDenial> {
        if self.stop_refusal(now, request, expected).is_some() {
            return Err(HedgeDenial::Unsafe);
        }
        if expected >= first_left { Err(HedgeDenial::NoGain) } else { Ok(()) }
    }
}
