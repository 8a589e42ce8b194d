//! Pauses that servers ask for: placement, groups, retries, and when refused callers return.

mod gateways;

use std::time::Duration;

use gateways::*;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

const HOUR_MS: u64 = 3_600_000;

fn id(name: &str) -> ServerId {
    ServerId::new(name, 1)
}

fn pause_all(gateway: &mut Gateway, now: Moment, length: Duration) {
    for name in ["e-1", "e-2", "p-1", "p-2"] {
        gateway.record_pause(now, &id(name), length);
    }
}

fn sent(placement: GatewayPlacement) -> Box<Dispatch> {
    match placement {
        GatewayPlacement::Send(dispatch) => dispatch,
        other => panic!("{other:?}"),
    }
}

fn refused(placement: GatewayPlacement) -> GatewayRefusal {
    match placement {
        GatewayPlacement::Refuse(refusal) => refusal,
        other => panic!("{other:?}"),
    }
}

/// The pauses that one server asked for; all times in milliseconds.
struct Pauses {
    /// When each was asked for, and its length.
    asked: &'static [(u64, u64)],
    last_paused: u64,
    first_open: u64,
}

// Guards against requests to a server before the last of its pauses is over.
#[test_case(Pauses { asked: &[(0, 2_000)], last_paused: 1_999, first_open: 2_200 } ; "one")]
#[test_case(Pauses { asked: &[(0, 2_000), (500, 100)], last_paused: 1_999, first_open: 2_200 } ; "a later one that ends earlier")]
#[test_case(Pauses { asked: &[(0, 2_000), (500, 0)], last_paused: 1_999, first_open: 2_200 } ; "a later one of no length")]
#[test_case(Pauses { asked: &[(0, 1_000), (900, 3_000)], last_paused: 3_899, first_open: 4_100 } ; "a later one that ends later")]
#[test_case(Pauses { asked: &[(0, 3 * HOUR_MS)], last_paused: 3 * HOUR_MS - 1, first_open: 3 * HOUR_MS + 200 } ; "hours")]
#[test_case(Pauses { asked: &[(0, 1_000_000 * HOUR_MS)], last_paused: 23 * HOUR_MS, first_open: 25 * HOUR_MS } ; "years")]
fn a_pause_lasts_until_the_latest_end(case: Pauses) {
    let mut gateway = gateway(1);
    for (now, length) in case.asked {
        gateway.record_pause(at(*now), &id("p-1"), ms(*length));
    }
    assert!(gateway.is_paused(at(case.last_paused), &id("p-1")));
    assert!(!gateway.is_paused(at(case.first_open), &id("p-1")));
}

#[test]
fn a_pause_of_no_length_stops_nothing() {
    let mut gateway = gateway(1);
    gateway.record_pause(at(0), &id("p-1"), Duration::ZERO);
    assert!(!gateway.is_paused(at(0), &id("p-1")));
}

/// A change of the server list during a pause.
struct ListChange {
    born: u64,
    is_sent: bool,
}

#[test_case(ListChange { born: 2, is_sent: true } ; "a restart ends the pause")]
#[test_case(ListChange { born: 1, is_sent: false } ; "the same start that is listed again stays paused")]
fn a_pause_belongs_to_one_start_of_a_server(case: ListChange) {
    let mut gateway = gateway(1);
    pause_all(&mut gateway, at(0), ms(5_000));
    gateway.apply_server(ServerChange::Removed("p-1".to_owned()));
    let listed = server("p-1", "plain", 3);
    let listed = Server { id: ServerId::new(listed.id.id(), case.born), ..listed };
    gateway.apply_server(ServerChange::Listed(listed));
    let mut request = gateway.admit(at(100), &facts("/often/x")).unwrap();
    let placement = gateway.place(at(100), &mut request);
    assert_eq!(matches!(placement, GatewayPlacement::Send(_)), case.is_sent, "{placement:?}");
}

/// The time that a refused caller has, and when it may return.
struct Return {
    pause: u64,
    patience: u64,
    retry_after: std::ops::RangeInclusive<u64>,
}

// Guards against callers that wait for a pause that outlasts them, or return before its end.
#[test_case(Return { pause: 300, patience: 10_000, retry_after: 300..=760 } ; "a short pause")]
#[test_case(Return { pause: 2_000, patience: 10_000, retry_after: 2_000..=2_600 } ; "a pause within the caller's time")]
#[test_case(Return { pause: 2_000, patience: 2_100, retry_after: 2_000..=2_100 } ; "a pause that ends just in time or not")]
#[test_case(Return { pause: 20_000, patience: 10_000, retry_after: 500..=500 } ; "a pause that outlasts the caller")]
#[test_case(Return { pause: HOUR_MS, patience: 10_000, retry_after: 500..=500 } ; "an hour")]
fn a_refused_caller_returns_when_it_can_be_served(case: Return) {
    let mut gateway = gateway(1);
    pause_all(&mut gateway, at(0), ms(case.pause));
    let head = RequestFacts { timeout: Some(ms(case.patience)), ..facts("/often/x") };
    let mut request = gateway.admit(at(0), &head).unwrap();
    let refusal = refused(gateway.place(at(0), &mut request));
    assert_eq!((refusal.reason, refusal.reason.status()), (RefusalReason::ServersPaused, 503));
    let after = refusal.retry_after.unwrap().as_millis() as u64;
    let is_short = after == 500 && case.patience < case.pause + 250;
    assert!(case.retry_after.contains(&after) || is_short, "{after}");
}

