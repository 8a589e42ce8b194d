//! The gateway's view of the configuration and the servers: verification by reads and by peers, the
//! schedule of reads and watches, readiness, and the server list.

mod gateways;

use std::net::Ipv4Addr;

use gateways::*;
use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::protocol::decode_summary;
use wasabicrank_lib::protocol::encode_summary;
use wasabicrank_lib::state::*;

#[test]
fn an_older_version_is_ignored_and_verifies_nothing() {
    let mut gateway = empty_gateway(1);
    gateway.install_catalog(Catalog::new(parts(7)), at(0));
    let change = gateway.install_catalog(Catalog::new(parts(5)), at(9_000));
    assert_eq!(change, CatalogChange::Older);
    assert_eq!(gateway.catalog().unwrap().version(), 7);
    assert_eq!(gateway.catalog_age(at(9_000)), Some(ms(9_000)));
}

/// The peer receives a summary of the host at `acked`, verifies `version` at `verified` and sends
/// its own summary at `sent`; all times in milliseconds.
struct PeerVerification {
    version: u64,
    verified: u64,
    acked: u64,
    sent: u64,
    usable_at: u64,
    is_usable: bool,
}

const VERIFIED: PeerVerification = PeerVerification {
    version: 1,
    verified: 4_000,
    acked: 4_100,
    sent: 4_150,
    usable_at: 6_000,
    is_usable: true,
};

#[test_case(VERIFIED ; "a peer verified the version in force")]
#[test_case(PeerVerification { version: 2, is_usable: false, ..VERIFIED } ; "a peer verified another version")]
#[test_case(PeerVerification { usable_at: 8_300, is_usable: false, ..VERIFIED } ; "the peer's read has expired")]
#[test_case(PeerVerification { acked: 100, sent: 7_000, verified: 6_990, usable_at: 7_000, is_usable: false, ..VERIFIED } ; "a summary counts from the acknowledged message")]
fn a_peers_verification_counts_no_later_than_its_read(case: PeerVerification) {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    host.set_seeds(address(1), vec![address(2)]);
    peer.set_seeds(address(2), vec![address(1)]);
    send_summary(&mut host, 1, &mut peer, at(case.acked));
    peer.install_catalog(Catalog::new(parts(case.version)), at(case.verified));
    send_summary(&mut peer, 2, &mut host, at(case.sent));
    let is_usable = host.admit(at(case.usable_at), &facts("/often/x")).is_ok();
    assert_eq!(is_usable, case.is_usable);
}

#[test]
fn a_peer_without_an_acknowledgement_of_this_start_verifies_nothing() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    host.set_seeds(address(1), vec![address(2)]);
    peer.verify_catalog(1, at(4_000));
    send_summary(&mut peer, 2, &mut host, at(4_100));
    assert!(host.admit(at(4_600), &facts("/often/x")).is_err());
}

#[test]
fn a_newer_version_at_a_peer_is_read_at_once() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    assert!(!host.catalog_read_in(at(10)).is_zero());
    peer.install_catalog(Catalog::new(parts(2)), at(5));
    send_summary(&mut peer, 2, &mut host, at(10));
    assert!(host.catalog_read_in(at(10)).is_zero());
}

#[test]
fn one_host_reads_on_behalf_of_all_and_the_next_takes_over() {
    let mut hosts: Vec<Gateway> = (1..=4).map(gateway).collect();
    for from in 0..hosts.len() {
        let summary = hosts[from].peer_summary(at(10));
        for (to, host) in hosts.iter_mut().enumerate() {
            if to != from {
                let received =
                    ReceivedSummary { from: address(from as u8), summary: summary.clone() };
                host.apply_summary(at(10), received);
            }
        }
    }
    let waits: Vec<_> = hosts.iter().map(|host| host.catalog_read_in(at(10))).collect();
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
    // A change must be in force within two seconds, whichever host reads it.
    assert!(waits.iter().all(|wait| *wait < ms(1_900)), "{waits:?}");
    // A host without live peers reads for itself.
    assert!(hosts[3].catalog_read_in(at(3_000)).is_zero());
}

struct NoCatalog {
    has_first_peer: bool,
    peer_has_one: bool,
    least: u64,
    most: u64,
}

#[test_case(NoCatalog { has_first_peer: false, peer_has_one: false, least: 300, most: 500 } ; "the first host polls often")]
#[test_case(NoCatalog { has_first_peer: true, peer_has_one: false, least: 2_000, most: 4_000 } ; "the other hosts poll seldom")]
#[test_case(NoCatalog { has_first_peer: true, peer_has_one: true, least: 0, most: 0 } ; "the other hosts read at once when a peer has a configuration")]
fn a_missing_configuration_is_polled_by_one_host(case: NoCatalog) {
    let mut host = empty_gateway(5);
    assert!(host.catalog_read_in(at(0)).is_zero());
    host.record_no_catalog(at(0));
    if case.has_first_peer {
        let mut peer = if case.peer_has_one { gateway(1) } else { empty_gateway(1) };
        send_summary(&mut peer, 1, &mut host, at(1));
    }
    let wait = host.catalog_read_in(at(1));
    assert!(wait >= ms(case.least) && wait <= ms(case.most), "{wait:?}");
}

