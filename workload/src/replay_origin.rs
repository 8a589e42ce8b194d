//! The origin role of the system's router in a replay: handles requests from arrival to answer.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::EngineName;
use wasabicrank_lib::state::Finished;
use wasabicrank_lib::state::FirstToken;
use wasabicrank_lib::state::GroupAction;
use wasabicrank_lib::state::LongGroup;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::Placement;
use wasabicrank_lib::state::PlacementQuery;
use wasabicrank_lib::state::Priority;
use wasabicrank_lib::state::Reason;
use wasabicrank_lib::state::SEGMENT_PRIORITY;
use wasabicrank_lib::state::SegmentPlan;
use wasabicrank_lib::state::Verdict;
use wasabicrank_lib::state::engine_priority;

use crate::replay::End;
use crate::replay::EngineReply;
use crate::replay::Link;
use crate::replay_fleet::FleetMessage;
use crate::replay_fleet::FleetRouter;
use crate::replay_fleet::ask_for;
use crate::replay_fleet::attempt_of;
use crate::replay_fleet::engine_index;
use crate::replay_fleet::engine_name;
use crate::replay_fleet::incarnation;
use crate::replay_fleet::model_name;
use crate::replay_fleet::refused;
use crate::replay_fleet::request_of;
use crate::replay_load::OUTPUT_MAX;
use wasabicrank_testutils::engine_model::EngineEvent;
use wasabicrank_testutils::engine_model::EngineEventKind;
use wasabicrank_testutils::engine_model::Order;
use wasabicrank_testutils::engine_model::Work;

/// The maximum number of engines that one request is tried on.
const MAX_TRIES: u32 = 4;

/// How long a prompt waits before the origin looks for a group again.
const GROUP_RETRY_DELAY: Duration = Duration::from_secs(2);

/// The priority of every request if requests are not prioritized by length.
const DEFAULT_PRIORITY: u8 = 5;

/// The requests in progress at one entry host.
#[derive(Default)]
pub(crate) struct Origin {
    running: BTreeMap<usize, Running>,
}

/// A request in progress.
struct Running {
    attempt: AttemptId,
    engine: usize,
    granted: bool,
    first: Option<Moment>,
    tried: Vec<EngineName>,
    tries: u32,
    group: Option<LongGroup>,
}

impl FleetRouter {
    /// Places a request and sends its ask.
    pub(crate) fn begin(&mut self, host: usize, request: usize, link: &mut Link<FleetMessage>) {
        self.place(host, request, 1, Vec::new(), link);
    }

    /// Places a request again after no group had room for it.
    pub(crate) fn place_again(
        &mut self,
        host: usize,
        request: usize,
        link: &mut Link<FleetMessage>,
    ) {
        // Attempts of earlier groups must not be mistaken for attempts of this group.
        let waited = link.now.since(link.arrivals[request].at).as_secs();
        let number = 10 * (1 + u32::try_from(waited).unwrap_or(u32::MAX));
        self.place(host, request, number, Vec::new(), link);
    }

    fn place(
        &mut self,
        host: usize,
        request: usize,
        number: u32,
        tried: Vec<EngineName>,
        link: &mut Link<FleetMessage>,
    ) {
        let arrival = &link.arrivals[request];
        let model = model_name();
        let query = PlacementQuery {
            model: &model,
            prompt_tokens: arrival.prompt_tokens,
            output_tokens: OUTPUT_MAX,
            blocks: &arrival.blocks,
            left: arrival.patience.saturating_sub(link.now.since(arrival.at)),
            tried: &tried,
        };
        let choice = self.hosts[host].placer.choose(link.now, &query, &self.candidates);
        match choice.placement {
            Placement::Engine { engine, .. } => {
                let engine = engine_index(&engine);
                self.ask(host, request, number, engine, tried, link);
            }
            Placement::Group(plans) => self.start_group(host, request, number, plans, link),
            Placement::Refuse { reason: Reason::MemoryFull, .. }
                if self.may_wait(request, link) =>
            {
                link.send(GROUP_RETRY_DELAY, FleetMessage::PlaceAgain { host, request });
            }
            Placement::Refuse { reason, .. } => link.end(request, refused(reason)),
        }
    }

    /// Returns whether a prompt for which no group has room is placed again later.
    fn may_wait(&self, request: usize, link: &Link<FleetMessage>) -> bool {
        let arrival = &link.arrivals[request];
        link.now.since(arrival.at) < arrival.patience / 4
    }

