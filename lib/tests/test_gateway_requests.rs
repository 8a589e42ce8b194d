//! Admission, refusals and retries: a request that must run at most once is never sent twice.

mod gateways;

use gateways::*;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

struct Admission {
    path: &'static str,
    host: &'static str,
    key: Option<&'static str>,
    now: u64,
    reason: Option<RefusalReason>,
}

const ADMITTED: Admission =
    Admission { path: "/often/x", host: HOST, key: Some(KEY), now: 100, reason: None };

#[test_case(ADMITTED ; "a known route and key are admitted")]
#[test_case(Admission { host: "CALLS.example", ..ADMITTED } ; "host names are compared without case")]
#[test_case(Admission { host: "other.example", reason: Some(RefusalReason::NoRoute), ..ADMITTED } ; "another host has no route")]
#[test_case(Admission { path: "/oftenx", reason: Some(RefusalReason::NoRoute), ..ADMITTED } ; "a prefix must match up to its slash")]
#[test_case(Admission { key: Some("gone"), reason: Some(RefusalReason::UnknownKey), ..ADMITTED } ; "an unknown key is refused")]
#[test_case(Admission { key: None, reason: Some(RefusalReason::UnknownKey), ..ADMITTED } ; "a missing key is refused")]
#[test_case(Admission { now: 4_300, reason: Some(RefusalReason::StaleConfiguration), ..ADMITTED } ; "a stale configuration admits nothing")]
#[test_case(Admission { key: Some("gone"), now: 4_300, reason: Some(RefusalReason::StaleConfiguration), ..ADMITTED } ; "a stale configuration does not check the key")]
fn requests_are_admitted_by_a_fresh_configuration(case: Admission) {
    let mut gateway = gateway(1);
    let mut head = facts(case.path);
    head.host = case.host.to_owned();
    head.key = case.key.map(str::to_owned);
    let admitted = gateway.admit(at(case.now), &head);
    assert_eq!(admitted.err().map(|refusal| refusal.reason), case.reason);
}

#[test]
fn a_host_without_a_configuration_states_a_retry_delay() {
    let refusal = empty_gateway(1).admit(at(0), &facts("/often/x")).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::NoConfiguration);
    assert_eq!(refusal.reason.status(), 503);
    assert!(refusal.retry_after.is_some());
}

// Guards against a request that runs at a service which has no share of its route.
#[test]
fn a_route_whose_services_have_no_share_sends_nothing() {
    let mut gateway = empty_gateway(1);
    let mut parts = parts(1);
    for backend in parts.routes.iter_mut().flat_map(|route| &mut route.backends) {
        backend.weight = 0;
    }
    gateway.install_catalog(Catalog::new(parts), at(0));
    gateway.apply_server(ServerChange::Listed(server("p-1", "plain", 3)));
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let placement = gateway.place(at(0), &mut request);
    let GatewayPlacement::Refuse(refusal) = placement else { panic!("{placement:?}") };
    assert_eq!(refusal.reason, RefusalReason::NoServer);
}

#[test]
fn the_longest_prefix_determines_the_service() {
    let mut gateway = gateway(1);
    let request = gateway.admit(at(0), &facts("/often/more/x")).unwrap();
    assert_eq!(request.service.as_str(), "other");
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

#[test_case(Sent { path: "/once/x", result: SendResult::Lost, step: refused(RefusalReason::AnswerLost) } ; "a lost non-idempotent request has an unknown result")]
#[test_case(Sent { path: "/once/x", result: SendResult::TimedOut, step: refused(RefusalReason::ServerTimeout) } ; "a timed-out non-idempotent request has an unknown result")]
#[test_case(Sent { path: "/once/x", result: SendResult::Failed, step: NextStep::RelayFailure } ; "the error response to a non-idempotent request is relayed")]
#[test_case(Sent { path: "/often/x", result: SendResult::Lost, step: NextStep::PlaceAgain } ; "a lost idempotent request is retried")]
#[test_case(Sent { path: "/often/x", result: SendResult::Failed, step: NextStep::PlaceAgain } ; "a failed idempotent request is retried")]
#[test_case(Sent { path: "/often/x", result: declined(), step: NextStep::PlaceAgain } ; "a declined idempotent request is retried")]
#[test_case(Sent { path: "/stream/x", result: SendResult::Cut, step: NextStep::PlaceAgain } ; "a resumable stream is resumed")]
#[test_case(Sent { path: "/once/x", result: SendResult::Cut, step: NextStep::CutAnswer } ; "a non-idempotent response that broke off stays cut")]
fn only_retryable_requests_are_retried(case: Sent) {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts(case.path)).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else { panic!() };
    gateway.record_sent(&mut request);
    let step = gateway.after_send(at(10), &mut request, &dispatch, &case.result);
    assert_eq!(step, case.step);
}

