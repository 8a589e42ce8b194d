//! The state that entry hosts send each other, and what of it each receiver needs.

use std::net::Ipv4Addr;
use std::time::Duration;

use super::ColdNews;
use super::CrashNews;
use super::LimitNews;
use super::ZoneNews;
use crate::state::ServerLoad;
use crate::state::SourcePoint;

/// One in this many messages to a peer lists all live hosts; the others list only that peer.
pub(crate) const FULL_KNOWN_PERIOD: u64 = 17;
/// The most hosts of other cells that one message mentions: to a host that knows few others, and to all
/// others.
pub(crate) const MAX_MENTIONS: usize = 400;
pub(crate) const MENTION_SAMPLE: usize = 16;
/// The most acknowledgements in one message. While a large fleet starts, a host may know more live hosts
/// than one cell has, and the message must stay within a datagram.
const MAX_FULL_ACKS: usize = 256;

/// Acknowledges the messages of a host up to a sequence number, or only mentions the host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HostAck {
    /// The address of the acknowledged host.
    pub address: Ipv4Addr,
    /// The start of that host, which changes when it restarts.
    pub incarnation: u64,
    /// The sequence number of the last message received from it.
    pub sequence: u64,
}

impl HostAck {
    /// Mentions the host at `address` without acknowledging a message.
    pub(crate) fn mention(address: Ipv4Addr) -> HostAck {
        HostAck { address, incarnation: 0, sequence: 0 }
    }

    fn is_mention(&self) -> bool {
        self.sequence == 0
    }
}

/// The state that one entry host sends to the others.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSummary {
    /// Identifies this start of the sending host.
    pub incarnation: u64,
    /// The digest of its availability zone's name.
    pub zone: u32,
    /// The number of this message since the start, by which a reordered message is dropped.
    pub sequence: u64,
    /// The version of its configuration; 0 if it has none.
    pub version: u64,
    /// How long before this message that version was last verified to be the newest.
    pub age: Option<Duration>,
    /// Whether it may admit requests by that configuration.
    pub is_usable: bool,
    /// The newest server list change that it knows of, in the newest era that it knows of.
    pub servers_change: SourcePoint,
    /// The summed prefill time of its queued requests.
    pub queued: Duration,
    /// The seconds of engine prefill that it starts per second.
    pub demand: f64,
    /// The number of other entry hosts that it knows of; 0 if it does not state it.
    pub hosts: u32,
    /// The entry hosts that it received messages from recently.
    pub known: Vec<HostAck>,
    /// The load that it causes at each server, by server digest.
    pub loads: Vec<(u32, ServerLoad)>,
    /// The crashes of servers that it knows of.
    pub crashes: CrashNews,
    /// The limits of servers that it knows of.
    pub limits: LimitNews,
    /// The evacuated zones, if it follows evacuations.
    pub zones: Option<ZoneNews>,
    /// The cold servers that it knows of.
    pub cold: ColdNews,
}

impl PeerSummary {
    /// Returns the summary for `target`. A host of the cell needs only the acknowledgement of its own
    /// messages; one message in `FULL_KNOWN_PERIOD` lists the other hosts as well.
    pub fn for_peer(&self, target: SummaryTarget) -> PeerSummary {
        let mut summary = self.clone();
        let is_full = self.sequence.is_multiple_of(FULL_KNOWN_PERIOD);
        let is_receiver = |ack: &HostAck| ack.address == target.address;
        summary.known.retain(is_receiver);
        summary.limits.retain_delegations_to(target.address);
        match target.role {
            PeerRole::Newcomer => {}
            _ if target.is_returned => {}
            PeerRole::Member => {
                summary.crashes.retain_fresh();
                summary.cold.retain_fresh();
                if !is_full {
                    summary.limits.retain_fresh();
                    summary.zones = summary.zones.filter(|zones| zones.is_fresh);
                }
            }
            PeerRole::Outsider => {
                summary.crashes.retain_lasting();
                summary.cold.retain_fresh();
            }
        }
        let others = self.known.iter().filter(|ack| !is_receiver(ack));
        match target.role {
            PeerRole::Newcomer => {
                let mentions = others.map(|ack| HostAck::mention(ack.address));
                summary.known.extend(mentions.take(MAX_MENTIONS));
            }
            PeerRole::Member if is_full => {
                let (mentions, acks): (Vec<HostAck>, Vec<HostAck>) =
                    others.partition(|ack| ack.is_mention());
                summary.known.extend(acks.into_iter().take(MAX_FULL_ACKS));
                summary.known.extend(mentions.into_iter().take(MENTION_SAMPLE));
            }
            PeerRole::Member => {}
            PeerRole::Outsider => summary.loads.clear(),
        }
        summary
    }
}

/// A summary with the address that it was received from.
#[derive(Debug, Clone, PartialEq)]
pub struct ReceivedSummary {
    /// The sender's address.
    pub from: Ipv4Addr,
    pub summary: PeerSummary,
}

/// What the receiver of a summary is to its sender.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerRole {
    /// A host of the same cell.
    Member,
    /// A host of another cell, which needs no loads.
    Outsider,
    /// A host that knows few others, and is sent the addresses of all.
    Newcomer,
}

/// A receiver of a summary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SummaryTarget {
    pub address: Ipv4Addr,
    pub role: PeerRole,
    /// Whether it started or was silent lately, and may lack earlier news.
    pub is_returned: bool,
}
