//! Generates seeded arrivals from the users' workload sheets.

use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wasabicrank_lib::state::Moment;
use wasabicrank_lib::state::PromptSize;

/// One kind of request in a workload sheet.
#[derive(Debug, Clone, PartialEq)]
pub struct SheetKind {
    /// The name.
    pub name: &'static str,
    /// Requests per second without bursts.
    pub rate: f64,
    /// Prompt length in tokens: mean, standard deviation of the logarithm, and maximum.
    pub prompt: (f64, f64, f64),
    /// Answer length in events: mean, standard deviation of the logarithm, and maximum.
    pub events: (f64, f64, f64),
    /// The number of tokens in one event.
    pub stride: u64,
    /// The longest time to the first event that counts as on time.
    pub objective: Duration,
    /// The longest pause between events that counts as on time.
    pub gap: Duration,
    /// How long a caller waits for the answer.
    pub patience: Duration,
    /// The worth of a request of mean size, answered on time and late.
    pub worth: (f64, f64),
    /// The priority of its route; 0 is the highest.
    pub priority: u8,
}

impl SheetKind {
    /// Returns the kinds of today's deployments: short questions, summaries and reviews.
    pub fn today() -> Vec<SheetKind> {
        let millis = Duration::from_millis;
        vec![
            SheetKind {
                name: "question",
                rate: 35.1,
                prompt: (4_960.0, 0.9, 23_800.0),
                events: (34.9, 0.7, 87.2),
                stride: 46,
                objective: millis(300),
                gap: millis(200),
                patience: millis(10_000),
                worth: (1.3, 0.33),
                priority: 1,
            },
            SheetKind {
                name: "summary",
                rate: 2.55,
                prompt: (45_000.0, 0.5, 110_000.0),
                events: (20.9, 0.6, 52.3),
                stride: 46,
                objective: millis(1_500),
                gap: millis(500),
                patience: millis(10_000),
                worth: (3.1, 0.79),
                priority: 1,
            },
            SheetKind {
                name: "review",
                rate: 1.06,
                prompt: (210_000.0, 0.55, 1_000_000.0),
                events: (17.4, 0.5, 43.6),
                stride: 46,
                objective: millis(3_000),
                gap: millis(800),
                patience: millis(15_000),
                worth: (22.0, 5.4),
                priority: 1,
            },
        ]
    }

    /// Returns the kinds of the grown deployments.
    pub fn grown() -> Vec<SheetKind> {
        let mut kinds = SheetKind::today();
        let changes = [
            (92.1, 4_960.0, 33.0, 300, (1.4, 0.34)),
            (8.44, 45_000.0, 20.0, 1_500, (2.6, 0.66)),
            (1.92, 300_000.0, 16.0, 4_000, (30.0, 7.5)),
        ];
        for (kind, (rate, prompt, events, objective, worth)) in kinds.iter_mut().zip(changes) {
            kind.rate = rate;
            kind.prompt.0 = prompt;
            kind.events.0 = events;
            kind.stride = 52;
            kind.objective = Duration::from_millis(objective);
            kind.worth = worth;
        }
        kinds
    }

    /// Returns `kinds` with these priorities.
    pub fn with_priorities(mut kinds: Vec<SheetKind>, priorities: &[u8]) -> Vec<SheetKind> {
        for (kind, priority) in kinds.iter_mut().zip(priorities) {
            kind.priority = *priority;
        }
        kinds
    }

    /// Returns how long a caller waits for the first event.
    pub(crate) fn first_patience(&self) -> Duration {
        let least = Duration::from_secs(2);
        least.max(self.objective * 4).max(self.gap * 8).min(self.patience)
    }

    /// Returns the worth of a request with a prompt of `tokens`, answered on time and late.
    pub(crate) fn worth_of(&self, tokens: u64) -> (f64, f64) {
        let size = (0.3 + 0.7 * tokens as f64 / self.prompt.0).min(4.0);
        (self.worth.0 * size, self.worth.1 * size)
    }
}

/// A period in which each kind arrives at a multiple of its usual rate.
#[derive(Debug, Clone, PartialEq)]
pub struct Phase {
    /// The duration.
    pub span: Duration,
    /// The rate multiplier of each kind.
    pub factors: Vec<f64>,
}

