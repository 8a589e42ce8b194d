//! The handover of shards during a planned stop: a successor receives and confirms the claims of
//! each shard.
//!
//! Once the claims of a shard are first sent, this process never adds another claim to it. The
//! successor's copy is therefore complete, and the lease can move to it without losing knowledge of
//! any key. Calls that run here finish here; the successor knows that they are running and never
//! sends them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::claims::Claims;
use super::home::HomeOutput;
use super::home_lease::ShardLeases;
use super::home_lease::Tenure;
use super::lease::SHARD_COUNT;
use super::lease::shard_of;
use super::members::Members;
use super::message::HandOver;
use super::message::LeaseMessage;
use super::message::PeerMessage;
use super::message::Process;
use crate::state::CallKey;
use crate::state::HostName;
use crate::state::Moment;
use crate::state::Now;
use crate::state::WallTime;

/// How long to wait for a confirmation before the claims are sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// How long to wait for one successor before trying the next.
const SUCCESSOR_TIMEOUT: Duration = Duration::from_secs(1);

/// The maximum size of the answer bodies that are handed over with one shard, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// A handover that the successor has not confirmed.
#[derive(Debug, Clone)]
struct PendingHandover {
    to: HostName,
    known_since: WallTime,
    round: u64,
    started_at: Moment,
    sent_at: Moment,
}

/// A handover that the successor has confirmed.
#[derive(Debug, Clone)]
struct CompletedHandover {
    to: HostName,
    known_since: WallTime,
}

/// The handovers of a stopping host.
#[derive(Debug, Clone, Default)]
pub(crate) struct Handovers {
    stopping: bool,
    round: u64,
    pending: BTreeMap<u16, PendingHandover>,
    /// The shards to which claims may no longer be added.
    frozen: BTreeSet<u16>,
    /// The running calls whose claims were sent to a successor.
    transferred: BTreeSet<CallKey>,
    /// The shards whose claims a successor has confirmed.
    completed: BTreeMap<u16, CompletedHandover>,
}

impl Handovers {
    pub(crate) fn begin(&mut self) {
        self.stopping = true;
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Returns whether claims may no longer be added to `shard` at this host.
    pub(crate) fn is_frozen(&self, shard: u16) -> bool {
        self.frozen.contains(&shard)
    }

    /// Returns whether the successor has confirmed that this process runs the call with `key`.
    ///
    /// Such a call may be sent without a lease, because no other process will send it.
    pub(crate) fn was_transferred(&self, shard: u16, key: CallKey) -> bool {
        self.completed.contains_key(&shard) && self.transferred.contains(&key)
    }

    /// Sends the claims of held shards repeatedly until a successor confirms them.
    pub(crate) fn on_tick(
        &mut self,
        now: Now,
        leases: &ShardLeases,
        claims: &Claims,
        members: &Members,
        out: &mut Vec<HomeOutput>,
    ) {
        if !self.stopping {
            return;
        }
        for shard in 0..SHARD_COUNT {
            let Some(tenure) = leases.tenure(now, shard) else {
                self.pending.remove(&shard);
                continue;
            };
            if let Some(to) = self.next_successor(now.mono, shard, leases, members) {
                self.send_claims(now.mono, shard, to, tenure, claims, out);
            }
        }
    }

    /// Records a successor's confirmation; returns whether the lease may now be released to it.
    pub(crate) fn on_confirmed(
        &mut self,
        from: &Process,
        round: u64,
        shard: u16,
        claims: &Claims,
        out: &mut Vec<HomeOutput>,
    ) -> bool {
        let expected = self
            .pending
            .get(&shard)
            .is_some_and(|pending| pending.to == from.host && pending.round == round);
        if !expected {
            return false;
        }
        if let Some(pending) = self.pending.remove(&shard) {
            let handover = CompletedHandover { to: pending.to, known_since: pending.known_since };
            self.completed.insert(shard, handover);
        }
        // The successor still lists calls as running that finished after the claims were sent.
        let is_finished = |key: &CallKey| claims.get(*key).is_none_or(|claim| !claim.is_local);
        let transferred = self.transferred.iter().filter(|key| shard_of(**key) == shard);
        let finished: Vec<_> = transferred.copied().filter(is_finished).collect();
        for key in finished {
            self.on_call_finished(key, claims, out);
        }
        true
    }

    /// Sends the result of a finished call to the successor of its shard.
    pub(crate) fn on_call_finished(
        &mut self,
        key: CallKey,
        claims: &Claims,
        out: &mut Vec<HomeOutput>,
    ) {
        let shard = shard_of(key);
        let Some(completed) = self.completed.get(&shard) else {
            return;
        };
        if !self.transferred.remove(&key) {
            return;
        }
        let record = claims.record(key).into_iter().collect();
        self.round += 1;
        let known_since = completed.known_since;
        let update =
            HandOver { round: self.round, shard, known_since: known_since.0, claims: record };
        out.push(send(completed.to.clone(), update));
    }

    /// Returns the host to which the shard's claims must be sent now, if any.
    fn next_successor(
        &self,
        now: Moment,
        shard: u16,
        leases: &ShardLeases,
        members: &Members,
    ) -> Option<HostName> {
        let own = members.host();
        let usable: Vec<_> =
            leases.ranked_hosts(shard, members).filter(|host| *host != own).collect();
        let Some(pending) = self.pending.get(&shard) else {
            return usable.first().map(|host| (*host).clone());
        };
        let position = usable.iter().position(|host| **host == pending.to);
        match position {
            Some(_) if now.since(pending.started_at) < SUCCESSOR_TIMEOUT => {
                (now.since(pending.sent_at) >= RESEND_INTERVAL).then(|| pending.to.clone())
            }
            Some(position) => usable.get((position + 1) % usable.len()).map(|host| (*host).clone()),
            None => usable.first().map(|host| (*host).clone()),
        }
    }

    fn send_claims(
        &mut self,
        now: Moment,
        shard: u16,
        to: HostName,
        tenure: Tenure,
        claims: &Claims,
        out: &mut Vec<HomeOutput>,
    ) {
        self.frozen.insert(shard);
        let earlier = self.pending.get(&shard).filter(|at| at.to == to);
        // The shard's keys no longer change, so a confirmation of an earlier copy is as good.
        let round = earlier.map_or(self.round + 1, |at| at.round);
        let trying = earlier.filter(|at| now.since(at.started_at) < SUCCESSOR_TIMEOUT);
        let started_at = trying.map_or(now, |at| at.started_at);
        self.round = self.round.max(round);
        let records = claims.records(shard, MAX_ANSWER_BYTES);
        let is_local = |key: CallKey| claims.get(key).is_some_and(|claim| claim.is_local);
        self.transferred
            .extend(records.iter().map(|record| record.key).filter(|key| is_local(*key)));
        let known_since = tenure.known_since.max(claims.expired_through(shard));
        let message = HandOver { round, shard, known_since: known_since.0, claims: records };
        let handover =
            PendingHandover { to: to.clone(), known_since, round, started_at, sent_at: now };
        self.pending.insert(shard, handover);
        out.push(send(to, message));
    }
}

fn send(to: HostName, hand_over: HandOver) -> HomeOutput {
    let message = PeerMessage::Lease(LeaseMessage::HandOver(Box::new(hand_over)));
    HomeOutput::Send { to, message }
}
