//! Segments of split prompts that engines hold for each other.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;

use crate::server::lock;
use crate::text::TextHash;

/// A reference in a request to a segment held by an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// The engine that holds it.
    pub engine: SocketAddr,
    /// The export name assigned by that engine.
    pub export: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// A held segment.
#[derive(Debug, Clone)]
struct Segment {
    tokens: u32,
    /// All text up to the segment's end.
    text: TextHash,
    /// The segments before it.
    before: Vec<SegmentRef>,
}

/// The segments held by all engines of a fleet; clones share them.
///
/// It replaces the KV cache transfers between real engines.
#[derive(Debug, Clone, Default)]
pub struct Exports {
    segments: Arc<Mutex<HashMap<(SocketAddr, String), Segment>>>,
}

impl Exports {
    /// Adds a held segment.
    pub(crate) fn hold(&self, segment: SegmentRef, text: TextHash, before: Vec<SegmentRef>) {
        let tokens = segment.tokens;
        let key = (segment.engine, segment.export);
        lock(&self.segments).insert(key, Segment { tokens, text, before });
    }

    /// Removes a segment.
    pub(crate) fn drop_export(&self, engine: SocketAddr, export: &str) {
        lock(&self.segments).remove(&(engine, export.to_owned()));
    }

    /// Removes all segments of an engine that lost its memory.
    pub(crate) fn drop_engine(&self, engine: SocketAddr) {
        lock(&self.segments).retain(|key, _| key.0 != engine);
    }

    /// Returns the text state after `segments`, if all are held and consecutive.
    pub(crate) fn import(&self, segments: &[SegmentRef]) -> Option<TextHash> {
        let Some((last, before)) = segments.split_last() else { return Some(TextHash::default()) };
        if !self.are_held(segments) {
            return None;
        }
        let held = lock(&self.segments);
        let segment = held.get(&(last.engine, last.export.clone()))?;
        (segment.before == before).then(|| segment.text.clone())
    }

    /// Returns whether all of `segments` are held.
    pub(crate) fn are_held(&self, segments: &[SegmentRef]) -> bool {
        let held = lock(&self.segments);
        segments.iter().all(|segment| {
            let found = held.get(&(segment.engine, segment.export.clone()));
            found.is_some_and(|found| found.tokens == segment.tokens)
        })
    }
}
