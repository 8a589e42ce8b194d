//! Placement of a request: it is sent to a server, queued at this host, or refused.

use std::time::Duration;

use rand::Rng;

use super::Gateway;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use super::candidates::ChosenGroup;
use super::candidates::EngineChoice;
use super::candidates::EngineOutcome;
use super::candidates::ServerChoice;
use crate::state::EngineProfile;
use crate::state::GapClass;
use crate::state::GuestKey;
use crate::state::Moment;
use crate::state::PromptSize;
use crate::state::RunningResponse;
use crate::state::SendId;
use crate::state::Server;
use crate::state::ServerWork;
use crate::state::prompt_value;

/// The slack added to twice the expected delay of the first event, after which the request is
/// retried at another server. Callers with short prompts leave after two seconds; prefilling a long
/// prompt again costs more than waiting for it.
const SHORT_PROMPT_SLACK: Duration = Duration::from_millis(600);
const LONG_PROMPT_SLACK: Duration = Duration::from_millis(3_500);
/// How long a plain service may take for a retryable request before it is sent to another server:
/// well above the duration of nearly all of these calls.
const PLAIN_RETRY_TIMEOUT: Duration = Duration::from_millis(350);
/// The bounds of the retry delay for refused callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);
/// The retry delay for callers whose request is worth less than the current price of its prefill.
const COSTLY_RETRY_AFTER: Duration = Duration::from_millis(3_500);
/// The shortest time between two attempts to place a waiting request.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(8);
/// The longest time between two attempts to place a waiting request, without the jitter.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(60);
/// The maximum random time added between two attempts, so that those of several hosts spread out.
const POLL_JITTER: Duration = Duration::from_millis(25);
/// The minimum time left until the deadline for a request to be sent to a server.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(20);
/// The urgency stated to engines, which admit lower numbers first: requests that are sensitive to
/// event gaps go before others.
const TIGHT_URGENCY: u8 = 2;
const LOOSE_URGENCY: u8 = 5;

/// A reservation of engine memory for one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryTicket {
    /// The reservation's name, which is unique over all sends.
    pub name: String,
    /// The number of reserved tokens.
    pub tokens: u64,
}

/// An engine that prefills a prompt jointly with the engine that produces the response.
#[derive(Debug, Clone, PartialEq)]
pub struct Helper {
    pub server: Server,
    /// The reservation of its memory, if it holds a part of the prompt.
    pub ticket: Option<MemoryTicket>,
}

/// One send of a request to a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Identifies this send in the load table.
    pub send: SendId,
    /// The server that produces the response.
    pub server: Server,
    /// The engines that prefill the prompt jointly with it.
    pub helpers: Vec<Helper>,
    /// How long the server may work from now.
    pub time_left: Duration,
    /// The expected time from now to the first part of the response.
    pub expected_delay: Duration,
    /// When another server is tried as well if no part of a response has arrived.
    pub silence_deadline: Moment,
    /// The urgency stated to the server; 0 is the most urgent.
    pub urgency: Option<u8>,
    /// Whether another server still has the request. The retry is taken when this one is sent.
    pub is_successor: bool,
    /// The host of another cell that counts this send's work, and the query that it granted; `None` if
    /// the work counts here.
    pub guest: Option<GuestKey>,
    /// Whether it is a hedged request: another server has the request and is slow, not silent.
    pub is_hedge: bool,
    /// When it was placed.
    pub placed: Moment,
}

/// The placement decision for a request.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayPlacement {
    /// It is sent to a server.
    Send(Box<Dispatch>),
    /// It waits at this host, and is placed again after this time or when another request ends.
    Wait(Duration),
    /// It is refused.
    Refuse(GatewayRefusal),
}

impl Dispatch {
    /// Returns the server and the helpers.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        std::iter::once(&self.server).chain(self.helpers.iter().map(|helper| &helper.server))
    }
}

impl Gateway {
    /// Decides whether `request` is sent, queued or refused now.
    pub fn place(&mut self, now: Moment, request: &mut GatewayRequest) -> GatewayPlacement {
        match self.choose_unless_refused(now, request) {
            Ok(choice) => self.place_by_choice(now, request, choice),
            Err(refusal) => self.refuse(now, request, refusal),
        }
    }

