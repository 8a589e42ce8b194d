//! Calls that may run at most once, sent to several entry hosts while entry hosts and links fail.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::json;
use test_case::test_case;
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::process::Signal;
use wasabicrank_workload::load::CallAsk;
use wasabicrank_workload::load::CallEnd;
use wasabicrank_workload::load::ask_call;
use wasabicrank_workload::load::wait_for_calls;

/// The time limit for a new or recovered fleet to accept calls.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// The deadline of each call.
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// The interval between two new keys.
const KEY_INTERVAL: Duration = Duration::from_millis(40);

/// The time after which a key is sent again, longer than every timeout of a lost home.
const RESEND_DELAY: Duration = Duration::from_millis(1_500);

/// The duration of the fault.
const FAULT_SPAN: Duration = Duration::from_secs(5);

/// The time after the start of a fault in which the remaining hosts may refuse calls with new keys;
/// new keys are sent for some seconds longer.
const MAX_REFUSAL_SPAN: Duration = Duration::from_millis(6_400);

const PATH: &str = "/enrolment/seats";

async fn start_fleet() -> Fleet {
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 5,
        engines: 1,
        rules: FleetRules::default().text(&todays_customers()),
        settings: json!({ "log_level": "warning" }),
        links: true,
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    // The delay ensures that some calls are in progress when a fault occurs.
    fleet.services.iter().for_each(|host| host.service.set_delay(Duration::from_millis(100)));
    let ready = wait_for_calls(&fleet.callers(), "token-1", PATH, READY_TIMEOUT).await;
    assert!(ready.is_some(), "calls are still refused");
    fleet
}

/// One copy of a call and its result as its caller saw it.
struct CopyResult {
    key: String,
    host: SocketAddr,
    sent: Instant,
    /// Whether its key was sent before, so that its answer may only be a repetition.
    again: bool,
    end: CallEnd,
}

impl CopyResult {
    fn is_answered(&self) -> bool {
        matches!(self.end, CallEnd::Answered { .. })
    }
}

/// Copies of calls that are in progress.
#[derive(Default)]
struct Copies {
    client: Client,
    tasks: JoinSet<CopyResult>,
}

impl Copies {
    /// Sends one copy of a call to each of `hosts` concurrently.
    fn send(&mut self, hosts: &[SocketAddr], key: &str, again: bool) {
        for host in hosts.iter().copied() {
            let ask = CallAsk {
                token: "token-1".to_owned(),
                path: PATH.to_owned(),
                key: key.to_owned(),
                deadline: CALL_DEADLINE,
            };
            let client = self.client.clone();
            let sent = Instant::now();
            self.tasks.spawn(async move {
                let story = ask_call(&client, &[host], 0, &ask).await;
                CopyResult { key: ask.key, host, sent, again, end: story.end }
            });
        }
    }
}

/// Sends new keys for `span`, each to two hosts or to all, and sends each key again to one host after
/// `RESEND_DELAY`.
async fn send_keys(copies: &mut Copies, hosts: &[SocketAddr], span: Duration) {
    let start = Instant::now();
    let mut sent: Vec<(Instant, String)> = Vec::new();
    let mut again = 0;
    while start.elapsed() < span || again < sent.len() {
        if start.elapsed() < span {
            let key = Uuid::now_v7().to_string();
            let first = sent.len() % hosts.len();
            match sent.len() % 4 {
                0 => copies.send(hosts, &key, false),
                _ => copies.send(&[hosts[first], hosts[(first + 1) % hosts.len()]], &key, false),
            }
            sent.push((Instant::now(), key));
        }
        while sent.get(again).is_some_and(|(at, _)| at.elapsed() >= RESEND_DELAY) {
            copies.send(&[hosts[(again + 2) % hosts.len()]], &sent[again].1, true);
            again += 1;
        }
        tokio::time::sleep(KEY_INTERVAL).await;
    }
}

