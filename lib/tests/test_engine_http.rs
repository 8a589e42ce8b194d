//! Tests the engine stand-in over HTTP: full answers, resuming on another engine, segments, faults.

use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use wasabicrank_testutils::engine::Engine;
use wasabicrank_testutils::engine::EngineConfig;
use wasabicrank_testutils::engine_model::ModelConfig;
use wasabicrank_testutils::stream_faults::StreamFaults;
use wasabicrank_testutils::text::expected_answer;

/// Timeout for an expected response or event.
const PATIENCE: Duration = Duration::from_secs(10);

fn fast() -> EngineConfig {
    EngineConfig { speed: 50.0, ..EngineConfig::default() }
}

fn attempt(number: u32) -> String {
    format!("{:016x}-1.{number}", 7)
}

fn body(prompt: &str, attempt: &str, resume_from: u32, segments: &[Value]) -> Value {
    json!({
        "model": "assist", "prompt": prompt, "max_tokens": 20, "priority": 5,
        "attempt": attempt, "owner": format!("{:016x}", 7),
        "resume_from": resume_from, "segments": segments,
    })
}

async fn post(engine: &Engine, path: &str, body: &Value) -> reqwest::Response {
    let url = format!("http://{}{path}", engine.addr());
    Client::new().post(url).json(body).timeout(PATIENCE).send().await.expect("answer")
}

/// Returns the events of a completion.
async fn complete(engine: &Engine, body: &Value) -> Vec<Value> {
    let answer = post(engine, "/v1/completions", body).await;
    assert_eq!(answer.status(), 200);
    let text = answer.text().await.expect("body");
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.filter(|data| *data != "[DONE]")
        .map(|data| serde_json::from_str(data).expect("JSON"))
        .collect()
}

fn text(events: &[Value]) -> String {
    events.iter().filter_map(|event| event["text"].as_str()).collect()
}

async fn wait_until(what: &str, check: impl Fn() -> bool) {
    let waited = tokio::time::timeout(PATIENCE, async {
        while !check() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    assert!(waited.await.is_ok(), "waited too long until {what}");
}

#[tokio::test]
async fn test_answer_is_whole_and_goes_on_elsewhere() {
    let first = Engine::start(fast()).await.unwrap();
    let second = Engine::start(fast()).await.unwrap();
    let prompt = "Where is my file? ".repeat(300);
    let whole = complete(&first, &body(&prompt, &attempt(1), 0, &[])).await;
    assert_eq!(text(&whole), expected_answer(&prompt, 20));
    assert_eq!(whole.last().unwrap()["done"], true);
    let rest = complete(&second, &body(&prompt, &attempt(2), 8, &[])).await;
    assert_eq!(text(&rest), expected_answer(&prompt, 20)[32..]);
    assert_eq!((first.load().held, second.load().held), (0, 0));
}

#[tokio::test]
async fn test_segments_answer_like_the_whole_prompt() {
    let exports = Default::default();
    let config = || EngineConfig { exports: Clone::clone(&exports), ..fast() };
    let first = Engine::start(config()).await.unwrap();
    let second = Engine::start(config()).await.unwrap();
    let prompt = "Summarise the plan. ".repeat(1_000);
    let (head, tail) = prompt.split_at(8_192);
    let held = post(&first, "/v1/prefill", &body(head, &attempt(1), 0, &[])).await;
    let mut segment: Value = held.json().await.unwrap();
    segment["engine"] = json!(first.addr());
    let answer = complete(&second, &body(tail, &attempt(2), 0, &[segment.clone()])).await;
    assert_eq!(text(&answer), expected_answer(&prompt, 20));
    let url = format!("http://{}/v1/attempts/{}", first.addr(), attempt(1));
    Client::new().delete(url).send().await.unwrap();
    assert_eq!(first.load().held, 0);
    let refused = post(&second, "/v1/completions", &body(tail, &attempt(3), 0, &[segment])).await;
    assert_eq!(refused.json::<Value>().await.unwrap()["error"], "bad_segment");
}

#[tokio::test]
async fn test_stream_faults_leave_their_marks() {
    let engine = Engine::start(fast()).await.unwrap();
    let faults =
        StreamFaults { duplicate_every: 3, late_every: 4, crossed_every: 5, ..Default::default() };
    engine.set_stream_faults(faults);
    let events = complete(&engine, &body("prompt", &attempt(1), 0, &[])).await;
    let crossed = events.iter().filter(|event| event["attempt"] != attempt(1)).count();
    assert_eq!((events.len(), crossed), (2 + 20 + 6 + 5 + 4, 4));
    engine.set_stream_faults(StreamFaults { cut_after: Some(4), ..Default::default() });
    let events = complete(&engine, &body("prompt", &attempt(2), 0, &[])).await;
    assert_eq!(events.len(), 5, "no closing event");
}

#[tokio::test]
async fn test_kill_drops_streams_and_memory() {
    let slow = ModelConfig { prefill_rate: 1_000, ..ModelConfig::default() };
    let config = EngineConfig { model: slow, ..EngineConfig::default() };
    let engine = Engine::start(config).await.unwrap();
    let request = body(&"a".repeat(400_000), &attempt(1), 0, &[]);
    let addr = engine.addr();
    let url = format!("http://{addr}/v1/completions");
    let running = tokio::spawn(async move {
        let answer = Client::new().post(url).json(&request).send().await?;
        answer.text().await
    });
    wait_until("the prompt is held", || engine.load().held == 100_000).await;
    engine.kill();
    assert!(running.await.unwrap().is_err());
    assert_eq!(engine.load().held, 0);
    let refused = Client::new().get(format!("http://{addr}/v1/load")).send().await;
    assert!(refused.unwrap_err().is_connect());
    engine.revive().await.unwrap();
    let answer = Client::new().get(format!("http://{addr}/v1/load")).send().await.unwrap();
    assert_eq!(answer.json::<Value>().await.unwrap()["held"], 0);
}

#[tokio::test]
async fn test_frozen_engine_answers_after_the_thaw() {
    let engine = Engine::start(fast()).await.unwrap();
    engine.freeze();
    let request = body("prompt", &attempt(1), 0, &[]);
    let early = tokio::time::timeout(Duration::from_millis(200), complete(&engine, &request));
    assert!(early.await.is_err());
    engine.thaw();
    let events = complete(&engine, &body("prompt", &attempt(2), 0, &[])).await;
    assert_eq!(text(&events), expected_answer("prompt", 20));
}

#[tokio::test]
async fn test_fenced_engine_refuses_an_old_order() {
    let engine = Engine::start(fast()).await.unwrap();
    let order = |fence: u64| json!({ "fence": fence, "set_role": { "role": "short" } });
    assert_eq!(post(&engine, "/v1/orders", &order(5)).await.status(), 200);
    let stale = post(&engine, "/v1/orders", &order(4)).await;
    assert_eq!(stale.status(), 409);
    let answer: Value = stale.json().await.unwrap();
    assert_eq!(answer, json!({ "error": "stale_fence", "fence": 5 }));
}
