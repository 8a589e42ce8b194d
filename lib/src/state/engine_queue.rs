//! The queue of one engine at its dispatcher: who may start there, in which order.
//!
//! The dispatcher keeps the exact account of the engine's memory and of the prompt tokens that the
//! engine still has to read. It releases little at a time, so that the order stays its own, and one
//! long prompt at a time, which the engine reads at low priority beside the short ones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::attempt_messages::Denial;
use super::attempt_messages::EngineLoad;
use super::attempt_messages::Finished;
use super::attempt_messages::FirstToken;
use super::attempt_messages::Grant;
use super::attempt_messages::StartRequest;
use super::engine_queue_order::FairClock;
use super::engine_queue_order::LEVELS;
use super::engine_queue_order::LONG_TOKENS;
use super::engine_queue_order::LengthLevel;
use super::engine_queue_order::Target;
use super::engine_queue_policy::QueuePolicy;
use super::engine_queue_rate::RateMeter;
use super::engine_queue_room::Room;
use super::engine_queue_ticket::ListedAttempt;
use super::engine_queue_ticket::OrphanCandidate;
use super::engine_queue_ticket::Ticket;
use super::engine_queue_verdict::Verdict;
use super::engine_queue_waiting::Place;
use super::engine_queue_waiting::Waiting;
use super::memory::MemoryAccount;
use super::memory::long_memory;
use super::memory_shares::Shares;
use super::names::AttemptId;
use super::names::EngineName;
use super::names::Incarnation;
use super::names::ModelName;
use super::outcome::Reason;
use super::prefix::BLOCK_TOKENS;
use super::prefix::CacheEvent;
use super::prefix::PrefixIndex;
use super::time::Moment;

/// The most asks that wait at one engine.
const WAITING_MAX: usize = 4_096;

/// The queue, memory account and observed rates of one engine.
#[derive(Debug, Clone)]
pub struct EngineQueue {
    engine: EngineName,
    policy: QueuePolicy,
    memory: MemoryAccount,
    meter: RateMeter,
    prefixes: PrefixIndex,
    fair: FairClock,
    waiting: BTreeMap<Place, Waiting>,
    places: BTreeMap<AttemptId, Place>,
    tickets: BTreeMap<AttemptId, Ticket>,
    verdicts: Vec<Verdict>,
    models: Vec<ModelName>,
    healthy: bool,
    now: Moment,
    seq: u64,
    read_tokens: u64,
}

impl EngineQueue {
    /// Makes the queue of an engine with `memory` tokens.
    ///
    /// ```
    /// use wasabicrank_lib::state::{EngineName, EngineQueue, Moment, QueuePolicy};
    /// let mut queue = EngineQueue::new(EngineName::new("e1"), 400_000, QueuePolicy::default());
    /// assert!(queue.poll(Moment(0)).is_empty());
    /// assert_eq!(queue.load().held, 0);
    /// ```
    pub fn new(engine: EngineName, memory: u32, policy: QueuePolicy) -> EngineQueue {
        let meter =
            RateMeter::new(policy.prefill_rate, policy.token_interval, policy.answer_tokens);
        EngineQueue {
            engine,
            memory: MemoryAccount::new(memory),
            meter,
            prefixes: PrefixIndex::new((memory / BLOCK_TOKENS).max(1) as usize),
            fair: FairClock::default(),
            waiting: BTreeMap::new(),
            places: BTreeMap::new(),
            tickets: BTreeMap::new(),
            verdicts: Vec::new(),
            models: Vec::new(),
            healthy: true,
            now: Moment(0),
            seq: 0,
            read_tokens: 0,
            policy,
        }
    }

    /// Takes an ask from the entry host of incarnation `from`; the verdict comes from `poll`.
    ///
    /// An ask that is repeated changes nothing.
    pub fn submit(&mut self, now: Moment, from: Incarnation, ask: StartRequest) {
        self.now = now;
        if self.places.contains_key(&ask.attempt) || self.tickets.contains_key(&ask.attempt) {
            return;
        }
        let waiting = self.admit(now, from, ask);
        if let Some(refusal) = self.refusal(now, &waiting) {
            self.deny(&waiting, refusal);
            return;
        }
        if waiting.ask.segment {
            self.grant(now, waiting);
            return;
        }
        self.enqueue(now, waiting);
    }

    fn admit(&self, now: Moment, from: Incarnation, ask: StartRequest) -> Waiting {
        let uncached = self.uncached(&ask);
        let own = Duration::from_secs_f64(f64::from(uncached) / self.meter.rate(now));
        let deadline = now + ask.left;
        Waiting { from, asked: now, deadline, level: LengthLevel::of(uncached), own, ask }
    }

