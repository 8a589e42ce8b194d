//! Generates the seeded arrival list of a replay.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use wasabicrank_lib::state::BLOCK_TOKENS;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::PrefixHash;

/// The maximum length of a short prompt in the measurements, in tokens.
pub const SHORT_PROMPT: u32 = 4_096;

/// The length above which a prompt counts as very long in the load, in tokens.
pub const LONG_PROMPT: u32 = 100_000;

/// The longest prompt, in tokens.
const LONGEST_PROMPT: u32 = 1_000_000;

/// The fraction of requests that extend an earlier prompt, if one fits.
const FOLLOW_FRACTION: f64 = 0.3;

/// The number of most recent prompts that a request may extend.
const FOLLOW_WINDOW: usize = 64;

/// The maximum number of tokens in an answer.
pub const OUTPUT_MAX: u32 = 512;

/// A fraction of the requests, with prompt lengths that are uniform in their logarithm.
#[derive(Debug, Clone, Copy)]
struct LengthRange {
    fraction: f64,
    from: u32,
    to: u32,
}

/// The mix of prompt lengths: 2% are over 100,000 tokens.
const LENGTHS: [LengthRange; 4] = [
    LengthRange { fraction: 0.70, from: 1_000, to: SHORT_PROMPT },
    LengthRange { fraction: 0.20, from: SHORT_PROMPT, to: 16_384 },
    LengthRange { fraction: 0.08, from: 16_384, to: LONG_PROMPT },
    LengthRange { fraction: 0.02, from: LONG_PROMPT, to: LONGEST_PROMPT },
];

/// One request of a replay.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// The time when it reaches its entry host.
    pub at: Moment,
    /// A number that selects its entry host.
    pub host: usize,
    /// The number of its customer.
    pub customer: usize,
    /// The prompt's length, in tokens.
    pub prompt_tokens: u32,
    /// The answer's length, in tokens.
    pub answer_tokens: u32,
    /// The hashes of the prompt's blocks.
    pub blocks: Vec<PrefixHash>,
    /// The time from arrival to its deadline.
    pub patience: Duration,
}

/// The load of a replay.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    /// Prompt tokens per second, including those that are later found in a cache.
    pub token_rate: f64,
    /// The period during which requests arrive.
    pub span: Duration,
    /// An optional burst of very long requests.
    pub burst: Option<Burst>,
    /// The seed.
    pub seed: u64,
}

/// Very long requests that arrive at the same time.
#[derive(Debug, Clone, Copy)]
pub struct Burst {
    /// The arrival time.
    pub at: Moment,
    /// The number of requests.
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
        let mut generator =
            Generator { rng: SmallRng::seed_from_u64(self.seed), recent: Vec::new() };
        let rate = self.token_rate / mean_length();
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            at += -generator.rng.random_range(f64::EPSILON..1.0f64).ln() / rate;
            if at >= self.span.as_secs_f64() {
                break;
            }
            let tokens = generator.length();
            arrivals.push(generator.arrival(Moment((at * 1e6) as u64), tokens));
        }
        if let Some(burst) = self.burst {
            for _ in 0..burst.count {
                let tokens = generator.spread(LENGTHS[3]);
                arrivals.push(generator.arrival(burst.at, tokens));
            }
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        arrivals
    }
}

/// Returns the mean prompt length of the mix, in tokens.
fn mean_length() -> f64 {
    let mean = |length: &LengthRange| {
        let (from, to) = (f64::from(length.from), f64::from(length.to));
        length.fraction * (to - from) / (to / from).ln()
    };
    LENGTHS.iter().map(mean).sum()
}

/// Generates random requests.
struct Generator {
    rng: SmallRng,
    recent: Vec<Vec<PrefixHash>>,
}

impl Generator {
    fn length(&mut self) -> u32 {
        let mut draw = self.rng.random_range(0.0..1.0);
        for length in LENGTHS {
            if draw < length.fraction {
                return self.spread(length);
            }
            draw -= length.fraction;
        }
        self.spread(LENGTHS[0])
    }

    fn spread(&mut self, length: LengthRange) -> u32 {
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

    /// Returns the blocks of an earlier prompt that this prompt extends, or none. They are at least
    /// half and at most all but the last of this prompt's `count` blocks.
    fn start(&mut self, count: usize) -> Vec<PrefixHash> {
        let follows = self.rng.random_range(0.0..1.0) < FOLLOW_FRACTION;
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

/// Returns the time until the deadline of a prompt of `tokens`.
fn patience(tokens: u32) -> Duration {
    if tokens <= SHORT_PROMPT {
        Duration::from_secs(30)
    } else if tokens < LONG_PROMPT {
        Duration::from_secs(90)
    } else {
        Duration::from_secs(300)
    }
}
