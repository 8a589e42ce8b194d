//! Naive routers as a baseline: they pick an engine and send, without queues or priorities.

use std::collections::BTreeMap;
use std::time::Duration;

use wasabicrank_lib::state::AttemptId;
use wasabicrank_lib::state::Incarnation;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::Reason;
use wasabicrank_lib::state::RequestId;

use crate::replay::ENGINES;
use crate::replay::End;
use crate::replay::EngineReply;
use crate::replay::HOSTS;
use crate::replay::Link;
use crate::replay::Router;
use crate::replay_load::OUTPUT_MAX;
use wasabicrank_testutils::engine_model::EngineEventKind;
use wasabicrank_testutils::engine_model::ModelConfig;
use wasabicrank_testutils::engine_model::Order;
use wasabicrank_testutils::engine_model::Work;

/// The priority of every request.
const DEFAULT_PRIORITY: u8 = 5;

/// How long a router waits before it retries when every engine was full.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// How a naive router picks an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NaivePick {
    /// Each entry host takes the engines in turn.
    RoundRobin,
    /// The engine with the fewest of the entry host's own requests.
    LeastOutstanding,
}

/// A naive router over all entry hosts, each with its own counts.
#[derive(Debug, Clone)]
pub struct NaiveRouter {
    pick: NaivePick,
    next: [usize; HOSTS],
    outstanding: Vec<[u32; ENGINES]>,
    running: BTreeMap<usize, Running>,
    memory: u32,
}

/// A request that was sent.
#[derive(Debug, Clone)]
struct Running {
    engine: usize,
    attempt: AttemptId,
    tries: u32,
}

/// The router's timers.
#[derive(Debug, Clone, Copy)]
pub enum NaiveTimer {
    /// A request's deadline.
    Deadline(usize),
    /// A request that found every engine full is retried.
    Retry(usize),
}

impl NaiveRouter {
    /// Creates a router that picks engines by `pick`.
    pub fn new(pick: NaivePick) -> NaiveRouter {
        let memory = ModelConfig::default().memory;
        let outstanding = vec![[0; ENGINES]; HOSTS];
        NaiveRouter { pick, next: [0; HOSTS], outstanding, running: BTreeMap::new(), memory }
    }

    fn pick(&mut self, host: usize) -> usize {
        let first = self.next[host];
        self.next[host] = (first + 1) % ENGINES;
        if self.pick == NaivePick::RoundRobin {
            return first;
        }
        let after = (0..ENGINES).map(|step| (first + step) % ENGINES);
        after.min_by_key(|engine| self.outstanding[host][*engine]).unwrap_or(first)
    }

    fn send(&mut self, request: usize, tries: u32, link: &mut Link<NaiveTimer>) {
        let arrival = &link.arrivals[request];
        let host = arrival.host % HOSTS;
        let engine = self.pick(host);
        let attempt = attempt(request, tries);
        let order = Order {
            attempt,
            owner: attempt.request.origin,
            priority: DEFAULT_PRIORITY,
            prompt_tokens: arrival.prompt_tokens,
            blocks: arrival.blocks.iter().map(|hash| hash.0).collect(),
            work: Work::Stream {
                resume_from: 0,
                answer_tokens: arrival.answer_tokens,
                max_tokens: OUTPUT_MAX,
            },
        };
        self.outstanding[host][engine] += 1;
        self.running.insert(request, Running { engine, attempt, tries });
        link.submit(host, engine, order);
    }

    fn forget(&mut self, request: usize, host: usize) -> Option<Running> {
        let running = self.running.remove(&request)?;
        self.outstanding[host][running.engine] -= 1;
        Some(running)
    }

    /// Retries on the next engine, or waits if all engines were tried.
    fn retry_on_next(&mut self, attempt: AttemptId, link: &mut Link<NaiveTimer>) {
        let request = request_of(attempt);
        let is_current = self.running.get(&request).is_some_and(|run| run.attempt == attempt);
        if !is_current {
            return;
        }
        let host = link.arrivals[request].host % HOSTS;
        let Some(running) = self.forget(request, host) else { return };
        if (running.tries + 1).is_multiple_of(ENGINES as u32) {
            self.running.insert(request, running.clone());
            self.outstanding[host][running.engine] += 1;
            link.send(RETRY_DELAY, NaiveTimer::Retry(request));
        } else {
            self.send(request, running.tries + 1, link);
        }
    }
}

