//! What the gateway believes of the configuration and the servers, and whose word it takes.

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

/// Two hosts that heard each other at `heard`; the second has version `version` of the
/// configuration, verified at `verified`.
struct Vouching {
    version: u64,
    verified: u64,
    heard: u64,
    told: u64,
    usable_at: u64,
    is_usable: bool,
}

const VOUCHED: Vouching = Vouching {
    version: 1,
    verified: 4_000,
    heard: 4_100,
    told: 4_150,
    usable_at: 6_000,
    is_usable: true,
};

#[test_case(VOUCHED ; "a peer vouches for the version in force")]
#[test_case(Vouching { version: 2, is_usable: false, ..VOUCHED } ; "not for another version")]
#[test_case(Vouching { usable_at: 8_300, is_usable: false, ..VOUCHED } ; "not for longer than its own reading counts")]
#[test_case(Vouching { heard: 100, told: 7_000, verified: 6_990, usable_at: 7_000, is_usable: false, ..VOUCHED } ; "a message that waited is as old as the last echo")]
fn peers_vouch_no_younger_than_they_read(case: Vouching) {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    host.set_seeds(address(1), vec![address(2)]);
    peer.set_seeds(address(2), vec![address(1)]);
    tell(&mut host, 1, &mut peer, at(case.heard));
    peer.install_catalog(Catalog::new(parts(case.version)), at(case.verified));
    tell(&mut peer, 2, &mut host, at(case.told));
    let is_usable = host.admit(at(case.usable_at), &facts("/often/x")).is_ok();
    assert_eq!(is_usable, case.is_usable);
}

#[test]
fn a_peer_that_never_heard_this_start_vouches_for_nothing() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    host.set_seeds(address(1), vec![address(2)]);
    peer.verify_catalog(1, at(4_000));
    tell(&mut peer, 2, &mut host, at(4_100));
    assert!(host.admit(at(4_600), &facts("/often/x")).is_err());
}

#[test]
fn a_newer_version_at_a_peer_is_read_at_once() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    assert!(!host.catalog_read_in(at(10)).is_zero());
    peer.install_catalog(Catalog::new(parts(2)), at(5));
    tell(&mut peer, 2, &mut host, at(10));
    assert!(host.catalog_read_in(at(10)).is_zero());
}

#[test]
fn one_host_reads_for_all_and_the_next_takes_over() {
    let mut hosts: Vec<Gateway> = (1..=4).map(gateway).collect();
    for from in 0..hosts.len() {
        let summary = hosts[from].peer_summary(at(10));
        for (to, host) in hosts.iter_mut().enumerate() {
            if to != from {
                let heard = ReceivedSummary { from: address(from as u8), summary: summary.clone() };
                host.apply_summary(at(10), heard);
            }
        }
    }
    let waits: Vec<_> = hosts.iter().map(|host| host.catalog_read_in(at(10))).collect();
    assert!(waits.windows(2).all(|pair| pair[0] < pair[1]), "{waits:?}");
    // A change must be in force two seconds after it, whoever reads.
    assert!(waits.iter().all(|wait| *wait < ms(1_900)), "{waits:?}");
    // A host that hears nobody reads for itself.
    assert!(hosts[3].catalog_read_in(at(3_000)).is_zero());
}

struct NoCatalog {
    has_first_peer: bool,
    peer_has_one: bool,
    least: u64,
    most: u64,
}

#[test_case(NoCatalog { has_first_peer: false, peer_has_one: false, least: 300, most: 500 } ; "the first host asks often")]
#[test_case(NoCatalog { has_first_peer: true, peer_has_one: false, least: 2_000, most: 4_000 } ; "the others rely on it")]
#[test_case(NoCatalog { has_first_peer: true, peer_has_one: true, least: 0, most: 0 } ; "and read at once when it has one")]
fn a_configuration_that_is_not_written_yet_is_asked_for_by_one_host(case: NoCatalog) {
    let mut host = empty_gateway(5);
    assert!(host.catalog_read_in(at(0)).is_zero());
    host.record_no_catalog(at(0));
    if case.has_first_peer {
        let mut peer = if case.peer_has_one { gateway(1) } else { empty_gateway(1) };
        tell(&mut peer, 1, &mut host, at(1));
    }
    let wait = host.catalog_read_in(at(1));
    assert!(wait >= ms(case.least) && wait <= ms(case.most), "{wait:?}");
}

