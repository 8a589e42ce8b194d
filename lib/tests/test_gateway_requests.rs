//! What the gateway answers itself, and what it sends again: never twice what must run once.

mod gateways;

use gateways::*;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

struct Judged {
    path: &'static str,
    host: &'static str,
    key: Option<&'static str>,
    now: u64,
    reason: Option<RefusalReason>,
}

const GOOD: Judged =
    Judged { path: "/often/x", host: HOST, key: Some(KEY), now: 100, reason: None };

#[test_case(GOOD ; "a known route and key are served")]
#[test_case(Judged { host: "CALLS.example", ..GOOD } ; "hosts are told apart without case")]
#[test_case(Judged { host: "other.example", reason: Some(RefusalReason::NoRoute), ..GOOD } ; "another host has no route")]
#[test_case(Judged { path: "/oftenx", reason: Some(RefusalReason::NoRoute), ..GOOD } ; "a prefix ends with its slash")]
#[test_case(Judged { key: Some("gone"), reason: Some(RefusalReason::UnknownKey), ..GOOD } ; "an unknown key is refused")]
#[test_case(Judged { key: None, reason: Some(RefusalReason::UnknownKey), ..GOOD } ; "no key is refused")]
#[test_case(Judged { now: 4_300, reason: Some(RefusalReason::StaleConfiguration), ..GOOD } ; "an old configuration judges nobody")]
#[test_case(Judged { key: Some("gone"), now: 4_300, reason: Some(RefusalReason::StaleConfiguration), ..GOOD } ; "not even an unknown key")]
fn requests_are_judged_by_a_fresh_configuration(case: Judged) {
    let mut gateway = gateway(1);
    let mut asked = facts(case.path);
    asked.host = case.host.to_owned();
    asked.key = case.key.map(str::to_owned);
    let judged = gateway.admit(at(case.now), &asked);
    assert_eq!(judged.err().map(|refusal| refusal.reason), case.reason);
}

#[test]
fn a_start_without_a_configuration_says_when_to_come_back() {
    let refusal = empty_gateway(1).admit(at(0), &facts("/often/x")).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoConfiguration);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
}

#[test]
fn the_longest_prefix_takes_the_request() {
    let mut gateway = gateway(1);
    let ask = gateway.admit(at(0), &facts("/often/more/x")).unwrap();
    assert_eq!(ask.service.as_str(), "other");
}

#[derive(Clone)]
struct Sent {
    path: &'static str,
    result: SendResult,
    step: NextStep,
}

fn declined() -> SendResult {
    SendResult::Declined { at_fault: None, retry_after: None }
}

fn refused(reason: RefusalReason) -> NextStep {
    NextStep::Refuse(GatewayRefusal::new(reason))
}

#[test_case(Sent { path: "/once/x", result: SendResult::Lost, step: refused(RefusalReason::AnswerLost) } ; "once lost is unknown")]
#[test_case(Sent { path: "/once/x", result: SendResult::TimedOut, step: refused(RefusalReason::ServerTimeout) } ; "once timed out is unknown")]
#[test_case(Sent { path: "/once/x", result: SendResult::Failed, step: NextStep::RelayFailure } ; "once failed is passed on")]
#[test_case(Sent { path: "/often/x", result: SendResult::Lost, step: NextStep::PlaceAgain } ; "often lost runs again")]
#[test_case(Sent { path: "/often/x", result: SendResult::Failed, step: NextStep::PlaceAgain } ; "often failed runs again")]
#[test_case(Sent { path: "/often/x", result: declined(), step: NextStep::PlaceAgain } ; "often declined goes on")]
#[test_case(Sent { path: "/stream/x", result: SendResult::Cut, step: NextStep::PlaceAgain } ; "a resumable stream goes on")]
#[test_case(Sent { path: "/once/x", result: SendResult::Cut, step: NextStep::CutAnswer } ; "an answer that broke off stays cut")]
fn only_what_may_be_repeated_is_sent_again(case: Sent) {
    let mut gateway = gateway(1);
    let mut ask = gateway.admit(at(0), &facts(case.path)).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut ask) else { panic!() };
    gateway.record_sent(&mut ask);
    let step = gateway.after_send(at(10), &mut ask, &dispatch, &case.result);
    assert_eq!(step, case.step);
}

