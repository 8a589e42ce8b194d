//! Placement: the choice of the engine for each attempt of a request.
//!
//! The entry host that a request reached chooses the engine with the shortest expected time to the
//! first token, estimated from the dispatchers' reports and its own placements since. Requests that
//! share their first block go to the same engine from every entry host while that costs no time.
//! Long prompts are kept off a reserve of engines whose size follows the share of short requests in
//! the load.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::attempt_messages::EngineLoad;
use super::engine_queue_order::LengthLevel;
use super::event::Considered;
use super::event::LeftOut;
use super::memory::long_prompt_memory;
use super::names::EngineName;
use super::names::ModelName;
use super::names::ZoneName;
use super::outcome::Reason;
use super::placement_estimate::CachedPrefixes;
use super::placement_estimate::EngineView;
use super::placement_estimate::mix;
use super::placement_estimate::name_hash;
use super::placement_group::plan_group;
use super::placement_reserve::ShortReserve;
use super::prefix::BLOCK_TOKENS;
use super::request::PrefixHash;
use super::rules::EngineRole;
use super::time::Moment;

/// The fleet size above which only a sample of the engines is considered.
const SAMPLING_THRESHOLD: usize = 32;

/// The number of engines in a sample.
const SAMPLE_SIZE: usize = 16;

/// The maximum number of engines listed in `PlacementChoice::considered`.
const MAX_CONSIDERED: usize = 8;

/// The time by which an estimate may exceed the best one and still count as equal to it.
const TIE_TIME: Duration = Duration::from_millis(30);

/// The fraction by which an estimate may exceed the best one in addition.
const TIE_FRACTION: f64 = 0.05;

/// The retry delay returned when no engine is available.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The minimum retry delay of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The parameters of placement.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacerSettings {
    /// The one-way network latency to an engine in another zone.
    pub zone_distance: Duration,
    /// The age above which a report is stale.
    pub stale_after: Duration,
    /// The assumed prefill rate of an engine without a report, in tokens a second.
    pub prefill_rate: u32,
    /// Whether engines are expected to read the prompts of lower length levels first.
    pub length_isolation: bool,
    /// Whether requests prefer an engine that has their prefix cached.
    pub prefix_affinity: bool,
    /// Whether the dispatchers' reports are used in addition to the host's own placements.
    pub peer_reports: bool,
    /// Whether some engines are reserved for short prompts.
    pub short_reserve: bool,
}

impl Default for PlacerSettings {
    fn default() -> Self {
        PlacerSettings {
            zone_distance: Duration::from_micros(1_500),
            stale_after: Duration::from_secs(3),
            prefill_rate: 20_000,
            length_isolation: true,
            prefix_affinity: true,
            peer_reports: true,
            short_reserve: true,
        }
    }
}

/// An engine that placement may choose.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub engine: EngineName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its memory, in tokens.
    pub memory: u32,
    /// Its role according to the rules.
    pub role: EngineRole,
    /// Whether it accepts new work, as far as this entry host knows.
    pub live: bool,
    hash: u64,
}

impl Candidate {
    /// Creates a live candidate for requests of any length.
    pub fn new(engine: EngineName, zone: ZoneName, memory: u32) -> Candidate {
        let hash = name_hash(engine.as_str());
        Candidate { engine, zone, memory, role: EngineRole::Any, live: true, hash }
    }

    /// Returns the hash of the name, by which every entry host ranks the engines in the same way.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }
}

/// The properties of a request that placement uses.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The maximum length of the answer, in tokens.
    pub output_tokens: u32,
    /// The hashes of the prompt's blocks.
    pub blocks: &'a [PrefixHash],
    /// The time left until the deadline.
    pub left: Duration,
    /// The engines that were already tried without success.
    pub tried: &'a [EngineName],
}

/// One segment of a prompt that a group of engines reads.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentPlan {
    /// The engine.
    pub engine: EngineName,
    /// The prompt tokens of the segment. Every segment but the last consists of whole blocks.
    pub tokens: u32,
    /// The answer tokens to reserve memory for; zero for all segments but the last.
    pub output_tokens: u32,
}

