//! Engines that this entry host is the dispatcher of: their queues, listings and orphaned attempts.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;

use super::Node;
use super::io::EnginePoll;
use super::io::Output;
use crate::coordination::OwnerState;
use crate::coordination::PeerMessage;
use crate::state::AttemptId;
use crate::state::Engine;
use crate::state::EngineLoad;
use crate::state::EngineName;
use crate::state::EngineQueue;
use crate::state::EngineReport;
use crate::state::Event;
use crate::state::HostName;
use crate::state::Incarnation;
use crate::state::ListedAttempt;
use crate::state::Moment;
use crate::state::OrphanCandidate;
use crate::state::QueuePolicy;
use crate::state::StartRequest;
use crate::state::TargetState;
use crate::state::Verdict;

/// Number of consecutive failed polls after which an engine counts as not answering.
const UNHEALTHY_POLLS: u32 = 3;

/// An engine that this entry host dispatches to.
#[derive(Debug)]
pub(super) struct DispatchedEngine {
    pub(super) addr: SocketAddr,
    pub(super) queue: EngineQueue,
    /// The engine's latest report of its models, adapters and role, which orders can change.
    pub(super) report: Option<EngineReport>,
    next_poll: Moment,
    poll_pending: bool,
    failed_polls: u32,
    /// Sequence number of the last cache event that was received.
    cache_after: u64,
    /// Attempts that have no live owner, and since when.
    orphans: BTreeMap<AttemptId, Moment>,
}

/// All engines that this entry host dispatches to.
#[derive(Debug, Default)]
pub(super) struct DispatchTable {
    pub(super) engines: BTreeMap<EngineName, DispatchedEngine>,
}

impl DispatchedEngine {
    fn new(engine: &Engine, now: Moment) -> DispatchedEngine {
        DispatchedEngine {
            addr: engine.addr,
            queue: EngineQueue::new(engine.name.clone(), engine.memory, QueuePolicy::default()),
            report: None,
            next_poll: now,
            poll_pending: false,
            failed_polls: 0,
            cache_after: 0,
            orphans: BTreeMap::new(),
        }
    }

    /// Returns the attempts that have had no live owner for at least `margin`.
    fn expired_orphans(
        &mut self,
        now: Moment,
        found: &[OrphanCandidate],
        margin: std::time::Duration,
    ) -> Vec<AttemptId> {
        self.orphans
            .retain(|attempt, _| found.iter().any(|candidate| candidate.attempt == *attempt));
        for candidate in found {
            self.orphans.entry(candidate.attempt).or_insert(now);
        }
        let expired = self.orphans.iter().filter(|(_, since)| now.since(**since) >= margin);
        expired.map(|(attempt, _)| *attempt).collect()
    }
}

impl Node {
    /// Adds the engines that this host has become the dispatcher of and removes those that it no
    /// longer is.
    ///
    /// Attempts that were granted at a removed engine continue; its new dispatcher adopts them from
    /// the engine's listing.
    pub(super) fn refresh_dispatch(&mut self, now: Moment) {
        let mine: Vec<Engine> =
            self.list.engines.iter().filter(|engine| self.dispatches_to(engine)).cloned().collect();
        self.dispatch.engines.retain(|name, dispatched| {
            mine.iter().any(|engine| engine.name == *name && engine.addr == dispatched.addr)
        });
        for engine in &mine {
            self.dispatch
                .engines
                .entry(engine.name.clone())
                .or_insert_with(|| DispatchedEngine::new(engine, now));
        }
    }

    fn dispatches_to(&self, engine: &Engine) -> bool {
        self.members.dispatcher_of(&engine.name, &engine.zone).as_ref() == Some(&self.host)
    }

    /// Polls the engines of this host for their listing and load when that is due.
    pub(super) fn poll_engines(&mut self, now: Moment) {
        let interval = self.tuning.load_poll;
        for (name, dispatched) in &mut self.dispatch.engines {
            if dispatched.poll_pending || dispatched.next_poll > now {
                continue;
            }
            dispatched.poll_pending = true;
            dispatched.next_poll = now + interval;
            let (engine, addr, cache_after) =
                (name.clone(), dispatched.addr, dispatched.cache_after);
            self.outputs.push(Output::PollEngine { engine, addr, cache_after });
        }
    }

