//! Peer messages survive the way over the wire, and nothing else is taken for one.

use std::time::Duration;

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::protocol::*;
use wasabicrank_lib::state::*;

const MAX_BODY: usize = 64;
const SEED: [u8; 32] = *b"wasabicrank peer wire, seed one.";

fn attempt() -> AttemptId {
    let request = RequestId { origin: Incarnation(u64::MAX), seq: 77 };
    AttemptId { request, number: 3 }
}

fn engine() -> EngineName {
    EngineName::new("gpu-a1")
}

fn reply(body: &[u8]) -> ServiceReply {
    ServiceReply { status: 201, media: Some("text/plain".into()), body: body.into() }
}

fn sighting(state: Option<TargetState>) -> TargetSeen {
    TargetSeen { target: "127.0.0.1:80".into(), state, sighting: 4 }
}

fn heartbeat() -> PeerMessage {
    let load = EngineLoad {
        engine: engine(),
        short_tokens: 1,
        long_tokens: 2,
        level_tokens: [1, 0, 2, 0, 3],
        requests: 3,
        held: 4,
        memory: u32::MAX,
        prefill_rate: 6,
        decode_rate: 7,
        healthy: true,
        models: vec![ModelName::new("m1"), ModelName::new("m2")],
    };
    let usage = CustomerUsage { customer: CustomerName::new("c1"), demand: 8, in_flight: 9 };
    PeerMessage::Heartbeat(Box::new(Heartbeat {
        beat: 1,
        clock: u64::MAX,
        config: 3,
        config_hash: 4,
        list: 5,
        stopping: true,
        engines: vec![load],
        usage: vec![usage],
        targets: vec![sighting(None), sighting(Some(TargetState::Live))],
        shards: vec![0, 1, u16::MAX],
    }))
}

fn forward(body: &[u8]) -> PeerMessage {
    let call = ServiceCall {
        id: attempt().request,
        customer: CustomerName::new("c1"),
        service: ServiceName::new("enrol"),
        method: "POST".into(),
        path: "/elections?year=2026".into(),
        body: body.into(),
        media: None,
        repeatable: false,
        key: Some(CallKey(u128::MAX - 5)),
        deadline: Moment::default(),
    };
    PeerMessage::Forward(Box::new(ForwardedCall { call, time_left: Duration::from_millis(1500) }))
}

fn ask() -> PeerMessage {
    PeerMessage::Ask(Box::new(StartRequest {
        attempt: attempt(),
        engine: engine(),
        customer: CustomerName::new("c1"),
        weight: 10,
        priority: Priority::High,
        prompt_tokens: 1_000_000,
        output_tokens: 500,
        blocks: vec![PrefixHash(0), PrefixHash(u64::MAX)],
        waited: Duration::from_micros(15),
        left: Duration::from_secs(30),
        segment: true,
    }))
}

fn hand_over(state: ClaimState) -> PeerMessage {
    let claim = ClaimRecord { key: CallKey(7), call_hash: 8, state };
    let hand_over = HandOver { round: 8, shard: 9, known_since: 10, claims: vec![claim] };
    PeerMessage::Lease(LeaseMessage::HandOver(Box::new(hand_over)))
}

fn answer(result: Result<ServiceReply, Refusal>) -> PeerMessage {
    PeerMessage::Answer(Box::new(CallAnswer { request: attempt().request, result }))
}

fn config(body: ConfigBody) -> PeerMessage {
    PeerMessage::Config(Box::new(ConfigUpdate { version: 1, hash: 2, body }))
}

fn refusal() -> Refusal {
    let retry_after = Some(Duration::from_secs(2));
    Refusal { outcome: Outcome::Unknown, reason: Reason::KeyTooOld, retry_after }
}

fn live_list() -> LiveList {
    let zone = ZoneName::new("z1");
    let addr = ([127, 0, 0, 1], 9000).into();
    let v6 = "[::1]:80".parse().expect("it is an address");
    let state = TargetState::Leaving;
    LiveList {
        version: 4,
        entry_hosts: vec![EntryHost {
            name: HostName::new("entry-1"),
            zone: zone.clone(),
            peer_addr: addr,
        }],
        engines: vec![Engine {
            name: engine(),
            zone: zone.clone(),
            addr,
            memory: 400_000,
            fenced: true,
            state,
        }],
        services: vec![ServiceHost {
            service: ServiceName::new("enrol"),
            zone,
            addr: v6,
            state: TargetState::Live,
        }],
    }
}

