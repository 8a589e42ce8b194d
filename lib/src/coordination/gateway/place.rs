//! Where a request goes now: to a server, into the queue, or back to its caller.

use std::time::Duration;

use rand::Rng;

use super::Gateway;
use super::GatewayRefusal;
use super::GatewayRequest;
use super::RefusalReason;
use crate::state::Answer;
use crate::state::ChoiceOutcome;
use crate::state::EngineAsk;
use crate::state::EngineProfile;
use crate::state::GapClass;
use crate::state::GroupCandidate;
use crate::state::GroupChoice;
use crate::state::Moment;
use crate::state::PromptSize;
use crate::state::SendId;
use crate::state::Server;
use crate::state::Share;
use crate::state::ZoneName;
use crate::state::choose_group;
use crate::state::prompt_worth;
use crate::state::reading_price;

/// How much later than expected a first event may come before the request is sent elsewhere: twice
/// the expected time and this. Callers of short prompts leave after two seconds; reading a long
/// prompt again costs more than waiting for it.
const SHORT_SLACK: Duration = Duration::from_millis(600);
const LONG_SLACK: Duration = Duration::from_millis(3_500);
/// How long a plain service may take for a request that can be repeated, before it is sent to
/// another server: well over what nearly all of these calls take.
const REPEAT_AFTER: Duration = Duration::from_millis(350);
/// The shortest and longest time after which a refused caller is asked to come back.
const BACK_LEAST: Duration = Duration::from_millis(250);
const BACK_MOST: Duration = Duration::from_secs(5);
/// When a caller may come back whose request costs more of the engines' time than it is worth now.
const BACK_COSTLY: Duration = Duration::from_millis(3_500);
/// The shortest time between two looks at a waiting request.
const LOOK_LEAST: Duration = Duration::from_millis(8);
/// The longest time between two looks at a waiting request.
const LOOK_MOST: Duration = Duration::from_millis(60);
/// The random time by which looks of several hosts are spread.
const LOOK_SPREAD: Duration = Duration::from_millis(25);
/// The least time that sending to a server is worth trying for.
const LEAST_TIME: Duration = Duration::from_millis(20);
/// Urgency that engines are told: requests that are sensitive to pauses are admitted first.
const TIGHT_URGENCY: u8 = 2;
const LOOSE_URGENCY: u8 = 5;

/// A part of an engine's memory that is set aside for one send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemoryTicket {
    /// Its name, which no other send ever has.
    pub name: String,
    /// The tokens that it holds.
    pub tokens: u64,
}

/// An engine that reads a prompt with the one that writes the answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Helper {
    /// The engine.
    pub server: Server,
    /// The part of its memory that holds a part of the prompt.
    pub ticket: Option<MemoryTicket>,
}

/// One send of a request to a server.
#[derive(Debug, Clone, PartialEq)]
pub struct Dispatch {
    /// Names this send in the load board.
    pub send: SendId,
    /// The server.
    pub server: Server,
    /// The engines that read the prompt with it.
    pub helpers: Vec<Helper>,
    /// How long the server may work from now.
    pub time_left: Duration,
    /// When the first part of the answer is expected, from now.
    pub expected_delay: Duration,
    /// When the request is given up at this server without any part of an answer.
    pub silence_limit: Moment,
    /// How urgent the server is told that it is; 0 is first.
    pub urgency: Option<u8>,
}

/// What happens to a request now.
#[derive(Debug, Clone, PartialEq)]
pub enum GatewayPlacement {
    /// It is sent to a server.
    Send(Box<Dispatch>),
    /// It waits here; it is to be placed anew after this time, or when a request ends.
    Wait(Duration),
    /// It gets its final answer.
    Refuse(GatewayRefusal),
}

impl Dispatch {
    /// Returns all servers that work on it.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        std::iter::once(&self.server).chain(self.helpers.iter().map(|helper| &helper.server))
    }
}

