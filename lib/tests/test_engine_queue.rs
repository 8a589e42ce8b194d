//! The queue of one engine: order, memory, deadlines, and attempts whose owner or grant is gone.

use std::collections::BTreeMap;
use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use test_case::test_case;

use wasabicrank_lib::state::*;
use wasabicrank_workload::naive::NaiveMemory;

const MEMORY: u32 = 400_000;

fn attempt(seq: u64) -> AttemptId {
    AttemptId { request: RequestId { origin: Incarnation(1), seq }, number: 1 }
}

fn request(seq: u64, prompt_tokens: u32) -> StartRequest {
    StartRequest {
        attempt: attempt(seq),
        engine: EngineName::new("e"),
        customer: CustomerName::new("cotisa"),
        weight: 1,
        priority: Priority::Normal,
        prompt_tokens,
        output_tokens: 500,
        blocks: Vec::new(),
        waited: Duration::ZERO,
        left: Duration::from_secs(300),
        segment: false,
    }
}

fn queue() -> EngineQueue {
    EngineQueue::new(EngineName::new("e"), MEMORY, QueuePolicy::default())
}

fn at(seconds: f64) -> Moment {
    Moment((seconds * 1e6) as u64)
}

fn finished(seq: u64) -> Finished {
    Finished {
        attempt: attempt(seq),
        engine: EngineName::new("e"),
        output_tokens: 100,
        decode: Duration::from_secs(2),
        failed: false,
    }
}

fn first_token(seq: u64) -> FirstToken {
    FirstToken {
        attempt: attempt(seq),
        engine: EngineName::new("e"),
        cached: 0,
        prefill: Duration::from_millis(100),
    }
}

/// Returns the sequence numbers granted and the reasons of denials.
fn by_reply(verdicts: Vec<Verdict>) -> (Vec<u64>, Vec<(u64, Reason)>) {
    let mut granted = Vec::new();
    let mut denied = Vec::new();
    for verdict in verdicts {
        match verdict {
            Verdict::Grant { grant, .. } => granted.push(grant.attempt.request.seq),
            Verdict::Deny { deny, .. } => denied.push((deny.attempt.request.seq, deny.reason)),
        }
    }
    (granted, denied)
}

struct VerdictCase {
    change: fn(&mut StartRequest),
    granted: bool,
    reason: Option<Reason>,
}

#[test_case(VerdictCase { change: |_| (), granted: true, reason: None }; "plain")]
#[test_case(VerdictCase {
    change: |request| request.prompt_tokens = MEMORY,
    granted: false,
    reason: Some(Reason::PromptTooLong),
}; "over the engine's memory")]
#[test_case(VerdictCase {
    change: |request| request.prompt_tokens = MEMORY - MEMORY / 20,
    granted: false,
    reason: Some(Reason::PromptTooLong),
}; "into the share kept for short prompts")]
#[test_case(VerdictCase {
    change: |request| request.left = Duration::from_millis(10),
    granted: false,
    reason: Some(Reason::DeadlineTooShort),
}; "deadline that cannot be met")]
fn an_idle_engine_answers_at_once(case: VerdictCase) {
    let mut queue = queue();
    let mut request = request(1, 2_000);
    (case.change)(&mut request);
    queue.submit(at(0.0), Incarnation(1), request);
    let (granted, denied) = by_reply(queue.poll(at(0.0)));
    assert_eq!(granted.len() == 1, case.granted);
    assert_eq!(denied.first().map(|(_, reason)| *reason), case.reason);
}

/// Answers that differ from the first estimate of an engine.
struct LongAnswers {
    tokens: u32,
    decode: Duration,
    /// How many times their time a request that is still granted has left.
    left: f64,
}

