//! Which engines take a request, one pattern of load a case.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::state::*;
use wasabicrank_workload::gateway::ReplaySetup;

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn profile() -> EngineProfile {
    ReplaySetup::today().profile
}

fn query(prompt: u64) -> GroupQuery {
    let is_short = prompt < 24_000;
    GroupQuery {
        size: PromptSize { prompt, answer: 800 },
        gap_class: if is_short { GapClass::Tight } else { GapClass::Wide },
        objective_left: if is_short { ms(300) } else { ms(3_000) },
        abandon_after: if is_short { ms(2_000) } else { ms(12_000) },
        price: 0.0,
        jitter_seed: 7,
    }
}

fn candidate(load: ServerLoad) -> GroupCandidate {
    GroupCandidate { load, degraded: false, zone: 0, same_zone: true }
}

fn idle() -> GroupCandidate {
    candidate(ServerLoad::default())
}

fn with_short(count: u32) -> GroupCandidate {
    let load = ServerLoad {
        running: [count, 0, 0],
        response_value: [f64::from(count) * 1.3, 0.0, 0.0],
        tokens: u64::from(count) * 6_000,
        ..ServerLoad::default()
    };
    candidate(load)
}

fn reading(backlog: u64) -> GroupCandidate {
    let load = ServerLoad { backlog: ms(backlog), ..ServerLoad::default() };
    candidate(load)
}

fn sent(query: &GroupQuery, candidates: &[GroupCandidate]) -> GroupChoice {
    match choose_group(&profile(), query, candidates) {
        ChoiceOutcome::Send(choice) => choice,
        other => panic!("{other:?}"),
    }
}

fn members(choice: &GroupChoice) -> Vec<usize> {
    choice.helpers.iter().map(|helper| helper.position).chain([choice.first]).collect()
}

#[test]
fn a_short_prompt_joins_the_others_and_leaves_idle_engines_alone() {
    let candidates = [with_short(2), idle(), idle(), idle()];
    assert_eq!(sent(&query(5_000), &candidates).first, 0);
}

#[test]
fn a_short_prompt_avoids_an_engine_that_reads_a_long_one() {
    let candidates = [reading(900), with_short(1), idle()];
    assert_ne!(sent(&query(5_000), &candidates).first, 0);
}

#[test]
fn a_long_prompt_is_split_and_keeps_away_from_short_ones() {
    let candidates = [with_short(6), with_short(5), idle(), idle(), idle(), idle(), idle(), idle()];
    let choice = sent(&query(210_000), &candidates);
    let members = members(&choice);
    assert!(members.len() >= 4, "{members:?}");
    assert!(members.iter().all(|position| *position >= 2), "{members:?}");
    assert!(choice.first_event < ms(1_000));
}

#[test]
fn a_prompt_over_one_engines_memory_is_held_by_several() {
    let candidates = [idle(); 8];
    let choice = sent(&query(600_000), &candidates);
    let held: u64 = choice.helpers.iter().map(|helper| helper.held_tokens).sum();
    assert!(held >= 600_000 - 450_000, "{held}");
    assert!(choice.helpers.iter().all(|helper| helper.held_tokens <= 450_000));
}

struct Outcome {
    prompt: u64,
    price: f64,
    candidates: &'static [u64],
    joint: bool,
    outcome: fn(&ChoiceOutcome) -> bool,
}

const SENT: fn(&ChoiceOutcome) -> bool = |outcome| matches!(outcome, ChoiceOutcome::Send(_));
const WAITS: fn(&ChoiceOutcome) -> bool = |outcome| matches!(outcome, ChoiceOutcome::Wait(_));
const COSTLY: fn(&ChoiceOutcome) -> bool = |outcome| matches!(outcome, ChoiceOutcome::TooCostly);
const TOO_LATE: fn(&ChoiceOutcome) -> bool = |outcome| matches!(outcome, ChoiceOutcome::TooLate(_));
const TOO_LARGE: fn(&ChoiceOutcome) -> bool = |outcome| matches!(outcome, ChoiceOutcome::TooLarge);
const NO_ENGINE: fn(&ChoiceOutcome) -> bool = |outcome| matches!(outcome, ChoiceOutcome::NoEngine);

