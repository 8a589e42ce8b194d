//! The seeds that a host receives messages from: whether it may be cut off from hosts that it does not know.

use std::net::Ipv4Addr;

use super::PEER_RETENTION;
use super::Peers;
use crate::state::Moment;

impl Peers {
    /// Returns the part of the seeds that this host received a message from, itself included. A host that
    /// misses some may be cut off from a part of the fleet that it does not know.
    pub(crate) fn live_seed_share(&self, now: Moment) -> f64 {
        let is_live = |seed: &&Ipv4Addr| {
            let peer = self.peers.get(*seed);
            let is_recent = peer.is_some_and(|peer| now.since(peer.last_heard) <= PEER_RETENTION);
            is_recent || Some(**seed) == self.own_address
        };
        if self.seeds.is_empty() {
            return 1.0;
        }
        self.seeds.iter().filter(is_live).count() as f64 / self.seeds.len() as f64
    }
}
