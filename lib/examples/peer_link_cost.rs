//! Measures the cost of peer messages: bytes and processor time by the size of a heartbeat, and the
//! number of short messages per second over one link.
//!
//! ```text
//! cargo run --release -p wasabicrank-lib --example peer_link_cost
//! ```

use std::error::Error;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crossbeam_channel::Receiver;
use crossbeam_channel::bounded;
use slog::Discard;
use slog::Logger;
use slog::o;
use wasabicrank_lib::coordination::AttemptRef;
use wasabicrank_lib::coordination::CustomerUsage;
use wasabicrank_lib::coordination::EngineLoad;
use wasabicrank_lib::coordination::Envelope;
use wasabicrank_lib::coordination::Heartbeat;
use wasabicrank_lib::coordination::PeerAddr;
use wasabicrank_lib::coordination::PeerMessage;
use wasabicrank_lib::protocol::FleetKey;
use wasabicrank_lib::protocol::FrameListener;
use wasabicrank_lib::protocol::FrameSender;
use wasabicrank_lib::protocol::LENGTH_BYTES;
use wasabicrank_lib::protocol::LinkKind;
use wasabicrank_lib::protocol::NONCE_BYTES;
use wasabicrank_lib::protocol::Nonce;
use wasabicrank_lib::protocol::Sender;
use wasabicrank_lib::protocol::decode_message;
use wasabicrank_lib::protocol::encode_message;
use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::CustomerName;
use wasabicrank_lib::state::EngineName;
use wasabicrank_lib::state::HostName;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::ModelName;
use wasabicrank_lib::state::RequestId;
use wasabicrank_lib::state::WallTime;
use wasabicrank_lib::transport::PeerLinks;
use wasabicrank_lib::transport::PeerLinksSettings;

const KEY: [u8; 32] = [7; 32];
const MAX_FRAME: usize = 1024 * 1024;
const ROUNDS: u32 = 2_000;
const LINK_MESSAGES: usize = 500_000;

/// The size of a heartbeat.
struct Size {
    engines: usize,
    customers: usize,
}

const SIZES: [Size; 6] = [
    Size { engines: 0, customers: 0 },
    Size { engines: 4, customers: 10 },
    Size { engines: 16, customers: 10 },
    Size { engines: 64, customers: 10 },
    Size { engines: 4, customers: 100 },
    Size { engines: 4, customers: 1000 },
];

fn main() -> Result<(), Box<dyn Error>> {
    println!("engines,customers,frame_bytes,send_us,receive_us");
    for size in &SIZES {
        measure_heartbeat(size)?;
    }
    let rate = measure_link()?;
    println!("one link: {rate:.0} short messages a second");
    Ok(())
}

fn heartbeat(size: &Size) -> PeerMessage {
    let engine = |index: usize| EngineLoad {
        engine: EngineName::new(format!("engine-{index:05}")),
        short_tokens: 4_000,
        long_tokens: 200_000,
        level_tokens: [100, 3_900, 0, 0, 200_000],
        requests: 12,
        held: 300_000,
        memory: 480_000,
        prefill_rate: 20_000,
        decode_rate: 40_000,
        healthy: true,
        models: vec![ModelName::new("assist")],
    };
    let usage = |index: usize| CustomerUsage {
        customer: CustomerName::new(format!("customer-{index:05}")),
        demand: 9_000,
        in_flight: 5,
    };
    PeerMessage::Heartbeat(Box::new(Heartbeat {
        beat: 100_000,
        clock: 1_750_000_000_000_000,
        config: 59_000,
        config_hash: u64::MAX,
        list: 700,
        engines: (0..size.engines).map(engine).collect(),
        usage: (0..size.customers).map(usage).collect(),
        shards: (0..4).collect(),
        ..Heartbeat::default()
    }))
}

/// Prints the size of a heartbeat's frame, the time to encode and seal it, and the time to open and
/// decode it.
fn measure_heartbeat(size: &Size) -> Result<(), Box<dyn Error>> {
    let message = heartbeat(size);
    let (host, receiver) = (HostName::new("entry-1"), HostName::new("entry-2"));
    let sender = Sender { host, incarnation: Incarnation(1), started: WallTime(1) };
    let (key, nonce) = (FleetKey::new(KEY), Nonce([1; NONCE_BYTES]));
    let mut out = FrameSender::new(&key, sender, &receiver, nonce);
    let hello = out.hello(LinkKind::Control, nonce)?;
    let listener = FrameListener::new(&key, &receiver, nonce);
    let (_, mut inward) = listener.accept(&hello[LENGTH_BYTES..])?;
    let began = Instant::now();
    let mut frames = Vec::new();
    for _ in 0..ROUNDS {
        frames.push(out.seal(&encode_message(black_box(&message))?)?);
    }
    let send = began.elapsed() / ROUNDS;
    let began = Instant::now();
    for frame in &frames {
        black_box(decode_message(inward.open(&frame[LENGTH_BYTES..])?, MAX_FRAME)?);
    }
    let receive = began.elapsed() / ROUNDS;
    let Size { engines, customers } = size;
    let micros = |span: Duration| span.as_secs_f64() * 1e6;
    let (send, receive) = (micros(send), micros(receive));
    println!("{engines},{customers},{},{send:.1},{receive:.1}", frames[0].len());
    Ok(())
}

/// Returns how many short messages per second go from one entry host to another over loopback.
fn measure_link() -> Result<f64, Box<dyn Error>> {
    let (sink, inbox) = bounded(4096);
    let target = start("entry-2", move |envelope| drop(sink.send(envelope)))?;
    let source = start("entry-1", drop)?;
    let addr = target.local_addr();
    let host = HostName::new("entry-2");
    source.set_peers(&[PeerAddr { host: host.clone(), addr }])?;
    while !source.is_connected(&host) {
        thread::sleep(Duration::from_millis(1));
    }
    let reader = thread::spawn(move || count(&inbox));
    let request = RequestId { origin: Incarnation(u64::MAX), seq: 1_000_000 };
    let attempt = AttemptId { request, number: 1 };
    let message =
        PeerMessage::Withdraw(AttemptRef { attempt, engine: EngineName::new("engine-1") });
    let began = Instant::now();
    for _ in 0..LINK_MESSAGES {
        while source.send(&host, &message).is_err() {
            thread::yield_now();
        }
    }
    let received = reader.join().map_err(|_| "the reader stopped early")?;
    let rate = received as f64 / began.elapsed().as_secs_f64();
    source.stop();
    target.stop();
    Ok(rate)
}

fn count(inbox: &Receiver<Envelope>) -> usize {
    inbox.iter().take(LINK_MESSAGES).count()
}

fn start(
    name: &str,
    inbox: impl Fn(Envelope) + Send + Clone + 'static,
) -> Result<PeerLinks, Box<dyn Error>> {
    let settings = PeerLinksSettings {
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        host: HostName::new(name),
        incarnation: Incarnation(1),
        key: KEY,
        max_frame: MAX_FRAME,
        ring_size: 4096,
    };
    Ok(PeerLinks::start(settings, inbox, Logger::root(Discard, o!()))?)
}
