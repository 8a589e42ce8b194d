//! The queue of one engine at its dispatcher: which attempts may start there, and in which order.
//!
//! The dispatcher keeps an exact account of the engine's memory and of the prompt tokens that the
//! engine still has to read. It releases few tokens at a time, so that the queue and not the engine
//! decides the order, and one long prompt at a time, which the engine reads at low priority beside
//! the short ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::attempt_messages::Denial;
use super::attempt_messages::EngineLoad;
use super::attempt_messages::Finished;
use super::attempt_messages::FirstToken;
use super::attempt_messages::Grant;
use super::attempt_messages::StartRequest;
use super::engine_queue_granted::GrantedAttempt;
use super::engine_queue_granted::ListedAttempt;
use super::engine_queue_granted::OrphanCandidate;
use super::engine_queue_order::DueTime;
use super::engine_queue_order::FairSpacing;
use super::engine_queue_order::LENGTH_LEVELS;
use super::engine_queue_order::LONG_TOKENS;
use super::engine_queue_order::LengthLevel;
use super::engine_queue_policy::QueuePolicy;
use super::engine_queue_queued::QueuePosition;
use super::engine_queue_queued::QueuedRequest;
use super::engine_queue_rate::RateEstimator;
use super::engine_queue_release::ReleaseLimits;
use super::engine_queue_verdict::Verdict;
use super::memory::MemoryAccount;
use super::memory::long_prompt_memory;
use super::memory_shares::MemoryShares;
use super::names::AttemptId;
use super::names::EngineName;
use super::names::Incarnation;
use super::names::ModelName;
use super::outcome::Reason;
use super::prefix::BLOCK_TOKENS;
use super::prefix::CacheEvent;
use super::prefix::PrefixIndex;
use super::time::Moment;

/// The maximum number of requests in the queue of one engine.
const MAX_QUEUED: usize = 4_096;

/// The queue, memory account and estimated rates of one engine.
#[derive(Debug, Clone)]
pub struct EngineQueue {
    engine: EngineName,
    policy: QueuePolicy,
    memory: MemoryAccount,
    rates: RateEstimator,
    prefixes: PrefixIndex,
    spacing: FairSpacing,
    queued: BTreeMap<QueuePosition, QueuedRequest>,
    positions: BTreeMap<AttemptId, QueuePosition>,
    granted: BTreeMap<AttemptId, GrantedAttempt>,
    verdicts: Vec<Verdict>,
    models: Vec<ModelName>,
    healthy: bool,
    now: Moment,
    seq: u64,
    read_tokens: u64,
}

impl EngineQueue {
    /// Creates the queue of an engine with `memory` tokens.
    ///
    /// ```
    /// use wasabicrank_lib::state::{EngineName, EngineQueue, Moment, QueuePolicy};
    /// let mut queue = EngineQueue::new(EngineName::new("e1"), 400_000, QueuePolicy::default());
    /// assert!(queue.poll(Moment(0)).is_empty());
    /// assert_eq!(queue.load().held, 0);
    /// ```
    pub fn new(engine: EngineName, memory: u32, policy: QueuePolicy) -> EngineQueue {
        let rates =
            RateEstimator::new(policy.prefill_rate, policy.token_interval, policy.answer_tokens);
        EngineQueue {
            engine,
            memory: MemoryAccount::new(memory),
            rates,
            prefixes: PrefixIndex::new((memory / BLOCK_TOKENS).max(1) as usize),
            spacing: FairSpacing::default(),
            queued: BTreeMap::new(),
            positions: BTreeMap::new(),
            granted: BTreeMap::new(),
            verdicts: Vec::new(),
            models: Vec::new(),
            healthy: true,
            now: Moment(0),
            seq: 0,
            read_tokens: 0,
            policy,
        }
    }

