//! The planned stop of a home: each shard's claims go to a successor, which confirms them.
//!
//! From the first message on, no claim is added to the shard here, for good; so what the successor
//! got is complete, and the lease can pass to it without a gap in what is known. Calls that run
//! here run to their end; the successor knows that they run and never sends them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use super::claims::Claims;
use super::home::HomeOutput;
use super::home_lease::ShardLeases;
use super::home_lease::Tenure;
use super::lease::SHARDS;
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

/// How long a confirmation is awaited before the claims are sent again.
const RESEND: Duration = Duration::from_millis(200);

/// How long one successor is tried before the next.
const TRY_TIME: Duration = Duration::from_secs(1);

/// The bodies of answers that are handed over with one shard, in bytes at most.
const HAND_OVER_BYTES: usize = 1 << 20;

/// A shard on its way to a successor.
#[derive(Debug, Clone)]
struct Passing {
    to: HostName,
    known_since: WallTime,
    round: u64,
    since: Moment,
    sent: Moment,
}

/// A shard that a successor has.
#[derive(Debug, Clone)]
struct Passed {
    to: HostName,
    known_since: WallTime,
}

/// The shards of a stopping host.
#[derive(Debug, Clone, Default)]
pub(crate) struct HandOvers {
    stopping: bool,
    round: u64,
    passing: BTreeMap<u16, Passing>,
    /// The shards to which no claim is added any more.
    frozen: BTreeSet<u16>,
    /// The running calls that were told to a successor.
    told: BTreeSet<CallKey>,
    /// The shards whose claims were confirmed.
    passed: BTreeMap<u16, Passed>,
}

impl HandOvers {
    pub(crate) fn begin(&mut self) {
        self.stopping = true;
    }

    pub(crate) fn is_stopping(&self) -> bool {
        self.stopping
    }

    /// Tells whether no claim may be added to `shard` here any more.
    pub(crate) fn is_frozen(&self, shard: u16) -> bool {
        self.frozen.contains(&shard)
    }

    /// Tells whether the shard's next holder knows that this process runs the call with `key`.
    ///
    /// Then the call may be sent without a lease, as nobody else will send it.
    pub(crate) fn has_handed(&self, shard: u16, key: CallKey) -> bool {
        self.passed.contains_key(&shard) && self.told.contains(&key)
    }

    /// Sends the claims of held shards, again until they are confirmed.
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
        for shard in 0..SHARDS {
            let Some(tenure) = leases.tenure(now, shard) else {
                self.passing.remove(&shard);
                continue;
            };
            if let Some(to) = self.next_successor(now.mono, shard, leases, members) {
                self.pass(now.mono, shard, to, tenure, claims, out);
            }
        }
    }

    /// Notes a successor's confirmation; returns whether the lease may now go to it.
    pub(crate) fn on_done(
        &mut self,
        from: &Process,
        round: u64,
        shard: u16,
        claims: &Claims,
        out: &mut Vec<HomeOutput>,
    ) -> bool {
        let expected =
            self.passing.get(&shard).is_some_and(|at| at.to == from.host && at.round == round);
        if !expected {
            return false;
        }
        if let Some(at) = self.passing.remove(&shard) {
            let passed = Passed { to: at.to, known_since: at.known_since };
            self.passed.insert(shard, passed);
        }
        // What finished since the claims were sent stands as running at the successor.
        let ended = |key: &CallKey| claims.get(*key).is_none_or(|claim| !claim.here);
        let told = self.told.iter().filter(|key| shard_of(**key) == shard);
        let ended: Vec<_> = told.copied().filter(ended).collect();
        for key in ended {
            self.on_finished(key, claims, out);
        }
        true
    }

    /// Tells the successor of a finished call's shard what became of it.
    pub(crate) fn on_finished(&mut self, key: CallKey, claims: &Claims, out: &mut Vec<HomeOutput>) {
        let shard = shard_of(key);
        let Some(passed) = self.passed.get(&shard) else {
            return;
        };
        if !self.told.remove(&key) {
            return;
        }
        let record = claims.record(key).into_iter().collect();
        self.round += 1;
        let known_since = passed.known_since;
        let update =
            HandOver { round: self.round, shard, known_since: known_since.0, claims: record };
        out.push(send(passed.to.clone(), update));
    }

    /// Returns the host that the shard's claims are to be sent to now, if any.
    fn next_successor(
        &self,
        now: Moment,
        shard: u16,
        leases: &ShardLeases,
        members: &Members,
    ) -> Option<HostName> {
        let own = members.host();
        let usable: Vec<_> =
            leases.candidates(shard, members).filter(|host| *host != own).collect();
        let Some(at) = self.passing.get(&shard) else {
            return usable.first().map(|host| (*host).clone());
        };
        let place = usable.iter().position(|host| **host == at.to);
        match place {
            Some(_) if now.since(at.since) < TRY_TIME => {
                (now.since(at.sent) >= RESEND).then(|| at.to.clone())
            }
            Some(place) => usable.get((place + 1) % usable.len()).map(|host| (*host).clone()),
            None => usable.first().map(|host| (*host).clone()),
        }
    }

    fn pass(
        &mut self,
        now: Moment,
        shard: u16,
        to: HostName,
        tenure: Tenure,
        claims: &Claims,
        out: &mut Vec<HomeOutput>,
    ) {
        self.frozen.insert(shard);
        let same = self.passing.get(&shard).filter(|at| at.to == to);
        // The keys do not change any more, so a confirmation of an earlier sending counts.
        let round = same.map_or(self.round + 1, |at| at.round);
        let trying = same.filter(|at| now.since(at.since) < TRY_TIME);
        let since = trying.map_or(now, |at| at.since);
        self.round = self.round.max(round);
        let records = claims.records(shard, HAND_OVER_BYTES);
        let here = |key: CallKey| claims.get(key).is_some_and(|claim| claim.here);
        self.told.extend(records.iter().map(|record| record.key).filter(|key| here(*key)));
        let known_since = tenure.known_since.max(claims.forgotten(shard));
        let hand_over = HandOver { round, shard, known_since: known_since.0, claims: records };
        let passing = Passing { to: to.clone(), known_since, round, since, sent: now };
        self.passing.insert(shard, passing);
        out.push(send(to, hand_over));
    }
}

fn send(to: HostName, hand_over: HandOver) -> HomeOutput {
    let message = PeerMessage::Lease(LeaseMessage::HandOver(Box::new(hand_over)));
    HomeOutput::Send { to, message }
}
