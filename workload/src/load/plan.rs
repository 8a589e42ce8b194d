//! Plans the arrivals of a load from a seed; the same seed gives the same arrivals.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use wasabicrank_testutils::customers::Customer;
use wasabicrank_testutils::text::answer_text;

/// The upper bounds of the prompt length classes in the report, in tokens.
pub const LENGTH_BOUNDS: [u32; 6] = [1_024, 4_096, 16_384, 65_536, 262_144, 1_048_576];

/// The names of the prompt length classes.
pub const LENGTH_NAMES: [&str; 6] = ["1k", "4k", "16k", "64k", "256k", "1M"];

/// The longest prompt, in tokens.
const LONGEST_PROMPT: u32 = 1_000_000;

/// The shortest prompt, in tokens.
const SHORTEST_PROMPT: u32 = 256;

/// The number of tokens that a turn of a conversation may add.
const TURN_TOKENS: std::ops::Range<u32> = 100..2_000;

/// The maximum number of turns in a conversation.
const TURNS: u32 = 12;

/// Returns the index in `LENGTH_BOUNDS` of the class of a prompt of `tokens`.
///
/// ```
/// use wasabicrank_workload::load::length_index;
/// assert_eq!((length_index(1_024), length_index(1_025), length_index(900_000)), (0, 1, 5));
/// ```
pub fn length_index(tokens: u32) -> usize {
    let index = LENGTH_BOUNDS.partition_point(|bound| *bound < tokens);
    index.min(LENGTH_BOUNDS.len() - 1)
}

/// The share of prompts of each length class, in thousandths, in the order of `LENGTH_BOUNDS`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LengthMix(pub [u32; 6]);

impl LengthMix {
    /// The specified mix: one prompt in fifty is over a hundred thousand tokens.
    pub const MIXED: LengthMix = LengthMix([350, 350, 200, 80, 12, 8]);

    /// Prompts of up to 4k tokens only.
    pub const SHORT: LengthMix = LengthMix([500, 500, 0, 0, 0, 0]);
}

/// The mix of requests in a load.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadMix {
    /// The lengths of prompts outside conversations.
    pub lengths: LengthMix,
    /// How many of a thousand completions are turns of a conversation, which share prefixes.
    pub conversations: u32,
    /// How many of a thousand requests are reservations at the plain service.
    pub reservations: u32,
    /// How many of a thousand reservations are sent to two entry hosts at once.
    pub doubles: u32,
    /// The minimum and maximum number of answer tokens.
    pub answer_tokens: (u32, u32),
}

impl Default for LoadMix {
    fn default() -> Self {
        LoadMix {
            lengths: LengthMix::MIXED,
            conversations: 300,
            reservations: 50,
            doubles: 100,
            answer_tokens: (16, 200),
        }
    }
}

/// A prompt's text, given by its seed and its length.
///
/// Prompts with the same seed share all text of the shorter one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPlan {
    /// The seed of the text.
    pub seed: u64,
    /// The length in tokens.
    pub tokens: u32,
}

impl PromptPlan {
    /// Returns the text.
    pub fn text(&self) -> String {
        answer_text(self.seed, 0, self.tokens)
    }
}

/// The request of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// An answer of a model.
    Completion {
        /// The prompt.
        prompt: PromptPlan,
        /// The answer's length in tokens.
        answer_tokens: u32,
    },
    /// A call of the plain service that may run at most once.
    Reservation {
        /// The random bits of its key.
        key_seed: u64,
        /// Whether it is sent to two entry hosts at once.
        double: bool,
    },
}

/// A request and its arrival time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The time since the load's start.
    pub at: Duration,
    /// The index of its customer.
    pub customer: usize,
    /// The index of the entry host that it reaches first, modulo their number.
    pub host: usize,
    /// The request.
    pub ask: Ask,
}

/// A conversation that grows with each turn.
#[derive(Debug, Clone, Copy)]
struct Conversation {
    seed: u64,
    tokens: u32,
    turns: u32,
    customer: usize,
}

/// An endless iterator over the arrivals of a load.
#[derive(Debug, Clone)]
pub struct ArrivalPlan {
    rng: SmallRng,
    mix: LoadMix,
    /// The cumulative sums of the customers' shares.
    shares: Vec<u32>,
    rate: f64,
    at: Duration,
    conversations: Vec<Conversation>,
}

