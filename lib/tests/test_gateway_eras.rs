//! A source that is restored from an older copy: eras in the gateway's view and between builds.

mod gateways;

use gateways::*;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::protocol::decode_summary;
use wasabicrank_lib::protocol::encode_summary;
use wasabicrank_lib::state::*;

struct Order {
    lower: (u64, u64),
    higher: (u64, u64),
}

// Guards against: a revision of before a rewind counts as newer than one of after it.
#[test_case(Order { lower: (1, 90), higher: (2, 80) } ; "the era counts first")]
#[test_case(Order { lower: (2, 80), higher: (2, 81) } ; "the revision counts within an era")]
#[test_case(Order { lower: (0, 90), higher: (1, 1) } ; "no era comes first")]
fn points_are_ordered_by_era_and_revision(case: Order) {
    let point = |(era, revision)| SourcePoint { era: SourceEra(era), revision };
    assert!(point(case.lower) < point(case.higher));
}

struct PeerChange {
    own_eras: &'static [u64],
    peer_eras: &'static [u64],
    /// The peer's newest change; this host's list is complete up to 40.
    change: u64,
    is_missed: bool,
    rewinds: u64,
}

// Guards against: a peer's revision of another era sets off reads, or hides a missed change.
#[test_case(PeerChange { own_eras: &[1], peer_eras: &[1], change: 45, is_missed: true, rewinds: 0 } ; "the same era, a newer change")]
#[test_case(PeerChange { own_eras: &[1], peer_eras: &[1], change: 40, is_missed: false, rewinds: 0 } ; "the same era, the same change")]
#[test_case(PeerChange { own_eras: &[1, 2], peer_eras: &[1], change: 90, is_missed: false, rewinds: 1 } ; "a peer that does not know of the rewind")]
#[test_case(PeerChange { own_eras: &[1], peer_eras: &[1, 2], change: 30, is_missed: true, rewinds: 1 } ; "a peer that knows of a rewind")]
#[test_case(PeerChange { own_eras: &[1], peer_eras: &[], change: 45, is_missed: true, rewinds: 0 } ; "a peer of an older build, no rewind")]
#[test_case(PeerChange { own_eras: &[1, 2], peer_eras: &[], change: 90, is_missed: false, rewinds: 1 } ; "a peer of an older build, after a rewind")]
#[test_case(PeerChange { own_eras: &[], peer_eras: &[], change: 45, is_missed: true, rewinds: 0 } ; "a source that states no era")]
fn peers_changes_are_compared_within_an_era(case: PeerChange) {
    let (mut host, mut peer) = (gateway(1), gateway(2));
    case.own_eras.iter().for_each(|era| assert!(host.observe_source_era(SourceEra(*era))));
    case.peer_eras.iter().for_each(|era| assert!(peer.observe_source_era(SourceEra(*era))));
    host.record_server_revisions(40, Some(40));
    peer.record_server_revisions(case.change, Some(case.change));
    send_summary(&mut peer, 2, &mut host, at(10));
    assert_eq!(host.misses_server_change(at(10)), case.is_missed);
    assert_eq!(host.source_rewinds(), case.rewinds);
}

// Guards against: hosts of the build before eras drop the datagrams of this one, or the reverse.
#[test]
fn builds_with_and_without_eras_understand_each_other() {
    let mut peer = gateway(3);
    peer.observe_source_era(SourceEra(300));
    peer.record_server_revisions(45, Some(45));
    let summary = peer.peer_summary(at(3));
    let datagram = encode_summary(&summary).unwrap();
    let decoded = decode_summary(&datagram).unwrap();
    assert_eq!(decoded.servers_change, summary.servers_change);
    // A build without eras sends the same bytes without the last parts, and ignores these parts.
    let bare = PeerSummary {
        servers_change: SourcePoint { era: SourceEra(0), ..summary.servers_change },
        ..summary.clone()
    };
    let bare_datagram = encode_summary(&bare).unwrap();
    let without_era = &bare_datagram[..bare_datagram.len() - 2];
    assert!(datagram.starts_with(without_era));
    // A build with eras and without cells sends all but the number of hosts.
    let decoded = decode_summary(&datagram[..datagram.len() - 1]).unwrap();
    assert_eq!(decoded.servers_change, summary.servers_change);
    let decoded = decode_summary(without_era).unwrap();
    assert_eq!(decoded.servers_change, SourcePoint { era: SourceEra(0), revision: 45 });
    assert_eq!(decoded.version, summary.version);
}

