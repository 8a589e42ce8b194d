//! The time line: order across processes, the count of lost events, and explanations of requests.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::protocol::*;
use wasabicrank_lib::state::*;

const MS: Duration = Duration::from_millis(1);

fn request(seq: u64) -> RequestId {
    RequestId { origin: Incarnation(0xabc), seq }
}

fn attempt(number: u32) -> AttemptId {
    AttemptId { request: request(1), number }
}

fn engine(name: &str) -> EngineName {
    EngineName::new(name)
}

fn completed(seq: u64) -> Event {
    Event::Completed { request: request(seq), tokens: 3, after: MS }
}

fn refused(outcome: Outcome, reason: Reason) -> Event {
    let retry_after = Some(Duration::from_secs(1));
    Event::Refused { request: request(1), refusal: Refusal { outcome, reason, retry_after } }
}

fn considered(name: &str, millis: u64, left_out: Option<LeftOut>) -> Considered {
    Considered { engine: engine(name), estimate: Duration::from_millis(millis), left_out }
}

fn line(host: &str, capacity: usize) -> TimeLine {
    TimeLine::new(HostName::new(host), capacity)
}

/// One event of every kind.
fn samples() -> Vec<Event> {
    let left_out = [
        LeftOut::NotLive,
        LeftOut::NoModel,
        LeftOut::NoMemory,
        LeftOut::ShortReserve,
        LeftOut::StaleReport,
    ];
    let mut engines = vec![considered("a1", 10, None)];
    engines.extend(left_out.map(|why| considered("a2", 20, Some(why))));
    vec![
        Event::Admitted { request: request(1), prompt_tokens: 9, deadline: MS },
        Event::Placed { attempt: attempt(1), engine: engine("a1"), considered: engines },
        Event::Queued { attempt: attempt(1), engine: engine("a1"), ahead_tokens: 7 },
        Event::Granted { attempt: attempt(1), engine: engine("a1"), queued: MS * 40 },
        Event::Denied { attempt: attempt(2), engine: engine("a1"), reason: Reason::MemoryFull },
        Event::FirstToken { attempt: attempt(1), engine: engine("a1"), after: MS * 90 },
        Event::Moved {
            attempt: attempt(1),
            engine: engine("a1"),
            sent_tokens: 12,
            cause: MoveCause::Silent,
        },
        completed(1),
        refused(Outcome::Unknown, Reason::KeyTooOld),
        Event::CallSent { request: request(1), target: "127.0.0.1:9".into() },
        Event::CallForwarded { request: request(1), home: HostName::new("entry-2") },
        Event::PeerSuspected { peer: HostName::new("entry-2") },
        Event::PeerAlive { peer: HostName::new("entry-2") },
        Event::TargetChanged { target: "127.0.0.1:9".into(), state: "leaving".into() },
        Event::ConfigAccepted { version: 4 },
        Event::ConfigRefused { version: 5, errors: vec!["rules:1:2: found `x`".into()] },
        Event::LeaseGained { shards: vec![1, 2] },
        Event::LeaseLost { shards: vec![1] },
        Event::OrphanCancelled { attempt: attempt(1), engine: engine("a1") },
        Event::OrderSent { engine: engine("a1"), order: "load m1".into(), fence: 4 },
        Event::StopBegan,
        Event::StopEnded { cut: 0 },
    ]
}

#[test]
fn every_event_survives_json() {
    for event in samples() {
        let stamped =
            StampedEvent { at: HybridTime(5), host: HostName::new("entry-1"), event: event.into() };
        let text = serde_json::to_string(&StampedJson::from(&stamped)).unwrap();
        let json: StampedJson = serde_json::from_str(&text).unwrap();
        assert_eq!(StampedEvent::try_from(json), Ok(stamped), "{text}");
    }
}

#[test]
fn every_reason_survives_json() {
    for reason in Reason::ALL {
        for outcome in [Outcome::NotRun, Outcome::Unknown, Outcome::Failed] {
            let event = refused(outcome, reason);
            assert_eq!(Event::try_from(EventJson::from(&event)), Ok(event));
        }
    }
}