/// Asserts that the results that callers saw agree with the runs that the services counted.
fn assert_once(fleet: &Fleet, told: &[CopyResult]) {
    let runs = |key: &str| fleet.service_runs.by_key.runs(key);
    assert_eq!(fleet.service_runs.by_key.repeated(), [], "calls ran more than once");
    for told in told {
        let runs = runs(&told.key);
        match &told.end {
            CallEnd::Answered { own } => {
                assert!(*own, "{} got the answer of another call", told.key);
                assert_eq!(runs, 1, "{} was answered", told.key);
            }
            CallEnd::Refused(refused) if refused.outcome == "not_run" => {
                assert_eq!(runs, 0, "{} was told not_run: {}", told.key, refused.reason);
            }
            CallEnd::Refused(_) | CallEnd::Silent | CallEnd::Lost => {}
        }
    }
}

/// Returns the time from `start` to the last sending of a call with a new key to `hosts` that was not
/// answered.
fn refused_for(told: &[CopyResult], hosts: &[SocketAddr], start: Instant) -> Duration {
    let new = told.iter().filter(|told| !told.again && hosts.contains(&told.host));
    let refused = new.filter(|told| !told.is_answered() && told.sent >= start);
    refused.map(|told| told.sent - start).max().unwrap_or_default()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    None,
    Kill,
    Freeze,
    Partition,
    /// A partition in which the smaller side cannot read the platform while the live list changes.
    PartitionAndPlatform,
}

impl Fault {
    async fn begin(self, fleet: &mut Fleet) {
        match self {
            Fault::None => {}
            Fault::Kill => fleet.kill_host(0),
            Fault::Freeze => fleet.signal_host(0, Signal::Stop).unwrap(),
            Fault::Partition => fleet.partition(&[&[2, 3, 4], &[0, 1]]),
            Fault::PartitionAndPlatform => {
                fleet.hosts[..2].iter().for_each(|host| host.view.stop());
                fleet.partition(&[&[2, 3, 4], &[0, 1]]);
                // Without this entry host on the list, the majority is smaller for hosts that see the
                // change.
                fleet.platform.edit_live(|live| live.entry_hosts.retain(|h| h.name != "entry-1"));
            }
        }
    }

    async fn end(self, fleet: &mut Fleet) {
        match self {
            Fault::None => {}
            Fault::Kill => fleet.start_host(0).await.expect("the entry host starts again"),
            Fault::Freeze => fleet.signal_host(0, Signal::Continue).unwrap(),
            Fault::Partition => fleet.heal_links(),
            Fault::PartitionAndPlatform => {
                fleet.heal_links();
                for host in &fleet.hosts[..2] {
                    host.view.resume().await.expect("the platform is there again");
                }
            }
        }
    }
}

#[test_case(Fault::None; "no fault")]
#[test_case(Fault::Kill; "an entry host killed")]
#[test_case(Fault::Freeze; "an entry host frozen past every timeout and woken")]
#[test_case(Fault::Partition; "zones cut two to one")]
#[test_case(Fault::PartitionAndPlatform; "zones cut and the list changed for one side")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_call_runs_at_most_once(fault: Fault) {
    let mut fleet = start_fleet().await;
    let hosts: Vec<SocketAddr> = fleet.hosts.iter().map(|host| host.callers().unwrap()).collect();
    let mut copies = Copies::default();
    send_keys(&mut copies, &hosts, Duration::from_secs(1)).await;
    let start = Instant::now();
    // These calls are in progress, at the home and at other hosts, when the fault starts.
    (0..20).for_each(|_| copies.send(&hosts, &Uuid::now_v7().to_string(), false));
    tokio::time::sleep(Duration::from_millis(50)).await;
    fault.begin(&mut fleet).await;
    send_keys(&mut copies, &hosts, FAULT_SPAN).await;
    fault.end(&mut fleet).await;
    send_keys(&mut copies, &hosts, Duration::from_secs(2)).await;
    let told = copies.tasks.join_all().await;
    assert_once(&fleet, &told);
    let refused = refused_for(&told, &hosts[2..], start);
    let answered = told.iter().filter(|told| told.is_answered()).count();
    println!(
        "{fault:?}: {answered} of {} copies answered, some new refused for {refused:?}",
        told.len()
    );
    assert!(refused <= MAX_REFUSAL_SPAN, "calls with new keys were refused for {refused:?}");
    let ready = wait_for_calls(&fleet.callers()[2..], "token-1", PATH, READY_TIMEOUT).await;
    assert!(ready.is_some(), "calls are still refused after the fault");
    assert_once(&fleet, &told);
}
