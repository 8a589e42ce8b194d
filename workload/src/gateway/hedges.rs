//! Hedged requests in a replay.

use std::collections::HashMap;
use std::time::Duration;

use wasabicrank_lib::coordination::HedgeDenial;
use wasabicrank_lib::coordination::SendResult;
use wasabicrank_lib::state::Moment;

use super::engine::JobId;
use super::replay::Event;
use super::replay::Simulation;

/// The hedged requests of a replay.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HedgeResult {
    /// When each was sent.
    pub sent: Vec<Moment>,
    /// The number that responded before the first server.
    pub won: usize,
    /// The time that servers had requests of which the response was not used.
    pub wasted: Duration,
    /// The number of decisions against one, by reason.
    pub denied: HashMap<&'static str, usize>,
}

impl Simulation<'_> {
    /// Schedules the next decision about a hedged request for a job.
    pub(crate) fn schedule_hedge(&mut self, id: JobId) {
        let job = &self.jobs[&id];
        let caller = &self.callers[job.request];
        let Some(admitted) = &caller.admitted else { return };
        let gateway = &self.gateways[caller.host];
        if let Some(at) = gateway.hedge_time(self.now, admitted, &job.dispatch) {
            self.schedule(at, Event::HedgeReview(id));
        }
    }

    pub(crate) fn review_hedge(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.is_finished || job.has_started {
            return;
        }
        let request = job.request;
        let caller = &mut self.callers[request];
        let Some(admitted) = caller.admitted.as_mut() else { return };
        let gateway = &mut self.gateways[caller.host];
        match gateway.place_hedge(self.now, admitted, &job.dispatch) {
            Ok(hedge) if gateway.begin_send(self.now, admitted, &hedge.dispatch) => {
                self.hedges.sent.push(self.now);
                let hedge = self.start_send(request, hedge.dispatch);
                self.callers[request].hedge = Some(hedge);
            }
            Ok(hedge) => gateway.finish(self.now, &hedge.dispatch),
            Err(denial) => {
                *self.hedges.denied.entry(HedgeDenial::name(denial)).or_default() += 1;
                self.schedule_hedge(id);
            }
        }
    }

    /// Ends the other send of the request whose first event comes from `winner`.
    pub(crate) fn end_race(&mut self, winner: JobId) {
        let request = self.jobs[&winner].request;
        let caller = &self.callers[request];
        let Some(hedge) = caller.hedge else { return };
        let is_won = winner == hedge;
        let loser = if is_won { caller.job } else { Some(hedge) };
        if let Some(dispatch) = loser.and_then(|loser| self.stop_job(loser)) {
            self.hedges.wasted += self.now.since(dispatch.placed);
            let caller = &self.callers[request];
            if let Some(admitted) = caller.admitted.as_ref().filter(|_| is_won) {
                let gateway = &mut self.gateways[caller.host];
                gateway.record_slow(self.now, admitted, &dispatch);
            }
        }
        let caller = &mut self.callers[request];
        caller.hedge = None;
        if is_won {
            self.hedges.won += 1;
            caller.job = Some(winner);
        }
    }

    /// Handles the silence of one of two servers that have a request; returns `false` if it has one.
    pub(crate) fn defer_silence(&mut self, id: JobId) -> bool {
        let request = self.jobs[&id].request;
        let Some(hedge) = self.callers[request].hedge else { return false };
        if id != hedge {
            let deadline = self.jobs[&hedge].dispatch.silence_deadline;
            self.schedule(
                deadline.max(self.now) + Duration::from_millis(1),
                Event::SilenceDeadline(id),
            );
            return true;
        }
        if let Some(dispatch) = self.stop_job(hedge) {
            let caller = &mut self.callers[request];
            if let Some(admitted) = caller.admitted.as_mut() {
                let gateway = &mut self.gateways[caller.host];
                gateway.record_result(self.now, admitted, &dispatch, &SendResult::Lost);
            }
        }
        true
    }
}
