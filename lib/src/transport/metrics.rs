//! Metrics.

use crate::coordination::NodeStatus;
use crate::state::Event;
use crate::transport::PeerCounters;

/// Metrics.
pub struct Metrics;

impl Metrics {
    /// New.
    pub fn new() -> Metrics {
        Metrics
    }
    /// Observe.
    pub fn observe(&self, _event: &Event) {}
    /// Record.
    pub fn record(&self, _status: &NodeStatus, _links: &PeerCounters, _shed: u64) {}
}
