//! A randomized soak test: entry hosts run as processes on this machine, through their platform adapter,
//! against simulations of the store and the servers. Faults are injected from outside: signals to the
//! processes, relays between them, and faults of the simulations. The guarantees are checked against what
//! callers and servers observed.
//!
//! It starts and ends only its own processes, and sends only to addresses of the loopback range.

mod behavior;
mod caller;
mod checks;
mod crashing;
mod evacuations;
mod evidence;
mod faults;
mod fleet;
mod http_server;
mod limits;
mod pauses;
mod responses;
mod schedule;
mod server;
mod store;
mod tickets;
mod world;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::checks::Checker;
use crate::world::World;

/// How long the fleet runs after the last fault: the recovery time, plus time to observe that it serves.
const AFTERWARDS: Duration = Duration::from_secs(15);

/// The time without faults before the last rewind of the store.
const CALM: Duration = Duration::from_millis(3_500);

/// The parameters of one soak.
#[derive(Debug, Clone)]
pub struct SoakSetup {
    /// The program that is run as the entry hosts.
    pub binary: PathBuf,
    /// The seed of the faults and the callers.
    pub seed: u64,
    /// How long faults are injected.
    pub span: Duration,
    /// The number of entry hosts.
    pub hosts: usize,
    /// The number of callers per host.
    pub callers: usize,
    /// The second and third octets of the loopback addresses that the hosts listen on.
    pub net: [u8; 2],
}

/// The result of one soak.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// The injected faults, with their start times.
    pub faults: Vec<String>,
    /// The number of requests that callers sent.
    pub requests: usize,
    /// The requests that got a complete response after the recovery time that follows the last fault,
    /// and all that were sent then.
    pub recovered: (u32, u32),
    /// A description of each violated guarantee.
    pub violations: Vec<String>,
    /// The log lines of each host's last process.
    pub logs: Vec<Vec<String>>,
}

/// Runs one soak.
///
/// # Errors
///
/// Returns an error if the soak itself cannot run, such as when a port is in use or the program does
/// not start.
pub async fn run(setup: &SoakSetup) -> io::Result<SoakReport> {
    let mut random = SmallRng::seed_from_u64(setup.seed);
    let mut faults =
        schedule::draw_faults(&mut random, setup.span, setup.hosts, World::server_count());
    faults.extend(limits::draw_limits(setup.seed, setup.span, World::server_count()));
    faults.extend(evacuations::draw_evacuations(setup.seed, setup.span));
    let world = Arc::new(World::start(setup).await?);
    let background = start_background(setup, &world, random.random());
    let tasks = faults.iter().map(|(at, fault)| {
        let (world, at, fault) = (world.clone(), *at, *fault);
        let seed: u64 = random.random();
        async move {
            sleep(at).await;
            world.inject(fault, seed).await
        }
    });
    let rewinds = schedule::draw_rewinds(setup.seed, setup.span, World::server_count());
    let last = rewinds.last();
    let rewinding = rewinds.iter().take(rewinds.len().saturating_sub(1)).map(|(at, fault)| {
        let (world, at, fault, seed) = (world.clone(), *at, *fault, setup.seed);
        async move {
            sleep(at).await;
            world.inject(fault, seed).await
        }
    });
    let (faulted, rewound) =
        tokio::join!(world::run_all(tasks), world::run_all(rewinding.collect::<Vec<_>>()));
    faulted.and(rewound)?;
    if let Some((_, fault)) = last {
        sleep(CALM).await;
        world.inject(*fault, setup.seed).await?;
    }
    faults.extend(rewinds);
    world.clear_faults().await?;
    let faults_ended = world.evidence.now();
    sleep(AFTERWARDS).await;
    drop(background);
    let observations = world.evidence.observations();
    let checker =
        Checker { observations: &observations, customers: &world.customers, faults_ended };
    let mut violations = checker.violations();
    let logs: Vec<Vec<String>> = world.hosts.iter().map(|host| host.log()).collect();
    let is_json = |line: &&String| serde_json::from_str::<serde_json::Value>(line).is_ok();
    let invalid = logs.iter().flatten().filter(|line| !is_json(line));
    violations.extend(invalid.map(|line| format!("a log line is not valid JSON: {line}")));
    Ok(SoakReport {
        faults: faults.iter().map(|(at, fault)| format!("{at:?} {fault:?}")).collect(),
        requests: observations.sent.len(),
        recovered: checker.recovered(),
        violations,
        logs,
    })
}

/// Starts the callers, health checks, probes and memory checks, which run until the result is dropped.
fn start_background(setup: &SoakSetup, world: &Arc<World>, seed: u64) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..setup.hosts * setup.callers {
        let world = world.clone();
        tasks.spawn(async move { world.send_requests(seed.wrapping_add(caller as u64)).await });
    }
    for host in 0..setup.hosts {
        let world = world.clone();
        tasks.spawn(async move { world.hosts[host].check_health().await });
    }
    let probing = world.clone();
    tasks.spawn(async move { probing.probe().await });
    let watching = world.clone();
    tasks.spawn(async move { watching.watch_memory().await });
    let crashing = world.clone();
    tasks.spawn(crashing.crash_engines());
    tasks
}
