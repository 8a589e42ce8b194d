//! Prints the worth that the gateway's decisions earn under the heaviest loads, for several seeds.
//!
//! `cargo run --release -p wasabicrank-workload --example gateway_replay [grown] [SEEDS]`

use wasabicrank_workload::gateway::GatewayLoad;
use wasabicrank_workload::gateway::KindResult;
use wasabicrank_workload::gateway::ReplaySetup;
use wasabicrank_workload::gateway::SheetKind;
use wasabicrank_workload::gateway::replay;

fn main() {
    let words: Vec<String> = std::env::args().skip(1).collect();
    let is_grown = words.iter().any(|word| word == "grown");
    let seeds: u64 = words.iter().find_map(|word| word.parse().ok()).unwrap_or(20);
    let (setup, kinds) = if is_grown {
        (ReplaySetup::grown(), SheetKind::grown())
    } else {
        (ReplaySetup::today(), SheetKind::today())
    };
    let mut totals = vec![KindResult::default(); kinds.len()];
    let mut earned = Vec::new();
    let mut worst = Vec::new();
    let mut windows: Vec<Vec<Vec<f64>>> = vec![Vec::new(); kinds.len()];
    for seed in 1..=seeds {
        let report = replay(&setup, &GatewayLoad::alternating(kinds.clone(), seed));
        earned.push(report.earned());
        worst.push(report.windows.iter().copied().fold(f64::INFINITY, f64::min));
        for (total, kind) in totals.iter_mut().zip(&report.kinds) {
            add(total, kind);
        }
        for (all, own) in windows.iter_mut().zip(report.kind_windows) {
            all.push(own);
        }
    }
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
    println!("earned {:.3} of the worth, worst two seconds {:.3}", mean(&earned), mean(&worst));
    println!("kind        asked on time   late (first) refused earned  large served");
    for (kind, total) in kinds.iter().zip(&totals) {
        println!(
            "{:10} {:6} {:7.3} {:6.3} {:7.3} {:7.3} {:6.3} {:6.3}",
            kind.name,
            total.asked,
            fraction(total.on_time, total.asked),
            fraction(total.late, total.asked),
            fraction(total.late_first, total.asked),
            fraction(total.refused, total.asked),
            total.earned / total.owed,
            fraction(total.large.1, total.large.0)
        );
    }
    for (kind, all) in kinds.iter().zip(&windows) {
        print_windows(kind.name, all);
    }
}

/// Prints the mean fraction of the worth that was earned in each two-second window.
fn print_windows(name: &str, all: &[Vec<f64>]) {
    let count = all.iter().map(Vec::len).max().unwrap_or(0);
    let mean = |at: usize| {
        let values: Vec<f64> = all.iter().filter_map(|own| own.get(at).copied()).collect();
        values.iter().sum::<f64>() / values.len().max(1) as f64
    };
    let shown: Vec<String> = (0..count).map(|at| format!("{:.2}", mean(at))).collect();
    println!("{name:10} {}", shown.join(" "));
}

fn fraction(count: u32, of: u32) -> f64 {
    f64::from(count) / f64::from(of.max(1))
}

fn add(total: &mut KindResult, kind: &KindResult) {
    total.asked += kind.asked;
    total.on_time += kind.on_time;
    total.late += kind.late;
    total.late_first += kind.late_first;
    total.refused += kind.refused;
    total.earned += kind.earned;
    total.owed += kind.owed;
    total.large.0 += kind.large.0;
    total.large.1 += kind.large.1;
}