    /// Accepts a start request from the entry host of incarnation `origin`; `poll` returns the
    /// reply.
    ///
    /// A repeated request changes nothing.
    pub fn submit(&mut self, now: Moment, origin: Incarnation, request: StartRequest) {
        self.now = now;
        let attempt = request.attempt;
        if self.positions.contains_key(&attempt) || self.granted.contains_key(&attempt) {
            return;
        }
        let queued = self.make_queued(now, origin, request);
        if let Some(denial) = self.denial_on_arrival(now, &queued) {
            self.deny(&queued, denial);
            return;
        }
        if queued.request.segment {
            self.grant(now, queued);
            return;
        }
        self.enqueue(now, queued);
    }

    fn make_queued(
        &self,
        now: Moment,
        origin: Incarnation,
        request: StartRequest,
    ) -> QueuedRequest {
        let uncached = self.uncached(&request);
        let rate = self.rates.prefill_rate(now);
        let prefill_time = Duration::from_secs_f64(f64::from(uncached) / rate);
        let level = LengthLevel::of(uncached);
        let deadline = now + request.left;
        QueuedRequest { origin, queued_at: now, deadline, level, prefill_time, request }
    }

    /// Returns the tokens of a prompt that the engine is expected to read.
    fn uncached(&self, request: &StartRequest) -> u32 {
        if !self.policy.prefix_reuse {
            return request.prompt_tokens;
        }
        let cached = self.prefixes.cached_tokens(&request.blocks);
        request.prompt_tokens.saturating_sub(cached).max(1)
    }

    /// Returns the denial of a new request that cannot be queued or granted.
    fn denial_on_arrival(&self, now: Moment, queued: &QueuedRequest) -> Option<Denial> {
        let need = queued.memory_need();
        if !self.healthy {
            return Some(self.denial(queued, Reason::TargetFailed, None));
        }
        if need > self.memory_limit(queued) {
            return Some(self.denial(queued, Reason::PromptTooLong, None));
        }
        if queued.request.segment {
            let full = need > self.memory_shares().free_for(queued.prompt_level(), false);
            return full.then(|| self.denial(queued, Reason::MemoryFull, Some(self.memory_wait())));
        }
        if self.queued.len() >= MAX_QUEUED {
            return Some(self.denial(queued, Reason::Overloaded, Some(self.memory_wait())));
        }
        let wait = self.expected_wait(now, queued);
        let answer_time = self.rates.answer_time(queued.request.output_tokens);
        let total = wait + queued.prefill_time + answer_time;
        let late = total.saturating_sub(queued.request.left);
        let reason = Reason::DeadlineTooShort;
        (!late.is_zero()).then(|| self.denial(queued, reason, Some(late)))
    }

    /// Returns the memory of the engine that a request may use, in tokens.
    fn memory_limit(&self, queued: &QueuedRequest) -> u32 {
        let total = self.memory.total();
        if queued.prompt_level().is_long() { long_prompt_memory(total) } else { total }
    }

    /// Returns the expected time until the prefill of a request starts.
    fn expected_wait(&self, now: Moment, queued: &QueuedRequest) -> Duration {
        let rate = self.rates.prefill_rate(now);
        let ahead = self.queued.values().filter(|other| self.is_ahead(other, queued));
        let ahead: u64 = ahead.map(|other| u64::from(self.uncached(&other.request))).sum();
        let unread = self.granted.values().filter(|granted| granted.level <= queued.level);
        let unread: u64 = unread.map(|granted| u64::from(self.unread_tokens(granted, rate))).sum();
        Duration::from_secs_f64((ahead + unread) as f64 / rate)
    }

    fn is_ahead(&self, other: &QueuedRequest, queued: &QueuedRequest) -> bool {
        !self.policy.length_isolation || other.level <= queued.level
    }

