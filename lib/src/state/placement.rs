//! Placement: at which engine a request is tried first.
//!
//! The entry host that a request reached places it by the expected time to its first token, from the
//! dispatchers' reports and from what it has placed itself since. Requests that share their first
//! block go to the same engine from every entry host while that costs no time, and long prompts stay
//! off a reserve of engines whose size follows the part of short requests in the load.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::attempt_messages::EngineLoad;
use super::engine_queue_order::LengthLevel;
use super::event::Considered;
use super::event::LeftOut;
use super::memory::long_memory;
use super::names::EngineName;
use super::names::ModelName;
use super::names::ZoneName;
use super::outcome::Reason;
use super::placement_estimate::EngineView;
use super::placement_estimate::PlacedPrefixes;
use super::placement_estimate::mix;
use super::placement_estimate::name_hash;
use super::placement_group::plan_group;
use super::placement_reserve::ShortReserve;
use super::prefix::BLOCK_TOKENS;
use super::request::PrefixHash;
use super::rules::EngineRole;
use super::time::Moment;

/// The fleet size above which only a sample of the engines is looked at.
const SAMPLE_ABOVE: usize = 32;

/// The engines in a sample.
const SAMPLE_SIZE: usize = 16;

/// The most engines named in a decision's explanation.
const CONSIDERED_MAX: usize = 8;

/// The estimates that count as equal to the best: this much longer.
const NEAR_SPAN: Duration = Duration::from_millis(30);

/// The estimates that count as equal to the best: this part longer.
const NEAR_PART: f64 = 0.05;

/// When a caller is told to come back if no engine is there.
const NO_TARGET_RETRY: Duration = Duration::from_secs(5);

/// When a caller is told to come back at the earliest.
const RETRY_MIN: Duration = Duration::from_secs(1);

/// How placement decides.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacerSettings {
    /// The time one way to an engine in another zone.
    pub zone_distance: Duration,
    /// The age from which a report is not trusted any more.
    pub stale_after: Duration,
    /// The prefill rate of an engine that has not been reported, in tokens a second.
    pub prefill_rate: u32,
    /// Whether lengths are kept apart.
    pub length_isolation: bool,
    /// Whether requests go where their prefix is.
    pub prefix_affinity: bool,
    /// Whether the dispatchers' reports are used, beside the host's own placements.
    pub peer_reports: bool,
    /// Whether some engines are kept free of long prompts.
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

/// An engine as placement may choose it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub engine: EngineName,
    /// Its zone.
    pub zone: ZoneName,
    /// Its memory, in tokens.
    pub memory: u32,
    /// What the rules use it for.
    pub role: EngineRole,
    /// Whether it takes new work, as far as this entry host knows.
    pub live: bool,
    hash: u64,
}

impl Candidate {
    /// Describes a live engine for requests of any length.
    pub fn new(engine: EngineName, zone: ZoneName, memory: u32) -> Candidate {
        let hash = name_hash(engine.as_str());
        Candidate { engine, zone, memory, role: EngineRole::Any, live: true, hash }
    }

    /// Returns the hash of the name, which ranks engines in the same way at every entry host.
    pub(crate) fn hash(&self) -> u64 {
        self.hash
    }
}

/// A request as placement sees it.
#[derive(Debug, Clone, Copy)]
pub struct PlacementQuery<'a> {
    /// The model.
    pub model: &'a ModelName,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The most tokens that the answer may have.
    pub output_tokens: u32,
    /// The hashes of the prompt's blocks.
    pub blocks: &'a [PrefixHash],
    /// The time left until the deadline.
    pub left: Duration,
    /// The engines that were tried in vain.
    pub tried: &'a [EngineName],
}

/// One segment of a prompt that is read by a group of engines.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentPlan {
    /// The engine.
    pub engine: EngineName,
    /// The prompt tokens of the segment; all but the last are whole blocks.
    pub tokens: u32,
    /// The answer tokens kept room for; zero but on the last.
    pub output_tokens: u32,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub enum Placement {
    /// To one engine.
    Engine {
        /// The engine.
        engine: EngineName,
        /// The expected time to the first token.
        estimate: Duration,
    },
    /// To a group of engines, in the order of the prompt.
    Group(Vec<SegmentPlan>),
    /// Nowhere.
    Refuse {
        /// Why.
        reason: Reason,
        /// When coming back may help.
        retry_after: Option<Duration>,
    },
}

