//! Homes: who runs a non-idempotent call, so that it runs at most once.
//!
//! Each idempotency key falls into a shard, and each shard has one home at a time: the entry host
//! whose process holds the lease on it. The home keeps what became of each key. What a home cannot
//! know, because another may have been the home before it, it calls unknown and never runs.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::claims::ClaimLimits;
use super::claims::Claims;
use super::claims::Waiter;
use super::home_decide::CallContext;
use super::home_decide::Decision;
use super::home_decide::decide;
use super::home_decide::unknown;
use super::home_forward::Forwards;
use super::home_lease::ShardLeases;
use super::home_lease::holder_of;
use super::home_stop::HandOvers;
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

/// How long the core may go without a tick; answers that are due at a deadline go out this much
/// earlier.
pub const HOME_TICK: Duration = Duration::from_millis(50);

/// The bounds and times that homes work with.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomeSettings {
    /// How long a voter's grant of a shard lasts.
    pub lease: Duration,
    /// How far any two wall clocks, of entry hosts and callers, may be apart.
    pub clock_skew: Duration,
    /// How old a key may be before what became of it is forgotten.
    pub claim_life: Duration,
    /// How many keys are kept.
    pub max_claims: usize,
    /// How much memory keys and their answers may take, in bytes.
    pub claim_bytes: usize,
    /// How many calls may wait for the answer of another home.
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

/// What became of a call that the home was told to run.
#[derive(Debug, Clone, PartialEq)]
pub enum CallResult {
    /// The service answered.
    Replied(ServiceReply),
    /// Not a byte of the call left this process.
    NotSent,
    /// The connection failed after the first byte was written; the call may have run.
    Lost,
}

/// What a home asks its driver to do.
#[derive(Debug, Clone, PartialEq)]
pub enum HomeOutput {
    /// Send a message to another entry host.
    Send { to: HostName, message: PeerMessage },
    /// Run a call: connect, ask `Homes::authorize_send`, write, and report with `Homes::on_result`.
    Run(Box<ForwardedCall>),
    /// Answer a caller of this entry host.
    Reply { request: RequestId, result: Result<ServiceReply, Refusal> },
    /// Something worth telling happened.
    Event(Event),
}

/// The homes as one entry host takes part in them.
///
/// The driver reads `Now` after it has taken the input out of its queue and before it handles it.
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
    hand_overs: HandOvers,
}