// Guards against: a late response of a lower era is applied, or counts as a rewind.
#[test]
fn a_lower_era_changes_nothing() {
    let mut host = gateway(1);
    assert!(host.observe_source_era(SourceEra(5)));
    host.record_server_revisions(40, Some(40));
    assert!(!host.observe_source_era(SourceEra(4)));
    assert_eq!((host.source_era(), host.source_rewinds()), (SourceEra(5), 0));
    assert_eq!(host.peer_summary(at(1)).servers_change.revision, 40);
}

// Guards against: a host that knows of a rewind goes on with what it read before.
#[test]
fn the_configuration_is_read_at_once_in_each_era() {
    let mut host = gateway(1);
    host.observe_source_era(SourceEra(5));
    assert!(!host.catalog_read_in(at(10)).is_zero(), "the first known era is no rewind");
    host.observe_source_era(SourceEra(6));
    host.observe_source_era(SourceEra(7));
    assert!(host.catalog_read_in(at(10)).is_zero());
    assert_eq!(host.record_catalog_read(SourceEra(7)), Some(SourceEra(5)));
    assert_eq!(host.record_catalog_read(SourceEra(7)), None);
    host.verify_catalog(1, at(10));
    assert!(!host.catalog_read_in(at(11)).is_zero());
}

// Guards against: the first read of a host meets a rewind that only a peer has seen.
#[test]
fn a_rewind_before_the_first_read_is_known_from_a_peer() {
    let (mut host, mut peer) = (empty_gateway(1), gateway(2));
    peer.observe_source_era(SourceEra(3));
    send_summary(&mut peer, 2, &mut host, at(1));
    assert!(!host.observe_source_era(SourceEra(2)), "a late response");
    assert!(host.observe_source_era(SourceEra(3)));
    assert_eq!(host.source_rewinds(), 0);
}

struct OlderRead {
    /// When the peer with the newer version is seen, and when the read is sent.
    seen: u64,
    sent: u64,
    change: CatalogChange,
}

// Guards against: a host takes a version from the copy that is below one of a live peer; and a read
// that was only slower than the peer's is refused.
#[test_case(OlderRead { seen: 10, sent: 20, change: CatalogChange::Older } ; "the peer had it before the read")]
#[test_case(OlderRead { seen: 30, sent: 20, change: CatalogChange::Accepted(Some(1)) } ; "the peer had it after the read")]
#[test_case(OlderRead { seen: 10, sent: 3_000, change: CatalogChange::Accepted(Some(1)) } ; "the peer is gone")]
fn no_version_below_one_of_a_live_peer_is_taken(case: OlderRead) {
    let (mut host, mut peer) = (gateway(1), gateway(2));
    peer.install_catalog(Catalog::new(parts(7)), at(5));
    send_summary(&mut peer, 2, &mut host, at(case.seen));
    let change = host.install_catalog(Catalog::new(parts(5)), at(case.sent));
    assert_eq!(change, case.change);
}

// Guards against: an older copy verifies the version in force because it was read unchanged.
#[test]
fn a_version_below_one_of_a_live_peer_is_not_verified() {
    let (mut host, mut peer) = (gateway(1), gateway(2));
    peer.install_catalog(Catalog::new(parts(7)), at(5));
    send_summary(&mut peer, 2, &mut host, at(10));
    host.verify_catalog(1, at(900));
    assert_eq!(host.catalog_age(at(1_000)), Some(ms(1_000)));
}

// Guards against: all hosts read without a pause while the copy holds an older version.
#[test]
fn an_older_copy_is_read_again_after_a_pause() {
    let (mut host, mut peer) = (gateway(9), gateway(2));
    host.install_catalog(Catalog::new(parts(7)), at(0));
    host.verify_catalog(5, at(1_000));
    assert!(host.catalog_read_in(at(1_001)) >= ms(300));
    assert!(host.catalog_read_in(at(1_500)).is_zero());
    peer.install_catalog(Catalog::new(parts(8)), at(1_000));
    send_summary(&mut peer, 2, &mut host, at(1_002));
    assert!(host.catalog_read_in(at(1_002)).is_zero(), "a peer has a newer one");
}

struct Start {
    seeds: &'static [u8],
    seen: &'static [u8],
    now: u64,
    waits: bool,
}