impl Gateway {
    /// Decides where `ask` goes now.
    pub fn place(&mut self, now: Moment, ask: &mut GatewayRequest) -> GatewayPlacement {
        if (now + LEAST_TIME) >= ask.deadline {
            return self.refuse(ask, self.out_of_time(ask));
        }
        let servers: Vec<Server> =
            self.servers.of_service(&ask.service).into_iter().cloned().collect();
        if servers.is_empty() {
            let back = GatewayRefusal::retry_after(RefusalReason::NoServer, BACK_LEAST * 2);
            return self.refuse(ask, back);
        }
        let untried: Vec<Server> =
            servers.iter().filter(|one| !ask.tried.contains(&one.id)).cloned().collect();
        let open = if untried.is_empty() { servers } else { untried };
        let usable: Vec<Server> =
            open.iter().filter(|one| !self.is_avoided(one, now)).cloned().collect();
        let usable = if usable.is_empty() { open } else { usable };
        let profile = self
            .catalog
            .as_ref()
            .and_then(|catalog| catalog.service(&ask.service).and_then(|service| service.engine));
        match (profile, ask.size) {
            (Some(profile), Some(size)) => self.place_at_engines(now, ask, &profile, size, &usable),
            _ => self.place_at_server(now, ask, usable),
        }
    }

    /// Removes `ask` from the queue, if it waits there.
    pub fn leave_queue(&mut self, ask: &mut GatewayRequest) {
        if let Some(ticket) = ask.waiting.take() {
            self.queue.leave(ticket);
        }
    }

    /// Notes that the first part of a dispatch's answer came.
    pub fn record_first_event(&mut self, now: Moment, dispatch: &Dispatch) {
        for server in dispatch.servers() {
            self.board.finish_reading(&server.id, dispatch.send, now);
        }
    }

    /// Notes that a dispatch is over, whatever became of it.
    pub fn finish(&mut self, now: Moment, dispatch: &Dispatch) {
        for server in dispatch.servers() {
            self.board.finish(&server.id, dispatch.send, now);
        }
    }

    /// Returns the number of requests that wait here.
    pub fn queue_len(&self) -> usize {
        self.queue.len()
    }

    fn refuse(&mut self, ask: &mut GatewayRequest, refusal: GatewayRefusal) -> GatewayPlacement {
        self.leave_queue(ask);
        GatewayPlacement::Refuse(refusal)
    }

    pub(crate) fn out_of_time(&self, ask: &GatewayRequest) -> GatewayRefusal {
        if ask.may_have_run() {
            return GatewayRefusal::new(RefusalReason::ServerTimeout);
        }
        GatewayRefusal::retry_after(RefusalReason::WaitedTooLong, BACK_LEAST)
    }

    fn is_avoided(&self, server: &Server, now: Moment) -> bool {
        self.health.get(&server.id).is_some_and(|health| health.is_avoided(now))
    }

    fn place_at_engines(
        &mut self,
        now: Moment,
        ask: &mut GatewayRequest,
        profile: &EngineProfile,
        size: PromptSize,
        servers: &[Server],
    ) -> GatewayPlacement {
        let reading = profile.prefill_time(size.prompt);
        let worth = prompt_worth(size.prompt);
        let ahead = self.queue.ahead_of(now, ask.waiting, worth, reading);
        let candidates = self.group_candidates(now, servers);
        let behind: Duration = candidates.iter().map(|candidate| candidate.load.backlog).sum();
        let behind = (behind + ahead).as_secs_f64() / candidates.len().max(1) as f64;
        let engine_ask = EngineAsk {
            size,
            pauses: ask.pauses(),
            on_time: ask.on_time(now),
            abandon_after: ask.abandon_at.since(now),
            price: reading_price(self.load_factor(now, candidates.len()), behind),
            draw: self.random.random(),
        };
        let outcome = choose_group(profile, &engine_ask, &candidates);
        let queued = ahead + self.peers.queued(now);
        let queue_time = queued / candidates.len().max(1) as u32;
        let is_loose = engine_ask.pauses != GapClass::Tight;
        match outcome {
            ChoiceOutcome::Send(choice) if !is_loose || ahead.is_zero() => {
                self.leave_queue(ask);
                self.send_to_group(now, ask, profile, size, servers, &choice)
            }
            ChoiceOutcome::Send(_) => self.wait(now, ask, worth, reading, LOOK_LEAST, queue_time),
            ChoiceOutcome::Wait(time) => self.wait(now, ask, worth, reading, time, queue_time),
            ChoiceOutcome::Hopeless(time) => {
                let back = (time + queue_time).clamp(BACK_LEAST, BACK_MOST);
                let refusal = GatewayRefusal::retry_after(RefusalReason::Overload, back);
                self.refuse(ask, not_run_only(ask, refusal))
            }
            ChoiceOutcome::TooCostly => {
                let refusal = GatewayRefusal::retry_after(RefusalReason::Overload, BACK_COSTLY);
                self.refuse(ask, not_run_only(ask, refusal))
            }
            ChoiceOutcome::TooLarge => {
                let refusal = GatewayRefusal::new(RefusalReason::PromptTooLarge);
                self.refuse(ask, refusal)
            }
            ChoiceOutcome::NoEngine => {
                let refusal = GatewayRefusal::retry_after(RefusalReason::NoServer, BACK_LEAST);
                self.refuse(ask, not_run_only(ask, refusal))
            }
        }
    }