// Guards against denials for lack of time at an engine whose answers are longer and faster than estimated: the
// product of two averages, of length and of pace, was for a while many times as long as any answer.
#[test_case(LongAnswers { tokens: 3_000, decode: Duration::from_secs(2), left: 10.0 } ; "long and fast")]
#[test_case(LongAnswers { tokens: 3_000, decode: Duration::from_secs(10), left: 2.0 } ; "long")]
#[test_case(LongAnswers { tokens: 256, decode: Duration::from_secs(1), left: 10.0 } ; "fast")]
fn an_engine_does_not_expect_answers_longer_than_any(case: LongAnswers) {
    let mut queue = queue();
    for seq in 1..=40 {
        let now = at(seq as f64 * 20.0);
        let left = case.decode.mul_f64(case.left);
        let request = StartRequest { output_tokens: case.tokens, left, ..request(seq, 200) };
        queue.submit(now, Incarnation(1), request);
        assert_eq!(by_reply(queue.poll(now)), (vec![seq], vec![]), "after {} answers", seq - 1);
        queue.first_token(now, &first_token(seq));
        let ended = Finished { output_tokens: case.tokens, decode: case.decode, ..finished(seq) };
        queue.finished(now + case.decode, &ended);
    }
}

#[test]
fn short_requests_overtake_a_second_long_one() {
    let mut queue = queue();
    for (seq, tokens) in [(1, 150_000), (2, 150_000), (3, 2_000)] {
        queue.submit(at(0.0), Incarnation(1), request(seq, tokens));
    }
    let (mut granted, _) = by_reply(queue.poll(at(0.0)));
    granted.sort();
    assert_eq!(granted, [1, 3]);
}

#[test]
fn short_requests_use_their_share_of_the_memory_while_a_long_one_waits() {
    let mut queue = queue();
    queue.submit(at(0.0), Incarnation(1), request(1, 130_000));
    queue.poll(at(0.0));
    queue.first_token(at(6.5), &first_token(1));
    queue.submit(at(7.0), Incarnation(1), request(2, 300_000));
    assert_eq!(by_reply(queue.poll(at(7.0))).0, Vec::<u64>::new());
    // The second request is long past its due time, so memory is set aside for it.
    queue.submit(at(60.0), Incarnation(1), request(3, 2_000));
    assert_eq!(by_reply(queue.poll(at(60.0))).0, [3]);
}

#[test]
fn a_long_request_is_granted_although_short_ones_keep_arriving() {
    let mut queue = queue();
    queue.submit(at(0.0), Incarnation(1), request(1, 350_000));
    queue.poll(at(0.0));
    queue.submit(at(0.0), Incarnation(1), request(2, 350_000));
    let mut granted_at = None;
    for step in 0..1_000u64 {
        let now = at(step as f64 * 0.1);
        let seq = 10 + step;
        queue.submit(now, Incarnation(1), request(seq, 3_000));
        let (granted, _) = by_reply(queue.poll(now));
        if granted.contains(&2) {
            granted_at = Some(step);
        }
        for short in granted.into_iter().filter(|seq| *seq >= 10) {
            queue.first_token(now, &first_token(short));
        }
        if step >= 30 {
            queue.finished(now, &finished(seq - 30));
        }
        if step == 300 {
            queue.first_token(now, &first_token(1));
            queue.finished(now, &finished(1));
        }
    }
    assert!(granted_at.is_some_and(|step| step <= 301), "granted at {granted_at:?}");
}

#[test]
fn a_flooding_customer_waits_behind_the_others() {
    let mut queue = queue();
    for seq in 0..200 {
        queue.submit(at(0.0), Incarnation(1), request(seq, 4_000));
    }
    let mut small = request(1_000, 4_000);
    small.customer = CustomerName::new("small");
    queue.poll(at(0.0));
    queue.submit(at(0.1), Incarnation(1), small);
    let mut order = Vec::new();
    for step in 0..40u64 {
        let now = at(0.2 + step as f64 * 0.2);
        let (granted, _) = by_reply(queue.poll(now));
        for seq in granted {
            queue.first_token(now, &first_token(seq));
            queue.finished(now, &finished(seq));
            order.push(seq);
        }
        for seq in 0..4 {
            queue.first_token(now, &first_token(seq));
            queue.finished(now, &finished(seq));
        }
    }
    let position = order.iter().position(|seq| *seq == 1_000);
    assert!(position.is_some_and(|position| position < 12), "served at position {position:?}");
}

