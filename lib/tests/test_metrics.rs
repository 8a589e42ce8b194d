//! Metrics are updated by events and snapshots, with names and units by the Prometheus conventions.

use std::time::Duration;

use wasabicrank_lib::coordination::NodeStatus;
use wasabicrank_lib::coordination::TargetStatus;
use wasabicrank_lib::state::*;
use wasabicrank_lib::transport::*;

const MS: Duration = Duration::from_millis(1);

fn request(seq: u64) -> RequestId {
    RequestId { origin: Incarnation(1), seq }
}

fn engine(name: &str) -> EngineName {
    EngineName::new(name)
}

/// A status in which this host dispatches to one engine that reads 10,000 tokens a second.
fn status(engine_name: &str) -> NodeStatus {
    let zone = ZoneName::new("z");
    let host = HostName::new("entry-1");
    let mut status = NodeStatus::starting(host.clone(), zone.clone(), Incarnation(1));
    status.config.version = 7;
    status.targets.push(TargetStatus {
        name: engine_name.into(),
        zone,
        addr: ([127, 0, 0, 1], 9).into(),
        listed: TargetState::Live,
        takes_work: true,
        since: None,
        dispatcher: Some(host),
        load: Some(EngineLoad {
            engine: engine(engine_name),
            short_tokens: 11,
            long_tokens: 12,
            level_tokens: Default::default(),
            requests: 2,
            held: 4000,
            memory: 400_000,
            prefill_rate: 10_000,
            decode_rate: 1,
            healthy: true,
            models: vec![],
        }),
    });
    status
}

fn assert_lines(metrics: &Metrics, lines: &[&str]) {
    let text = metrics.text();
    for line in lines {
        assert!(text.lines().any(|found| found == *line), "`{line}` is missing:\n{text}");
    }
}

#[test]
fn events_feed_counters_and_histograms() {
    let metrics = Metrics::new();
    metrics.record(&status("a1"), &PeerCounters::default(), 0);
    for (seq, prompt_tokens) in [(1, 1000), (2, 100_000)] {
        let deadline = Duration::from_secs(30);
        metrics.observe(&Event::Admitted { request: request(seq), prompt_tokens, deadline });
    }
    // An idle engine reads 1,000 tokens in 100 ms; this one took twice that.
    let attempt = AttemptId { request: request(1), number: 1 };
    metrics.observe(&Event::FirstToken { attempt, engine: engine("a1"), after: MS * 200 });
    metrics.observe(&Event::Completed { request: request(1), tokens: 9, after: MS * 300 });
    let refusal =
        Refusal { outcome: Outcome::NotRun, reason: Reason::MemoryFull, retry_after: None };
    metrics.observe(&Event::Refused { request: request(2), refusal });
    assert_lines(
        &metrics,
        &[
            "wasabicrank_requests_total 2",
            "wasabicrank_completed_requests_total 1",
            "wasabicrank_answer_tokens_total 9",
            "wasabicrank_refusals_total{reason=\"memory_full\",outcome=\"not_run\"} 1",
            "wasabicrank_first_token_seconds_sum{prompt=\"1k\"} 0.2",
            "wasabicrank_slowdown_ratio_sum{prompt=\"1k\"} 2.0",
            "# UNIT wasabicrank_first_token_seconds seconds",
        ],
    );
}

#[test]
fn first_token_at_another_hosts_engine_counts_at_the_mean_rate() {
    let metrics = Metrics::new();
    metrics.record(&status("a1"), &PeerCounters::default(), 0);
    let deadline = Duration::from_secs(30);
    metrics.observe(&Event::Admitted { request: request(1), prompt_tokens: 1000, deadline });
    let attempt = AttemptId { request: request(1), number: 1 };
    metrics.observe(&Event::FirstToken { attempt, engine: engine("b9"), after: MS * 100 });
    assert_lines(&metrics, &["wasabicrank_slowdown_ratio_sum{prompt=\"1k\"} 1.0"]);
}

#[test]
fn snapshots_feed_gauges_and_totals() {
    let metrics = Metrics::new();
    metrics.record(&status("a1"), &PeerCounters::default(), 0);
    let control = LinkCounters { bytes_in: 5, bytes_out: 6, ..LinkCounters::default() };
    let drops = vec![DropCount { cause: DropCause::BadTag, count: 3 }];
    let links = PeerCounters { control, drops, ..PeerCounters::default() };
    // The same totals twice: they are totals, not increments.
    metrics.record(&status("a2"), &links, 4);
    metrics.record(&status("a2"), &links, 4);
    assert_lines(
        &metrics,
        &[
            "wasabicrank_config_version 7",
            "wasabicrank_engine_held_tokens{engine=\"a2\"} 4000",
            "wasabicrank_engine_waiting_tokens{engine=\"a2\",length=\"long\"} 12",
            "wasabicrank_peer_bytes_total{link=\"control\",direction=\"out\"} 6",
            "wasabicrank_drops_total{cause=\"bad_tag\"} 3",
            "wasabicrank_drops_total{cause=\"core_ring_full\"} 4",
        ],
    );
    assert!(
        !metrics.text().contains("engine=\"a1\""),
        "the metrics of a removed engine are still there"
    );
}
