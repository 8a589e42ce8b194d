//! The servers that a request may be placed at, and the choice among them, which changes nothing.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::Gateway;
use super::GatewayRequest;
use super::RefusalReason;
use super::admission::AdmissionInputs;
use super::admission::AdmissionTerms;
use crate::state::ChoiceOutcome;
use crate::state::EngineProfile;
use crate::state::GapClass;
use crate::state::GroupCandidate;
use crate::state::GroupQuery;
use crate::state::Moment;
use crate::state::PromptSize;
use crate::state::SCARCE_LOAD_FACTOR;
use crate::state::Server;
use crate::state::ServiceName;
use crate::state::ZoneName;
use crate::state::choose_group;
use crate::state::prefill_price;
use crate::state::prompt_value;

/// What a plain service's server costs more if it failed requests recently, in full slots.
const DEGRADED_SCORE: f64 = 2.0;
/// What it costs more in another zone.
const OTHER_ZONE_SCORE: f64 = 0.05;
/// The random cost by which hosts choose different ones of servers that are alike.
const SCORE_JITTER: f64 = 0.02;

/// The inputs of a placement decision, for the log.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PlacementInputs {
    /// The servers of the service that may get requests.
    pub listed: usize,
    /// Those of them that asked for a pause.
    pub paused: usize,
    /// Those of the others that name a limit and have no permit left for this host now.
    pub limited: usize,
    /// Those that the request was sent to before, or that failed it as helpers.
    pub tried: usize,
    /// Those that were lost recently.
    pub avoided: usize,
    /// The engines of the others that have no free slot.
    pub full: usize,
    /// The inputs of admission; `None` if the service has one priority and customers are treated alike.
    pub admission: Option<AdmissionInputs>,
    /// The inputs that concern the engines' prefill; `None` for plain services.
    pub prefill: Option<PrefillInputs>,
}

/// The inputs of a decision about engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillInputs {
    /// How long one idle engine would prefill the prompt.
    pub time: Duration,
    /// The value of the request when its first event comes as expected.
    pub value: f64,
    /// The minimum value per second of prefill.
    pub price: f64,
    /// The prefill demand of all hosts as a fraction of the engines' capacity.
    pub load_factor: f64,
    /// The prefill that the engines have left, in the mean, and the share of what waits before the
    /// request.
    pub backlog: Duration,
    /// The prefill of all queued requests before it, divided by the engines.
    pub queue: Duration,
    /// The expected time to the first event, if the request was weighed against an engine.
    pub first_event: Option<Duration>,
    /// How long its caller still waits.
    pub time_left: Duration,
    /// The age of the oldest of the other hosts' loads that were used.
    pub load_age: Duration,
}

/// Where a request would go.
#[derive(Debug)]
pub(crate) enum ServerChoice {
    /// The service has no server that may get requests.
    NoServer,
    /// All of them asked for a pause.
    AllPaused,
    /// Those that asked for no pause name limits and have no permit left for this host now.
    NoPermit,
    /// The choice among engines.
    Engines(Box<EngineChoice>),
    /// The request of a plain service is refused in favour of others.
    Yield(RefusalReason),
    /// The server of a plain service; `None` if all are full or keep their slots free after a pause.
    Plain(Option<Server>),
}

/// The choice among engines.
#[derive(Debug)]
pub(crate) struct EngineChoice {
    pub(crate) profile: EngineProfile,
    pub(crate) size: PromptSize,
    pub(crate) query: GroupQuery,
    /// The value of the request in the queue, by its prompt and priority alone.
    pub(crate) value: f64,
    /// How long one idle engine would prefill the prompt.
    pub(crate) prefill: Duration,
    /// Whether requests of this host are placed before it.
    pub(crate) is_behind: bool,
    /// The prefill of all queued requests before it, divided by the engines.
    pub(crate) queue_time: Duration,
    pub(crate) outcome: EngineOutcome,
}

/// The outcome of a choice among engines.
#[derive(Debug)]
pub(crate) enum EngineOutcome {
    Send(ChosenGroup),
    Wait(Duration),
    TooLate(Duration),
    TooCostly,
    Yield(RefusalReason),
    TooLarge,
    NoEngine,
}

/// The engines that shall serve a request.
#[derive(Debug)]
pub(crate) struct ChosenGroup {
    pub(crate) first: Server,
    /// The helpers, each with the tokens that its memory holds.
    pub(crate) helpers: Vec<(Server, u64)>,
    pub(crate) first_event: Duration,
}

