//! The seeded arrival list of a replay.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use wasabicrank_lib::state::BLOCK_TOKENS;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::PrefixHash;

/// The length up to which a request counts as short in the measures, in tokens.
pub const SHORT_PROMPT: u32 = 4_096;

/// The length above which a request counts as very long in the load, in tokens.
pub const LONG_PROMPT: u32 = 100_000;

/// The longest prompt, in tokens.
const LONGEST_PROMPT: u32 = 1_000_000;

/// The part of requests that go on from an earlier prompt.
const FOLLOW_PART: f64 = 0.3;

/// The earlier prompts that may be gone on from.
const FOLLOW_WINDOW: usize = 64;

/// The most tokens that an answer may have.
pub const OUTPUT_MAX: u32 = 512;

/// A part of the requests, with prompt lengths spread evenly in their logarithm.
#[derive(Debug, Clone, Copy)]
struct LengthPart {
    part: f64,
    from: u32,
    to: u32,
}

/// The mix of prompt lengths: two in a hundred are over a hundred thousand tokens.
const LENGTHS: [LengthPart; 4] = [
    LengthPart { part: 0.70, from: 1_000, to: SHORT_PROMPT },
    LengthPart { part: 0.20, from: SHORT_PROMPT, to: 16_384 },
    LengthPart { part: 0.08, from: 16_384, to: LONG_PROMPT },
    LengthPart { part: 0.02, from: LONG_PROMPT, to: LONGEST_PROMPT },
];

/// One request of a replay.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it reaches its entry host.
    pub at: Moment,
    /// A number that picks its entry host.
    pub host: usize,
    /// The number of its customer.
    pub customer: usize,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The answer's length, in tokens.
    pub answer_tokens: u32,
    /// The hashes of the prompt's blocks.
    pub blocks: Vec<PrefixHash>,
    /// The time it has.
    pub patience: Duration,
}

/// What arrives in a replay.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Prompt tokens a second, before any are found cached.
    pub token_rate: f64,
    /// How long requests arrive.
    pub span: Duration,
    /// When a burst of very long requests comes, and how many.
    pub burst: Option<Burst>,
    /// The seed.
    pub seed: u64,
}

/// Very long requests that arrive at one moment.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// When.
    pub at: Moment,
    /// How many.
    pub count: usize,
}

impl LoadPlan {
    /// Returns the arrivals, in order of time; the same for the same plan.
    ///
    /// ```
    /// use std::time::Duration;
    /// use wasabicrank_workload::replay_load::LoadPlan;
    /// let span = Duration::from_secs(10);
    /// let plan = LoadPlan { token_rate: 100_000.0, span, burst: None, seed: 1 };
    /// assert_eq!(plan.arrivals().len(), plan.arrivals().len());
    /// ```
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut maker = Maker { rng: SmallRng::seed_from_u64(self.seed), recent: Vec::new() };
        let rate = self.token_rate / mean_length();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += -maker.rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
            if at >= self.span.as_secs_f64() {
                break;
            }
            let tokens = maker.length();
            arrivals.push(maker.arrival(Moment((at * 1e6) as u64), tokens));
        }
        if let Some(burst) = self.burst {
            for _ in 0..burst.count {
                let tokens = maker.spread(LENGTHS[3]);
                arrivals.push(maker.arrival(burst.at, tokens));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }
}

/// Returns the mean prompt length of the mix, in tokens.
fn mean_length() -> f64 {
    let mean = |length: &LengthPart| {
        let (from, to) = (f64::from(length.from), f64::from(length.to));
        length.part * (to - from) / (to / from).ln()
    };
    LENGTHS.iter().map(mean).sum()
}

/// Draws requests.
struct Maker {
    rng: SmallRng,
    recent: Vec<Vec<PrefixHash>>,
}

impl Maker {
    fn length(&mut self) -> u32 {
        let mut draw = self.rng.random_range(0.0..1.0);
        for length in LENGTHS {
            if draw < length.part {
                return self.spread(length);
            }
            draw -= length.part;
        }
        self.spread(LENGTHS[0])
    }

    fn spread(&mut self, length: LengthPart) -> u32 {
        let (from, to) = (f64::from(length.from), f64::from(length.to));
        let draw = self.rng.random_range(0.0..1.0);
        (from * (to / from).powf(draw)) as u32
    }

    fn arrival(&mut self, at: Moment, prompt_tokens: u32) -> Arrival {
        let count = (prompt_tokens / BLOCK_TOKENS) as usize;
        let mut blocks = self.start(count);
        while blocks.len() < count {
            blocks.push(PrefixHash(self.rng.random()));
        }
        self.remember(&blocks);
        Arrival {
            at,
            host: self.rng.random_range(0..usize::MAX),
            customer: self.rng.random_range(0..10),
            prompt_tokens,
            answer_tokens: self.rng.random_range(32..OUTPUT_MAX),
            blocks,
            patience: patience(prompt_tokens),
        }
    }

    /// Returns the blocks of an earlier prompt that this one goes on from: all but its last.
    fn start(&mut self, count: usize) -> Vec<PrefixHash> {
        let follows = self.rng.random_range(0.0..1.0) < FOLLOW_PART;
        let pick = self.rng.random_range(0..FOLLOW_WINDOW);
        let fitting =
            self.recent.iter().filter(|blocks| blocks.len() < count && blocks.len() * 2 >= count);
        let fitting: Vec<&Vec<PrefixHash>> = fitting.collect();
        match fitting.is_empty() || !follows {
            true => Vec::new(),
            false => fitting[pick % fitting.len()].clone(),
        }
    }

    fn remember(&mut self, blocks: &[PrefixHash]) {
        if blocks.is_empty() {
            return;
        }
        self.recent.push(blocks.to_vec());
        if self.recent.len() > FOLLOW_WINDOW {
            self.recent.remove(0);
        }
    }
}

/// Returns the time that a prompt of `tokens` is given.
fn patience(tokens: u32) -> Duration {
    if tokens <= SHORT_PROMPT {
        Duration::from_secs(30)
    } else if tokens < LONG_PROMPT {
        Duration::from_secs(90)
    } else {
        Duration::from_secs(300)
    }
}