    fn ask(
        &mut self,
        host: usize,
        request: usize,
        number: u32,
        engine: usize,
        tried: Vec<EngineName>,
        link: &mut Link<FleetMessage>,
    ) {
        let attempt = attempt_of(host, request, number);
        let ask = Box::new(ask_for(request, attempt, engine, link));
        let tokens = ask.prompt_tokens;
        self.hosts[host].placer.record_placement(link.now, &engine_name(engine), tokens);
        self.tell(host, engine, |to| FleetMessage::Ask { from: host, to, engine, ask }, link);
        let running = Running {
            attempt,
            engine,
            granted: false,
            first: None,
            tried,
            tries: number,
            group: None,
        };
        self.hosts[host].origin.running.insert(request, running);
    }

    /// Handles a dispatcher's verdict.
    pub(crate) fn verdict(&mut self, host: usize, verdict: Verdict, link: &mut Link<FleetMessage>) {
        let (attempt, engine) = match &verdict {
            Verdict::Grant { grant, .. } => (grant.attempt, engine_index(&grant.engine)),
            Verdict::Deny { deny, .. } => (deny.attempt, engine_index(&deny.engine)),
        };
        let request = request_of(attempt);
        let Some(running) = self.hosts[host].origin.running.get_mut(&request) else {
            let withdraw = |to| FleetMessage::Withdraw { to, engine, attempt };
            return self.tell(host, engine, withdraw, link);
        };
        if let Some(group) = &mut running.group {
            let actions = match verdict {
                Verdict::Grant { .. } => group.granted(attempt),
                Verdict::Deny { deny, .. } => group.denied(attempt, deny.reason, deny.room_in),
            };
            return self.act(host, request, actions, link);
        }
        if running.attempt != attempt {
            return;
        }
        match verdict {
            Verdict::Grant { grant, .. } => {
                running.granted = true;
                let order = self.order(request, attempt, grant.cached, link);
                link.submit(host, engine, order);
            }
            Verdict::Deny { deny, .. } => self.next_try(host, request, deny.reason, link),
        }
    }

    fn order(
        &self,
        request: usize,
        attempt: AttemptId,
        cached: u32,
        link: &Link<FleetMessage>,
    ) -> Order {
        let arrival = &link.arrivals[request];
        let read = arrival.prompt_tokens.saturating_sub(cached);
        Order {
            attempt,
            owner: attempt.request.origin,
            priority: self.priority(read),
            prompt_tokens: arrival.prompt_tokens,
            blocks: arrival.blocks.iter().map(|hash| hash.0).collect(),
            work: Work::Stream {
                resume_from: 0,
                answer_tokens: arrival.answer_tokens,
                max_tokens: OUTPUT_MAX,
            },
        }
    }

    fn priority(&self, read: u32) -> u8 {
        if self.settings.queue.length_isolation {
            engine_priority(Priority::Normal, read)
        } else {
            DEFAULT_PRIORITY
        }
    }

    /// Tries a request on another engine after a denial or a failure.
    fn next_try(
        &mut self,
        host: usize,
        request: usize,
        reason: Reason,
        link: &mut Link<FleetMessage>,
    ) {
        let Some(mut running) = self.hosts[host].origin.running.remove(&request) else { return };
        running.tried.push(engine_name(running.engine));
        if running.tries >= MAX_TRIES {
            return link.end(request, refused(reason));
        }
        // A denied attempt did not run, so only failures count as retries.
        let failed = running.granted;
        if failed && self.hosts[host].budget.take_retry(link.now).is_err() {
            return link.end(request, refused(Reason::RetryBudget));
        }
        self.place(host, request, running.tries + 1, running.tried, link);
    }

    /// Repeats the asks that were waiting at a lost dispatcher.
    pub(crate) fn ask_again(&mut self, host: usize, link: &mut Link<FleetMessage>) {
        let waiting = self.hosts[host].origin.running.iter();
        let waiting = waiting.filter(|(_, running)| !running.granted && running.group.is_none());
        let waiting: Vec<usize> = waiting.map(|(request, _)| *request).collect();
        for request in waiting {
            let Some(running) = self.hosts[host].origin.running.get(&request) else { continue };
            let (attempt, engine) = (running.attempt, running.engine);
            let ask = Box::new(ask_for(request, attempt, engine, link));
            self.tell(host, engine, |to| FleetMessage::Ask { from: host, to, engine, ask }, link);
        }
    }

