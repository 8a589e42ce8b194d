//! Answers stay complete and engine memory is released when engines and entry hosts are killed, or
//! are frozen and resume late.

use std::process::Command;
use std::time::Duration;

use reqwest::Client;
use serde_json::json;
use test_case::test_case;
use wasabicrank_testutils::customers::FleetRules;
use wasabicrank_testutils::customers::todays_customers;
use wasabicrank_testutils::engine::Engine;
use wasabicrank_testutils::engine::EngineConfig;
use wasabicrank_testutils::engine_model::ModelConfig;
use wasabicrank_testutils::fleet::Fleet;
use wasabicrank_testutils::fleet::FleetConfig;
use wasabicrank_testutils::fleet::FleetEngine;
use wasabicrank_testutils::operators::read_status;
use wasabicrank_testutils::operators::wait_until;
use wasabicrank_testutils::process::Signal;
use wasabicrank_testutils::stream_faults::StreamFaults;
use wasabicrank_workload::load::CompletionEnd;
use wasabicrank_workload::load::CompletionStory;
use wasabicrank_workload::load::Crowd;
use wasabicrank_workload::load::CrowdAsk;

/// The timeout for each condition that a test waits for.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The time limit for all engines to release the memory of a lost entry host's requests.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(15);

/// The idle timeout of an engine stream, in milliseconds.
const ENGINE_IDLE_MS: u64 = 1_000;

const ENGINES: usize = 4;

/// The most engines at which one completion may break off without a token.
const MAX_LOST_ENGINES: usize = 3;

/// The memory of one engine, in tokens, which is less than the long prompt needs.
const ENGINE_MEMORY_TOKENS: u32 = 60_000;

/// Starts three entry hosts with engines that generate about 1,500 tokens a second per stream.
async fn start_fleet(engines: usize) -> Fleet {
    let model = ModelConfig { memory: ENGINE_MEMORY_TOKENS, ..ModelConfig::default() };
    let config = FleetConfig {
        binary: Some(env!("CARGO_BIN_EXE_wasabicrank").into()),
        entry_hosts: 3,
        engines,
        engine: EngineConfig { speed: 20.0, model, ..EngineConfig::default() },
        rules: FleetRules::default().text(&todays_customers()),
        settings: json!({
            "log_level": "warning",
            "engine_idle_ms": ENGINE_IDLE_MS,
            "orphan_margin_ms": 2_000,
        }),
        ..FleetConfig::default()
    };
    Fleet::start(config).await.expect("the fleet starts")
}

fn streams(callers: usize) -> CrowdAsk {
    CrowdAsk {
        token: "token-1".to_owned(),
        callers,
        prompt_tokens: 200,
        answer_tokens: 3_000,
        deadline: WAIT_TIMEOUT,
    }
}

/// Returns what the entry hosts say of a request, for a test that fails.
fn explain(fleet: &Fleet, request: &str) -> String {
    let hosts = fleet.hosts.iter().filter_map(|host| host.operators().ok());
    let mut command = Command::new(env!("CARGO_BIN_EXE_wasabicrank"));
    command.arg("timeline").args(hosts.map(|host| host.to_string()));
    let output = command.args(["--request", request, "--json"]).output().expect("the program runs");
    String::from_utf8_lossy(&[output.stdout, output.stderr].concat()).into_owned()
}

fn assert_whole(fleet: &Fleet, stories: &[CompletionStory]) {
    let is_whole = |story: &CompletionStory| story.end == CompletionEnd::Answered { right: true };
    for story in stories.iter().filter(|story| !is_whole(story)) {
        println!("{story:?}\n{}", explain(fleet, &story.request));
    }
    for story in stories {
        assert_eq!(story.end, CompletionEnd::Answered { right: true }, "{}", story.request);
    }
}

/// Asserts that all engines release their memory in time.
async fn assert_idle(fleet: &Fleet) {
    let idle = fleet.wait_idle(RELEASE_TIMEOUT).await;
    let held: Vec<_> = fleet.engines.iter().map(|engine| engine.engine.holdings()).collect();
    assert!(idle.is_some(), "memory is still held: {held:?}");
}