    /// Handles the result of a poll, including a poll that got no answer.
    pub(super) fn on_engine_polled(&mut self, now: Moment, poll: EnginePoll) {
        let Some(dispatched) = self.dispatch.engines.get_mut(&poll.engine) else { return };
        dispatched.poll_pending = false;
        let answered = poll.listing.is_some();
        dispatched.failed_polls = if answered { 0 } else { dispatched.failed_polls + 1 };
        let healthy = dispatched.failed_polls < UNHEALTHY_POLLS && !poll.refused;
        dispatched.queue.set_healthy(healthy);
        let addr = dispatched.addr;
        dispatched.queue.apply_cache_events(now, &poll.cache);
        if let Some(last) = poll.cache.last() {
            dispatched.cache_after = last.seq;
        }
        let mut leaving = false;
        if let Some(stats) = poll.stats {
            let models = stats.report.models.iter().map(|loaded| loaded.model.clone()).collect();
            dispatched.queue.set_models(models);
            leaving = stats.report.leaving;
            dispatched.report = Some(stats.report);
        }
        if let Some(listing) = &poll.listing {
            self.cancel_orphans(now, &poll.engine, listing);
        }
        if leaving {
            self.observe_target(now, addr, Some(TargetState::Leaving));
        } else if answered {
            self.observe_target(now, addr, Some(TargetState::Live));
        } else if !healthy {
            self.observe_target(now, addr, None);
        }
        self.send_next_order(now, &poll.engine);
    }

    /// Cancels attempts at an engine whose owner has terminated. The margin before that is long
    /// enough for an owner that is slow but alive.
    fn cancel_orphans(&mut self, now: Moment, engine: &EngineName, listing: &[ListedAttempt]) {
        let dead = self.dead_owners(now, listing);
        let Some(dispatched) = self.dispatch.engines.get_mut(engine) else { return };
        // A grant to a terminated process must not protect the attempts that it left at the engine.
        for owner in dead {
            dispatched.queue.owner_gone(now, owner);
        }
        let candidates = dispatched.queue.reconcile(now, listing);
        let orphans: Vec<OrphanCandidate> =
            candidates.into_iter().filter(|candidate| self.is_orphan(now, candidate)).collect();
        let margin = self.tuning.orphan_margin;
        let Some(dispatched) = self.dispatch.engines.get_mut(engine) else { return };
        let addr = dispatched.addr;
        for attempt in dispatched.expired_orphans(now, &orphans, margin) {
            self.emit(Output::CancelStream { attempt, addr });
            self.record(Event::OrphanCancelled { attempt, engine: engine.clone() });
        }
    }

    /// Returns the owners in an engine's listing that are dead.
    fn dead_owners(&self, now: Moment, listing: &[ListedAttempt]) -> BTreeSet<Incarnation> {
        let owners = listing.iter().map(|item| item.owner);
        let others = owners.filter(|owner| *owner != self.incarnation);
        others.filter(|owner| self.members.owner_state(now, *owner) == OwnerState::Dead).collect()
    }

    fn is_orphan(&self, now: Moment, candidate: &OrphanCandidate) -> bool {
        if candidate.owner == self.incarnation {
            return !self.has_attempt(candidate.attempt);
        }
        self.members.owner_state(now, candidate.owner) == OwnerState::Dead
    }

    /// Sends the verdicts of all queues to the origins that requested them.
    pub(super) fn poll_queues(&mut self, now: Moment) {
        let mut verdicts = Vec::new();
        for dispatched in self.dispatch.engines.values_mut() {
            verdicts.append(&mut dispatched.queue.poll(now));
        }
        for verdict in verdicts {
            self.deliver_verdict(now, verdict);
        }
    }

    fn deliver_verdict(&mut self, now: Moment, verdict: Verdict) {
        let (to, message) = match verdict {
            Verdict::Grant { to, grant } => (to, PeerMessage::Grant(grant)),
            Verdict::Deny { to, deny } => (to, PeerMessage::Deny(deny)),
        };
        if to != self.incarnation {
            // A terminated origin needs no verdict; its ticket expires by itself.
            if let Some(host) = self.host_of(to) {
                self.send(&host, message);
            }
            return;
        }
        match message {
            PeerMessage::Grant(grant) => self.on_grant(now, &self.host.clone(), grant),
            PeerMessage::Deny(denial) => self.on_denial(now, denial),
            _ => {}
        }
    }

    fn host_of(&self, incarnation: Incarnation) -> Option<HostName> {
        let mut peers = self.members.peers();
        peers.find(|(_, peer)| peer.incarnation == Some(incarnation)).map(|(name, _)| name.clone())
    }

    /// Queues a start request from this or another entry host.
    pub(super) fn on_start_request(
        &mut self,
        now: Moment,
        from: Incarnation,
        request: StartRequest,
    ) {
        if let Some(dispatched) = self.dispatch.engines.get_mut(&request.engine) {
            dispatched.queue.submit(now, from, request);
            return;
        }
        // Hosts may briefly disagree about who dispatches to an engine; the origin then sends a new
        // start request to the dispatcher that it currently knows.
        let denial = crate::state::Denial {
            attempt: request.attempt,
            engine: request.engine,
            reason: crate::state::Reason::NoTarget,
            room_in: None,
        };
        self.deliver_verdict(now, Verdict::Deny { to: from, deny: denial });
    }

    /// Returns the loads of the engines of this host.
    pub(super) fn loads(&self) -> Vec<EngineLoad> {
        self.dispatch.engines.values().map(|dispatched| dispatched.queue.load()).collect()
    }
}
