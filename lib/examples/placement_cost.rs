//! Measures how long one placement takes, by the number of engines and the length of the prompt.
//!
//! ```text
//! cargo run --release -p wasabicrank-lib --example placement_cost
//! ```

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

const ENGINES: [usize; 4] = [16, 135, 1_000, 11_000];
const PROMPTS: [u64; 3] = [5_000, 45_000, 300_000];
const ZONES: usize = 5;
/// The most peers of which a host knows the load, and the engines at which each causes load.
const MAX_PEERS: usize = 63;
const LOADS_PER_PEER: usize = 24;
const ROUNDS: u32 = 200;
const REPEATS: usize = 5;

fn bounds() -> GatewayBounds {
    let limit = Duration::from_secs(5);
    GatewayBounds {
        zone: ZoneName::new("zone-0"),
        revoke: Duration::from_secs(3_600),
        config: limit,
        drain: limit,
        memory: MemoryBounds { unused: limit, release: limit },
        budget: RetryBounds { ratio: 0.2, slack: 100.0, window: limit },
        evacuate: None,
        hedge_ratio: 0.0,
        fair_customers: false,
        engine_model: false,
    }
}

fn catalog() -> Catalog {
    let engine = EngineProfile {
        slots: 10,
        memory_tokens: 450_000,
        step_ms: 0.925,
        per_seq_ms: 0.00483,
        context_per_k: 0.00254,
        prefill_rate: 256_000.0,
        attention_ms: 0.0917,
        pass_steps: 73,
        mean_output: 1_540,
        joint_prefill: true,
    };
    let route = Route {
        name: "long".into(),
        host: "calls.example".to_owned(),
        prefix: "/".to_owned(),
        kind: RouteKind::Stream { resumable: true },
        timeout: Duration::from_secs(15),
        objective: Duration::from_secs(4),
        gap: Some(Duration::from_secs(1)),
        priority: 1,
        backends: vec![Backend { service: ServiceName::new("engines"), weight: 1 }],
        attempts: 2,
        public: true,
    };
    let short = Route {
        name: "short".into(),
        prefix: "/short/".to_owned(),
        objective: Duration::from_millis(300),
        gap: Some(Duration::from_millis(250)),
        ..route.clone()
    };
    Catalog::new(CatalogParts {
        version: 1,
        routes: vec![route, short],
        services: vec![ServiceSpec {
            name: ServiceName::new("engines"),
            engine: Some(engine),
            cold: None,
        }],
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 4_194_304,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        keys: None,
    })
}

fn server(number: usize) -> Server {
    Server {
        id: ServerId::new(format!("i-{number:08x}"), 1_700_000_000_000),
        service: ServiceName::new("engines"),
        address: ([10, 9, (number / 250) as u8, (number % 250) as u8], 8_080).into(),
        zone: ZoneName::new(format!("zone-{}", number % ZONES)),
        slots: 10,
        draining: false,
        cold_left: None,
    }
}

/// Returns a host that knows `engines` engines, and peers that cause load at many of them.
fn host(engines: usize) -> Gateway {
    let mut gateway = Gateway::new(bounds(), 1);
    gateway.install_catalog(catalog(), Moment(1));
    for number in 0..engines {
        gateway.apply_server(ServerChange::Listed(server(number)));
    }
    for peer in 0..MAX_PEERS.min(engines / 4) {
        let mut summary = Gateway::new(bounds(), peer as u64 + 2).peer_summary(Moment(1));
        let load = ServerLoad {
            backlog: Duration::from_millis(20),
            running: [2, 0, 0],
            response_value: [2.6, 0.0, 0.0],
            tokens: 10_000,
        };
        let at = |position: usize| server((peer * 7 + position * 5) % engines).id.digest();
        summary.loads = (0..LOADS_PER_PEER).map(|position| (at(position), load)).collect();
        let from = Ipv4Addr::from(0x0a01_0000 + peer as u32);
        gateway.apply_summary(Moment(1), ReceivedSummary { from, summary });
    }
    gateway
}

fn measure(engines: usize, prompt: u64) -> Duration {
    let now = Moment(1_000);
    let mut gateway = host(engines);
    let path = if prompt < 8_000 { "/short/x" } else { "/x" };
    let facts = RequestFacts {
        id: "request-1".to_owned(),
        host: "calls.example".to_owned(),
        path: path.to_owned(),
        key: None,
        timeout: Some(Duration::from_secs(10)),
        size: Some(PromptSize { prompt, max_output: 500 }),
        last_event: None,
        ..RequestFacts::default()
    };
    let Ok(mut request) = gateway.admit(now, &facts) else { return Duration::ZERO };
    let mut time = Duration::ZERO;
    for _ in 0..ROUNDS {
        request.tried.clear();
        let begun = Instant::now();
        let placement = gateway.place(now, &mut request);
        time += begun.elapsed();
        match placement {
            GatewayPlacement::Send(dispatch) => gateway.finish(now, &dispatch),
            other => println!("not sent: {other:?}"),
        }
    }
    time / ROUNDS
}

fn main() {
    println!("{:>8} {:>9} {:>12}", "engines", "prompt", "us");
    for engines in ENGINES {
        for prompt in PROMPTS {
            let best = (0..REPEATS).map(|_| measure(engines, prompt)).min().unwrap_or_default();
            println!("{engines:>8} {prompt:>9} {:>12.1}", best.as_secs_f64() * 1e6);
        }
    }
}
