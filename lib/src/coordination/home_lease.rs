//! The leases of one entry host: it votes on others' asks and asks for the shards that fall to it.

use std::ops::RangeInclusive;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::home::HomeOutput;
use super::lease::LeaseHolder;
use super::lease::LeaseSpan;
use super::lease::SHARDS;
use super::lease_sets::LeaseSets;
use super::lease_voter::Granted;
use super::lease_voter::LeaseVoter;
use super::members::Members;
use super::message::LeaseMessage;
use super::message::PeerMessage;
use super::message::Process;
use super::rendezvous::rank;
use crate::state::Event;
use crate::state::HostName;
use crate::state::LiveList;
use crate::state::Moment;
use crate::state::Now;
use crate::state::WallTime;

/// How long the replies to an ask are awaited before what was granted is given up.
const ASK_TIMEOUT: Duration = Duration::from_millis(300);

/// The time before a shard is asked for again is drawn from this range.
const RETRY: RangeInclusive<Duration> = Duration::from_millis(20)..=Duration::from_millis(150);

/// The longest time before a successor asks again for a shard that is being handed to it.
const SUCCESSOR_RETRY: Duration = Duration::from_millis(50);

/// How long a host that received a shard's claims asks for the shard.
const SUCCESSOR_TIME: Duration = Duration::from_secs(3);

/// Renewals within one lease.
const RENEWALS: u32 = 4;

/// A span in which this process holds a shard without a break.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Tenure {
    /// Keys made before this time, by this host's clock, may have been run by another.
    pub(crate) known_since: WallTime,
}

/// The claims of a shard that its holder handed to this host.
#[derive(Debug, Clone, Copy)]
struct Received {
    known_since: WallTime,
    at: Moment,
}

/// One shard as this host sees it.
#[derive(Debug, Clone, Default)]
struct ShardState {
    tenure: Option<Tenure>,
    asked: Option<Moment>,
    retry_at: Moment,
    received: Option<Received>,
    /// The published hosts in the order in which the shard falls to them.
    ranked: Vec<HostName>,
}

/// The leases that this process has, wants and grants.
#[derive(Debug)]
pub(crate) struct ShardLeases {
    own: Process,
    span: LeaseSpan,
    rng: SmallRng,
    sets: LeaseSets,
    voter: LeaseVoter,
    holder: LeaseHolder,
    shards: Vec<ShardState>,
    renew_at: Moment,
}

impl ShardLeases {
    pub(crate) fn new(own: Process, lease: Duration, mut rng: SmallRng, now: Moment) -> Self {
        let span = LeaseSpan { lease };
        // Half of the range is left for the rounds to rise in.
        let first_round = rng.random::<u64>() >> 1;
        ShardLeases {
            sets: LeaseSets::new(own.host.clone(), span.lapse()),
            own,
            span,
            rng,
            voter: LeaseVoter::new(span, now),
            holder: LeaseHolder::new(span, first_round),
            shards: vec![ShardState::default(); usize::from(SHARDS)],
            renew_at: now,
        }
    }

    pub(crate) fn set_hosts(&mut self, now: Moment, list: &LiveList) {
        self.sets.set_hosts(now, list);
        self.holder.on_sets(&self.sets);
        for (shard, state) in (0..SHARDS).zip(&mut self.shards) {
            let ranked = rank(&shard_key(shard), self.sets.hosts());
            state.ranked = ranked.into_iter().cloned().collect();
        }
    }

    /// Returns the tenure of `shard` if its lease is valid at this moment.
    pub(crate) fn tenure(&self, now: Now, shard: u16) -> Option<Tenure> {
        let tenure = self.shards.get(usize::from(shard))?.tenure?;
        self.holder.is_valid(now, shard).then_some(tenure)
    }

    /// Returns the shards on which this process holds a valid lease.
    pub(crate) fn held(&self, now: Now) -> Vec<u16> {
        (0..SHARDS).filter(|&shard| self.tenure(now, shard).is_some()).collect()
    }

