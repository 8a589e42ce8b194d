//! Prompts whose prefill takes longer than the idle timeout of engine streams.

use std::time::Duration;

use reqwest::Client;
use serde_json::json;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::text::expected_answer;

/// The timeout of the request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

#[tokio::test(flavor = "multi_thread")]
async fn test_prefill_longer_than_the_silence_bound_is_not_given_up() {
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 1,
        engines: 1,
        rules: FleetRules::default().text(&todays_customers()),
        settings: json!({"engine_idle_ms": 1_000}),
        ..FleetConfig::default()
    };
    let fleet = Fleet::start(config).await.expect("the fleet starts");
    // The engine prefills 20,000 tokens a second, so the prefill takes about three seconds.
    let prompt = "word".repeat(60_000);
    let body = json!({"model": "assist", "prompt": prompt, "max_tokens": 4});
    let url = format!("http://{}/v1/completions", fleet.callers()[0]);
    let client = Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build().expect("a client");
    let sent = client.post(url).bearer_auth("token-1").json(&body).send().await;
    let answer: serde_json::Value = sent.expect("an answer").json().await.expect("JSON");
    assert_eq!(answer["choices"][0]["text"], expected_answer(&prompt, 4), "{answer}");
    assert_eq!(fleet.engine_runs.total(), 1, "the prompt was read once");
}