/// The engine or engines of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// One engine.
    Engine {
        /// The engine.
        engine: EngineName,
        /// The expected time to the first token.
        estimate: Duration,
    },
    /// A group of engines, in the order of the segments in the prompt.
    Group(Vec<SegmentPlan>),
    /// No engine; the request is refused.
    Refuse {
        /// The reason.
        reason: Reason,
        /// The time after which a retry may succeed.
        retry_after: Option<Duration>,
    },
}

/// A placement with the engines from which it was chosen.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementChoice {
    /// The placement.
    pub placement: Placement,
    /// The considered engines, the best first, limited to a few.
    pub considered: Vec<Considered>,
}

/// A considered engine with its estimate.
#[derive(Debug, Clone)]
struct Evaluated<'a> {
    candidate: &'a Candidate,
    estimate: Duration,
    left_out: Option<LeftOut>,
}

/// Places requests at one entry host.
#[derive(Debug, Clone)]
pub struct Placer {
    settings: PlacerSettings,
    zone: ZoneName,
    views: BTreeMap<EngineName, EngineView>,
    prefixes: CachedPrefixes,
    reserve: ShortReserve,
    rng: SmallRng,
}

impl Placer {
    /// Creates a placer for an entry host in `zone`; `seed` drives the random choices.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_lib::state::*;
    /// let zone = ZoneName::new("a");
    /// let model = ModelName::new("m");
    /// let mut placer = Placer::new(PlacerSettings::default(), zone.clone(), 1);
    /// let candidates = [Candidate::new(EngineName::new("e1"), zone, 400_000)];
    /// let query = PlacementQuery {
    ///     model: &model,
    ///     prompt_tokens: 1_000,
    ///     output_tokens: 100,
    ///     blocks: &[],
    ///     left: Duration::from_secs(30),
    ///     tried: &[],
    /// };
    /// let choice = placer.choose(Moment(0), &query, &candidates);
    /// assert!(matches!(choice.placement, Placement::Engine { .. }));
    /// ```
    pub fn new(settings: PlacerSettings, zone: ZoneName, seed: u64) -> Placer {
        Placer {
            settings,
            zone,
            views: BTreeMap::new(),
            prefixes: CachedPrefixes::default(),
            reserve: ShortReserve::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Records a dispatcher's report that was made at about `at`.
    pub fn report(&mut self, at: Moment, load: EngineLoad) {
        let rate = self.settings.prefill_rate;
        let view = self.views.entry(load.engine.clone()).or_insert_with(|| EngineView::new(rate));
        view.report(at, load);
    }

    /// Removes an engine that is no longer published.
    pub fn forget(&mut self, engine: &EngineName) {
        self.views.remove(engine);
    }

    /// Records that this entry host sent a start request for a prompt of `tokens` to an engine.
    pub fn record_placement(&mut self, now: Moment, engine: &EngineName, tokens: u32) {
        let rate = self.settings.prefill_rate;
        let view = self.views.entry(engine.clone()).or_insert_with(|| EngineView::new(rate));
        view.record_placement(now, tokens);
    }

    /// Records that an engine read a prompt with `blocks` and has them cached.
    pub fn record_cached(&mut self, now: Moment, engine: &EngineName, blocks: &[PrefixHash]) {
        self.prefixes.record_cached(now, name_hash(engine.as_str()), blocks);
    }

    /// Chooses the placement of a request.
    pub fn choose(
        &mut self,
        now: Moment,
        query: &PlacementQuery,
        candidates: &[Candidate],
    ) -> PlacementChoice {
        self.reserve.observe(now, query.prompt_tokens);
        let need = query.prompt_tokens.saturating_add(query.output_tokens);
        let largest = candidates.iter().filter(|c| c.live).map(|c| c.memory).max().unwrap_or(0);
        if need > long_prompt_memory(largest) && largest > 0 {
            return self.choose_group(now, query, candidates, largest);
        }
        let preferred = self.preferred_engine(query, candidates);
        let mut options = self.options(now, query, candidates, preferred);
        if options.iter().all(|option| option.left_out.is_some()) {
            self.readmit(&mut options);
        }
        options.sort_by_key(|option| (option.left_out.is_some(), option.estimate));
        let placement = self.select(query, &options, preferred);
        PlacementChoice { placement, considered: list_considered(&options) }
    }

    /// Returns the hash of the engine that every entry host prefers for requests with this first
    /// block, by rendezvous hashing.
    fn preferred_engine(&self, query: &PlacementQuery, candidates: &[Candidate]) -> Option<u64> {
        let first = query.blocks.first().filter(|_| self.settings.prefix_affinity)?;
        let live = candidates.iter().filter(|candidate| candidate.live);
        live.map(|candidate| candidate.hash).max_by_key(|hash| mix(first.0 ^ hash))
    }

    fn options<'a>(
        &mut self,
        now: Moment,
        query: &PlacementQuery,
        candidates: &'a [Candidate],
        preferred: Option<u64>,
    ) -> Vec<Evaluated<'a>> {
        let share = self.reserve.share(now);
        let cutoff = ShortReserve::cutoff(share, candidates);
        let sample = self.sample(candidates, preferred);
        let views = sample.into_iter().map(|candidate| {
            let (estimate, left_out) = self.evaluate(now, query, candidate, preferred, cutoff);
            Evaluated { candidate, estimate, left_out }
        });
        views.collect()
    }