#[test]
fn a_segment_is_granted_at_once_or_denied() {
    let mut queue = queue();
    let mut first = request(1, 300_000);
    first.segment = true;
    let mut second = request(2, 300_000);
    second.segment = true;
    queue.submit(at(0.0), Incarnation(1), first);
    queue.submit(at(0.0), Incarnation(1), second);
    let (granted, denied) = by_reply(queue.poll(at(0.0)));
    assert_eq!(granted, [1]);
    assert_eq!(denied, [(2, Reason::MemoryFull)]);
}

#[test]
fn an_unused_grant_is_released_after_two_listings() {
    let mut queue = queue();
    queue.submit(at(0.0), Incarnation(1), request(1, 100_000));
    queue.poll(at(0.0));
    let held = [
        queue.load().held,
        held_after_listing(&mut queue, 1.0),
        held_after_listing(&mut queue, 3.0),
    ];
    assert_eq!(held, [100_500, 100_500, 100_500]);
    assert_eq!(held_after_listing(&mut queue, 4.0), 0);
}

fn held_after_listing(queue: &mut EngineQueue, seconds: f64) -> u32 {
    queue.reconcile(at(seconds), &[]);
    queue.load().held
}

#[test]
fn an_attempt_unknown_to_the_account_is_adopted_and_reported() {
    let mut queue = queue();
    let item = ListedAttempt { attempt: attempt(9), owner: Incarnation(7), held: 390_000 };
    let candidates = queue.reconcile(at(0.0), &[item]);
    assert_eq!(candidates, [OrphanCandidate { attempt: attempt(9), owner: Incarnation(7) }]);
    queue.submit(at(0.0), Incarnation(1), request(1, 30_000));
    assert_eq!(by_reply(queue.poll(at(0.0))).0, Vec::<u64>::new());
    queue.reconcile(at(1.0), &[]);
    assert_eq!(by_reply(queue.poll(at(1.0))).0, [1]);
}

#[test]
fn an_attempt_of_a_dead_owner_is_reported_until_it_is_unlisted() {
    let mut queue = queue();
    queue.submit(at(0.0), Incarnation(1), request(1, 10_000));
    queue.poll(at(0.0));
    let item = ListedAttempt { attempt: attempt(1), owner: Incarnation(1), held: 10_000 };
    assert!(queue.reconcile(at(1.0), &[item]).is_empty());
    queue.owner_gone(at(2.0), Incarnation(1));
    assert_eq!(queue.reconcile(at(3.0), &[item]).len(), 1);
    queue.reconcile(at(4.0), &[]);
    queue.reconcile(at(5.0), &[]);
    assert_eq!(queue.load().held, 0);
}

#[test]
fn a_slow_engine_is_detected_before_its_prompt_is_read() {
    let mut queue = queue();
    queue.submit(at(0.0), Incarnation(1), request(1, 4_000));
    queue.poll(at(0.0));
    queue.withdraw(at(3.9), attempt(99));
    let rate = queue.load().prefill_rate;
    assert!(rate <= 1_100, "{rate} tokens a second after 4 s for 4,000 tokens");
}

/// An input of a queue.
#[derive(Debug, Clone)]
enum Step {
    Request(u32, bool),
    First(usize),
    Finish(usize),
    Withdraw(usize),
    Listing,
    OwnerGone,
}

