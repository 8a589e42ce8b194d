//! The configuration in force on several entry hosts while the platform is down, stale or publishes
//! invalid rules.

use std::time::Duration;

use reqwest::Client;
use serde_json::json;
use wasabicrank_lib::protocol::StatusJson;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::operators::read_status;
use wasabicrank_testutils::operators::wait_until;
use wasabicrank_testutils::platform::ConfigView;

/// The time limit for an accepted configuration to be in force on every entry host.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(9);

/// The time for which the platform offers an older version to entry hosts that have a newer one.
const STALE_SPAN: Duration = Duration::from_secs(3);

/// The wait time of one long poll at the platform, in milliseconds.
const WATCH_MS: u64 = 1_000;

/// The maximum number of platform calls per second and entry host, averaged over the whole test.
const MAX_CALL_RATE: f64 = 3.0;

/// The maximum number of platform calls per entry host within any one second.
const MAX_PEAK_CALLS: u32 = 8;

const HOSTS: u32 = 3;

async fn start_fleet() -> Fleet {
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: HOSTS as usize,
        engines: 1,
        services: 1,
        rules: rules(60),
        settings: json!({ "log_level": "warning", "platform_wait_ms": WATCH_MS }),
        ..FleetConfig::default()
    };
    Fleet::start(config).await.expect("the fleet starts")
}

/// Returns rules that differ only in their deadline.
fn rules(deadline_s: u32) -> String {
    FleetRules { deadline_s, ..FleetRules::default() }.text(&todays_customers())
}

/// Returns the status of each entry host that answers.
async fn statuses(fleet: &Fleet) -> Vec<StatusJson> {
    let client = Client::new();
    let mut found = Vec::new();
    for host in &fleet.hosts {
        found.extend(read_status(&client, host.operators().unwrap()).await);
    }
    found
}

/// Waits until the status of every entry host satisfies `holds`, and fails after `IN_FORCE_TIMEOUT`.
async fn assert_everywhere(fleet: &Fleet, what: &str, holds: impl Fn(&StatusJson) -> bool) {
    let all = async || {
        let found = statuses(fleet).await;
        found.len() == fleet.hosts.len() && found.iter().all(&holds)
    };
    let took = wait_until(IN_FORCE_TIMEOUT, all).await;
    let shown: Vec<_> = statuses(fleet).await.into_iter().map(|status| status.config).collect();
    assert!(took.is_some(), "{what} is not so within {IN_FORCE_TIMEOUT:?}: {shown:?}");
    println!("{what}: everywhere after {took:?}");
}

/// Offers an older version and asserts that no entry host changes to it.
async fn assert_not_reverted(fleet: &Fleet, version: u64, offered: ConfigView) {
    fleet.platform.set_view(offered);
    let before = fleet.platform.counts().config;
    let went_back = wait_until(STALE_SPAN, async || {
        statuses(fleet).await.iter().any(|status| status.config.version != version)
    });
    assert_eq!(went_back.await, None, "an entry host left version {version} under {offered:?}");
    assert!(fleet.platform.counts().config > before, "nobody read the older value");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_configuration_is_in_force_and_never_goes_back() {
    let start = tokio::time::Instant::now();
    let mut fleet = start_fleet().await;
    let version = |version| move |status: &StatusJson| status.config.version == version;
    fleet.platform.publish(rules(61));
    assert_everywhere(&fleet, "version 2", version(2)).await;
    fleet.platform.publish(rules(62));
    fleet.platform.publish(rules(63));
    assert_everywhere(&fleet, "the later of two quick edits", version(4)).await;

    fleet.platform.publish(rules(64) + "limit without a meaning\n");
    let line = rules(64).lines().count() + 1;
    assert_everywhere(&fleet, "the refusal of a bad edit", |status| {
        let refused = status.config.refused.as_ref().filter(|refused| refused.version == 5);
        let told = refused.is_some_and(|refused| {
            refused.errors.iter().any(|error| error.contains(&format!(":{line}:")))
        });
        told && status.config.version == 4
    })
    .await;
    fleet.platform.publish(rules(65));
    assert_everywhere(&fleet, "the mended edit", version(6)).await;

    fleet.hosts.iter().for_each(|host| host.view.stop());
    fleet.platform.set_view(ConfigView::Restored(1));
    for host in &fleet.hosts {
        host.view.resume().await.expect("the platform is there again");
    }
    assert_not_reverted(&fleet, 6, ConfigView::Restored(1)).await;
    assert_not_reverted(&fleet, 6, ConfigView::Stale(2)).await;

    // An entry host that starts while the platform still offers the older version obtains the newer
    // one from its peers.
    fleet.kill_host(2);
    fleet.start_host(2).await.expect("the entry host starts again");
    assert_everywhere(&fleet, "version 6 after a start with a stale service", version(6)).await;

    fleet.platform.set_view(ConfigView::Newest);
    fleet.platform.publish(rules(66));
    assert_everywhere(&fleet, "version 7 after the outage", version(7)).await;
    let counts = fleet.platform.counts();
    let rate = (counts.config + counts.live) as f64 / start.elapsed().as_secs_f64();
    println!("platform: {counts:?}, {rate:.2} calls a second from {HOSTS} entry hosts");
    assert!(rate <= MAX_CALL_RATE * f64::from(HOSTS), "{rate} calls a second: {counts:?}");
    assert!(counts.peak <= MAX_PEAK_CALLS * HOSTS, "{counts:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_entry_host_starts_while_the_platform_is_down() {
    let mut fleet = start_fleet().await;
    fleet.platform.publish(rules(61));
    let second = |status: &StatusJson| status.config.version == 2 && status.list_version > 0;
    assert_everywhere(&fleet, "version 2", second).await;
    fleet.hosts.iter().for_each(|host| host.view.stop());
    fleet.kill_host(2);
    let peers = fleet.hosts[..2].iter().map(|host| {
        let (ip, port) = (&host.settings["ip"], &host.settings["peer_port"]);
        format!("{}:{port}", ip.as_str().unwrap_or_default())
    });
    fleet.hosts[2].settings["peers"] = json!(peers.collect::<Vec<_>>());
    fleet.start_host(2).await.expect("the entry host starts and learns all from its peers");
    assert_everywhere(&fleet, "version 2 and a live list", second).await;
}
