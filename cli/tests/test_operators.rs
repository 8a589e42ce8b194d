//! Tests of the operators' commands, metrics and web page against running entry hosts.

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;
use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::fleet::FleetHost;

const BINARY: &str = env!("CARGO_BIN_EXE_wasabicrank");
/// The timeout for each condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// An address on which no process listens.
const UNREACHABLE_ADDR: &str = "127.0.0.1:1";

async fn start(entry_hosts: usize) -> Fleet {
    let config = FleetConfig {
        binary: Some(BINARY.into()),
        entry_hosts,
        engines: 3,
        rules: FleetRules::default().text(&todays_customers()),
        ..FleetConfig::default()
    };
    Fleet::start(config).await.expect("the fleet starts")
}

fn operators(host: &FleetHost) -> String {
    let ip = host.settings["ip"].as_str().expect("the settings name an IP number");
    format!("{ip}:{}", host.settings["operator_port"])
}

fn all_operators(fleet: &Fleet) -> Vec<String> {
    fleet.hosts.iter().map(operators).collect()
}

async fn get(addr: &str, path: &str) -> reqwest::Response {
    let client = Client::builder().no_proxy().build().expect("a client can be made");
    client.get(format!("http://{addr}{path}")).send().await.expect("the host answers")
}

/// Sends a completion to `caller` and returns the request's id.
async fn complete(caller: SocketAddr, body: &Value) -> String {
    let client = Client::builder().no_proxy().build().expect("a client can be made");
    let url = format!("http://{caller}/v1/completions");
    let sent = client.post(url).bearer_auth("token-1").json(body).send().await;
    let answer = sent.expect("the host answers");
    let answer: Value = answer.json().await.expect("the answer is JSON");
    answer["id"].as_str().expect("the answer names the request").to_owned()
}

async fn wasabicrank(arguments: &[&str]) -> Output {
    let arguments: Vec<String> = arguments.iter().map(|word| (*word).to_owned()).collect();
    let run = move || Command::new(BINARY).args(arguments).output();
    tokio::task::spawn_blocking(run).await.expect("it ran").expect("the command can be started")
}

fn stdout(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("the output is text")
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).expect("the output is text")
}

