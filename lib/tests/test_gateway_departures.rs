//! Servers that stated that they are leaving get nothing more, whatever the published list says.

mod gateways;

use gateways::*;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

fn leave(gateway: &mut Gateway, id: &str) {
    gateway.record_leaving(&server(id, "plain", 3).id);
}

fn placement(gateway: &mut Gateway, path: &str) -> GatewayPlacement {
    let mut request = gateway.admit(at(0), &facts(path)).unwrap();
    gateway.place(at(0), &mut request)
}

/// Returns the ids of the servers that 24 requests on a route are sent to.
fn chosen(gateway: &mut Gateway, path: &str) -> Vec<String> {
    let mut ids: Vec<String> = (0..24)
        .filter_map(|_| match placement(gateway, path) {
            GatewayPlacement::Send(dispatch) => Some(dispatch.server.id.id().to_owned()),
            _ => None,
        })
        .collect();
    ids.sort_unstable();
    ids.dedup();
    ids
}

fn plain_servers() -> Vec<Server> {
    vec![server("p-1", "plain", 3), server("p-2", "plain", 4)]
}

/// What happens to the list of servers after p-1 stated that it is leaving.
struct ListChange {
    change: fn(&mut Gateway),
    is_used: bool,
}

fn plain_list() -> Vec<ListedServer> {
    let entry = |server| ListedServer { server, revision: 8 };
    plain_servers().into_iter().map(entry).collect()
}

fn relist(gateway: &mut Gateway) {
    gateway.apply_server(ServerChange::Listed(server("p-1", "plain", 3)));
}

fn restart(gateway: &mut Gateway) {
    let mut started = server("p-1", "plain", 3);
    started.id = ServerId::new(started.id.id(), 2);
    gateway.apply_server(ServerChange::Listed(started));
}

// Guards against DRAIN: an entry that still said `ready` ended the mark of a server that left.
#[test_case(ListChange { change: |_| {}, is_used: false } ; "nothing")]
#[test_case(ListChange { change: relist, is_used: false } ; "listed again as ready")]
#[test_case(ListChange { change: |gateway| { gateway.apply_server(ServerChange::Removed("p-1".to_owned())); relist(gateway) }, is_used: false } ; "removed and listed again as ready")]
#[test_case(ListChange { change: |gateway| gateway.replace_servers(plain_list(), 9, true, at(9_000)), is_used: false } ; "all listed again after an outage")]
#[test_case(ListChange { change: |gateway| { gateway.replace_servers(vec![], 9, false, at(1)); gateway.replace_servers(plain_list(), 10, false, at(2)) }, is_used: false } ; "an empty list and then all again")]
#[test_case(ListChange { change: restart, is_used: true } ; "another start of it")]
#[test_case(ListChange { change: |gateway| { restart(gateway); relist(gateway) }, is_used: false } ; "an old list after another start")]
fn only_a_new_start_of_a_server_ends_its_leaving(case: ListChange) {
    let mut gateway = gateway(1);
    leave(&mut gateway, "p-1");
    (case.change)(&mut gateway);
    let chosen = chosen(&mut gateway, "/often/x");
    assert_eq!(chosen.contains(&"p-1".to_owned()), case.is_used, "{chosen:?}");
    assert!(chosen.contains(&"p-2".to_owned()), "{chosen:?}");
}

#[test_case("/stream/x", &["e-1", "e-2"] ; "engines")]
#[test_case("/often/x", &["p-1", "p-2"] ; "plain servers")]
fn requests_are_refused_at_once_when_all_servers_leave(path: &str, ids: &[&str]) {
    let mut gateway = gateway(1);
    for id in ids {
        leave(&mut gateway, id);
    }
    let GatewayPlacement::Refuse(refusal) = placement(&mut gateway, path) else { panic!() };
    assert_eq!(refusal.reason, RefusalReason::NoServer);
    assert!(refusal.retry_after.is_some());
}

