//! Tests the stand-ins of plain services, the platform, the weight store and links.

use std::net::SocketAddr;
use std::time::Duration;

use reqwest::Client;
use serde_json::Value;
use test_case::test_case;
use wasabicrank_testutils::platform::ConfigView;
use wasabicrank_testutils::platform::Platform;
use wasabicrank_testutils::relay::Link;
use wasabicrank_testutils::relay::Relay;
use wasabicrank_testutils::service::CallFault;
use wasabicrank_testutils::service::Service;
use wasabicrank_testutils::weight_store::WeightStore;

/// Timeout for an expected response.
const PATIENCE: Duration = Duration::from_secs(10);

/// How long a test waits to verify that no response arrives.
const IMPATIENCE: Duration = Duration::from_millis(200);

async fn get(addr: SocketAddr, path: &str, limit: Duration) -> Result<(u16, Value), String> {
    let answer = Client::new().get(format!("http://{addr}{path}")).timeout(limit).send().await;
    let answer = answer.map_err(|error| error.to_string())?;
    let status = answer.status().as_u16();
    Ok((status, answer.json().await.unwrap_or_default()))
}

struct ServiceCase {
    fault: CallFault,
    status: Option<u16>,
    runs: u32,
}

#[test_case(ServiceCase { fault: CallFault::None, status: Some(200), runs: 1 })]
#[test_case(ServiceCase { fault: CallFault::FailBefore, status: Some(500), runs: 0 })]
#[test_case(ServiceCase { fault: CallFault::FailAfter, status: Some(500), runs: 1 })]
#[test_case(ServiceCase { fault: CallFault::DropBefore, status: None, runs: 0 })]
#[test_case(ServiceCase { fault: CallFault::DropAfter, status: None, runs: 1 })]
#[tokio::test]
async fn test_service_counts_runs(case: ServiceCase) {
    let service = Service::start(Default::default()).await.expect("start");
    service.set_fault(case.fault);
    let url = format!("http://{}/seats/12?row=3", service.addr());
    let call = Client::new().post(url).header("idempotency-key", "k").body("{}").timeout(PATIENCE);
    let status = call.send().await.map(|answer| answer.status().as_u16()).ok();
    assert_eq!((status, service.runs().by_key.runs("k")), (case.status, case.runs));
}

struct ViewCase {
    view: ConfigView,
    after: u64,
    seen: Option<u64>,
}

#[test_case(ViewCase { view: ConfigView::Newest, after: 0, seen: Some(2) })]
#[test_case(ViewCase { view: ConfigView::Newest, after: 2, seen: None })]
#[test_case(ViewCase { view: ConfigView::Stale(1), after: 0, seen: Some(1) })]
#[test_case(ViewCase { view: ConfigView::Stale(1), after: 2, seen: None })]
#[test_case(ViewCase { view: ConfigView::Restored(1), after: 2, seen: Some(1) })]
#[tokio::test]
async fn test_platform_shows_a_version(case: ViewCase) {
    let platform = Platform::start().await.expect("start");
    platform.publish("first");
    platform.publish("second");
    platform.set_view(case.view);
    let path = format!("/config?after={}&wait_ms=50", case.after);
    let (status, body) = get(platform.addr(), &path, PATIENCE).await.expect("answer");
    assert_eq!(status, if case.seen.is_some() { 200 } else { 304 });
    assert_eq!(body["version"].as_u64(), case.seen);
    assert_eq!(platform.counts().config, 1);
}

#[tokio::test]
async fn test_platform_watch_ends_with_a_change_and_counts_against_the_rate() {
    let platform = Platform::start().await.expect("start");
    let addr = platform.addr();
    let watch = tokio::spawn(get(addr, "/config?after=0&wait_ms=9000", PATIENCE));
    while platform.counts().config == 0 {
        tokio::task::yield_now().await;
    }
    platform.publish("text");
    assert_eq!(watch.await.expect("answer").expect("answer").1["text"], "text");
    platform.set_rate(Some(1));
    let throttled = get(addr, "/config?after=0&wait_ms=0", PATIENCE).await.expect("answer");
    assert_eq!((throttled.0, platform.counts().refused), (429, 1));
    platform.stop();
    assert!(get(addr, "/config?after=0", PATIENCE).await.is_err());
}

#[tokio::test]
async fn test_live_list_lags_on_its_own() {
    let platform = Platform::start().await.expect("start");
    platform.set_live_lag(Duration::from_millis(300));
    assert_eq!(platform.edit_live(|_| {}), 1);
    let early = get(platform.addr(), "/live?after=0&wait_ms=0", PATIENCE).await.expect("answer");
    assert_eq!(early.0, 304);
    let late = get(platform.addr(), "/live?after=0&wait_ms=9000", PATIENCE).await.expect("answer");
    assert_eq!(late.1["version"], 1);
}

#[tokio::test]
async fn test_weight_store_keeps_its_rate() {
    let store = WeightStore::start(2, Duration::ZERO).await.expect("answer");
    let mut statuses = Vec::new();
    for _ in 0..3 {
        statuses.push(get(store.addr(), "/weights/assist/1", PATIENCE).await.expect("answer").0);
    }
    assert_eq!(statuses, [200, 200, 429]);
    assert_eq!((store.counts().served, store.counts().refused), (2, 1));
}

#[test_case(Link { forth_cut: true, ..Link::default() }, 0; "the call is held back")]
#[test_case(Link { back_cut: true, ..Link::default() }, 1; "the answer is held back")]
#[tokio::test]
async fn test_relay_cuts_one_way_and_heals(link: Link, runs: u32) {
    let service = Service::start(Default::default()).await.expect("start");
    let relay = Relay::start(service.addr()).await.expect("start");
    let client = Client::new();
    let call = |limit| {
        let call = client.post(format!("http://{}/a", relay.addr()));
        call.header("idempotency-key", "k").timeout(limit).send()
    };
    relay.set_link(link);
    assert!(call(IMPATIENCE).await.expect_err("no answer").is_timeout());
    assert_eq!(service.runs().by_key.runs("k"), runs);
    relay.heal();
    assert_eq!(call(PATIENCE).await.expect("answer").status(), 200);
}