#[test]
fn a_declined_non_idempotent_request_is_refused_as_not_run() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/once/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else { panic!() };
    gateway.record_sent(&mut request);
    let NextStep::Refuse(refusal) = gateway.after_send(at(5), &mut request, &dispatch, &declined())
    else {
        panic!()
    };
    assert_eq!((refusal.reason.status(), refusal.retry_after.is_some()), (503, true));
}

#[test]
fn a_decline_after_a_lost_send_does_not_promise_that_nothing_ran() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    for result in [SendResult::Lost, declined()] {
        let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else { panic!() };
        gateway.record_sent(&mut request);
        let step = gateway.after_send(at(5), &mut request, &dispatch, &result);
        if result != SendResult::Lost {
            let NextStep::Refuse(refusal) = step else { panic!("{step:?}") };
            let cause = Some(RefusalReason::Declined);
            assert_eq!(
                refusal,
                GatewayRefusal { cause, ..GatewayRefusal::new(RefusalReason::AnswerLost) }
            );
        }
    }
}

#[test]
fn a_retry_goes_to_another_server() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(first) = gateway.place(at(0), &mut request) else { panic!() };
    gateway.record_sent(&mut request);
    gateway.after_send(at(5), &mut request, &first, &SendResult::Lost);
    let GatewayPlacement::Send(second) = gateway.place(at(5), &mut request) else { panic!() };
    assert_ne!(first.server.id, second.server.id);
}

#[test]
fn time_spent_waiting_reduces_the_time_left() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(300), &mut request) else { panic!() };
    assert!(dispatch.time_left <= ms(500));
}

#[test]
fn a_request_that_waited_too_long_is_refused_before_it_is_sent() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Refuse(refusal) = gateway.place(at(790), &mut request) else { panic!() };
    assert_eq!(refusal.reason, RefusalReason::WaitedTooLong);
}

#[test]
fn draining_and_removed_servers_receive_no_requests() {
    let mut gateway = gateway(1);
    let draining = Server { draining: true, ..server("p-1", "plain", 3) };
    gateway.apply_server(ServerChange::Listed(draining));
    gateway.apply_server(ServerChange::Removed("p-2".to_owned()));
    let mut request = gateway.admit(at(0), &facts("/once/x")).unwrap();
    let GatewayPlacement::Refuse(refusal) = gateway.place(at(0), &mut request) else { panic!() };
    assert_eq!(refusal.reason, RefusalReason::NoServer);
}

struct Stopping {
    path: &'static str,
    after: u64,
    is_accepted: bool,
}

#[test_case(Stopping { path: "/stream/x", after: 2_000, is_accepted: true } ; "a stream soon after the signal")]
#[test_case(Stopping { path: "/stream/x", after: 3_400, is_accepted: false } ; "a stream that would be cut off")]
#[test_case(Stopping { path: "/often/x", after: 3_400, is_accepted: true } ; "a short request later")]
#[test_case(Stopping { path: "/often/x", after: 7_200, is_accepted: false } ; "a short request that would be cut off")]
fn a_stopping_host_accepts_what_it_can_finish(case: Stopping) {
    let mut gateway = gateway(1);
    gateway.begin_stop(at(0), ms(8_000));
    gateway.verify_catalog(1, at(case.after));
    assert!(!gateway.is_ready(at(case.after)));
    let admitted = gateway.admit(at(case.after), &facts(case.path));
    assert_eq!(admitted.is_ok(), case.is_accepted);
}

