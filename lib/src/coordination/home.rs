//! Homes: the entry hosts that run non-idempotent calls, each at most once.
//!
//! Each idempotency key belongs to a shard, and each shard has at most one home at a time: the
//! entry host whose process holds the lease on the shard. The home records the state of the call of
//! each key as a claim. If another host may have run a call as an earlier home, the home answers
//! `unknown` and never runs the call.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::claims::ClaimLimits;
use super::claims::Claims;
use super::claims::Waiter;
use super::home_decision::Decision;
use super::home_decision::DecisionContext;
use super::home_decision::decide;
use super::home_decision::unknown;
use super::home_forwarding::Forwards;
use super::home_handover::Handovers;
use super::home_lease::ShardLeases;
use super::home_lease::reported_holder;
use super::lease::shard_of;
use super::members::Members;
use super::message::CallAnswer;
use super::message::ClaimState;
use super::message::Envelope;
use super::message::ForwardedCall;
use super::message::HandOver;
use super::message::LeaseMessage;
use super::message::PeerMessage;
use super::message::Process;
use crate::state::CallKey;
use crate::state::Event;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::LiveList;
use crate::state::Now;
use crate::state::Outcome;
use crate::state::Reason;
use crate::state::Refusal;
use crate::state::RequestId;
use crate::state::ServiceReply;
use crate::state::WallTime;

/// The longest time between two ticks of the core; answers due at a deadline are sent this much
/// earlier.
pub const HOME_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Limits and timeouts of homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeSettings {
    /// How long a voter's grant of a shard is valid.
    pub lease: Duration,
    /// The maximum difference between any two wall clocks of entry hosts and callers.
    pub clock_skew: Duration,
    /// The age of a key at which its claim is removed.
    pub claim_life: Duration,
    /// The maximum number of claims.
    pub max_claims: usize,
    /// The maximum memory for claims and their answers, in bytes.
    pub claim_bytes: usize,
    /// The maximum number of calls that wait for the answer of another home.
    pub max_forwards: usize,
}

impl Default for HomeSettings {
    fn default() -> HomeSettings {
        HomeSettings {
            lease: Duration::from_secs(2),
            clock_skew: Duration::from_secs(1),
            claim_life: Duration::from_secs(600),
            max_claims: 65_536,
            claim_bytes: 16 << 20,
            max_forwards: 4_096,
        }
    }
}

/// The result of a call that the home was told to run.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// The service replied.
    Replied(ServiceReply),
    /// No byte of the call was sent.
    NotSent,
    /// The connection failed after the first byte was written; the call may have run.
    Lost,
}

/// An action for the driver of the homes.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeOutput {
    /// Send a message to another entry host.
    Send { to: HostName, message: PeerMessage },
    /// Run a call: connect, check `Homes::authorize_send`, write, and report to `Homes::on_result`.
    Run(Box<ForwardedCall>),
    /// Answer a caller of this entry host.
    Reply { request: RequestId, result: Result<ServiceReply, Refusal> },
    /// Record an event.
    Event(Event),
}

/// The home role of one entry host: its leases, claims, forwarded calls and handovers.
///
/// The driver must read `Now` after it has taken an input out of its queue and before it handles
/// it.
///
/// ```
/// use wasabicrank_lib::coordination::{HomeSettings, Homes};
/// use wasabicrank_lib::state::{CallKey, HostName, Incarnation, Now};
/// let now = Now::default();
/// let mut homes = Homes::new(HostName::new("a"), Incarnation(1), HomeSettings::default(), 7, now);
/// // Without a lease nothing may be sent.
/// assert!(!homes.authorize_send(now, CallKey(1)));
/// ```
#[derive(Debug)]
pub struct Homes {
    own: Process,
    settings: HomeSettings,
    leases: ShardLeases,
    claims: Claims,
    forwards: Forwards,
    handovers: Handovers,
}

impl Homes {
    /// Creates the state without claims or leases; `seed` must differ between incarnations.
    pub fn new(
        host: HostName,
        incarnation: Incarnation,
        settings: HomeSettings,
        seed: u64,
        now: Now,
    ) -> Homes {
        let own = Process { host, incarnation };
        let rng = SmallRng::seed_from_u64(seed);
        let limits = ClaimLimits {
            count: settings.max_claims,
            bytes: settings.claim_bytes,
            max_age: settings.claim_life,
        };
        Homes {
            leases: ShardLeases::new(own.clone(), settings.lease, rng, now.mono),
            own,
            settings,
            claims: Claims::new(limits),
            forwards: Forwards::new(settings.max_forwards),
            handovers: Handovers::default(),
        }
    }