    /// Returns the estimated tokens that the engine still has to read for an attempt.
    fn unread_tokens(&self, granted: &GrantedAttempt, rate: f64) -> u32 {
        if !granted.prefilling {
            return 0;
        }
        if !granted.metered {
            return granted.uncached;
        }
        let passed = self.now.since(granted.granted_at).as_secs_f64();
        let others = self.read_tokens.saturating_sub(granted.read_before);
        let done = (passed * rate - others as f64).max(0.0);
        granted.uncached.saturating_sub(done as u32)
    }

    /// Returns a rough estimate of the time until memory that is full now has room.
    fn memory_wait(&self) -> Duration {
        self.rates.answer_time(u32::MAX)
    }

    fn enqueue(&mut self, now: Moment, queued: QueuedRequest) {
        let request = &queued.request;
        let (level, prefill_time) = (queued.level, queued.prefill_time);
        let arrived = Moment(now.0.saturating_sub(micros(request.waited)));
        let start = self.spacing.enqueue(now, arrived, request, level, prefill_time);
        let due = if self.policy.length_isolation {
            DueTime::new(start, prefill_time, self.policy.age_factor, request.priority)
        } else {
            DueTime::new(arrived, Duration::ZERO, 0.0, Default::default())
        };
        self.seq += 1;
        self.positions.insert(request.attempt, (due, self.seq));
        self.queued.insert((due, self.seq), queued);
    }

    /// Withdraws a queued request or an unused grant.
    pub fn withdraw(&mut self, now: Moment, attempt: AttemptId) {
        self.now = now;
        self.remove_queued(now, attempt);
        self.release(now, attempt, None);
    }

    fn remove_queued(&mut self, now: Moment, attempt: AttemptId) -> Option<QueuedRequest> {
        let position = self.positions.remove(&attempt)?;
        let queued = self.queued.remove(&position)?;
        self.spacing.dequeue(now, &queued.request.customer, queued.level);
        Some(queued)
    }

    /// Records that an attempt's prefill has ended.
    pub fn first_token(&mut self, now: Moment, first: &FirstToken) {
        self.now = now;
        let Some(granted) = self.granted.get_mut(&first.attempt) else { return };
        let Some(request) = granted.request.as_ref().filter(|_| granted.prefilling) else { return };
        granted.prefilling = false;
        let read = request.prompt_tokens.saturating_sub(first.cached);
        self.prefixes.correct(now, &request.blocks, first.cached);
        if granted.metered {
            self.rates.end_prefill(now, granted.uncached, Some(read));
        }
        self.read_tokens += u64::from(read);
    }

    /// Records that an attempt has ended and the engine no longer holds anything for it.
    pub fn finished(&mut self, now: Moment, finished: &Finished) {
        self.now = now;
        if !finished.failed {
            self.rates.record_answer(finished.output_tokens, finished.decode);
        }
        self.remove_queued(now, finished.attempt);
        self.release(now, finished.attempt, None);
    }

    /// Removes a granted attempt and releases its memory.
    fn release(&mut self, now: Moment, attempt: AttemptId, read: Option<u32>) {
        self.memory.release(attempt);
        let Some(granted) = self.granted.remove(&attempt) else { return };
        if granted.prefilling && granted.metered {
            self.rates.end_prefill(now, granted.uncached, read);
        }
    }

    /// Drops the queued requests of a dead incarnation. Its attempts on the engine stay in the
    /// memory account until the engine no longer lists them.
    pub fn owner_gone(&mut self, now: Moment, owner: Incarnation) {
        self.now = now;
        let lost = self.queued.values().filter(|queued| queued.origin == owner);
        let lost: Vec<AttemptId> = lost.map(|queued| queued.request.attempt).collect();
        for attempt in lost {
            self.remove_queued(now, attempt);
        }
        for granted in self.granted.values_mut().filter(|granted| granted.origin == owner) {
            granted.ownerless = true;
        }
    }