struct Bounds {
    config: u64,
    drain: u64,
}

#[test_case(Bounds { config: 2_000, drain: 2_000 } ; "today's bounds")]
#[test_case(Bounds { config: 3_000, drain: 3_000 } ; "the grown deployments' bounds")]
#[test_case(Bounds { config: 1_000, drain: 1_500 } ; "tighter bounds")]
fn reading_keeps_within_the_published_bounds(case: Bounds) {
    let mut host = gateway(9);
    let (config, drain) = (ms(case.config), ms(case.drain));
    host.set_bounds(GatewayBounds { config, drain, ..bounds() });
    assert!(host.catalog_read_in(at(0)) < config / 2, "the host that reads for all");
    assert!(host.watch_wait(at(0)) < drain, "the host that watches for all");
    tell(&mut gateway(1), 1, &mut host, at(0));
    let takes_over = host.catalog_read_in(at(0));
    assert!(takes_over < config.mul_f64(0.85), "the next one takes over in {takes_over:?}");
}

struct Outage {
    /// The times, in milliseconds, at which reads or a peer's word showed the configuration newest.
    verified: &'static [u64],
    outages: u64,
}

#[test_case(Outage { verified: &[0, 800, 1_600, 2_400], outages: 0 } ; "the source answers all the time")]
#[test_case(Outage { verified: &[0, 1_650, 2_450], outages: 0 } ; "another host takes over reading")]
#[test_case(Outage { verified: &[0, 800, 4_800, 5_600], outages: 1 } ; "away for four seconds")]
#[test_case(Outage { verified: &[0, 4_000, 4_800, 9_000], outages: 2 } ; "away twice")]
fn the_end_of_an_outage_is_noticed(case: Outage) {
    let mut host = gateway(1);
    host.install_catalog(Catalog::new(parts(1)), at(0));
    for verified in case.verified {
        host.verify_catalog(1, at(*verified));
    }
    assert_eq!(host.outages(), case.outages);
}

#[test]
fn the_first_hosts_notice_a_silent_watch_soon() {
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
#[test_case(Readiness { own_age: 5_000, peer_age: Some(5_000), is_ready: true } ; "all are stale alike")]
#[test_case(Readiness { own_age: 5_000, peer_age: Some(100), is_ready: false } ; "a peer is fresh")]
fn a_host_is_unready_only_for_a_cause_of_its_own(case: Readiness) {
    let now = 10_000;
    let mut host = empty_gateway(1);
    host.install_catalog(Catalog::new(parts(1)), at(now - case.own_age));
    if let Some(age) = case.peer_age {
        let mut peer = empty_gateway(2);
        peer.install_catalog(Catalog::new(parts(1)), at(now - age));
        tell(&mut peer, 2, &mut host, at(now));
    }
    assert_eq!(host.is_ready(at(now)), case.is_ready);
}

/// How long a server that lapsed may stay in use.
const RELIST: Duration = Duration::from_millis(1_700);

struct Relisted {
    had_outage: bool,
    after: u64,
    is_kept: bool,
}

#[test_case(Relisted { had_outage: false, after: 0, is_kept: false } ; "gone without an outage")]
#[test_case(Relisted { had_outage: true, after: 1_000, is_kept: true } ; "kept for a while after an outage")]
#[test_case(Relisted { had_outage: true, after: 1_900, is_kept: false } ; "gone if it does not come back")]
fn a_server_that_lapsed_during_an_outage_has_time_to_come_back(case: Relisted) {
    let mut list = ServerList::default();
    list.apply(ServerChange::Listed(server("p-1", "plain", 1)));
    list.apply(ServerChange::Listed(server("p-2", "plain", 2)));
    list.replace(vec![server("p-2", "plain", 2)], case.had_outage.then_some(RELIST), at(0));
    list.drop_missing(at(case.after));
    let is_kept = list.of_service(&ServiceName::new("plain")).len() == 2;
    assert_eq!(is_kept, case.is_kept);
}

#[test]
fn a_second_list_does_not_give_missing_servers_more_time() {
    let mut list = ServerList::default();
    list.apply(ServerChange::Listed(server("p-1", "plain", 1)));
    list.replace(Vec::new(), Some(RELIST), at(0));
    list.replace(Vec::new(), Some(RELIST), at(1_500));
    list.drop_missing(at(1_800));
    assert!(list.is_empty());
}

#[test]
fn a_restart_under_the_same_id_is_another_server() {
    let mut list = ServerList::default();
    let first = server("p-1", "plain", 1);
    let second = Server { id: ServerId { id: "p-1".into(), born: 2 }, ..first.clone() };
    list.apply(ServerChange::Listed(first.clone()));
    list.apply(ServerChange::Listed(second.clone()));
    assert!(!list.contains(&first.id) && list.contains(&second.id));
    assert_eq!(list.len(), 1);
}

#[test]
fn a_change_that_only_a_peer_knows_of_is_missed() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    host.record_server_revisions(40, Some(40));
    peer.record_server_revisions(45, Some(45));
    tell(&mut peer, 2, &mut host, at(10));
    assert!(host.misses_server_change(at(10)));
    host.record_server_revisions(45, None);
    assert!(!host.misses_server_change(at(10)));
}

