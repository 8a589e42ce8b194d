//! The demo's output: addresses, progress and the results of the load.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use wasabicrank_workload::load::LENGTH_BOUNDS;
use wasabicrank_workload::load::LengthReport;
use wasabicrank_workload::load::LoadReport;

use super::fleet::DemoFleet;

/// The number of length classes that count as short, which are those up to 4k tokens.
const SHORT_CLASSES: usize = 2;

/// Returns the addresses and commands with which to observe the running demo.
pub(crate) fn addresses(fleet: &DemoFleet) -> String {
    let operators = join(&fleet.operators());
    let mut text = String::new();
    let mut line = |content: String| text.push_str(&(content + "\n"));
    line(format!("Callers' addresses: {}", join(&fleet.callers())));
    line(format!(
        "Pages and metrics: http://{}/",
        join(&fleet.operators()).replace(' ', "/ http://")
    ));
    line(format!("The time line: wasabicrank timeline {operators}"));
    line(format!("Why a request waited or was refused: wasabicrank why {operators} REQUEST"));
    text
}

fn join(addrs: &[SocketAddr]) -> String {
    let addrs: Vec<String> = addrs.iter().map(ToString::to_string).collect();
    addrs.join(" ")
}

/// Returns one line on the progress of the load.
pub(crate) fn progress(load: &LoadReport, running: usize) -> String {
    let refused: u64 = load.refusals.values().sum();
    format!(
        "  sent {}, answered {}, refused {refused}, under way {running}, tokens {}\n",
        load.sent(),
        load.answered(),
        load.tokens
    )
}

/// Returns the results of the load.
pub(crate) fn summary(alone: &LoadReport, mixed: &LoadReport, fleet: &DemoFleet) -> String {
    let mut text = lengths_table(mixed);
    text.push_str(&slowdown_table(alone, mixed));
    text.push_str(&calls(mixed));
    text.push_str(&refusals(mixed));
    let _ = writeln!(text, "Answers past an engine's memory: {}", fleet.over_memory());
    for broken in &mixed.broken {
        let _ = writeln!(text, "Broken: {broken}");
    }
    text
}

fn lengths_table(load: &LoadReport) -> String {
    let mut text = String::from(
        "Time to first token by prompt length, with all lengths together:\n  \
         up to tokens    sent  answered  refused       p50       p95       p99\n",
    );
    for (bound, length) in LENGTH_BOUNDS.iter().zip(&load.lengths) {
        let quantile = |share| millis(length.first_token.quantile(share));
        let _ = writeln!(
            text,
            "  {bound:>12} {:>7} {:>9} {:>8} {:>9} {:>9} {:>9}",
            length.sent,
            length.answered,
            length.refused,
            quantile(0.5),
            quantile(0.95),
            quantile(0.99),
        );
    }
    text
}

fn slowdown_table(alone: &LoadReport, mixed: &LoadReport) -> String {
    let mut text =
        String::from("Slowdown of short requests (first token with long ones over alone):\n");
    let pairs = alone.lengths.iter().zip(&mixed.lengths).zip(LENGTH_BOUNDS);
    for ((alone, mixed), bound) in pairs.take(SHORT_CLASSES) {
        let _ = writeln!(
            text,
            "  up to {bound:>6} tokens: p50 {}, p95 {}, p99 {}",
            ratio(alone, mixed, 0.5),
            ratio(alone, mixed, 0.95),
            ratio(alone, mixed, 0.99),
        );
    }
    text
}

fn ratio(alone: &LengthReport, mixed: &LengthReport, share: f64) -> String {
    let base = alone.first_token.quantile(share).as_secs_f64();
    let with = mixed.first_token.quantile(share).as_secs_f64();
    if base > 0.0 { format!("{:.2}", with / base) } else { "none sent".to_owned() }
}

fn calls(load: &LoadReport) -> String {
    let calls = &load.calls;
    format!(
        "Calls that run once: sent {}, answered {}, refused {}, p99 {}\n",
        calls.sent,
        calls.answered,
        calls.refused,
        millis(calls.took.quantile(0.99)),
    )
}

fn refusals(load: &LoadReport) -> String {
    if load.refusals.is_empty() {
        return "Refusals: none\n".to_owned();
    }
    let mut text = String::from("Refusals:\n");
    for (refused, count) in &load.refusals {
        let _ = writeln!(text, "  {count:>6} {} {}", refused.outcome, refused.reason);
    }
    text
}

fn millis(time: Duration) -> String {
    format!("{:.1} ms", time.as_secs_f64() * 1e3)
}