    fn uncached(&self, ask: &StartRequest) -> u32 {
        if !self.policy.prefix_reuse {
            return ask.prompt_tokens;
        }
        let cached = self.prefixes.cached_tokens(&ask.blocks);
        ask.prompt_tokens.saturating_sub(cached).max(1)
    }

    /// Returns why an ask that has just come is refused, if it is.
    fn refusal(&self, now: Moment, waiting: &Waiting) -> Option<Denial> {
        let need = waiting.need();
        if !self.healthy {
            return Some(self.denial(waiting, Reason::TargetFailed, None));
        }
        if need > self.bound(waiting) {
            return Some(self.denial(waiting, Reason::PromptTooLong, None));
        }
        if waiting.ask.segment {
            let full = need > self.shares().free_for(waiting.size(), false);
            return full.then(|| self.denial(waiting, Reason::MemoryFull, Some(self.turnover())));
        }
        if self.waiting.len() >= WAITING_MAX {
            return Some(self.denial(waiting, Reason::Overloaded, Some(self.turnover())));
        }
        let wait = self.expected_wait(now, waiting);
        let after = wait + waiting.own + self.meter.answer_time(waiting.ask.output_tokens);
        let late = after.saturating_sub(waiting.ask.left);
        let reason = Reason::DeadlineTooShort;
        (!late.is_zero()).then(|| self.denial(waiting, reason, Some(late)))
    }

    /// Returns what an ask may use of the engine's memory.
    fn bound(&self, waiting: &Waiting) -> u32 {
        let total = self.memory.total();
        if waiting.size().is_long() { long_memory(total) } else { total }
    }

    /// Returns the expected time until an ask's prefill starts.
    fn expected_wait(&self, now: Moment, waiting: &Waiting) -> Duration {
        let rate = self.meter.rate(now);
        let queued = self.waiting.values().filter(|other| self.goes_before(other, waiting));
        let queued: u64 = queued.map(|other| u64::from(self.uncached(&other.ask))).sum();
        let reading = self.tickets.values().filter(|ticket| ticket.level <= waiting.level);
        let reading: u64 = reading.map(|ticket| u64::from(self.left_to_read(ticket, rate))).sum();
        Duration::from_secs_f64((queued + reading) as f64 / rate)
    }

    fn goes_before(&self, other: &Waiting, waiting: &Waiting) -> bool {
        !self.policy.length_isolation || other.level <= waiting.level
    }

    /// Returns the tokens that the engine still has to read for `ticket`.
    fn left_to_read(&self, ticket: &Ticket, rate: f64) -> u32 {
        if !ticket.reading {
            return 0;
        }
        if !ticket.metered {
            return ticket.uncached;
        }
        let passed = self.now.since(ticket.granted).as_secs_f64();
        let others = self.read_tokens.saturating_sub(ticket.read_before);
        let done = (passed * rate - others as f64).max(0.0);
        ticket.uncached.saturating_sub(done as u32)
    }

    /// Returns roughly when memory that is full now will have room.
    fn turnover(&self) -> Duration {
        self.meter.answer_time(u32::MAX)
    }

    fn enqueue(&mut self, now: Moment, waiting: Waiting) {
        let ask = &waiting.ask;
        let arrived = Moment(now.0.saturating_sub(micros(ask.waited)));
        let start = self.fair.enter(now, arrived, ask, waiting.level, waiting.own);
        let target = if self.policy.length_isolation {
            Target::new(start, waiting.own, self.policy.age_factor, ask.priority)
        } else {
            Target::new(arrived, Duration::ZERO, 0.0, Default::default())
        };
        self.seq += 1;
        self.places.insert(ask.attempt, (target, self.seq));
        self.waiting.insert((target, self.seq), waiting);
    }

    /// Takes back an ask or an unused grant.
    pub fn withdraw(&mut self, now: Moment, attempt: AttemptId) {
        self.now = now;
        self.remove_waiting(now, attempt);
        self.close(now, attempt, None);
    }

    fn remove_waiting(&mut self, now: Moment, attempt: AttemptId) -> Option<Waiting> {
        let place = self.places.remove(&attempt)?;
        let waiting = self.waiting.remove(&place)?;
        self.fair.leave(now, &waiting.ask.customer, waiting.level);
        Some(waiting)
    }

