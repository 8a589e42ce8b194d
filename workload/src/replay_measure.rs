//! Measurements of a replay: time to first token by prompt length, slowdown of short requests, and
//! counts of refused, missed and lost requests.

use std::time::Duration;

use wasabicrank_lib::state::Moment;

use crate::naive::NaivePick;
use crate::naive::NaiveRouter;
use crate::replay::ENGINES;
use crate::replay::End;
use crate::replay::Faults;
use crate::replay::LostZone;
use crate::replay::ReplayResult;
use crate::replay::replay;
use crate::replay_fleet::FleetRouter;
use crate::replay_fleet::FleetSettings;
use crate::replay_load::Arrival;
use crate::replay_load::Burst;
use crate::replay_load::LoadPlan;
use crate::replay_load::SHORT_PROMPT;
use wasabicrank_testutils::engine_model::ModelConfig;

/// The number of streams that an engine at full load generates while it prefills.
const FULL_STREAMS: u32 = 8;

/// The prompt length buckets of the measurements, in ascending order of length.
pub const BUCKETS: [Bucket; 6] = [
    Bucket { name: "1k", above: 0, to: 2_048 },
    Bucket { name: "4k", above: 2_048, to: 4_096 },
    Bucket { name: "16k", above: 4_096, to: 16_384 },
    Bucket { name: "64k", above: 16_384, to: 100_000 },
    Bucket { name: "256k", above: 100_000, to: 399_488 },
    Bucket { name: "1M", above: 399_488, to: 1_000_000 },
];

/// A range of prompt lengths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bucket {
    /// The name in tables.
    pub name: &'static str,
    /// The exclusive lower bound, in tokens.
    pub above: u32,
    /// The inclusive upper bound, in tokens.
    pub to: u32,
}

impl Bucket {
    /// Returns whether a prompt of `tokens` is in the bucket.
    pub fn has(&self, tokens: u32) -> bool {
        tokens > self.above && tokens <= self.to
    }
}

/// The router that a replay measures.
#[derive(Debug, Clone)]
pub enum Contender {
    /// The system's own router.
    Ours(Box<FleetSettings>),
    /// A naive router.
    Naive(NaivePick),
}

impl Contender {
    /// Returns the system's router with all mechanisms enabled.
    pub fn ours() -> Contender {
        Contender::Ours(Box::default())
    }

    /// Returns the name in tables.
    pub fn name(&self) -> &'static str {
        match self {
            Contender::Ours(_) => "wasabicrank",
            Contender::Naive(NaivePick::RoundRobin) => "round robin",
            Contender::Naive(NaivePick::LeastOutstanding) => "least outstanding",
        }
    }

    fn run(&self, arrivals: Vec<Arrival>, faults: Faults, seed: u64) -> ReplayResult {
        match self {
            Contender::Ours(settings) => {
                replay(FleetRouter::new((**settings).clone(), seed), arrivals, faults)
            }
            Contender::Naive(pick) => replay(NaiveRouter::new(*pick), arrivals, faults),
        }
    }
}

/// A load, with optional faults.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The name in tables.
    pub name: &'static str,
    /// The load, as a fraction of the engines' capacity.
    pub load: f64,
    /// The period during which requests arrive.
    pub span: Duration,
    /// Whether ten very long requests arrive at once in the middle.
    pub burst: bool,
    /// The faults.
    pub faults: Faults,
    /// The seed.
    pub seed: u64,
}

impl Scenario {
    /// Returns a load without faults.
    pub fn plain(name: &'static str, load: f64, span: Duration, seed: u64) -> Scenario {
        Scenario { name, load, span, burst: false, faults: Faults::default(), seed }
    }

    /// Returns all scenarios, each over `span`.
    pub fn all(span: Duration, seed: u64) -> Vec<Scenario> {
        let plain = |name, load| Scenario::plain(name, load, span, seed);
        let middle = Moment(0) + span / 2;
        let lost_zone = Some(LostZone { zone: 2, at: middle });
        let lag = Duration::from_secs(2);
        vec![
            plain("load 50%", 0.5),
            plain("load 70%", 0.7),
            plain("load 85%", 0.85),
            plain("load 100%", 1.0),
            Scenario { burst: true, ..plain("burst of ten", 0.7) },
            Scenario {
                faults: Faults { lost_zone, ..Faults::default() },
                ..plain("zone lost", 0.7)
            },
            Scenario {
                faults: Faults { slow_engine: Some(3), ..Faults::default() },
                ..plain("slow engine", 0.7)
            },
            Scenario {
                faults: Faults { report_lag: lag, ..Faults::default() },
                ..plain("reports lag 2 s", 0.7)
            },
        ]
    }

    /// Returns the arrivals.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let burst = Burst { at: Moment(0) + self.span / 2, count: 10 };
        let plan = LoadPlan {
            token_rate: self.load * full_rate(),
            span: self.span,
            burst: self.burst.then_some(burst),
            seed: self.seed,
        };
        plan.arrivals()
    }

    /// Runs the scenario twice: with all requests, and with its short requests alone.
    pub fn measure(&self, contender: &Contender) -> Measures {
        let arrivals = self.arrivals();
        let short: Vec<Arrival> =
            arrivals.iter().filter(|arrival| is_short(arrival)).cloned().collect();
        let mixed = contender.run(arrivals, self.faults.clone(), self.seed);
        let alone = contender.run(short, self.faults.clone(), self.seed);
        Measures::new(&mixed, &alone)
    }
}

