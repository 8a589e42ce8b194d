//! Draws the faults of one soak from its seed, including series and overlapping faults.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::server::Behavior;

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

/// A fault or a planned change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    Kill { host: usize },
    Pause { host: usize, span: Duration },
    Stop { host: usize },
    Reload { host: usize },
    CallerLink { host: usize, link: LinkFault, span: Duration },
    StoreLink { host: usize, link: LinkFault, span: Duration },
    StoreAway { link: LinkFault, span: Duration },
    StoreBusy { span: Duration },
    Compact,
    ServerLink { server: usize, link: LinkFault, span: Duration },
    ServerManner { server: usize, manner: Behavior, span: Duration },
    ServerCrash { server: usize, span: Duration },
    ServerLeaves { server: usize, in_silence: bool },
    AddRoute,
    Storm,
    Revoke,
}

/// Exclusive upper bound of the pause between two faults, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_500;
/// One in this many faults is followed shortly by the same kind, mostly on other targets.
const SERIES_ODDS: u32 = 4;

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
    faults.sort_by_key(|(at, _)| *at);
    faults
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
        16 => Fault::ServerLeaves { server, in_silence: random.random() },
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
        Fault::ServerLeaves { in_silence, .. } => Fault::ServerLeaves { server, in_silence },
        other => other,
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
