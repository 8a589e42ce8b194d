//! The shard leases of one entry host: it votes on the requests of others and requests leases on
//! the shards assigned to it.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::home::HomeOutput;
use super::lease::LeaseDuration;
use super::lease::LeaseHolder;
use super::lease::SHARD_COUNT;
use super::lease_voter::Granted;
use super::lease_voter::LeaseVoter;
use super::members::Members;
use super::message::LeaseMessage;
use super::message::PeerMessage;
use super::message::Process;
use super::rendezvous::rank;
use super::voter_sets::VoterSets;
use crate::state::Event;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::Moment;
use crate::state::Now;
use crate::state::WallTime;

/// How long to wait for a majority of grants before releasing those received.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(300);

/// The range from which the delay before the next request for a shard is drawn at random.
const RETRY_DELAY: RangeInclusive<Duration> =
    Duration::from_millis(20)..=Duration::from_millis(150);

/// How long a successor waits before it requests a shard again that is being handed over to it.
const SUCCESSOR_RETRY: Duration = Duration::from_millis(50);

/// How long a host that received the claims of a shard keeps requesting its lease.
const RECEIVED_CLAIMS_TTL: Duration = Duration::from_secs(3);

/// How often a lease is renewed within its duration.
const RENEWALS_PER_LEASE: u32 = 4;

/// A period in which this process holds the lease on a shard without interruption.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tenure {
    /// Calls whose keys were created before this time, by this host's clock, may have been run by
    /// another process.
    pub(crate) known_since: WallTime,
}

/// Records that the previous holder of a shard handed its claims over to this host.
#[derive(Debug, Clone, Copy)]
struct ReceivedClaims {
    known_since: WallTime,
    at: Moment,
}

/// The state of one shard at this host.
#[derive(Debug, Clone, Default)]
struct ShardState {
    tenure: Option<Tenure>,
    requested_at: Option<Moment>,
    retry_at: Moment,
    received: Option<ReceivedClaims>,
    /// The published hosts in the order of preference for holding the shard.
    ranked: Vec<HostName>,
}

/// The leases that this process holds, requests and grants.
#[derive(Debug)]
pub(crate) struct ShardLeases {
    own: Process,
    duration: LeaseDuration,
    rng: SmallRng,
    sets: VoterSets,
    voter: LeaseVoter,
    holder: LeaseHolder,
    shards: Vec<ShardState>,
    renew_at: Moment,
}

impl ShardLeases {
    pub(crate) fn new(own: Process, lease: Duration, mut rng: SmallRng, now: Moment) -> Self {
        let duration = LeaseDuration { lease };
        // Starting in the lower half of the range lets the round number increase without overflow.
        let first_round = rng.random::<u64>() >> 1;
        ShardLeases {
            sets: VoterSets::new(own.host.clone(), duration.max_duration()),
            own,
            duration,
            rng,
            voter: LeaseVoter::new(duration, now),
            holder: LeaseHolder::new(duration, first_round),
            shards: vec![ShardState::default(); usize::from(SHARD_COUNT)],
            renew_at: now,
        }
    }

    pub(crate) fn set_hosts(&mut self, now: Moment, list: &LiveList) {
        self.sets.set_hosts(now, list);
        self.holder.on_sets_changed(&self.sets);
        for (shard, state) in (0..SHARD_COUNT).zip(&mut self.shards) {
            let ranked = rank(&shard_key(shard), self.sets.hosts());
            state.ranked = ranked.into_iter().cloned().collect();
        }
    }

    /// Returns the tenure of `shard` if its lease is valid at `now`.
    pub(crate) fn tenure(&self, now: Now, shard: u16) -> Option<Tenure> {
        let tenure = self.shards.get(usize::from(shard))?.tenure?;
        self.holder.is_valid(now, shard).then_some(tenure)
    }

    /// Returns the shards on which this process holds a valid lease.
    pub(crate) fn held(&self, now: Now) -> Vec<u16> {
        (0..SHARD_COUNT).filter(|&shard| self.tenure(now, shard).is_some()).collect()
    }

