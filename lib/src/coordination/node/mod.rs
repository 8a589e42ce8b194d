//! The core of an entry host: a deterministic state machine, `Node`, that takes inputs and returns
//! outputs.
//!
//! `Node` reads no clock, opens no socket and starts no thread. The daemon drives it in real time;
//! tests drive the same type with simulated clocks and messages.

mod attempt_events;
mod calls;
mod completions;
mod control;
mod dispatch;
mod groups;
mod io;
mod leaving;
mod orders;
mod running;
mod status;
mod successor;

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use io::*;
pub use status::*;

use crate::coordination::ConfigSync;
use crate::coordination::HomeSettings;
use crate::coordination::Homes;
use crate::coordination::Members;
use crate::coordination::PeerMessage;
use crate::coordination::RulesParser;
use crate::coordination::Targets;
use crate::state::CustomerLimits;
use crate::state::CustomerName;
use crate::state::EngineLoad;
use crate::state::EngineName;
use crate::state::Event;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::LiveList;
use crate::state::Moment;
use crate::state::Now;
use crate::state::Placer;
use crate::state::PlacerSettings;
use crate::state::RequestId;
use crate::state::RetryBudget;
use crate::state::Rules;
use crate::state::Tuning;
use crate::state::ZoneName;
use calls::CallTable;
use control::ControlState;
use dispatch::DispatchTable;
use orders::OrderSender;
use running::CompletionTable;

/// Parameters of a `Node`.
pub struct NodeSettings {
    /// Name of this entry host in the live list.
    pub host: HostName,
    /// Availability zone of this entry host.
    pub zone: ZoneName,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Seed of the random number generator.
    pub rng_seed: u64,
    /// Timeouts, intervals and limits from the settings.
    pub tuning: Tuning,
    /// Peers to request the live list from while none is known.
    pub seed_peers: Vec<PeerAddr>,
    /// Parser and validator for the text of a configuration.
    pub rules_parser: Box<dyn RulesParser + Send>,
}

/// Core state machine of one entry host.
pub struct Node {
    host: HostName,
    zone: ZoneName,
    incarnation: Incarnation,
    tuning: Tuning,
    rng: SmallRng,
    rules: Arc<Rules>,
    token_customers: HashMap<[u8; 8], CustomerName>,
    list: LiveList,
    members: Members,
    targets: Targets,
    /// Addresses of the targets that take new work; recomputed when an observation or its expiry
    /// changes the health of a target.
    usable_targets: HashSet<SocketAddr>,
    config: ConfigSync,
    homes: Homes,
    control: ControlState,
    placer: Placer,
    /// Latest load report of each engine, from this host or from the engine's dispatcher.
    loads: BTreeMap<EngineName, EngineLoad>,
    limits: CustomerLimits,
    retries: RetryBudget,
    running: CompletionTable,
    calls: CallTable,
    dispatch: DispatchTable,
    orders: OrderSender,
    leaving: leaving::LeavingServices,
    seq: u64,
    outputs: Vec<Output>,
}

impl Node {
    /// Creates the core of a newly started process, with no live list and no configuration.
    pub fn new(now: Now, settings: NodeSettings) -> Node {
        let NodeSettings { host, zone, incarnation, rng_seed, tuning, seed_peers, rules_parser } =
            settings;
        let mut rng = SmallRng::seed_from_u64(rng_seed);
        let homes = HomeSettings {
            lease: tuning.lease,
            clock_skew: tuning.clock_skew,
            claim_life: tuning.claim_life,
            ..HomeSettings::default()
        };
        Node {
            members: Members::new(host.clone(), zone.clone(), tuning.suspect, now.mono),
            targets: Targets::new(host.clone()),
            config: ConfigSync::new(rules_parser, rng.random(), now.mono),
            homes: Homes::new(host.clone(), incarnation, homes, rng.random(), now),
            control: ControlState::new(seed_peers, now.mono),
            placer: Placer::new(PlacerSettings::default(), zone.clone(), rng.random()),
            loads: BTreeMap::new(),
            limits: CustomerLimits::new(),
            retries: RetryBudget::new(now.mono),
            running: CompletionTable::default(),
            calls: CallTable::default(),
            usable_targets: HashSet::new(),
            dispatch: DispatchTable::default(),
            orders: OrderSender::new(now.mono, tuning.weight_loads),
            leaving: leaving::LeavingServices::default(),
            rules: Arc::default(),
            token_customers: HashMap::new(),
            list: LiveList::default(),
            seq: 0,
            outputs: Vec::new(),
            host,
            zone,
            incarnation,
            tuning,
            rng,
        }
    }

    /// Processes one input and returns the resulting outputs in order.
    pub fn handle(&mut self, now: Now, input: Input) -> Vec<Output> {
        match input {
            Input::Tick => self.on_tick(now),
            Input::Peer(envelope) => self.on_peer_message(now, envelope),
            Input::Completion { caller, request } => self.on_completion(now.mono, caller, *request),
            Input::Call { caller, request } => self.on_call(now, caller, *request),
            Input::CallerGone(caller) => self.on_caller_gone(now.mono, caller),
            Input::Stream(report) => self.on_stream(now.mono, report),
            Input::EnginePolled(poll) => self.on_engine_polled(now.mono, poll),
            Input::CallEnded(report) => self.on_call_ended(now, report),
            Input::ConfigRead(read) => self.on_config_read(now, read),
            Input::LiveListRead(read) => self.on_live_list_read(now, read),
            Input::OrderEnded(report) => self.on_order_ended(now.mono, report),
            Input::Stop => self.on_stop(now),
        }
        self.poll_queues(now.mono);
        std::mem::take(&mut self.outputs)
    }

    /// Returns the identifier for the next request.
    fn next_id(&mut self) -> RequestId {
        self.seq += 1;
        RequestId { origin: self.incarnation, seq: self.seq }
    }

    fn emit(&mut self, output: Output) {
        self.outputs.push(output);
    }

    fn record(&mut self, event: Event) {
        self.outputs.push(Output::RecordEvent(event));
    }

    fn send(&mut self, to: &HostName, message: PeerMessage) {
        self.outputs.push(Output::Send { to: to.clone(), message });
    }

    fn answer(&mut self, caller: CallerId, piece: AnswerPiece) {
        self.outputs.push(Output::Answer { caller, piece });
    }

    /// Returns the customer whose token has this hash. The hashes are compared in constant time.
    fn customer_of(&self, hash: Option<[u8; 32]>) -> Option<CustomerName> {
        use subtle::ConstantTimeEq;
        let hash = hash?;
        let name = self.token_customers.get(&token_index(&hash))?;
        let rule = self.rules.customers.get(name)?;
        bool::from(rule.token_hash.ct_eq(&hash)).then(|| name.clone())
    }

    /// Makes an accepted configuration the current one.
    fn apply_rules(&mut self, now: Moment, rules: Arc<Rules>) {
        self.token_customers = rules
            .customers
            .iter()
            .map(|(name, rule)| (token_index(&rule.token_hash), name.clone()))
            .collect();
        self.limits.set_rules(&rules.customers);
        self.rules = rules;
        self.refresh_dispatch(now);
    }
}

/// Returns the prefix of a token's hash that indexes `Node::token_customers`.
fn token_index(hash: &[u8; 32]) -> [u8; 8] {
    let mut index = [0; 8];
    index.copy_from_slice(&hash[..8]);
    index
}
