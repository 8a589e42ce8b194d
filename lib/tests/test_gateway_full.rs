//! Engines that decline requests since they hold work that no host knows of, such as that of hosts which
//! were lost.

mod gateways;

use gateways::*;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

const DECLINED: SendResult = SendResult::Declined { at_fault: None, retry_after: None };

/// Places a request and returns the id of its server; `None` if it waits.
fn placed(gateway: &mut Gateway, now: Moment) -> Option<String> {
    let mut request = gateway.admit(now, &facts("/stream/x")).unwrap();
    match gateway.place(now, &mut request) {
        GatewayPlacement::Send(dispatch) => {
            gateway.finish(now, &dispatch);
            Some(dispatch.server.id.id().to_owned())
        }
        GatewayPlacement::Wait(_) => None,
        other => panic!("{other:?}"),
    }
}

/// Lets one engine decline a request at `now`; returns its id.
fn decline(gateway: &mut Gateway, now: Moment) -> String {
    let mut request = gateway.admit(now, &facts("/stream/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(now, &mut request) else {
        panic!("not sent")
    };
    gateway.record_sent(&mut request);
    gateway.finish(now, &dispatch);
    assert_eq!(gateway.after_send(now, &mut request, &dispatch, &DECLINED), NextStep::PlaceAgain);
    dispatch.server.id.id().to_owned()
}

/// When another request comes after one that was declined, in milliseconds.
struct Later {
    after: u64,
    may_choose_it: bool,
}

// Guards against requests that are refused because hosts send them to the same full engines again.
#[test_case(Later { after: 1, may_choose_it: false } ; "at once")]
#[test_case(Later { after: 390, may_choose_it: false } ; "while it counts as full")]
#[test_case(Later { after: 410, may_choose_it: true } ; "later")]
fn an_engine_that_declined_gets_no_request_for_a_while(case: Later) {
    let chosen = |seed: u64| {
        let mut host = gateway(seed);
        let full = decline(&mut host, at(10));
        placed(&mut host, at(10 + case.after)) == Some(full)
    };
    assert_eq!((0..20).any(chosen), case.may_choose_it);
}

#[test]
fn peers_leave_out_an_engine_that_declined() {
    for seed in 0..20 {
        let (mut host, mut peer) = (gateway(seed), gateway(seed + 100));
        let full = decline(&mut host, at(10));
        let summary = host.peer_summary(at(20));
        peer.apply_summary(at(20), ReceivedSummary { from: address(1), summary });
        assert_ne!(placed(&mut peer, at(21)), Some(full));
    }
}

// Guards against callers that are refused although an engine will have a free slot soon.
#[test]
fn a_request_waits_while_all_engines_declined() {
    let mut host = gateway(1);
    let first = decline(&mut host, at(10));
    let second = decline(&mut host, at(11));
    assert_ne!(first, second);
    assert_eq!(placed(&mut host, at(12)), None);
    assert!(placed(&mut host, at(500)).is_some());
}