#[test]
fn every_event_has_a_sentence_of_its_own() {
    let mut sentences: Vec<_> = samples().iter().map(event_sentence).collect();
    for sentence in &sentences {
        assert!(sentence.ends_with('.') && !sentence.contains(" { "), "{sentence}");
    }
    let all = sentences.len();
    sentences.sort();
    sentences.dedup();
    assert_eq!(sentences.len(), all);
}

/// The wall clocks of the two processes differ by 30 s; a message is sent from `fast` to `slow`.
#[test]
fn an_effect_follows_its_cause_although_clocks_differ() {
    let (mut fast, mut slow) = (line("fast", 10), line("slow", 10));
    fast.push(WallTime(60_000), completed(1));
    let sent = fast.tick(WallTime(60_000));
    slow.observe(WallTime(30_000), sent);
    slow.push(WallTime(30_000), completed(2));
    let pages = [&slow, &fast].map(|line| line.page(&EventFilter::default()));
    let order: Vec<_> =
        merge_events(pages).iter().map(|event| event.event.as_ref().clone()).collect();
    assert_eq!(order, [completed(1), completed(2)]);
}

#[test]
fn clock_never_goes_back_and_ignores_a_timestamp_far_ahead() {
    let mut clock = HybridClock::default();
    let first = clock.tick(WallTime(50));
    assert!(clock.tick(WallTime(20)) > first, "the wall clock was set back");
    clock.observe(WallTime(50), HybridTime(u64::MAX));
    assert!(clock.tick(WallTime(51)) < HybridTime::from(WallTime(52)));
}

#[test]
fn a_full_ring_evicts_the_oldest_events_and_counts_them() {
    let mut line = line("entry-1", 3);
    (1..=5).for_each(|at| line.push(WallTime(at), completed(at)));
    let page = line.page(&EventFilter::default());
    assert_eq!((page.lost, page.lost_until), (2, HybridTime(2000)));
    assert_eq!(page.events.len(), 3);
    assert_eq!(*page.events[0].event, completed(3));
}

#[test]
fn long_events_do_not_make_the_ring_grow() {
    let mut line = line("entry-1", 100);
    let considered = vec![considered("a1", 1, None); 1000];
    let event = Event::Placed { attempt: attempt(1), engine: engine("a1"), considered };
    (1..=100).for_each(|at| line.push(WallTime(at), event.clone()));
    let page = line.page(&EventFilter::default());
    assert_eq!(page.lost + page.events.len() as u64, 100);
    assert!(page.events.len() < 5, "{} long events are kept", page.events.len());
}

struct FilterCase {
    filter: EventFilter,
    found: &'static [u64],
    left_out: u64,
}

const ALL: EventFilter = EventFilter { request: None, after: HybridTime(0), limit: 0 };
const ONE: RequestId = RequestId { origin: Incarnation(0xabc), seq: 1 };

#[test_case(FilterCase { filter: ALL, found: &[1, 2, 1, 3], left_out: 0 }; "all")]
#[test_case(FilterCase { filter: EventFilter { request: Some(ONE), ..ALL }, found: &[1, 1], left_out: 0 }; "of a request")]
#[test_case(FilterCase { filter: EventFilter { after: HybridTime(2000), ..ALL }, found: &[1, 3], left_out: 0 }; "after a time")]
#[test_case(FilterCase { filter: EventFilter { limit: 1, ..ALL }, found: &[3], left_out: 3 }; "only the newest")]
fn events_are_found(case: FilterCase) {
    let mut line = line("entry-1", 10);
    for (at, seq) in [(1, 1), (2, 2), (3, 1), (4, 3)] {
        line.push(WallTime(at), completed(seq));
    }
    let page = line.page(&case.filter);
    let found: Vec<_> =
        page.events.iter().filter_map(|event| event.event.request()).map(|id| id.seq).collect();
    assert_eq!((found.as_slice(), page.left_out), (case.found, case.left_out));
}

