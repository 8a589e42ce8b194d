//! The intervals and limits of the core, as configured in the settings.

use std::time::Duration;

/// The settings of a process that the core uses.
///
/// All processes of one fleet should have the same values.
///
/// ```
/// use std::time::Duration;
/// use wasabicrank_lib::state::Tuning;
/// let tuning = Tuning { lease: Duration::from_secs(1), ..Tuning::default() };
/// assert!(tuning.heartbeat < tuning.lease);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Tuning {
    /// The interval between heartbeats to a peer.
    pub heartbeat: Duration,
    /// The time without a message after which a peer is suspected to be dead.
    pub suspect: Duration,
    /// The duration of a lease on a shard of idempotency keys.
    pub lease: Duration,
    /// The maximum difference between the clocks of callers and entry hosts.
    pub clock_skew: Duration,
    /// How long the home of an idempotency key keeps its entry.
    pub claim_life: Duration,
    /// How long an engine keeps the attempts of a dead owner before they are cancelled.
    pub orphan_margin: Duration,
    /// The interval between readings of an engine's load.
    pub load_poll: Duration,
    /// The time without data on an engine's stream after which the stream is abandoned.
    pub engine_idle: Duration,
    /// How long one watch request to the platform waits for a change.
    pub platform_wait: Duration,
    /// How long a planned shutdown waits for the last stream to end.
    pub stop_bound: Duration,
    /// The maximum number of model loads that the fleet orders in a minute.
    pub weight_loads: u32,
    /// The number of events that a process keeps in its time line.
    pub event_ring: usize,
}

impl Tuning {
    /// The default values, used for omitted settings.
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
