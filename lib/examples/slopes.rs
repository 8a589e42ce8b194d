//! Measures how the control cost of one entry host grows with peers, targets, customers and changes.
//!
//! One `Node` runs in virtual time among simulated peers that only send heartbeats. Its messages
//! are encoded as on the wire, and the processor time of its calls is measured.
//!
//! ```text
//! cargo run --release -p wasabicrank-lib --example slopes
//! ```

use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use wasabicrank_lib::coordination::ConfigBody;
use wasabicrank_lib::coordination::ConfigReadResult;
use wasabicrank_lib::coordination::ConfigUpdate;
use wasabicrank_lib::coordination::CustomerUsage;
use wasabicrank_lib::coordination::EngineLoad;
use wasabicrank_lib::coordination::EnginePoll;
use wasabicrank_lib::coordination::EngineStats;
use wasabicrank_lib::coordination::Envelope;
use wasabicrank_lib::coordination::Heartbeat;
use wasabicrank_lib::coordination::Input;
use wasabicrank_lib::coordination::LineEdit;
use wasabicrank_lib::coordination::Node;
use wasabicrank_lib::coordination::NodeSettings;
use wasabicrank_lib::coordination::Output;
use wasabicrank_lib::coordination::PeerMessage;
use wasabicrank_lib::coordination::text_hash;
use wasabicrank_lib::protocol::RulesReader;
use wasabicrank_lib::protocol::encode_message;
use wasabicrank_lib::state::CustomerName;
use wasabicrank_lib::state::Engine;
use wasabicrank_lib::state::EngineName;
use wasabicrank_lib::state::EngineReport;
use wasabicrank_lib::state::EntryHost;
use wasabicrank_lib::state::HostName;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::LiveList;
use wasabicrank_lib::state::ModelName;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::Now;
use wasabicrank_lib::state::TargetState;
use wasabicrank_lib::state::Tuning;
use wasabicrank_lib::state::WallTime;
use wasabicrank_lib::state::ZoneName;

/// The bytes of a frame in addition to its message: length, header and tag.
const FRAME_BYTES: usize = 80;

/// The virtual time between two ticks.
const TICK: Duration = Duration::from_millis(10);

/// The virtual time before the measurement starts.
const SETTLE: Duration = Duration::from_secs(4);

/// The virtual duration of the measurement.
const SPAN: Duration = Duration::from_secs(10);

/// The zones, to which hosts and targets are assigned in turn.
const ZONES: [&str; 3] = ["a", "b", "c"];

/// The environment of the entry host.
#[derive(Debug, Clone, Copy)]
struct Size {
    peers: usize,
    targets: usize,
    customers: usize,
    /// Customers that send through each host at a time.
    active: usize,
    /// Configuration changes in the measured time.
    changes: usize,
}

/// Today's size.
const TODAY: Size = Size { peers: 5, targets: 16, customers: 10, active: 10, changes: 0 };

/// The entry host's cost per second of virtual time.
#[derive(Debug, Clone, Copy)]
struct Cost {
    /// The processor time, in microseconds.
    micros: f64,
    /// The bytes sent.
    sent: f64,
    /// The bytes received.
    received: f64,
    /// The memory that the core grew by, in KiB.
    memory: u64,
}

/// One entry host with its environment.
struct Bench {
    size: Size,
    node: Node,
    now: Now,
    beat: u64,
    version: u64,
    lines: Vec<String>,
    cost: Cost,
    busy: Duration,
    inbox: Vec<Input>,
}