    /// Gives up a request whose deadline has passed.
    pub(crate) fn deadline(&mut self, request: usize, link: &mut Link<FleetMessage>) {
        for host in 0..self.hosts.len() {
            let Some(running) = self.hosts[host].origin.running.get_mut(&request) else { continue };
            if let Some(group) = &mut running.group {
                let actions = group.poll(link.now);
                self.act(host, request, actions, link);
                continue;
            }
            let (attempt, engine) = (running.attempt, running.engine);
            self.hosts[host].origin.running.remove(&request);
            link.cancel(host, engine, attempt);
            self.finish(host, engine, attempt, 0, Duration::ZERO, true, link);
            link.end(request, End::Missed);
        }
    }

    /// Handles a message from an engine to this origin.
    pub(crate) fn origin_says(
        &mut self,
        host: usize,
        engine: usize,
        attempt: AttemptId,
        reply: EngineReply,
        link: &mut Link<FleetMessage>,
    ) {
        let request = request_of(attempt);
        let Some(running) = self.hosts[host].origin.running.get(&request) else { return };
        let grouped = running.group.is_some();
        if !grouped && running.attempt != attempt {
            return;
        }
        match reply {
            EngineReply::Event(event) => self.engine_event(host, engine, event, link),
            EngineReply::Full(_) | EngineReply::Broken(_) => {
                self.finish(host, engine, attempt, 0, Duration::ZERO, true, link);
                if grouped {
                    self.group_failed(host, request, engine, link);
                } else {
                    self.next_try(host, request, Reason::TargetFailed, link);
                }
            }
        }
    }

    fn engine_event(
        &mut self,
        host: usize,
        engine: usize,
        event: EngineEvent,
        link: &mut Link<FleetMessage>,
    ) {
        let request = request_of(event.attempt);
        let attempt = event.attempt;
        match event.kind {
            EngineEventKind::Started { cached, prefill } => {
                link.first_token(request);
                self.first(host, engine, attempt, cached, prefill, link);
                let Some(running) = self.hosts[host].origin.running.get_mut(&request) else {
                    return;
                };
                running.first = Some(link.now);
            }
            EngineEventKind::Finished { tokens, .. } => {
                self.answered(host, engine, attempt, tokens, link);
            }
            EngineEventKind::Exported { export, .. } => {
                self.first(host, engine, attempt, 0, Duration::ZERO, link);
                let Some(running) = self.hosts[host].origin.running.get_mut(&request) else {
                    return;
                };
                let Some(group) = &mut running.group else { return };
                let actions = group.exported(attempt, export.to_string());
                self.act(host, request, actions, link);
            }
            EngineEventKind::OutOfMemory => {
                let reply = EngineReply::Broken(attempt);
                self.origin_says(host, engine, attempt, reply, link);
            }
            EngineEventKind::Token { .. } => {}
        }
    }

    fn first(
        &mut self,
        host: usize,
        engine: usize,
        attempt: AttemptId,
        cached: u32,
        prefill: Duration,
        link: &mut Link<FleetMessage>,
    ) {
        let request = request_of(attempt);
        let name = engine_name(engine);
        let blocks = &link.arrivals[request].blocks;
        let grouped =
            self.hosts[host].origin.running.get(&request).is_some_and(|r| r.group.is_some());
        if !grouped {
            self.hosts[host].placer.record_cached(link.now, &name, blocks);
        }
        let first = FirstToken { attempt, engine: name, cached, prefill };
        self.tell(host, engine, |to| FleetMessage::First { to, engine, first }, link);
    }

    fn answered(
        &mut self,
        host: usize,
        engine: usize,
        attempt: AttemptId,
        tokens: u32,
        link: &mut Link<FleetMessage>,
    ) {
        let request = request_of(attempt);
        let Some(running) = self.hosts[host].origin.running.get_mut(&request) else { return };
        let decode = link.now.since(running.first.unwrap_or(link.now));
        if let Some(group) = &mut running.group {
            let actions = group.completed(attempt);
            return self.act(host, request, actions, link);
        }
        self.hosts[host].origin.running.remove(&request);
        self.finish(host, engine, attempt, tokens, decode, false, link);
        link.end(request, End::Answered);
    }

    #[expect(clippy::too_many_arguments, reason = "It fills in one message.")]
    fn finish(
        &mut self,
        host: usize,
        engine: usize,
        attempt: AttemptId,
        output_tokens: u32,
        decode: Duration,
        failed: bool,
        link: &mut Link<FleetMessage>,
    ) {
        let name = engine_name(engine);
        let finished = Finished { attempt, engine: name, output_tokens, decode, failed };
        self.tell(host, engine, |to| FleetMessage::Finished { to, engine, finished }, link);
    }

