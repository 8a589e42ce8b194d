//! Limits per customer over several entry hosts, checked against a record of every admission.

use std::time::Duration;

use indexmap::IndexMap;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::RngSeed;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use wasabicrank_lib::state::*;
use wasabicrank_workload::naive::NaiveLimit;

const RATE: u32 = 100_000;
const WINDOW: Duration = Duration::from_secs(10);
const TICK_MS: u64 = 10;
const HEARTBEAT_TICKS: u64 = 20;

fn rule(rate: u32, in_flight: u32, weight: u32) -> CustomerRule {
    CustomerRule { token_hash: [0; 32], weight, rate, in_flight, priority: Priority::Normal }
}

fn host(index: usize) -> HostName {
    HostName::new(format!("host-{index}"))
}

/// Entry hosts that report to each other, with a record of the admissions of each customer.
struct Fleet {
    hosts: Vec<CustomerLimits>,
    /// The side of the partition of each host.
    sides: Vec<usize>,
    record: IndexMap<CustomerName, NaiveLimit>,
    running: Vec<(u64, usize, CustomerName)>,
    peak_running: usize,
    tick: u64,
}

impl Fleet {
    fn new(count: usize, rules: &[(&str, CustomerRule)]) -> Fleet {
        let rules = rules.iter().map(|(name, rule)| (CustomerName::new(*name), rule.clone()));
        let rules: IndexMap<CustomerName, CustomerRule> = rules.collect();
        let mut limits = CustomerLimits::new();
        limits.set_rules(&rules);
        let record = rules.keys().map(|name| (name.clone(), NaiveLimit::default())).collect();
        let mut fleet = Fleet {
            hosts: vec![limits; count],
            sides: vec![0; count],
            record,
            running: Vec::new(),
            peak_running: 0,
            tick: 0,
        };
        (0..count).for_each(|from| fleet.heartbeat(from));
        fleet
    }

    fn now(&self) -> Moment {
        Moment(self.tick * TICK_MS * 1_000)
    }

    /// Sends the heartbeat of a host to the hosts on its side.
    fn heartbeat(&mut self, from: usize) {
        let now = self.now();
        let usage = self.hosts[from].usage(now);
        for to in 0..self.hosts.len() {
            if from != to && self.sides[from] == self.sides[to] {
                self.hosts[to].record_peer_usage(now, &host(from), &usage);
            }
        }
    }

    /// Advances by one tick; an admitted request runs for `run` ticks.
    fn step(&mut self, requests: &[(usize, &str, u32)], run: u64) {
        let now = self.now();
        for (index, customer, tokens) in requests {
            let customer = CustomerName::new(*customer);
            if self.hosts[*index].admit(now, &customer, *tokens).is_ok() {
                self.record[&customer].admit(now, *tokens);
                self.running.push((self.tick + run, *index, customer));
            }
        }
        self.peak_running = self.peak_running.max(self.running.len());
        let done = self.running.extract_if(.., |(until, ..)| *until <= self.tick);
        for (_, index, customer) in done.collect::<Vec<_>>() {
            self.hosts[index].release(now, &customer, 0);
        }
        self.tick += 1;
        // The heartbeats of the hosts are spread over the period.
        for from in 0..self.hosts.len() {
            if self.tick % HEARTBEAT_TICKS
                == from as u64 * HEARTBEAT_TICKS / self.hosts.len() as u64
            {
                self.heartbeat(from);
            }
        }
    }

    fn peak_share(&self, customer: &str) -> f64 {
        let most = self.record[&CustomerName::new(customer)].most_within(WINDOW);
        most as f64 / (f64::from(RATE) * WINDOW.as_secs_f64())
    }
}

/// How a customer's requests spread over the hosts.
struct SpreadCase {
    hosts: usize,
    /// The demand, relative to the limit.
    demand: f64,
    /// Picks the host of a request in a tick.
    pick: fn(u64, &mut SmallRng) -> usize,
    /// The minimum of what the customer gets, relative to its limit.
    least: f64,
}

