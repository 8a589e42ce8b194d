//! Servers that name a limit of requests per second, and the check that all hosts together keep it.

use std::io;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::time::sleep;

use crate::evidence::Millis;
use crate::evidence::Observations;
use crate::schedule::Fault;
use crate::world::World;

/// The header field with the limit.
pub(crate) const LIMIT_FIELD: &str = "server-limit";
/// Distinguishes the random values for limits from the others of a seed, whose faults stay as they are.
const LIMIT_SEED: u64 = 0x006c_696d_6974;
/// One in this many soaks has no limits.
const UNLIMITED_ODDS: u32 = 3;
/// The limits, in thousandths of a request per second.
const RATES: [u32; 6] = [0, 300, 1_000, 1_500, 3_000, 8_000];
/// The range of the time for which a limit is named, in milliseconds.
const SPAN_MS: std::ops::Range<u64> = 8_000..11_000;
/// The platform's `stable_window_ms`, the span in which it counts requests, and what it allows in it.
const STABLE_WINDOW_MS: Millis = 3_000;
const COUNT_SPAN_MS: Millis = 4_000;
const ALLOWED_FACTOR: f64 = 1.5;
const ALLOWED_EXTRA: f64 = 5.0;
/// Scheduling delay allowed before the soak records an event, on a machine with few cores.
const SCHEDULING_SLACK_MS: Millis = 250;

/// A limit that a server named for a while.
#[derive(Debug, Clone)]
pub(crate) struct NamedLimit {
    server: String,
    /// In requests per second.
    rate: f64,
    from: Millis,
    to: Millis,
}

/// Draws the servers that name limits within `span`; some name two limits, one after the other.
pub(crate) fn draw_limits(seed: u64, span: Duration, servers: usize) -> Vec<(Duration, Fault)> {
    let mut random = SmallRng::seed_from_u64(seed ^ LIMIT_SEED);
    if random.random_range(0..UNLIMITED_ODDS) == 0 {
        return Vec::new();
    }
    let first = random.random_range(0..servers);
    let second = (first + random.random_range(1..servers)) % servers;
    let mut draw = |server| {
        let at = span.mul_f64(random.random_range(0.0..0.5));
        let rates = [0, 1].map(|_| RATES[random.random_range(0..RATES.len())]);
        let length = Duration::from_millis(random.random_range(SPAN_MS));
        (at, Fault::ServerLimits { server, rates, span: length })
    };
    vec![draw(first), draw(second)]
}

impl World {
    /// Lets a server name two limits, each for `span`.
    pub(crate) async fn name_limits(
        &self,
        position: usize,
        rates: [u32; 2],
        span: Duration,
    ) -> io::Result<()> {
        let server = self.server(position);
        for rate in rates {
            let rate = f64::from(rate) / 1_000.0;
            server.name_limit(Some(rate));
            let from = self.evidence.now();
            sleep(span).await;
            let (to, server) = (self.evidence.now(), server.state.id.clone());
            let named = NamedLimit { server, rate, from, to };
            self.evidence.observations().limits.push(named);
        }
        server.name_limit(None);
        Ok(())
    }
}

/// Returns a description of each limit that the hosts together exceeded. Hosts that were disturbed or
/// started meanwhile count as well.
pub(crate) fn exceeded_limits(observations: &Observations) -> Vec<String> {
    observations.limits.iter().filter_map(|limit| exceeded(observations, limit)).collect()
}

fn exceeded(observations: &Observations, limit: &NamedLimit) -> Option<String> {
    let is_at = |server: &String| *server == limit.server;
    let runs = observations.runs.iter();
    let runs = runs.filter(|run| is_at(&run.server) || run.helpers.iter().any(is_at));
    let orders = observations.orders.iter().filter(|order| is_at(&order.server));
    let from = limit.from + STABLE_WINDOW_MS + SCHEDULING_SLACK_MS;
    let times = runs.map(|run| run.at).chain(orders.map(|order| order.at));
    let times: Vec<Millis> = times.filter(|at| (from..limit.to).contains(at)).collect();
    let count = |start: &Millis| {
        times.iter().filter(|at| (*start..start + COUNT_SPAN_MS).contains(*at)).count()
    };
    let most = times.iter().map(count).max()?;
    let seconds = COUNT_SPAN_MS as f64 / 1_000.0;
    let allowed = limit.rate * seconds * ALLOWED_FACTOR + ALLOWED_EXTRA;
    (most as f64 > allowed)
        .then(|| format!("{most} requests in {seconds} s, allowed {allowed}: {limit:?}"))
}