    fn group_candidates(&self, now: Moment, servers: &[Server]) -> Vec<GroupCandidate> {
        let mut zones: Vec<&ZoneName> = servers.iter().map(|server| &server.zone).collect();
        zones.sort_unstable();
        zones.dedup();
        let candidate = |server: &Server| GroupCandidate {
            load: self.board.load(&server.id, now),
            doubtful: self.is_doubtful(&server.id, now),
            zone: zones.binary_search(&&server.zone).unwrap_or(0),
            is_near: server.zone == self.bounds.zone,
        };
        servers.iter().map(candidate).collect()
    }

    /// Lets `ask` wait, or refuses it if its caller leaves before its turn.
    fn wait(
        &mut self,
        now: Moment,
        ask: &mut GatewayRequest,
        worth: f64,
        reading: Duration,
        time: Duration,
        queue_time: Duration,
    ) -> GatewayPlacement {
        let left = ask.abandon_at.min(ask.deadline).since(now);
        if time + queue_time > left {
            let back = (time + queue_time).clamp(BACK_LEAST, BACK_MOST);
            let refusal = GatewayRefusal::retry_after(RefusalReason::Overload, back);
            return self.refuse(ask, not_run_only(ask, refusal));
        }
        if ask.waiting.is_none() {
            ask.waiting = Some(self.queue.enter(now, worth, reading));
        }
        // Hosts that wait for the same engine should not all look at the same moment.
        let spread = self.random.random_range(0.0..1.0);
        GatewayPlacement::Wait(time.clamp(LOOK_LEAST, LOOK_MOST) + LOOK_SPREAD.mul_f64(spread))
    }

    fn send_to_group(
        &mut self,
        now: Moment,
        ask: &mut GatewayRequest,
        profile: &EngineProfile,
        size: PromptSize,
        servers: &[Server],
        choice: &GroupChoice,
    ) -> GatewayPlacement {
        let first = servers[choice.first].clone();
        let part = profile.prefill_time(size.prompt) / (choice.helpers.len() as u32 + 1);
        self.demand.count(now, profile.prefill_time(size.prompt));
        let send = self.new_send();
        let helpers: Vec<Helper> = choice
            .helpers
            .iter()
            .map(|helper| Helper {
                server: servers[helper.position].clone(),
                ticket: (helper.held > 0)
                    .then(|| self.new_ticket(send, helper.position, helper.held)),
            })
            .collect();
        let held: u64 = choice.helpers.iter().map(|helper| helper.held).sum();
        let tokens = size.prompt + size.answer.min(profile.usual_answer * 3);
        let share = Share {
            reading: part,
            tokens: tokens.saturating_sub(held),
            writes: Some(Answer { pauses: ask.pauses(), worth: prompt_worth(size.prompt) }),
        };
        self.board.start(&first.id, send, share, now);
        for helper in &helpers {
            let tokens = helper.ticket.as_ref().map_or(0, |ticket| ticket.tokens);
            let share = Share { reading: part, tokens, writes: None };
            self.board.start(&helper.server.id, send, share, now);
        }
        let expected = choice.first_event;
        let urgency = match ask.pauses() {
            GapClass::Tight => TIGHT_URGENCY,
            GapClass::Loose | GapClass::Wide => LOOSE_URGENCY,
        };
        let slack = match ask.pauses() {
            GapClass::Tight => SHORT_SLACK,
            GapClass::Loose | GapClass::Wide => LONG_SLACK,
        };
        let limit = match self.can_repeat(now, ask, ask.sends + 1) {
            true => now + expected * 2 + slack,
            false => ask.deadline,
        };
        self.dispatch(now, ask, send, first, helpers, expected, limit, Some(urgency))
    }

