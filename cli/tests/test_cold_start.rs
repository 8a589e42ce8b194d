//! An entry host that starts while the platform is down obtains its state from its peers.

use std::time::Duration;

use reqwest::Client;
use serde_json::json;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::text::expected_answer;

/// The timeout of the request.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

#[tokio::test(flavor = "multi_thread")]
async fn test_start_while_the_platform_is_down() {
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 3,
        engines: 2,
        rules: FleetRules::default().text(&todays_customers()),
        ..FleetConfig::default()
    };
    let mut fleet = Fleet::start(config).await.expect("the fleet starts");
    fleet.kill_host(0);
    fleet.platform.stop();
    for host in &fleet.hosts {
        host.view.stop();
    }
    let seeds: Vec<String> = [1, 2]
        .iter()
        .map(|peer: &usize| format!("127.0.0.1:{}", fleet.hosts[*peer].settings["peer_port"]))
        .collect();
    fleet.hosts[0].settings["peers"] = json!(seeds);
    // The host reports healthy only once it has a list of live hosts and a configuration in force.
    fleet.start_host(0).await.expect("the host learns from its peers");
    let body = json!({"model": "assist", "prompt": "after the outage", "max_tokens": 3});
    let url = format!("http://{}/v1/completions", fleet.callers()[0]);
    let client = Client::builder().no_proxy().timeout(ANSWER_TIMEOUT).build().expect("a client");
    let sent = client.post(url).bearer_auth("token-1").json(&body).send().await;
    let answer: serde_json::Value = sent.expect("an answer").json().await.expect("JSON");
    assert_eq!(answer["choices"][0]["text"], expected_answer("after the outage", 3), "{answer}");
}
