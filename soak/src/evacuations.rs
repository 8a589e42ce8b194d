//! Availability zones that the operator evacuates, and the check that hosts keep it.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::evidence::Millis;
use crate::evidence::Observations;
use crate::evidence::Run;
use crate::evidence::Scope;
use crate::schedule::Fault;
use crate::world::World;

/// The platform's bound within which an evacuation must be in force.
pub(crate) const EVACUATE_MS: Millis = 5_000;
/// The zones of the servers.
const ZONES: [&str; 2] = ["zone-a", "zone-b"];
/// Distinguishes the random values for evacuations from the others of a seed, whose faults stay as they
/// are.
const EVACUATION_SEED: u64 = 0x6576_6163;
/// One in this many soaks has evacuations, and one in this many of these evacuates both zones.
const EVACUATION_ODDS: u32 = 2;
const BOTH_ODDS: u32 = 3;
/// The range of the length of an evacuation, in milliseconds; it exceeds the bound, so that the time after
/// it can be checked.
const SPAN_MS: std::ops::Range<u64> = 7_000..11_000;
/// The time for which an evacuation is withdrawn before it is announced again, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 50..900;
/// Time without disturbances that must precede the bound, for the check to apply.
const STABILIZATION_MS: Millis = 3_000;
/// Scheduling delay allowed before the soak records an event, on a machine with few cores.
const SCHEDULING_SLACK_MS: Millis = 250;

/// A time for which the item of a zone was in the store.
#[derive(Debug, Clone)]
pub(crate) struct Evacuation {
    zone: &'static str,
    from: Millis,
    to: Millis,
}

/// Returns the zone of the server with this id.
pub(crate) fn zone_of(server: &str) -> &'static str {
    // Hosts prefer the engines of their zone, and the first ones among these.
    let is_even = server.ends_with(['0', '2', '4', '6', '8']);
    if is_even { ZONES[0] } else { ZONES[1] }
}

/// Returns whether the soak with this seed has evacuations.
pub(crate) fn has_evacuations(seed: u64) -> bool {
    !draw_evacuations(seed, Duration::from_secs(1)).is_empty()
}

/// Draws the evacuations of zones within `span`.
pub(crate) fn draw_evacuations(seed: u64, span: Duration) -> Vec<(Duration, Fault)> {
    let mut random = SmallRng::seed_from_u64(seed ^ EVACUATION_SEED);
    if random.random_range(0..EVACUATION_ODDS) > 0 {
        return Vec::new();
    }
    let first = random.random_range(0..ZONES.len());
    let mut zones = vec![first];
    if random.random_range(0..BOTH_ODDS) == 0 {
        zones.push(1 - first);
    }
    let draw = |zone| {
        let at = span.mul_f64(random.random_range(0.0..0.5));
        let length = Duration::from_millis(random.random_range(SPAN_MS));
        let gap = random.random::<bool>().then(|| random.random_range(GAP_MS));
        (at, Fault::Evacuate { zone, span: length, gap: gap.map(Duration::from_millis) })
    };
    zones.into_iter().map(draw).collect()
}

impl World {
    /// Evacuates a zone for `span`. With a `gap`, the evacuation is withdrawn in between for that long.
    pub(crate) async fn evacuate(&self, zone: usize, span: Duration, gap: Option<Duration>) {
        if let Some(gap) = gap {
            let short = gap * 2;
            self.keep_evacuated(ZONES[zone], short).await;
            sleep(gap).await;
        }
        self.keep_evacuated(ZONES[zone], span).await;
    }

    async fn keep_evacuated(&self, zone: &'static str, span: Duration) {
        let key = format!("op/evacuate/{zone}");
        self.store.write(&key, Some(&serde_json::json!("maintenance")));
        let from = self.evidence.now();
        sleep(span).await;
        let to = self.evidence.now();
        self.store.write(&key, None);
        self.evidence.observations().evacuations.push(Evacuation { zone, from, to });
    }
}

/// Returns a description of each request that reached a server of an evacuated zone, or had it as a
/// helper, from a host that was undisturbed and connected to the store for the time of the bound.
pub(crate) fn sent_to_evacuated(observations: &Observations) -> Vec<String> {
    observations.runs.iter().filter_map(|run| misplaced(observations, run)).collect()
}

fn misplaced(observations: &Observations, run: &Run) -> Option<String> {
    let sent = observations.sent.get(&run.request)?;
    let due = run.at.checked_sub(EVACUATE_MS + SCHEDULING_SLACK_MS)?;
    let from = due.saturating_sub(STABILIZATION_MS);
    let scopes = [Scope::Host(sent.host), Scope::StoreOf(sent.host), Scope::Store];
    if !observations.is_undisturbed(&scopes, from, run.at) {
        return None;
    }
    let server = run.helpers.iter().chain([&run.server]).find(|server| {
        let is_at = |one: &&Evacuation| one.zone == zone_of(server);
        let is_in_force = |one: &Evacuation| one.from <= due && run.at < one.to;
        observations.is_link_sound(server, due, run.at)
            && observations.evacuations.iter().filter(is_at).any(is_in_force)
    })?;
    let (at, request) = (run.at, &run.request);
    Some(format!("{at} ms: {request} used server {server} of an evacuated zone: {sent:?}"))
}