#[test_case(Outcome { prompt: 200_000, price: 0.0, candidates: &[0, 0, 0, 0], joint: true, outcome: SENT } ; "idle engines")]
#[test_case(Outcome { prompt: 200_000, price: 0.0, candidates: &[900, 900], joint: true, outcome: WAITS } ; "all engines read for a while")]
#[test_case(Outcome { prompt: 900_000, price: 5.0, candidates: &[0; 16], joint: true, outcome: COSTLY } ; "scarce time goes to shorter prompts")]
#[test_case(Outcome { prompt: 200_000, price: 5.0, candidates: &[0; 16], joint: true, outcome: SENT } ; "a prompt that is worth the scarce time")]
#[test_case(Outcome { prompt: 5_000, price: 0.0, candidates: &[2_500], joint: true, outcome: TOO_LATE } ; "the caller leaves before")]
#[test_case(Outcome { prompt: 600_000, price: 0.0, candidates: &[0; 8], joint: false, outcome: TOO_LARGE } ; "engines that cannot read together")]
#[test_case(Outcome { prompt: 5_000, price: 0.0, candidates: &[], joint: true, outcome: NO_ENGINE } ; "no engine at all")]
fn what_cannot_be_served_is_known_at_once(case: Outcome) {
    let candidates: Vec<GroupCandidate> = case.candidates.iter().copied().map(reading).collect();
    let profile = EngineProfile { joint: case.joint, ..profile() };
    let query = GroupQuery { price: case.price, ..query(case.prompt) };
    let outcome = choose_group(&profile, &query, &candidates);
    assert!((case.outcome)(&outcome), "{outcome:?}");
}

/// The places that hosts with the same view choose for a short prompt, one draw each.
fn places(candidates: &[GroupCandidate]) -> Vec<usize> {
    let place = |jitter_seed| sent(&GroupQuery { jitter_seed, ..query(5_000) }, candidates).first;
    (0..40).map(place).collect()
}

fn distinct(places: &[usize]) -> usize {
    places.iter().collect::<std::collections::BTreeSet<_>>().len()
}

#[test]
fn hosts_that_share_an_old_view_do_not_all_choose_the_same_engine() {
    // Twenty short prompts need more than one engine, and these are all alike.
    let candidates = [with_short(5); 6];
    let places = places(&candidates);
    assert!(distinct(&places) >= 3, "{places:?}");
    let most = (0..6).map(|at| places.iter().filter(|place| **place == at).count()).max();
    assert!(most <= Some(places.len() / 2), "{places:?}");
}

#[test]
fn few_short_prompts_stay_together_whatever_is_drawn() {
    let candidates = [with_short(3), idle(), idle(), idle(), idle(), idle()];
    assert_eq!(distinct(&places(&candidates)), 1);
}

struct Zones {
    near: ServerLoad,
    goes_near: bool,
}

fn busy(running: u32, backlog: u64) -> ServerLoad {
    ServerLoad { running: [running, 0, 0], backlog: ms(backlog), ..ServerLoad::default() }
}

#[test_case(Zones { near: busy(4, 0), goes_near: true } ; "room in the own zone")]
#[test_case(Zones { near: busy(4, 15), goes_near: true } ; "a short prompt is read in the own zone")]
#[test_case(Zones { near: busy(4, 400), goes_near: false } ; "a long prompt is read in the own zone")]
#[test_case(Zones { near: busy(16, 0), goes_near: false } ; "no slot in the own zone")]
fn a_short_prompt_leaves_its_zone_only_for_a_reason(zones: Zones) {
    let far = GroupCandidate { zone: 1, same_zone: false, ..candidate(busy(1, 0)) };
    let near = candidate(zones.near);
    let choice = sent(&query(5_000), &[far, near]);
    assert_eq!(choice.first == 1, zones.goes_near);
}