    /// Sends `ask` to the server that has the fewest requests for its slots.
    fn place_at_server(
        &mut self,
        now: Moment,
        ask: &mut GatewayRequest,
        servers: Vec<Server>,
    ) -> GatewayPlacement {
        let zone = self.bounds.zone.clone();
        let mut scored: Vec<(f64, Server)> = Vec::new();
        for server in servers {
            let load = self.board.load(&server.id, now);
            let mut score = f64::from(load.running_total()) / f64::from(server.slots.max(1));
            if self.is_doubtful(&server.id, now) {
                score += 2.0;
            }
            if server.zone != zone {
                score += 0.05;
            }
            scored.push((score + self.random.random_range(0.0..0.02), server));
        }
        scored.sort_by(|a, b| a.0.total_cmp(&b.0));
        let Some((_, server)) = scored.into_iter().next() else {
            let refusal = GatewayRefusal::retry_after(RefusalReason::NoServer, BACK_LEAST);
            return self.refuse(ask, refusal);
        };
        let send = self.new_send();
        let answer = Answer { pauses: ask.pauses(), worth: prompt_worth(0) };
        let share = Share { reading: Duration::ZERO, tokens: 0, writes: Some(answer) };
        self.board.start(&server.id, send, share, now);
        let limit = match self.can_repeat(now, ask, ask.sends + 1) {
            true => now + REPEAT_AFTER,
            false => ask.deadline,
        };
        self.dispatch(now, ask, send, server, Vec::new(), Duration::ZERO, limit, None)
    }

    /// Returns whether the request could be sent to another server after `sends` sends; one that
    /// could not be waits for its answer as long as its caller does.
    fn can_repeat(&mut self, now: Moment, ask: &GatewayRequest, sends: u32) -> bool {
        let has_attempt = ask.is_repeatable() && sends < ask.route.attempts;
        has_attempt && {
            let hosts = self.host_count(now);
            self.budget(&ask.service).left(now, hosts) >= 1.0
        }
    }

    /// Returns whether a stream whose server fell silent may be taken up by another server. Where it
    /// may not, the silent server keeps it: its silence alone is no reason to end an answer.
    pub fn can_resume_elsewhere(&mut self, now: Moment, ask: &GatewayRequest) -> bool {
        let servers = self.servers.of_service(&ask.service);
        let has_other = servers
            .iter()
            .any(|server| !ask.tried.contains(&server.id) && !self.is_avoided(server, now));
        has_other && self.can_repeat(now, ask, ask.sends)
    }

    #[allow(clippy::too_many_arguments)]
    fn dispatch(
        &mut self,
        now: Moment,
        ask: &mut GatewayRequest,
        send: SendId,
        server: Server,
        helpers: Vec<Helper>,
        expected: Duration,
        limit: Moment,
        urgency: Option<u8>,
    ) -> GatewayPlacement {
        ask.tried.push(server.id.clone());
        let time_left = ask.deadline.since(now);
        let silence_limit = limit.min(ask.deadline);
        GatewayPlacement::Send(Box::new(Dispatch {
            send,
            server,
            helpers,
            time_left,
            expected_delay: expected,
            silence_limit,
            urgency,
        }))
    }

    /// Returns the engines' time that all hosts are asked for, as a part of what there is.
    pub fn load_factor(&self, now: Moment, engines: usize) -> f64 {
        (self.demand.rate(now) + self.peers.demand(now)) / engines.max(1) as f64
    }

    fn new_ticket(&self, send: SendId, position: usize, tokens: u64) -> MemoryTicket {
        let name = format!("{:x}-{}-{position}", self.peers.incarnation(), send.0);
        MemoryTicket { name, tokens }
    }

    fn new_send(&mut self) -> SendId {
        self.next_send += 1;
        SendId(self.next_send)
    }
}

/// Turns a refusal that promises "not run" into one that promises nothing, if some server may have
/// run the request.
pub(crate) fn not_run_only(ask: &GatewayRequest, refusal: GatewayRefusal) -> GatewayRefusal {
    if ask.may_have_run() { GatewayRefusal::new(RefusalReason::AnswerLost) } else { refusal }
}
