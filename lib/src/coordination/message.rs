//! What entry hosts say to each other, in the core's own types.
//!
//! The protocol layer turns these into wire types and back; nothing here is serialised as it is.

use std::sync::Arc;
use std::time::Duration;

use crate::state::AttemptId;
use crate::state::CallKey;
pub use crate::state::CustomerUsage;
pub use crate::state::Denial;
pub use crate::state::EngineLoad;
use crate::state::EngineName;
pub use crate::state::Finished;
pub use crate::state::FirstToken;
pub use crate::state::Grant;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::LiveList;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::ServiceCall;
use crate::state::ServiceReply;
pub use crate::state::StartRequest;
use crate::state::TargetState;

/// A message with the sender that its authentication tag proved.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The sending entry host.
    pub from: HostName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: PeerMessage,
}

/// Everything that one entry host says to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// A periodic report to every peer.
    Heartbeat(Box<Heartbeat>),
    /// Asks the dispatcher of an engine for leave to start an attempt there.
    Ask(Box<StartRequest>),
    /// Gives leave to start an attempt.
    Grant(Grant),
    /// Refuses leave to start an attempt; the attempt did not and will not run.
    Deny(Denial),
    /// Takes an ask or an unused grant back.
    Withdraw(AttemptRef),
    /// Tells the dispatcher that prefill is over and tokens flow.
    FirstToken(FirstToken),
    /// Tells the dispatcher that the attempt holds nothing on the engine any more.
    Finished(Finished),
    /// Messages about the leases on shards of idempotency keys.
    Lease(LeaseMessage),
    /// Forwards a non-idempotent call to the home of its key.
    Forward(Box<ForwardedCall>),
    /// Answers a forwarded call.
    Answer(Box<CallAnswer>),
    /// Asks for the configuration that follows `have`.
    ConfigPull(ConfigPull),
    /// Brings a configuration, whole or as a delta.
    Config(Box<ConfigUpdate>),
    /// Tells that a target was seen leaving or refusing connections.
    TargetSeen(TargetSeen),
    /// Asks for the live list, for a host that the platform does not answer.
    ListPull(ListPull),
    /// Brings the live list.
    List(Box<LiveList>),
}

impl PeerMessage {
    /// Tells whether the message is about the fleet rather than about one request.
    pub fn is_control(&self) -> bool {
        match self {
            PeerMessage::Heartbeat(_) | PeerMessage::Lease(_) | PeerMessage::TargetSeen(_) => true,
            PeerMessage::ConfigPull(_) | PeerMessage::Config(_) => true,
            PeerMessage::ListPull(_) | PeerMessage::List(_) => true,
            PeerMessage::Ask(_) | PeerMessage::Grant(_) | PeerMessage::Deny(_) => false,
            PeerMessage::Withdraw(_) | PeerMessage::FirstToken(_) => false,
            PeerMessage::Finished(_) | PeerMessage::Forward(_) | PeerMessage::Answer(_) => false,
        }
    }
}

/// Asks for a live list newer than `have`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPull {
    /// The version in use at the sender; zero is none.
    pub have: u64,
}

/// The periodic report of an entry host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Heartbeat {
    /// Counts up with each heartbeat of this incarnation.
    pub beat: u64,
    /// The sender's hybrid logical clock, in microseconds since the Unix epoch.
    pub clock: u64,
    /// The version of the configuration in force at the sender; zero is none.
    pub config: u64,
    /// The hash of that configuration's text.
    pub config_hash: u64,
    /// The version of the live list that the sender uses; zero is none.
    pub list: u64,
    /// Whether the sender is stopping and takes no new work.
    pub stopping: bool,
    /// The load of each engine that the sender dispatches for.
    pub engines: Vec<EngineLoad>,
    /// What each active customer used at the sender.
    pub usage: Vec<CustomerUsage>,
    /// Targets that the sender itself sees as gone or leaving.
    pub targets: Vec<TargetSeen>,
    /// The shards of keys on which the sender holds a valid lease.
    pub shards: Vec<u16>,
}

