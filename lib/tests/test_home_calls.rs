//! The answers of a home to a call and its copies, in a fleet of one entry host.

use std::time::Duration;

use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::state::*;

const EPOCH: u64 = 1_700_000_000_000;

struct SingleHome {
    homes: Homes,
    members: Members,
    /// Milliseconds since the start.
    at: u64,
    /// When the lease on shard 0 was obtained.
    since: u64,
    calls: u64,
}

fn now_at(at: u64) -> Now {
    Now { mono: Moment(at * 1_000), wall: WallTime(EPOCH + at) }
}

impl SingleHome {
    /// Starts a home and runs it until it holds its leases.
    fn new(settings: HomeSettings) -> SingleHome {
        let name = HostName::new("h0");
        let zone = ZoneName::new("z");
        let peer_addr = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
        let entry_hosts = vec![EntryHost { name: name.clone(), zone: zone.clone(), peer_addr }];
        let list = LiveList { version: 1, entry_hosts, ..LiveList::default() };
        let mut homes = Homes::new(name.clone(), Incarnation(1), settings, 1, now_at(0));
        homes.set_hosts(now_at(0), &list);
        let mut members = Members::new(name, zone, Duration::from_secs(1), Moment(0));
        members.set_hosts(Moment(0), &list);
        let mut home = SingleHome { homes, members, at: 0, since: 0, calls: 0 };
        home.advance(5_000);
        assert!((2_100..2_700).contains(&home.since), "{} ms", home.since);
        home
    }

    fn advance(&mut self, span: u64) -> Vec<HomeOutput> {
        let mut outputs = Vec::new();
        for _ in 0..span / 50 {
            self.at += 50;
            outputs.extend(self.homes.on_tick(now_at(self.at), &self.members));
            if self.since == 0 && self.homes.held_shards(now_at(self.at)).contains(&0) {
                self.since = self.at;
            }
        }
        outputs
    }

    fn call(&mut self, key: CallKey, body: &str, left: u64) -> Vec<HomeOutput> {
        self.calls += 1;
        let call = ServiceCall {
            id: RequestId { origin: Incarnation(1), seq: self.calls },
            customer: CustomerName::new("c"),
            service: ServiceName::new("s"),
            method: "POST".into(),
            path: "/".into(),
            body: body.as_bytes().into(),
            media: None,
            repeatable: false,
            key: Some(key),
            deadline: Moment(0),
        };
        let call = ForwardedCall { call, time_left: Duration::from_millis(left) };
        self.homes.on_call(now_at(self.at), &self.members, call)
    }

    fn authorize_send(&mut self, key: CallKey) -> bool {
        self.homes.authorize_send(now_at(self.at), key)
    }

    fn result(&mut self, key: CallKey, result: CallResult) -> Vec<HomeOutput> {
        self.homes.on_result(now_at(self.at), key, result)
    }
}

fn key_created_at(at: u64, number: u128) -> CallKey {
    CallKey((u128::from(EPOCH + at) << 80) | (7 << 76) | number)
}

fn reply(body: &str) -> ServiceReply {
    ServiceReply { status: 200, media: None, body: body.as_bytes().into() }
}

/// Returns the answers among `outputs`: the body, or outcome and reason.
fn answers(outputs: &[HomeOutput]) -> Vec<String> {
    let text = |result: &Result<ServiceReply, Refusal>| match result {
        Ok(reply) => String::from_utf8_lossy(&reply.body).into_owned(),
        Err(refusal) => format!("{}/{}", refusal.outcome.as_str(), refusal.reason),
    };
    let replies = outputs.iter().filter_map(|output| match output {
        HomeOutput::Reply { result, .. } => Some(text(result)),
        _ => None,
    });
    replies.collect()
}

fn runs(outputs: &[HomeOutput]) -> bool {
    outputs.iter().any(|output| matches!(output, HomeOutput::Run(_)))
}

/// A first call with its result, and the expected answer to a later copy.
struct Copies {
    result: Option<CallResult>,
    same_body: bool,
    answer: &'static [&'static str],
    /// The number of callers that get the result reported after that copy.
    later_answers: usize,
}

#[test_case(Copies { result: None, same_body: true, answer: &[], later_answers: 2 }; "a copy of a running call waits")]
#[test_case(Copies { result: None, same_body: false, answer: &["failed/key_reused"], later_answers: 1 }; "another call under the key of a running one")]
#[test_case(Copies { result: Some(CallResult::Replied(reply("done"))), same_body: true, answer: &["done"], later_answers: 0 }; "a finished call is answered again")]
#[test_case(Copies { result: Some(CallResult::Replied(reply("done"))), same_body: false, answer: &["failed/key_reused"], later_answers: 0 }; "another call under the key of a finished one")]
#[test_case(Copies { result: Some(CallResult::NotSent), same_body: true, answer: &["not_run/target_failed"], later_answers: 0 }; "a refusal is kept")]
#[test_case(Copies { result: Some(CallResult::NotSent), same_body: false, answer: &["failed/key_reused"], later_answers: 0 }; "another call under a refused key")]
#[test_case(Copies { result: Some(CallResult::Lost), same_body: true, answer: &["unknown/target_failed"], later_answers: 0 }; "a lost call stays unknown")]
fn recognizes_copies_by_their_key(case: Copies) {
    let mut home = SingleHome::new(HomeSettings::default());
    let key = key_created_at(5_000, 1);
    assert!(runs(&home.call(key, "call", 3_000)));
    assert!(home.authorize_send(key));
    if let Some(result) = case.result {
        assert_eq!(answers(&home.result(key, result)).len(), 1);
    }
    home.advance(500);
    let copy = home.call(key, if case.same_body { "call" } else { "other" }, 3_000);
    assert_eq!(answers(&copy), case.answer);
    assert!(!runs(&copy));
    let later_answers = home.result(key, CallResult::Replied(reply("late")));
    assert_eq!(answers(&later_answers).len(), case.later_answers);
}