/// A request that waited on one engine, moved to another and was served.
fn moved_request() -> (TimeLine, TimeLine) {
    let (mut own, mut other) = (line("entry-1", 100), line("entry-2", 100));
    let (a1, a2) = (engine("a1"), engine("a2"));
    own.push(
        WallTime(1000),
        Event::Admitted { request: ONE, prompt_tokens: 900, deadline: MS * 30_000 },
    );
    let engines = vec![
        considered("a1", 50, None),
        considered("a2", 80, None),
        considered("a3", 0, Some(LeftOut::ShortReserve)),
    ];
    let placed = Event::Placed { attempt: attempt(1), engine: a1.clone(), considered: engines };
    own.push(WallTime(1001), placed);
    other.push(
        WallTime(1002),
        Event::Queued { attempt: attempt(1), engine: a1.clone(), ahead_tokens: 4000 },
    );
    own.push(
        WallTime(1042),
        Event::Granted { attempt: attempt(1), engine: a1.clone(), queued: MS * 40 },
    );
    own.push(
        WallTime(1050),
        Event::Moved {
            attempt: attempt(1),
            engine: a1,
            sent_tokens: 5,
            cause: MoveCause::ConnectionLost,
        },
    );
    own.push(WallTime(1051), completed(2));
    own.push(WallTime(1060), Event::Granted { attempt: attempt(2), engine: a2, queued: MS });
    own.push(WallTime(1100), completed(1));
    (own, other)
}

#[test]
fn explanation_covers_waits_moves_and_other_hosts() {
    let (own, other) = moved_request();
    let pages = [&own, &other].map(|line| HostReply::Page(line.page(&ALL)));
    let explanation = explain(ONE, pages);
    let expected = "\
Request 0000000000000abc-1: The whole answer of 3 tokens went out after 1.0 ms. \
It waited 41 ms in engines' queues. It moved once to another engine.
  00:00:01.000 (+0.0 ms) entry-1: Admitted with 900 prompt tokens and 30.00 s until its deadline.
  00:00:01.001 (+1.0 ms) entry-1: Placed on a1, first token expected after 50 ms; \
also possible: a2 (80 ms); left out: a3 (kept free of long prompts).
  00:00:01.002 (+2.0 ms) entry-2: Waits at a1 behind 4000 prompt tokens.
  00:00:01.042 (+42 ms) entry-1: Got leave to start on a1 after 40 ms in its queue.
  00:00:01.050 (+50 ms) entry-1: Moved away from a1 after 5 tokens had gone out: the connection broke off.
  00:00:01.060 (+60 ms) entry-1: Got leave to start on a2 after 1.0 ms in its queue.
  00:00:01.100 (+100 ms) entry-1: The whole answer of 3 tokens went out after 1.0 ms.
";
    assert_eq!(explanation.to_string(), expected);
}

#[test]
fn explanation_lists_what_is_missing() {
    let mut short = line("entry-1", 1);
    short.push(WallTime(1), Event::StopBegan);
    short.push(WallTime(2), refused(Outcome::NotRun, Reason::RateLimit));
    let silent = HostReply::NoAnswer("127.0.0.1:9 (connection refused)".to_owned());
    let explanation = explain(ONE, [HostReply::Page(short.page(&ALL)), silent.clone()]);
    assert!(
        explanation.verdict.contains("Ended as not_run (rate_limit)"),
        "{}",
        explanation.verdict
    );
    assert_eq!(explanation.gaps, ["127.0.0.1:9 (connection refused) did not answer."]);

    let explanation = explain(request(9), [HostReply::Page(short.page(&ALL)), silent]);
    assert!(!explanation.found);
    assert_eq!(explanation.verdict, "Nothing is known of request 0000000000000abc-9.");
    assert_eq!(explanation.gaps[1], "entry-1 has lost its 1 oldest events, up to 00:00:00.001.");
}