/// A load to replay.
#[derive(Debug, Clone, PartialEq)]
pub struct GatewayLoad {
    /// The kinds of requests.
    pub kinds: Vec<SheetKind>,
    /// The phases, in order.
    pub phases: Vec<Phase>,
    /// The share of each customer in the requests; if empty, requests need no key.
    pub customers: Vec<f64>,
    /// The seed of the random arrivals.
    pub seed: u64,
}

/// One request of a load.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The arrival time.
    pub at: Moment,
    /// The index of its kind in [`GatewayLoad::kinds`].
    pub kind: usize,
    /// The prompt length, and the caller's limit on the answer length.
    pub size: PromptSize,
    /// The actual answer length, in tokens.
    pub answer: u64,
    /// The index of its customer in [`GatewayLoad::customers`].
    pub customer: usize,
}

impl GatewayLoad {
    /// Returns a load that alternates bursts of long and short prompts, as on the users' heaviest
    /// days.
    pub fn alternating(kinds: Vec<SheetKind>, seed: u64) -> GatewayLoad {
        let span = Duration::from_millis(9_500);
        let long = Phase { span, factors: vec![0.36, 1.3, 2.8] };
        let short = Phase { span, factors: vec![2.5, 0.5, 0.05] };
        let calm = Phase { span: Duration::from_secs(2), factors: vec![1.0, 1.0, 1.0] };
        let phases = vec![calm.clone(), long.clone(), calm, short, long];
        GatewayLoad { kinds, phases, customers: Vec::new(), seed }
    }

    /// Returns a load in which every kind arrives at a multiple of its usual rate.
    pub fn even(kinds: Vec<SheetKind>, factor: f64, seconds: u64, seed: u64) -> GatewayLoad {
        let factors = vec![factor; kinds.len()];
        let span = Duration::from_secs(seconds);
        let phases = vec![Phase { span, factors }];
        GatewayLoad { kinds, phases, customers: Vec::new(), seed }
    }

    /// Returns all arrivals in order of time.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut random = SmallRng::seed_from_u64(self.seed);
        let mut arrivals = Vec::new();
        let mut start = 0.0;
        for phase in &self.phases {
            let end = start + phase.span.as_secs_f64();
            for (position, kind) in self.kinds.iter().enumerate() {
                let rate = kind.rate * phase.factors[position];
                let mut at = start + exponential(&mut random, rate);
                while at < end {
                    arrivals.push(arrival(&mut random, position, kind, at));
                    at += exponential(&mut random, rate);
                }
            }
            start = end;
        }
        arrivals.sort_by_key(|arrival| arrival.at);
        let mut random = SmallRng::seed_from_u64(!self.seed);
        for arrival in &mut arrivals {
            arrival.customer = self.draw_customer(&mut random);
        }
        arrivals
    }

    fn draw_customer(&self, random: &mut SmallRng) -> usize {
        let mut left = random.random::<f64>() * self.customers.iter().sum::<f64>();
        for (position, share) in self.customers.iter().enumerate() {
            left -= share;
            if left < 0.0 {
                return position;
            }
        }
        self.customers.len().saturating_sub(1)
    }
}

fn arrival(random: &mut SmallRng, position: usize, kind: &SheetKind, at: f64) -> Arrival {
    let prompt = log_normal(random, kind.prompt).max(1.0) as u64 + 40;
    let events = log_normal(random, kind.events).ceil().max(1.0) as u64;
    // The median of callers' limits equals the actual length, but single limits are often far off.
    let bound = (events * kind.stride) as f64 * (0.5 * normal(random)).exp();
    Arrival {
        at: Moment((at * 1e6) as u64),
        kind: position,
        size: PromptSize { prompt, max_output: bound as u64 + 1 },
        answer: events * kind.stride,
        customer: 0,
    }
}

fn exponential(random: &mut SmallRng, rate: f64) -> f64 {
    if rate <= 0.0 {
        return f64::INFINITY;
    }
    -(1.0 - random.random::<f64>()).ln() / rate
}

fn normal(random: &mut SmallRng) -> f64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    radius * (std::f64::consts::TAU * random.random::<f64>()).cos()
}

fn log_normal(random: &mut SmallRng, (mean, spread, most): (f64, f64, f64)) -> f64 {
    let middle = mean.ln() - spread * spread / 2.0;
    (middle + spread * normal(random)).exp().min(most)
}
