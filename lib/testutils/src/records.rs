//! Run counts shared by the stand-ins, so that a test sees runs across the whole fleet.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use crate::server::lock;

/// Counts runs by name; clones share their counts.
#[derive(Debug, Clone, Default)]
pub struct RunRecord {
    counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl RunRecord {
    /// Counts one run of `name`.
    pub fn add(&self, name: impl Into<String>) {
        *lock(&self.counts).entry(name.into()).or_default() += 1;
    }

    /// Returns how often `name` ran.
    ///
    /// ```
    /// let record = wasabicrank_testutils::records::RunRecord::default();
    /// record.add("a");
    /// assert_eq!((record.runs("a"), record.runs("b")), (1, 0));
    /// ```
    pub fn runs(&self, name: &str) -> u32 {
        lock(&self.counts).get(name).copied().unwrap_or(0)
    }

    /// Returns the total number of runs.
    pub fn total(&self) -> u32 {
        lock(&self.counts).values().sum()
    }

    /// Returns the names that ran more than once, with their run counts.
    pub fn repeated(&self) -> Vec<(String, u32)> {
        let counts = lock(&self.counts);
        let repeated = counts.iter().filter(|(_, runs)| **runs > 1);
        repeated.map(|(name, runs)| (name.clone(), *runs)).collect()
    }
}
