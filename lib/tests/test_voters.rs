//! What one entry host grants as a voter, message by message.

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
enum What {
    Ask(u64),
    AskOfOtherSet(u64),
    Release(u64),
    /// Names the host and incarnation that follow.
    ReleaseTo(u64, &'static str, u64),
}

#[derive(Debug, Clone, Copy)]
struct Step {
    /// Milliseconds since the voter's start; a lease is 2,000 ms.
    at: u64,
    from: &'static str,
    incarnation: u64,
    what: What,
    reply: Reply,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reply {
    None,
    Refused,
    Granted,
    Handed,
}

use Reply::*;
use What::*;

const fn step(at: u64, from: &'static str, incarnation: u64, what: What, reply: Reply) -> Step {
    Step { at, from, incarnation, what, reply }
}

#[test_case(&[step(2_090, "h1", 1, Ask(1), Refused), step(2_110, "h1", 1, Ask(2), Granted)]; "a new voter waits")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(4_999, "h2", 1, Ask(1), Refused), step(5_000, "h2", 1, Ask(2), Granted)]; "one holder until the lapse")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(4_000, "h1", 1, Ask(2), Granted), step(5_500, "h2", 1, Ask(1), Refused)]; "a renewal lasts")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h1", 2, Ask(1), Refused)]; "a new incarnation waits for the old")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h1", 1, Release(1), None), step(3_200, "h2", 1, Ask(1), Granted)]; "a release frees")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h1", 1, Ask(2), Granted), step(3_200, "h1", 1, Release(1), None), step(3_300, "h2", 1, Ask(1), Refused)]; "a late release frees nothing")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h2", 1, Release(9), None), step(3_300, "h2", 1, Ask(10), Refused)]; "only the holder releases")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(3_200, "h2", 7, Ask(1), Handed), step(4_000, "h2", 7, Ask(2), Handed)]; "the successor is handed the shard")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(3_200, "h2", 8, Ask(1), Refused), step(5_100, "h2", 8, Ask(2), Granted)]; "a restarted successor is handed nothing")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(3_200, "h1", 1, Ask(1), Refused)]; "a late ask does not undo a hand over")]
#[test_case(&[step(3_000, "h1", 1, Ask(1), Granted), step(3_100, "h1", 1, ReleaseTo(1, "h2", 7), None), step(5_100, "h1", 2, Ask(1), Granted), step(7_200, "h2", 7, Ask(2), Granted)]; "another holder in between is not hidden")]
#[test_case(&[step(3_000, "h1", 1, AskOfOtherSet(1), Refused)]; "an asker with another set is refused")]
fn grants(steps: &[Step]) {
    let settings = HomeSettings { lease: Duration::from_secs(2), ..HomeSettings::default() };
    let hosts = list(1, &["h0", "h1", "h2"]);
    let sets = sets_of(&hosts);
    let mut voter = Homes::new(HostName::new("h0"), Incarnation(1), settings, 1, Now::default());
    voter.set_hosts(Now::default(), &hosts);
    for step in steps {
        let now = Now { mono: Moment(step.at * 1_000), wall: WallTime(step.at) };
        let shards = vec![3];
        let message = match step.what {
            Ask(round) => LeaseMessage::Ask { round, list: 1, sets: sets.clone(), shards },
            AskOfOtherSet(round) => LeaseMessage::Ask { round, list: 1, sets: vec![9], shards },
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

/// Learns the hashes of the sets from what a host says that knows `list`.
fn sets_of(list: &LiveList) -> Vec<u64> {
    let settings = HomeSettings::default();
    let mut homes = Homes::new(HostName::new("h0"), Incarnation(1), settings, 1, Now::default());
    homes.set_hosts(Now::default(), list);
    let ask = LeaseMessage::Ask { round: 1, list: 1, sets: Vec::new(), shards: Vec::new() };
    let envelope = Envelope {
        from: HostName::new("h1"),
        incarnation: Incarnation(1),
        message: PeerMessage::Lease(ask),
    };
    match &homes.on_peer(Now::default(), &envelope)[..] {
        [
            HomeOutput::Send {
                message: PeerMessage::Lease(LeaseMessage::Grant { sets, .. }), ..
            },
        ] => sets.clone(),
        other => panic!("{other:?}"),
    }
}