    /// Records that an attempt's prefill is over.
    pub fn first_token(&mut self, now: Moment, first: &FirstToken) {
        self.now = now;
        let Some(ticket) = self.tickets.get_mut(&first.attempt) else { return };
        let Some(ask) = ticket.ask.as_ref().filter(|_| ticket.reading) else { return };
        ticket.reading = false;
        let read = ask.prompt_tokens.saturating_sub(first.cached);
        self.prefixes.observe(now, &ask.blocks, first.cached);
        if ticket.metered {
            self.meter.end(now, ticket.uncached, Some(read));
        }
        self.read_tokens += u64::from(read);
    }

    /// Records that the engine holds nothing for an attempt any more.
    pub fn finished(&mut self, now: Moment, finished: &Finished) {
        self.now = now;
        if !finished.failed {
            self.meter.answered(finished.output_tokens, finished.decode);
        }
        self.remove_waiting(now, finished.attempt);
        self.close(now, finished.attempt, None);
    }

    /// Gives back a ticket and its memory.
    fn close(&mut self, now: Moment, attempt: AttemptId, read: Option<u32>) {
        self.memory.release(attempt);
        let Some(ticket) = self.tickets.remove(&attempt) else { return };
        if ticket.reading && ticket.metered {
            self.meter.end(now, ticket.uncached, read);
        }
    }

    /// Drops what a dead incarnation asked for; what it has on the engine stays in the account until
    /// the engine's listing shows it gone.
    pub fn owner_gone(&mut self, now: Moment, owner: Incarnation) {
        self.now = now;
        let asks = self.waiting.values().filter(|waiting| waiting.from == owner);
        let asks: Vec<AttemptId> = asks.map(|waiting| waiting.ask.attempt).collect();
        for attempt in asks {
            self.remove_waiting(now, attempt);
        }
        for ticket in self.tickets.values_mut().filter(|ticket| ticket.from == owner) {
            ticket.ownerless = true;
        }
    }

    /// Compares the account with the engine's own listing.
    ///
    /// Tickets that two listings in a row lack past their validity are given back; attempts that the
    /// account lacks are adopted. Returns the attempts that no live leave covers.
    pub fn reconcile(&mut self, now: Moment, listed: &[ListedAttempt]) -> Vec<OrphanCandidate> {
        self.now = now;
        self.drop_absent(now, listed);
        let mut suspects = Vec::new();
        for item in listed {
            let adopted = || Ticket::adopted(now, item.owner);
            let covered = self.tickets.entry(item.attempt).or_insert_with(adopted).is_covered();
            let reserved = self.memory.part(item.attempt).unwrap_or(0);
            self.memory.adopt(item.attempt, reserved.max(item.held));
            if !covered {
                suspects.push(OrphanCandidate { attempt: item.attempt, owner: item.owner });
            }
        }
        suspects
    }

    fn drop_absent(&mut self, now: Moment, listed: &[ListedAttempt]) {
        let present: BTreeSet<AttemptId> = listed.iter().map(|item| item.attempt).collect();
        let mut absent = Vec::new();
        for (attempt, ticket) in &mut self.tickets {
            if ticket.listed(now, present.contains(attempt)) {
                absent.push(*attempt);
            }
        }
        for attempt in absent {
            self.close(now, attempt, None);
        }
    }

    /// Takes in the engine's cache events.
    pub fn apply_cache_events(&mut self, now: Moment, events: &[CacheEvent]) {
        self.prefixes.events(now, events);
    }

    /// Sets the models that the engine has.
    pub fn set_models(&mut self, models: Vec<ModelName>) {
        self.models = models;
    }

    /// Sets whether the engine answers; what waits for one that does not is denied.
    pub fn set_healthy(&mut self, healthy: bool) {
        self.healthy = healthy;
    }

    /// Grants what may start and denies what cannot make its deadline.
    pub fn poll(&mut self, now: Moment) -> Vec<Verdict> {
        self.now = now;
        self.deny_hopeless(now);
        self.grant_next(now);
        self.fair.prune(now);
        std::mem::take(&mut self.verdicts)
    }

    /// Returns the next time at which `poll` may have something to say without any other input.
    pub fn next_wake(&self) -> Option<Moment> {
        self.waiting.values().map(|waiting| self.latest_start(waiting)).min()
    }

    /// Returns the last time at which an ask can start and still make its deadline.
    fn latest_start(&self, waiting: &Waiting) -> Moment {
        let answer = self.meter.answer_time(waiting.ask.output_tokens);
        let need = micros(waiting.own + answer);
        Moment(waiting.deadline.0.saturating_sub(need))
    }