// Guards against a Retry-After for the end of the pause of a server that is leaving.
#[test]
fn a_refused_caller_returns_for_a_server_that_stays() {
    let mut gateway = gateway(1);
    pause_all(&mut gateway, at(0), ms(4_000));
    let leaving = server("p-9", "plain", 3);
    gateway.apply_server(ServerChange::Listed(leaving.clone()));
    gateway.record_pause(at(0), &leaving.id, ms(300));
    gateway.record_leaving(&leaving.id);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let refusal = refused(gateway.place(at(0), &mut request));
    assert!(refusal.retry_after.unwrap() >= ms(4_000), "{:?}", refusal.retry_after);
}

#[test_case("/often/x" ; "a plain request")]
#[test_case("/stream/x" ; "a stream")]
fn a_request_that_may_have_run_gets_no_promise_when_all_servers_pause(path: &str) {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts(path)).unwrap();
    let dispatch = sent(gateway.place(at(0), &mut request));
    gateway.record_sent(&mut request);
    let step = gateway.after_send(at(5), &mut request, &dispatch, &SendResult::Lost);
    assert_eq!(step, NextStep::PlaceAgain);
    pause_all(&mut gateway, at(5), ms(2_000));
    let refusal = refused(gateway.place(at(6), &mut request));
    let cause = Some(RefusalReason::ServersPaused);
    assert_eq!(refusal, GatewayRefusal { cause, ..GatewayRefusal::new(RefusalReason::AnswerLost) });
}

#[test]
fn a_silent_servers_request_does_not_go_to_a_paused_one() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/often/x")).unwrap();
    let dispatch = sent(gateway.place(at(0), &mut request));
    gateway.record_sent(&mut request);
    let other = if dispatch.server.id.id() == "p-1" { id("p-2") } else { id("p-1") };
    gateway.record_pause(at(300), &other, ms(2_000));
    gateway.record_silence(at(400), &dispatch);
    let refusal = refused(gateway.place_successor(at(400), &mut request));
    assert_eq!(refusal.reason, RefusalReason::NoServer);
}

// Guards against an attempt that is used up by a server that paused before anything was sent to it.
#[test]
fn a_pause_before_the_send_costs_no_attempt() {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/once/x")).unwrap();
    let first = sent(gateway.place(at(0), &mut request));
    gateway.record_pause(at(1), &first.server.id, ms(2_000));
    assert!(gateway.is_dispatch_paused(at(2), &first));
    let step = gateway.after_send(at(2), &mut request, &first, &SendResult::Paused);
    assert_eq!((step, request.sends, request.unsent_attempts), (NextStep::PlaceAgain, 0, 0));
    let second = sent(gateway.place(at(2), &mut request));
    assert_ne!(second.server.id, first.server.id);
    assert!(!gateway.is_dispatch_paused(at(2), &second));
}

#[test]
fn a_waiting_request_is_refused_as_soon_as_all_servers_pause() {
    let mut gateway = gateway(1);
    let head = RequestFacts {
        size: Some(PromptSize { prompt: 20_000, max_output: 500 }),
        ..facts("/stream/x")
    };
    let mut requests: Vec<GatewayRequest> =
        (0..20).map(|_| gateway.admit(at(0), &head).unwrap()).collect();
    let mut is_waiting = |request: &mut GatewayRequest| {
        matches!(gateway.place(at(0), request), GatewayPlacement::Wait(_))
    };
    let mut waiting = requests.iter_mut().find_map(|one| is_waiting(one).then_some(one));
    let waiting = waiting.as_mut().expect("a request waits for the engines");
    pause_all(&mut gateway, at(10), ms(1_500));
    assert_eq!(refused(gateway.place(at(10), waiting)).reason, RefusalReason::ServersPaused);
    assert_eq!(gateway.queue_len(), 0);
}

/// A prompt for eight engines, some of which are paused.
struct Group {
    prompt: u64,
    paused: usize,
    reason: Option<RefusalReason>,
}

