//! The time spans and bounds by which the core decides, as the settings give them.

use std::time::Duration;

/// What the core takes from a process's settings.
///
/// Every process of one fleet is meant to have the same values.
///
/// ```
/// use std::time::Duration;
/// use wasabicrank_lib::state::Tuning;
/// let tuning = Tuning { lease: Duration::from_secs(1), ..Tuning::default() };
/// assert!(tuning.heartbeat < tuning.lease);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tuning {
    /// The time between two heartbeats to every peer.
    pub heartbeat: Duration,
    /// The silence after which a peer is suspected of being dead.
    pub suspect: Duration,
    /// How long a granted lease on a shard of idempotency keys holds.
    pub lease: Duration,
    /// How far the clocks of callers and entry hosts may differ.
    pub clock_skew: Duration,
    /// How long a home remembers an idempotency key.
    pub claim_life: Duration,
    /// How long an engine may hold something of a silent owner before it is cancelled.
    pub orphan_margin: Duration,
    /// The time between two readings of an engine's load.
    pub load_poll: Duration,
    /// The silence on an engine's stream after which the stream is given up.
    pub engine_idle: Duration,
    /// How long one watch at the platform waits for a change.
    pub platform_wait: Duration,
    /// How long a planned stop waits for its last stream.
    pub stop_bound: Duration,
    /// The most model loads that the fleet may order in a minute.
    pub weight_loads: u32,
    /// The number of events that a process keeps for the time line.
    pub event_ring: usize,
}

impl Tuning {
    /// The values in force where the settings name none.
    pub const DEFAULT: Tuning = Tuning {
        heartbeat: Duration::from_millis(200),
        suspect: Duration::from_millis(1_500),
        lease: Duration::from_millis(2_000),
        clock_skew: Duration::from_millis(1_000),
        claim_life: Duration::from_secs(600),
        orphan_margin: Duration::from_millis(5_000),
        load_poll: Duration::from_millis(250),
        engine_idle: Duration::from_millis(10_000),
        platform_wait: Duration::from_millis(20_000),
        stop_bound: Duration::from_secs(300),
        weight_loads: 6,
        event_ring: 65_536,
    };
}

impl Default for Tuning {
    fn default() -> Tuning {
        Tuning::DEFAULT
    }
}
