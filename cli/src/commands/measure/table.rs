//! The measures as text and as CSV.

use std::fmt::Write;

use wasabicrank_workload::replay_measure::BUCKETS;

use super::Run;

/// Returns a table that compares the system with the naive routers.
pub(super) fn measures(runs: &[Run]) -> String {
    let mut text = String::from(
        "Time to first token in seconds, p50/p95/p99 by prompt length; slowdown is the p99 of\n\
         prompts up to 4k over their p99 alone.\n\n",
    );
    write_heading(&mut text, "load");
    for run in runs {
        write_row(&mut text, run, run.scenario);
    }
    text
}

/// Returns a table of the measures with each mechanism disabled in turn.
pub(super) fn mechanisms(ablations: &[Run]) -> String {
    let mut text = String::from("Mechanisms switched off in turn, at 70% load.\n\n");
    write_heading(&mut text, "load");
    for run in ablations {
        write_row(&mut text, run, run.scenario);
    }
    text
}

fn write_heading(text: &mut String, first: &str) {
    let _ = write!(text, "{first:<16} {:<20} {:>8}", "router", "slowdown");
    for bucket in BUCKETS {
        let _ = write!(text, " {:>17}", bucket.name);
    }
    let _ = writeln!(text, " {:>8} {:>7} {:>6} {:>6}", "answered", "refused", "missed", "lost");
}

fn write_row(text: &mut String, run: &Run, first: &str) {
    let measures = &run.measures;
    let _ = write!(text, "{first:<16} {:<20} {:>8.2}", run.contender, measures.slowdown());
    for spread in &measures.first {
        let cell = if spread.count == 0 {
            "-".to_owned()
        } else {
            format!("{:.2}/{:.2}/{:.2}", spread.p50, spread.p95, spread.p99)
        };
        let _ = write!(text, " {cell:>17}");
    }
    let ends = measures.ends;
    let _ = writeln!(
        text,
        " {:>8} {:>7} {:>6} {:>6}",
        ends.answered, ends.refused, ends.missed, ends.lost
    );
}

/// Returns the measures as CSV, with one line per run and length class.
pub(super) fn csv(runs: &[Run]) -> String {
    let mut text = String::from(
        "load,router,length,count,first_p50_s,first_p95_s,first_p99_s,over_idle_p95,slowdown,\
         answered,refused,missed,lost,peak_held,over_memory\n",
    );
    for run in runs {
        let measures = &run.measures;
        let ends = measures.ends;
        let pairs = measures.first.iter().zip(&measures.stretch);
        for (bucket, (first, stretch)) in BUCKETS.iter().zip(pairs) {
            let _ = writeln!(
                text,
                "{},{},{},{},{:.4},{:.4},{:.4},{:.3},{:.3},{},{},{},{},{},{}",
                run.scenario,
                run.contender,
                bucket.name,
                first.count,
                first.p50,
                first.p95,
                first.p99,
                stretch.p95,
                measures.slowdown(),
                ends.answered,
                ends.refused,
                ends.missed,
                ends.lost,
                measures.peak_held,
                measures.over_memory,
            );
        }
    }
    text
}