/// A fault of an engine or of its streams.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Freeze,
    Streams(StreamFaults),
}

impl Fault {
    fn inject(self, engine: &Engine) {
        match self {
            Fault::Kill => engine.kill(),
            Fault::Freeze => engine.freeze(),
            Fault::Streams(faults) => engine.set_stream_faults(faults),
        }
    }
}

struct EngineCase {
    fault: Fault,
    /// Whether the fault affects only one engine, so that its answers must continue on another one;
    /// otherwise it affects all engines.
    moves: bool,
}

const NO_FAULTS: StreamFaults = StreamFaults {
    duplicate_every: 0,
    late_every: 0,
    crossed_every: 0,
    gap_every: 0,
    corrupt_every: 0,
    cut_after: None,
    stall_after: None,
};

#[test_case(EngineCase { fault: Fault::Kill, moves: true }; "killed")]
#[test_case(EngineCase { fault: Fault::Freeze, moves: true }; "frozen")]
#[test_case(EngineCase {
    fault: Fault::Streams(StreamFaults { cut_after: Some(1), ..NO_FAULTS }), moves: true,
}; "streams cut")]
#[test_case(EngineCase {
    fault: Fault::Streams(StreamFaults { stall_after: Some(1), ..NO_FAULTS }), moves: true,
}; "streams stalled")]
#[test_case(EngineCase {
    fault: Fault::Streams(StreamFaults { gap_every: 50, ..NO_FAULTS }), moves: true,
}; "pieces left out")]
#[test_case(EngineCase {
    fault: Fault::Streams(StreamFaults { crossed_every: 7, ..NO_FAULTS }), moves: false,
}; "pieces of other answers")]
#[test_case(EngineCase {
    fault: Fault::Streams(StreamFaults { duplicate_every: 3, late_every: 5, ..NO_FAULTS }),
    moves: false,
}; "pieces twice and late")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_engine_fault_leaves_answers_whole(case: EngineCase) {
    let fleet = start_fleet(ENGINES).await;
    let mut crowd = Crowd::default();
    crowd.send(&fleet.callers(), &streams(12));
    let streaming = |engine: &&FleetEngine| !engine.engine.holdings().is_empty();
    let running = async || fleet.engines.iter().any(|engine| streaming(&engine));
    assert!(wait_until(WAIT_TIMEOUT, running).await.is_some(), "no engine has a stream");
    let first = fleet.engines.iter().position(|engine| streaming(&engine)).unwrap_or_default();
    let affected = match case.moves {
        true => &fleet.engines[first..=first],
        false => &fleet.engines[..],
    };
    affected.iter().for_each(|engine| case.fault.inject(&engine.engine));
    let stories = crowd.finish().await;
    assert_whole(&fleet, &stories);
    let moved = fleet.engine_runs.repeated().len();
    assert_eq!(moved > 0, case.moves, "{moved} answers went on at another engine");
    affected.iter().for_each(|engine| engine.engine.thaw());
    assert_idle(&fleet).await;
}

// Guards against the cause of inc1 (BUDGET) at the own interface: a prompt that ends the stream of each
// engine that begins to answer it reaches one engine after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_prompt_that_ends_all_streams_reaches_few_engines() {
    let fleet = start_fleet(3 * ENGINES).await;
    let faults = StreamFaults { gap_every: 1, cut_after: Some(1), ..NO_FAULTS };
    fleet.engines.iter().for_each(|engine| engine.engine.set_stream_faults(faults));
    let mut crowd = Crowd::default();
    crowd.send(&fleet.callers(), &streams(1));
    let stories = crowd.finish().await;
    assert!(matches!(stories[0].end, CompletionEnd::Refused(_)), "{:?}", stories[0].end);
    let reached = fleet.engines.iter().filter(|engine| engine.engine.counts().accepted > 0).count();
    assert!(reached <= MAX_LOST_ENGINES, "{reached} engines, came back {}", stories[0].came_back);
}

