//! Calls that may run once, sent to several entry hosts while entry hosts and links fail.

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

/// How long a new or healed fleet may refuse calls.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// The time that each call is given.
const CALL_DEADLINE: Duration = Duration::from_secs(3);

/// The time between two new keys.
const KEY_PAUSE: Duration = Duration::from_millis(40);

/// The time after which a key is sent once more, past every timeout of a lost home.
const SENT_AGAIN: Duration = Duration::from_millis(1_500);

/// How long the fault lasts.
const FAULT: Duration = Duration::from_secs(5);

/// How long after a fault's beginning any call with a new key may be refused at the hosts that are
/// left; new keys are sent for some seconds longer.
const REFUSED_AT_MOST: Duration = Duration::from_millis(6_400);

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
    // The calls are slow enough that faults meet some under way.
    fleet.services.iter().for_each(|host| host.service.set_delay(Duration::from_millis(100)));
    let ready = wait_for_calls(&fleet.callers(), "token-1", PATH, READY_WITHIN).await;
    assert!(ready.is_some(), "calls are still refused");
    fleet
}

/// One copy of a call with what its caller was told.
struct Told {
    key: String,
    host: SocketAddr,
    sent: Instant,
    /// Whether it is of a key that was sent before, whose answer may only be repeated.
    again: bool,
    end: CallEnd,
}

impl Told {
    fn is_answered(&self) -> bool {
        matches!(self.end, CallEnd::Answered { .. })
    }
}

/// Copies of calls that are under way.
#[derive(Default)]
struct Copies {
    client: Client,
    tasks: JoinSet<Told>,
}

impl Copies {
    /// Sends one copy of a call to each of `hosts` at the same moment.
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
                Told { key: ask.key, host, sent, again, end: story.end }
            });
        }
    }
}

/// Sends new keys for `span`, to two and to five hosts in turn, and each once more later.
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
        while sent.get(again).is_some_and(|(at, _)| at.elapsed() >= SENT_AGAIN) {
            copies.send(&[hosts[(again + 2) % hosts.len()]], &sent[again].1, true);
            again += 1;
        }
        tokio::time::sleep(KEY_PAUSE).await;
    }
}

/// Holds what the callers were told against what ran at the services.
fn assert_once(fleet: &Fleet, told: &[Told]) {
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

/// Returns how long after `start` a call with a new key was last sent to `hosts` and not answered.
fn refused_for(told: &[Told], hosts: &[SocketAddr], start: Instant) -> Duration {
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
    /// A partition while the smaller side cannot read the platform and the list changes.
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
                // One entry host fewer on the list makes a smaller majority, for those who see it.
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
    // Calls that are under way at the home, and at the others, when the fault comes.
    (0..20).for_each(|_| copies.send(&hosts, &Uuid::now_v7().to_string(), false));
    tokio::time::sleep(Duration::from_millis(50)).await;
    fault.begin(&mut fleet).await;
    send_keys(&mut copies, &hosts, FAULT).await;
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
    assert!(refused <= REFUSED_AT_MOST, "calls with new keys were refused for {refused:?}");
    let ready = wait_for_calls(&fleet.callers()[2..], "token-1", PATH, READY_WITHIN).await;
    assert!(ready.is_some(), "calls are still refused after the fault");
    assert_once(&fleet, &told);
}