    fn start_group(
        &mut self,
        host: usize,
        request: usize,
        number: u32,
        plans: Vec<SegmentPlan>,
        link: &mut Link<FleetMessage>,
    ) {
        let arrival = &link.arrivals[request];
        let attempt = attempt_of(host, request, number);
        let deadline = arrival.at + arrival.patience;
        let mut group = LongGroup::new(attempt.request, number, plans, deadline);
        let actions = group.start();
        let running = Running {
            attempt,
            engine: 0,
            granted: false,
            first: None,
            tried: Vec::new(),
            tries: number,
            group: Some(group),
        };
        self.hosts[host].origin.running.insert(request, running);
        self.act(host, request, actions, link);
    }

    fn group_failed(
        &mut self,
        host: usize,
        request: usize,
        engine: usize,
        link: &mut Link<FleetMessage>,
    ) {
        let Some(running) = self.hosts[host].origin.running.get_mut(&request) else { return };
        let Some(group) = &mut running.group else { return };
        let actions = group.failed(&engine_name(engine));
        self.act(host, request, actions, link);
    }

    /// Executes the actions that a group requests.
    fn act(
        &mut self,
        host: usize,
        request: usize,
        actions: Vec<GroupAction>,
        link: &mut Link<FleetMessage>,
    ) {
        for action in actions {
            self.act_once(host, request, action, link);
        }
        let ended = self.hosts[host].origin.running.get(&request);
        let ended = ended.is_some_and(|run| run.group.as_ref().is_some_and(LongGroup::is_ended));
        if ended {
            self.hosts[host].origin.running.remove(&request);
        }
    }

    fn act_once(
        &mut self,
        host: usize,
        request: usize,
        action: GroupAction,
        link: &mut Link<FleetMessage>,
    ) {
        match action {
            GroupAction::RequestStart { attempt, plan } => {
                let engine = engine_index(&plan.engine);
                let mut ask = ask_for(request, attempt, engine, link);
                ask.prompt_tokens = plan.tokens;
                ask.output_tokens = plan.output_tokens;
                ask.blocks = Vec::new();
                ask.segment = true;
                let ask = Box::new(ask);
                self.tell(
                    host,
                    engine,
                    |to| FleetMessage::Ask { from: host, to, engine, ask },
                    link,
                );
            }
            GroupAction::Prefill { attempt, plan, .. } => {
                self.read_segment(host, attempt, &plan, Work::Export, link);
            }
            GroupAction::Generate { attempt, plan, .. } => {
                let answer_tokens = link.arrivals[request].answer_tokens;
                let work = Work::Stream { resume_from: 0, answer_tokens, max_tokens: OUTPUT_MAX };
                self.read_segment(host, attempt, &plan, work, link);
            }
            GroupAction::Delete { attempt, engine } => {
                let engine = engine_index(&engine);
                link.cancel(host, engine, attempt);
                self.finish(host, engine, attempt, 0, Duration::ZERO, true, link);
            }
            GroupAction::Withdraw { attempt, engine } => {
                let engine = engine_index(&engine);
                let withdraw = |to| FleetMessage::Withdraw { to, engine, attempt };
                self.tell(host, engine, withdraw, link);
            }
            GroupAction::Complete => link.end(request, End::Answered),
            GroupAction::Refuse(refusal) if refusal.reason == Reason::DeadlinePassed => {
                link.end(request, End::Missed);
            }
            GroupAction::Refuse(refusal)
                if refusal.reason == Reason::MemoryFull && self.may_wait(request, link) =>
            {
                link.send(GROUP_RETRY_DELAY, FleetMessage::PlaceAgain { host, request });
            }
            GroupAction::Refuse(refusal) => link.end(request, refused(refusal.reason)),
        }
    }

    fn read_segment(
        &mut self,
        host: usize,
        attempt: AttemptId,
        plan: &SegmentPlan,
        work: Work,
        link: &mut Link<FleetMessage>,
    ) {
        let order = Order {
            attempt,
            owner: incarnation(host),
            priority: SEGMENT_PRIORITY,
            prompt_tokens: plan.tokens,
            blocks: Vec::new(),
            work,
        };
        link.submit(host, engine_index(&plan.engine), order);
    }
}
