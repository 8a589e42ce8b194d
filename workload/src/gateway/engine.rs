//! Simulates an engine from its published figures: each pass advances all running answers and
//! prefills queued prompts.

use std::collections::VecDeque;

use wasabicrank_lib::state::EngineProfile;

/// The maximum number of prompt tokens that one step prefills.
const CHUNK_TOKENS: f64 = 2_048.0;
/// The number of prefill steps in a pass that has no running answers.
const PREFILL_ONLY_STEPS: f64 = 4.0;

/// Identifies one send in the replay.
pub(crate) type JobId = u64;

/// A simulated fault of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineFault {
    /// It never responds.
    Silent,
    /// Each pass takes this many times as long.
    Slow(u32),
}

#[derive(Debug)]
struct Prefill {
    job: JobId,
    tokens: f64,
    ms_per_token: f64,
    is_helper: bool,
}

/// A prompt that is waiting for a slot.
#[derive(Debug)]
struct Waiting {
    urgency: u8,
    prefill: Prefill,
}

#[derive(Debug)]
struct Decode {
    job: JobId,
    left: u64,
    context: u64,
}

/// An event reported at the end of a pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum EngineEvent {
    /// The engine has prefilled its part of a job's prompt.
    PartPrefilled(JobId),
    /// A job's answer advanced by one event.
    Event(JobId),
    /// A job's answer is complete.
    Complete(JobId),
}

/// A simulated engine.
#[derive(Debug)]
pub(crate) struct Engine {
    profile: EngineProfile,
    fault: Option<EngineFault>,
    waiting: Vec<Waiting>,
    prefills: VecDeque<Prefill>,
    decodes: Vec<Decode>,
    pass: Option<Vec<EngineEvent>>,
}

impl Engine {
    pub(crate) fn new(profile: EngineProfile, fault: Option<EngineFault>) -> Engine {
        Engine {
            profile,
            fault,
            waiting: Vec::new(),
            prefills: VecDeque::new(),
            decodes: Vec::new(),
            pass: None,
        }
    }

    /// Adds the part of a prompt that this engine prefills as a helper. It needs no slot and runs
    /// before other prompts.
    pub(crate) fn add_helper_part(&mut self, job: JobId, tokens: f64, ms: f64) {
        let at = self.prefills.iter().take_while(|one| one.is_helper).count();
        let ms_per_token = ms / tokens.max(1.0);
        self.prefills.insert(at, Prefill { job, tokens, ms_per_token, is_helper: true });
    }

    /// Queues the part of a prompt whose answer this engine generates; it waits for a slot.
    pub(crate) fn queue_prefill(&mut self, job: JobId, tokens: f64, ms: f64, urgency: u8) {
        let ms_per_token = ms / tokens.max(1.0);
        let prefill = Prefill { job, tokens, ms_per_token, is_helper: false };
        let at = self.waiting.iter().take_while(|one| one.urgency <= urgency).count();
        self.waiting.insert(at, Waiting { urgency, prefill });
    }

    /// Moves waiting prompts into free slots.
    fn admit(&mut self) {
        let prefilling = self.prefills.iter().filter(|one| !one.is_helper).count();
        let free = (self.profile.slots as usize).saturating_sub(prefilling + self.decodes.len());
        let admitted = free.min(self.waiting.len());
        self.prefills.extend(self.waiting.drain(..admitted).map(|one| one.prefill));
    }

    /// Starts generating an answer of `tokens` tokens.
    pub(crate) fn start_decode(&mut self, job: JobId, tokens: u64, context: u64) {
        self.decodes.push(Decode { job, left: tokens, context });
    }

    /// Removes all work of a job.
    pub(crate) fn cancel(&mut self, job: JobId) {
        self.waiting.retain(|waiting| waiting.prefill.job != job);
        self.prefills.retain(|prefill| prefill.job != job);
        self.decodes.retain(|decode| decode.job != job);
    }

    /// Returns whether a pass can start.
    pub(crate) fn is_startable(&self) -> bool {
        let has_work =
            !self.waiting.is_empty() || !self.prefills.is_empty() || !self.decodes.is_empty();
        self.pass.is_none() && has_work && self.fault != Some(EngineFault::Silent)
    }

    /// Starts a pass and returns its duration in milliseconds.
    pub(crate) fn begin_pass(&mut self) -> f64 {
        self.admit();
        let steps = if self.decodes.is_empty() {
            PREFILL_ONLY_STEPS
        } else {
            f64::from(self.profile.pass_steps)
        };
        let mut events = Vec::new();
        let mut ms = self.prefill_for_pass(steps * CHUNK_TOKENS, &mut events);
        if !self.decodes.is_empty() {
            ms += steps * self.step_ms();
            for decode in &mut self.decodes {
                let advance = decode.left.min(u64::from(self.profile.pass_steps));
                decode.left -= advance;
                decode.context += advance;
                events.push(EngineEvent::Event(decode.job));
                if decode.left == 0 {
                    events.push(EngineEvent::Complete(decode.job));
                }
            }
            self.decodes.retain(|decode| decode.left > 0);
        }
        self.pass = Some(events);
        match self.fault {
            Some(EngineFault::Slow(times)) => ms * f64::from(times),
            _ => ms,
        }
    }

    /// Ends the pass and returns its events.
    pub(crate) fn end_pass(&mut self) -> Vec<EngineEvent> {
        self.pass.take().unwrap_or_default()
    }

    fn step_ms(&self) -> f64 {
        let context: u64 = self.decodes.iter().map(|decode| decode.context).sum();
        self.profile.step_ms
            + self.profile.per_seq_ms * self.decodes.len() as f64
            + self.profile.context_per_k * context as f64 / 1_000.0
    }

    fn prefill_for_pass(&mut self, budget: f64, events: &mut Vec<EngineEvent>) -> f64 {
        let mut left = budget;
        let mut ms = 0.0;
        while left > 0.0 {
            let Some(prefill) = self.prefills.front_mut() else { break };
            let tokens = prefill.tokens.min(left);
            ms += tokens * prefill.ms_per_token;
            left -= tokens;
            prefill.tokens -= tokens;
            if prefill.tokens <= 0.0 {
                events.push(EngineEvent::PartPrefilled(prefill.job));
                self.prefills.pop_front();
                if self.decodes.is_empty() {
                    break;
                }
            }
        }
        ms
    }
}
