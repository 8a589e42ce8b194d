//! Draws the faults of one soak from its seed, including series and overlapping faults.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::behavior::Behavior;

/// A fault of a network link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Drops all traffic silently in both directions.
    Cut,
    /// Drops traffic from the connecting side.
    ForthCut,
    /// Drops traffic to the connecting side.
    BackCut,
    /// Adds this one-way delay, in milliseconds.
    Delay(u64),
    /// Closes the open connections once.
    Reset,
    /// Refuses connections.
    Refuse,
}

/// How a server leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Departure {
    /// Its entry states that it is draining.
    Announced,
    /// Its entry is removed.
    Silent,
    /// Its responses state it, while its entry says for this long that it is ready.
    InResponses(Duration),
}

/// A fault or a planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill {
        host: usize,
    },
    Pause {
        host: usize,
        span: Duration,
    },
    Stop {
        host: usize,
    },
    Reload {
        host: usize,
    },
    CallerLink {
        host: usize,
        link: LinkFault,
        span: Duration,
    },
    StoreLink {
        host: usize,
        link: LinkFault,
        span: Duration,
    },
    StoreAway {
        link: LinkFault,
        span: Duration,
    },
    StoreBusy {
        span: Duration,
    },
    Compact,
    Rewind {
        away: Duration,
        age: Duration,
    },
    RewindDeparture {
        server: usize,
        departure: Departure,
        away: Duration,
    },
    ServerLink {
        server: usize,
        link: LinkFault,
        span: Duration,
    },
    ServerManner {
        server: usize,
        manner: Behavior,
        span: Duration,
    },
    ServerCrash {
        server: usize,
        span: Duration,
    },
    /// Names two limits, in thousandths of a request per second, each for `span`.
    ServerLimits {
        server: usize,
        rates: [u32; 2],
        span: Duration,
    },
    /// Evacuates a zone for `span`; with a `gap`, it is withdrawn for that long before.
    Evacuate {
        zone: usize,
        span: Duration,
        gap: Option<Duration>,
    },
    ServerLeaves {
        server: usize,
        departure: Departure,
    },
    AddRoute,
    Storm,
    Revoke,
}

/// Exclusive upper bound of the pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;
/// One in this many faults is followed shortly by the same kind, mostly on other targets.
const SERIES_ODDS: u32 = 4;

/// The maximum number of times that servers turn requests away.
const MAX_PAUSE_FAULTS: u32 = 3;
/// One in this many soaks has no rewinds of the store.
const CALM_ODDS: u32 = 2;
/// Exclusive upper bound of the pause between two rewinds, in milliseconds.
const MAX_REWIND_PAUSE_MS: u64 = 9_000;
/// Distinguishes the random values for rewinds from the others of a seed, whose faults stay as they are.
const REWIND_SEED: u64 = 0x7265_7769_6e64;

/// The number of values to draw a fault kind from; some kinds have two values.
const KIND_VALUES: u32 = 20;

/// Draws the faults within `span` and the start time of each. A seed uses about half
/// of all kinds, so that guarantees that need an undisturbed host or store are checked as well.
pub(crate) fn draw_faults(
    random: &mut SmallRng,
    span: Duration,
    hosts: usize,
    servers: usize,
) -> Vec<(Duration, Fault)> {
    let mut kinds: Vec<u32> = (0..KIND_VALUES).filter(|_| random.random()).collect();
    if kinds.is_empty() {
        kinds.extend(0..KIND_VALUES);
    }
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < span {
        let kind = kinds[random.random_range(0..kinds.len())];
        let fault = draw_fault(random, kind, hosts, servers);
        faults.push((at, fault));
        if random.random_range(0..SERIES_ODDS) == 0 {
            for step in 1..=random.random_range(1..=2_u32) {
                let later = at + Duration::from_millis(random.random_range(0..400)) * step;
                faults.push((later, retarget(random, fault, hosts, servers)));
            }
        }
        at += Duration::from_millis(random.random_range(50..MAX_PAUSE_MS));
    }
    // Drawn from a generator of its own, so that the other faults of a seed stay the same.
    let mut pauses = SmallRng::seed_from_u64(random.clone().random());
    faults.extend(draw_pauses(&mut pauses, span, servers));
    faults.sort_by_key(|(at, _)| *at);
    faults
}

/// Draws servers that turn requests away and ask for a pause, in about half of all seeds: one server at
/// a time, or all at once.
fn draw_pauses(random: &mut SmallRng, span: Duration, servers: usize) -> Vec<(Duration, Fault)> {
    if random.random() {
        return Vec::new();
    }
    let mut faults = Vec::new();
    for _ in 0..random.random_range(1..=MAX_PAUSE_FAULTS) {
        let at = span.mul_f64(random.random_range(0.05..0.95));
        let manner = Behavior::TurnsAway { pause_ms: random.random_range(600..4_000) };
        let length = Duration::from_millis(random.random_range(300..3_000));
        let first = random.random_range(0..servers);
        let targets = if random.random_range(0..3) == 0 { 0..servers } else { first..first + 1 };
        faults.extend(
            targets.map(|server| (at, Fault::ServerManner { server, manner, span: length })),
        );
    }
    faults
}

