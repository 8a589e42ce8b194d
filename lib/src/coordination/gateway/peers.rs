//! The other entry hosts: who they are, and what they said last.

use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::time::Duration;

use crate::state::Moment;
use crate::state::ServerLoad;

/// How long a peer counts as live without a message.
const PEER_LIFE: Duration = Duration::from_millis(1_500);
/// How long a silent peer is still sent messages, so that a cut that heals is noticed.
const PEER_MEMORY: Duration = Duration::from_secs(60);
/// The most peers that are remembered.
const MAX_PEERS: usize = 1_000;

/// What one entry host tells the others.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerSummary {
    /// Which start of which host.
    pub incarnation: u64,
    /// Counts the messages of this start, so that an overtaken one is dropped.
    pub sequence: u64,
    /// The version of its configuration; 0 if it has none.
    pub version: u64,
    /// Whether it may judge requests by that configuration.
    pub is_usable: bool,
    /// The reading time of the prompts that wait at it.
    pub queued: Duration,
    /// The entry hosts that it has heard lately.
    pub known: Vec<Ipv4Addr>,
    /// What it has at each server.
    pub loads: Vec<(u64, ServerLoad)>,
}

/// A summary with the address that it came from.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerHeard {
    /// The peer's address.
    pub from: Ipv4Addr,
    /// What it told.
    pub summary: PeerSummary,
}

#[derive(Debug, Clone, Copy)]
struct Peer {
    incarnation: u64,
    sequence: u64,
    heard: Moment,
    is_usable: bool,
    queued: Duration,
}

/// The other entry hosts.
#[derive(Debug)]
pub struct Peers {
    incarnation: u64,
    sequence: u64,
    own: Option<Ipv4Addr>,
    seeds: Vec<Ipv4Addr>,
    told: HashMap<Ipv4Addr, Moment>,
    peers: HashMap<Ipv4Addr, Peer>,
}

impl Peers {
    pub(crate) fn new(incarnation: u64) -> Peers {
        Peers {
            incarnation,
            sequence: 0,
            own: None,
            seeds: Vec::new(),
            told: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    pub(crate) fn set_seeds(&mut self, own: Ipv4Addr, seeds: Vec<Ipv4Addr>) {
        self.own = Some(own);
        self.seeds = seeds;
    }

    pub(crate) fn summary(
        &mut self,
        now: Moment,
        version: u64,
        is_usable: bool,
        queued: Duration,
        loads: Vec<(u64, ServerLoad)>,
    ) -> PeerSummary {
        self.sequence += 1;
        let live = self.peers.iter().filter(|(_, peer)| now.since(peer.heard) <= PEER_LIFE);
        PeerSummary {
            incarnation: self.incarnation,
            sequence: self.sequence,
            version,
            is_usable,
            queued,
            known: live.map(|(address, _)| *address).collect(),
            loads,
        }
    }

    pub(crate) fn hear(&mut self, now: Moment, heard: PeerHeard) -> bool {
        let summary = heard.summary;
        let before = self.peers.get(&heard.from);
        let is_overtaken = before.is_some_and(|peer| {
            peer.incarnation == summary.incarnation && peer.sequence >= summary.sequence
        });
        if is_overtaken {
            return false;
        }
        let is_new = before.is_none_or(|peer| now.since(peer.heard) > PEER_LIFE);
        for address in summary.known {
            if Some(address) != self.own && self.told.len() < MAX_PEERS {
                self.told.insert(address, now);
            }
        }
        let peer = Peer {
            incarnation: summary.incarnation,
            sequence: summary.sequence,
            heard: now,
            is_usable: summary.is_usable,
            queued: summary.queued,
        };
        if self.peers.len() < MAX_PEERS || self.peers.contains_key(&heard.from) {
            self.peers.insert(heard.from, peer);
        }
        is_new
    }

    pub(crate) fn addresses(&self, now: Moment) -> Vec<Ipv4Addr> {
        let heard = self.peers.iter().map(|(address, peer)| (*address, peer.heard));
        let told = self.told.iter().map(|(address, at)| (*address, *at));
        let recent = heard
            .chain(told)
            .filter(|(_, at)| now.since(*at) <= PEER_MEMORY)
            .map(|(address, _)| address);
        let mut addresses: Vec<Ipv4Addr> = self.seeds.iter().copied().chain(recent).collect();
        addresses.sort_unstable();
        addresses.dedup();
        addresses.retain(|address| Some(*address) != self.own);
        addresses
    }

    pub(crate) fn any_usable(&self, now: Moment) -> bool {
        self.live(now).any(|peer| peer.is_usable)
    }

    pub(crate) fn live_count(&self, now: Moment) -> usize {
        self.live(now).count()
    }

    pub(crate) fn queued(&self, now: Moment) -> Duration {
        self.live(now).map(|peer| peer.queued).sum()
    }

    fn live(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        self.peers.values().filter(move |peer| now.since(peer.heard) <= PEER_LIFE)
    }
}
