use std::time::Duration;
use wasabicrank_testutils::naive::NaivePick;
use wasabicrank_testutils::replay_fleet::FleetSettings;
use wasabicrank_testutils::replay_measure::*;
fn main() {
    let args: Vec<String> = std::env::args().collect();
    let span = Duration::from_secs(args.get(1).and_then(|a| a.parse().ok()).unwrap_or(300));
    let filter = args.get(2).cloned().unwrap_or_default();
    let seed = args.get(3).and_then(|a| a.parse().ok()).unwrap_or(1);
    let abl = args.get(4).cloned().unwrap_or_default();
    println!("full rate {}", full_rate());
    for s in Scenario::all(span, seed) {
        if !s.name.contains(&filter) {
            continue;
        }
        let mut cs = vec![("wasabicrank", Contender::ours())];
        if abl == "abl" {
            let mut f = FleetSettings::default();
            f.queue.length_isolation = false;
            f.placer.length_isolation = false;
            cs.push(("no isolation", Contender::Ours(Box::new(f))));
            let mut f = FleetSettings::default();
            f.queue.prefix_reuse = false;
            f.placer.prefix_affinity = false;
            cs.push(("no prefix", Contender::Ours(Box::new(f))));
            let mut f = FleetSettings::default();
            f.placer.peer_reports = false;
            cs.push(("no reports", Contender::Ours(Box::new(f))));
            let mut f = FleetSettings::default();
            f.placer.short_reserve = false;
            cs.push(("no reserve", Contender::Ours(Box::new(f))));
        } else if abl != "ours" {
            cs.push(("rr", Contender::Naive(NaivePick::RoundRobin)));
            cs.push(("lo", Contender::Naive(NaivePick::LeastOutstanding)));
        }
        for (n, c) in cs {
            let t = std::time::Instant::now();
            let m = s.measure(&c);
            println!(
                "== {} / {n}: slowdown {:.2} paired p99 {:.2} short p50 {:.3} p99 {:.3} alone p50 {:.3} p99 {:.3} {:?} peak {} over {} left {} [{:.1}s]",
                s.name,
                m.slowdown(),
                m.paired.p99,
                m.short.p50,
                m.short.p99,
                m.alone.p50,
                m.alone.p99,
                m.ends,
                m.peak_held,
                m.over_memory,
                m.left_held,
                t.elapsed().as_secs_f64()
            );
            for (b, (f, st)) in BUCKETS.iter().zip(m.first.iter().zip(&m.stretch)) {
                println!(
                    "   {:>5} n {:5} first {:.3} {:.3} {:.3}  stretch {:.2} {:.2} {:.2}",
                    b.name, f.count, f.p50, f.p95, f.p99, st.p50, st.p95, st.p99
                );
            }
        }
    }
}
