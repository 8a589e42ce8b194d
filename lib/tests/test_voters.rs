//! The grants of one entry host as a voter, message by message.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

/// The entry hosts `h0` to `h2`; `h0` is the voter.
fn list(version: u64, names: &[&str]) -> LiveList {
    let peer_addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let zone = ZoneName::new("z");
    let entry =
        |name: &&str| EntryHost { name: HostName::new(*name), zone: zone.clone(), peer_addr };
    let entry_hosts = names.iter().map(entry).collect();
    LiveList { version, entry_hosts, ..LiveList::default() }
}

#[derive(Debug, Clone, Copy)]
enum Action {
    Request(u64),
    RequestWithOtherSet(u64),
    Release(u64),
    /// Releases the shard to a successor with this host name and incarnation.
    ReleaseTo(u64, &'static str, u64),
}

#[derive(Debug, Clone, Copy)]
struct Step {
    /// Milliseconds since the voter's start; a lease is 2,000 ms.
    at: u64,
    from: &'static str,
    incarnation: u64,
    action: Action,
    reply: Reply,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    None,
    Refused,
    Granted,
    Handed,
}

use Action::*;
use Reply::*;

const fn step(at: u64, from: &'static str, incarnation: u64, action: Action, reply: Reply) -> Step {
    Step { at, from, incarnation, action, reply }
}

#[test_case(&[step(2_090, "h1", 1, Request(1), Refused), step(2_110, "h1", 1, Request(2), Granted)]; "a new voter waits")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(4_999, "h2", 1, Request(1), Refused), step(5_000, "h2", 1, Request(2), Granted)]; "one holder until expiry")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(4_000, "h1", 1, Request(2), Granted), step(5_500, "h2", 1, Request(1), Refused)]; "a renewal lasts")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h1", 2, Request(1), Refused)]; "a new incarnation waits for the old")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h1", 1, Release(1), None), step(3_200, "h2", 1, Request(1), Granted)]; "a release frees the shard")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h1", 1, Request(2), Granted), step(3_200, "h1", 1, Release(1), None), step(3_300, "h2", 1, Request(1), Refused)]; "a delayed release frees nothing")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h2", 1, Release(9), None), step(3_300, "h2", 1, Request(10), Refused)]; "only the holder releases")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(3_200, "h2", 7, Request(1), Handed), step(4_000, "h2", 7, Request(2), Handed)]; "the successor is handed the shard")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(3_200, "h2", 8, Request(1), Refused), step(5_100, "h2", 8, Request(2), Granted)]; "a restarted successor is handed nothing")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(3_200, "h1", 1, Request(1), Refused)]; "a delayed request does not undo a handover")]
#[test_case(&[step(3_000, "h1", 1, Request(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(5_100, "h1", 2, Request(1), Granted), step(7_200, "h2", 7, Request(2), Granted)]; "a successor is not handed a shard that another held in between")]
#[test_case(&[step(3_000, "h1", 1, RequestWithOtherSet(1), Refused)]; "a requester with another set is refused")]
fn grants(steps: &[Step]) {
    let settings = HomeSettings { lease: Duration::from_secs(2), ..HomeSettings::default() };
    let hosts = list(1, &["h0", "h1", "h2"]);
    let sets = sets_of(&hosts);
    let mut voter = Homes::new(HostName::new("h0"), Incarnation(1), settings, 1, Now::default());
    voter.set_hosts(Now::default(), &hosts);
    for step in steps {
        let now = now_at(step.at);
        let shards = vec![3];
        let message = match step.action {
            Request(round) => LeaseMessage::Request { round, list: 1, sets: sets.clone(), shards },
            RequestWithOtherSet(round) => {
                LeaseMessage::Request { round, list: 1, sets: vec![9], shards }
            }
            Release(round) => LeaseMessage::Release { round, shards, successor: Option::None },
            ReleaseTo(round, host, incarnation) => {
                let host = HostName::new(host);
                let next = Process { host, incarnation: Incarnation(incarnation) };
                LeaseMessage::Release { round, shards, successor: Some(next) }
            }
        };
        let from = HostName::new(step.from);
        let incarnation = Incarnation(step.incarnation);
        let envelope = Envelope { from, incarnation, message: PeerMessage::Lease(message) };
        let outputs = voter.on_peer(now, &envelope);
        assert_eq!(reply_in(&outputs), step.reply, "{step:?}");
    }
}

fn reply_in(outputs: &[HomeOutput]) -> Reply {
    let grant = outputs.iter().find_map(|output| match output {
        HomeOutput::Send {
            message: PeerMessage::Lease(LeaseMessage::Grant { shards, handed, .. }),
            ..
        } => Some((shards.len(), handed.len())),
        _ => Option::None,
    });
    match grant {
        Option::None => Reply::None,
        Some((0, _)) => Refused,
        Some((_, 0)) => Granted,
        Some(_) => Handed,
    }
}

/// Obtains the hashes of the sets from the reply of a host that knows `list`.
fn sets_of(list: &LiveList) -> Vec<u64> {
    let settings = HomeSettings::default();
    let mut homes = Homes::new(HostName::new("h0"), Incarnation(1), settings, 1, Now::default());
    homes.set_hosts(Now::default(), list);
    let request = LeaseMessage::Request { round: 1, list: 1, sets: Vec::new(), shards: Vec::new() };
    let envelope = Envelope {
        from: HostName::new("h1"),
        incarnation: Incarnation(1),
        message: PeerMessage::Lease(request),
    };
    sets_in(&homes.on_peer(Now::default(), &envelope))
}

/// Returns the sets that a reply names.
fn sets_in(outputs: &[HomeOutput]) -> Vec<u64> {
    let sets = outputs.iter().find_map(|output| match output {
        HomeOutput::Send {
            message: PeerMessage::Lease(LeaseMessage::Grant { sets, .. }), ..
        } => Some(sets.clone()),
        _ => Option::None,
    });
    sets.unwrap_or_default()
}

fn now_at(at: u64) -> Now {
    Now { mono: Moment(at * 1_000), wall: WallTime(at) }
}

/// A step of the voter `h0`, at a time in milliseconds after its start: it receives a published set
/// or the sets of a peer, or the sets of which it needs majorities are checked.
///
/// The sets `A`, `B` and `C` are published in this order.
#[derive(Debug, Clone, Copy)]
enum SetStep {
    Published(u64, char),
    PeerSets(u64, &'static str, &'static str),
    ExpectSets(u64, &'static str),
}

use SetStep::*;

#[test_case(&[Published(0, 'A'), ExpectSets(1, "A"), Published(10, 'B'), ExpectSets(9_000, "AB")]; "both sets until others are known to have moved")]
#[test_case(&[Published(0, 'A'), Published(10, 'B'), PeerSets(20, "h1", "AB"), ExpectSets(2_119, "AB"), ExpectSets(2_121, "B")]; "the old set is retired one lease after most have moved")]
#[test_case(&[Published(0, 'A'), Published(10, 'B'), PeerSets(20, "h1", "B"), ExpectSets(2_121, "B")]; "a peer that has finished the change")]
#[test_case(&[Published(0, 'A'), Published(10, 'B'), PeerSets(20, "h1", "A"), PeerSets(20, "h3", "B"), ExpectSets(9_000, "AB")]; "a peer that has not moved, and one that is not in the old set")]
#[test_case(&[Published(0, 'B'), Published(10, 'C'), PeerSets(20, "h3", "ABC"), ExpectSets(9_000, "BC")]; "a peer that needs a set unknown here")]
#[test_case(&[Published(0, 'A'), Published(10, 'B'), Published(20, 'C'), PeerSets(30, "h3", "BC"), ExpectSets(9_000, "ABC")]; "no set is retired before an earlier one")]
#[test_case(&[Published(0, 'A'), Published(10, 'B'), Published(20, 'C'), PeerSets(30, "h3", "BC"), PeerSets(40, "h1", "AC"), ExpectSets(9_000, "C")]; "a host that skipped a set has left the earlier one")]
fn needs_majorities_of(steps: &[SetStep]) {
    let settings = HomeSettings { lease: Duration::from_secs(2), ..HomeSettings::default() };
    let mut voter = Homes::new(HostName::new("h0"), Incarnation(1), settings, 1, Now::default());
    for step in steps {
        let (at, from, sets) = match *step {
            Published(at, set) => {
                voter.set_hosts(now_at(at), &published(set));
                continue;
            }
            PeerSets(at, from, sets) => (at, from, sets),
            ExpectSets(at, _) => (at, "h9", ""),
        };
        let list = u64::from(sets.as_bytes().last().copied().unwrap_or(0));
        let sets = sets.chars().flat_map(|set| sets_of(&published(set))).collect();
        let request = LeaseMessage::Request { round: 1, list, sets, shards: Vec::new() };
        let (from, incarnation) = (HostName::new(from), Incarnation(1));
        let envelope = Envelope { from, incarnation, message: PeerMessage::Lease(request) };
        let outputs = voter.on_peer(now_at(at), &envelope);
        if let ExpectSets(_, expected) = step {
            let expected: Vec<_> =
                expected.chars().flat_map(|set| sets_of(&published(set))).collect();
            assert_eq!(sets_in(&outputs), expected, "{step:?}");
        }
    }
}

/// Returns the published list named `set`; its version is the letter's code point.
fn published(set: char) -> LiveList {
    let names = match set {
        'A' => ["h0", "h1", "h2"],
        'B' => ["h0", "h1", "h3"],
        _ => ["h0", "h3", "h4"],
    };
    list(u64::from(u32::from(set)), &names)
}
