//! Placement: which engine is chosen, which are left out and why, and when a request is refused.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use test_case::test_case;

use wasabicrank_lib::state::*;

const MEMORY: u32 = 400_000;

fn model() -> ModelName {
    ModelName::new("m")
}

fn engine(index: usize) -> EngineName {
    EngineName::new(format!("engine-{index:02}"))
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", index % 3))
}

fn candidates(count: usize) -> Vec<Candidate> {
    (0..count).map(|index| Candidate::new(engine(index), zone(index), MEMORY)).collect()
}

fn load(index: usize) -> EngineLoad {
    EngineLoad {
        engine: engine(index),
        short_tokens: 0,
        long_tokens: 0,
        level_tokens: [0; LENGTH_LEVELS],
        requests: 0,
        held: 0,
        memory: MEMORY,
        prefill_rate: 20_000,
        decode_rate: 30_000,
        healthy: true,
        models: vec![model()],
    }
}

fn placer(seed: u64) -> Placer {
    Placer::new(PlacerSettings::default(), zone(0), seed)
}

fn query<'a>(model: &'a ModelName, tokens: u32, blocks: &'a [PrefixHash]) -> PlacementQuery<'a> {
    PlacementQuery {
        model,
        prompt_tokens: tokens,
        output_tokens: 500,
        blocks,
        left: Duration::from_secs(300),
        tried: &[],
    }
}

fn chosen(choice: &PlacementChoice) -> Option<&EngineName> {
    match &choice.placement {
        Placement::Engine { engine, .. } => Some(engine),
        _ => None,
    }
}

/// A change by which engine 0 is left out although it would be the first choice.
struct LeftOutCase {
    tokens: u32,
    change: fn(&mut Candidate, &mut EngineLoad),
    left_out: LeftOut,
}

#[test_case(LeftOutCase { tokens: 1_000, change: |c, _| c.live = false, left_out: LeftOut::NotLive }; "leaving")]
#[test_case(LeftOutCase { tokens: 1_000, change: |_, l| l.healthy = false, left_out: LeftOut::NotLive }; "not answering")]
#[test_case(LeftOutCase { tokens: 1_000, change: |_, l| l.models.clear(), left_out: LeftOut::NoModel }; "without the model")]
#[test_case(LeftOutCase { tokens: 50_000, change: |c, _| c.memory = 40_000, left_out: LeftOut::NoMemory }; "too small")]
#[test_case(LeftOutCase { tokens: 50_000, change: |c, _| c.role = EngineRole::Short, left_out: LeftOut::ShortReserve }; "reserved for short prompts")]
fn an_engine_is_left_out_for_a_reason(case: LeftOutCase) {
    let mut placer = placer(1);
    let mut candidates = candidates(2);
    let mut loads = [load(0), load(1)];
    loads[1].level_tokens = [100_000; LENGTH_LEVELS];
    (case.change)(&mut candidates[0], &mut loads[0]);
    for load in loads {
        placer.report(Moment(0), load);
    }
    let model = model();
    let choice = placer.choose(Moment(0), &query(&model, case.tokens, &[]), &candidates);
    assert_eq!(chosen(&choice), Some(&engine(1)));
    let out = choice.considered.iter().find(|item| item.engine == engine(0));
    assert_eq!(out.and_then(|item| item.left_out), Some(case.left_out));
}

struct RefusalCase {
    tokens: u32,
    left: Duration,
    live: bool,
    reason: Reason,
    retries: bool,
}

#[test_case(RefusalCase { tokens: 1_000, left: Duration::from_secs(30), live: false, reason: Reason::NoTarget, retries: true }; "no engine")]
#[test_case(RefusalCase { tokens: 100_000, left: Duration::from_secs(3), live: true, reason: Reason::DeadlineTooShort, retries: true }; "no time")]
#[test_case(RefusalCase { tokens: 1_100_000, left: Duration::from_secs(300), live: true, reason: Reason::PromptTooLong, retries: false }; "over two and a half engines")]
fn a_request_that_cannot_be_served_is_refused_at_once(case: RefusalCase) {
    let mut placer = placer(1);
    let mut candidates = candidates(16);
    candidates.iter_mut().for_each(|candidate| candidate.live = case.live);
    let model = model();
    let mut query = query(&model, case.tokens, &[]);
    query.left = case.left;
    let choice = placer.choose(Moment(0), &query, &candidates);
    let Placement::Refuse { reason, retry_after } = choice.placement else {
        panic!("placed: {choice:?}");
    };
    assert_eq!((reason, retry_after.is_some()), (case.reason, case.retries));
}

#[test]
fn entry_hosts_agree_on_the_engine_for_a_prefix() {
    let candidates = candidates(16);
    let model = model();
    for first in 0..50u64 {
        let blocks = [PrefixHash(first * 7_919 + 1), PrefixHash(first)];
        let picks = (0..5).map(|seed| {
            let choice =
                placer(seed).choose(Moment(0), &query(&model, 3_000, &blocks), &candidates);
            chosen(&choice).cloned()
        });
        let picks: BTreeSet<Option<EngineName>> = picks.collect();
        assert_eq!(picks.len(), 1, "block {first} goes to {picks:?}");
    }
}