impl Homes {
    /// Starts with nothing known; `seed` must differ between incarnations.
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
            life: settings.claim_life,
        };
        Homes {
            leases: ShardLeases::new(own.clone(), settings.lease, rng, now.mono),
            own,
            settings,
            claims: Claims::new(limits),
            forwards: Forwards::new(settings.max_forwards),
            hand_overs: HandOvers::default(),
        }
    }

    /// Takes over the published entry hosts; an older list is ignored.
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

    /// Returns how many calls this process runs or waits for.
    pub fn in_flight(&self) -> usize {
        self.claims.running() + self.forwards.len()
    }

    /// Handles `Lease`, `Forward` and `Answer` messages; others are ignored.
    ///
    /// Messages of replaced incarnations are to be dropped before, by `Members::admit_sender`.
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

    /// Renews leases, sends lost messages again and answers what is due; call it every `HOME_TICK`.
    pub fn on_tick(&mut self, now: Now, members: &Members) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.on_tick(now, members, &mut out);
        self.hand_overs.on_tick(now, &self.leases, &self.claims, members, &mut out);
        self.route_forwards(now, members, &mut out);
        let expired = self.claims.expired(now.mono + HOME_TICK);
        self.answer_all(expired, &unknown(Reason::DeadlinePassed), &mut out);
        let forgotten = self.claims.forget(now.wall);
        self.answer_all(forgotten, &unknown(Reason::KeyTooOld), &mut out);
        out
    }

    /// Takes a non-idempotent call of a caller of this entry host.
    ///
    /// The call must have a key; for a caller that gave none, the entry host makes one.
    pub fn on_call(&mut self, now: Now, members: &Members, call: ForwardedCall) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.refresh(now, &mut out);
        let Some(key) = call.call.key else {
            // Without a key there is no other copy, and nothing was sent for this one.
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
        if let Err(refused) = self.forwards.add(now.mono, key, call) {
            out.push(refused);
            return out;
        }
        self.route_forwards(now, members, &mut out);
        out
    }

    /// Tells whether the call with `key` may be written to the service now, and if so notes that
    /// it was.
    ///
    /// It is to be asked after the last point at which the process could have slept for long, just
    /// before the first byte is written, with clocks read at that moment. It says yes once; after
    /// no, the call is reported as `CallResult::NotSent`.
    pub fn authorize_send(&mut self, now: Now, key: CallKey) -> bool {
        let shard = shard_of(key);
        let held = self.leases.tenure(now, shard).is_some();
        let handed = self.hand_overs.has_handed(shard, key);
        (held || handed) && self.claims.mark_sent(now.mono, key)
    }

    /// Allows `authorize_send` to be asked again, because no connection was made and no byte written.
    pub fn on_not_connected(&mut self, key: CallKey) {
        self.claims.mark_unsent(key);
    }

    /// Takes in what became of a call that was to be run, and answers all its copies at once.
    pub fn on_result(&mut self, now: Now, key: CallKey, result: CallResult) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.refresh(now, &mut out);
        if !self.claims.get(key).is_some_and(|claim| claim.here) {
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
        self.hand_overs.on_finished(key, &self.claims, &mut out);
        out
    }

    /// Begins a planned stop: the claims go to live successors, shard by shard.
    pub fn begin_stop(&mut self, now: Now, members: &Members) -> Vec<HomeOutput> {
        let mut out = Vec::new();
        self.leases.refresh(now, &mut out);
        self.hand_overs.begin();
        self.hand_overs.on_tick(now, &self.leases, &self.claims, members, &mut out);
        out
    }

    /// Tells whether nothing is left to hand over, to run or to wait for.
    ///
    /// A shard for which no other entry host is usable cannot be handed over and is not waited for.
    pub fn is_stopped(&self, now: Now, members: &Members) -> bool {
        let own = &self.own.host;
        let successor = |shard| self.leases.candidates(shard, members).any(|host| host != own);
        let kept = self.leases.held(now).into_iter().any(successor);
        self.hand_overs.is_stopping() && !kept && self.in_flight() == 0
    }

    /// Answers a call as the home of its key, or says that this host is not its home.
    fn serve(
        &mut self,
        now: Now,
        asker: &HostName,
        call: &ForwardedCall,
        out: &mut Vec<HomeOutput>,
    ) {
        self.leases.refresh(now, out);
        let Some(key) = call.call.key else {
            return;
        };
        let request = call.call.id;
        let shard = shard_of(key);
        let waiter = Waiter { asker: asker.clone(), request, deadline: now.mono + call.time_left };
        let context = CallContext {
            tenure: self.leases.tenure(now, shard),
            frozen: self.hand_overs.is_frozen(shard),
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
            None => holder_of(shard, members).cloned(),
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
            let answer = super::home_decide::answer_of(&record.state);
            self.answer_all(waiters, &answer, out);
        }
        // A host that is stopping itself would not ask for the shard; another is to have it.
        if self.hand_overs.is_stopping() {
            return;
        }
        self.leases.on_received(now.mono, hand_over.shard, WallTime(hand_over.known_since));
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
        if self.hand_overs.on_done(from, round, shard, &self.claims, out) {
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
        if waiter.asker == self.own.host {
            out.push(HomeOutput::Reply { request, result });
            return;
        }
        let answer = PeerMessage::Answer(Box::new(CallAnswer { request, result }));
        out.push(HomeOutput::Send { to: waiter.asker.clone(), message: answer });
    }
}