struct Bounds {
    config: u64,
    drain: u64,
}

#[test_case(Bounds { config: 2_000, drain: 2_000 } ; "today's bounds")]
#[test_case(Bounds { config: 3_000, drain: 3_000 } ; "bounds of the large deployments")]
#[test_case(Bounds { config: 1_000, drain: 1_500 } ; "tighter bounds")]
fn reading_keeps_within_the_published_bounds(case: Bounds) {
    let mut host = gateway(9);
    let (config, drain) = (ms(case.config), ms(case.drain));
    host.set_bounds(GatewayBounds { config, drain, ..bounds() });
    assert!(host.catalog_read_in(at(0)) < config / 2, "the host that reads on behalf of all");
    assert!(host.watch_wait(at(0)) < drain, "the host that watches on behalf of all");
    send_summary(&mut gateway(1), 1, &mut host, at(0));
    let takes_over = host.catalog_read_in(at(0));
    assert!(takes_over < config.mul_f64(0.85), "the next one takes over in {takes_over:?}");
}

struct Outage {
    /// When the configuration was verified, by a read or by a peer, in milliseconds.
    verified: &'static [u64],
    outages: u64,
}

#[test_case(Outage { verified: &[0, 800, 1_600, 2_400], outages: 0 } ; "the source responds all the time")]
#[test_case(Outage { verified: &[0, 1_650, 2_450], outages: 0 } ; "another host takes over reading")]
#[test_case(Outage { verified: &[0, 800, 4_800, 5_600], outages: 1 } ; "unavailable for four seconds")]
#[test_case(Outage { verified: &[0, 4_000, 4_800, 9_000], outages: 2 } ; "unavailable twice")]
fn the_end_of_an_outage_is_detected(case: Outage) {
    let mut host = gateway(1);
    host.install_catalog(Catalog::new(parts(1)), at(0));
    for verified in case.verified {
        host.verify_catalog(1, at(*verified));
    }
    assert_eq!(host.outages(), case.outages);
}

#[test]
fn the_first_hosts_use_short_watches() {
    let mut hosts: Vec<Gateway> = (1..=4).map(gateway).collect();
    for host in &mut hosts {
        host.install_catalog(Catalog::new(parts(1)), at(0));
    }
    let summaries: Vec<PeerSummary> =
        hosts.iter_mut().map(|host| host.peer_summary(at(1))).collect();
    let last = &mut hosts[3];
    assert_eq!(last.watch_wait(at(2)), ms(1_000), "alone");
    for (position, summary) in summaries.into_iter().take(3).enumerate() {
        last.apply_summary(at(2), ReceivedSummary { from: address(position as u8 + 1), summary });
    }
    assert!(last.watch_wait(at(3)) > ms(5_000), "behind three others");
}

struct Readiness {
    own_age: u64,
    peer_age: Option<u64>,
    is_ready: bool,
}

#[test_case(Readiness { own_age: 100, peer_age: None, is_ready: true } ; "fresh alone")]
#[test_case(Readiness { own_age: 5_000, peer_age: None, is_ready: true } ; "stale without peers")]
#[test_case(Readiness { own_age: 5_000, peer_age: Some(5_000), is_ready: true } ; "all hosts are stale")]
#[test_case(Readiness { own_age: 5_000, peer_age: Some(100), is_ready: false } ; "a peer is fresh")]
fn a_stale_host_is_unready_only_while_a_peer_is_fresh(case: Readiness) {
    let now = 10_000;
    let mut host = empty_gateway(1);
    host.install_catalog(Catalog::new(parts(1)), at(now - case.own_age));
    if let Some(age) = case.peer_age {
        let mut peer = empty_gateway(2);
        peer.install_catalog(Catalog::new(parts(1)), at(now - age));
        send_summary(&mut peer, 2, &mut host, at(now));
    }
    assert_eq!(host.is_ready(at(now)), case.is_ready);
}

/// How long a server stays in use that is missing from the list after an outage.
const RELIST_GRACE: Duration = Duration::from_millis(1_700);

struct Relisted {
    had_outage: bool,
    after: u64,
    is_kept: bool,
}