#[test]
fn a_request_that_must_run_once_and_was_declined_has_not_run() {
    let mut gateway = gateway(1);
    let mut ask = gateway.admit(at(0), &facts("/once/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut ask) else { panic!() };
    gateway.record_sent(&mut ask);
    let NextStep::Refuse(refusal) = gateway.after_send(at(5), &mut ask, &dispatch, &declined())
    else {
        panic!()
    };
    assert_eq!((refusal.reason.status(), refusal.retry_after.is_some()), (503, true));
}

#[test]
fn a_decline_after_a_lost_send_does_not_say_that_nothing_ran() {
    let mut gateway = gateway(1);
    let mut ask = gateway.admit(at(0), &facts("/often/x")).unwrap();
    for result in [SendResult::Lost, declined()] {
        let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut ask) else { panic!() };
        gateway.record_sent(&mut ask);
        let step = gateway.after_send(at(5), &mut ask, &dispatch, &result);
        if result != SendResult::Lost {
            assert_eq!(step, refused(RefusalReason::AnswerLost));
        }
    }
}

#[test]
fn a_second_send_goes_to_another_server() {
    let mut gateway = gateway(1);
    let mut ask = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(first) = gateway.place(at(0), &mut ask) else { panic!() };
    gateway.record_sent(&mut ask);
    gateway.after_send(at(5), &mut ask, &first, &SendResult::Lost);
    let GatewayPlacement::Send(second) = gateway.place(at(5), &mut ask) else { panic!() };
    assert_ne!(first.server.id, second.server.id);
}

#[test]
fn the_time_left_shrinks_with_each_send() {
    let mut gateway = gateway(1);
    let mut ask = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(300), &mut ask) else { panic!() };
    assert!(dispatch.time_left <= ms(500));
}

#[test]
fn a_request_that_waited_too_long_has_not_run() {
    let mut gateway = gateway(1);
    let mut ask = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Refuse(refusal) = gateway.place(at(790), &mut ask) else { panic!() };
    assert_eq!(refusal.reason, RefusalReason::WaitedTooLong);
}

#[test]
fn servers_that_drain_or_are_gone_get_nothing() {
    let mut gateway = gateway(1);
    let draining = Server { draining: true, ..server("p-1", "plain", 3) };
    gateway.apply_server(ServerChange::Listed(draining));
    gateway.apply_server(ServerChange::Removed("p-2".to_owned()));
    let mut ask = gateway.admit(at(0), &facts("/once/x")).unwrap();
    let GatewayPlacement::Refuse(refusal) = gateway.place(at(0), &mut ask) else { panic!() };
    assert_eq!(refusal.reason, RefusalReason::NoServer);
}

struct Stopping {
    path: &'static str,
    after: u64,
    is_taken: bool,
}

#[test_case(Stopping { path: "/stream/x", after: 2_000, is_taken: true } ; "streams at first")]
#[test_case(Stopping { path: "/stream/x", after: 3_400, is_taken: false } ; "no stream that would be cut")]
#[test_case(Stopping { path: "/often/x", after: 3_400, is_taken: true } ; "short calls for longer")]
#[test_case(Stopping { path: "/often/x", after: 7_200, is_taken: false } ; "no call that would be cut")]
fn a_stopping_host_takes_what_it_can_finish(case: Stopping) {
    let mut gateway = gateway(1);
    gateway.begin_stop(at(0), ms(8_000));
    gateway.verify_catalog(1, at(case.after));
    assert!(!gateway.is_ready(at(case.after)));
    let judged = gateway.admit(at(case.after), &facts(case.path));
    assert_eq!(judged.is_ok(), case.is_taken);
}

struct Spending {
    hosts: u64,
    /// The starts of hosts in one window; a host that starts again forgets what it spent before.
    starts: u64,
    requests: u64,
    slack: f64,
}

#[test_case(Spending { hosts: 6, starts: 12, requests: 200, slack: 104.0 } ; "six hosts that all start again")]
#[test_case(Spending { hosts: 6, starts: 12, requests: 5, slack: 104.0 } ; "six hosts with few requests")]
#[test_case(Spending { hosts: 30, starts: 40, requests: 30, slack: 226.0 } ; "thirty hosts of which a third start again")]
fn repeated_sends_of_all_hosts_stay_within_the_shared_budget(case: Spending) {
    let mut repeats = 0;
    let mut peers: Vec<Gateway> = (0..case.hosts).map(|seed| gateway(1_000 + seed)).collect();
    for seed in 0..case.starts {
        let mut gateway = gateway(seed);
        gateway.set_bounds(GatewayBounds {
            budget: RetryBounds { slack: case.slack, ..bounds().budget },
            ..bounds()
        });
        for (position, peer) in peers.iter_mut().enumerate().skip(1) {
            let from = address(position as u8);
            gateway
                .apply_summary(at(0), ReceivedSummary { from, summary: peer.peer_summary(at(0)) });
        }
        for _ in 0..case.requests {
            let mut ask = gateway.admit(at(0), &facts("/often/x")).unwrap();
            let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut ask) else { panic!() };
            gateway.record_sent(&mut ask);
            let step = gateway.after_send(at(0), &mut ask, &dispatch, &SendResult::Lost);
            repeats += u64::from(step == NextStep::PlaceAgain);
            gateway.finish(at(0), &dispatch);
        }
    }
    let requests = case.starts * case.requests;
    assert!(repeats > 0);
    assert!(repeats as f64 <= 0.2 * requests as f64 + case.slack, "{repeats} of {requests}");
}
