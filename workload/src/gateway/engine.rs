//! An engine by its published figures: passes in which all answers advance and prompts are read.

use std::collections::VecDeque;

use wasabicrank_lib::state::EngineProfile;

/// The prompt tokens that one step reads at the most.
const CHUNK: f64 = 2_048.0;
/// The steps of reading that a pass without answers takes together.
const READ_STEPS: f64 = 4.0;
/// What each running answer adds to a step, and each thousand tokens of context, in milliseconds.
const PER_ANSWER_MS: f64 = 0.00483;
const PER_CONTEXT_K_MS: f64 = 0.00254;

/// Names one send in the replay.
pub(crate) type JobId = u64;

/// What is wrong with an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// It answers nothing.
    Silent,
    /// It takes this many times as long.
    Slow(u32),
}

#[derive(Debug)]
struct Reading {
    job: JobId,
    tokens: f64,
    ms_per_token: f64,
    is_helping: bool,
}

/// A prompt that waits for a slot.
#[derive(Debug)]
struct Waiting {
    urgency: u8,
    reading: Reading,
}

#[derive(Debug)]
struct Writing {
    job: JobId,
    left: u64,
    context: u64,
}

/// What happened at the end of a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// The engine's part of a job's prompt is read.
    PartRead(JobId),
    /// A job's answer advanced by an event.
    Event(JobId),
    /// A job's answer is complete.
    Complete(JobId),
}

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    profile: EngineProfile,
    fault: Option<EngineFault>,
    waiting: Vec<Waiting>,
    readings: VecDeque<Reading>,
    writings: Vec<Writing>,
    pass: Option<Vec<EngineEvent>>,
}

impl Engine {
    pub(crate) fn new(profile: EngineProfile, fault: Option<EngineFault>) -> Engine {
        Engine {
            profile,
            fault,
            waiting: Vec::new(),
            readings: VecDeque::new(),
            writings: Vec::new(),
            pass: None,
        }
    }

    /// Adds a helper's part of a prompt, which needs no slot and goes before other prompts.
    pub(crate) fn help(&mut self, job: JobId, tokens: f64, ms: f64) {
        let at = self.readings.iter().take_while(|one| one.is_helping).count();
        let ms_per_token = ms / tokens.max(1.0);
        self.readings.insert(at, Reading { job, tokens, ms_per_token, is_helping: true });
    }

    /// Adds the part of a prompt whose answer is written here; it waits for a slot.
    pub(crate) fn read(&mut self, job: JobId, tokens: f64, ms: f64, urgency: u8) {
        let ms_per_token = ms / tokens.max(1.0);
        let reading = Reading { job, tokens, ms_per_token, is_helping: false };
        let at = self.waiting.iter().take_while(|one| one.urgency <= urgency).count();
        self.waiting.insert(at, Waiting { urgency, reading });
    }

    /// Admits waiting prompts to the free slots.
    fn admit(&mut self) {
        let reading = self.readings.iter().filter(|one| !one.is_helping).count();
        let free = (self.profile.slots as usize).saturating_sub(reading + self.writings.len());
        let admitted = free.min(self.waiting.len());
        self.readings.extend(self.waiting.drain(..admitted).map(|one| one.reading));
    }

    /// Begins an answer of `tokens`.
    pub(crate) fn write(&mut self, job: JobId, tokens: u64, context: u64) {
        self.writings.push(Writing { job, left: tokens, context });
    }

    /// Drops all work of a job.
    pub(crate) fn cancel(&mut self, job: JobId) {
        self.waiting.retain(|waiting| waiting.reading.job != job);
        self.readings.retain(|reading| reading.job != job);
        self.writings.retain(|writing| writing.job != job);
    }

    /// Returns whether a pass can begin.
    pub(crate) fn is_startable(&self) -> bool {
        let has_work =
            !self.waiting.is_empty() || !self.readings.is_empty() || !self.writings.is_empty();
        self.pass.is_none() && has_work && self.fault != Some(EngineFault::Silent)
    }

    /// Begins a pass; returns how long it takes, in milliseconds.
    pub(crate) fn begin_pass(&mut self) -> f64 {
        self.admit();
        let steps =
            if self.writings.is_empty() { READ_STEPS } else { f64::from(self.profile.pass_steps) };
        let mut events = Vec::new();
        let mut ms = self.read_for_pass(steps * CHUNK, &mut events);
        if !self.writings.is_empty() {
            ms += steps * self.step_ms();
            for writing in &mut self.writings {
                let advance = writing.left.min(u64::from(self.profile.pass_steps));
                writing.left -= advance;
                writing.context += advance;
                events.push(EngineEvent::Event(writing.job));
                if writing.left == 0 {
                    events.push(EngineEvent::Complete(writing.job));
                }
            }
            self.writings.retain(|writing| writing.left > 0);
        }
        self.pass = Some(events);
        match self.fault {
            Some(EngineFault::Slow(times)) => ms * f64::from(times),
            _ => ms,
        }
    }

    /// Ends the pass and returns what happened.
    pub(crate) fn end_pass(&mut self) -> Vec<EngineEvent> {
        self.pass.take().unwrap_or_default()
    }

    fn step_ms(&self) -> f64 {
        let context: u64 = self.writings.iter().map(|writing| writing.context).sum();
        self.profile.step_ms
            + PER_ANSWER_MS * self.writings.len() as f64
            + PER_CONTEXT_K_MS * context as f64 / 1_000.0
    }

    fn read_for_pass(&mut self, budget: f64, events: &mut Vec<EngineEvent>) -> f64 {
        let mut left = budget;
        let mut ms = 0.0;
        while left > 0.0 {
            let Some(reading) = self.readings.front_mut() else { break };
            let tokens = reading.tokens.min(left);
            ms += tokens * reading.ms_per_token;
            left -= tokens;
            reading.tokens -= tokens;
            if reading.tokens <= 0.0 {
                events.push(EngineEvent::PartRead(reading.job));
                self.readings.pop_front();
                if self.writings.is_empty() {
                    break;
                }
            }
        }
        ms
    }
}