#[test]
fn an_overtaken_message_changes_nothing() {
    let mut host = gateway(1);
    let mut peer = gateway(2);
    let early = peer.peer_summary(at(0));
    peer.install_catalog(Catalog::new(parts(3)), at(0));
    tell(&mut peer, 2, &mut host, at(1));
    host.apply_summary(at(2), ReceivedSummary { from: address(2), summary: early });
    assert!(host.catalog_read_in(at(2)).is_zero());
}

#[test]
fn a_peer_hears_its_own_echo_each_time_and_of_all_hosts_now_and_then() {
    let mut host = gateway(1);
    for peer in 2..=6 {
        tell(&mut gateway(peer), peer as u8, &mut host, at(1));
    }
    let summaries: Vec<PeerSummary> =
        (0..40).map(|_| host.peer_summary(at(2)).for_peer(address(3))).collect();
    let echoes = |summary: &PeerSummary| summary.known.iter().any(|one| one.address == address(3));
    assert!(summaries.iter().all(echoes));
    assert!(summaries.iter().any(|summary| summary.known.len() == 5));
    assert!(summaries.iter().filter(|summary| summary.known.len() == 1).count() > 30);
}

#[test]
fn hosts_that_are_long_gone_make_room_for_new_ones() {
    const MOST: u64 = 1_000;
    let mut host = gateway(1);
    let hear = |host: &mut Gateway, number: u64, now: Moment| {
        let from = Ipv4Addr::from(0x0a02_0000 + number as u32);
        let summary = gateway(number + 2).peer_summary(now);
        host.apply_summary(now, ReceivedSummary { from, summary });
        from
    };
    for number in 0..MOST {
        hear(&mut host, number, at(0));
    }
    let later = at(100_000);
    let newcomer = hear(&mut host, MOST, later);
    assert_eq!(host.peer_addresses(later), [newcomer]);
}

#[test]
fn summaries_come_back_as_they_were_but_no_younger() {
    let mut peer = gateway(3);
    let mut ask = peer.admit(at(0), &facts("/stream/x")).unwrap();
    assert!(matches!(peer.place(at(0), &mut ask), GatewayPlacement::Send(_)));
    let mut host = gateway(4);
    tell(&mut host, 4, &mut peer, at(1));
    let summary = peer.peer_summary(at(3));
    let decoded = decode_summary(&encode_summary(&summary).unwrap()).unwrap();
    assert!(decoded.age >= summary.age);
    assert_eq!(decoded.known, summary.known);
    assert_eq!(decoded.loads.len(), 1);
    assert_eq!(decoded.loads[0].1.running, summary.loads[0].1.running);
}
