//! The faults of one soak, drawn from its seed: in series, and one over another.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use crate::server::Manner;

/// What a link does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LinkFault {
    /// Nothing passes, in silence.
    Cut,
    /// Nothing passes from the connecting side.
    ForthCut,
    /// Nothing passes to the connecting side.
    BackCut,
    /// All takes this many milliseconds longer, one way.
    Delay(u64),
    /// Open connections are closed once.
    Reset,
    /// Connections are refused.
    Refuse,
}

/// One fault, or a planned change.
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
    ServerManner { server: usize, manner: Manner, span: Duration },
    ServerCrash { server: usize, span: Duration },
    ServerLeaves { server: usize, in_silence: bool },
    AddRoute,
    Storm,
    Revoke,
}

/// The longest pause between two faults.
const LONGEST_PAUSE_MS: u64 = 1_500;
/// One fault in so many is followed by the same kind for other targets at once.
const SERIES: u32 = 4;

/// The kinds of faults, some of them twice as often.
const KINDS: u32 = 20;

/// Draws the faults of `span` for so many hosts and servers, with when each begins. A seed has about half
/// of all kinds, so that promises that need a calm host or store are pressed as well.
pub(crate) fn draw(
    random: &mut SmallRng,
    span: Duration,
    hosts: usize,
    servers: usize,
) -> Vec<(Duration, Fault)> {
    let mut kinds: Vec<u32> = (0..KINDS).filter(|_| random.random()).collect();
    if kinds.is_empty() {
        kinds.extend(0..KINDS);
    }
    let mut faults = Vec::new();
    let mut at = Duration::from_millis(500);
    while at < span {
        let kind = kinds[random.random_range(0..kinds.len())];
        let fault = draw_fault(random, kind, hosts, servers);
        faults.push((at, fault));
        if random.random_range(0..SERIES) == 0 {
            for step in 1..=random.random_range(1..=2_u32) {
                let later = at + Duration::from_millis(random.random_range(0..400)) * step;
                faults.push((later, at_other_target(random, fault, hosts, servers)));
            }
        }
        at += Duration::from_millis(random.random_range(50..LONGEST_PAUSE_MS));
    }
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn draw_fault(random: &mut SmallRng, kind: u32, hosts: usize, servers: usize) -> Fault {
    let host = random.random_range(0..hosts);
    let server = random.random_range(0..servers);
    let span = Duration::from_millis(random.random_range(300..5_000));
    // Longer than a host may serve by a configuration that it could not verify.
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
        14 => Fault::ServerManner { server, manner: draw_manner(random), span },
        15 => Fault::ServerCrash { server, span },
        16 => Fault::ServerLeaves { server, in_silence: random.random() },
        17 => Fault::AddRoute,
        18 => Fault::Storm,
        _ => Fault::Revoke,
    }
}

fn at_other_target(random: &mut SmallRng, fault: Fault, hosts: usize, servers: usize) -> Fault {
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

fn draw_manner(random: &mut SmallRng) -> Manner {
    match random.random_range(0..6) {
        0 => Manner::LosesAnswers,
        1 => Manner::BreaksOff,
        2 => Manner::Mute,
        3 => Manner::Confuses,
        4 => Manner::Sheds,
        _ => Manner::LateOrders,
    }
}