    /// Reconciles the memory account with the attempts that the engine lists.
    ///
    /// An expired grant that two consecutive listings lack is released. A listed attempt that the
    /// account lacks is adopted. Returns the attempts that no grant of a live owner covers.
    pub fn reconcile(&mut self, now: Moment, listed: &[ListedAttempt]) -> Vec<OrphanCandidate> {
        self.now = now;
        self.drop_absent(now, listed);
        let mut candidates = Vec::new();
        for item in listed {
            let adopted = || GrantedAttempt::adopted(now, item.owner);
            let covered = self.granted.entry(item.attempt).or_insert_with(adopted).is_covered();
            let reserved = self.memory.reserved(item.attempt).unwrap_or(0);
            self.memory.adopt(item.attempt, reserved.max(item.held));
            if !covered {
                candidates.push(OrphanCandidate { attempt: item.attempt, owner: item.owner });
            }
        }
        candidates
    }

    fn drop_absent(&mut self, now: Moment, listed: &[ListedAttempt]) {
        let present: BTreeSet<AttemptId> = listed.iter().map(|item| item.attempt).collect();
        let mut absent = Vec::new();
        for (attempt, granted) in &mut self.granted {
            if granted.record_listing(now, present.contains(attempt)) {
                absent.push(*attempt);
            }
        }
        for attempt in absent {
            self.release(now, attempt, None);
        }
    }

    /// Applies the engine's cache events to the prefix index.
    pub fn apply_cache_events(&mut self, now: Moment, events: &[CacheEvent]) {
        self.prefixes.apply_events(now, events);
    }

    /// Sets the models that are loaded on the engine.
    pub fn set_models(&mut self, models: Vec<ModelName>) {
        self.models = models;
    }