    /// Returns the usable hosts in the order of preference for holding `shard`.
    pub(crate) fn ranked_hosts<'a>(
        &'a self,
        shard: u16,
        members: &'a Members,
    ) -> impl Iterator<Item = &'a HostName> {
        let ranked = self.shards.get(usize::from(shard)).map(|state| &state.ranked[..]);
        ranked.unwrap_or_default().iter().filter(|host| members.is_usable(host))
    }

    /// Ends tenures whose lease has expired and begins those whose lease has become valid.
    ///
    /// It runs before and after each change, so that an expiry between two grants is never missed.
    pub(crate) fn refresh(&mut self, now: Now, out: &mut Vec<HomeOutput>) {
        if self.sets.retire_expired(now.mono) {
            self.holder.on_sets_changed(&self.sets);
        }
        let (mut lost, mut gained) = (Vec::new(), Vec::new());
        for (shard, state) in (0..SHARD_COUNT).zip(&mut self.shards) {
            let valid = self.holder.is_valid(now, shard);
            if state.tenure.is_some() && !valid {
                state.tenure = None;
                lost.push(shard);
            }
            if state.tenure.is_none() && valid {
                let handed = self.holder.was_handed_over(now, shard, &self.sets);
                state.begin(now, handed);
                gained.push(shard);
            }
        }
        if !lost.is_empty() {
            out.push(HomeOutput::Event(Event::LeaseLost { shards: lost }));
        }
        if !gained.is_empty() {
            out.push(HomeOutput::Event(Event::LeaseGained { shards: gained }));
        }
    }

    /// Handles a lease message from another host; `HandOver` and `HandOverDone` are handled by
    /// `Homes`.
    pub(crate) fn on_message(
        &mut self,
        now: Now,
        from: &Process,
        message: &LeaseMessage,
        out: &mut Vec<HomeOutput>,
    ) {
        self.refresh(now, out);
        match message {
            LeaseMessage::Request { round, list, sets, shards } => {
                self.sets.on_peer_sets(&from.host, *list, sets);
                out.push(self.reply(now, from, *round, sets, shards));
            }
            LeaseMessage::Grant { round, list, sets, shards, handed } => {
                self.sets.on_peer_sets(&from.host, *list, sets);
                let granted = Granted { shards: shards.clone(), handed: handed.clone() };
                self.holder.on_grant(&from.host, *round, &granted, &self.sets);
            }
            LeaseMessage::Release { round, shards, successor } => {
                let next = successor.as_ref();
                self.voter.on_release(now.mono, from, *round, shards, next);
                if next == Some(&self.own) {
                    self.request_immediately(now.mono, shards);
                }
            }
            LeaseMessage::HandOver(_) | LeaseMessage::HandOverDone { .. } => {}
        }
        self.refresh(now, out);
    }

    /// Records that all claims of `shard` have arrived.
    pub(crate) fn on_claims_received(&mut self, now: Moment, shard: u16, known_since: WallTime) {
        let Some(state) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let earlier = state.received.map_or(WallTime(0), |received| received.known_since);
        let known_since = known_since.max(earlier);
        state.received = Some(ReceivedClaims { known_since, at: now });
        state.retry_at = now;
    }

    /// Renews held leases and requests leases on the shards assigned to this host.
    pub(crate) fn on_tick(&mut self, now: Now, members: &Members, out: &mut Vec<HomeOutput>) {
        self.refresh(now, out);
        self.release_timed_out(now.mono, out);
        let renew = now.mono >= self.renew_at;
        let mut due_shards = Vec::new();
        for shard in 0..SHARD_COUNT {
            if self.is_due(now.mono, shard, renew, members) {
                due_shards.push(shard);
            }
        }
        if renew {
            self.renew_at = now.mono + self.duration.lease / RENEWALS_PER_LEASE;
        }
        if !due_shards.is_empty() || (renew && self.sets.is_transitioning()) {
            self.request_leases(now, due_shards, out);
            self.refresh(now, out);
        }
    }

    /// Releases the lease on a shard to the successor that confirmed receipt of its claims.
    pub(crate) fn release_to(
        &mut self,
        now: Now,
        shard: u16,
        next: &Process,
        out: &mut Vec<HomeOutput>,
    ) {
        self.holder.discard(shard);
        self.refresh(now, out);
        self.release(now.mono, vec![shard], Some(next), out);
    }

    fn is_due(&mut self, now: Moment, shard: u16, renew: bool, members: &Members) -> bool {
        let own = &self.own.host;
        let state = &mut self.shards[usize::from(shard)];
        if state.tenure.is_some() {
            return renew;
        }
        if !self.sets.is_listed(own) || state.requested_at.is_some() || now < state.retry_at {
            return false;
        }
        // If the claims of a shard arrived before this host began to stop, it takes the lease and
        // hands the shard over again.
        let due = state.has_received_claims(now)
            || (members.is_usable(own) && state.is_assigned_to(own, shard, members));
        if due {
            state.requested_at = Some(now);
        }
        due
    }

    fn request_leases(&mut self, now: Now, shards: Vec<u16>, out: &mut Vec<HomeOutput>) {
        let round = self.holder.begin_round(now);
        if self.sets.is_listed(&self.own.host) {
            let granted = self.voter.on_request(now.mono, &self.own, round, &shards);
            self.holder.on_grant(&self.own.host, round, &granted, &self.sets);
        }
        let (list, sets) = (self.sets.version(), self.sets.hashes());
        let request = LeaseMessage::Request { round, list, sets, shards };
        self.send_to_voters(&request, out);
    }

    fn reply(
        &mut self,
        now: Now,
        from: &Process,
        round: u64,
        sets: &[u64],
        shards: &[u16],
    ) -> HomeOutput {
        let granted = match self.sets.may_grant(sets) {
            true => self.voter.on_request(now.mono, from, round, shards),
            false => Granted::default(),
        };
        let grant = LeaseMessage::Grant {
            round,
            list: self.sets.version(),
            sets: self.sets.hashes(),
            shards: granted.shards,
            handed: granted.handed,
        };
        HomeOutput::Send { to: from.host.clone(), message: PeerMessage::Lease(grant) }
    }

    /// Releases grants that did not reach a majority in time, so that another host can obtain one.
    fn release_timed_out(&mut self, now: Moment, out: &mut Vec<HomeOutput>) {
        let mut released = Vec::new();
        for (shard, state) in (0..SHARD_COUNT).zip(&mut self.shards) {
            let timed_out = state.requested_at.is_some_and(|at| now.since(at) >= REQUEST_TIMEOUT);
            let retry_due = state.has_received_claims(now)
                && state.requested_at.is_some_and(|at| now.since(at) >= SUCCESSOR_RETRY);
            if state.tenure.is_some() || !(timed_out || retry_due) {
                continue;
            }
            state.requested_at = None;
            state.retry_at = now;
            if timed_out && !state.has_received_claims(now) {
                // The random delay keeps two hosts that split the votes from retrying in lockstep.
                state.retry_at = now + self.rng.random_range(RETRY_DELAY);
                if self.holder.discard(shard) {
                    released.push(shard);
                }
            }
        }
        if !released.is_empty() {
            self.release(now, released, None, out);
        }
    }

    fn release(
        &mut self,
        now: Moment,
        shards: Vec<u16>,
        next: Option<&Process>,
        out: &mut Vec<HomeOutput>,
    ) {
        let round = self.holder.last_round();
        self.voter.on_release(now, &self.own, round, &shards, next);
        let release = LeaseMessage::Release { round, shards, successor: next.cloned() };
        self.send_to_voters(&release, out);
    }

    fn request_immediately(&mut self, now: Moment, shards: &[u16]) {
        for &shard in shards {
            if let Some(state) = self.shards.get_mut(usize::from(shard))
                && state.tenure.is_none()
            {
                state.requested_at = None;
                state.retry_at = now;
            }
        }
    }

    fn send_to_voters(&self, message: &LeaseMessage, out: &mut Vec<HomeOutput>) {
        for to in self.sets.voters() {
            out.push(HomeOutput::Send { to, message: PeerMessage::Lease(message.clone()) });
        }
    }
}

impl ShardState {
    fn begin(&mut self, now: Now, handed: bool) {
        let received = self.received.take().filter(|_| handed);
        let known_since = received.map_or(now.wall, |received| received.known_since);
        self.tenure = Some(Tenure { known_since });
        self.requested_at = None;
    }

    fn has_received_claims(&self, now: Moment) -> bool {
        self.received.is_some_and(|received| now.since(received.at) < RECEIVED_CLAIMS_TTL)
    }

    /// Returns whether the shard is assigned to `own` and no live peer reports holding its lease.
    fn is_assigned_to(&self, own: &HostName, shard: u16, members: &Members) -> bool {
        let preferred = self.ranked.iter().find(|host| members.is_usable(host));
        preferred == Some(own) && reported_holder(shard, members).is_none()
    }
}

/// Returns the live peer that reports holding `shard`, preferring one that is not stopping.
pub(crate) fn reported_holder(shard: u16, members: &Members) -> Option<&HostName> {
    let holders = members.peers().filter(|(_, peer)| peer.alive && peer.shards.contains(&shard));
    holders.min_by_key(|(_, peer)| peer.stopping).map(|(name, _)| name)
}

fn shard_key(shard: u16) -> String {
    format!("shard-{shard}")
}
