//! Links between entry hosts over real sockets: which messages arrive, which are dropped, and that a
//! peer that stops reading does not block the sender.

use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::unbounded;
use slog::Discard;
use slog::Logger;
use slog::o;
use test_case::test_case;
use wasabicrank_lib::coordination::*;
use wasabicrank_lib::protocol::Sender;
use wasabicrank_lib::protocol::*;
use wasabicrank_lib::state::*;
use wasabicrank_lib::transport::*;

const TIMEOUT: Duration = Duration::from_secs(20);
const MAX_FRAME: usize = 256 * 1024;
const RING_SIZE: usize = 1024;
const KEY: [u8; 32] = [7; 32];
const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Host {
    links: PeerLinks,
    inbox: Receiver<Envelope>,
    name: HostName,
}

impl Host {
    fn start(name: &str, key: [u8; 32]) -> Host {
        let (sink, inbox) = unbounded();
        let settings = PeerLinksSettings {
            listen: LOOPBACK,
            host: HostName::new(name),
            incarnation: Incarnation(11),
            key,
            max_frame: MAX_FRAME,
            ring_size: RING_SIZE,
        };
        let log = Logger::root(Discard, o!());
        let links = PeerLinks::start(
            settings,
            move |e| sink.send(e).expect("the test's own set-up works"),
            log,
        )
        .expect("the test's own set-up works");
        Host { links, inbox, name: HostName::new(name) }
    }

    fn addr(&self) -> PeerAddr {
        PeerAddr { host: self.name.clone(), addr: self.links.local_addr() }
    }

    fn dropped(&self, cause: DropCause) -> u64 {
        self.links.counters().dropped(cause)
    }

    fn next(&self) -> Envelope {
        self.inbox.recv_timeout(TIMEOUT).expect("the test's own set-up works")
    }
}

fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let end = Instant::now() + TIMEOUT;
    while !holds() {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn pull(have: u64) -> PeerMessage {
    PeerMessage::ConfigPull(ConfigPull { have, have_hash: 0 })
}

fn call(len: usize) -> PeerMessage {
    let request = RequestId { origin: Incarnation(1), seq: 1 };
    let reply = ServiceReply { status: 200, media: None, body: vec![1; len].into() };
    PeerMessage::Answer(Box::new(CallAnswer { request, result: Ok(reply) }))
}

fn sender(incarnation: u64, started: u64) -> Sender {
    let host = HostName::new("entry-1");
    Sender { host, incarnation: Incarnation(incarnation), started: WallTime(started) }
}

fn read_challenge(stream: &mut TcpStream) -> Nonce {
    let mut start = [0; CHALLENGE_BYTES];
    stream.read_exact(&mut start).expect("the challenge arrives");
    let challenge = decode_challenge(&start).expect("the challenge can be read");
    stream.read_exact(&mut vec![0; challenge.name_len]).expect("the name arrives");
    challenge.nonce
}

/// Connects as `sender` without `PeerLinks` and sends a hello with `key`.
fn connect_with_hello(
    to: &Host,
    sender: Sender,
    key: [u8; 32],
) -> (TcpStream, FrameSender, Vec<u8>) {
    let mut stream =
        TcpStream::connect(to.links.local_addr()).expect("the test's own set-up works");
    stream.set_read_timeout(Some(TIMEOUT)).expect("the test's own set-up works");
    let nonce = read_challenge(&mut stream);
    let mut frames = FrameSender::new(&FleetKey::new(key), sender, &to.name, nonce);
    let hello = frames
        .hello(LinkKind::Control, Nonce([5; NONCE_BYTES]))
        .expect("the test's own set-up works");
    stream.write_all(&hello).expect("the test's own set-up works");
    (stream, frames, hello)
}

fn welcome(stream: &mut TcpStream) -> bool {
    stream.read_exact(&mut [0; TAG_BYTES]).is_ok()
}

/// Returns a host with the peer `entry-1`, which the test itself simulates.
fn host_that_knows_entry_1() -> Host {
    let host = Host::start("entry-2", KEY);
    let unreachable = PeerAddr { host: HostName::new("entry-1"), addr: ([127, 0, 0, 1], 1).into() };
    host.links.set_peers(&[unreachable]).expect("threads can be started");
    host
}

#[test]
fn messages_arrive_over_both_links() {
    let (a, b) = (Host::start("entry-1", KEY), Host::start("entry-2", KEY));
    let published = [a.addr(), b.addr()];
    a.links.set_peers(&published).expect("threads can be started");
    b.links.set_peers(&published).expect("threads can be started");
    wait_until("both are connected", || {
        a.links.is_connected(&b.name) && b.links.is_connected(&a.name)
    });
    for message in [pull(1), call(100_000)] {
        a.links.send(&b.name, &message).unwrap();
        let from = a.name.clone();
        assert_eq!(b.next(), Envelope { from, incarnation: Incarnation(11), message });
    }
    wait_until("both sides have counted the same", || {
        let (sent, received) = (a.links.counters(), b.links.counters());
        (sent.control.messages_out, sent.work.messages_out) == (1, 1)
            && sent.control.bytes_out == received.control.bytes_in
            && sent.work.bytes_out == received.work.bytes_in
    });
    a.links.stop();
    b.links.stop();
}

#[test]
fn link_comes_back_after_the_peer_restarts() {
    let (a, b) = (Host::start("entry-1", KEY), Host::start("entry-2", KEY));
    let published = [a.addr(), b.addr()];
    a.links.set_peers(&published).expect("threads can be started");
    b.links.set_peers(&published).expect("threads can be started");
    wait_until("a is connected", || a.links.is_connected(&b.name));
    let name = b.name.clone();
    b.links.stop();
    wait_until("a has detected the closed links without sending", || {
        !a.links.is_link_up(&name, LinkKind::Control) && !a.links.is_link_up(&name, LinkKind::Work)
    });
    assert_eq!(a.links.send(&name, &pull(1)), Err(PeerSendError::NotConnected));
    let b = Host::start("entry-2", KEY);
    let published = [a.addr(), b.addr()];
    a.links.set_peers(&published).expect("threads can be started");
    b.links.set_peers(&published).expect("threads can be started");
    wait_until("a is connected again", || a.links.is_connected(&b.name));
    a.links.send(&b.name, &pull(2)).unwrap();
    assert_eq!(b.next().message, pull(2));
}

#[test]
fn unknown_peer_and_long_message_are_refused() {
    let (a, b) = (Host::start("entry-1", KEY), Host::start("entry-2", KEY));
    assert_eq!(a.links.send(&b.name, &pull(1)), Err(PeerSendError::UnknownPeer));
    let published = [a.addr(), b.addr()];
    a.links.set_peers(&published).expect("threads can be started");
    b.links.set_peers(&published).expect("threads can be started");
    wait_until("a is connected", || a.links.is_connected(&b.name));
    assert_eq!(a.links.send(&b.name, &call(MAX_FRAME)), Err(PeerSendError::TooLong));
    assert_eq!(a.dropped(DropCause::UnknownPeer), 1);
    assert_eq!(a.dropped(DropCause::Oversize), 1);
}

/// After a cold start only the addresses of peers are known, including the host's own.
#[test]
fn peers_are_reached_by_address_alone() {
    let (a, b) = (Host::start("entry-1", KEY), Host::start("entry-2", KEY));
    let unnamed = |host: &Host| {
        let addr = host.links.local_addr();
        PeerAddr { host: HostName::new(addr.to_string()), addr }
    };
    let (own, other) = (unnamed(&a), unnamed(&b));
    a.links.set_peers(&[own.clone(), other.clone()]).expect("threads can be started");
    wait_until("a is connected", || a.links.is_connected(&other.host));
    a.links.send(&other.host, &pull(3)).unwrap();
    let from = a.name.clone();
    assert_eq!(b.next(), Envelope { from, incarnation: Incarnation(11), message: pull(3) });
    assert_eq!(a.links.send(&own.host, &pull(4)), Err(PeerSendError::UnknownPeer));
}

/// An address may be reassigned to another host, which must not get the messages for the old one.
#[test]
fn host_with_another_name_gets_nothing() {
    let (a, b) = (Host::start("entry-1", KEY), Host::start("entry-2", KEY));
    let meant = PeerAddr { host: HostName::new("entry-9"), addr: b.links.local_addr() };
    a.links.set_peers(std::slice::from_ref(&meant)).expect("threads can be started");
    wait_until("connecting has failed several times", || a.links.counters().failed_connects >= 4);
    assert_eq!(a.links.send(&meant.host, &pull(1)), Err(PeerSendError::NotConnected));
    assert_eq!(b.links.counters().control.messages_in, 0);
}

#[test]
fn wrong_key_is_dropped_and_counted() {
    let (a, b) = (Host::start("entry-1", [8; 32]), Host::start("entry-2", KEY));
    let published = [a.addr(), b.addr()];
    b.links.set_peers(&published).expect("threads can be started");
    a.links.set_peers(&published).expect("threads can be started");
    wait_until("the wrong key is counted", || b.dropped(DropCause::BadTag) >= 2);
    assert!(!a.links.is_connected(&b.name));
    assert!(b.inbox.is_empty());
}

#[test]
fn sender_that_is_not_published_is_dropped_and_counted() {
    let host = Host::start("entry-2", KEY);
    let other = PeerAddr { host: HostName::new("entry-3"), addr: ([127, 0, 0, 1], 1).into() };
    host.links.set_peers(&[other]).expect("threads can be started");
    let (mut stream, ..) = connect_with_hello(&host, sender(1, 1), KEY);
    assert!(!welcome(&mut stream));
    wait_until("it is counted", || host.dropped(DropCause::UnknownSender) == 1);
}

#[test]
fn replayed_hello_and_frame_are_dropped_and_counted() {
    let host = host_that_knows_entry_1();
    let (mut stream, mut frames, hello) = connect_with_hello(&host, sender(1, 1), KEY);
    assert!(welcome(&mut stream));
    let frame = frames.seal(&encode_message(&pull(1)).unwrap()).unwrap();
    stream.write_all(&frame).unwrap();
    assert_eq!(host.next().message, pull(1));

    let mut replayed = TcpStream::connect(host.links.local_addr()).unwrap();
    replayed.write_all(&[hello, frame.clone()].concat()).unwrap();
    wait_until("the replayed stream is counted", || host.dropped(DropCause::BadTag) == 1);

    stream.write_all(&frame).unwrap();
    wait_until("the replayed frame is counted", || host.dropped(DropCause::Replayed) == 1);
    assert!(host.inbox.is_empty());
}

#[test]
fn old_incarnation_is_dropped_and_counted() {
    let host = host_that_knows_entry_1();
    let (mut old, mut old_frames, _) = connect_with_hello(&host, sender(1, 100), KEY);
    assert!(welcome(&mut old));
    let mut new = TcpStream::connect(host.links.local_addr()).unwrap();
    let nonce = read_challenge(&mut new);
    let mut frames = FrameSender::new(&FleetKey::new(KEY), sender(2, 200), &host.name, nonce);
    // Uses the other kind of link, so that the new connection does not replace the old one.
    let hello = frames.hello(LinkKind::Work, Nonce([5; NONCE_BYTES])).unwrap();
    new.write_all(&hello).unwrap();
    assert!(welcome(&mut new));

    old.write_all(&old_frames.seal(&encode_message(&pull(1)).unwrap()).unwrap()).unwrap();
    wait_until("the old frame is counted", || host.dropped(DropCause::OldIncarnation) == 1);
    let (mut again, ..) = connect_with_hello(&host, sender(1, 100), KEY);
    assert!(!welcome(&mut again));
    wait_until("the old hello is counted", || host.dropped(DropCause::OldIncarnation) == 2);
    assert!(host.inbox.is_empty());
}

struct InvalidInput {
    name: &'static str,
    bytes: fn(&mut FrameSender) -> Vec<u8>,
    cause: DropCause,
}

const INVALID_INPUTS: [InvalidInput; 3] = [
    InvalidInput {
        name: "an oversize length",
        bytes: |_| (MAX_FRAME as u32 + 1).to_le_bytes().to_vec(),
        cause: DropCause::Oversize,
    },
    InvalidInput {
        name: "a message of another version",
        bytes: |frames| frames.seal(&[99, 1, 2]).expect("the test's own set-up works"),
        cause: DropCause::UnknownVersion,
    },
    InvalidInput {
        name: "a payload that is no message",
        bytes: |frames| {
            frames.seal(&[MESSAGE_VERSION, 255, 255]).expect("the test's own set-up works")
        },
        cause: DropCause::Malformed,
    },
];

#[test]
fn garbage_is_dropped_and_counted() {
    for input in INVALID_INPUTS {
        let host = host_that_knows_entry_1();
        let (mut stream, mut frames, _) = connect_with_hello(&host, sender(1, 1), KEY);
        assert!(welcome(&mut stream));
        stream.write_all(&(input.bytes)(&mut frames)).unwrap();
        wait_until(input.name, || host.dropped(input.cause) == 1);
        assert!(host.inbox.is_empty());
    }
}

#[test]
fn oversize_hello_is_dropped_before_it_is_read() {
    let host = host_that_knows_entry_1();
    let mut stream = TcpStream::connect(host.links.local_addr()).unwrap();
    stream.write_all(&(MAX_FRAME as u32).to_le_bytes()).unwrap();
    wait_until("it is counted", || host.dropped(DropCause::Oversize) == 1);
}

#[test]
fn silent_connections_are_bounded_and_closed() {
    let host = host_that_knows_entry_1();
    let connect = || TcpStream::connect(host.links.local_addr()).unwrap();
    let _silent: Vec<_> = (0..100).map(|_| connect()).collect();
    wait_until("the surplus is counted", || host.dropped(DropCause::TooManyPending) > 0);
    wait_until("the rest ran out of time", || host.dropped(DropCause::HelloTimeout) > 0);
    wait_until("a peer can come in again", || {
        let (mut stream, ..) = connect_with_hello(&host, sender(1, 1), KEY);
        welcome(&mut stream)
    });
}

/// Simulates a peer that accepts both links of a host and then reads from neither by itself; returns
/// the control link first.
fn peer_with_stalled_work_link(listener: &TcpListener) -> Vec<TcpStream> {
    let name = HostName::new("entry-2");
    let mut streams = Vec::new();
    for _ in 0..2 {
        let (mut stream, _) = listener.accept().expect("the test's own set-up works");
        let nonce = Nonce([9; NONCE_BYTES]);
        let challenge = encode_challenge(nonce, &name).expect("the name is short");
        stream.write_all(&challenge).expect("the challenge can be sent");
        let mut prefix = [0; LENGTH_BYTES];
        stream.read_exact(&mut prefix).expect("the test's own set-up works");
        let mut frame =
            vec![0; frame_len(prefix, MAX_HELLO_BYTES).expect("the test's own set-up works")];
        stream.read_exact(&mut frame).expect("the test's own set-up works");
        let side = FrameListener::new(&FleetKey::new(KEY), &name, nonce);
        let (hello, frames) = side.accept(&frame).expect("the test's own set-up works");
        stream.write_all(&frames.welcome(&hello)).expect("the test's own set-up works");
        let position = if hello.kind == LinkKind::Control { 0 } else { streams.len() };
        streams.insert(position, stream);
    }
    streams
}

/// The longest time that one send may take.
const MAX_SEND_TIME: Duration = Duration::from_millis(500);
/// The most bytes that may be accepted for a stalled peer: four frames in the ring, the rest in the
/// sockets' buffers. A ring bounded only by messages would hold 200 MB.
const MAX_ACCEPTED_BYTES: usize = 64 * 1024 * 1024;

#[test_case(100; "many short messages fill the ring")]
#[test_case(200_000; "few long messages fill the ring")]
fn frozen_reader_blocks_neither_sender_nor_control(len: usize) {
    let a = Host::start("entry-1", KEY);
    let listener = TcpListener::bind(LOOPBACK).unwrap();
    let stalled = PeerAddr { host: HostName::new("entry-2"), addr: listener.local_addr().unwrap() };
    let name = stalled.host.clone();
    a.links.set_peers(&[stalled]).unwrap();
    let mut streams = peer_with_stalled_work_link(&listener);
    wait_until("a is connected", || a.links.is_connected(&name));

    let message = call(len);
    let mut slowest = Duration::ZERO;
    let mut accepted = 0;
    wait_until("the stalled link is closed", || {
        for _ in 0..1000 {
            let began = Instant::now();
            accepted += if a.links.send(&name, &message).is_ok() { len } else { 0 };
            slowest = slowest.max(began.elapsed());
        }
        a.dropped(DropCause::ConnectionLost) > 0
    });
    assert!(slowest < MAX_SEND_TIME, "a send took {slowest:?}");
    assert!(accepted < MAX_ACCEPTED_BYTES, "{accepted} bytes were accepted");
    assert!(a.dropped(DropCause::RingFull) > 0);

    a.links.send(&name, &pull(1)).unwrap();
    let mut prefix = [0; LENGTH_BYTES];
    streams[0].set_read_timeout(Some(TIMEOUT)).unwrap();
    streams[0].read_exact(&mut prefix).unwrap();
    let began = Instant::now();
    a.links.stop();
    assert!(began.elapsed() < Duration::from_secs(6), "stop took {:?}", began.elapsed());
}
