//! The messages between entry hosts, in the types of the core.
//!
//! The protocol layer converts them to and from wire types; no type here is serialized directly.

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

/// A message with its sender, which its authentication tag has verified.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// The sending entry host.
    pub from: HostName,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// The message.
    pub message: PeerMessage,
}

/// A message from one entry host to another.
#[derive(Debug, Clone, PartialEq)]
pub enum PeerMessage {
    /// A periodic report to every peer.
    Heartbeat(Box<Heartbeat>),
    /// Asks the dispatcher of an engine for permission to start an attempt there.
    Ask(Box<StartRequest>),
    /// Grants permission to start an attempt.
    Grant(Grant),
    /// Denies permission to start an attempt; the attempt did not and will not run.
    Deny(Denial),
    /// Withdraws a start request or an unused grant.
    Withdraw(AttemptRef),
    /// Reports to the dispatcher that prefill has ended and tokens are streaming.
    FirstToken(FirstToken),
    /// Reports to the dispatcher that the attempt no longer holds resources on the engine.
    Finished(Finished),
    /// Messages about the leases on shards of idempotency keys.
    Lease(LeaseMessage),
    /// Forwards a non-idempotent call to the home of its key.
    Forward(Box<ForwardedCall>),
    /// Answers a forwarded call.
    Answer(Box<CallAnswer>),
    /// Requests a configuration newer than `have`.
    ConfigPull(ConfigPull),
    /// Carries a configuration, whole or as a delta.
    Config(Box<ConfigUpdate>),
    /// Reports a target that was seen leaving or refusing connections.
    TargetSeen(TargetSeen),
    /// Requests the live list, for a host that gets no reply from the platform.
    ListPull(ListPull),
    /// Carries the live list.
    List(Box<LiveList>),
}

impl PeerMessage {
    /// Returns whether the message is about the fleet rather than about a single request.
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

/// Requests a live list newer than `have`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPull {
    /// The version in use at the sender; zero if none.
    pub have: u64,
}

/// The periodic report of an entry host.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Heartbeat {
    /// The sequence number of the heartbeat within this incarnation.
    pub beat: u64,
    /// The sender's hybrid logical clock, in microseconds since the Unix epoch.
    pub clock: u64,
    /// The version of the configuration in force at the sender; zero if none.
    pub config: u64,
    /// The hash of that configuration's text.
    pub config_hash: u64,
    /// The version of the live list that the sender uses; zero if none.
    pub list: u64,
    /// Whether the sender is stopping and accepts no new work.
    pub stopping: bool,
    /// The load of each engine that the sender dispatches for.
    pub engines: Vec<EngineLoad>,
    /// The usage of each active customer at the sender.
    pub usage: Vec<CustomerUsage>,
    /// The sender's own sightings of targets that are gone, leaving or live again.
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
    /// Requests leases on `shards` from a voter. `round` matches the reply to the request, `list`
    /// is the version of the sender's live list, and `sets` are the hashes of the voter sets of
    /// which the sender needs majorities, oldest first. Without shards it only announces the sets.
    Request { round: u64, list: u64, sets: Vec<u64>, shards: Vec<u16> },
    /// A voter's reply with the shards that it grants to the requester. `handed` are those among
    /// them whose previous holder, among this voter's grants, named the requester as its successor.
    Grant { round: u64, list: u64, sets: Vec<u64>, shards: Vec<u16>, handed: Vec<u16> },
    /// Releases what the sender was granted in rounds up to `round`, so that another process can
    /// obtain it at once; if a successor is named, only that process until the grant expires.
    Release { round: u64, shards: Vec<u16>, successor: Option<Process> },
    /// Hands the claims of a shard over to its next holder during a planned stop.
    HandOver(Box<HandOver>),
    /// Confirms receipt of the claims of a shard.
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

/// The claims of one shard, sent to its next holder.
#[derive(Debug, Clone, PartialEq)]
pub struct HandOver {
    /// Matches the confirmation to this message.
    pub round: u64,
    /// The shard.
    pub shard: u16,
    /// The sender does not know the calls of keys created before this wall time, in milliseconds.
    pub known_since: u64,
    /// The sender's claims.
    pub claims: Vec<ClaimRecord>,
}

/// A home's claim of one key.
#[derive(Debug, Clone, PartialEq)]
pub struct ClaimRecord {
    /// The key.
    pub key: CallKey,
    /// The hash of the call that it was first used for.
    pub call_hash: u64,
    /// The state of the call.
    pub state: ClaimState,
}

/// The state of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum ClaimState {
    /// It was sent or is about to be sent; no other process may send it.
    Running,
    /// It ran, and the service replied with this.
    Done(ServiceReply),
    /// It never ran and never will.
    Refused(Reason),
    /// It may have run; no process may send it.
    Unknown,
}

/// A non-idempotent call, forwarded to the home of its key.
#[derive(Debug, Clone, PartialEq)]
pub struct ForwardedCall {
    /// The call; its deadline is meaningless in another process.
    pub call: ServiceCall,
    /// The time left until its deadline.
    pub time_left: Duration,
}

/// The home's answer to a forwarded call.
#[derive(Debug, Clone, PartialEq)]
pub struct CallAnswer {
    /// The request identifier assigned by the forwarding entry host.
    pub request: RequestId,
    /// The result.
    pub result: Result<ServiceReply, Refusal>,
}

/// Requests a configuration newer than the one in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigPull {
    /// The version in force at the sender; zero if none.
    pub have: u64,
    /// The hash of its text.
    pub have_hash: u64,
}

/// A configuration sent to a peer.
#[derive(Debug, Clone, PartialEq)]
pub struct ConfigUpdate {
    /// The version.
    pub version: u64,
    /// The hash of the whole text.
    pub hash: u64,
    /// The text, or the edits that turn a text of the receiver into it.
    pub body: ConfigBody,
}

/// The text of a configuration, whole or as line edits.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigBody {
    /// The whole text.
    Whole(Arc<str>),
    /// Line edits to the text with hash `base`, in order of position.
    Delta { base: u64, edits: Vec<LineEdit> },
}

/// Replaces `remove` lines, starting at the zero-based line `at` of the old text, with `insert`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineEdit {
    /// The position of the first replaced line.
    pub at: u32,
    /// The number of replaced lines.
    pub remove: u32,
    /// The new lines.
    pub insert: Vec<String>,
}

/// The state of a target as one entry host observed it on its own connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetSeen {
    /// The target's address as text, which identifies it uniquely.
    pub target: String,
    /// The observed state; `None` is a refused connection or no response.
    pub state: Option<TargetState>,
    /// The number of the sighting, which only increases within the sender's incarnation.
    pub sighting: u64,
}

/// Creates a refusal as sent between peers, separate from the caller's JSON.
pub fn refusal(outcome: Outcome, reason: Reason, retry_after: Option<Duration>) -> Refusal {
    Refusal { outcome, reason, retry_after }
}