    /// Updates the entry hosts from the published live list; an older list is ignored.
    pub fn set_hosts(&mut self, now: Now, list: &LiveList) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.refresh(now, &mut out);
        self.leases.set_hosts(now.mono, list);
        self.leases.refresh(now, &mut out);
        out
    }

    /// Returns the shards on which this process holds a valid lease, for its heartbeat.
    pub fn held_shards(&self, now: Now) -> Vec<u16> {
        self.leases.held(now)
    }

    /// Returns the number of calls that this process runs or has forwarded.
    pub fn in_flight(&self) -> usize {
        self.claims.running() + self.forwards.len()
    }

    /// Handles `Lease`, `Forward` and `Answer` messages; others are ignored.
    ///
    /// Messages of replaced incarnations must be dropped earlier, with `Members::admit_sender`.
    pub fn on_peer(&mut self, now: Now, envelope: &Envelope) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        let from = Process { host: envelope.from.clone(), incarnation: envelope.incarnation };
        match &envelope.message {
            PeerMessage::Lease(LeaseMessage::HandOver(hand_over)) => {
                self.on_hand_over(now, &from, hand_over, &mut out);
            }
            PeerMessage::Lease(LeaseMessage::HandOverDone { round, shard }) => {
                self.on_hand_over_done(now, &from, *round, *shard, &mut out);
            }
            PeerMessage::Lease(message) => {
                self.leases.on_message(now, &from, message, &mut out);
            }
            PeerMessage::Forward(call) => self.serve(now, &from.host, call, &mut out),
            PeerMessage::Answer(answer) => {
                self.forwards.on_answer(now.mono, &from.host, answer, &mut out);
            }
            _ => {}
        }
        out
    }

    /// Renews leases, resends unanswered messages and answers calls at their deadline.
    ///
    /// It must be called every `HOME_TICK_INTERVAL`.
    pub fn on_tick(&mut self, now: Now, members: &Members) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.on_tick(now, members, &mut out);
        self.handovers.on_tick(now, &self.leases, &self.claims, members, &mut out);
        self.route_forwards(now, members, &mut out);
        let overdue = self.claims.take_expired_waiters(now.mono + HOME_TICK_INTERVAL);
        self.answer_all(overdue, &unknown(Reason::DeadlinePassed), &mut out);
        let removed = self.claims.remove_expired(now.wall);
        self.answer_all(removed, &unknown(Reason::KeyTooOld), &mut out);
        out
    }

    /// Handles a non-idempotent call from a caller of this entry host.
    ///
    /// The call must have a key; the entry host generates one if the caller sent none.
    pub fn on_call(&mut self, now: Now, members: &Members, call: ForwardedCall) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.refresh(now, &mut out);
        let Some(key) = call.call.key else {
            // Without a key there are no other copies, and this one was not sent.
            let refusal = Refusal {
                outcome: Outcome::NotRun,
                reason: Reason::HomeUnavailable,
                retry_after: None,
            };
            out.push(HomeOutput::Reply { request: call.call.id, result: Err(refusal) });
            return out;
        };
        if self.leases.tenure(now, shard_of(key)).is_some() {
            let own = self.own.host.clone();
            self.serve(now, &own, &call, &mut out);
            return out;
        }
        if let Err(reply) = self.forwards.add(now.mono, key, call) {
            out.push(reply);
            return out;
        }
        self.route_forwards(now, members, &mut out);
        out
    }

    /// Returns whether the call with `key` may be written to the service now, and if so records it
    /// as sent.
    ///
    /// It must be called just before the first byte is written, with clocks read at that moment,
    /// after the last point at which the process may have been suspended for long. It returns true
    /// at most once; after false, the driver must report `CallResult::NotSent`.
    pub fn authorize_send(&mut self, now: Now, key: CallKey) -> bool {
        let shard = shard_of(key);
        let held = self.leases.tenure(now, shard).is_some();
        let transferred = self.handovers.was_transferred(shard, key);
        (held || transferred) && self.claims.mark_sent(now.mono, key)
    }

    /// Lets `authorize_send` succeed again for `key`, because no connection was made and no byte
    /// was written.
    pub fn on_not_connected(&mut self, key: CallKey) {
        self.claims.mark_unsent(key);
    }

    /// Records the result of a call that this process was told to run, and answers all its copies.
    pub fn on_result(&mut self, now: Now, key: CallKey, result: CallResult) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.refresh(now, &mut out);
        if !self.claims.get(key).is_some_and(|claim| claim.is_local) {
            return out;
        }
        let (state, answer) = match result {
            CallResult::Replied(reply) => (ClaimState::Done(reply.clone()), Ok(reply)),
            CallResult::NotSent => {
                let refusal = Refusal {
                    outcome: Outcome::NotRun,
                    reason: Reason::TargetFailed,
                    retry_after: None,
                };
                (ClaimState::Refused(Reason::TargetFailed), Err(refusal))
            }
            CallResult::Lost => (ClaimState::Unknown, unknown(Reason::TargetFailed)),
        };
        let waiters = self.claims.finish(key, state);
        self.answer_all(waiters, &answer, &mut out);
        self.handovers.on_call_finished(key, &self.claims, &mut out);
        out
    }

    /// Begins a planned stop by handing the claims of each shard over to a live successor.
    pub fn begin_stop(&mut self, now: Now, members: &Members) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.refresh(now, &mut out);
        self.handovers.begin();
        self.handovers.on_tick(now, &self.leases, &self.claims, members, &mut out);
        out
    }

    /// Returns whether no shard is left to hand over and no call is in flight.
    ///
    /// A shard for which no other entry host is usable cannot be handed over and does not delay the
    /// stop.
    pub fn is_stopped(&self, now: Now, members: &Members) -> bool {
        let own = &self.own.host;
        let successor = |shard| self.leases.ranked_hosts(shard, members).any(|host| host != own);
        let kept = self.leases.held(now).into_iter().any(successor);
        self.handovers.is_stopping() && !kept && self.in_flight() == 0
    }

    /// Handles a call as the home of its key, or answers that this host is not its home.
    fn serve(
        &mut self,
        now: Now,
        requester: &HostName,
        call: &ForwardedCall,
        out: &mut Vec<HomeOutput>,
    ) {
        self.leases.refresh(now, out);
        let Some(key) = call.call.key else {
            return;
        };
        let request = call.call.id;
        let shard = shard_of(key);
        let waiter =
            Waiter { requester: requester.clone(), request, deadline: now.mono + call.time_left };
        let context = DecisionContext {
            tenure: self.leases.tenure(now, shard),
            frozen: self.handovers.is_frozen(shard),
            clock_skew: self.settings.clock_skew,
            now,
        };
        match decide(&context, &mut self.claims, key, call, waiter.clone()) {
            Decision::Run => out.push(HomeOutput::Run(Box::new(call.clone()))),
            Decision::Wait => {}
            Decision::Answer(result) => self.answer(&waiter, result, out),
        }
    }

    fn route_forwards(&mut self, now: Now, members: &Members, out: &mut Vec<HomeOutput>) {
        let leases = &self.leases;
        let home_of = |shard| match leases.tenure(now, shard) {
            Some(_) => Some(members.host().clone()),
            None => reported_holder(shard, members).cloned(),
        };
        let own = self.own.host.clone();
        for call in self.forwards.on_tick(now.mono, &own, home_of, out) {
            self.serve(now, &own, &call, out);
        }
    }

    fn on_hand_over(
        &mut self,
        now: Now,
        from: &Process,
        hand_over: &HandOver,
        out: &mut Vec<HomeOutput>,
    ) {
        self.leases.refresh(now, out);
        for record in
            hand_over.claims.iter().filter(|record| shard_of(record.key) == hand_over.shard)
        {
            let Ok(waiters) = self.claims.merge(record) else {
                return;
            };
            let answer = super::home_decision::answer_of(&record.state);
            self.answer_all(waiters, &answer, out);
        }
        // A stopping host would not request the lease on the shard, so it does not confirm; the
        // sender then tries another successor.
        if self.handovers.is_stopping() {
            return;
        }
        self.leases.on_claims_received(now.mono, hand_over.shard, WallTime(hand_over.known_since));
        let done = LeaseMessage::HandOverDone { round: hand_over.round, shard: hand_over.shard };
        out.push(HomeOutput::Send { to: from.host.clone(), message: PeerMessage::Lease(done) });
    }

    fn on_hand_over_done(
        &mut self,
        now: Now,
        from: &Process,
        round: u64,
        shard: u16,
        out: &mut Vec<HomeOutput>,
    ) {
        self.leases.refresh(now, out);
        if self.handovers.on_confirmed(from, round, shard, &self.claims, out) {
            self.leases.release_to(now, shard, from, out);
        }
    }

    fn answer_all(
        &self,
        waiters: Vec<Waiter>,
        result: &Result<ServiceReply, Refusal>,
        out: &mut Vec<HomeOutput>,
    ) {
        for waiter in waiters {
            self.answer(&waiter, result.clone(), out);
        }
    }

    fn answer(
        &self,
        waiter: &Waiter,
        result: Result<ServiceReply, Refusal>,
        out: &mut Vec<HomeOutput>,
    ) {
        let request = waiter.request;
        if waiter.requester == self.own.host {
            out.push(HomeOutput::Reply { request, result });
            return;
        }
        let answer = PeerMessage::Answer(Box::new(CallAnswer { request, result }));
        out.push(HomeOutput::Send { to: waiter.requester.clone(), message: answer });
    }
}