/// A placement with its explanation.
#[derive(Debug, Clone, PartialEq)]
pub struct PlacementChoice {
    /// Where the request goes.
    pub placement: Placement,
    /// The engines that were looked at, the best first; a few at most.
    pub considered: Vec<Considered>,
}

/// An engine that was looked at.
#[derive(Debug, Clone)]
struct Judged<'a> {
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
    prefixes: PlacedPrefixes,
    reserve: ShortReserve,
    rng: SmallRng,
}

impl Placer {
    /// Makes a placer for an entry host in `zone`; `seed` decides between equals.
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
            prefixes: PlacedPrefixes::default(),
            reserve: ShortReserve::default(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes a dispatcher's report, made at `at` as far as is known.
    pub fn report(&mut self, at: Moment, load: EngineLoad) {
        let rate = self.settings.prefill_rate;
        let view = self.views.entry(load.engine.clone()).or_insert_with(|| EngineView::new(rate));
        view.report(at, load);
    }

    /// Forgets an engine that is no longer published.
    pub fn forget(&mut self, engine: &EngineName) {
        self.views.remove(engine);
    }

    /// Records that this entry host asked for room at an engine for a prompt of `tokens`.
    pub fn record_placement(&mut self, now: Moment, engine: &EngineName, tokens: u32) {
        let rate = self.settings.prefill_rate;
        let view = self.views.entry(engine.clone()).or_insert_with(|| EngineView::new(rate));
        view.record_placement(now, tokens);
    }

    /// Records that an engine read a prompt with `blocks`, and so has them cached.
    pub fn record_cached(&mut self, now: Moment, engine: &EngineName, blocks: &[PrefixHash]) {
        self.prefixes.learn(now, name_hash(engine.as_str()), blocks);
    }

    /// Chooses where a request goes.
    pub fn choose(
        &mut self,
        now: Moment,
        query: &PlacementQuery,
        candidates: &[Candidate],
    ) -> PlacementChoice {
        self.reserve.observe(now, query.prompt_tokens);
        let need = query.prompt_tokens.saturating_add(query.output_tokens);
        let largest = candidates.iter().filter(|c| c.live).map(|c| c.memory).max().unwrap_or(0);
        if need > long_memory(largest) && largest > 0 {
            return self.choose_group(now, query, candidates, largest);
        }
        let home = self.home(query, candidates);
        let mut options = self.options(now, query, candidates, home);
        if options.iter().all(|option| option.left_out.is_some()) {
            self.relax(&mut options);
        }
        options.sort_by_key(|option| (option.left_out.is_some(), option.estimate));
        let placement = self.pick(query, &options, home);
        PlacementChoice { placement, considered: explain(&options) }
    }

    /// Returns the engine to which every entry host sends requests with this first block.
    fn home(&self, query: &PlacementQuery, candidates: &[Candidate]) -> Option<u64> {
        let first = query.blocks.first().filter(|_| self.settings.prefix_affinity)?;
        let live = candidates.iter().filter(|candidate| candidate.live);
        live.map(|candidate| candidate.hash).max_by_key(|hash| mix(first.0 ^ hash))
    }

    fn options<'a>(
        &mut self,
        now: Moment,
        query: &PlacementQuery,
        candidates: &'a [Candidate],
        home: Option<u64>,
    ) -> Vec<Judged<'a>> {
        let share = self.reserve.share(now);
        let cutoff = ShortReserve::cutoff(share, candidates);
        let sample = self.sample(candidates, home);
        let views = sample.into_iter().map(|candidate| {
            let (estimate, left_out) = self.judge(now, query, candidate, home, cutoff);
            Judged { candidate, estimate, left_out }
        });
        views.collect()
    }

    /// Returns the engines to look at: all of a small fleet, a sample and the home of a large one.
    fn sample<'a>(&mut self, candidates: &'a [Candidate], home: Option<u64>) -> Vec<&'a Candidate> {
        if candidates.len() <= SAMPLE_ABOVE {
            return candidates.iter().collect();
        }
        let is_home = |candidate: &&Candidate| Some(candidate.hash) == home;
        let mut sample: Vec<&Candidate> = candidates.iter().filter(is_home).collect();
        while sample.len() < SAMPLE_SIZE {
            let at = self.rng.random_range(0..candidates.len());
            sample.push(&candidates[at]);
        }
        sample
    }

    fn judge(
        &self,
        now: Moment,
        query: &PlacementQuery,
        candidate: &Candidate,
        home: Option<u64>,
        cutoff: u64,
    ) -> (Duration, Option<LeftOut>) {
        let view = self.views.get(&candidate.engine);
        let cached = self.cached(query, candidate, home);
        let read = query.prompt_tokens.saturating_sub(cached).max(1);
        let fresh = EngineView::new(self.settings.prefill_rate);
        let view_or = view.unwrap_or(&fresh);
        let mut estimate = view_or.time_to_first(now, read, &self.settings);
        if candidate.zone != self.zone {
            estimate += self.settings.zone_distance * 2;
        }
        let need = query.prompt_tokens.saturating_add(query.output_tokens);
        let long = LengthLevel::of(query.prompt_tokens).is_long();
        estimate += view_or.memory_wait(need, long);
        let left_out = self.left_out(now, query, candidate, view, cutoff);
        (estimate, left_out)
    }

    /// Returns the tokens that are expected to be cached at an engine.
    fn cached(&self, query: &PlacementQuery, candidate: &Candidate, home: Option<u64>) -> u32 {
        if !self.settings.prefix_affinity {
            return 0;
        }
        let known = self.prefixes.cached(candidate.hash, query.blocks);
        let guess = if home == Some(candidate.hash) { self.prefixes.seen(query.blocks) } else { 0 };
        known.max(guess).saturating_mul(BLOCK_TOKENS)
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
        let bound = if long { long_memory(candidate.memory) } else { candidate.memory };
        if need > bound {
            return Some(LeftOut::NoMemory);
        }
        if self.is_reserved(query, candidate, cutoff) {
            return Some(LeftOut::ShortReserve);
        }
        let stale = view.is_some_and(|view| view.is_stale(now, self.settings.stale_after));
        (stale && self.settings.peer_reports).then_some(LeftOut::StaleReport)
    }

    /// Tells whether an engine is kept for requests of another length.
    fn is_reserved(&self, query: &PlacementQuery, candidate: &Candidate, cutoff: u64) -> bool {
        let long = LengthLevel::of(query.prompt_tokens).is_long();
        match candidate.role {
            EngineRole::Short => long,
            EngineRole::Long => !long,
            EngineRole::Any => long && self.settings.short_reserve && candidate.hash < cutoff,
        }
    }

    /// Takes back what left engines out for the sake of others when nothing else remains.
    fn relax(&self, options: &mut [Judged]) {
        for option in options {
            let soft =
                matches!(option.left_out, Some(LeftOut::ShortReserve | LeftOut::StaleReport));
            let role = option.candidate.role;
            if soft && role != EngineRole::Short {
                option.left_out = None;
            }
        }
    }

    fn pick(&mut self, query: &PlacementQuery, options: &[Judged], home: Option<u64>) -> Placement {
        let usable: Vec<&Judged> = options.iter().filter(|o| o.left_out.is_none()).collect();
        let Some(best) = usable.first() else {
            return Placement::Refuse {
                reason: Reason::NoTarget,
                retry_after: Some(NO_TARGET_RETRY),
            };
        };
        let late = best.estimate.saturating_sub(query.left);
        if !late.is_zero() {
            let retry_after = Some(late.max(RETRY_MIN));
            return Placement::Refuse { reason: Reason::DeadlineTooShort, retry_after };
        }
        let bound = best.estimate + NEAR_SPAN + best.estimate.mul_f64(NEAR_PART);
        let near: Vec<&&Judged> = usable.iter().filter(|o| o.estimate <= bound).collect();
        let at_home = near.iter().find(|option| home == Some(option.candidate.hash));
        let chosen = match at_home {
            Some(option) => option,
            None => near[self.rng.random_range(0..near.len())],
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
            let bound = long_memory(option.candidate.memory);
            (option.candidate, view.map_or(bound, |view| view.free_for_long()).min(bound))
        });
        let free: Vec<(&Candidate, u32)> = free.collect();
        let placement = plan_group(query, &free, largest);
        PlacementChoice { placement, considered: explain(&options) }
    }
}

fn explain(options: &[Judged]) -> Vec<Considered> {
    let first = options.iter().take(CONSIDERED_MAX);
    let considered = first.map(|option| Considered {
        engine: option.candidate.engine.clone(),
        estimate: option.estimate,
        left_out: option.left_out,
    });
    considered.collect()
}