/// When a key was created, in milliseconds after the tenure of its shard began or ahead of now.
enum KeyTime {
    AfterTenure(u64),
    Ahead(u64),
}

#[test_case(KeyTime::AfterTenure(2_000), 3_000, "unknown/key_too_old"; "within two skews of the tenure")]
#[test_case(KeyTime::AfterTenure(2_001), 3_000, ""; "just after that")]
#[test_case(KeyTime::Ahead(1_000), 3_000, ""; "one skew ahead")]
#[test_case(KeyTime::Ahead(1_001), 3_000, "unknown/key_from_future"; "further ahead")]
#[test_case(KeyTime::Ahead(0), 0, "not_run/deadline_passed"; "no time left")]
fn refuses_keys_by_age(created: KeyTime, left: u64, answer: &str) {
    let mut home = SingleHome::new(HomeSettings::default());
    let created = match created {
        KeyTime::AfterTenure(span) => home.since + span,
        KeyTime::Ahead(span) => home.at + span,
    };
    let in_shard = |number: &u128| shard_of(key_created_at(created, *number)) == 0;
    let key = key_created_at(created, (0..).find(in_shard).unwrap());
    let outputs = home.call(key, "call", left);
    assert_eq!(answers(&outputs).join(""), answer);
    assert_eq!(runs(&outputs), answer.is_empty());
    if answer.starts_with("not_run") {
        // A later copy that has time left must not run either.
        assert_eq!(answers(&home.call(key, "call", 3_000)), [answer]);
    }
}

#[derive(Clone, Copy)]
enum Before {
    Nothing,
    Sent,
    SentAndNotConnected,
    /// The process was suspended while its monotonic and its wall clock advanced by these
    /// milliseconds.
    Suspended(u64, u64),
    Answered,
}

#[test_case(Before::Nothing, true; "at once")]
#[test_case(Before::Sent, false; "a second time")]
#[test_case(Before::SentAndNotConnected, true; "after no connection was made")]
#[test_case(Before::Suspended(1_300, 1_300), true; "after a suspend that the lease outlasts")]
#[test_case(Before::Suspended(2_000, 2_000), false; "after the lease ended")]
#[test_case(Before::Suspended(0, 2_100), false; "after a suspend in which the monotonic clock stood")]
#[test_case(Before::Suspended(2_000, 0), false; "after the lease ended and the wall clock was set back")]
#[test_case(Before::Answered, false; "after the call was answered")]
fn authorize_send_succeeds_once_and_only_under_a_lease(before: Before, expected: bool) {
    let mut home = SingleHome::new(HomeSettings::default());
    let key = key_created_at(5_000, 1);
    home.call(key, "call", 60_000);
    let mut now = now_at(home.at);
    match before {
        Before::Nothing => {}
        Before::Sent => assert!(home.authorize_send(key)),
        Before::SentAndNotConnected => {
            assert!(home.authorize_send(key));
            home.homes.on_not_connected(key);
        }
        Before::Suspended(mono, wall) => {
            now.mono = now_at(home.at + mono).mono;
            now.wall = now_at(home.at + wall).wall;
        }
        Before::Answered => drop(home.result(key, CallResult::NotSent)),
    }
    assert_eq!(home.homes.authorize_send(now, key), expected);
}

#[test]
fn authorize_send_fails_after_the_deadline() {
    let mut home = SingleHome::new(HomeSettings::default());
    let key = key_created_at(5_000, 1);
    home.call(key, "call", 1_000);
    let outputs = home.advance(1_000);
    assert_eq!(answers(&outputs), ["unknown/deadline_passed"]);
    assert!(!home.authorize_send(key));
}

#[test]
fn a_full_table_refuses_new_calls_and_removes_none() {
    let mut home = SingleHome::new(HomeSettings { max_claims: 2, ..HomeSettings::default() });
    let keys = [1, 2, 3].map(|number| key_created_at(5_000, number));
    for key in &keys[..2] {
        home.call(*key, "call", 3_000);
        home.result(*key, CallResult::Replied(reply("done")));
    }
    assert_eq!(answers(&home.call(keys[2], "call", 3_000)), ["unknown/overloaded"]);
    assert_eq!(answers(&home.call(keys[0], "call", 3_000)), ["done"]);
    // Old claims are removed to make room, and their keys are too old by then.
    home.advance(601_000);
    let fresh = key_created_at(home.at, 4);
    assert!(runs(&home.call(fresh, "call", 3_000)));
    assert_eq!(answers(&home.call(keys[0], "call", 3_000)), ["unknown/key_too_old"]);
}

#[test]
fn an_answer_over_the_memory_limit_is_given_once_and_then_unknown() {
    let mut home = SingleHome::new(HomeSettings { claim_bytes: 1_000, ..HomeSettings::default() });
    let key = key_created_at(5_000, 1);
    home.call(key, "call", 3_000);
    let long = "x".repeat(2_000);
    assert_eq!(answers(&home.result(key, CallResult::Replied(reply(&long)))), [long]);
    assert_eq!(answers(&home.call(key, "call", 3_000)), ["unknown/target_failed"]);
}
