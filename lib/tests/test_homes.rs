//! Homes of idempotency keys under seeded schedules of faults, and in specific scenarios.

mod homes;

use std::time::Duration;

use homes::Counts;
use homes::Faults;
use homes::NO_FAULTS;
use homes::Simulation;
use test_case::test_case;
use wasabicrank_lib::coordination::HomeSettings;

/// The number of schedules in one run, unless `WASABICRANK_SCHEDULES` is set.
const SCHEDULES: u64 = 10_000;

/// The number of threads that run the schedules.
const THREADS: u64 = 4;

fn settings() -> HomeSettings {
    HomeSettings {
        lease: Duration::from_millis(500),
        clock_skew: Duration::from_millis(200),
        claim_life: Duration::from_millis(1_100),
        max_claims: 64,
        ..HomeSettings::default()
    }
}

/// All kinds of faults.
const ALL_FAULTS: Faults = Faults {
    drop: 20,
    duplicate: 30,
    delay: 30,
    cut: 40,
    kill: 15,
    freeze: 25,
    suspend: 8,
    stop: 8,
    list: 15,
    freeze_on_send: 60,
    lost_reply: 60,
};

/// Changes of the live list while links are cut.
const LIST_FAULTS: Faults = Faults { list: 50, cut: 60, kill: 10, freeze_on_send: 30, ..NO_FAULTS };

/// Keeps the kinds of faults whose bits in `mask` are set, so that some schedules have few kinds.
fn selected_faults(mask: u64) -> Faults {
    let keep = |bit: u64, chance: u32| if mask >> bit & 1 == 1 { chance } else { 0 };
    Faults {
        drop: keep(0, ALL_FAULTS.drop),
        duplicate: keep(1, ALL_FAULTS.duplicate),
        delay: keep(1, ALL_FAULTS.delay),
        cut: keep(2, ALL_FAULTS.cut),
        kill: keep(3, ALL_FAULTS.kill),
        freeze: keep(4, ALL_FAULTS.freeze),
        suspend: keep(5, ALL_FAULTS.suspend),
        stop: keep(6, 2 * ALL_FAULTS.stop),
        list: keep(7, ALL_FAULTS.list),
        freeze_on_send: keep(4, ALL_FAULTS.freeze_on_send),
        lost_reply: keep(0, ALL_FAULTS.lost_reply),
    }
}