impl Gateway {
    /// Chooses where `request` would go now; `seed` seeds the random part of the choice.
    pub(crate) fn choose(
        &self,
        now: Moment,
        request: &GatewayRequest,
        seed: u64,
    ) -> (ServerChoice, PlacementInputs) {
        let mut servers = self.usable_servers(&request.service);
        let mut inputs = PlacementInputs { listed: servers.len(), ..PlacementInputs::default() };
        if servers.is_empty() {
            return (ServerChoice::NoServer, inputs);
        }
        servers.retain(|server| !self.is_paused(now, &server.id));
        inputs.paused = inputs.listed - servers.len();
        if servers.is_empty() {
            return (ServerChoice::AllPaused, inputs);
        }
        servers.retain(|server| !self.lacks_permit(now, &server.id));
        inputs.limited = inputs.listed - inputs.paused - servers.len();
        if servers.is_empty() {
            return (ServerChoice::NoPermit, inputs);
        }
        inputs.tried = prefer(&mut servers, |server| !request.tried.contains(&server.id));
        inputs.avoided = prefer(&mut servers, |server| !self.is_avoided(server, now));
        let profile = self.catalog.as_ref().and_then(|catalog| {
            catalog.service(&request.service).and_then(|service| service.engine)
        });
        let (terms, admission) = self.admission_terms(now, request).unzip();
        inputs.admission = admission;
        let choice = match (profile, request.size) {
            (Some(profile), Some(size)) => {
                let choice = self.choose_engines(
                    now,
                    request,
                    profile,
                    size,
                    &servers,
                    seed,
                    terms,
                    &mut inputs,
                );
                ServerChoice::Engines(Box::new(choice))
            }
            _ => self.choose_plain(now, request, &servers, seed, terms),
        };
        (choice, inputs)
    }

    #[allow(clippy::too_many_arguments)]
    fn choose_engines(
        &self,
        now: Moment,
        request: &GatewayRequest,
        profile: EngineProfile,
        size: PromptSize,
        servers: &[&Server],
        seed: u64,
        terms: Option<AdmissionTerms>,
        inputs: &mut PlacementInputs,
    ) -> EngineChoice {
        let prefill = profile.prefill_time(size.prompt);
        let value = prompt_value(size.prompt);
        let rank_value = value * terms.map_or(1.0, |terms| terms.weight);
        let ahead = self.queue.prefill_ahead(now, request.queue_ticket, rank_value, prefill);
        let candidates = self.group_candidates(now, servers, profile.slots);
        let engines = candidates.len().max(1) as u32;
        // Limited engines that lack a permit for the moment still do a part of the work.
        let all_engines = engines + inputs.limited as u32;
        let backlog: Duration = candidates.iter().map(|candidate| candidate.load.backlog).sum();
        let mean_backlog = (backlog + ahead) / engines;
        let load_factor = self.load_factor(now, all_engines as usize);
        let load_share = terms.map_or(1.0, |terms| terms.load_share);
        let query = GroupQuery {
            size,
            gap_class: request.gap_class(),
            objective_left: request.objective_left(now),
            abandon_after: request.abandon_at.since(now),
            price: prefill_price(load_factor * load_share, mean_backlog.as_secs_f64() * load_share),
            engine_model: self.bounds.engine_model,
            uses_reserve: terms.is_some_and(|terms| terms.uses_reserve),
            jitter_seed: seed,
        };
        let queue_time = (ahead + self.peers.queued(now)) / all_engines;
        let is_full = |candidate: &&GroupCandidate| candidate.load.running_total() >= profile.slots;
        inputs.full = candidates.iter().filter(is_full).count();
        let mut weighed = PrefillInputs {
            time: prefill,
            value,
            price: query.price,
            load_factor,
            backlog: mean_backlog,
            queue: queue_time,
            first_event: None,
            time_left: request.abandon_at.min(request.deadline).since(now),
            load_age: self.loads.oldest_summary(now),
        };
        let (unlimited, outcome) =
            self.choose_group_by_limits(now, &profile, &query, servers, &candidates);
        let servers = unlimited.as_deref().unwrap_or(servers);
        let outcome = match outcome {
            ChoiceOutcome::Send(choice) => {
                weighed.first_event = Some(choice.first_event);
                let helper = |position: usize| servers[position].clone();
                EngineOutcome::Send(ChosenGroup {
                    first: servers[choice.first].clone(),
                    helpers: choice
                        .helpers
                        .iter()
                        .map(|one| (helper(one.position), one.held_tokens))
                        .collect(),
                    first_event: choice.first_event,
                })
            }
            ChoiceOutcome::Wait(time) => EngineOutcome::Wait(time),
            ChoiceOutcome::TooLate(time) => {
                weighed.first_event = Some(time + query.abandon_after);
                EngineOutcome::TooLate(time)
            }
            ChoiceOutcome::TooCostly(costly) => {
                weighed.first_event = Some(costly.first_event);
                weighed.value = costly.value;
                EngineOutcome::TooCostly
            }
            ChoiceOutcome::TooLarge => EngineOutcome::TooLarge,
            ChoiceOutcome::NoEngine => EngineOutcome::NoEngine,
        };
        inputs.prefill = Some(weighed);
        let yields = terms.and_then(|terms| terms.yields);
        let is_scarce = || {
            load_factor >= SCARCE_LOAD_FACTOR
                || !self.queue.is_empty()
                || self.has_scarce_slots(now, servers, Some(profile.slots))
        };
        let outcome = match outcome {
            EngineOutcome::Send(_) | EngineOutcome::Wait(_) if yields.is_some() && is_scarce() => {
                yields.map_or(outcome, EngineOutcome::Yield)
            }
            outcome => outcome,
        };
        let value = rank_value;
        let is_behind = !ahead.is_zero();
        EngineChoice { profile, size, query, value, prefill, is_behind, queue_time, outcome }
    }

