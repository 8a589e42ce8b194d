//! Tests that pause an entry host process, resume it, and end it with a planned stop.

use std::time::Duration;

use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::process::ProcessError;
use wasabicrank_testutils::process::Signal;

/// The timeout for each condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// The time for which a paused process must not answer health checks.
const PAUSED_CHECK: Duration = Duration::from_millis(500);

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn test_process_is_paused_and_stopped() {
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 1,
        engines: 1,
        services: 1,
        rules: FleetRules::default().text(&todays_customers()),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    let process = fleet.hosts[0].process.as_ref().expect("a process");
    process.signal(Signal::Stop).unwrap();
    let paused = process.wait_healthy(PAUSED_CHECK).await;
    assert!(matches!(paused, Err(ProcessError::NotHealthy(_))));
    process.signal(Signal::Continue).unwrap();
    process.wait_healthy(WAIT_TIMEOUT).await.expect("it goes on");
    process.signal(Signal::Term).unwrap();
    let status = process.wait_exit(WAIT_TIMEOUT).await.expect("it ends");
    assert!(status.success(), "{status}: {:?}", process.log());
}

#[tokio::test]
async fn test_process_that_cannot_start_tells_why() {
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 1,
        engines: 0,
        services: 0,
        settings: serde_json::json!({ "no_such_field": 1 }),
        ..FleetConfig::default()
    };
    match Fleet::start(config).await {
        Err(ProcessError::Ended(status, log)) => {
            assert_eq!(status.code(), Some(2));
            assert!(log.join("\n").contains("no_such_field"), "{log:?}");
        }
        other => panic!("expected an end with code 2, found {other:?}"),
    }
}
