//! Prints the worth that the gateway's decisions earn while engines name limits, beside fleets without
//! these engines, and how much of the limits is used.
//!
//! `cargo run --release -p wasabicrank-workload --example gateway_limits [SEEDS]`

use wasabicrank_lib::state::RequestRate;
use wasabicrank_workload::gateway::EngineLimit;
use wasabicrank_workload::gateway::GatewayLoad;
use wasabicrank_workload::gateway::ReplayReport;
use wasabicrank_workload::gateway::ReplaySetup;
use wasabicrank_workload::gateway::SheetKind;
use wasabicrank_workload::gateway::replay;

/// The seconds of load, and its factors of the load of a quiet day.
const SECONDS: u64 = 30;
const FACTORS: [f64; 2] = [1.0, 1.6];
/// How many engines name a limit, and the limits in requests per second.
const COUNTS: [usize; 4] = [2, 4, 8, 16];
const RATES: [f64; 3] = [0.0, 1.2, 2.5];

fn main() {
    let seeds = std::env::args().nth(1).and_then(|word| word.parse().ok()).unwrap_or(3);
    println!("load engines rate  earned  by kind             used   most of allowed");
    for factor in FACTORS {
        print_row(factor, 0, "-", &run(&ReplaySetup::today(), factor, seeds));
        for count in COUNTS {
            if count < ReplaySetup::today().engines {
                let mut setup = ReplaySetup::today();
                setup.engines -= count;
                print_row(factor, count, "gone", &run(&setup, factor, seeds));
            }
            for rate in RATES {
                let mut setup = ReplaySetup::today();
                let rate_limit = RequestRate::from_micros((rate * 1e6) as u64);
                let step = setup.engines / count;
                let limit = |at| EngineLimit { engine: at * step, rate: rate_limit };
                setup.limits = (0..count).map(limit).collect();
                print_row(factor, count, &rate.to_string(), &run(&setup, factor, seeds));
            }
        }
    }
}

fn run(setup: &ReplaySetup, factor: f64, seeds: u64) -> Vec<ReplayReport> {
    let load = |seed| GatewayLoad::even(SheetKind::today(), factor, SECONDS, seed);
    (1..=seeds).map(|seed| replay(setup, &load(seed))).collect()
}

fn print_row(factor: f64, count: usize, rate: &str, reports: &[ReplayReport]) {
    let earned: f64 = reports.iter().map(ReplayReport::earned).sum();
    let kinds = (0..reports[0].kinds.len()).map(|kind| {
        let kinds = || reports.iter().map(|report| &report.kinds[kind]);
        let earned: f64 = kinds().map(|kind| kind.earned).sum();
        let owed: f64 = kinds().map(|kind| kind.owed).sum();
        format!("{:.3}", earned / owed)
    });
    let kinds: Vec<String> = kinds.collect();
    let results = || reports.iter().flat_map(|report| &report.limits);
    let requests: usize = results().map(|result| result.requests).sum();
    let limits: f64 = results().map(|result| result.limit.rate.per_second()).sum();
    let most = results().map(|result| result.most).max().unwrap_or(0);
    println!(
        "{factor:4} {count:7} {rate:>4}  {:.3}  {}  {:.2}  {most}",
        earned / reports.len() as f64,
        kinds.join(" "),
        requests as f64 / (limits * SECONDS as f64).max(1.0),
    );
}