fn attempt(request: usize, tries: u32) -> AttemptId {
    let request = RequestId { origin: Incarnation(1), seq: request as u64 };
    AttemptId { request, number: tries + 1 }
}

fn request_of(attempt: AttemptId) -> usize {
    attempt.request.seq as usize
}

impl Router for NaiveRouter {
    type Message = NaiveTimer;

    fn arrive(&mut self, request: usize, link: &mut Link<NaiveTimer>) {
        let arrival = &link.arrivals[request];
        let (host, patience) = (arrival.host % HOSTS, arrival.patience);
        if link.faults.is_lost(host, link.now) {
            return link.end(request, End::HostLost);
        }
        if arrival.prompt_tokens + OUTPUT_MAX > self.memory {
            return link.end(request, End::Refused(Reason::PromptTooLong));
        }
        link.send(patience, NaiveTimer::Deadline(request));
        self.send(request, 0, link);
    }

    fn message(&mut self, timer: NaiveTimer, link: &mut Link<NaiveTimer>) {
        match timer {
            NaiveTimer::Deadline(request) => {
                let host = link.arrivals[request].host % HOSTS;
                let Some(running) = self.forget(request, host) else { return };
                link.cancel(host, running.engine, running.attempt);
                link.end(request, End::Missed);
            }
            NaiveTimer::Retry(request) => {
                let host = link.arrivals[request].host % HOSTS;
                let Some(running) = self.forget(request, host) else { return };
                self.send(request, running.tries + 1, link);
            }
        }
    }

    fn engine_reply(&mut self, _engine: usize, reply: EngineReply, link: &mut Link<NaiveTimer>) {
        let event = match reply {
            EngineReply::Full(attempt) | EngineReply::Broken(attempt) => {
                return self.retry_on_next(attempt, link);
            }
            EngineReply::Event(event) => event,
        };
        let request = request_of(event.attempt);
        let host = link.arrivals[request].host % HOSTS;
        if link.faults.is_lost(host, link.now) {
            return link.end(request, End::HostLost);
        }
        match event.kind {
            EngineEventKind::Started { .. } => link.first_token(request),
            EngineEventKind::Finished { .. } => {
                self.forget(request, host);
                link.end(request, End::Answered);
            }
            EngineEventKind::OutOfMemory => self.retry_on_next(event.attempt, link),
            EngineEventKind::Token { .. } | EngineEventKind::Exported { .. } => {}
        }
    }
}

/// A reference implementation of an engine's memory accounting: a list of reservations, summed on
/// each use.
#[derive(Debug, Clone, Default)]
pub struct NaiveMemory {
    /// The total memory, in tokens.
    pub total: u64,
    /// The reservations, by attempt.
    pub held: Vec<(AttemptId, u64)>,
}

impl NaiveMemory {
    /// Replaces the attempt's reservation if the new one fits, and returns whether it does.
    pub fn reserve(&mut self, attempt: AttemptId, tokens: u64) -> bool {
        let others = self.held.iter().filter(|(other, _)| *other != attempt);
        let fits = others.map(|(_, tokens)| tokens).sum::<u64>() + tokens <= self.total;
        if fits {
            self.release(attempt);
            self.held.push((attempt, tokens));
        }
        fits
    }

    /// Releases the attempt's reservation.
    pub fn release(&mut self, attempt: AttemptId) {
        self.held.retain(|(other, _)| *other != attempt);
    }

    /// Returns the sum of all reservations.
    pub fn sum(&self) -> u64 {
        self.held.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// A reference record of a customer's admissions, which counts any window exactly.
#[derive(Debug, Clone, Default)]
pub struct NaiveLimit {
    admitted: Vec<(Moment, u32)>,
}

impl NaiveLimit {
    /// Records an admission.
    pub fn admit(&mut self, now: Moment, tokens: u32) {
        self.admitted.push((now, tokens));
    }

    /// Returns the maximum number of tokens admitted within any window of length `span`.
    pub fn most_within(&self, span: Duration) -> u64 {
        let from = |start: &(Moment, u32)| {
            let inside =
                self.admitted.iter().filter(|(at, _)| *at >= start.0 && *at < start.0 + span);
            inside.map(|(_, tokens)| u64::from(*tokens)).sum()
        };
        self.admitted.iter().map(from).max().unwrap_or(0)
    }
}