    /// Returns the usable hosts in the order in which `shard` falls to them.
    pub(crate) fn candidates<'a>(
        &'a self,
        shard: u16,
        members: &'a Members,
    ) -> impl Iterator<Item = &'a HostName> {
        let ranked = self.shards.get(usize::from(shard)).map(|state| &state.ranked[..]);
        ranked.unwrap_or_default().iter().filter(|host| members.is_usable(host))
    }

    /// Ends tenures whose lease has lapsed and begins those whose lease has become valid.
    ///
    /// It runs before and after each change, so that a lapse between two grants is never missed.
    pub(crate) fn refresh(&mut self, now: Now, out: &mut Vec<HomeOutput>) {
        if self.sets.retire(now.mono) {
            self.holder.on_sets(&self.sets);
        }
        let (mut lost, mut gained) = (Vec::new(), Vec::new());
        for (shard, state) in (0..SHARDS).zip(&mut self.shards) {
            let valid = self.holder.is_valid(now, shard);
            if state.tenure.is_some() && !valid {
                state.tenure = None;
                lost.push(shard);
            }
            if state.tenure.is_none() && valid {
                let handed = self.holder.was_handed(now, shard, &self.sets);
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

    /// Handles what another host says about leases; claims on their way are not handled here.
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
                self.sets.heard(&from.host, *list, sets);
                out.push(self.reply(now, from, *round, sets, shards));
            }
            LeaseMessage::Grant { round, list, sets, shards, handed } => {
                self.sets.heard(&from.host, *list, sets);
                let granted = Granted { shards: shards.clone(), handed: handed.clone() };
                self.holder.on_grant(&from.host, *round, &granted, &self.sets);
            }
            LeaseMessage::Release { round, shards, successor } => {
                let next = successor.as_ref();
                self.voter.on_release(now.mono, from, *round, shards, next);
                if next == Some(&self.own) {
                    self.ask_at_once(now.mono, shards);
                }
            }
            LeaseMessage::HandOver(_) | LeaseMessage::HandOverDone { .. } => {}
        }
        self.refresh(now, out);
    }

    /// Notes that the claims of `shard` have arrived whole.
    pub(crate) fn on_received(&mut self, now: Moment, shard: u16, known_since: WallTime) {
        let Some(state) = self.shards.get_mut(usize::from(shard)) else {
            return;
        };
        let earlier = state.received.map_or(WallTime(0), |received| received.known_since);
        let known_since = known_since.max(earlier);
        state.received = Some(Received { known_since, at: now });
        state.retry_at = now;
    }

    /// Renews what is held and asks for what falls to this host.
    pub(crate) fn on_tick(&mut self, now: Now, members: &Members, out: &mut Vec<HomeOutput>) {
        self.refresh(now, out);
        self.give_up_late(now.mono, out);
        let renew = now.mono >= self.renew_at;
        let mut asks = Vec::new();
        for shard in 0..SHARDS {
            if self.is_due(now.mono, shard, renew, members) {
                asks.push(shard);
            }
        }
        if renew {
            self.renew_at = now.mono + self.span.lease / RENEWALS;
        }
        if !asks.is_empty() || (renew && self.sets.is_changing()) {
            self.ask(now, asks, out);
            self.refresh(now, out);
        }
    }

    /// Gives the lease on a shard up to the host that confirmed to have its claims.
    pub(crate) fn release_to(
        &mut self,
        now: Now,
        shard: u16,
        next: &Process,
        out: &mut Vec<HomeOutput>,
    ) {
        self.holder.give_up(shard);
        self.refresh(now, out);
        self.release(now.mono, vec![shard], Some(next), out);
    }

    fn is_due(&mut self, now: Moment, shard: u16, renew: bool, members: &Members) -> bool {
        let own = &self.own.host;
        let state = &mut self.shards[usize::from(shard)];
        if state.tenure.is_some() {
            return renew;
        }
        if !self.sets.is_listed(own) || state.asked.is_some() || now < state.retry_at {
            return false;
        }
        // A shard whose claims arrived before this host began to stop is taken and handed on.
        let due = state.is_received(now)
            || (members.is_usable(own) && state.falls_to(own, shard, members));
        if due {
            state.asked = Some(now);
        }
        due
    }

    fn ask(&mut self, now: Now, shards: Vec<u16>, out: &mut Vec<HomeOutput>) {
        let round = self.holder.begin_round(now);
        if self.sets.is_listed(&self.own.host) {
            let granted = self.voter.on_ask(now.mono, &self.own, round, &shards);
            self.holder.on_grant(&self.own.host, round, &granted, &self.sets);
        }
        let (list, sets) = (self.sets.version(), self.sets.hashes());
        let ask = LeaseMessage::Request { round, list, sets, shards };
        self.send_to_voters(&ask, out);
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
            true => self.voter.on_ask(now.mono, from, round, shards),
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

    /// Gives up asks that found no majority, so that another host can get one.
    fn give_up_late(&mut self, now: Moment, out: &mut Vec<HomeOutput>) {
        let mut released = Vec::new();
        for (shard, state) in (0..SHARDS).zip(&mut self.shards) {
            let late = state.asked.is_some_and(|at| now.since(at) >= ASK_TIMEOUT);
            let soon = state.is_received(now)
                && state.asked.is_some_and(|at| now.since(at) >= SUCCESSOR_RETRY);
            if state.tenure.is_some() || !(late || soon) {
                continue;
            }
            state.asked = None;
            state.retry_at = now;
            if late && !state.is_received(now) {
                // Two hosts that split the votes try again at different times.
                state.retry_at = now + self.rng.random_range(RETRY);
                if self.holder.give_up(shard) {
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

    fn ask_at_once(&mut self, now: Moment, shards: &[u16]) {
        for &shard in shards {
            if let Some(state) = self.shards.get_mut(usize::from(shard))
                && state.tenure.is_none()
            {
                state.asked = None;
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
        self.asked = None;
    }

    fn is_received(&self, now: Moment) -> bool {
        self.received.is_some_and(|received| now.since(received.at) < SUCCESSOR_TIME)
    }

    /// Tells whether the shard falls to `own` and nobody alive says to hold it.
    fn falls_to(&self, own: &HostName, shard: u16, members: &Members) -> bool {
        let first = self.ranked.iter().find(|host| members.is_usable(host));
        first == Some(own) && holder_of(shard, members).is_none()
    }
}

/// Returns the live peer that says to hold `shard`; one that is not stopping goes first.
pub(crate) fn holder_of(shard: u16, members: &Members) -> Option<&HostName> {
    let holds = members.peers().filter(|(_, peer)| peer.alive && peer.shards.contains(&shard));
    holds.min_by_key(|(_, peer)| peer.stopping).map(|(name, _)| name)
}

fn shard_key(shard: u16) -> String {
    format!("shard-{shard}")
}