#[test_case(SpreadCase { hosts: 5, demand: 3.0, pick: |_, rng| rng.random_range(0..5), least: 0.85 }; "even")]
#[test_case(SpreadCase { hosts: 5, demand: 3.0, pick: |_, _| 2, least: 0.85 }; "one host")]
#[test_case(SpreadCase { hosts: 5, demand: 3.0, pick: |tick, _| (tick / 300) as usize % 5, least: 0.7 }; "moving every three seconds")]
#[test_case(SpreadCase { hosts: 5, demand: 10.0, pick: |tick, _| (tick / 50) as usize % 5, least: 0.3 }; "moving every half second")]
#[test_case(SpreadCase { hosts: 2, demand: 0.8, pick: |_, rng| rng.random_range(0..2), least: 0.7 }; "under the limit")]
fn the_sum_stays_within_a_tenth_of_the_limit(case: SpreadCase) {
    let mut fleet = Fleet::new(case.hosts, &[("cotisa", rule(RATE, 1_000_000, 1))]);
    let mut rng = SmallRng::seed_from_u64(1);
    let per_tick = f64::from(RATE) * case.demand * TICK_MS as f64 / 1_000.0;
    for tick in 0..4_000u64 {
        let mut left = per_tick;
        let mut requests = Vec::new();
        while left > 0.0 {
            let tokens = rng.random_range(100..2_000u32).min(left.ceil() as u32);
            left -= f64::from(tokens);
            requests.push(((case.pick)(tick, &mut rng), "cotisa", tokens));
        }
        fleet.step(&requests, 1);
    }
    let most = fleet.peak_share("cotisa");
    assert!(most <= 1.1, "{most:.3} of the limit within 10 s");
    assert!(most >= case.least, "only {most:.3} of the limit within 10 s");
}

#[test]
fn during_a_partition_the_sum_is_at_most_the_limit_for_each_side() {
    let mut fleet = Fleet::new(4, &[("cotisa", rule(RATE, 1_000_000, 1))]);
    let mut rng = SmallRng::seed_from_u64(2);
    for tick in 0..6_000u64 {
        if tick == 1_000 {
            fleet.sides = vec![0, 0, 1, 1];
        }
        if tick == 4_000 {
            fleet.sides = vec![0; 4];
        }
        let requests: Vec<(usize, &str, u32)> =
            (0..4).map(|host| (host, "cotisa", rng.random_range(500..1_500))).collect();
        fleet.step(&requests, 1);
    }
    let most = fleet.peak_share("cotisa");
    assert!(most <= 2.2, "{most:.3} of the limit within 10 s");
}

struct FlightCase {
    hosts: usize,
    limit: u32,
}

#[test_case(FlightCase { hosts: 5, limit: 100 }; "many slots")]
#[test_case(FlightCase { hosts: 5, limit: 3 }; "fewer slots than hosts")]
#[test_case(FlightCase { hosts: 1, limit: 7 }; "one host")]
fn requests_in_flight_exceed_the_limit_by_at_most_one_for_each_other_host(case: FlightCase) {
    let mut fleet = Fleet::new(case.hosts, &[("cotisa", rule(1_000_000_000, case.limit, 1))]);
    let mut rng = SmallRng::seed_from_u64(3);
    for _ in 0..3_000 {
        let requests: Vec<(usize, &str, u32)> =
            (0..4).map(|_| (rng.random_range(0..case.hosts), "cotisa", 100)).collect();
        let run = rng.random_range(1..200);
        fleet.step(&requests, run);
    }
    let most = case.limit as usize + case.hosts - 1;
    assert!(fleet.peak_running <= most, "{} in flight, limit {}", fleet.peak_running, case.limit);
    assert!(fleet.peak_running >= case.limit as usize, "only {} in flight", fleet.peak_running);
}