/// Names an attempt on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AttemptRef {
    /// The attempt.
    pub attempt: AttemptId,
    /// The engine.
    pub engine: EngineName,
}

/// Messages about leases on shards of idempotency keys.
#[derive(Debug, Clone, PartialEq)]
pub enum LeaseMessage {
    /// Asks a voter for leases on `shards`; `round` pairs the reply with the ask, `list` is the
    /// version of the sender's live list and `sets` the hashes of the entry-host sets of which it
    /// needs a majority, oldest first. Without shards it only tells of the sets.
    Request { round: u64, list: u64, sets: Vec<u64>, shards: Vec<u16> },
    /// A voter's reply: the shards that it grants to the asker. `handed` are those among them whose
    /// holder before the asker, as far as this voter granted, named the asker its successor.
    Grant { round: u64, list: u64, sets: Vec<u64>, shards: Vec<u16>, handed: Vec<u16> },
    /// Gives up what the sender was granted in rounds up to `round`, so that another can have it at
    /// once; with a successor, only that process before the grant would have lapsed.
    Release { round: u64, shards: Vec<u16>, successor: Option<Process> },
    /// Hands the claims of a shard over to a new holder during a planned stop.
    HandOver(Box<HandOver>),
    /// Confirms that the claims of a shard arrived.
    HandOverDone { round: u64, shard: u16 },
}

/// One process of an entry host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Process {
    /// Its entry host.
    pub host: HostName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// The claims of one shard on their way to a new holder.
#[derive(Debug, Clone, PartialEq)]
pub struct HandOver {
    /// Pairs the confirmation with this message.
    pub round: u64,
    /// The shard.
    pub shard: u16,
    /// Keys made before this wall time, in milliseconds, are unknown to the sender.
    pub known_since: u64,
    /// What the sender knows of each key.
    pub claims: Vec<ClaimRecord>,
}

/// What a home knows of one key.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimRecord {
    /// The key.
    pub key: CallKey,
    /// The hash of the call that it was first used for.
    pub call_hash: u64,
    /// What became of it.
    pub state: ClaimState,
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimState {
    /// It was sent or is about to be; nothing else may send it.
    Running,
    /// It ran, and this was the answer.
    Done(ServiceReply),
    /// It never ran and never will.
    Refused(Reason),
    /// It may have run; nothing else may send it.
    Unknown,
}

/// A non-idempotent call on its way to the home of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedCall {
    /// The call; its deadline is not meaningful across processes.
    pub call: ServiceCall,
    /// The time left until its deadline.
    pub time_left: Duration,
}

/// The home's answer to a forwarded call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallAnswer {
    /// The request, as the forwarding entry host named it.
    pub request: RequestId,
    /// The result.
    pub result: Result<ServiceReply, Refusal>,
}

/// Asks for the configuration that follows the one in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigPull {
    /// The version in force at the sender; zero is none.
    pub have: u64,
    /// The hash of its text.
    pub have_hash: u64,
}

/// A configuration on its way to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigUpdate {
    /// The version.
    pub version: u64,
    /// The hash of the whole text.
    pub hash: u64,
    /// The text or how to make it from the one that the receiver has.
    pub body: ConfigBody,
}

/// The text of a configuration, whole or as line edits.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigBody {
    /// The whole text.
    Whole(Arc<str>),
    /// Line edits against the text with hash `base`, in order of their place.
    Delta { base: u64, edits: Vec<LineEdit> },
}

/// Replaces `remove` lines from line `at` (from zero, in the old text) by `insert`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineEdit {
    /// The first line replaced.
    pub at: u32,
    /// How many lines are replaced.
    pub remove: u32,
    /// What stands there instead.
    pub insert: Vec<String>,
}

/// What one entry host saw of a target with its own connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSeen {
    /// The target's address as text, which names it uniquely.
    pub target: String,
    /// What was seen; `None` is a refused connection or silence.
    pub state: Option<TargetState>,
    /// The sender's incarnation-local number of the sighting; it only rises.
    pub sighting: u64,
}

/// A refusal as a peer tells it, kept apart from the caller's JSON.
pub fn refusal(outcome: Outcome, reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal { outcome, reason, retry_after }
}
