//! Load tests on entry hosts as processes: answers are complete, and calls run at most once.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::json;
use test_case::test_case;
use wasabicrank_testutils::customers::Customer;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::engine::EngineConfig;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::stream_faults::StreamFaults;
use wasabicrank_workload::load::Broken;
use wasabicrank_workload::load::Load;
use wasabicrank_workload::load::LoadConfig;
use wasabicrank_workload::load::wait_for_calls;

/// The time limit for a fleet to accept calls that run at most once.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts three entry hosts with sixteen engines and waits until they accept calls.
async fn start_fleet(customers: &[Customer], links: bool) -> Fleet {
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 3,
        engine: EngineConfig { speed: 20.0, ..EngineConfig::default() },
        rules: FleetRules::default().text(customers),
        settings: json!({ "log_level": "warning" }),
        links,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    let token = &customers[0].token;
    let ready = wait_for_calls(&fleet.callers(), token, "/enrolment/seats", READY_TIMEOUT).await;
    assert!(ready.is_some(), "calls are still refused");
    fleet
}

fn load_config(fleet: &Fleet, customers: Vec<Customer>) -> LoadConfig {
    LoadConfig {
        hosts: fleet.callers(),
        customers,
        rate: 20.0,
        span: Duration::from_secs(5),
        engine_runs: Some(fleet.engine_runs.clone()),
        service_runs: Some(fleet.service_runs.clone()),
        ..LoadConfig::default()
    }
}

struct FaultCase {
    faults: StreamFaults,
    right: bool,
}

#[test_case(FaultCase { faults: StreamFaults::default(), right: true }; "no faults")]
#[test_case(
    FaultCase {
        faults: StreamFaults {
            duplicate_every: 3,
            late_every: 5,
            crossed_every: 7,
            ..StreamFaults::default()
        },
        right: true,
    };
    "pieces that come twice, late and crossed"
)]
#[test_case(
    FaultCase {
        faults: StreamFaults { corrupt_every: 10, ..StreamFaults::default() },
        right: false,
    };
    "wrong text, which only the load can see"
)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_load_is_answered_whole(case: FaultCase) {
    let customers = todays_customers();
    let fleet = start_fleet(&customers, false).await;
    fleet.engines.iter().for_each(|engine| engine.engine.set_stream_faults(case.faults));
    let report = Load::start(load_config(&fleet, customers)).finish().await;
    assert_eq!(report.answered(), report.sent(), "refused: {:?}", report.refusals);
    assert_eq!(report.broken.is_empty(), case.right, "broken: {:?}", report.broken);
    let wrong = |broken: &Broken| matches!(broken, Broken::WrongAnswer { .. });
    assert!(report.broken.iter().all(wrong), "broken: {:?}", report.broken);
    assert!(fleet.wait_idle(Duration::from_secs(10)).await.is_some(), "memory is still held");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_killed_entry_host_loses_no_answer() {
    let customers = todays_customers();
    let mut fleet = start_fleet(&customers, false).await;
    let load = Load::start(load_config(&fleet, customers));
    while load.report().answered() < 20 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    fleet.kill_host(1);
    let report = load.finish().await;
    assert_eq!(report.broken, []);
    assert!(report.came_back > 0, "no caller met the killed entry host");
    assert_eq!(report.lost(), 0, "refused: {:?}", report.refusals);
    fleet.start_host(1).await.expect("the entry host starts again");
    assert!(fleet.wait_idle(Duration::from_secs(30)).await.is_some(), "memory is still held");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_partition_refuses_calls_on_the_smaller_side_until_it_heals() {
    let customers = todays_customers();
    let fleet = start_fleet(&customers, true).await;
    let token = &customers[0].token;
    let hosts = fleet.callers();
    let calls = |side: &[SocketAddr], limit| {
        let side = side.to_vec();
        async move { wait_for_calls(&side, token, "/enrolment/seats", limit).await }
    };
    fleet.partition(&[&[0, 1], &[2]]);
    assert!(calls(&hosts[..2], READY_TIMEOUT).await.is_some(), "the larger side takes no calls");
    assert!(calls(&hosts[2..], Duration::from_secs(3)).await.is_none(), "the smaller side does");
    fleet.heal_links();
    assert!(calls(&hosts[2..], READY_TIMEOUT).await.is_some(), "calls are still refused");
    assert_eq!(fleet.service_runs.by_key.repeated(), []);
}