#[test]
fn when_the_fleet_is_full_small_customers_get_their_share() {
    let names = ["big-1", "big-2", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8"];
    let rules: Vec<(&str, CustomerRule)> =
        names.iter().map(|name| (*name, rule(RATE, 1_000_000, 1))).collect();
    let mut fleet = Fleet::new(3, &rules);
    let capacity = f64::from(RATE);
    for limits in &mut fleet.hosts {
        limits.set_pressure(FleetPressure { full: true, capacity });
    }
    let mut rng = SmallRng::seed_from_u64(4);
    for tick in 0..3_000 {
        // Tokens that accumulated before the hosts knew that the fleet is full do not count.
        if tick == 100 {
            fleet.record.values_mut().for_each(|record| *record = NaiveLimit::default());
        }
        let mut requests = Vec::new();
        for name in names {
            let tokens = if name.starts_with("big") { 1_000 } else { 50 };
            requests.push((rng.random_range(0..3), name, tokens));
        }
        fleet.step(&requests, 1);
    }
    // Each small customer requests 5,000 tokens a second, below its fair share of 10,000.
    for name in &names[2..] {
        let got = fleet.peak_share(name);
        assert!(got >= 0.045, "{name} got {got:.3} of a whole limit");
    }
    let sum: f64 = names.iter().map(|name| fleet.peak_share(name)).sum();
    assert!(sum <= 1.1, "{sum:.3} of the capacity given away");
}

#[test]
fn a_customer_with_few_requests_far_below_its_limit_is_not_refused() {
    let mut fleet = Fleet::new(5, &[("cotisa", rule(RATE, 100, 1))]);
    let mut rng = SmallRng::seed_from_u64(6);
    let (mut sent, before) = (0usize, fleet.running.len());
    let mut admitted = 0;
    for tick in 0..6_000u64 {
        if !tick.is_multiple_of(100) {
            fleet.step(&[], 1);
            continue;
        }
        sent += 1;
        // 8,000 tokens a second of 100,000.
        fleet.step(&[(rng.random_range(0..5), "cotisa", 8_000)], 50);
        admitted += fleet.running.len() - before;
    }
    assert_eq!(admitted, sent);
}

#[test]
fn a_retry_after_the_delay_of_a_refusal_succeeds() {
    let mut fleet = Fleet::new(1, &[("cotisa", rule(1_000, 100, 1))]);
    let customer = CustomerName::new("cotisa");
    let limits = &mut fleet.hosts[0];
    while limits.admit(Moment(0), &customer, 100).is_ok() {}
    let refusal = limits.admit(Moment(0), &customer, 100).unwrap_err();
    assert_eq!((refusal.outcome, refusal.reason), (Outcome::NotRun, Reason::RateLimit));
    let later = Moment(0) + refusal.retry_after.unwrap();
    assert!(limits.admit(later, &customer, 100).is_ok());
}

fn config() -> Config {
    Config {
        cases: 64,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(5),
        failure_persistence: None,
        ..Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    // A single host is a token bucket, so a naive token bucket agrees on every request.
    #[test]
    fn one_host_agrees_with_a_plain_token_bucket(
        requests in proptest::collection::vec((0..400u64, 1..400u32), 1..200),
    ) {
        let rate = 1_000.0;
        let depth = 500.0;
        let mut limits = Fleet::new(1, &[("cotisa", rule(1_000, 1_000_000, 1))]).hosts.remove(0);
        let customer = CustomerName::new("cotisa");
        let (mut level, mut last) = (depth, 0u64);
        let mut now = 0u64;
        for (wait, tokens) in requests {
            now += wait * 1_000;
            level = f64::min(depth, level + (now - last) as f64 / 1e6 * rate);
            last = now;
            // Close to equality, rounding may decide.
            if (level - f64::from(tokens)).abs() < 1e-6 {
                continue;
            }
            let naive = level >= f64::from(tokens);
            if naive {
                level -= f64::from(tokens);
            }
            prop_assert_eq!(limits.admit(Moment(now), &customer, tokens).is_ok(), naive);
        }
    }
}
