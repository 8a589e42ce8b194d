//! End-to-end tests with entry hosts as processes, engines and a plain service.

use std::time::Duration;
use std::time::Instant;

use reqwest::Client;
use reqwest::Response;
use serde_json::Value;
use serde_json::json;
use test_case::test_case;
use uuid::Uuid;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::text::expected_answer;

/// The timeout of one request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// The time limit after a cold start for all shards to have a home that accepts new keys.
const HOMES_TIMEOUT: Duration = Duration::from_secs(20);

const BINARY: &str = env!("CARGO_BIN_EXE_wasabicrank");

fn config(entry_hosts: usize) -> FleetConfig {
    FleetConfig {
        binary: Some(BINARY.into()),
        entry_hosts,
        engines: 6,
        rules: FleetRules::default().text(&todays_customers()),
        settings: json!({"max_body_bytes": 1_048_576}),
        ..FleetConfig::default()
    }
}

fn client() -> Client {
    Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build().unwrap()
}

/// Returns a prompt of `tokens` tokens.
fn prompt(tokens: usize) -> String {
    "word".repeat(tokens)
}

async fn ask(fleet: &Fleet, host: usize, body: Value) -> Response {
    let url = format!("http://{}/v1/completions", fleet.callers()[host]);
    client().post(url).bearer_auth("token-1").json(&body).send().await.unwrap()
}

/// Returns the joined text of a streamed answer, or `None` if the stream lacks its end marker.
fn streamed_text(events: &str) -> Option<String> {
    let data = events.lines().filter_map(|line| line.strip_prefix("data: "));
    let mut text = String::new();
    for data in data {
        if data == "[DONE]" {
            return Some(text);
        }
        let event: Value = serde_json::from_str(data).ok()?;
        text.push_str(event["choices"][0]["text"].as_str()?);
    }
    None
}

