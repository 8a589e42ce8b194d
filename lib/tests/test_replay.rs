//! Tests the performance goals of placement and queues by replaying seeded arrivals against engine
//! models.

use std::time::Duration;

use test_case::test_case;

use wasabicrank_workload::naive::NaivePick;
use wasabicrank_workload::replay_measure::BUCKETS;
use wasabicrank_workload::replay_measure::Contender;
use wasabicrank_workload::replay_measure::Measures;
use wasabicrank_workload::replay_measure::Scenario;

/// Duration over which requests arrive in one replay.
const SPAN: Duration = Duration::from_secs(600);

fn at_70(seed: u64, contender: &Contender) -> Measures {
    Scenario::plain("load 70%", 0.7, SPAN, seed).measure(contender)
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn short_requests_slow_down_by_a_third_at_most_where_round_robin_is_five_times_worse(seed: u64) {
    let ours = at_70(seed, &Contender::ours()).slowdown();
    let naive = at_70(seed, &Contender::Naive(NaivePick::RoundRobin)).slowdown();
    assert!(ours <= 1.3, "ours {ours:.2}");
    assert!(naive >= 5.0 * ours, "round robin {naive:.2}, ours {ours:.2}");
}

#[test_case(0; "up to 2k")]
#[test_case(1; "up to 4k")]
#[test_case(2; "up to 16k")]
#[test_case(3; "up to 100k")]
#[test_case(4; "up to one engine")]
#[test_case(5; "over one engine")]
fn the_first_token_comes_within_one_and_a_half_idle_prefills(bucket: usize) {
    let measures = at_70(1, &Contender::ours());
    let stretch = measures.stretch[bucket];
    assert!(stretch.count > 0, "no prompt in bucket {}", BUCKETS[bucket].name);
    assert!(stretch.p95 <= 1.5, "p95 is {:.2} times an idle prefill", stretch.p95);
}

#[test]
fn in_every_scenario_memory_holds_and_every_request_ends() {
    for scenario in Scenario::all(Duration::from_secs(240), 7) {
        let name = scenario.name;
        let measures = scenario.measure(&Contender::ours());
        assert_eq!(measures.over_memory, 0, "{name}: answers grew past an engine's memory");
        assert!(measures.peak_held <= 400_000, "{name}: {} tokens held", measures.peak_held);
        assert_eq!(measures.left_held, 0, "{name}: memory not given back");
        assert_eq!(measures.ends.open, 0, "{name}: requests without an end");
    }
}

#[test_case(1; "seed 1")]
#[test_case(2; "seed 2")]
#[test_case(3; "seed 3")]
fn no_long_prompt_misses_its_deadline_beside_short_ones(seed: u64) {
    let plain = Scenario::plain("load 70%", 0.7, SPAN, seed);
    let burst = Scenario { burst: true, ..plain.clone() };
    for scenario in [plain, burst] {
        let measures = scenario.measure(&Contender::ours());
        assert_eq!(measures.ends.long_missed, 0, "{:?}", measures.ends);
    }
}

#[test]
fn the_same_seed_gives_the_same_measures() {
    let scenario = Scenario::plain("load 85%", 0.85, Duration::from_secs(60), 5);
    assert_eq!(scenario.measure(&Contender::ours()), scenario.measure(&Contender::ours()));
}

/// A mechanism to disable and the expected effect.
struct OffCase {
    off: fn(&mut wasabicrank_workload::replay_fleet::FleetSettings),
    /// The minimum factor by which the slowdown of short requests grows.
    worse: f64,
}

#[test_case(OffCase { off: |s| { s.queue.length_isolation = false; s.placer.length_isolation = false; }, worse: 5.0 }; "length isolation")]
#[test_case(OffCase { off: |s| s.placer.peer_reports = false, worse: 1.0 }; "reports of peers")]
#[test_case(OffCase { off: |s| s.placer.short_reserve = false, worse: 1.0 }; "reserve")]
fn without_a_mechanism_short_requests_slow_down_more(case: OffCase) {
    let (mut with, mut without) = (0.0, 0.0);
    for seed in 1..=2 {
        let scenario = Scenario::plain("load 70%", 0.7, SPAN / 2, seed);
        let mut settings = Box::default();
        (case.off)(&mut settings);
        with += scenario.measure(&Contender::ours()).slowdown();
        without += scenario.measure(&Contender::Ours(settings)).slowdown();
    }
    assert!(without > with * case.worse, "{without:.2} without, {with:.2} with, over two seeds");
}