    /// Chooses where `request` would go now, or returns why it is refused at any server.
    pub(crate) fn choose_unless_refused(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
    ) -> Result<ServerChoice, GatewayRefusal> {
        if (now + MIN_SERVICE_TIME) >= request.deadline {
            return Err(self.timeout_refusal(request));
        }
        if let Some(refusal) = self.stop_refusal(now, request, Duration::ZERO) {
            return Err(refusal);
        }
        self.review_isolations(now);
        if let Some(refusal) = self.isolation_refusal(now, request) {
            return Err(lost_if_may_have_run(request, refusal));
        }
        let seed = self.random.random();
        let (choice, inputs) = self.choose(now, request, seed);
        request.inputs = inputs;
        Ok(choice)
    }

    /// Decides whether `request` is sent, queued or refused by the choice that was made for it.
    pub(crate) fn place_by_choice(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        choice: ServerChoice,
    ) -> GatewayPlacement {
        match choice {
            ServerChoice::NoServer => {
                let evacuated = self.evacuation_refusal(&request.service);
                let refusal = evacuated.unwrap_or_else(|| {
                    GatewayRefusal::retry_after(RefusalReason::NoServer, MIN_RETRY_AFTER * 2)
                });
                self.refuse(now, request, lost_if_may_have_run(request, refusal))
            }
            ServerChoice::AllPaused => {
                let refusal = self.pause_refusal(now, request);
                self.refuse(now, request, lost_if_may_have_run(request, refusal))
            }
            ServerChoice::NoPermit => self.wait_for_permit(now, request),
            ServerChoice::Engines(choice) => match &choice.outcome {
                EngineOutcome::Send(group) if self.yields_permit(now, request, &group.first) => {
                    self.wait_for_permit(now, request)
                }
                _ => self.place_at_engines(now, request, *choice),
            },
            ServerChoice::Plain(Some(server)) if self.yields_permit(now, request, &server) => {
                self.wait_for_permit(now, request)
            }
            ServerChoice::Plain(Some(server)) => self.place_at_server(now, request, server),
            ServerChoice::Yield(reason) => {
                let refusal = self.yield_refusal(reason);
                self.refuse(now, request, refusal)
            }
            ServerChoice::Plain(None) => self.wait_for_slot(now, request),
        }
    }

    /// Removes `request` from the queue if it is waiting.
    pub fn leave_queue(&mut self, request: &mut GatewayRequest) {
        if let Some(ticket) = request.queue_ticket.take() {
            self.queue.leave(ticket);
            self.permits.queue.leave(ticket);
        }
    }

    /// Records that the first part of a dispatch's response arrived.
    pub fn record_first_event(&mut self, now: Moment, dispatch: &Dispatch) {
        self.record_served(now, dispatch.send);
        for server in dispatch.servers() {
            self.loads.finish_prefill(&server.id, dispatch.send, now);
        }
    }

    /// Records that a dispatch has ended, with any result.
    pub fn finish(&mut self, now: Moment, dispatch: &Dispatch) {
        self.record_unserved(now, dispatch.send);
        for server in dispatch.servers() {
            self.loads.remove_work(&server.id, dispatch.send, now);
        }
    }