/// Calls the plain service with the idempotency key `key`.
async fn reserve(fleet: &Fleet, host: usize, key: Uuid) -> Response {
    let url = format!("http://{}/enrolment/elections", fleet.callers()[host]);
    let call = client().post(url).bearer_auth("token-1").header("idempotency-key", key.to_string());
    call.body("{\"percent\":5}").send().await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn test_whole_answers_through_each_entry_host() {
    let fleet = Fleet::start(config(3)).await.unwrap();
    for host in 0..3 {
        for (tokens, stream) in [(1_000, false), (1_000, true), (100_000, true)] {
            let text = prompt(tokens);
            let body =
                json!({"model": "assist", "prompt": text, "max_tokens": 20, "stream": stream});
            let response = ask(&fleet, host, body).await;
            assert_eq!(response.status(), 200, "host {host}, {tokens} tokens");
            let answer = response.text().await.unwrap();
            let answer = match stream {
                true => streamed_text(&answer).expect("the answer has its end"),
                false => {
                    let answer: Value = serde_json::from_str(&answer).unwrap();
                    answer["choices"][0]["text"].as_str().unwrap().to_owned()
                }
            };
            assert_eq!(answer, expected_answer(&text, 20), "host {host}, {tokens} tokens");
        }
    }
}

/// Waits until every shard of keys has a home that knows that no other process ran new keys.
///
/// After a cold start, a home cannot know that until a lease plus the clock skew has passed, and
/// answers `unknown` until then.
async fn wait_for_homes(fleet: &Fleet) {
    let end = Instant::now() + HOMES_TIMEOUT;
    let mut consecutive = 0;
    while consecutive < 64 {
        assert!(Instant::now() < end, "no home for some shard within {HOMES_TIMEOUT:?}");
        let status = reserve(fleet, consecutive % fleet.hosts.len(), Uuid::now_v7()).await.status();
        consecutive = if status == 200 { consecutive + 1 } else { 0 };
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn test_reservation_runs_once_whichever_host_it_enters() {
    let fleet = Fleet::start(config(3)).await.unwrap();
    wait_for_homes(&fleet).await;
    let mut keys = Vec::new();
    for _ in 0..8 {
        let key = Uuid::now_v7();
        keys.push(key);
        let mut replies = Vec::new();
        // Each of three hosts gets a copy; at most one of them is the home of the key.
        for host in 0..3 {
            let response = reserve(&fleet, host, key).await;
            assert_eq!(response.status(), 200, "key {key} through host {host}");
            replies.push(response.text().await.unwrap());
        }
        assert_eq!(replies[0], replies[1]);
        assert_eq!(replies[0], replies[2]);
    }
    for key in keys {
        assert_eq!(fleet.service_runs.by_key.runs(&key.to_string()), 1, "key {key}");
    }
}

/// An invalid request, and the status and reason with which it must be refused.
struct BadRequest {
    path: &'static str,
    token: &'static str,
    body: &'static str,
    status: u16,
    reason: &'static str,
}

#[test_case(BadRequest {
    path: "/v1/completions", token: "token-1", body: "{", status: 400, reason: "bad_request",
}; "broken JSON")]
#[test_case(BadRequest {
    path: "/v1/completions", token: "token-1", body: "{\"model\":\"assist\"}", status: 400,
    reason: "bad_request",
}; "no prompt")]
#[test_case(BadRequest {
    path: "/v1/completions", token: "nobody",
    body: "{\"model\":\"assist\",\"prompt\":\"x\"}", status: 401, reason: "unknown_customer",
}; "unknown customer")]
#[test_case(BadRequest {
    path: "/v1/completions", token: "token-1", body: "{\"model\":\"none\",\"prompt\":\"x\"}",
    status: 404, reason: "unknown_model",
}; "unknown model")]
#[test_case(BadRequest {
    path: "/elsewhere", token: "token-1", body: "", status: 404, reason: "unknown_path",
}; "unknown path")]
#[test_case(BadRequest {
    path: "/v1/completions", token: "token-1",
    body: "{\"model\":\"assist\",\"prompt\":\"x\",\"max_tokens\":0}", status: 400,
    reason: "bad_request",
}; "no output")]
#[tokio::test(flavor = "multi_thread")]
async fn test_bad_request_is_refused_with_its_reason(bad: BadRequest) {
    let fleet = Fleet::start(FleetConfig { engines: 1, ..config(1) }).await.unwrap();
    let url = format!("http://{}{}", fleet.callers()[0], bad.path);
    let sent = client().post(url).bearer_auth(bad.token).body(bad.body).send().await.unwrap();
    assert_eq!(sent.status(), bad.status);
    let refusal: Value = sent.json().await.unwrap();
    assert_eq!(refusal["outcome"], "not_run");
    assert_eq!(refusal["reason"], bad.reason);
    assert!(!refusal["message"].as_str().unwrap().is_empty());
    let body = json!({"model": "assist", "prompt": "still here?", "max_tokens": 2});
    assert_eq!(ask(&fleet, 0, body).await.status(), 200, "the daemon goes on");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_copy_that_is_turned_away_does_not_speak_for_the_others() {
    let fleet = Fleet::start(FleetConfig { engines: 1, ..config(1) }).await.unwrap();
    wait_for_homes(&fleet).await;
    let key = Uuid::now_v7();
    assert_eq!(reserve(&fleet, 0, key).await.status(), 200);
    let url = format!("http://{}/enrolment/elections", fleet.callers()[0]);
    let copy = client().post(url).bearer_auth("nobody").header("idempotency-key", key.to_string());
    let response = copy.body("{\"percent\":5}").send().await.unwrap();
    assert_eq!(response.status(), 401);
    let refusal: Value = response.json().await.unwrap();
    assert_eq!(refusal["outcome"], "unknown", "{refusal}");
}

#[tokio::test(flavor = "multi_thread")]
async fn test_caller_cannot_set_fields_of_the_system() {
    let fleet = Fleet::start(FleetConfig { engines: 1, ..config(1) }).await.unwrap();
    let body = json!({
        "model": "assist", "prompt": "whose is this?", "max_tokens": 2, "temperature": 0.5,
        "owner": "0000000000000001", "attempt": "0000000000000001-1.1", "priority": 9,
        "resume_from": 1, "segments": [], "answered": "x",
    });
    let response = ask(&fleet, 0, body).await;
    assert_eq!(response.status(), 200);
    let answer: Value = response.json().await.unwrap();
    assert_eq!(answer["choices"][0]["text"], expected_answer("whose is this?", 2));
}

#[tokio::test(flavor = "multi_thread")]
async fn test_oversize_body_and_prompt_are_refused() {
    let fleet = Fleet::start(FleetConfig { engines: 1, ..config(1) }).await.unwrap();
    let body = json!({"model": "assist", "prompt": prompt(300_000)});
    let response = ask(&fleet, 0, body).await;
    assert_eq!(response.status(), 413);
    let refusal: Value = response.json().await.unwrap();
    assert_eq!(refusal["reason"], "body_too_long");
    let url = format!("http://{}/v1/completions", fleet.callers()[0]);
    let long = client().post(url).header("x-long", "x".repeat(20_000)).send().await.unwrap();
    assert_eq!(long.status(), 431);
    let body = json!({"model": "assist", "prompt": "still here?", "max_tokens": 2});
    assert_eq!(ask(&fleet, 0, body).await.status(), 200, "the daemon goes on");
}
