//! A randomized soak: entry hosts run as processes on this machine, through their platform adapter,
//! before stand-ins for the store and the servers. Faults come from outside: signals to the processes,
//! and relays between them. While it runs, the promises are checked from what callers and servers see.
//!
//! It starts and ends only its own processes, and sends only to addresses of the loopback range.

mod caller;
mod checks;
mod evidence;
mod faults;
mod fleet;
mod http_server;
mod schedule;
mod server;
mod store;
mod world;

use std::io;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::checks::Checked;
use crate::world::World;

/// How long the fleet runs on after the last fault: the time to recover, and some to see it serve.
const AFTERWARDS: Duration = Duration::from_secs(15);

/// What one soak is run with.
#[derive(Debug, Clone)]
pub struct SoakSetup {
    /// The program whose entry hosts are run.
    pub binary: PathBuf,
    /// The seed of faults and callers.
    pub seed: u64,
    /// How long faults come.
    pub span: Duration,
    /// The number of entry hosts.
    pub hosts: usize,
    /// The callers for each host.
    pub callers: usize,
    /// The second and third number of the loopback addresses that the hosts listen on.
    pub net: [u8; 2],
}

/// What one soak showed.
#[derive(Debug, Clone, Default)]
pub struct SoakReport {
    /// The faults that came, with when.
    pub faults: Vec<String>,
    /// The requests that callers sent.
    pub requests: usize,
    /// Those that were answered whole after the last fault, and all that were sent then.
    pub recovered: (u32, u32),
    /// Each broken promise.
    pub broken: Vec<String>,
    /// The hosts' last lines, by host.
    pub logs: Vec<Vec<String>>,
}

/// Runs one soak.
///
/// # Errors
///
/// What kept the soak itself from running: a port that is taken, a program that does not start.
pub async fn run(setup: &SoakSetup) -> io::Result<SoakReport> {
    let mut random = SmallRng::seed_from_u64(setup.seed);
    let faults = schedule::draw(&mut random, setup.span, setup.hosts, World::server_count());
    let world = Arc::new(World::start(setup).await?);
    let background = start_background(setup, &world, random.random());
    let tasks = faults.iter().map(|(at, fault)| {
        let (world, at, fault) = (world.clone(), *at, *fault);
        let seed: u64 = random.random();
        async move {
            sleep(at).await;
            world.suffer(fault, seed).await
        }
    });
    world::run_all(tasks).await?;
    world.heal().await?;
    let healed = world.evidence.now();
    sleep(AFTERWARDS).await;
    drop(background);
    let seen = world.evidence.seen();
    let checked = Checked { seen: &seen, customers: &world.customers, healed };
    let mut broken = checked.broken();
    let logs: Vec<Vec<String>> = world.hosts.iter().map(|host| host.log()).collect();
    let is_json = |line: &&String| serde_json::from_str::<serde_json::Value>(line).is_ok();
    let spoilt = logs.iter().flatten().filter(|line| !is_json(line));
    broken.extend(spoilt.map(|line| format!("a log line is no JSON: {line}")));
    Ok(SoakReport {
        faults: faults.iter().map(|(at, fault)| format!("{at:?} {fault:?}")).collect(),
        requests: seen.sent.len(),
        recovered: checked.recovered(),
        broken,
        logs,
    })
}

/// Starts the callers, the balancer and the watchers, which run until this is dropped.
fn start_background(setup: &SoakSetup, world: &Arc<World>, seed: u64) -> tokio::task::JoinSet<()> {
    let mut tasks = tokio::task::JoinSet::new();
    for caller in 0..setup.hosts * setup.callers {
        let world = world.clone();
        tasks.spawn(async move { world.call(seed.wrapping_add(caller as u64)).await });
    }
    for host in 0..setup.hosts {
        let world = world.clone();
        tasks.spawn(async move { world.hosts[host].balance().await });
    }
    let probing = world.clone();
    tasks.spawn(async move { probing.probe().await });
    let watching = world.clone();
    tasks.spawn(async move { watching.watch_memory().await });
    tasks
}