// Guards against: a starting host reads an older copy before it knows the versions of its peers.
#[test_case(Start { seeds: &[], seen: &[], now: 0, waits: false } ; "no seeds")]
#[test_case(Start { seeds: &[2, 3], seen: &[2], now: 100, waits: true } ; "a seed is silent")]
#[test_case(Start { seeds: &[2, 3], seen: &[2, 3], now: 100, waits: false } ; "all seeds were seen")]
#[test_case(Start { seeds: &[2, 3], seen: &[], now: 600, waits: false } ; "the seeds stay silent")]
fn a_starting_host_waits_for_its_seeds(case: Start) {
    let mut host = empty_gateway(1);
    host.set_seeds(address(1), case.seeds.iter().map(|seed| address(*seed)).collect());
    host.peer_summary(at(0));
    for seed in case.seen {
        send_summary(&mut empty_gateway(u64::from(*seed)), *seed, &mut host, at(50));
    }
    assert_eq!(!host.catalog_read_in(at(case.now)).is_zero(), case.waits);
}

/// What this host knows of the server before the rewind, and what the first list of the new era says.
struct Copied {
    known: ServerChange,
    entry: Server,
    /// The revision of the entry; the list is that of revision 20.
    revision: u64,
    accepts: bool,
}

fn draining() -> Server {
    Server { draining: true, ..server("p-1", "plain", 3) }
}

fn reborn() -> Server {
    let id = ServerId::new("p-1", 2);
    Server { id, ..server("p-1", "plain", 3) }
}

// Guards against: an entry of the copy gives work back to a start that is leaving or gone.
#[test_case(Copied { known: ServerChange::Listed(draining()), entry: server("p-1", "plain", 3), revision: 9, accepts: false } ; "draining, an entry of the copy")]
#[test_case(Copied { known: ServerChange::Removed("p-1".to_owned()), entry: server("p-1", "plain", 3), revision: 9, accepts: false } ; "gone, an entry of the copy")]
#[test_case(Copied { known: ServerChange::Listed(reborn()), entry: server("p-1", "plain", 3), revision: 9, accepts: true } ; "the start before the present one")]
#[test_case(Copied { known: ServerChange::Removed("p-1".to_owned()), entry: reborn(), revision: 9, accepts: true } ; "gone, another start")]
#[test_case(Copied { known: ServerChange::Listed(draining()), entry: server("p-1", "plain", 3), revision: 21, accepts: true } ; "draining, written since")]
#[test_case(Copied { known: ServerChange::Removed("p-1".to_owned()), entry: server("p-1", "plain", 3), revision: 21, accepts: true } ; "gone, written since")]
fn entries_of_the_copy_say_nothing_new(case: Copied) {
    let mut host = gateway(1);
    host.observe_source_era(SourceEra(1));
    let own_start = match &case.known {
        ServerChange::Listed(server) if !server.draining => server.id.clone(),
        _ => case.entry.id.clone(),
    };
    host.apply_server(case.known);
    host.observe_source_era(SourceEra(2));
    let listed = vec![ListedServer { server: case.entry, revision: case.revision }];
    host.replace_servers(listed, 20, false, at(0));
    let servers = host.servers().of_service(&ServiceName::new("plain"));
    assert_eq!(servers.iter().any(|server| server.id == own_start), case.accepts);
    // The start writes its entry again.
    host.apply_server(ServerChange::Listed(server("p-1", "plain", 3)));
    assert!(host.servers().contains(&server("p-1", "plain", 3).id));
}

// Guards against: a server that the copy lacks is dropped at once, or stays without an entry.
#[test]
fn servers_that_the_copy_lacks_stay_as_after_an_outage() {
    let mut host = gateway(1);
    host.observe_source_era(SourceEra(1));
    host.replace_servers(
        vec![ListedServer { server: server("p-1", "plain", 3), revision: 4 }],
        30,
        false,
        at(0),
    );
    assert_eq!(host.servers().len(), 1, "no rewind");
    host.observe_source_era(SourceEra(2));
    host.replace_servers(Vec::new(), 20, false, at(100));
    assert_eq!(host.servers().len(), 1);
    host.replace_servers(Vec::new(), 21, false, at(1_000));
    assert_eq!(host.servers().len(), 1, "a second list does not shorten the time");
    host.drop_missing_servers(at(1_900));
    assert!(host.servers().is_empty());
}