/// One message of every kind and of every variant within it.
fn samples() -> Vec<PeerMessage> {
    let (attempt, engine) = (attempt(), engine());
    let line = |text: &str| text.to_owned();
    let edits = vec![
        LineEdit { at: 1, remove: 2, insert: vec![line("limit a 5 # ops"), line("")] },
        LineEdit { at: 5, remove: 1, insert: vec![] },
        LineEdit { at: 9, remove: 0, insert: vec![line("")] },
    ];
    let span = Duration::from_micros(123_456);
    vec![
        heartbeat(),
        PeerMessage::Heartbeat(Box::default()),
        ask(),
        PeerMessage::Grant(Grant {
            attempt,
            engine: engine.clone(),
            valid: span,
            cached: 5,
            queued: span,
        }),
        PeerMessage::Deny(Denial {
            attempt,
            engine: engine.clone(),
            reason: Reason::MemoryFull,
            room_in: Some(span),
        }),
        PeerMessage::Withdraw(AttemptRef { attempt, engine: engine.clone() }),
        PeerMessage::FirstToken(FirstToken {
            attempt,
            engine: engine.clone(),
            cached: 1,
            prefill: span,
        }),
        PeerMessage::Finished(Finished {
            attempt,
            engine,
            output_tokens: 1,
            decode: span,
            failed: true,
        }),
        PeerMessage::Lease(LeaseMessage::Request {
            round: 1,
            list: 2,
            sets: vec![7],
            shards: vec![3],
        }),
        PeerMessage::Lease(LeaseMessage::Grant {
            round: 1,
            list: 2,
            sets: vec![7, 8],
            shards: vec![3, 4],
            handed: vec![4],
        }),
        PeerMessage::Lease(LeaseMessage::Release { round: 1, shards: vec![], successor: None }),
        PeerMessage::Lease(LeaseMessage::Release {
            round: 2,
            shards: vec![5],
            successor: Some(Process {
                host: HostName::new("entry-3"),
                incarnation: Incarnation(9),
            }),
        }),
        PeerMessage::Lease(LeaseMessage::HandOverDone { round: 11, shard: 12 }),
        hand_over(ClaimState::Running),
        hand_over(ClaimState::Done(reply(b"seat 4"))),
        hand_over(ClaimState::Refused(Reason::Stopping)),
        hand_over(ClaimState::Unknown),
        forward(b"{}"),
        answer(Ok(reply(b"ok"))),
        answer(Err(refusal())),
        PeerMessage::ConfigPull(ConfigPull { have: 1, have_hash: u64::MAX }),
        config(ConfigBody::Whole("model m1 # ops".into())),
        config(ConfigBody::Delta { base: 9, edits }),
        PeerMessage::TargetSeen(sighting(Some(TargetState::Leaving))),
        PeerMessage::ListPull(ListPull { have: 3 }),
        PeerMessage::List(Box::new(live_list())),
    ]
}

#[test]
fn every_message_survives_the_way() {
    for message in samples() {
        let payload = encode_message(&message).unwrap();
        assert_eq!(decode_message(&payload, MAX_BODY), Ok(message));
    }
}

#[test]
fn every_reason_and_outcome_survives_the_way() {
    for reason in Reason::ALL {
        for outcome in [Outcome::NotRun, Outcome::Unknown, Outcome::Failed] {
            let message = answer(Err(Refusal { outcome, reason, retry_after: None }));
            let payload = encode_message(&message).unwrap();
            assert_eq!(decode_message(&payload, MAX_BODY), Ok(message));
        }
    }
}

#[test]
fn every_part_of_a_message_is_refused() {
    for message in samples() {
        let payload = encode_message(&message).unwrap();
        for end in 0..payload.len() {
            let result = decode_message(&payload[..end], MAX_BODY);
            assert!(result.is_err(), "{message:?} cut to {end} bytes was read as {result:?}");
        }
    }
}

struct Refused {
    payload: Vec<u8>,
    error: WireError,
}

fn edited(message: &PeerMessage, edit: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut payload = encode_message(message).expect("the test's own set-up works");
    edit(&mut payload);
    payload
}

fn target_named(len: usize) -> PeerMessage {
    PeerMessage::TargetSeen(TargetSeen { target: "x".repeat(len), state: None, sighting: 1 })
}