    fn deny_hopeless(&mut self, now: Moment) {
        let hopeless = self
            .waiting
            .values()
            .filter(|waiting| !self.healthy || self.latest_start(waiting) < now);
        let hopeless: Vec<AttemptId> = hopeless.map(|waiting| waiting.ask.attempt).collect();
        let reason = if self.healthy { Reason::DeadlineTooShort } else { Reason::TargetFailed };
        for attempt in hopeless {
            let Some(waiting) = self.remove_waiting(now, attempt) else { continue };
            let wait = self.expected_wait(now, &waiting);
            let room = self.healthy.then_some(wait.max(Duration::from_secs(1)));
            let deny = self.denial(&waiting, reason, room);
            self.deny(&waiting, deny);
        }
    }

    fn grant_next(&mut self, now: Moment) {
        let mut room = self.room();
        let mut memory = self.shares();
        let mut chosen = Vec::new();
        for (place, waiting) in &self.waiting {
            if room.is_closed() {
                break;
            }
            let (need, size) = (waiting.need(), waiting.size());
            let due = place.0.is_past(now);
            if !memory.fits(need, size, due) {
                if due {
                    memory.keep(need, size);
                }
                continue;
            }
            if room.take(waiting.level, self.uncached(&waiting.ask)) {
                memory.take(need, size);
                chosen.push(waiting.ask.attempt);
            } else if !self.policy.length_isolation {
                break;
            }
        }
        for attempt in chosen {
            let Some(waiting) = self.remove_waiting(now, attempt) else { continue };
            self.grant(now, waiting);
        }
    }

    /// Returns the free memory, with what prompts of each length hold.
    fn shares(&self) -> Shares {
        let mut held = [0u32; LEVELS];
        for (attempt, ticket) in &self.tickets {
            let Some(ask) = &ticket.ask else { continue };
            let part = self.memory.part(*attempt).unwrap_or(0);
            let sum = &mut held[LengthLevel::of(ask.prompt_tokens).index()];
            *sum = sum.saturating_add(part);
        }
        Shares::new(&self.memory, held)
    }

    /// Returns what may be released to the engine in each level.
    fn room(&self) -> Room {
        let mut room = Room::new(&self.policy);
        // A segment reads only after the earlier ones, so it keeps nobody else from starting.
        for ticket in self.tickets.values().filter(|ticket| ticket.reading && ticket.metered) {
            room.count(ticket.level, ticket.uncached);
        }
        room
    }

    fn grant(&mut self, now: Moment, waiting: Waiting) {
        if self.memory.reserve(waiting.ask.attempt, waiting.need()).is_err() {
            return;
        }
        let ask = waiting.ask;
        let uncached = self.uncached(&ask);
        let metered = !ask.segment;
        let level = LengthLevel::of(uncached);
        if metered {
            self.meter.begin(now, uncached);
        }
        let valid = if ask.segment { ask.left } else { self.policy.grant_valid };
        let grant = Grant {
            attempt: ask.attempt,
            engine: self.engine.clone(),
            valid,
            cached: ask.prompt_tokens.saturating_sub(uncached),
            queued: now.since(waiting.asked),
        };
        let ticket = Ticket {
            from: waiting.from,
            level,
            uncached,
            granted: now,
            read_before: self.read_tokens,
            valid_until: now + valid,
            reading: true,
            metered,
            absent: 0,
            ownerless: false,
            ask: Some(ask),
        };
        self.tickets.insert(grant.attempt, ticket);
        self.verdicts.push(Verdict::Grant { to: waiting.from, grant });
    }

    fn denial(&self, waiting: &Waiting, reason: Reason, room_in: Option<Duration>) -> Denial {
        Denial { attempt: waiting.ask.attempt, engine: self.engine.clone(), reason, room_in }
    }

    fn deny(&mut self, waiting: &Waiting, deny: Denial) {
        self.verdicts.push(Verdict::Deny { to: waiting.from, deny });
    }

    /// Returns the load to report to peers.
    pub fn load(&self) -> EngineLoad {
        let rate = self.meter.rate(self.now);
        let queued = self.waiting.values().map(|w| (w.level, self.uncached(&w.ask)));
        let reading = self.tickets.values().map(|t| (t.level, self.left_to_read(t, rate)));
        let mut levels = [0u32; LEVELS];
        for (level, tokens) in queued.chain(reading) {
            let sum = &mut levels[level.index()];
            *sum = sum.saturating_add(tokens);
        }
        let (short, long) = levels.split_at(LengthLevel::of(LONG_TOKENS).index());
        EngineLoad {
            engine: self.engine.clone(),
            short_tokens: sum(short),
            long_tokens: sum(long),
            level_tokens: levels,
            requests: u32::try_from(self.waiting.len() + self.tickets.len()).unwrap_or(u32::MAX),
            held: self.memory.held(),
            memory: self.memory.total(),
            prefill_rate: rate as u32,
            decode_rate: self.meter.decode_rate(),
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
