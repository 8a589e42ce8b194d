//! Frames authenticate their sender and connection, and other frames are dropped with the matching
//! error.

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
const OTHER_NONCE: Nonce = Nonce([2; NONCE_BYTES]);

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

/// Returns both sides of a connection after the handshake.
fn connect(challenge: Nonce) -> (FrameSender, FrameReceiver) {
    let mut tx = FrameSender::new(&key(7), sender(3, 4), &receiver(), challenge);
    let frame = tx.hello(LinkKind::Control, OTHER_NONCE).expect("test setup succeeds");
    let listener = FrameListener::new(&key(7), &receiver(), challenge);
    let (hello, rx) = listener.accept(body(&frame)).expect("test setup succeeds");
    assert_eq!(hello, Hello { sender: sender(3, 4), kind: LinkKind::Control, nonce: OTHER_NONCE });
    tx.check_welcome(OTHER_NONCE, &rx.welcome(&hello)).expect("test setup succeeds");
    (tx, rx)
}

#[test]
fn frames_arrive_in_order() {
    let (mut tx, mut rx) = connect(NONCE);
    for payload in [&b"one"[..], b"", b"three"] {
        let frame = tx.seal(payload).unwrap();
        assert_eq!(rx.open(body(&frame)), Ok(payload));
    }
}

struct HelloCase {
    key: FleetKey,
    challenge: Nonce,
    receiver: &'static str,
}

#[test_case(HelloCase { key: key(8), challenge: NONCE, receiver: "entry-2" }; "wrong key")]
#[test_case(HelloCase { key: key(7), challenge: OTHER_NONCE, receiver: "entry-2" }; "another connection")]
#[test_case(HelloCase { key: key(7), challenge: NONCE, receiver: "entry-3" }; "another receiver")]
fn hello_with_wrong_tag_is_dropped(case: HelloCase) {
    let intended = HostName::new(case.receiver);
    let mut tx = FrameSender::new(&case.key, sender(3, 4), &intended, case.challenge);
    let frame = tx.hello(LinkKind::Work, OTHER_NONCE).expect("the hello can be sealed");
    let listener = FrameListener::new(&key(7), &receiver(), NONCE);
    assert_eq!(listener.accept(body(&frame)).err(), Some(FrameError::BadTag));
}

#[test]
fn forged_welcome_is_rejected() {
    let (tx, _) = connect(NONCE);
    assert_eq!(tx.check_welcome(OTHER_NONCE, &[0; TAG_BYTES]), Err(FrameError::BadTag));
}

#[test]
fn frame_of_an_earlier_connection_is_dropped() {
    let (mut earlier, _) = connect(OTHER_NONCE);
    let (_, mut rx) = connect(NONCE);
    let frame = earlier.seal(b"run it").unwrap();
    assert_eq!(rx.open(body(&frame)), Err(FrameError::BadTag));
}

#[test]
fn replayed_and_late_frames_are_dropped() {
    let (mut tx, mut rx) = connect(NONCE);
    let (first, second) = (tx.seal(b"one").unwrap(), tx.seal(b"two").unwrap());
    assert!(rx.open(body(&second)).is_ok());
    for (frame, found) in [(&second, 3), (&first, 2)] {
        assert_eq!(rx.open(body(frame)), Err(FrameError::Replayed { found, last: 3 }));
    }
}

#[test]
fn flipped_bit_is_detected() {
    let (mut tx, mut rx) = connect(NONCE);
    let frame = tx.seal(b"payload").unwrap();
    for bit in 0..body(&frame).len() * 8 {
        let mut changed = body(&frame).to_vec();
        changed[bit / 8] ^= 1 << (bit % 8);
        let expected = match bit / 8 {
            0 => FrameError::UnknownVersion(changed[0]),
            _ => FrameError::BadTag,
        };
        assert_eq!(rx.open(&changed), Err(expected));
    }
}

#[test_case(513, FrameError::Oversize { found: 513, limit: 512 }; "over the limit")]
#[test_case(u32::MAX, FrameError::Oversize { found: u32::MAX as usize, limit: 512 }; "largest")]
#[test_case(0, FrameError::Malformed; "empty")]
#[test_case(32, FrameError::Malformed; "only a tag")]
fn bad_length_is_rejected(found: u32, error: FrameError) {
    assert_eq!(frame_len(found.to_le_bytes(), 512), Err(error));
}

struct Step {
    sender: Sender,
    at: u64,
    result: Result<(), FrameError>,
}

fn step(incarnation: u64, started: u64, at: u64, result: Result<(), FrameError>) -> Step {
    Step { sender: sender(incarnation, started), at, result }
}

const SECOND: u64 = 1_000_000;

#[test_case(&[step(9, 1, 0, Ok(())), step(2, 5, 1, Ok(())),
    step(9, 1, 2, Err(FrameError::OldIncarnation)), step(2, 5, 3, Ok(()))]; "resumed old incarnation")]
#[test_case(&[step(2, 5, 0, Ok(())), step(9, 1, 1, Err(FrameError::OldIncarnation)),
    step(2, 5, 2, Ok(()))]; "unseen old incarnation")]
#[test_case(&[step(2, 5, 0, Ok(())), step(9, 1, 59 * SECOND, Err(FrameError::OldIncarnation)),
    step(9, 1, 60 * SECOND, Ok(()))]; "clock set back")]
fn only_the_latest_incarnation_is_accepted(steps: &[Step]) {
    let mut table = SenderTable::default();
    table.set_known([HostName::new("entry-1")]);
    for step in steps {
        assert_eq!(table.observe(&step.sender, Moment(step.at)), step.result);
    }
}

#[test]
fn unpublished_sender_is_rejected() {
    let mut table = SenderTable::default();
    assert_eq!(table.observe(&sender(1, 1), Moment(0)), Ok(()), "no list is known yet");
    table.set_known([]);
    assert_eq!(table.observe(&sender(1, 1), Moment(0)), Err(FrameError::UnknownSender));
}

/// Random bytes and hellos with a modified byte are rejected without a panic.
#[test]
fn random_hellos_are_rejected() {
    let mut tx = FrameSender::new(&key(7), sender(3, 4), &receiver(), NONCE);
    let hello = tx.hello(LinkKind::Control, OTHER_NONCE).unwrap();
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