    /// Sets whether the engine responds. While it does not, new and queued requests are
    /// denied.
    pub fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
    }

    /// Grants the requests that may start, denies those that cannot meet their deadline, and
    /// returns the replies.
    pub fn poll(&mut self, now: Moment) -> Vec<Verdict> {
        self.now = now;
        self.deny_late(now);
        self.grant_next(now);
        self.spacing.prune(now);
        std::mem::take(&mut self.verdicts)
    }

    /// Returns the next time at which `poll` may return a reply without any other input.
    pub fn next_wake(&self) -> Option<Moment> {
        self.queued.values().map(|queued| self.latest_start(queued)).min()
    }

    /// Returns the last time at which a request can start and still meet its deadline.
    fn latest_start(&self, queued: &QueuedRequest) -> Moment {
        let answer = self.rates.answer_time(queued.request.output_tokens);
        let service = micros(queued.prefill_time + answer);
        Moment(queued.deadline.0.saturating_sub(service))
    }

    fn deny_late(&mut self, now: Moment) {
        let late =
            self.queued.values().filter(|queued| !self.healthy || self.latest_start(queued) < now);
        let late: Vec<AttemptId> = late.map(|queued| queued.request.attempt).collect();
        let reason = if self.healthy { Reason::DeadlineTooShort } else { Reason::TargetFailed };
        for attempt in late {
            let Some(queued) = self.remove_queued(now, attempt) else { continue };
            let wait = self.expected_wait(now, &queued);
            let room_in = self.healthy.then_some(wait.max(Duration::from_secs(1)));
            let denial = self.denial(&queued, reason, room_in);
            self.deny(&queued, denial);
        }
    }

    fn grant_next(&mut self, now: Moment) {
        let mut limits = self.release_limits();
        let mut memory = self.memory_shares();
        let mut chosen = Vec::new();
        for (position, queued) in &self.queued {
            if limits.is_exhausted() {
                break;
            }
            let (need, level) = (queued.memory_need(), queued.prompt_level());
            let due = position.0.is_past(now);
            if !memory.fits(need, level, due) {
                if due {
                    memory.set_aside(need, level);
                }
                continue;
            }
            if limits.try_add(queued.level, self.uncached(&queued.request)) {
                memory.take(need, level);
                chosen.push(queued.request.attempt);
            } else if !self.policy.length_isolation {
                break;
            }
        }
        for attempt in chosen {
            let Some(queued) = self.remove_queued(now, attempt) else { continue };
            self.grant(now, queued);
        }
    }

    /// Returns the free memory and the memory that prompts of each length level hold.
    fn memory_shares(&self) -> MemoryShares {
        let mut held = [0u32; LENGTH_LEVELS];
        for (attempt, granted) in &self.granted {
            let Some(request) = &granted.request else { continue };
            let reserved = self.memory.reserved(*attempt).unwrap_or(0);
            let sum = &mut held[LengthLevel::of(request.prompt_tokens).index()];
            *sum = sum.saturating_add(reserved);
        }
        MemoryShares::new(&self.memory, held)
    }

    /// Returns the limits on what may be released to the engine, with the tokens in prefill
    /// counted.
    fn release_limits(&self) -> ReleaseLimits {
        let mut limits = ReleaseLimits::new(&self.policy);
        // A segment is read only after the earlier ones, so it does not keep other requests from
        // starting.
        for granted in self.granted.values().filter(|granted| granted.prefilling && granted.metered)
        {
            limits.add(granted.level, granted.uncached);
        }
        limits
    }

    fn grant(&mut self, now: Moment, queued: QueuedRequest) {
        if self.memory.reserve(queued.request.attempt, queued.memory_need()).is_err() {
            return;
        }
        let request = queued.request;
        let uncached = self.uncached(&request);
        let metered = !request.segment;
        let level = LengthLevel::of(uncached);
        if metered {
            self.rates.start_prefill(now, uncached);
        }
        let valid = if request.segment { request.left } else { self.policy.grant_valid };
        let grant = Grant {
            attempt: request.attempt,
            engine: self.engine.clone(),
            valid,
            cached: request.prompt_tokens.saturating_sub(uncached),
            queued: now.since(queued.queued_at),
        };
        let granted = GrantedAttempt {
            origin: queued.origin,
            level,
            uncached,
            granted_at: now,
            read_before: self.read_tokens,
            valid_until: now + valid,
            prefilling: true,
            metered,
            missed_listings: 0,
            ownerless: false,
            request: Some(request),
        };
        self.granted.insert(grant.attempt, granted);
        self.verdicts.push(Verdict::Grant { to: queued.origin, grant });
    }

    fn denial(&self, queued: &QueuedRequest, reason: Reason, room_in: Option<Duration>) -> Denial {
        Denial { attempt: queued.request.attempt, engine: self.engine.clone(), reason, room_in }
    }

    fn deny(&mut self, queued: &QueuedRequest, denial: Denial) {
        self.verdicts.push(Verdict::Deny { to: queued.origin, deny: denial });
    }

    /// Returns the load to report to peers.
    pub fn load(&self) -> EngineLoad {
        let rate = self.rates.prefill_rate(self.now);
        let queued = self.queued.values().map(|q| (q.level, self.uncached(&q.request)));
        let unread = self.granted.values().map(|g| (g.level, self.unread_tokens(g, rate)));
        let mut levels = [0u32; LENGTH_LEVELS];
        for (level, tokens) in queued.chain(unread) {
            let sum = &mut levels[level.index()];
            *sum = sum.saturating_add(tokens);
        }
        let (short, long) = levels.split_at(LengthLevel::of(LONG_TOKENS).index());
        EngineLoad {
            engine: self.engine.clone(),
            short_tokens: sum(short),
            long_tokens: sum(long),
            level_tokens: levels,
            requests: u32::try_from(self.queued.len() + self.granted.len()).unwrap_or(u32::MAX),
            held: self.memory.held(),
            memory: self.memory.total(),
            prefill_rate: rate as u32,
            decode_rate: self.rates.decode_rate(),
            healthy: self.healthy,
            models: self.models.clone(),
        }
    }
}

fn sum(tokens: &[u32]) -> u32 {
    tokens.iter().fold(0, |sum, tokens| sum.saturating_add(*tokens))
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