/// Draws the rewinds of the store within `span`, some of them shortly after another; the last one is
/// injected in calm, after all other faults.
pub(crate) fn draw_rewinds(seed: u64, span: Duration, servers: usize) -> Vec<(Duration, Fault)> {
    let mut random = SmallRng::seed_from_u64(seed ^ REWIND_SEED);
    let mut rewinds = Vec::new();
    if random.random_range(0..CALM_ODDS) == 0 {
        return rewinds;
    }
    let mut at = Duration::from_millis(random.random_range(1_000..MAX_REWIND_PAUSE_MS));
    while at < span {
        let away = Duration::from_millis(random.random_range(0..600));
        let age = Duration::from_millis(random.random_range(300..8_000));
        let server = random.random_range(0..servers);
        let fault = match random.random_range(0..4) {
            0 => Fault::Rewind { away, age },
            1 => Fault::RewindDeparture { server, departure: Departure::Announced, away },
            _ => Fault::RewindDeparture { server, departure: Departure::Silent, away },
        };
        rewinds.push((at, fault));
        at += Duration::from_millis(random.random_range(200..MAX_REWIND_PAUSE_MS));
    }
    let server = random.random_range(0..servers);
    let last =
        Fault::RewindDeparture { server, departure: Departure::Silent, away: Duration::ZERO };
    rewinds.push((at, last));
    rewinds
}

fn draw_fault(random: &mut SmallRng, kind: u32, hosts: usize, servers: usize) -> Fault {
    let host = random.random_range(0..hosts);
    let server = random.random_range(0..servers);
    let span = Duration::from_millis(random.random_range(300..5_000));
    // The maximum exceeds how long a host may use a configuration that it cannot verify.
    let store_span = Duration::from_millis(random.random_range(300..9_000));
    match kind {
        0 | 1 => Fault::Kill { host },
        2 | 3 => Fault::Pause { host, span },
        4 | 5 => Fault::Stop { host },
        6 => Fault::Reload { host },
        7 => Fault::CallerLink { host, link: draw_link(random), span },
        8 => Fault::StoreLink { host, link: draw_link(random), span: store_span },
        9 => Fault::StoreAway { link: draw_link(random), span: store_span },
        10 => Fault::StoreBusy { span: store_span },
        11 => Fault::Compact,
        12 | 13 => Fault::ServerLink { server, link: draw_link(random), span },
        14 => Fault::ServerManner { server, manner: draw_behavior(random), span },
        15 => Fault::ServerCrash { server, span },
        16 => Fault::ServerLeaves { server, departure: draw_departure(random, span) },
        17 => Fault::AddRoute,
        18 => Fault::Storm,
        _ => Fault::Revoke,
    }
}

fn retarget(random: &mut SmallRng, fault: Fault, hosts: usize, servers: usize) -> Fault {
    let host = random.random_range(0..hosts);
    let server = random.random_range(0..servers);
    match fault {
        Fault::Kill { .. } => Fault::Kill { host },
        Fault::Pause { span, .. } => Fault::Pause { host, span },
        Fault::Stop { .. } => Fault::Stop { host },
        Fault::Reload { .. } => Fault::Reload { host },
        Fault::CallerLink { link, span, .. } => Fault::CallerLink { host, link, span },
        Fault::StoreLink { link, span, .. } => Fault::StoreLink { host, link, span },
        Fault::ServerLink { link, span, .. } => Fault::ServerLink { server, link, span },
        Fault::ServerManner { manner, span, .. } => Fault::ServerManner { server, manner, span },
        Fault::ServerCrash { span, .. } => Fault::ServerCrash { server, span },
        Fault::ServerLeaves { departure, .. } => Fault::ServerLeaves { server, departure },
        other => other,
    }
}

/// Takes as many random numbers as a choice of two would, so that other faults of a seed stay.
fn draw_departure(random: &mut SmallRng, span: Duration) -> Departure {
    match random.random::<u32>() % 4 {
        0 => Departure::Announced,
        1 => Departure::Silent,
        _ => Departure::InResponses(span),
    }
}

fn draw_link(random: &mut SmallRng) -> LinkFault {
    match random.random_range(0..6) {
        0 => LinkFault::Cut,
        1 => LinkFault::ForthCut,
        2 => LinkFault::BackCut,
        3 => LinkFault::Delay(random.random_range(20..400)),
        4 => LinkFault::Reset,
        _ => LinkFault::Refuse,
    }
}

fn draw_behavior(random: &mut SmallRng) -> Behavior {
    match random.random_range(0..8) {
        0 => Behavior::LosesAnswers,
        1 => Behavior::BreaksOff,
        2 => Behavior::Mute,
        3 => Behavior::Confuses,
        4 => Behavior::Sheds,
        5 => Behavior::EndlessHead,
        6 => Behavior::EndlessBody,
        _ => Behavior::LateOrders,
    }
}
