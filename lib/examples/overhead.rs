//! Measures the overhead that one entry host adds to a request and to each relayed token.
//!
//! The engine stand-in answers at once. The same client sends requests to it directly and through
//! the entry host.
//!
//! ```text
//! cargo run --release -p wasabicrank-lib --example overhead
//! ```

use std::net::SocketAddr;
use std::net::TcpListener;
use std::time::Duration;
use std::time::Instant;

use futures_util::StreamExt;
use hdrhistogram::Histogram;
use reqwest::Client;
use serde_json::json;
use slog::Discard;
use slog::Logger;
use slog::o;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::transport::Daemon;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::engine::Engine;
use wasabicrank_testutils::engine::EngineConfig;
use wasabicrank_testutils::engine_model::ModelConfig;
use wasabicrank_testutils::live::HostState;
use wasabicrank_testutils::live::LiveEngine;
use wasabicrank_testutils::live::LiveEntryHost;
use wasabicrank_testutils::platform::Platform;
use wasabicrank_testutils::server::Entrance;

/// The number of sequential requests in one measurement.
const REQUESTS: usize = 3_000;

/// The number of warm-up requests before the measurement.
const WARM_UP: usize = 300;

/// The number of concurrent clients that measure the highest rate.
const CLIENTS: usize = 48;

/// How long the highest rate is measured.
const RATE_SPAN: Duration = Duration::from_secs(5);

/// The number of tokens in an answer that measures the cost of relaying.
const LONG_ANSWER: u32 = 4_000;

/// The destination and contents of a request.
#[derive(Clone)]
struct Target {
    client: Client,
    url: String,
    body: serde_json::Value,
}

impl Target {
    async fn ask(&self) -> usize {
        let sent = self.client.post(&self.url).bearer_auth("token-1").json(&self.body).send();
        let response = sent.await.expect("the target answers");
        let status = response.status();
        assert!(status == 200, "{status}: {}", response.text().await.unwrap_or_default());
        let mut events = response.bytes_stream();
        let mut bytes = 0;
        while let Some(chunk) = events.next().await {
            bytes += chunk.expect("the stream is whole").len();
        }
        bytes
    }

    async fn times(&self) -> Histogram<u64> {
        let mut times = Histogram::new(3).expect("three digits are allowed");
        for number in 0..WARM_UP + REQUESTS {
            let start = Instant::now();
            self.ask().await;
            let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
            if number >= WARM_UP {
                times.record(micros).expect("the histogram grows");
            }
        }
        times
    }

    /// Sends from many concurrent clients and returns the requests per second.
    async fn rate(&self) -> f64 {
        let start = Instant::now();
        let clients = (0..CLIENTS).map(|_| {
            let target = self.clone();
            tokio::spawn(async move {
                let mut count = 0u64;
                while start.elapsed() < RATE_SPAN {
                    target.ask().await;
                    count += 1;
                }
                count
            })
        });
        let mut count = 0;
        for client in clients.collect::<Vec<_>>() {
            count += client.await.expect("no client fails");
        }
        count as f64 / start.elapsed().as_secs_f64()
    }
}

async fn instant_engine() -> Engine {
    let model = ModelConfig { memory: 100_000_000, ..ModelConfig::default() };
    let config = EngineConfig {
        model,
        instant: true,
        entrance: Entrance::Direct,
        ..EngineConfig::default()
    };
    Engine::start(config).await.expect("the engine starts")
}

fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    listener.local_addr().expect("it has an address").port()
}

async fn start_daemon(engine: SocketAddr) -> (Daemon, Platform, u16) {
    let platform = Platform::start().await.expect("the platform starts");
    let (callers, operators, peers) = (free_port(), free_port(), free_port());
    platform.edit_live(|live| {
        live.engines.push(LiveEngine {
            name: "engine-1".to_owned(),
            zone: "a".to_owned(),
            addr: engine,
            memory: 100_000_000,
            fenced: true,
            state: HostState::Live,
        });
        live.entry_hosts.push(LiveEntryHost {
            name: "entry-1".to_owned(),
            zone: "a".to_owned(),
            peer_addr: SocketAddr::from(([127, 0, 0, 1], peers)),
        });
    });
    platform.publish(FleetRules::default().text(&todays_customers()));
    let settings = json!({
        "host": "entry-1", "zone": "a", "ip": "127.0.0.1", "caller_port": callers,
        "operator_port": operators, "peer_port": peers, "platform": platform.addr(),
        "peer_key": "0f".repeat(32),
    });
    let settings = Settings::parse("overhead", &settings.to_string()).expect("settings are good");
    let log = Logger::root(Discard, o!());
    let start = move || Daemon::start(&settings, log).expect("the entry host starts");
    let daemon = tokio::task::spawn_blocking(start).await.expect("it does not panic");
    (daemon, platform, callers)
}

async fn wait_healthy(client: &Client, callers: u16) {
    let url = format!("http://127.0.0.1:{callers}/health");
    for _ in 0..1_000 {
        let answer = client.get(&url).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the entry host did not become healthy");
}

/// Builds the request's body with the fields that the engine and the entry host need.
fn body(max_tokens: u32) -> serde_json::Value {
    json!({
        "model": "assist", "prompt": "word".repeat(250), "max_tokens": max_tokens, "stream": true,
        "attempt": "0000000000000001-1.1", "owner": "0000000000000001", "priority": 5,
        "resume_from": 0, "segments": [],
    })
}

fn print_times(name: &str, times: &Histogram<u64>) {
    let (p50, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    println!("{name}: p50 {p50} us, p99 {p99} us over {} requests", times.len());
}

#[tokio::main]
async fn main() {
    let engine = instant_engine().await;
    let (_daemon, _platform, callers) = start_daemon(engine.addr()).await;
    let client = Client::builder().no_proxy().build().expect("the client can be made");
    wait_healthy(&client, callers).await;
    let direct = format!("http://{}/v1/completions", engine.addr());
    let through = format!("http://127.0.0.1:{callers}/v1/completions");
    let target = |url: &str, tokens| Target {
        client: client.clone(),
        url: url.to_owned(),
        body: body(tokens),
    };
    print_times("one token, direct", &target(&direct, 1).times().await);
    print_times("one token, through the entry host", &target(&through, 1).times().await);
    println!("requests a second, direct: {:.0}", target(&direct, 1).rate().await);
    println!("requests a second, through: {:.0}", target(&through, 1).rate().await);
    let tokens = f64::from(LONG_ANSWER);
    println!("tokens a second, direct: {:.0}", target(&direct, LONG_ANSWER).rate().await * tokens);
    println!(
        "tokens a second, through: {:.0}",
        target(&through, LONG_ANSWER).rate().await * tokens
    );
    std::process::exit(0);
}