// Guards against paused engines in a group, as the first one or as a helper.
#[test_case(Group { prompt: 5_000, paused: 7, reason: None } ; "a short prompt")]
#[test_case(Group { prompt: 200_000, paused: 4, reason: None } ; "a prompt that is split")]
#[test_case(Group { prompt: 430_000, paused: 2, reason: None } ; "a prompt over one engine's memory")]
#[test_case(Group { prompt: 600_000, paused: 7, reason: Some(RefusalReason::ServersPaused) } ; "a prompt that fits only with paused engines")]
#[test_case(Group { prompt: 9_000_000, paused: 7, reason: Some(RefusalReason::PromptTooLarge) } ; "a prompt that fits nowhere")]
fn paused_engines_join_no_group(case: Group) {
    for seed in 1..=4 {
        let mut gateway = gateway(seed);
        for number in 3..=8 {
            let engine = server(&format!("e-{number}"), "engines", 10 + number);
            gateway.apply_server(ServerChange::Listed(engine));
        }
        for number in 1..=case.paused {
            gateway.record_pause(at(0), &id(&format!("e-{number}")), ms(5_000));
        }
        let size = PromptSize { prompt: case.prompt, max_output: 500 };
        let head = RequestFacts { size: Some(size), ..facts("/stream/x") };
        let mut request = gateway.admit(at(100), &head).unwrap();
        match gateway.place(at(100), &mut request) {
            GatewayPlacement::Send(dispatch) => {
                assert_eq!(case.reason, None);
                assert!(!gateway.is_dispatch_paused(at(100), &dispatch), "{dispatch:?}");
            }
            GatewayPlacement::Refuse(refusal) => assert_eq!(Some(refusal.reason), case.reason),
            GatewayPlacement::Wait(_) => panic!("the engines are idle"),
        }
    }
}

/// A burst of requests at some time after both servers' pauses of one second were recorded.
struct Burst {
    path: &'static str,
    now: u64,
    sent: std::ops::RangeInclusive<usize>,
}

// Guards against a burst at the first server whose pause ends.
#[test_case(Burst { path: "/often/x", now: 1_000, sent: 0..=2 } ; "plain, at the end of the pauses")]
#[test_case(Burst { path: "/often/x", now: 1_500, sent: 2..=6 } ; "plain, half a second later")]
#[test_case(Burst { path: "/often/x", now: 2_200, sent: 40..=40 } ; "plain, long after")]
#[test_case(Burst { path: "/stream/x", now: 1_000, sent: 0..=2 } ; "engines, at the end of the pauses")]
#[test_case(Burst { path: "/stream/x", now: 1_350, sent: 2..=12 } ; "engines, a third of a second later")]
fn servers_take_little_right_after_their_pauses(case: Burst) {
    let mut gateway = gateway(1);
    pause_all(&mut gateway, at(0), ms(1_000));
    let mut count = 0;
    for _ in 0..40 {
        let mut request = gateway.admit(at(case.now), &facts(case.path)).unwrap();
        let placement = gateway.place(at(case.now), &mut request);
        count += usize::from(matches!(placement, GatewayPlacement::Send(_)));
    }
    assert!(case.sent.contains(&count), "{count}");
}

// Guards against a burst at the servers that are left while others are paused.
#[test]
fn the_rest_of_a_service_gets_no_more_than_its_slots_during_a_pause() {
    let mut gateway = gateway(1);
    gateway.record_pause(at(0), &id("p-1"), ms(3_000));
    let mut requests: Vec<GatewayRequest> =
        (0..20).map(|_| gateway.admit(at(0), &facts("/often/x")).unwrap()).collect();
    let dispatches: Vec<Box<Dispatch>> = requests
        .iter_mut()
        .filter_map(|request| match gateway.place(at(0), request) {
            GatewayPlacement::Send(dispatch) => Some(dispatch),
            _ => None,
        })
        .collect();
    assert_eq!(dispatches.len(), 6);
    assert!(dispatches.iter().all(|dispatch| dispatch.server.id == id("p-2")));
    gateway.finish(at(20), &dispatches[0]);
    sent(gateway.place(at(20), requests.last_mut().unwrap()));
    let late = refused(gateway.place(at(400), &mut requests[10]));
    assert_eq!(late.reason, RefusalReason::Overload);
}

/// The delay that a server states when it declines a request that can't be retried here.
struct Decline {
    is_paused: bool,
    stated: Option<u64>,
    retry_after: u64,
}

#[test_case(Decline { is_paused: true, stated: Some(HOUR_MS), retry_after: 300 } ; "a pause that another server does not share")]
#[test_case(Decline { is_paused: false, stated: Some(0), retry_after: 250 } ; "no time")]
#[test_case(Decline { is_paused: false, stated: Some(HOUR_MS), retry_after: 5_000 } ; "an hour without a pause")]
#[test_case(Decline { is_paused: false, stated: None, retry_after: 300 } ; "none")]
fn a_caller_of_a_declined_request_returns_soon(case: Decline) {
    let mut gateway = gateway(1);
    let mut request = gateway.admit(at(0), &facts("/once/x")).unwrap();
    let dispatch = sent(gateway.place(at(0), &mut request));
    gateway.record_sent(&mut request);
    let retry_after = case.stated.map(ms);
    if let (true, Some(length)) = (case.is_paused, retry_after) {
        gateway.record_pause(at(5), &dispatch.server.id, length);
    }
    let result = SendResult::Declined { at_fault: None, retry_after };
    let step = gateway.after_send(at(5), &mut request, &dispatch, &result);
    let expected = GatewayRefusal::retry_after(RefusalReason::Declined, ms(case.retry_after));
    assert_eq!(step, NextStep::Refuse(expected));
}
