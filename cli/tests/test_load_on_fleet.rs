//! A load on a fleet of entry hosts as processes: whole answers, and calls that run once.

use std::time::Duration;

use serde_json::json;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::engine::EngineConfig;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::load::Load;
use wasabicrank_testutils::load::LoadConfig;
use wasabicrank_testutils::load::wait_for_calls;

/// How long a new fleet may refuse calls that may run once.
const READY_WITHIN: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_load_is_answered_whole() {
    let customers = todays_customers();
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 3,
        engine: EngineConfig { speed: 20.0, ..EngineConfig::default() },
        rules: FleetRules::default().text(&customers),
        settings: json!({ "log_level": "warning" }),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    let hosts = fleet.callers();
    let ready = wait_for_calls(&hosts, &customers[0].token, "/enrolment/seats", READY_WITHIN).await;
    assert!(ready.is_some(), "calls are still refused");
    let load = LoadConfig {
        hosts,
        customers,
        rate: 20.0,
        span: Duration::from_secs(5),
        engine_runs: Some(fleet.engine_runs.clone()),
        service_runs: Some(fleet.service_runs.clone()),
        ..LoadConfig::default()
    };
    println!("calls are answered after {ready:?}");
    let report = Load::start(load).finish().await;
    assert_eq!(report.broken, []);
    assert_eq!(report.answered(), report.sent(), "refused: {:?}", report.refusals);
    assert!(fleet.wait_idle(Duration::from_secs(10)).await.is_some(), "memory is still held");
}