#[test_case(Refused { payload: vec![], error: WireError::Empty }; "no byte")]
#[test_case(Refused {
    payload: edited(&ask(), |bytes| bytes[0] = 9),
    error: WireError::UnknownVersion(9),
}; "another version")]
#[test_case(Refused {
    payload: edited(&ask(), |bytes| bytes.push(0)),
    error: WireError::Trailing(1),
}; "a byte too many")]
#[test_case(Refused {
    payload: edited(&ask(), |bytes| bytes[1] = 200),
    error: WireError::Malformed,
}; "an unknown kind")]
#[test_case(Refused {
    payload: encode_message(&target_named(MAX_NAME_BYTES + 1)).expect("the test's own set-up works"),
    error: WireError::TextTooLong { found: MAX_NAME_BYTES + 1, limit: MAX_NAME_BYTES },
}; "a long name")]
#[test_case(Refused {
    payload: encode_message(&target_named(0)).expect("the test's own set-up works"),
    error: WireError::EmptyName,
}; "an empty name")]
#[test_case(Refused {
    payload: encode_message(&config(ConfigBody::Whole("x".repeat(MAX_PLAIN_BYTES).into())))
        .expect("the test's own set-up works"),
    error: WireError::BodyTooLong { found: MAX_PLAIN_BYTES + 7, limit: MAX_PLAIN_BYTES },
}; "a long message without a body")]
#[test_case(Refused {
    payload: encode_message(&config(ConfigBody::Delta {
        base: 1,
        edits: vec![LineEdit { at: 0, remove: 0, insert: vec![String::new(); MAX_LINES + 1] }],
    }))
    .expect("the test's own set-up works"),
    error: WireError::Malformed,
}; "too many lines")]
#[test_case(Refused {
    payload: encode_message(&forward(&[1; MAX_BODY + 1])).expect("the test's own set-up works"),
    error: WireError::BodyTooLong { found: MAX_BODY + 1, limit: MAX_BODY },
}; "a long body of a call")]
#[test_case(Refused {
    payload: encode_message(&answer(Ok(reply(&[1; MAX_BODY + 1])))).expect("the test's own set-up works"),
    error: WireError::BodyTooLong { found: MAX_BODY + 1, limit: MAX_BODY },
}; "a long body of an answer")]
#[test_case(Refused {
    payload: encode_message(&hand_over(ClaimState::Done(reply(&[1; MAX_BODY + 1])))).expect("the test's own set-up works"),
    error: WireError::BodyTooLong { found: MAX_BODY + 1, limit: MAX_BODY },
}; "a long body of a claim")]
fn bad_payload_is_refused(case: Refused) {
    assert_eq!(decode_message(&case.payload, MAX_BODY), Err(case.error));
}

/// A list that announces more items than its limit, or than there are, takes no memory for them.
#[test]
fn announced_length_is_not_believed() {
    let ask = LeaseMessage::Request { round: 1, list: 2, sets: vec![], shards: vec![] };
    let ask = PeerMessage::Lease(ask);
    let mut payload = encode_message(&ask).unwrap();
    payload.pop();
    payload.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f]);
    assert_eq!(decode_message(&payload, MAX_BODY), Err(WireError::Malformed));
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

/// What was read must be what a sender could have meant: encoded again, it reads the same.
fn check_decoding(payload: &[u8]) -> Result<(), TestCaseError> {
    if let Ok(message) = decode_message(payload, MAX_BODY) {
        let again = encode_message(&message).map_err(|e| TestCaseError::fail(e.to_string()))?;
        prop_assert_eq!(decode_message(&again, MAX_BODY), Ok(message));
    }
    Ok(())
}

#[test]
fn random_bytes_never_panic() {
    let bytes = prop::collection::vec(any::<u8>(), 0..400);
    let result = runner(50_000).run(&bytes, |mut bytes| {
        if let Some(version) = bytes.first_mut() {
            *version = MESSAGE_VERSION;
        }
        check_decoding(&bytes)
    });
    result.unwrap();
}

#[test]
fn mutated_messages_never_panic() {
    let payloads: Vec<_> = samples().iter().map(|m| encode_message(m).unwrap()).collect();
    let edits = prop::collection::vec((any::<prop::sample::Index>(), any::<u8>()), 1..4);
    let inputs = (prop::sample::select(payloads), edits, any::<prop::sample::Index>());
    let result = runner(50_000).run(&inputs, |(mut payload, edits, cut)| {
        for (at, byte) in edits {
            let at = at.index(payload.len());
            payload[at] = byte;
        }
        check_decoding(&payload)?;
        check_decoding(&payload[..cut.index(payload.len())])
    });
    result.unwrap();
}
