//! Tests the load generator: the arrivals it draws, and its detection of calls that run twice.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::service::CallFault;
use wasabicrank_testutils::service::Service;
use wasabicrank_testutils::service::ServiceRuns;
use wasabicrank_workload::load::ArrivalPlan;
use wasabicrank_workload::load::Ask;
use wasabicrank_workload::load::Broken;
use wasabicrank_workload::load::Load;
use wasabicrank_workload::load::LoadConfig;
use wasabicrank_workload::load::LoadMix;

#[test]
fn test_plan_has_the_mix_and_rate_that_were_asked_for() {
    let arrivals: Vec<_> =
        ArrivalPlan::new(7, LoadMix::default(), &todays_customers(), 100.0).take(20_000).collect();
    let tokens = arrivals.iter().filter_map(|arrival| match arrival.ask {
        Ask::Completion { prompt, .. } => Some(prompt.tokens),
        Ask::Reservation { .. } => None,
    });
    let (long, all) = tokens.fold((0.0, 0.0), |(long, all), tokens| {
        (long + f64::from(u8::from(tokens > 100_000)), all + 1.0)
    });
    let share: f64 = long / all;
    assert!((0.01..0.03).contains(&share), "prompts over 100k tokens: {share}");
    let span = arrivals[arrivals.len() - 1].at;
    assert!((190.0..210.0).contains(&span.as_secs_f64()), "20,000 arrivals took {span:?}");
    let large = arrivals.iter().filter(|arrival| arrival.customer < 3).count();
    assert!(large > 15_000, "of the large customers: {large}");
}

/// Callers retry calls directly at the services, without an entry host that deduplicates them.
#[test_case(CallFault::None, 0; "answered calls run once")]
#[test_case(CallFault::DropAfter, 1; "calls whose answer is lost run twice")]
#[tokio::test]
async fn test_load_sees_calls_that_run_twice(fault: CallFault, broken: u64) {
    let runs = ServiceRuns::default();
    let first = Service::start(runs.clone()).await.expect("start");
    let second = Service::start(runs.clone()).await.expect("start");
    first.set_fault(fault);
    let mix = LoadMix { reservations: 1_000, doubles: 0, ..LoadMix::default() };
    let config = LoadConfig {
        hosts: vec![first.addr(), second.addr()],
        customers: todays_customers(),
        mix,
        rate: 50.0,
        span: Duration::from_millis(500),
        service_runs: Some(runs),
        ..LoadConfig::default()
    };
    let report = Load::start(config).finish().await;
    assert!(report.sent() > 0);
    assert_eq!(report.answered(), report.sent());
    assert_eq!(report.broken_count.min(1), broken);
    let twice = |broken: &Broken| matches!(broken, Broken::RanTwice { .. });
    assert!(report.broken.iter().all(twice), "broken: {:?}", report.broken);
}