async fn wait_until_peers_are_alive(addr: &str, peers: usize) {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let status: Value = get(addr, "/status").await.json().await.expect("the status is JSON");
        let seen = status["peers"].as_array().expect("the status lists peers");
        let alive = seen.iter().filter(|peer| peer["state"] == "alive").count();
        if alive == peers {
            return;
        }
        assert!(Instant::now() < end, "{alive} of {peers} peers are alive: {status}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_status_shows_hosts_and_targets_and_names_the_unreachable() {
    let fleet = start(3).await;
    let addrs = all_operators(&fleet);
    for addr in &addrs {
        wait_until_peers_are_alive(addr, 2).await;
    }
    let all: Vec<&str> = addrs.iter().map(String::as_str).collect();
    let output = wasabicrank(&[&["status"], &all[..]].concat()).await;
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let text = stdout(&output);
    for host in &fleet.hosts {
        assert!(text.contains(&host.name), "{text}");
    }
    for engine in &fleet.engines {
        assert!(text.contains(&engine.name), "{text}");
    }

    let output = wasabicrank(&["status", all[0], UNREACHABLE_ADDR, "--json"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains(UNREACHABLE_ADDR), "{}", stderr(&output));
    let report: Value = serde_json::from_str(&stdout(&output)).unwrap();
    assert_eq!(report["hosts"][0]["host"], fleet.hosts[0].name.as_str());
    assert_eq!(report["unreachable"][0]["addr"], UNREACHABLE_ADDR);
    assert!(report["hosts"][0]["config"]["version"].as_u64().unwrap() > 0, "{report}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_why_tells_of_an_answer_and_of_a_refusal() {
    let fleet = start(2).await;
    let addrs = all_operators(&fleet);
    let caller = fleet.callers()[0];
    let body = json!({"model": "assist", "prompt": "short", "max_tokens": 3});
    let answered = complete(caller, &body).await;
    let output = wasabicrank(&["why", &addrs[0], &addrs[1], &answered]).await;
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}{}", stderr(&output));
    for part in ["Admitted with 2 prompt tokens", "Placed on", "first token", "whole answer of 3"] {
        assert!(text.contains(part), "`{part}` is missing:\n{text}");
    }

    let client = Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{caller}/v1/completions");
    let request = client.post(url).bearer_auth("token-1").header("x-deadline-ms", "1");
    let body = json!({"model": "assist", "prompt": "word".repeat(50_000), "max_tokens": 3});
    let refusal: Value = request.json(&body).send().await.unwrap().json().await.unwrap();
    let refused = refusal["request_id"].as_str().unwrap();
    let output = wasabicrank(&["why", &addrs[0], &addrs[1], refused]).await;
    let text = stdout(&output);
    assert_eq!(output.status.code(), Some(0), "{text}{}", stderr(&output));
    assert!(text.contains("Ended as not_run"), "{text}");

    let output = wasabicrank(&["why", &addrs[0], UNREACHABLE_ADDR, &answered]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(stdout(&output).contains("Incomplete: 127.0.0.1:1"), "{}", stdout(&output));
    let output = wasabicrank(&["why", &addrs[0], "00000000000000ff-1"]).await;
    assert_eq!(output.status.code(), Some(1));
    assert!(stdout(&output).contains("Nothing is known of request"));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_timeline_merges_hosts_and_filters() {
    let fleet = start(2).await;
    let addrs = all_operators(&fleet);
    let body = json!({"model": "assist", "prompt": "short", "max_tokens": 3});
    let mut ids = Vec::new();
    for caller in fleet.callers() {
        ids.push(complete(caller, &body).await);
    }
    let output = wasabicrank(&["timeline", &addrs[0], &addrs[1], "--json"]).await;
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
    let report: Value = serde_json::from_str(&stdout(&output)).unwrap();
    let events = report["events"].as_array().unwrap();
    let times: Vec<u64> = events.iter().map(|event| event["at_us"].as_u64().unwrap()).collect();
    assert!(times.is_sorted());
    for host in &fleet.hosts {
        assert!(events.iter().any(|event| event["host"] == host.name.as_str()));
    }
    let output = wasabicrank(&["timeline", &addrs[0], &addrs[1], "--request", &ids[1]]).await;
    let text = stdout(&output);
    assert!(!text.is_empty() && text.lines().all(|line| line.contains(&ids[1])), "{text}");
    let output = wasabicrank(&["timeline", &addrs[0], "--since", "0"]).await;
    assert_eq!(stdout(&output), "");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_metrics_and_page_are_served() {
    let fleet = start(1).await;
    let addr = operators(&fleet.hosts[0]);
    let body = json!({"model": "assist", "prompt": "short", "max_tokens": 3});
    complete(fleet.callers()[0], &body).await;
    let text = get(&addr, "/metrics").await.text().await.unwrap();
    for line in [
        "wasabicrank_requests_total 1",
        "wasabicrank_answer_tokens_total 3",
        "wasabicrank_first_token_seconds_count{prompt=\"1k\"} 1",
        "# EOF",
    ] {
        assert!(text.contains(line), "`{line}` is missing:\n{text}");
    }
    let page = get(&addr, "/").await.text().await.unwrap();
    assert!(page.contains("<svg") || page.contains("createElementNS"), "{page}");
    let foreign = ["src=\"http", "href=\"http", "@import", "url("];
    assert!(foreign.iter().all(|word| !page.contains(word)), "the page fetches from elsewhere");
}

struct Reader {
    origin: &'static str,
    allowed: bool,
}

/// The page of one host may read the status of another; a site on the internet may not.
#[tokio::test(flavor = "multi_thread")]
async fn test_only_pages_of_private_addresses_may_read_another_host() {
    let fleet = start(1).await;
    let addr = operators(&fleet.hosts[0]);
    let client = Client::builder().no_proxy().build().unwrap();
    for reader in [
        Reader { origin: "http://127.0.0.1:7003", allowed: true },
        Reader { origin: "http://10.0.1.5:7003", allowed: true },
        Reader { origin: "http://192.168.0.9", allowed: true },
        Reader { origin: "http://203.0.113.9", allowed: false },
        Reader { origin: "http://10.0.1.5.example.com", allowed: false },
        Reader { origin: "https://example.com", allowed: false },
        Reader { origin: "null", allowed: false },
    ] {
        let request = client.get(format!("http://{addr}/status")).header("origin", reader.origin);
        let answer = request.send().await.unwrap();
        let allowed = answer.headers().get("access-control-allow-origin");
        let expected = reader.allowed.then_some(reader.origin.as_bytes());
        assert_eq!(allowed.map(|value| value.as_bytes()), expected, "{}", reader.origin);
    }
}

struct Misuse {
    arguments: &'static [&'static str],
    message: &'static str,
}

#[test_case(Misuse { arguments: &["status"], message: "needs the operators' address" }; "status of nobody")]
#[test_case(Misuse { arguments: &["timeline"], message: "needs the operators' address" }; "timeline of nobody")]
#[test_case(Misuse { arguments: &["why", "00000000000000ff-1"], message: "ADDRESS... REQUEST" }; "why without address")]
#[test_case(Misuse { arguments: &["why", UNREACHABLE_ADDR, "x"], message: "not a request id" }; "why of nothing")]
#[test_case(Misuse { arguments: &["why", "here", "00000000000000ff-1"], message: "expected IP:PORT" }; "why at no address")]
#[test_case(Misuse { arguments: &["timeline", UNREACHABLE_ADDR, "--request", "x"], message: "not a request id" }; "timeline of nothing")]
#[tokio::test]
async fn test_wrong_use_is_said(case: Misuse) {
    let output = wasabicrank(case.arguments).await;
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains(case.message), "{}", stderr(&output));
}
