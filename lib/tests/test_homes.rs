//! Homes of idempotency keys under seeded schedules of failures, and by focused cases.

mod homes;

use std::time::Duration;

use homes::Counts;
use homes::Faults;
use homes::NONE;
use homes::World;
use test_case::test_case;
use wasabicrank_lib::coordination::HomeSettings;

/// Schedules that one run tries, unless `WASABICRANK_SCHEDULES` says otherwise.
const SCHEDULES: u64 = 10_000;

/// The threads that share the schedules.
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

/// Everything at once.
const ALL: Faults = Faults {
    drop: 20,
    repeat: 30,
    delay: 30,
    cut: 40,
    kill: 15,
    freeze: 25,
    suspend: 8,
    stop: 8,
    list: 15,
    sleepy_send: 60,
    lost_reply: 60,
};

/// Entry hosts come and go while links are cut.
const LISTS: Faults = Faults { list: 50, cut: 60, kill: 10, sleepy_send: 30, ..NONE };

/// Keeps the faults of the kinds that the bits of `kinds` name, so that some schedules have few.
fn some_of(kinds: u64) -> Faults {
    let keep = |bit: u64, chance: u32| if kinds >> bit & 1 == 1 { chance } else { 0 };
    Faults {
        drop: keep(0, ALL.drop),
        repeat: keep(1, ALL.repeat),
        delay: keep(1, ALL.delay),
        cut: keep(2, ALL.cut),
        kill: keep(3, ALL.kill),
        freeze: keep(4, ALL.freeze),
        suspend: keep(5, ALL.suspend),
        stop: keep(6, 2 * ALL.stop),
        list: keep(7, ALL.list),
        sleepy_send: keep(4, ALL.sleepy_send),
        lost_reply: keep(0, ALL.lost_reply),
    }
}

fn schedule(seed: u64) -> Result<Counts, String> {
    let count = 3 + (seed % 3) as usize;
    let faults = match seed % 8 {
        0 | 4 => ALL,
        3 => LISTS,
        _ => some_of(seed.wrapping_mul(0x9E37_79B9) >> 8),
    };
    // With close clocks the age of keys hides little of what leases must do.
    let clock_skew = Duration::from_millis(if seed % 8 < 4 { 20 } else { 200 });
    let settings = HomeSettings { clock_skew, ..settings() };
    let mut world = World::new(seed, count, settings, faults);
    world.run(800_000, 0, 0);
    world.run(4_000_000, 3_800_000, 350);
    world.heal();
    // A frozen host finds its last copies 1.5 s later, and they have 1.5 s left.
    world.settle(7_200_000);
    let counts = world.finish();
    match world.error {
        Some(error) => Err(format!("seed {seed}: {error}")),
        None => Ok(counts),
    }
}

fn number(name: &str, or: u64) -> u64 {
    std::env::var(name).ok().and_then(|text| text.parse().ok()).unwrap_or(or)
}

/// Runs `WASABICRANK_SCHEDULES` schedules from seed `WASABICRANK_SEED` on.
#[test]
fn nothing_runs_twice_under_any_schedule() {
    let first = number("WASABICRANK_SEED", 0);
    let count = number("WASABICRANK_SCHEDULES", SCHEDULES);
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
    // Refusing everything would be safe and useless.
    assert!(served > count, "only {served} calls were answered");
}

/// A quiet fleet, and one whose hosts stop one after the other.
struct Smooth {
    hosts: usize,
    stops: usize,
    /// How many hosts stop at once or up to 150 ms after each other.
    together: usize,
}

#[test_case(Smooth { hosts: 1, stops: 0, together: 0 }; "one host")]
#[test_case(Smooth { hosts: 3, stops: 0, together: 0 }; "three hosts")]
#[test_case(Smooth { hosts: 5, stops: 0, together: 0 }; "five hosts")]
#[test_case(Smooth { hosts: 3, stops: 1, together: 1 }; "one of three stops")]
#[test_case(Smooth { hosts: 5, stops: 5, together: 1 }; "rolling stop of five")]
#[test_case(Smooth { hosts: 5, stops: 4, together: 2 }; "stops of two at once")]
fn serves_every_call_without_faults(case: Smooth) {
    let settings = HomeSettings { claim_life: Duration::from_secs(3), ..settings() };
    for seed in 0..40 {
        let mut world = World::new(seed, case.hosts, settings, NONE);
        world.run(2_000_000, 0, 0);
        let mut end = 2_000_000;
        for first in (0..case.stops).step_by(case.together.max(1)) {
            let group = first..first + case.together;
            world.run(end + 500_000, 0, 300);
            for stop in group.clone() {
                world.begin_stop(stop);
                let passed = (stop + 1 - group.start) as u64;
                world.run(end + 500_000 + passed * (seed % 4) * 50_000, 0, 300);
            }
            world.run(end + 1_500_000, 0, 300);
            // The last copies come 1.2 s after the first.
            world.run(end + 5_000_000, 0, 0);
            for stop in group {
                assert!(world.is_stopped(stop), "seed {seed}: host {stop} did not stop");
                world.restart(stop);
            }
            end += 6_000_000;
        }
        world.run(end + 14_000_000, 0, 300);
        world.run(end + 18_000_000, 0, 0);
        let counts = world.finish();
        assert_eq!(world.error, None, "seed {seed}");
        assert_eq!(counts.not_run + counts.unknown, 0, "seed {seed}: {counts:?}");
        assert!(counts.served > 80, "seed {seed}: {counts:?}");
    }
}

/// How long calls may go unanswered after one of the hosts was killed, and is not replaced or is:
/// a lease of 2 s, three times the clock skew of 1 s, and half a second to ask.
struct Kill {
    hosts: usize,
    restarts: bool,
    /// Microseconds.
    most: u64,
}

#[test_case(Kill { hosts: 3, restarts: false, most: 5_500_000 }; "one of three dies")]
#[test_case(Kill { hosts: 5, restarts: false, most: 5_500_000 }; "one of five dies")]
#[test_case(Kill { hosts: 5, restarts: true, most: 5_500_000 }; "one of five is replaced at once")]
fn calls_are_answered_again_soon_after_a_death(case: Kill) {
    const DEATH: u64 = 6_000_000;
    let settings = HomeSettings { claim_life: Duration::from_secs(60), ..Default::default() };
    let mut longest = 0;
    for seed in 0..20 {
        let mut world = World::new(seed, case.hosts, settings, NONE);
        world.run(DEATH - 1_000_000, 0, 0);
        world.run(DEATH, 0, 500);
        world.kill(1);
        if case.restarts {
            world.restart(1);
        }
        world.run(DEATH + 10_000_000, 0, 500);
        world.run(DEATH + 14_000_000, 0, 0);
        world.finish();
        assert_eq!(world.error, None, "seed {seed}");
        longest = longest.max(world.last_unknown().saturating_sub(DEATH));
    }
    println!("unanswered for up to {longest} us");
    assert!(longest <= case.most, "{longest} us");
}