impl Bench {
    fn new(size: Size) -> Bench {
        let before = resident();
        let now = Now { mono: Moment(0), wall: WallTime(1_700_000_000_000) };
        let settings = NodeSettings {
            host: host(0),
            zone: zone(0),
            incarnation: Incarnation(1),
            rng_seed: 1,
            tuning: Tuning::default(),
            seed_peers: Vec::new(),
            rules_parser: Box::new(RulesReader),
        };
        let node = Node::new(now, settings);
        let cost = Cost { micros: 0.0, sent: 0.0, received: 0.0, memory: before };
        let lines = rules(size.customers);
        let (busy, inbox) = (Duration::ZERO, Vec::new());
        let mut bench = Bench { size, node, now, beat: 0, version: 1, lines, cost, busy, inbox };
        bench.give(Input::LiveListRead(Ok(Some(live_list(size)))));
        let text: Arc<str> = bench.lines.concat().into();
        bench.give(Input::ConfigRead(ConfigReadResult::Value { version: 1, text }));
        bench
    }

    fn give(&mut self, input: Input) {
        let start = Instant::now();
        let outputs = self.node.handle(self.now, input);
        self.busy += start.elapsed();
        for output in outputs {
            match output {
                Output::Send { message, .. } => self.cost.sent += bytes(&message),
                Output::PollEngine { engine, .. } => self.inbox.push(polled(engine)),
                _ => {}
            }
        }
    }

    fn run(&mut self, span: Duration, changes: usize) {
        let ticks = span.as_millis() / TICK.as_millis();
        let every = if changes > 0 { ticks / changes as u128 } else { u128::MAX };
        for tick in 0..ticks {
            self.now.mono = self.now.mono + TICK;
            self.now.wall.0 += 10;
            self.give(Input::Tick);
            for input in std::mem::take(&mut self.inbox) {
                self.give(input);
            }
            if tick % 20 == 0 {
                self.beat += 1;
                for peer in 1..self.size.peers {
                    self.hear(peer, PeerMessage::Heartbeat(Box::new(self.heartbeat(peer))));
                }
            }
            if tick % every == every - 1 {
                self.change();
            }
        }
    }

    fn hear(&mut self, peer: usize, message: PeerMessage) {
        self.cost.received += bytes(&message);
        let incarnation = Incarnation(peer as u64 + 1);
        self.give(Input::Peer(Envelope { from: host(peer), incarnation, message }));
    }

    /// Delivers the next configuration as a delta of one line, as a peer would.
    fn change(&mut self) {
        let base = text_hash(&self.lines.concat());
        let at = self.version as usize % self.size.customers;
        self.lines[at] = customer(at, 1_000 + self.version);
        self.version += 1;
        let text = self.lines.concat();
        let insert = vec![self.lines[at].trim_end().to_owned()];
        let edits = vec![LineEdit { at: at as u32, remove: 1, insert }];
        let body = ConfigBody::Delta { base, edits };
        let (version, hash) = (self.version, text_hash(&text));
        self.hear(1, PeerMessage::Config(Box::new(ConfigUpdate { version, hash, body })));
    }

    fn heartbeat(&self, peer: usize) -> Heartbeat {
        // As in the core, loads are sent with every third heartbeat.
        let share = match self.beat.is_multiple_of(3) {
            true => self.size.targets / self.size.peers,
            false => 0,
        };
        let engines = (0..share).map(|index| load(peer * share + index, self.beat));
        let usage = (0..self.size.active.min(self.size.customers)).map(|index| CustomerUsage {
            customer: CustomerName::new(format!("customer-{index}")),
            demand: 10_000 + self.beat as u32 % 100,
            in_flight: 3,
        });
        Heartbeat {
            beat: self.beat,
            clock: self.now.wall.0 * 1_000,
            config: self.version,
            config_hash: 7,
            list: 1,
            engines: engines.collect(),
            usage: usage.collect(),
            ..Heartbeat::default()
        }
    }
}

/// Measures one size.
fn measure(size: Size) -> Cost {
    let mut bench = Bench::new(size);
    bench.run(SETTLE, 0);
    bench.cost = Cost { sent: 0.0, received: 0.0, ..bench.cost };
    bench.busy = Duration::ZERO;
    bench.run(SPAN, size.changes);
    let seconds = SPAN.as_secs_f64();
    Cost {
        micros: bench.busy.as_secs_f64() * 1e6 / seconds,
        sent: bench.cost.sent / seconds,
        received: bench.cost.received / seconds,
        memory: resident().saturating_sub(bench.cost.memory),
    }
}