// Guards against a promise that a request has not run which a server may have run.
#[test]
fn a_request_that_may_have_run_is_not_called_not_run_when_all_servers_leave() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else { panic!() };
    gateway.record_sent(&mut request);
    for id in ["p-1", "p-2"] {
        leave(&mut gateway, id);
    }
    let step = gateway.after_send(at(5), &mut request, &dispatch, &SendResult::Lost);
    assert_eq!(step, NextStep::PlaceAgain);
    let GatewayPlacement::Refuse(refusal) = gateway.place(at(5), &mut request) else { panic!() };
    assert_eq!(
        (refusal.reason, refusal.cause),
        (RefusalReason::AnswerLost, Some(RefusalReason::NoServer))
    );
}

#[test]
fn a_request_that_waits_is_refused_when_all_servers_leave() {
    let mut gateway = gateway(1);
    // The short prompts fill all slots of the engines.
    let mut waiting = loop {
        let mut request = gateway.admit(at(0), &facts("/stream/x")).unwrap();
        match gateway.place(at(0), &mut request) {
            GatewayPlacement::Send(_) => {}
            GatewayPlacement::Wait(_) => break request,
            GatewayPlacement::Refuse(refusal) => panic!("{refusal:?}"),
        }
    };
    assert_eq!(gateway.queue_len(), 1);
    for id in ["e-1", "e-2"] {
        leave(&mut gateway, id);
    }
    let placement = gateway.place(at(20), &mut waiting);
    assert!(matches!(placement, GatewayPlacement::Refuse(_)), "{placement:?}");
    assert_eq!(gateway.queue_len(), 0);
}

#[test]
fn a_silent_servers_request_gets_no_successor_that_leaves() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else { panic!() };
    gateway.record_sent(&mut request);
    let other = if dispatch.server.id.id() == "p-1" { "p-2" } else { "p-1" };
    leave(&mut gateway, other);
    let placement = gateway.place_successor(at(400), &mut request);
    assert!(matches!(placement, GatewayPlacement::Refuse(_)), "{placement:?}");
}

// Guards against a request that runs out of attempts while nothing of it was sent.
#[test]
fn a_send_given_up_for_a_leaving_server_counts_no_attempt() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/once/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else { panic!() };
    gateway.record_leaving(&dispatch.server.id);
    let step = gateway.after_send(at(5), &mut request, &dispatch, &SendResult::Leaving);
    assert_eq!(step, NextStep::PlaceAgain);
    assert_eq!((request.sends, request.unsent_attempts, request.may_have_run()), (0, 0, false));
    let GatewayPlacement::Send(next) = gateway.place(at(5), &mut request) else { panic!() };
    assert_ne!(next.server.id, dispatch.server.id);
}

#[test]
fn the_first_engine_of_a_group_stays_in_use_when_a_helper_leaves() {
    let mut gateway = gateway(1);
    let mut head = facts("/stream/x");
    head.size = Some(PromptSize { prompt: 200_000, max_output: 100 });
    let mut request = gateway.admit(at(0), &head).unwrap();
    let placement = gateway.place(at(0), &mut request);
    let GatewayPlacement::Send(dispatch) = placement else { panic!("{placement:?}") };
    gateway.record_leaving(&dispatch.helpers[0].server.id);
    gateway.after_send(at(5), &mut request, &dispatch, &SendResult::Leaving);
    assert!(request.tried.is_empty(), "{:?}", request.tried);
}

// Guards against marks that take up more memory with each server that ever left.
#[test]
fn marks_of_servers_that_are_no_longer_listed_are_bounded() {
    let mut gateway = gateway(1);
    let id = |number: u64| ServerId::new("p-9", number);
    leave(&mut gateway, "p-1");
    for number in 0..3_000 {
        assert!(gateway.record_leaving(&id(number)));
    }
    assert!(gateway.record_leaving(&id(0)), "the oldest mark is dropped");
    assert!(!gateway.record_leaving(&id(2_999)), "the newest mark is kept");
    assert!(!gateway.record_leaving(&server("p-1", "plain", 3).id), "a listed server's is kept");
}