/// Returns the prompt tokens per second that all engines together prefill at full load, while they
/// generate their streams.
pub fn full_rate() -> f64 {
    let config = ModelConfig::default();
    let read = f64::from(config.chunk_tokens) / f64::from(config.prefill_rate);
    let streams = config.step_base + config.step_stream * FULL_STREAMS;
    f64::from(config.chunk_tokens) / (read + streams.as_secs_f64()) * ENGINES as f64
}

/// Returns the time in which an idle engine prefills `tokens`.
pub fn idle_prefill(tokens: u32) -> Duration {
    let rate = ModelConfig::default().prefill_rate;
    Duration::from_secs_f64(f64::from(tokens) / f64::from(rate))
}

fn is_short(arrival: &Arrival) -> bool {
    arrival.prompt_tokens <= SHORT_PROMPT
}

/// Percentiles of a set of times or ratios.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Spread {
    /// The number of values.
    pub count: usize,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
    pub p99: f64,
}

impl Spread {
    /// Returns the percentiles of `values`.
    ///
    /// ```
    /// use wasabicrank_workload::replay_measure::Spread;
    /// let spread = Spread::of((1..=100).map(f64::from).collect());
    /// assert_eq!((spread.p50, spread.p99), (50.0, 99.0));
    /// ```
    pub fn of(mut values: Vec<f64>) -> Spread {
        values.sort_by(f64::total_cmp);
        let at = |part: f64| {
            let rank = (values.len() as f64 * part).ceil() as usize;
            values.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Spread { count: values.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

/// The number of requests by outcome.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Answered completely.
    pub answered: usize,
    /// Refused before the first token.
    pub refused: usize,
    /// Admitted, but not answered by their deadline.
    pub missed: usize,
    /// Lost together with their entry host.
    pub lost: usize,
    /// Still open at the end of the replay.
    pub open: usize,
    /// Missed requests with a prompt of more than 100,000 tokens.
    pub long_missed: usize,
}

/// The measurements of one scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Measures {
    /// Time to first token of each bucket, in the order of `BUCKETS`, in seconds.
    pub first: Vec<Spread>,
    /// Time to first token over that of an idle engine's prefill of the same length, by bucket.
    pub stretch: Vec<Spread>,
    /// Time to first token of short requests, in seconds.
    pub short: Spread,
    /// The same when short requests run alone.
    pub alone: Spread,
    /// The ratio of each short request's time to its time when short requests run alone.
    pub paired: Spread,
    /// The number of requests by outcome.
    pub ends: EndCounts,
    /// The most memory held on any engine, in tokens.
    pub peak_held: u32,
    /// How often an answer grew past an engine's memory.
    pub over_memory: u64,
    /// The memory still held at the end, in tokens.
    pub left_held: u32,
}

impl Measures {
    fn new(mixed: &ReplayResult, alone: &ReplayResult) -> Measures {
        let short = first_tokens(mixed, is_short);
        let single = first_tokens(alone, |_| true);
        let both = short.iter().zip(&single);
        let paired = both.filter_map(|(mixed, alone)| Some((*mixed)? / (*alone)?));
        Measures {
            first: BUCKETS.iter().map(|bucket| bucket_spread(mixed, bucket, |_| 1.0)).collect(),
            stretch: BUCKETS
                .iter()
                .map(|bucket| bucket_spread(mixed, bucket, |n| idle_prefill(n).as_secs_f64()))
                .collect(),
            paired: Spread::of(paired.collect()),
            short: Spread::of(short.into_iter().flatten().collect()),
            alone: Spread::of(single.into_iter().flatten().collect()),
            ends: count_ends(mixed),
            peak_held: mixed.peak_held,
            over_memory: mixed.over_memory,
            left_held: mixed.left_held,
        }
    }

    /// Returns the ratio of the short requests' 99th percentile to the one when they run alone.
    pub fn slowdown(&self) -> f64 {
        self.short.p99 / self.alone.p99.max(1e-9)
    }
}

/// Returns the times to first token, in seconds, of the requests that `of` picks.
fn first_tokens(result: &ReplayResult, of: impl Fn(&Arrival) -> bool) -> Vec<Option<f64>> {
    let both = result.arrivals.iter().zip(&result.records);
    let picked = both.filter(|(arrival, _)| of(arrival));
    picked.map(|(_, record)| record.first.map(|first| first.as_secs_f64())).collect()
}

fn bucket_spread(result: &ReplayResult, bucket: &Bucket, unit: impl Fn(u32) -> f64) -> Spread {
    let both = result.arrivals.iter().zip(&result.records);
    let picked = both.filter(|(arrival, _)| bucket.has(arrival.prompt_tokens));
    let times = picked.filter_map(|(arrival, record)| {
        Some(record.first?.as_secs_f64() / unit(arrival.prompt_tokens))
    });
    Spread::of(times.collect())
}

fn count_ends(result: &ReplayResult) -> EndCounts {
    let mut counts = EndCounts::default();
    for (arrival, record) in result.arrivals.iter().zip(&result.records) {
        match record.end {
            Some(End::Answered) => counts.answered += 1,
            Some(End::Refused(_)) => counts.refused += 1,
            Some(End::Missed) => {
                counts.missed += 1;
                counts.long_missed += usize::from(arrival.prompt_tokens > 100_000);
            }
            Some(End::HostLost) => counts.lost += 1,
            None => counts.open += 1,
        }
    }
    counts
}