#[test]
fn a_busy_engine_loses_requests_with_its_prefix() {
    let candidates = candidates(16);
    let model = model();
    let blocks: Vec<PrefixHash> = (1..=8).map(PrefixHash).collect();
    let mut placer = placer(1);
    let preferred =
        chosen(&placer.choose(Moment(0), &query(&model, 9_000, &blocks), &candidates)).cloned();
    let preferred = preferred.unwrap();
    let index = (0..16).find(|index| engine(*index) == preferred).unwrap();
    placer.record_cached(Moment(0), &preferred, &blocks);
    let mut busy = load(index);
    // The queue costs 200 ms and the cached 8,192 tokens save 410 ms.
    busy.level_tokens[0] = 4_000;
    placer.report(Moment(0), busy.clone());
    let choice = placer.choose(Moment(0), &query(&model, 9_000, &blocks), &candidates);
    assert_eq!(chosen(&choice), Some(&preferred));
    busy.level_tokens[0] = 20_000;
    placer.report(Moment(0), busy);
    let choice = placer.choose(Moment(0), &query(&model, 9_000, &blocks), &candidates);
    assert_ne!(chosen(&choice), Some(&preferred));
}

#[test_case(16; "small fleet")]
#[test_case(11_000; "large fleet")]
fn hosts_that_place_concurrently_do_not_all_choose_one_engine(engines: usize) {
    let candidates = candidates(engines);
    let model = model();
    let mut picks: BTreeMap<EngineName, u32> = BTreeMap::new();
    for host in 0..32 {
        let mut placer = placer(host);
        for index in 0..engines {
            placer.report(Moment(0), load(index));
        }
        let choice = placer.choose(Moment(1), &query(&model, 2_000, &[]), &candidates);
        *picks.entry(chosen(&choice).cloned().expect("a choice")).or_default() += 1;
    }
    let most = picks.values().max().copied().unwrap_or(0);
    assert!(most <= 8, "{most} of 32 hosts chose one engine");
}

#[test]
fn a_host_counts_its_own_placements_until_they_are_reported() {
    let candidates = candidates(2);
    let model = model();
    let mut placer = placer(1);
    placer.report(Moment(0), load(0));
    placer.report(Moment(0), load(1));
    placer.record_placement(Moment(10), &engine(0), 4_000);
    for _ in 0..20 {
        let choice = placer.choose(Moment(20), &query(&model, 1_000, &[]), &candidates);
        assert_eq!(chosen(&choice), Some(&engine(1)));
    }
    placer.report(Moment(30), load(0));
    placer.record_placement(Moment(40), &engine(1), 4_000);
    let choice = placer.choose(Moment(50), &query(&model, 1_000, &[]), &candidates);
    assert_eq!(chosen(&choice), Some(&engine(0)));
}

#[test]
fn long_prompts_stay_off_the_reserve_that_the_load_requires() {
    let candidates = candidates(16);
    let model = model();
    let mut placer = placer(1);
    let mut used = BTreeSet::new();
    for _ in 0..400 {
        placer.choose(Moment(0), &query(&model, 4_000, &[]), &candidates);
    }
    for _ in 0..20 {
        placer.choose(Moment(0), &query(&model, 200_000, &[]), &candidates);
    }
    for _ in 0..200 {
        let choice = placer.choose(Moment(0), &query(&model, 200_000, &[]), &candidates);
        used.extend(chosen(&choice).cloned());
    }
    assert!(used.len() < 16 && used.len() >= 8, "{} engines take long prompts", used.len());
}

struct GroupCase {
    tokens: u32,
    members: usize,
}

#[test_case(GroupCase { tokens: 380_000, members: 2 }; "just over one engine")]
#[test_case(GroupCase { tokens: 700_000, members: 2 }; "two engines")]
#[test_case(GroupCase { tokens: 999_000, members: 3 }; "two and a half engines")]
fn a_prompt_over_one_engine_is_split(case: GroupCase) {
    let model = model();
    let choice = placer(1).choose(Moment(0), &query(&model, case.tokens, &[]), &candidates(16));
    let Placement::Group(segments) = choice.placement else { panic!("no group: {choice:?}") };
    assert_eq!(segments.len(), case.members);
    assert_eq!(segments.iter().map(|segment| segment.tokens).sum::<u32>(), case.tokens);
    let names: BTreeSet<&EngineName> = segments.iter().map(|segment| &segment.engine).collect();
    assert_eq!(names.len(), case.members, "an engine is used twice");
    let (last, first) = segments.split_last().expect("segments");
    assert!(first.iter().all(|segment| segment.tokens.is_multiple_of(BLOCK_TOKENS)));
    assert!(segments.iter().all(|s| s.tokens + s.output_tokens <= long_prompt_memory(MEMORY)));
    assert_eq!(last.output_tokens, 500);
}

#[test]
fn lost_cache_events_remove_as_many_blocks_and_late_ones_do_not_undo_newer_uses() {
    let mut index = PrefixIndex::new(100);
    let stored =
        |seq, hash| CacheEvent { seq, change: CacheChange::Stored, hash: PrefixHash(hash) };
    let evicted =
        |seq, hash| CacheEvent { seq, change: CacheChange::Evicted, hash: PrefixHash(hash) };
    index.apply_events(Moment(0), &[stored(1, 1), stored(2, 2), stored(3, 3)]);
    // Two events are lost; each may have been an eviction.
    index.apply_events(Moment(0), &[stored(6, 4)]);
    assert_eq!(index.len(), 2);
    index.record_cached(Moment(10_000_000), &[PrefixHash(3)]);
    index.apply_events(Moment(10_500_000), &[evicted(7, 3), evicted(8, 4)]);
    assert_eq!(index.cached_tokens(&[PrefixHash(3)]), BLOCK_TOKENS);
    assert_eq!(index.cached_tokens(&[PrefixHash(4)]), 0);
}