impl ArrivalPlan {
    /// Plans random arrivals from `seed`, at a mean of `rate` per second.
    ///
    /// ```
    /// use wasabicrank_testutils::customers::todays_customers;
    /// use wasabicrank_workload::load::{ArrivalPlan, LoadMix};
    /// let plan = |seed| ArrivalPlan::new(seed, LoadMix::default(), &todays_customers(), 10.0);
    /// assert_eq!(plan(1).nth(99), plan(1).nth(99));
    /// assert_ne!(plan(1).nth(99), plan(2).nth(99));
    /// ```
    pub fn new(seed: u64, mix: LoadMix, customers: &[Customer], rate: f64) -> ArrivalPlan {
        let shares = customers.iter().scan(0, |sum, customer| {
            *sum += customer.share;
            Some(*sum)
        });
        ArrivalPlan {
            rng: SmallRng::seed_from_u64(seed),
            mix,
            shares: shares.collect(),
            rate,
            at: Duration::ZERO,
            conversations: Vec::new(),
        }
    }

    fn draw_customer(&mut self) -> usize {
        let sum = self.shares.last().copied().unwrap_or(0).max(1);
        let drawn = self.rng.random_range(0..sum);
        self.shares.partition_point(|upto| *upto <= drawn)
    }

    fn draw_length(&mut self) -> u32 {
        let weights = self.mix.lengths.0;
        let mut drawn = self.rng.random_range(0..weights.iter().sum::<u32>().max(1));
        let mut index = 0;
        while index + 1 < weights.len() && drawn >= weights[index] {
            drawn -= weights[index];
            index += 1;
        }
        let low = if index == 0 { SHORTEST_PROMPT } else { LENGTH_BOUNDS[index - 1] + 1 };
        let high = LENGTH_BOUNDS[index].min(LONGEST_PROMPT);
        // Lengths are uniform in their logarithm.
        let spread = self.rng.random_range(f64::from(low).ln()..=f64::from(high).ln());
        (spread.exp().round() as u32).clamp(low, high)
    }

    /// Draws a prompt that starts or continues a conversation, and its customer.
    fn draw_prompt(&mut self) -> (usize, PromptPlan) {
        let talks = self.rng.random_range(0..1_000) < self.mix.conversations;
        if talks && !self.conversations.is_empty() {
            let index = self.rng.random_range(0..self.conversations.len());
            let added = self.rng.random_range(TURN_TOKENS);
            let turn = &mut self.conversations[index];
            turn.tokens = (turn.tokens + added).min(LONGEST_PROMPT);
            turn.turns += 1;
            let drawn = *turn;
            if drawn.turns >= TURNS {
                self.conversations.swap_remove(index);
            }
            return (drawn.customer, PromptPlan { seed: drawn.seed, tokens: drawn.tokens });
        }
        let customer = self.draw_customer();
        let prompt = PromptPlan { seed: self.rng.random(), tokens: self.draw_length() };
        if talks || self.rng.random_range(0..1_000) < self.mix.conversations {
            let PromptPlan { seed, tokens } = prompt;
            self.conversations.push(Conversation { seed, tokens, turns: 1, customer });
        }
        (customer, prompt)
    }
}

impl Iterator for ArrivalPlan {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        // Independent callers have exponentially distributed times between arrivals.
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        self.at += Duration::from_secs_f64(-uniform.ln() / self.rate);
        let host = self.rng.random_range(0..usize::from(u16::MAX));
        if self.rng.random_range(0..1_000) < self.mix.reservations {
            let customer = self.draw_customer();
            let key_seed = self.rng.random();
            let double = self.rng.random_range(0..1_000) < self.mix.doubles;
            let ask = Ask::Reservation { key_seed, double };
            return Some(Arrival { at: self.at, customer, host, ask });
        }
        let (customer, prompt) = self.draw_prompt();
        let (fewest, most) = self.mix.answer_tokens;
        let answer_tokens = self.rng.random_range(fewest..=most);
        let ask = Ask::Completion { prompt, answer_tokens };
        Some(Arrival { at: self.at, customer, host, ask })
    }
}