struct RetrySpending {
    hosts: u64,
    /// The number of host starts in one window; a restarted host forgets the retries that it spent.
    starts: u64,
    requests: u64,
    slack: f64,
}

#[test_case(RetrySpending { hosts: 6, starts: 12, requests: 200, slack: 104.0 } ; "six hosts that all restart")]
#[test_case(RetrySpending { hosts: 6, starts: 12, requests: 5, slack: 104.0 } ; "six hosts with few requests")]
#[test_case(RetrySpending { hosts: 30, starts: 40, requests: 30, slack: 226.0 } ; "thirty hosts, a third of which restart")]
fn the_retries_of_all_hosts_stay_within_the_shared_budget(case: RetrySpending) {
    let mut retries = 0;
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
            let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
            let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else {
                panic!()
            };
            gateway.record_sent(&mut request);
            let step = gateway.after_send(at(0), &mut request, &dispatch, &SendResult::Lost);
            retries += u64::from(step == NextStep::PlaceAgain);
            gateway.finish(at(0), &dispatch);
        }
    }
    let requests = case.starts * case.requests;
    assert!(retries > 0);
    assert!(retries as f64 <= 0.2 * requests as f64 + case.slack, "{retries} of {requests}");
}

/// Returns how many retries `gateway` grants.
fn count_retries(gateway: &mut Gateway) -> usize {
    let now = at(420);
    let fails = |_: &usize| {
        let mut request = gateway.admit(now, &facts("/often/x")).unwrap();
        let GatewayPlacement::Send(dispatch) = gateway.place(now, &mut request) else { panic!() };
        gateway.record_sent(&mut request);
        let step = gateway.after_send(now, &mut request, &dispatch, &SendResult::Lost);
        gateway.finish(now, &dispatch);
        step == NextStep::PlaceAgain
    };
    (0..200).take_while(fails).count()
}

struct SuccessorSends {
    result: SendResult,
    begins: bool,
}

// Guards against a retry budget that is spent on sends that did not happen.
#[test_case(SuccessorSends { result: SendResult::NoMemory, begins: false } ; "no memory")]
#[test_case(SuccessorSends { result: SendResult::Unreached, begins: true } ; "closed before it was sent")]
fn a_successor_that_was_never_sent_takes_no_retry_and_no_attempt(case: SuccessorSends) {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(first) = gateway.place(at(0), &mut request) else { panic!() };
    assert!(gateway.begin_send(at(0), &mut request, &first));
    let now = at(400);
    let GatewayPlacement::Send(next) = gateway.place_successor(now, &mut request) else { panic!() };
    if case.begins {
        assert!(gateway.begin_send(now, &mut request, &next));
        gateway.cancel_send(&mut request, &next);
    }
    gateway.finish(now, &next);
    gateway.record_result(now, &mut request, &next, &case.result);
    assert_eq!(request.sends, 1);
    gateway.admit(at(0), &facts("/often/x")).unwrap();
    let mut unused = crate::gateways::gateway(1);
    for _ in 0..2 {
        unused.admit(at(0), &facts("/often/x")).unwrap();
    }
    assert_eq!(count_retries(&mut gateway), count_retries(&mut unused));
}

// Guards against more sends than the route allows when two servers have the request.
#[test]
fn no_send_begins_beyond_the_attempts_of_the_route() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let GatewayPlacement::Send(dispatch) = gateway.place(at(0), &mut request) else { panic!() };
    let attempts = request.route.attempts;
    let begun = (0..5).filter(|_| gateway.begin_send(at(0), &mut request, &dispatch)).count();
    assert_eq!(begun, attempts as usize);
}
