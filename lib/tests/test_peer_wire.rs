//! Peer messages round-trip through the wire format, and invalid payloads are rejected.

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

fn start_request() -> PeerMessage {
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
    let v6 = "[::1]:80".parse().expect("valid socket address");
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

/// Returns messages that cover every kind and every variant within a kind.
fn samples() -> Vec<PeerMessage> {
    let (attempt, engine) = (attempt(), engine());
    let line = |text: &str| text.to_owned();
    let edits = vec![
        LineEdit { at: 1, remove: 2, insert: vec![line("limit a 5 # ops"), line("")] },
        LineEdit { at: 5, remove: 1, insert: vec![] },
        LineEdit { at: 9, remove: 0, insert: vec![line("")] },
    ];
    let duration = Duration::from_micros(123_456);
    vec![
        heartbeat(),
        PeerMessage::Heartbeat(Box::default()),
        start_request(),
        PeerMessage::Grant(Grant {
            attempt,
            engine: engine.clone(),
            valid: duration,
            cached: 5,
            queued: duration,
        }),
        PeerMessage::Deny(Denial {
            attempt,
            engine: engine.clone(),
            reason: Reason::MemoryFull,
            room_in: Some(duration),
        }),
        PeerMessage::Withdraw(AttemptRef { attempt, engine: engine.clone() }),
        PeerMessage::FirstToken(FirstToken {
            attempt,
            engine: engine.clone(),
            cached: 1,
            prefill: duration,
        }),
        PeerMessage::Finished(Finished {
            attempt,
            engine,
            output_tokens: 1,
            decode: duration,
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
fn every_message_round_trips() {
    for message in samples() {
        let payload = encode_message(&message).unwrap();
        assert_eq!(decode_message(&payload, MAX_BODY), Ok(message));
    }
}

#[test]
fn every_reason_and_outcome_round_trips() {
    for reason in Reason::ALL {
        for outcome in [Outcome::NotRun, Outcome::Unknown, Outcome::Failed] {
            let message = answer(Err(Refusal { outcome, reason, retry_after: None }));
            let payload = encode_message(&message).unwrap();
            assert_eq!(decode_message(&payload, MAX_BODY), Ok(message));
        }
    }
}

#[test]
fn truncated_message_is_rejected() {
    for message in samples() {
        let payload = encode_message(&message).unwrap();
        for end in 0..payload.len() {
            let result = decode_message(&payload[..end], MAX_BODY);
            assert!(result.is_err(), "{message:?} cut to {end} bytes was decoded as {result:?}");
        }
    }
}

struct RejectedPayload {
    payload: Vec<u8>,
    error: WireError,
}

fn edited(message: &PeerMessage, edit: impl FnOnce(&mut Vec<u8>)) -> Vec<u8> {
    let mut payload = encode_message(message).expect("test setup succeeds");
    edit(&mut payload);
    payload
}

fn target_named(len: usize) -> PeerMessage {
    PeerMessage::TargetSeen(TargetSeen { target: "x".repeat(len), state: None, sighting: 1 })
}

#[test_case(RejectedPayload { payload: vec![], error: WireError::Empty }; "empty payload")]
#[test_case(RejectedPayload {
    payload: edited(&start_request(), |bytes| bytes[0] = 9),
    error: WireError::UnknownVersion(9),
}; "unsupported version")]
#[test_case(RejectedPayload {
    payload: edited(&start_request(), |bytes| bytes.push(0)),
    error: WireError::Trailing(1),
}; "trailing byte")]
#[test_case(RejectedPayload {
    payload: edited(&start_request(), |bytes| bytes[1] = 200),
    error: WireError::Malformed,
}; "unknown kind")]
#[test_case(RejectedPayload {
    payload: encode_message(&target_named(MAX_NAME_BYTES + 1)).expect("test setup succeeds"),
    error: WireError::TextTooLong { found: MAX_NAME_BYTES + 1, limit: MAX_NAME_BYTES },
}; "name too long")]
#[test_case(RejectedPayload {
    payload: encode_message(&target_named(0)).expect("test setup succeeds"),
    error: WireError::EmptyName,
}; "empty name")]
#[test_case(RejectedPayload {
    payload: encode_message(&config(ConfigBody::Whole("x".repeat(MAX_PLAIN_BYTES).into())))
        .expect("test setup succeeds"),
    error: WireError::BodyTooLong { found: MAX_PLAIN_BYTES + 7, limit: MAX_PLAIN_BYTES },
}; "message without a body too long")]
#[test_case(RejectedPayload {
    payload: encode_message(&config(ConfigBody::Delta {
        base: 1,
        edits: vec![LineEdit { at: 0, remove: 0, insert: vec![String::new(); MAX_LINES + 1] }],
    }))
    .expect("test setup succeeds"),
    error: WireError::Malformed,
}; "too many lines")]
#[test_case(RejectedPayload {
    payload: encode_message(&forward(&[1; MAX_BODY + 1])).expect("test setup succeeds"),
    error: WireError::BodyTooLong { found: MAX_BODY + 1, limit: MAX_BODY },
}; "call body too long")]
#[test_case(RejectedPayload {
    payload: encode_message(&answer(Ok(reply(&[1; MAX_BODY + 1])))).expect("test setup succeeds"),
    error: WireError::BodyTooLong { found: MAX_BODY + 1, limit: MAX_BODY },
}; "answer body too long")]
#[test_case(RejectedPayload {
    payload: encode_message(&hand_over(ClaimState::Done(reply(&[1; MAX_BODY + 1])))).expect("test setup succeeds"),
    error: WireError::BodyTooLong { found: MAX_BODY + 1, limit: MAX_BODY },
}; "claim body too long")]
fn bad_payload_is_rejected(case: RejectedPayload) {
    assert_eq!(decode_message(&case.payload, MAX_BODY), Err(case.error));
}

/// A list that declares more items than its limit is rejected before memory is allocated for them.
#[test]
fn declared_length_is_not_trusted() {
    let request = LeaseMessage::Request { round: 1, list: 2, sets: vec![], shards: vec![] };
    let request = PeerMessage::Lease(request);
    let mut payload = encode_message(&request).unwrap();
    payload.pop();
    payload.extend([0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x7f]);
    assert_eq!(decode_message(&payload, MAX_BODY), Err(WireError::Malformed));
}

fn runner(cases: u32) -> TestRunner {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    TestRunner::new_with_rng(Config { cases, failure_persistence: None, ..Config::default() }, rng)
}

/// Checks that a decoded payload is a message that a sender could have sent: encoding and decoding
/// it again returns the same message.
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