    /// Returns the number of requests that wait at this host.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    pub(crate) fn refuse(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        refusal: GatewayRefusal,
    ) -> GatewayPlacement {
        self.leave_queue(request);
        let refusal = self.record_refusal(now, request, refusal);
        GatewayPlacement::Refuse(refusal)
    }

    pub(crate) fn timeout_refusal(&self, request: &GatewayRequest) -> GatewayRefusal {
        if request.may_have_run() {
            return GatewayRefusal::new(RefusalReason::ServerTimeout);
        }
        GatewayRefusal::retry_after(RefusalReason::WaitedTooLong, MIN_RETRY_AFTER)
    }

    pub(crate) fn is_avoided(&self, server: &Server, now: Moment) -> bool {
        self.health.get(&server.id).is_some_and(|health| health.is_avoided(now))
    }

    fn place_at_engines(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        choice: EngineChoice,
    ) -> GatewayPlacement {
        let EngineChoice { profile, size, query, value, prefill, is_behind, queue_time, outcome } =
            choice;
        let is_deferrable = query.gap_class != GapClass::Tight;
        match outcome {
            EngineOutcome::Send(group) if !is_deferrable || !is_behind => {
                if let Some(refusal) = self.stop_refusal(now, request, group.first_event) {
                    return self.refuse(now, request, refusal);
                }
                self.leave_queue(request);
                self.send_to_group(now, request, &profile, size, group)
            }
            EngineOutcome::Send(_) => {
                self.wait(now, request, value, prefill, MIN_POLL_INTERVAL, queue_time)
            }
            EngineOutcome::Wait(time) => self.wait(now, request, value, prefill, time, queue_time),
            EngineOutcome::TooLate(time) => {
                let retry_after = (time + queue_time).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
                let refusal = GatewayRefusal::retry_after(RefusalReason::Overload, retry_after);
                self.refuse(now, request, lost_if_may_have_run(request, refusal))
            }
            EngineOutcome::TooCostly => {
                let refusal =
                    GatewayRefusal::retry_after(RefusalReason::TooCostly, COSTLY_RETRY_AFTER);
                self.refuse(now, request, lost_if_may_have_run(request, refusal))
            }
            EngineOutcome::Yield(reason) => {
                let refusal = self.yield_refusal(reason);
                self.refuse(now, request, lost_if_may_have_run(request, refusal))
            }
            EngineOutcome::TooLarge if self.fits_with_withheld(now, request, &profile, &query) => {
                let refusal = self.withheld_refusal(now, request);
                self.refuse(now, request, lost_if_may_have_run(request, refusal))
            }
            EngineOutcome::TooLarge => {
                let refusal = GatewayRefusal::new(RefusalReason::PromptTooLarge);
                self.refuse(now, request, refusal)
            }
            EngineOutcome::NoEngine => {
                let refusal = GatewayRefusal::retry_after(RefusalReason::NoServer, MIN_RETRY_AFTER);
                self.refuse(now, request, lost_if_may_have_run(request, refusal))
            }
        }
    }

    /// Queues `request`, or refuses it if its caller would leave before its turn, or if this host
    /// stops before it could be answered.
    pub(crate) fn wait(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        value: f64,
        prefill: Duration,
        delay: Duration,
        queue_time: Duration,
    ) -> GatewayPlacement {
        let left = request.abandon_at.min(request.deadline).since(now);
        if delay + queue_time > left {
            let retry_after = (delay + queue_time).clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            let refusal = GatewayRefusal::retry_after(RefusalReason::Overload, retry_after);
            return self.refuse(now, request, lost_if_may_have_run(request, refusal));
        }
        if let Some(refusal) = self.stop_refusal(now, request, delay + queue_time) {
            return self.refuse(now, request, refusal);
        }
        if request.queue_ticket.is_none() {
            request.queue_ticket = Some(self.queue.enter(now, value, prefill));
        }
        // Hosts that wait for the same engine should not all retry at the same moment.
        let jitter = self.random.random_range(0.0..1.0);
        GatewayPlacement::Wait(
            delay.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL) + POLL_JITTER.mul_f64(jitter),
        )
    }

    pub(crate) fn send_to_group(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        profile: &EngineProfile,
        size: PromptSize,
        group: ChosenGroup,
    ) -> GatewayPlacement {
        let send = self.new_send();
        let ChosenGroup { first, helpers, first_event } = group;
        self.add_group_work(now, send, profile, size, request.gap_class(), &first, &helpers);
        let dispatch = self.engine_dispatch(now, request, send, first, helpers, first_event);
        GatewayPlacement::Send(Box::new(dispatch))
    }

    /// Counts the work of a send at engines; each of `helpers` is with the tokens that its memory holds.
    #[allow(clippy::too_many_arguments)]
    pub(crate) fn add_group_work(
        &mut self,
        now: Moment,
        send: SendId,
        profile: &EngineProfile,
        size: PromptSize,
        gap_class: GapClass,
        first: &Server,
        helpers: &[(Server, u64)],
    ) {
        let part = profile.prefill_time(size.prompt) / (helpers.len() as u32 + 1);
        self.demand.count(now, profile.prefill_time(size.prompt));
        let held: u64 = helpers.iter().map(|(_, held)| held).sum();
        let tokens = size.prompt + size.max_output.min(profile.mean_output * 3);
        let work = ServerWork {
            prefill: part,
            tokens: tokens.saturating_sub(held),
            response: Some(RunningResponse { gap_class, value: prompt_value(size.prompt) }),
        };
        self.loads.add_work(&first.id, send, work, now);
        for (server, tokens) in helpers {
            let work = ServerWork { prefill: part, tokens: *tokens, response: None };
            self.loads.add_work(&server.id, send, work, now);
        }
    }

    pub(crate) fn engine_dispatch(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        send: SendId,
        first: Server,
        helpers: Vec<(Server, u64)>,
        expected: Duration,
    ) -> Dispatch {
        let helpers: Vec<Helper> = helpers
            .into_iter()
            .enumerate()
            .map(|(position, (server, held))| {
                let ticket = (held > 0).then(|| self.new_ticket(send, position, held));
                Helper { server, ticket }
            })
            .collect();
        let urgency = match request.gap_class() {
            GapClass::Tight => TIGHT_URGENCY,
            GapClass::Loose | GapClass::Wide => LOOSE_URGENCY,
        };
        let slack = match request.gap_class() {
            GapClass::Tight => SHORT_PROMPT_SLACK,
            GapClass::Loose | GapClass::Wide => LONG_PROMPT_SLACK,
        };
        let limit = match self.can_retry(now, request, request.sends + 1) {
            true => now + expected * 2 + slack,
            false => request.deadline,
        };
        self.dispatch(now, request, send, first, helpers, expected, limit, Some(urgency))
    }

    pub(crate) fn place_at_server(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        server: Server,
    ) -> GatewayPlacement {
        self.leave_queue(request);
        let send = self.new_send();
        self.add_plain_work(now, send, request.gap_class(), &server);
        let dispatch = self.plain_dispatch(now, request, send, server);
        GatewayPlacement::Send(Box::new(dispatch))
    }

    /// Counts the work of a send at a plain service's server.
    pub(crate) fn add_plain_work(
        &mut self,
        now: Moment,
        send: SendId,
        gap_class: GapClass,
        server: &Server,
    ) {
        let response = RunningResponse { gap_class, value: prompt_value(0) };
        let work = ServerWork { prefill: Duration::ZERO, tokens: 0, response: Some(response) };
        self.loads.add_work(&server.id, send, work, now);
    }

    pub(crate) fn plain_dispatch(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        send: SendId,
        server: Server,
    ) -> Dispatch {
        let limit = match self.can_retry(now, request, request.sends + 1) {
            true => now + PLAIN_RETRY_TIMEOUT,
            false => request.deadline,
        };
        self.dispatch(now, request, send, server, Vec::new(), Duration::ZERO, limit, None)
    }

    /// Queues a request for a plain service whose servers are all paused or full, as long as its
    /// response can still be on time.
    fn wait_for_slot(&mut self, now: Moment, request: &mut GatewayRequest) -> GatewayPlacement {
        if request.objective_left(now).is_zero() {
            let refusal = GatewayRefusal::retry_after(RefusalReason::Overload, MIN_RETRY_AFTER);
            return self.refuse(now, request, lost_if_may_have_run(request, refusal));
        }
        let no_prefill = Duration::ZERO;
        let weight = self.admission_terms(now, request).map_or(1.0, |(terms, _)| terms.weight);
        let value = prompt_value(0) * weight;
        self.wait(now, request, value, no_prefill, MIN_POLL_INTERVAL, no_prefill)
    }

    /// Returns whether the request could be retried at another server after `sends` sends. A
    /// request that couldn't waits for its response as long as its caller does.
    pub(crate) fn can_retry(&mut self, now: Moment, request: &GatewayRequest, sends: u32) -> bool {
        let has_attempt = request.is_retryable() && sends < request.route.attempts;
        has_attempt && {
            let hosts = self.host_count(now);
            self.budget(&request.service).remaining(now, hosts) >= 1.0
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn dispatch(
        &mut self,
        now: Moment,
        request: &mut GatewayRequest,
        send: SendId,
        server: Server,
        helpers: Vec<Helper>,
        expected: Duration,
        limit: Moment,
        urgency: Option<u8>,
    ) -> Dispatch {
        self.await_outcome(send, request);
        request.tried.push(server.id.clone());
        let time_left = request.deadline.since(now);
        let silence_deadline = limit.min(request.deadline);
        Dispatch {
            send,
            server,
            helpers,
            time_left,
            expected_delay: expected,
            silence_deadline,
            urgency,
            is_successor: false,
            guest: None,
            is_hedge: false,
            placed: now,
        }
    }

    /// Returns the prefill demand of all hosts as a fraction of the engines' capacity.
    pub fn load_factor(&self, now: Moment, engines: usize) -> f64 {
        (self.demand.rate(now) + self.peers.demand(now)) / engines.max(1) as f64
    }

    fn new_ticket(&self, send: SendId, position: usize, tokens: u64) -> MemoryTicket {
        let name = format!("{:x}-{}-{position}", self.peers.incarnation(), send.0);
        MemoryTicket { name, tokens }
    }

    pub(crate) fn new_send(&mut self) -> SendId {
        self.next_send += 1;
        SendId(self.next_send)
    }
}

/// Returns `refusal`, which promises that the request has not run, or the refusal for a lost
/// response if a server may have run it.
pub(crate) fn lost_if_may_have_run(
    request: &GatewayRequest,
    refusal: GatewayRefusal,
) -> GatewayRefusal {
    if request.may_have_run() { refusal.without_promise() } else { refusal }
}
