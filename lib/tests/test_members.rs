//! Liveness of peers, choice of dispatchers and target health when the views of hosts differ.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

const SECOND: u64 = 1_000_000;
const SUSPECT: Duration = Duration::from_millis(1_500);

fn host(at: usize) -> HostName {
    HostName::new(format!("h{at}"))
}

fn addr(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// Five entry hosts in three zones and twelve engines.
fn list(version: u64, leaving: Option<u16>) -> LiveList {
    let zone = |at: usize| ZoneName::new(format!("z{}", at % 3));
    let entry = |at| EntryHost { name: host(at), zone: zone(at), peer_addr: addr(1) };
    let engine = |port: u16| Engine {
        name: EngineName::new(format!("e{port}")),
        zone: zone(port.into()),
        addr: addr(port),
        memory: 1,
        fenced: true,
        state: if leaving == Some(port) { TargetState::Leaving } else { TargetState::Live },
    };
    let entry_hosts = (0..5).map(entry).collect();
    LiveList { version, entry_hosts, engines: (0..12).map(engine).collect(), ..LiveList::default() }
}

fn members(at: usize) -> Members {
    let mut members =
        Members::new(host(at), ZoneName::new(format!("z{}", at % 3)), SUSPECT, Moment(0));
    members.set_hosts(Moment(0), &list(1, None));
    members
}

fn heartbeat(members: &mut Members, now: u64, from: usize, incarnation: u64, heartbeat: Heartbeat) {
    let incarnation = Incarnation(incarnation);
    members.on_heartbeat(Moment(now), &host(from), incarnation, &heartbeat);
    members.on_tick(Moment(now));
}

/// The peers that are still alive after a silence of the others, and the expected view.
struct Partition {
    alive: &'static [usize],
    isolated: bool,
    silent_owner: OwnerState,
}

#[test_case(Partition { alive: &[1, 2, 3], isolated: false, silent_owner: OwnerState::Dead }; "one dies")]
#[test_case(Partition { alive: &[1, 2], isolated: false, silent_owner: OwnerState::Dead }; "two die")]
#[test_case(Partition { alive: &[1], isolated: true, silent_owner: OwnerState::Unknown }; "most are gone")]
#[test_case(Partition { alive: &[], isolated: true, silent_owner: OwnerState::Unknown }; "all are gone")]
fn an_isolated_host_considers_no_peer_dead(case: Partition) {
    let mut members = members(0);
    (1..5).for_each(|at| heartbeat(&mut members, SECOND, at, at as u64, Heartbeat::default()));
    for &at in case.alive {
        heartbeat(
            &mut members,
            9 * SECOND,
            at,
            at as u64,
            Heartbeat { beat: 1, ..Heartbeat::default() },
        );
    }
    members.on_tick(Moment(9 * SECOND));
    assert_eq!(members.is_isolated(), case.isolated);
    assert_eq!(members.owner_state(Moment(9 * SECOND), Incarnation(4)), case.silent_owner);
    assert!(!members.is_alive(&host(4)));
}

#[test]
fn a_new_incarnation_replaces_the_old() {
    let mut members = members(0);
    let old = Heartbeat { beat: 9, shards: vec![1], ..Heartbeat::default() };
    heartbeat(&mut members, SECOND, 1, 11, old.clone());
    heartbeat(&mut members, SECOND, 1, 12, Heartbeat { beat: 1, ..Heartbeat::default() });
    assert_eq!(members.admit_sender(&host(1), Incarnation(11)), SenderStatus::Replaced);
    heartbeat(&mut members, SECOND, 1, 11, Heartbeat { beat: 10, ..old });
    assert_eq!(members.peer(&host(1)).map(|peer| peer.shards.len()), Some(0));
    assert_eq!(members.owner_state(Moment(SECOND), Incarnation(11)), OwnerState::Dead);
    assert_eq!(
        members.admit_sender(&HostName::new("other"), Incarnation(1)),
        SenderStatus::Unlisted
    );
}

#[test]
fn dispatchers_agree_prefer_their_zone_and_move_only_with_their_host() {
    let mut all: Vec<_> = (0..5).map(members).collect();
    for (at, own) in all.iter_mut().enumerate() {
        (0..5)
            .filter(|from| *from != at)
            .for_each(|from| heartbeat(own, SECOND, from, from as u64, Heartbeat::default()));
    }
    let mut before = Vec::new();
    for engine in list(1, None).engines {
        let dispatcher = |own: &Members| own.dispatcher_of(&engine.name, &engine.zone);
        let chosen: BTreeSet<_> = all.iter().map(dispatcher).collect();
        assert_eq!(chosen.len(), 1, "{chosen:?}");
        before.push((engine, chosen.into_iter().next().flatten()));
    }
    // Host 2 is alone in its zone; when it stops, its engines move to hosts of other zones.
    let stopping = Heartbeat { beat: 1, stopping: true, ..Heartbeat::default() };
    heartbeat(&mut all[0], SECOND, 2, 2, stopping);
    for (engine, dispatcher) in before {
        let after = all[0].dispatcher_of(&engine.name, &engine.zone);
        let moved = dispatcher == Some(host(2));
        assert_eq!(engine.zone == ZoneName::new("z2"), moved);
        assert_eq!(after != dispatcher, moved);
    }
}

/// What hosts report of the twelve engines, and the resulting health of engine 3 at host 0.
struct Reports {
    leaving_listed: bool,
    own: Option<Option<TargetState>>,
    by_peer: Option<Option<TargetState>>,
    /// How many other engines the same peer reports as gone.
    also_gone: u16,
    after: u64,
    health: TargetHealth,
}

const NO_REPORTS: Reports = Reports {
    leaving_listed: false,
    own: None,
    by_peer: None,
    also_gone: 0,
    after: 0,
    health: TargetHealth::Live,
};
const LIVE: Option<TargetState> = Some(TargetState::Live);
const LEAVING: Option<TargetState> = Some(TargetState::Leaving);

#[test_case(NO_REPORTS; "nothing seen")]
#[test_case(Reports { leaving_listed: true, health: TargetHealth::Leaving, ..NO_REPORTS }; "listed as leaving")]
#[test_case(Reports { own: Some(LEAVING), health: TargetHealth::Leaving, ..NO_REPORTS }; "list lags")]
#[test_case(Reports { by_peer: Some(LEAVING), health: TargetHealth::Leaving, ..NO_REPORTS }; "leaving seen by one peer")]
#[test_case(Reports { by_peer: Some(LEAVING), own: Some(LIVE), health: TargetHealth::Leaving, ..NO_REPORTS }; "own report lags")]
#[test_case(Reports { by_peer: Some(LEAVING), after: 11, ..NO_REPORTS }; "an unconfirmed report expires")]
#[test_case(Reports { by_peer: Some(None), health: TargetHealth::Gone, ..NO_REPORTS }; "gone seen by one peer")]
#[test_case(Reports { by_peer: Some(None), also_gone: 2, health: TargetHealth::Gone, ..NO_REPORTS }; "a quarter gone")]
#[test_case(Reports { by_peer: Some(None), also_gone: 3, ..NO_REPORTS }; "over a quarter gone")]
#[test_case(Reports { by_peer: Some(None), own: Some(LIVE), ..NO_REPORTS }; "only the peer's connection is cut")]
#[test_case(Reports { own: Some(None), health: TargetHealth::Gone, ..NO_REPORTS }; "own connection is cut")]
fn determines_target_health(case: Reports) {
    let mut targets = Targets::new(host(0));
    targets.set_list(&list(1, case.leaving_listed.then_some(3)));
    let mut peer = Targets::new(host(1));
    peer.set_list(&list(1, None));
    if let Some(state) = case.by_peer {
        (0..case.also_gone)
            .for_each(|more| peer.observe(Moment(0), &addr(4 + more).to_string(), None));
        peer.observe(Moment(0), &addr(3).to_string(), state);
        // A peer that sees too many targets as gone reports none of them; here the reports are sent
        // anyway.
        for port in 3..=3 + case.also_gone {
            let state = if port == 3 { state } else { None };
            let seen = TargetSeen { target: addr(port).to_string(), state, sighting: 9 };
            targets.on_peer_report(Moment(0), &host(1), &seen);
        }
        assert_eq!(peer.reports(Moment(0)).is_empty(), case.also_gone > 2);
    }
    if let Some(state) = case.own {
        targets.observe(Moment(0), &addr(3).to_string(), state);
    }
    let health = targets.health(Moment(case.after * SECOND), &addr(3).to_string());
    assert_eq!(health, case.health);
}

#[test]
fn a_recovered_target_is_reported() {
    let (mut own, mut peer) = (Targets::new(host(0)), Targets::new(host(1)));
    own.set_list(&list(1, None));
    peer.set_list(&list(1, None));
    let name = addr(3).to_string();
    for state in [None, LIVE] {
        peer.observe(Moment(SECOND), &name, state);
        for seen in peer.reports(Moment(SECOND)) {
            own.on_peer_report(Moment(SECOND), &host(1), &seen);
        }
        let expected = if state.is_none() { TargetHealth::Gone } else { TargetHealth::Live };
        assert_eq!(own.health(Moment(SECOND), &name), expected);
        assert_eq!(own.on_tick(Moment(SECOND)).len(), 1);
    }
}