fn bytes(message: &PeerMessage) -> f64 {
    let encoded = encode_message(message).map_or(0, |bytes| bytes.len());
    (encoded + FRAME_BYTES) as f64
}

fn host(index: usize) -> HostName {
    HostName::new(format!("entry-{index}"))
}

fn zone(index: usize) -> ZoneName {
    ZoneName::new(ZONES[index % ZONES.len()])
}

fn engine(index: usize) -> EngineName {
    EngineName::new(format!("engine-{index}"))
}

fn addr(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (index / 250) as u8, (index % 250) as u8], 8_000))
}

fn live_list(size: Size) -> LiveList {
    let hosts = (0..size.peers).map(|index| EntryHost {
        name: host(index),
        zone: zone(index),
        peer_addr: addr(index),
    });
    let engines = (0..size.targets).map(|index| Engine {
        name: engine(index),
        zone: zone(index),
        addr: addr(index),
        memory: 400_000,
        fenced: true,
        state: TargetState::Live,
    });
    LiveList {
        version: 1,
        entry_hosts: hosts.collect(),
        engines: engines.collect(),
        services: Vec::new(),
    }
}

fn load(index: usize, beat: u64) -> EngineLoad {
    EngineLoad {
        engine: engine(index),
        short_tokens: 3_000 + beat as u32 % 100,
        long_tokens: 40_000,
        level_tokens: [500, 1_000, 1_500, 0, 40_000],
        requests: 9,
        held: 200_000,
        memory: 400_000,
        prefill_rate: 20_000,
        decode_rate: 60_000,
        healthy: true,
        models: vec![ModelName::new("assist")],
    }
}

fn polled(engine: EngineName) -> Input {
    let stats = EngineStats {
        age: Duration::from_millis(10),
        prefill_rate: 20_000,
        report: EngineReport::default(),
    };
    Input::EnginePolled(EnginePoll {
        engine,
        listing: Some(Vec::new()),
        stats: Some(stats),
        cache: Vec::new(),
        refused: false,
    })
}

fn customer(index: usize, rate: u64) -> String {
    let token = blake3::hash(&index.to_le_bytes()).to_hex();
    format!("customer customer-{index} token blake3:{token} rate {rate}/s  # Jo\n")
}

fn rules(customers: usize) -> Vec<String> {
    let mut lines: Vec<String> = (0..customers).map(|index| customer(index, 20_000)).collect();
    lines.push("model assist revision 1  # Ann\n".to_owned());
    lines
}

/// Returns this process's resident memory, in KiB.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|pages| pages.parse::<u64>().ok());
    pages.unwrap_or(0) * 4
}

fn row(name: &str, at: usize, size: Size) {
    let cost = measure(size);
    println!(
        "{name},{at},{:.0},{:.0},{:.0},{}",
        cost.micros, cost.sent, cost.received, cost.memory
    );
}

fn main() {
    println!("dimension,size,cpu_us_per_s,sent_bytes_per_s,received_bytes_per_s,memory_kib");
    row("today", 5, TODAY);
    // A cell of the design size, with the use of customers that all of it serves.
    for active in [0, 10, 100] {
        row("cell", active, Size { peers: 10, targets: 118, customers: 1_000, active, changes: 7 });
    }
    for peers in [5, 20, 80] {
        row("peers", peers, Size { peers, targets: 160, ..TODAY });
    }
    for targets in [16, 160, 1_600] {
        row("targets", targets, Size { targets, ..TODAY });
    }
    for customers in [10, 1_000, 5_000] {
        row("customers", customers, Size { customers, ..TODAY });
    }
    for active in [10, 100, 1_000] {
        row("active customers", active, Size { customers: 1_000, active, ..TODAY });
    }
    for changes in [0, 10, 100] {
        row("changes in 10 s", changes, Size { customers: 1_000, changes, ..TODAY });
    }
}