// Guards against the cause of inc1 at the own interface: a paused engine was left before another one
// had granted an attempt, and the answer was refused midway.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_answers_outlast_a_pause_of_all_engines() {
    let fleet = start_fleet(ENGINES).await;
    let mut crowd = Crowd::default();
    // More streams for each entry host than its retry budget has retries.
    crowd.send(&fleet.callers(), &streams(54));
    let streaming = |engine: &FleetEngine| !engine.engine.holdings().is_empty();
    let all_running = async || fleet.engines.iter().all(streaming);
    assert!(wait_until(WAIT_TIMEOUT, all_running).await.is_some(), "an engine has no stream");
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.engines.iter().for_each(|engine| engine.engine.freeze());
    tokio::time::sleep(Duration::from_millis(2 * ENGINE_IDLE_MS)).await;
    fleet.engines.iter().for_each(|engine| engine.engine.thaw());
    let stories = crowd.finish().await;
    assert_whole(&fleet, &stories);
    let came_back = stories.iter().filter(|story| story.came_back > 0).count();
    assert_eq!(came_back, 0, "callers had to come back");
    assert_idle(&fleet).await;
}

#[test_case(Fault::Kill; "killed")]
#[test_case(Fault::Freeze; "frozen")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_engine_fault_leaves_long_prompts_whole(fault: Fault) {
    let fleet = start_fleet(ENGINES).await;
    let mut crowd = Crowd::default();
    crowd.send(&fleet.callers(), &CrowdAsk { prompt_tokens: 100_000, ..streams(1) });
    let holder = || {
        let holds = |engine: &FleetEngine| engine.engine.holdings().iter().any(|held| held.export);
        fleet.engines.iter().find(|engine| holds(engine))
    };
    let exported = wait_until(WAIT_TIMEOUT, async || holder().is_some()).await;
    assert!(exported.is_some(), "no segment of the long prompt is held");
    let affected = holder().expect("the segment is held until the answer has ended");
    fault.inject(&affected.engine);
    assert_whole(&fleet, &crowd.finish().await);
    affected.engine.thaw();
    assert_idle(&fleet).await;
}

/// The way in which an entry host is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Killed,
    Frozen,
}

#[test_case(Loss::Killed; "killed")]
#[test_case(Loss::Frozen; "frozen and woken late")]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn test_lost_entry_host_leaves_answers_whole_and_memory_free(loss: Loss) {
    let mut fleet = start_fleet(6).await;
    let status = read_status(&Client::new(), fleet.hosts[0].operators().unwrap()).await;
    let owner = status.expect("the entry host shows its status").incarnation;
    let hosts = fleet.callers();
    let mut crowd = Crowd::default();
    crowd.send(&hosts, &CrowdAsk { prompt_tokens: 100_000, ..streams(1) });
    let holds = |fleet: &Fleet, export: bool| {
        let held = fleet.engines.iter().flat_map(|engine| engine.engine.holdings());
        held.filter(|held| held.owner.to_string() == owner && (!export || held.export)).count()
    };
    let exported = wait_until(WAIT_TIMEOUT, async || holds(&fleet, true) > 0).await;
    assert!(exported.is_some(), "no segment of the long prompt is held");
    crowd.send(&hosts, &streams(9));
    let streaming = wait_until(WAIT_TIMEOUT, async || holds(&fleet, false) >= 4).await;
    assert!(streaming.is_some(), "no streams run beside the long prompt");
    match loss {
        Loss::Killed => fleet.kill_host(0),
        Loss::Frozen => fleet.signal_host(0, Signal::Stop).unwrap(),
    }
    let freed = wait_until(RELEASE_TIMEOUT, async || holds(&fleet, false) == 0).await;
    assert!(freed.is_some(), "{} things of the lost entry host are held", holds(&fleet, false));
    println!("{loss:?}: the lost entry host's memory was free after {freed:?}");
    fleet.signal_host(0, Signal::Continue).unwrap();
    let stories = crowd.finish().await;
    assert_whole(&fleet, &stories);
    let came_back = stories.iter().filter(|story| story.came_back > 0).count();
    assert_eq!(came_back > 0, loss == Loss::Killed, "{came_back} callers came back");
    assert_idle(&fleet).await;
}
