//! Frames prove their sender and their connection, or are dropped with the right cause.

use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use test_case::test_case;
use wasabicrank_lib::protocol::*;
use wasabicrank_lib::state::HostName;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::WallTime;

const NONCE: Nonce = Nonce([1; NONCE_BYTES]);
const SEED: [u8; 32] = *b"wasabicrank peer frame, seed one";
const REPLY: Nonce = Nonce([2; NONCE_BYTES]);

fn key(byte: u8) -> FleetKey {
    FleetKey::new([byte; 32])
}

fn sender(incarnation: u64, started: u64) -> Sender {
    let host = HostName::new("entry-1");
    Sender { host, incarnation: Incarnation(incarnation), started: WallTime(started) }
}

fn receiver() -> HostName {
    HostName::new("entry-2")
}

fn body(frame: &[u8]) -> &[u8] {
    &frame[LENGTH_BYTES..]
}

/// One connection with both of its sides past the hello.
fn connect(challenge: Nonce) -> (FrameSender, FrameReceiver) {
    let mut out = FrameSender::new(&key(7), sender(3, 4), &receiver(), challenge);
    let frame = out.hello(LinkKind::Control, REPLY).expect("the test's own set-up works");
    let listener = FrameListener::new(&key(7), &receiver(), challenge);
    let (hello, inn) = listener.accept(body(&frame)).expect("the test's own set-up works");
    assert_eq!(hello, Hello { sender: sender(3, 4), kind: LinkKind::Control, nonce: REPLY });
    out.check_welcome(REPLY, &inn.welcome(&hello)).expect("the test's own set-up works");
    (out, inn)
}

#[test]
fn frames_arrive_in_order() {
    let (mut out, mut inn) = connect(NONCE);
    for payload in [&b"one"[..], b"", b"three"] {
        let frame = out.seal(payload).unwrap();
        assert_eq!(inn.open(body(&frame)), Ok(payload));
    }
}

struct Greeting {
    key: FleetKey,
    challenge: Nonce,
    receiver: &'static str,
}

#[test_case(Greeting { key: key(8), challenge: NONCE, receiver: "entry-2" }; "wrong key")]
#[test_case(Greeting { key: key(7), challenge: REPLY, receiver: "entry-2" }; "another connection")]
#[test_case(Greeting { key: key(7), challenge: NONCE, receiver: "entry-3" }; "another receiver")]
fn hello_with_wrong_tag_is_dropped(case: Greeting) {
    let meant = HostName::new(case.receiver);
    let mut out = FrameSender::new(&case.key, sender(3, 4), &meant, case.challenge);
    let frame = out.hello(LinkKind::Work, REPLY).expect("the hello can be sealed");
    let listener = FrameListener::new(&key(7), &receiver(), NONCE);
    assert_eq!(listener.accept(body(&frame)).err(), Some(FrameError::BadTag));
}

#[test]
fn welcome_of_an_impostor_is_refused() {
    let (out, _) = connect(NONCE);
    assert_eq!(out.check_welcome(REPLY, &[0; TAG_BYTES]), Err(FrameError::BadTag));
}

#[test]
fn frame_of_an_earlier_connection_is_dropped() {
    let (mut earlier, _) = connect(REPLY);
    let (_, mut inn) = connect(NONCE);
    let frame = earlier.seal(b"run it").unwrap();
    assert_eq!(inn.open(body(&frame)), Err(FrameError::BadTag));
}

#[test]
fn replayed_and_late_frames_are_dropped() {
    let (mut out, mut inn) = connect(NONCE);
    let (first, second) = (out.seal(b"one").unwrap(), out.seal(b"two").unwrap());
    assert!(inn.open(body(&second)).is_ok());
    for (frame, found) in [(&second, 3), (&first, 2)] {
        assert_eq!(inn.open(body(frame)), Err(FrameError::Replayed { found, last: 3 }));
    }
}

#[test]
fn every_changed_bit_is_noticed() {
    let (mut out, mut inn) = connect(NONCE);
    let frame = out.seal(b"payload").unwrap();
    for bit in 0..body(&frame).len() * 8 {
        let mut changed = body(&frame).to_vec();
        changed[bit / 8] ^= 1 << (bit % 8);
        let expected = match bit / 8 {
            0 => FrameError::UnknownVersion(changed[0]),
            _ => FrameError::BadTag,
        };
        assert_eq!(inn.open(&changed), Err(expected));
    }
}

#[test_case(513, FrameError::Oversize { found: 513, limit: 512 }; "over the limit")]
#[test_case(u32::MAX, FrameError::Oversize { found: u32::MAX as usize, limit: 512 }; "largest")]
#[test_case(0, FrameError::Malformed; "empty")]
#[test_case(32, FrameError::Malformed; "nothing but a tag")]
fn bad_length_is_refused(found: u32, error: FrameError) {
    assert_eq!(frame_len(found.to_le_bytes(), 512), Err(error));
}

struct Heard {
    sender: Sender,
    at: u64,
    result: Result<(), FrameError>,
}

fn heard(incarnation: u64, started: u64, at: u64, result: Result<(), FrameError>) -> Heard {
    Heard { sender: sender(incarnation, started), at, result }
}

const SECOND: u64 = 1_000_000;

#[test_case(&[heard(9, 1, 0, Ok(())), heard(2, 5, 1, Ok(())),
    heard(9, 1, 2, Err(FrameError::OldIncarnation)), heard(2, 5, 3, Ok(()))]; "a woken old start")]
#[test_case(&[heard(2, 5, 0, Ok(())), heard(9, 1, 1, Err(FrameError::OldIncarnation)),
    heard(2, 5, 2, Ok(()))]; "an old start never heard before")]
#[test_case(&[heard(2, 5, 0, Ok(())), heard(9, 1, 59 * SECOND, Err(FrameError::OldIncarnation)),
    heard(9, 1, 60 * SECOND, Ok(()))]; "a clock that was set back")]
fn only_the_latest_start_is_heard(steps: &[Heard]) {
    let mut table = SenderTable::default();
    table.set_known([HostName::new("entry-1")]);
    for step in steps {
        assert_eq!(table.hear(&step.sender, Moment(step.at)), step.result);
    }
}

#[test]
fn sender_that_is_not_published_is_unknown() {
    let mut table = SenderTable::default();
    assert_eq!(table.hear(&sender(1, 1), Moment(0)), Ok(()), "no list is known yet");
    table.set_known([]);
    assert_eq!(table.hear(&sender(1, 1), Moment(0)), Err(FrameError::UnknownSender));
}

/// Neither random bytes nor a hello cut or changed anywhere is taken, and none of them panics.
#[test]
fn random_hellos_are_refused() {
    let mut out = FrameSender::new(&key(7), sender(3, 4), &receiver(), NONCE);
    let hello = out.hello(LinkKind::Control, REPLY).unwrap();
    let bytes = prop_oneof![
        prop::collection::vec(any::<u8>(), 0..200),
        (any::<prop::sample::Index>(), 1..=u8::MAX).prop_map(move |(at, change)| {
            let mut changed = body(&hello).to_vec();
            let at = at.index(changed.len());
            changed[at] ^= change;
            changed
        }),
    ];
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let config = Config { cases: 20_000, failure_persistence: None, ..Config::default() };
    let result = TestRunner::new_with_rng(config, rng).run(&bytes, |frame| {
        let listener = FrameListener::new(&key(7), &receiver(), NONCE);
        prop_assert!(listener.accept(&frame).is_err());
        Ok(())
    });
    result.unwrap();
}