fn step() -> impl Strategy<Value = Step> {
    let tokens = prop_oneof![1_000..4_000u32, 4_000..40_000u32, 40_000..390_000u32];
    prop_oneof![
        4 => (tokens, prop::bool::weighted(0.1)).prop_map(|(n, segment)| Step::Request(n, segment)),
        2 => (0..64usize).prop_map(Step::First),
        2 => (0..64usize).prop_map(Step::Finish),
        1 => (0..64usize).prop_map(Step::Withdraw),
        1 => Just(Step::Listing),
        1 => Just(Step::OwnerGone),
    ]
}

/// A queue and a naive memory account that get the same inputs, with the attempts on the engine.
struct QueueAndModel {
    queue: EngineQueue,
    naive: NaiveMemory,
    needs: BTreeMap<u64, u64>,
    running: Vec<u64>,
    replies: BTreeMap<u64, usize>,
    now: f64,
    next: u64,
}

impl QueueAndModel {
    fn new() -> QueueAndModel {
        let naive = NaiveMemory { total: u64::from(MEMORY), held: Vec::new() };
        QueueAndModel {
            queue: queue(),
            naive,
            needs: BTreeMap::new(),
            running: Vec::new(),
            replies: BTreeMap::new(),
            now: 0.0,
            next: 0,
        }
    }

    fn apply(&mut self, step: Step) {
        self.now += 0.25;
        let now = at(self.now);
        let pick = |index: usize| self.running.get(index % self.running.len().max(1)).copied();
        match step {
            Step::Request(tokens, segment) => {
                self.next += 1;
                let mut request = request(self.next, tokens);
                request.segment = segment;
                self.needs.insert(self.next, u64::from(tokens) + 500);
                self.queue.submit(now, Incarnation(1), request);
            }
            Step::First(index) => {
                if let Some(seq) = pick(index) {
                    self.queue.first_token(now, &first_token(seq));
                }
            }
            Step::Finish(index) => {
                if let Some(seq) = pick(index) {
                    self.queue.finished(now, &finished(seq));
                    self.end(seq);
                }
            }
            Step::Withdraw(index) => {
                if let Some(seq) = pick(index) {
                    self.queue.withdraw(now, attempt(seq));
                    self.end(seq);
                }
            }
            Step::Listing => self.list(),
            Step::OwnerGone => self.queue.owner_gone(now, Incarnation(2)),
        }
        self.poll();
    }

    fn end(&mut self, seq: u64) {
        self.running.retain(|other| *other != seq);
        self.naive.release(attempt(seq));
    }

    fn list(&mut self) {
        let listed = self.running.iter().map(|seq| ListedAttempt {
            attempt: attempt(*seq),
            owner: Incarnation(1),
            held: 1,
        });
        let listed: Vec<ListedAttempt> = listed.collect();
        assert!(self.queue.reconcile(at(self.now), &listed).is_empty());
    }

    fn poll(&mut self) {
        let (granted, denied) = by_reply(self.queue.poll(at(self.now)));
        for seq in granted {
            assert!(self.naive.reserve(attempt(seq), self.needs[&seq]), "{seq} does not fit");
            self.running.push(seq);
            *self.replies.entry(seq).or_default() += 1;
        }
        for (seq, _) in denied {
            *self.replies.entry(seq).or_default() += 1;
        }
        assert_eq!(u64::from(self.queue.load().held), self.naive.sum());
        assert!(self.replies.values().all(|count| *count == 1), "a second reply");
    }
}

fn config() -> Config {
    Config {
        cases: 256,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(4),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn the_account_agrees_with_a_naive_one(steps in vec(step(), 1..120)) {
        let mut both = QueueAndModel::new();
        for step in steps {
            both.apply(step);
        }
        // When all running attempts have ended, every request has its reply and nothing is held.
        for _ in 0..2_000 {
            let Some(seq) = both.running.first().copied() else { break };
            both.queue.finished(at(both.now), &finished(seq));
            both.end(seq);
            both.poll();
        }
        prop_assert_eq!(both.queue.load().held, 0);
        prop_assert_eq!(both.queue.load().requests, 0);
        prop_assert_eq!(both.replies.len() as u64, both.next);
    }
}
