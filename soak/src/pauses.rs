//! Checks that hosts leave servers alone that turned them away with a 503 and a Retry-After.

use std::collections::HashMap;

use crate::evidence::Millis;
use crate::evidence::Observations;
use crate::evidence::Outcome;
use crate::evidence::Run;
use crate::evidence::Scope;
use crate::evidence::Sent;

/// Time after the response within which requests may still arrive.
const GRACE_MS: Millis = 500;
/// Scheduling delay allowed before the soak records an event, on a machine with few cores.
const SCHEDULING_SLACK_MS: Millis = 250;
/// The maximum number of requests that a host may send to a server during a pause.
const MAX_REQUESTS: usize = 2;

/// One start of a host's process.
type HostStart = (usize, u64);

/// A request or an order, as it reached a server.
struct Arrival<'a> {
    host: HostStart,
    server: &'a str,
    at: Millis,
    /// The pause that the server's response asked for.
    pause: Option<Millis>,
}

/// Returns a description of each pause during which its server got too much from one host.
pub(crate) fn ignored_pauses(observations: &Observations) -> Vec<String> {
    let arrivals = arrivals(observations);
    let mut violations = Vec::new();
    for arrival in &arrivals {
        let Some(pause) = arrival.pause else { continue };
        let (from, end) = (arrival.at + GRACE_MS + SCHEDULING_SLACK_MS, arrival.at + pause);
        let host = Scope::Host(arrival.host.0);
        if !observations.is_undisturbed(&[host], arrival.at, end)
            || !observations.is_link_sound(arrival.server, arrival.at, end)
        {
            continue;
        }
        let is_ignored = |other: &&Arrival<'_>| {
            (other.host, other.server) == (arrival.host, arrival.server)
                && (from..end).contains(&other.at)
        };
        let count = arrivals.iter().filter(is_ignored).count();
        if count > MAX_REQUESTS {
            violations.push(format!(
                "{} ms: server {} asked host {} for a pause of {pause} ms and got {count} requests",
                arrival.at, arrival.server, arrival.host.0
            ));
        }
    }
    violations
}

/// Returns all arrivals whose host is known. Orders name only their reservation, whose host is that of
/// a request with a reservation of the same process.
fn arrivals(observations: &Observations) -> Vec<Arrival<'_>> {
    let mut holders: HashMap<&str, HostStart> = HashMap::new();
    let mut arrivals = Vec::new();
    for run in &observations.runs {
        let Some(sent) = observations.sent.get(&run.request) else { continue };
        let host = (sent.host, sent.start);
        if let Some(holder) = &run.holder {
            holders.insert(holder, host);
        }
        let pause = run.pause.filter(|_| has_read_response(sent, run));
        arrivals.push(Arrival { host, server: &run.server, at: run.at, pause });
    }
    arrivals.extend(observations.orders.iter().filter_map(|order| {
        let host = *holders.get(order.holder.as_str())?;
        Some(Arrival { host, server: &order.server, at: order.at, pause: order.pause })
    }));
    arrivals
}

/// Returns whether the host awaited the response: it closes the connection when its caller cancels.
fn has_read_response(sent: &Sent, run: &Run) -> bool {
    match &sent.end {
        Some((at, Outcome::Left)) => *at > run.at + SCHEDULING_SLACK_MS,
        _ => true,
    }
}
