//! Tests the engine model: memory, priorities, prefix cache, resumed and cancelled work.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::RequestId;
use wasabicrank_testutils::engine_model::EngineEvent;
use wasabicrank_testutils::engine_model::EngineEventKind;
use wasabicrank_testutils::engine_model::EngineModel;
use wasabicrank_testutils::engine_model::ModelConfig;
use wasabicrank_testutils::engine_model::Order;
use wasabicrank_testutils::engine_model::Rejection;
use wasabicrank_testutils::engine_model::Work;
use wasabicrank_testutils::text::TextHash;

const OWNER: Incarnation = Incarnation(7);

fn attempt(seq: u64) -> AttemptId {
    AttemptId { request: RequestId { origin: OWNER, seq }, number: 1 }
}

fn stream(seq: u64, priority: u8, prompt_tokens: u32, answer_tokens: u32) -> Order {
    Order {
        attempt: attempt(seq),
        owner: OWNER,
        priority,
        prompt_tokens,
        blocks: Vec::new(),
        work: Work::Stream { resume_from: 0, answer_tokens, max_tokens: answer_tokens },
    }
}

fn model(memory: u32) -> EngineModel {
    EngineModel::new(ModelConfig { memory, ..ModelConfig::default() })
}

/// Runs the engine until it is idle, checking its memory use after each step.
fn run(model: &mut EngineModel) -> Vec<EngineEvent> {
    let mut events = Vec::new();
    while let Some(next) = model.next_event() {
        events.extend(model.advance(next));
        assert!(model.load().held <= model.config().memory);
    }
    events
}

/// Returns when the prefill of each attempt finished, in that order.
fn starts(events: &[EngineEvent]) -> Vec<(u64, Moment)> {
    let started = |event: &&EngineEvent| matches!(event.kind, EngineEventKind::Started { .. });
    events.iter().filter(started).map(|event| (event.attempt.request.seq, event.at)).collect()
}

#[test]
fn test_idle_engine_reads_at_its_rate() {
    let mut model = model(400_000);
    model.submit(Moment(0), stream(1, 5, 100_000, 1)).unwrap();
    let at = starts(&run(&mut model))[0].1;
    let expected = Duration::from_secs(5);
    let off = at.since(Moment(0)).abs_diff(expected);
    assert!(off < Duration::from_millis(1), "read after {at:?}, expected {expected:?}");
}

struct Arrival {
    seq: u64,
    priority: u8,
    prompt_tokens: u32,
}

#[test_case(
    &[
        Arrival { seq: 1, priority: 5, prompt_tokens: 4_000 },
        Arrival { seq: 2, priority: 5, prompt_tokens: 1_000 },
    ],
    &[1, 2]; "first come first served within a priority"
)]
#[test_case(
    &[
        Arrival { seq: 1, priority: 1, prompt_tokens: 300_000 },
        Arrival { seq: 2, priority: 5, prompt_tokens: 4_000 },
        Arrival { seq: 3, priority: 9, prompt_tokens: 8_000 },
    ],
    &[3, 2, 1]; "a higher priority overtakes a long prompt under way"
)]
fn test_prompts_are_read_by_priority(arrivals: &[Arrival], expected: &[u64]) {
    let mut model = model(400_000);
    for arrival in arrivals {
        let order = stream(arrival.seq, arrival.priority, arrival.prompt_tokens, 4);
        model.submit(Moment(0), order).expect("room");
    }
    let order: Vec<u64> = starts(&run(&mut model)).iter().map(|(seq, _)| *seq).collect();
    assert_eq!(order, expected);
}

#[test]
fn test_memory_is_refused_and_never_exceeded() {
    let mut model = model(10_000);
    model.submit(Moment(0), stream(1, 5, 6_000, 100)).unwrap();
    let rejected = model.submit(Moment(0), stream(2, 5, 4_001, 100));
    assert_eq!(rejected, Err(Rejection::MemoryFull));
    // The prompt of this request fits, but its answer outgrows the memory.
    model.submit(Moment(0), stream(3, 5, 3_950, 100)).unwrap();
    let events = run(&mut model);
    let dropped = events.iter().filter(|event| event.kind == EngineEventKind::OutOfMemory);
    assert_eq!((dropped.count(), model.over_memory()), (1, 1));
    assert_eq!(model.load().held, 0);
    assert_eq!(model.peak_held(), 10_000);
}

#[test]
fn test_resumed_answer_goes_on_with_the_next_token() {
    let mut model = model(400_000);
    let mut order = stream(1, 5, 1_000, 10);
    order.work = Work::Stream { resume_from: 7, answer_tokens: 10, max_tokens: 20 };
    model.submit(Moment(0), order).expect("room");
    let offsets: Vec<u32> = run(&mut model)
        .iter()
        .filter_map(|event| match event.kind {
            EngineEventKind::Token { offset } => Some(offset),
            _ => None,
        })
        .collect();
    assert_eq!(offsets, [7, 8, 9]);
}

#[test_case(Duration::ZERO; "before the first step ends")]
#[test_case(Duration::from_millis(300); "while the prompt is read")]
#[test_case(Duration::from_millis(1_200); "while the answer is made")]
fn test_cancel_frees_everything(after: Duration) {
    let mut model = model(400_000);
    model.submit(Moment(0), stream(1, 5, 20_000, 1_000)).expect("room");
    let mut export = stream(2, 5, 1_000, 0);
    export.work = Work::Export;
    model.submit(Moment(0), export).expect("room");
    let now = Moment(0) + after;
    assert!(model.cancel(now, attempt(1)));
    assert!(!model.cancel(now, attempt(1)));
    run(&mut model);
    assert_eq!(model.holdings().len(), 1, "the export is held until it is cancelled");
    assert!(model.cancel(now + Duration::from_secs(9), attempt(2)));
    assert_eq!(model.load(), Default::default());
}

#[test]
fn test_abandoned_answer_is_held_until_cancelled() {
    let mut model = model(400_000);
    model.submit(Moment(0), stream(1, 5, 1_000, 10)).unwrap();
    model.abandon(Moment(0), attempt(1));
    run(&mut model);
    assert_eq!(model.load().held, 1_010);
    assert!(model.cancel(Moment(9_000_000), attempt(1)));
    assert_eq!(model.load().held, 0);
}

#[test]
fn test_shared_prefix_is_read_once_and_evicted_for_requests() {
    let text = "a".repeat(40_960);
    let blocks = TextHash::default().read(&text);
    assert_eq!(blocks.len(), 10);
    let mut model = model(20_000);
    let mut cached = Vec::new();
    for seq in 1..=2 {
        let mut order = stream(seq, 5, 10_240, 2);
        order.blocks.clone_from(&blocks);
        model.submit(Moment(0), order).expect("room");
        cached.extend(run(&mut model).iter().filter_map(|event| match event.kind {
            EngineEventKind::Started { cached, .. } => Some(cached),
            _ => None,
        }));
    }
    assert_eq!(cached, [0, 10_239]);
    model.submit(Moment(0), stream(3, 5, 15_000, 2)).unwrap();
    assert_eq!(model.cached_blocks(&blocks), 4, "the prompt's start stays longest");
}

#[test]
fn test_segments_hash_like_the_whole_prompt() {
    let text: String = (0..20_000).map(|index| char::from(b'a' + (index % 23) as u8)).collect();
    let mut whole = TextHash::default();
    let blocks = whole.read(&text);
    let mut parts = TextHash::default();
    let mut found = parts.read(&text[..8_192]);
    found.extend(parts.read(&text[8_192..]));
    assert_eq!((found, parts.value()), (blocks, whole.value()));
}