    /// Chooses engines so that no helper names a limit or is cold: a helper's orders and its part of the prompt would
    /// all count as requests. Returns the servers to which the choice refers, unless these are all of
    /// `servers`, whose loads are `candidates`.
    fn choose_group_by_limits<'a>(
        &self,
        now: Moment,
        profile: &EngineProfile,
        query: &GroupQuery,
        servers: &[&'a Server],
        candidates: &[GroupCandidate],
    ) -> (Option<Vec<&'a Server>>, ChoiceOutcome) {
        let outcome = choose_group(profile, query, candidates);
        let is_limited = |position: usize| self.is_limited(now, servers[position]);
        if !has_helper(&outcome, is_limited) {
            return (None, outcome);
        }
        let unlimited: Vec<&Server> =
            servers.iter().copied().filter(|server| !self.is_limited(now, server)).collect();
        let others = self.group_candidates(now, &unlimited, profile.slots);
        let outcome = choose_group(profile, query, &others);
        if matches!(outcome, ChoiceOutcome::Send(_)) {
            return (Some(unlimited), outcome);
        }
        let alone = EngineProfile { joint_prefill: false, ..*profile };
        (None, choose_group(&alone, query, candidates))
    }

    pub(crate) fn group_candidates(
        &self,
        now: Moment,
        servers: &[&Server],
        slots: u32,
    ) -> Vec<GroupCandidate> {
        let mut zones: Vec<&ZoneName> = Vec::new();
        for server in servers {
            if !zones.contains(&&server.zone) {
                zones.push(&server.zone);
            }
        }
        zones.sort_unstable();
        let candidate = |server: &&Server| {
            let mut load = self.loads.load(&server.id, now);
            load.running[GapClass::Wide as usize] += self.withheld_slots(now, server, slots);
            GroupCandidate {
                load,
                degraded: self.is_degraded(&server.id, now),
                zone: zones.iter().position(|zone| **zone == server.zone).unwrap_or(0),
                same_zone: server.zone == self.bounds.zone,
            }
        };
        servers.iter().map(candidate).collect()
    }

    /// Chooses the server of a plain service. Where requests have several priorities, only the most
    /// urgent ones are sent to a full server.
    fn choose_plain(
        &self,
        now: Moment,
        request: &GatewayRequest,
        servers: &[&Server],
        seed: u64,
        terms: Option<AdmissionTerms>,
    ) -> ServerChoice {
        if let Some(reason) = terms.and_then(|terms| terms.yields)
            && self.has_scarce_slots(now, servers, None)
        {
            return ServerChoice::Yield(reason);
        }
        let waits = terms.is_some_and(|terms| terms.waits);
        ServerChoice::Plain(self.choose_server(now, &request.service, servers, seed, waits))
    }

    /// Chooses the server with the fewest requests per slot; none that is full if `waits`.
    pub(crate) fn choose_server(
        &self,
        now: Moment,
        service: &ServiceName,
        servers: &[&Server],
        seed: u64,
        waits: bool,
    ) -> Option<Server> {
        let mut random = SmallRng::seed_from_u64(seed);
        let is_limited = self.has_withheld_slots(now, service);
        let mut best: Option<(f64, &Server)> = None;
        for server in servers {
            let slots = server.slots.max(1);
            let running = self.loads.load(&server.id, now).running_total()
                + self.withheld_slots(now, server, slots);
            if (is_limited || waits) && running >= slots {
                continue;
            }
            let mut score = f64::from(running) / f64::from(slots);
            if self.is_degraded(&server.id, now) {
                score += DEGRADED_SCORE;
            }
            if server.zone != self.bounds.zone {
                score += OTHER_ZONE_SCORE;
            }
            score += random.random_range(0.0..SCORE_JITTER);
            if best.is_none_or(|(least, _)| score < least) {
                best = Some((score, server));
            }
        }
        best.map(|(_, server)| server.clone())
    }
}

/// Returns whether the chosen group has a helper that `is_limited` holds for.
fn has_helper(outcome: &ChoiceOutcome, is_limited: impl Fn(usize) -> bool) -> bool {
    let ChoiceOutcome::Send(choice) = outcome else { return false };
    choice.helpers.iter().any(|helper| is_limited(helper.position))
}

/// Keeps the servers for which `is_preferred` holds, if there are any; returns how many it does not hold
/// for.
fn prefer(servers: &mut Vec<&Server>, is_preferred: impl Fn(&Server) -> bool) -> usize {
    let others = servers.iter().filter(|server| !is_preferred(server)).count();
    if others > 0 && others < servers.len() {
        servers.retain(|server| is_preferred(server));
    }
    others
}
