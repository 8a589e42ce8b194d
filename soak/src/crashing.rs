//! Prompts with a part that crashes each engine that begins to answer them.

use std::io::ErrorKind;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use tokio::time::sleep;
use wasabicrank_testutils::server::lock;

use crate::evidence::Millis;
use crate::evidence::Observations;
use crate::evidence::Scope;
use crate::world::World;

/// The part that crashes engines.
const CRASHING_PART: &str = "bad";
/// One in this many prompts has it, in every second seed.
const CRASHING_ODDS: u32 = 25;
const FIRST_PARTS: u32 = 6;
/// The time from the head of an answer to the crash, and how long the engine is gone.
pub(crate) const CRASH_DELAY: Duration = Duration::from_millis(60);
const CRASH_TIME: Duration = Duration::from_millis(1_500);
const POLL_INTERVAL: Duration = Duration::from_millis(3);
/// The platform's `stable_window_ms`, the crashes after which it expects a part to be known, and the
/// requests that may still reach engines once that time has passed.
const STABLE_WINDOW_MS: Millis = 3_000;
const KNOWN_AFTER: usize = 5;
const MOST_AFTERWARDS: usize = 3;

/// Draws the parts of a prompt; the last one is the request's own.
pub(crate) fn draw_parts(random: &mut SmallRng, id: &str, has_crashing: bool) -> String {
    let first = random.random_range(0..FIRST_PARTS);
    let is_crashing = random.random_range(0..CRASHING_ODDS) == 0 && has_crashing;
    let middle = if is_crashing { format!("{CRASHING_PART}:400,") } else { String::new() };
    format!("f{first}:40,{middle}{id}:2560")
}

/// Returns whether an engine crashes when it begins to answer a prompt with these parts.
pub(crate) fn crashes_engine(parts: &str) -> bool {
    let ids: Vec<&str> = parts.split(',').filter_map(|entry| entry.split(':').next()).collect();
    ids.split_last().is_some_and(|(_, shared)| shared.contains(&CRASHING_PART))
}

impl World {
    /// Crashes the engines that began to answer a prompt with the crashing part.
    pub(crate) async fn crash_engines(self: Arc<World>) {
        loop {
            sleep(POLL_INTERVAL).await;
            let crashed = std::mem::take(&mut self.evidence.observations().crashing);
            for id in crashed {
                let is_it = |server: &Arc<crate::server::Server>| server.state.id == id;
                let Some(position) = lock(&self.servers).iter().position(is_it) else { continue };
                let now = self.evidence.now();
                self.evidence.observations().crashes.push(now);
                let world = self.clone();
                tokio::spawn(async move {
                    // A crash that is injected meanwhile also ends with a restart.
                    if let Err(error) = world.crash_server(position, CRASH_TIME).await
                        && error.kind() != ErrorKind::AddrInUse
                    {
                        let text = format!("the soak cannot restart an engine: {error}");
                        world.evidence.record_violation(text);
                    }
                });
            }
        }
    }
}

/// Finds requests with the crashing part that undisturbed hosts sent to engines although the part had
/// crashed several.
pub(crate) fn sent_after_crashes(observations: &Observations) -> Vec<String> {
    let Some(known) = observations.crashes.get(KNOWN_AFTER - 1) else { return Vec::new() };
    let afterwards: Vec<String> = observations
        .runs
        .iter()
        .filter(|run| run.is_crashing && !run.is_declined)
        .filter(|run| {
            let sent = observations.sent.get(&run.request);
            let in_touch = |host| {
                let scopes = [Scope::Host(host), Scope::StoreOf(host), Scope::Store];
                let from = run.at.saturating_sub(STABLE_WINDOW_MS);
                observations.is_undisturbed(&scopes, from, run.at)
            };
            run.at > known + STABLE_WINDOW_MS && sent.is_some_and(|sent| in_touch(sent.host))
        })
        .map(|run| format!("{} at {} ms", run.request, run.at))
        .collect();
    let count = afterwards.len();
    let crashes = observations.crashes.len();
    let text = format!("{count} requests with a crashing part reached engines, {crashes} crashes");
    (count > MOST_AFTERWARDS).then(|| format!("{text}: {afterwards:?}")).into_iter().collect()
}
