//! Replays the heaviest loads of today's and the grown deployments against the gateway's decisions,
//! and prints the part of each kind's worth that was earned.
//!
//! `cargo run --release -p wasabicrank-workload --example gateway_loads -- [FIRST_SEED [SEEDS]]`

use std::thread;

use wasabicrank_workload::gateway::GatewayLoad;
use wasabicrank_workload::gateway::KindResult;
use wasabicrank_workload::gateway::ReplayReport;
use wasabicrank_workload::gateway::ReplaySetup;
use wasabicrank_workload::gateway::SheetKind;
use wasabicrank_workload::gateway::replay;

/// The number of seeds that are replayed concurrently.
const THREADS: usize = 4;

struct Deployment {
    name: &'static str,
    setup: ReplaySetup,
    kinds: Vec<SheetKind>,
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|text| text.parse::<u64>());
    let first = arguments.next().and_then(Result::ok).unwrap_or(1);
    let count = arguments.next().and_then(Result::ok).unwrap_or(8);
    let today =
        Deployment { name: "today", setup: ReplaySetup::today(), kinds: SheetKind::today() };
    let grown =
        Deployment { name: "grown", setup: ReplaySetup::grown(), kinds: SheetKind::grown() };
    for deployment in [today, grown] {
        let seeds: Vec<u64> = (first..first + count).collect();
        print(&deployment, &replay_seeds(&deployment, &seeds));
    }
}

fn replay_seeds(deployment: &Deployment, seeds: &[u64]) -> Vec<ReplayReport> {
    let play_one = |seed: u64| {
        replay(&deployment.setup, &GatewayLoad::alternating(deployment.kinds.clone(), seed))
    };
    let mut reports = Vec::new();
    for batch in seeds.chunks(THREADS) {
        thread::scope(|scope| {
            let running: Vec<_> =
                batch.iter().map(|seed| scope.spawn(move || play_one(*seed))).collect();
            reports.extend(running.into_iter().filter_map(|one| one.join().ok()));
        });
    }
    reports
}

fn print(deployment: &Deployment, reports: &[ReplayReport]) {
    let seeds = reports.len() as f64;
    let earned: f64 = reports.iter().map(ReplayReport::earned).sum::<f64>() / seeds;
    let worst = |report: &ReplayReport| {
        let mut windows = report.windows.clone();
        windows.sort_by(f64::total_cmp);
        windows.iter().take(2).sum::<f64>() / 2.0
    };
    let windows: f64 = reports.iter().map(worst).sum::<f64>() / seeds;
    println!("{}: earned {earned:.3}, two worst windows {windows:.3}", deployment.name);
    for (position, kind) in deployment.kinds.iter().enumerate() {
        let sum = |part: &dyn Fn(&KindResult) -> f64| {
            reports.iter().map(|report| part(&report.kinds[position])).sum::<f64>()
        };
        let asked = sum(&|kind| f64::from(kind.asked));
        println!(
            "  {:9} earned {:.3}, on time {:.3}, late {:.3} (first event {:.3}), refused {:.3}",
            kind.name,
            sum(&|kind| kind.earned) / sum(&|kind| kind.owed),
            sum(&|kind| f64::from(kind.on_time)) / asked,
            sum(&|kind| f64::from(kind.late)) / asked,
            sum(&|kind| f64::from(kind.late_first)) / asked,
            sum(&|kind| f64::from(kind.refused)) / asked,
        );
    }
}