fn schedule(seed: u64) -> Result<Counts, String> {
    let count = 3 + (seed % 3) as usize;
    let faults = match seed % 8 {
        0 | 4 => ALL_FAULTS,
        3 => LIST_FAULTS,
        _ => selected_faults(seed.wrapping_mul(0x9E37_79B9) >> 8),
    };
    // A small clock skew refuses fewer keys by age, which tests the leases more thoroughly.
    let clock_skew = Duration::from_millis(if seed % 8 < 4 { 20 } else { 200 });
    let settings = HomeSettings { clock_skew, ..settings() };
    let mut simulation = Simulation::new(seed, count, settings, faults);
    simulation.run(800_000, 0, 0);
    simulation.run(4_000_000, 3_800_000, 350);
    simulation.heal();
    // A frozen host receives its last copies up to 1.5 s later, and they have up to 1.5 s left.
    simulation.settle(7_200_000);
    let counts = simulation.finish();
    match simulation.error {
        Some(error) => Err(format!("seed {seed}: {error}")),
        None => Ok(counts),
    }
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Runs `WASABICRANK_SCHEDULES` schedules from seed `WASABICRANK_SEED` on.
#[test]
fn nothing_runs_twice_under_any_schedule() {
    let first = env_number("WASABICRANK_SEED", 0);
    let count = env_number("WASABICRANK_SCHEDULES", SCHEDULES);
    let workers: Vec<_> = (0..THREADS)
        .map(|worker| {
            std::thread::spawn(move || -> Result<Counts, String> {
                let mut sum = Counts::default();
                for seed in (first..first + count).filter(|seed| seed % THREADS == worker) {
                    let counts = schedule(seed)?;
                    sum.copies += counts.copies;
                    sum.served += counts.served;
                    sum.not_run += counts.not_run;
                    sum.failed += counts.failed;
                    sum.unknown += counts.unknown;
                    sum.runs += counts.runs;
                }
                Ok(sum)
            })
        })
        .collect();
    let results: Vec<_> = workers.into_iter().map(|worker| worker.join().unwrap()).collect();
    for result in &results {
        println!("{result:?}");
    }
    let served: u64 = results.iter().map(|sum| sum.as_ref().map_or(0, |sum| sum.served)).sum();
    let errors: Vec<_> = results.iter().filter_map(|sum| sum.as_ref().err()).collect();
    assert!(errors.is_empty(), "{errors:?}");
    // Guards against passing by refusing all calls.
    assert!(served > count, "only {served} calls were answered");
}

/// A fleet without faults, whose hosts may stop one after the other.
struct StopCase {
    hosts: usize,
    stops: usize,
    /// How many hosts stop at once or within 150 ms of each other.
    simultaneous: usize,
}

#[test_case(StopCase { hosts: 1, stops: 0, simultaneous: 0 }; "one host")]
#[test_case(StopCase { hosts: 3, stops: 0, simultaneous: 0 }; "three hosts")]
#[test_case(StopCase { hosts: 5, stops: 0, simultaneous: 0 }; "five hosts")]
#[test_case(StopCase { hosts: 3, stops: 1, simultaneous: 1 }; "one of three stops")]
#[test_case(StopCase { hosts: 5, stops: 5, simultaneous: 1 }; "rolling stop of five")]
#[test_case(StopCase { hosts: 5, stops: 4, simultaneous: 2 }; "stops of two at once")]
fn serves_every_call_without_faults(case: StopCase) {
    let settings = HomeSettings { claim_life: Duration::from_secs(3), ..settings() };
    for seed in 0..40 {
        let mut simulation = Simulation::new(seed, case.hosts, settings, NO_FAULTS);
        simulation.run(2_000_000, 0, 0);
        let mut end = 2_000_000;
        for first in (0..case.stops).step_by(case.simultaneous.max(1)) {
            let group = first..first + case.simultaneous;
            simulation.run(end + 500_000, 0, 300);
            for stop in group.clone() {
                simulation.begin_stop(stop);
                let passed = (stop + 1 - group.start) as u64;
                simulation.run(end + 500_000 + passed * (seed % 4) * 50_000, 0, 300);
            }
            simulation.run(end + 1_500_000, 0, 300);
            // The last copies are sent 1.2 s after the first.
            simulation.run(end + 5_000_000, 0, 0);
            for stop in group {
                assert!(simulation.is_stopped(stop), "seed {seed}: host {stop} did not stop");
                simulation.restart(stop);
            }
            end += 6_000_000;
        }
        simulation.run(end + 14_000_000, 0, 300);
        simulation.run(end + 18_000_000, 0, 0);
        let counts = simulation.finish();
        assert_eq!(simulation.error, None, "seed {seed}");
        assert_eq!(counts.not_run + counts.unknown, 0, "seed {seed}: {counts:?}");
        assert!(counts.served > 80, "seed {seed}: {counts:?}");
    }
}

/// The maximum time for which calls go unanswered after a host is killed, with or without a
/// replacement: a lease of 2 s, three times the clock skew of 1 s, and 0.5 s to obtain the lease.
struct KillCase {
    hosts: usize,
    restarts: bool,
    /// Microseconds.
    max_outage: u64,
}

#[test_case(KillCase { hosts: 3, restarts: false, max_outage: 5_500_000 }; "one of three is killed")]
#[test_case(KillCase { hosts: 5, restarts: false, max_outage: 5_500_000 }; "one of five is killed")]
#[test_case(KillCase { hosts: 5, restarts: true, max_outage: 5_500_000 }; "one of five is replaced at once")]
fn calls_are_answered_again_soon_after_a_kill(case: KillCase) {
    const KILL_TIME: u64 = 6_000_000;
    let settings = HomeSettings { claim_life: Duration::from_secs(60), ..Default::default() };
    let mut longest = 0;
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, case.hosts, settings, NO_FAULTS);
        simulation.run(KILL_TIME - 1_000_000, 0, 0);
        simulation.run(KILL_TIME, 0, 500);
        simulation.kill(1);
        if case.restarts {
            simulation.restart(1);
        }
        simulation.run(KILL_TIME + 10_000_000, 0, 500);
        simulation.run(KILL_TIME + 14_000_000, 0, 0);
        simulation.finish();
        assert_eq!(simulation.error, None, "seed {seed}");
        longest = longest.max(simulation.last_unknown().saturating_sub(KILL_TIME));
    }
    println!("unanswered for up to {longest} us");
    assert!(longest <= case.max_outage, "{longest} us");
}