#[test_case(Relisted { had_outage: false, after: 0, is_kept: false } ; "removed at once without an outage")]
#[test_case(Relisted { had_outage: true, after: 1_000, is_kept: true } ; "kept within the grace period after an outage")]
#[test_case(Relisted { had_outage: true, after: 1_900, is_kept: false } ; "removed when the grace period is over")]
fn a_server_that_expired_during_an_outage_may_be_listed_again(case: Relisted) {
    let mut list = ServerList::default();
    list.apply(ServerChange::Listed(server("p-1", "plain", 1)));
    list.apply(ServerChange::Listed(server("p-2", "plain", 2)));
    list.replace(vec![server("p-2", "plain", 2)], case.had_outage.then_some(RELIST_GRACE), at(0));
    list.drop_missing(at(case.after));
    let is_kept = list.of_service(&ServiceName::new("plain")).len() == 2;
    assert_eq!(is_kept, case.is_kept);
}

#[test]
fn a_second_list_does_not_extend_the_grace_period() {
    let mut list = ServerList::default();
    list.apply(ServerChange::Listed(server("p-1", "plain", 1)));
    list.replace(Vec::new(), Some(RELIST_GRACE), at(0));
    list.replace(Vec::new(), Some(RELIST_GRACE), at(1_500));
    list.drop_missing(at(1_800));
    assert!(list.is_empty());
}

#[test]
fn a_restart_under_the_same_id_is_another_server() {
    let mut list = ServerList::default();
    let first = server("p-1", "plain", 1);
    let second = Server { id: ServerId::new("p-1", 2), ..first.clone() };
    list.apply(ServerChange::Listed(first.clone()));
    list.apply(ServerChange::Listed(second.clone()));
    assert!(!list.contains(&first.id) && list.contains(&second.id));
    assert_eq!(list.len(), 1);
}

#[test]
fn a_server_change_that_only_a_peer_knows_is_reported_as_missed() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    host.record_server_revisions(40, Some(40));
    peer.record_server_revisions(45, Some(45));
    send_summary(&mut peer, 2, &mut host, at(10));
    assert!(host.misses_server_change(at(10)));
    host.record_server_revisions(45, None);
    assert!(!host.misses_server_change(at(10)));
}

#[test]
fn a_reordered_summary_is_ignored() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    let early = peer.peer_summary(at(0));
    peer.install_catalog(Catalog::new(parts(3)), at(0));
    send_summary(&mut peer, 2, &mut host, at(1));
    host.apply_summary(at(2), ReceivedSummary { from: address(2), summary: early });
    assert!(host.catalog_read_in(at(2)).is_zero());
}

#[test]
fn each_summary_acknowledges_its_receiver_and_a_few_list_all_hosts() {
    let mut host = gateway(1);
    for peer in 2..=6 {
        send_summary(&mut gateway(peer), peer as u8, &mut host, at(1));
    }
    let receiver =
        SummaryTarget { address: address(3), role: PeerRole::Member, is_returned: false };
    let summaries: Vec<PeerSummary> =
        (0..40).map(|_| host.peer_summary(at(2)).for_peer(receiver)).collect();
    let acks_receiver =
        |summary: &PeerSummary| summary.known.iter().any(|one| one.address == address(3));
    assert!(summaries.iter().all(acks_receiver));
    assert!(summaries.iter().any(|summary| summary.known.len() == 5));
    assert!(summaries.iter().filter(|summary| summary.known.len() == 1).count() > 30);
}

#[test]
fn expired_peers_make_room_for_new_ones() {
    const MAX_PEERS: u64 = 4_096;
    let mut host = gateway(1);
    let receive_from = |host: &mut Gateway, number: u64, now: Moment| {
        let from = Ipv4Addr::from(0x0a02_0000 + number as u32);
        let summary = gateway(number + 2).peer_summary(now);
        host.apply_summary(now, ReceivedSummary { from, summary });
        from
    };
    for number in 0..MAX_PEERS {
        receive_from(&mut host, number, at(0));
    }
    let later = at(100_000);
    let newcomer = receive_from(&mut host, MAX_PEERS, later);
    assert_eq!(host.peer_addresses(later), [newcomer]);
}

#[test]
fn a_decoded_summary_equals_the_encoded_one_and_is_no_younger() {
    let mut peer = gateway(3);
    let mut request = peer.admit(at(0), &facts("/stream/x")).unwrap();
    assert!(matches!(peer.place(at(0), &mut request), GatewayPlacement::Send(_)));
    let mut host = gateway(4);
    send_summary(&mut host, 4, &mut peer, at(1));
    let summary = peer.peer_summary(at(3));
    let decoded = decode_summary(&encode_summary(&summary).unwrap()).unwrap();
    assert!(decoded.age >= summary.age);
    assert_eq!(decoded.known, summary.known);
    assert_eq!(decoded.loads.len(), 1);
    assert_eq!(decoded.loads[0].1.running, summary.loads[0].1.running);
}