    /// Returns the engines to consider: all of a small fleet, or the preferred engine and a random
    /// sample of a large one.
    fn sample<'a>(
        &mut self,
        candidates: &'a [Candidate],
        preferred: Option<u64>,
    ) -> Vec<&'a Candidate> {
        if candidates.len() <= SAMPLING_THRESHOLD {
            return candidates.iter().collect();
        }
        let is_preferred = |candidate: &&Candidate| Some(candidate.hash) == preferred;
        let mut sample: Vec<&Candidate> = candidates.iter().filter(is_preferred).collect();
        while sample.len() < SAMPLE_SIZE {
            let index = self.rng.random_range(0..candidates.len());
            sample.push(&candidates[index]);
        }
        sample
    }

    fn evaluate(
        &self,
        now: Moment,
        query: &PlacementQuery,
        candidate: &Candidate,
        preferred: Option<u64>,
        cutoff: u64,
    ) -> (Duration, Option<LeftOut>) {
        let view = self.views.get(&candidate.engine);
        let cached = self.cached(query, candidate, preferred);
        let uncached = query.prompt_tokens.saturating_sub(cached).max(1);
        let unreported = EngineView::new(self.settings.prefill_rate);
        let known_view = view.unwrap_or(&unreported);
        let mut estimate = known_view.time_to_first_token(now, uncached, &self.settings);
        if candidate.zone != self.zone {
            estimate += self.settings.zone_distance * 2;
        }
        let need = query.prompt_tokens.saturating_add(query.output_tokens);
        let long = LengthLevel::of(query.prompt_tokens).is_long();
        estimate += known_view.memory_wait(need, long);
        let left_out = self.left_out(now, query, candidate, view, cutoff);
        (estimate, left_out)
    }

    /// Returns the tokens that are expected to be cached at an engine.
    fn cached(&self, query: &PlacementQuery, candidate: &Candidate, preferred: Option<u64>) -> u32 {
        if !self.settings.prefix_affinity {
            return 0;
        }
        let recorded = self.prefixes.cached(candidate.hash, query.blocks);
        let is_preferred = preferred == Some(candidate.hash);
        let assumed = if is_preferred { self.prefixes.cached_anywhere(query.blocks) } else { 0 };
        recorded.max(assumed).saturating_mul(BLOCK_TOKENS)
    }

    fn left_out(
        &self,
        now: Moment,
        query: &PlacementQuery,
        candidate: &Candidate,
        view: Option<&EngineView>,
        cutoff: u64,
    ) -> Option<LeftOut> {
        let need = query.prompt_tokens.saturating_add(query.output_tokens);
        let healthy = view.is_none_or(EngineView::is_healthy);
        if !candidate.live || !healthy || query.tried.contains(&candidate.engine) {
            return Some(LeftOut::NotLive);
        }
        if view.is_some_and(|view| !view.has_model(query.model)) {
            return Some(LeftOut::NoModel);
        }
        let long = LengthLevel::of(query.prompt_tokens).is_long();
        let bound = if long { long_prompt_memory(candidate.memory) } else { candidate.memory };
        if need > bound {
            return Some(LeftOut::NoMemory);
        }
        if self.is_reserved(query, candidate, cutoff) {
            return Some(LeftOut::ShortReserve);
        }
        let stale = view.is_some_and(|view| view.is_stale(now, self.settings.stale_after));
        (stale && self.settings.peer_reports).then_some(LeftOut::StaleReport)
    }

    /// Returns whether an engine is reserved for requests of another length.
    fn is_reserved(&self, query: &PlacementQuery, candidate: &Candidate, cutoff: u64) -> bool {
        let long = LengthLevel::of(query.prompt_tokens).is_long();
        match candidate.role {
            EngineRole::Short => long,
            EngineRole::Long => !long,
            EngineRole::Any => long && self.settings.short_reserve && candidate.hash < cutoff,
        }
    }

    /// Readmits engines that were left out because of the reserve or a stale report. Used when no
    /// other engine remains. Engines with the role of serving short requests stay left out.
    fn readmit(&self, options: &mut [Evaluated]) {
        for option in options {
            let readmissible =
                matches!(option.left_out, Some(LeftOut::ShortReserve | LeftOut::StaleReport));
            let role = option.candidate.role;
            if readmissible && role != EngineRole::Short {
                option.left_out = None;
            }
        }
    }

    fn select(
        &mut self,
        query: &PlacementQuery,
        options: &[Evaluated],
        preferred: Option<u64>,
    ) -> Placement {
        let usable: Vec<&Evaluated> = options.iter().filter(|o| o.left_out.is_none()).collect();
        let Some(best) = usable.first() else {
            return Placement::Refuse {
                reason: Reason::NoTarget,
                retry_after: Some(NO_TARGET_RETRY_AFTER),
            };
        };
        let late = best.estimate.saturating_sub(query.left);
        if !late.is_zero() {
            let retry_after = Some(late.max(MIN_RETRY_AFTER));
            return Placement::Refuse { reason: Reason::DeadlineTooShort, retry_after };
        }
        let bound = best.estimate + TIE_TIME + best.estimate.mul_f64(TIE_FRACTION);
        let ties: Vec<&&Evaluated> = usable.iter().filter(|o| o.estimate <= bound).collect();
        let preferred_tie = ties.iter().find(|option| preferred == Some(option.candidate.hash));
        let chosen = match preferred_tie {
            Some(option) => option,
            None => ties[self.rng.random_range(0..ties.len())],
        };
        Placement::Engine { engine: chosen.candidate.engine.clone(), estimate: chosen.estimate }
    }

    fn choose_group(
        &mut self,
        now: Moment,
        query: &PlacementQuery,
        candidates: &[Candidate],
        largest: u32,
    ) -> PlacementChoice {
        let mut options = self.options(now, query, candidates, None);
        for option in &mut options {
            if option.left_out == Some(LeftOut::NoMemory) {
                option.left_out = None;
            }
        }
        options.sort_by_key(|option| (option.left_out.is_some(), option.estimate));
        let usable = options.iter().filter(|option| option.left_out.is_none());
        let free = usable.map(|option| {
            let view = self.views.get(&option.candidate.engine);
            let bound = long_prompt_memory(option.candidate.memory);
            (option.candidate, view.map_or(bound, |view| view.free_for_long()).min(bound))
        });
        let free: Vec<(&Candidate, u32)> = free.collect();
        let placement = plan_group(query, &free, largest);
        PlacementChoice { placement, considered: list_considered(&options) }
    }
}

fn list_considered(options: &[Evaluated]) -> Vec<Considered> {
    let listed = options.iter().take(MAX_CONSIDERED).map(|option| Considered {
        engine: option.candidate.engine.clone(),
        estimate: option.estimate,
        left_out: option.left_out,
    });
    listed.collect()
}
