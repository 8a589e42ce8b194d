//! The time line of one process: a bounded ring buffer of timestamped events that counts lost
//! events.

use std::collections::VecDeque;
use std::mem::size_of;
use std::sync::Arc;

use super::event::Considered;
use super::event::Event;
use super::hybrid_clock::HybridClock;
use super::hybrid_clock::HybridTime;
use super::names::HostName;
use super::names::RequestId;
use super::time::WallTime;

/// The average memory per event that the ring may use. A larger event may evict more than one.
const EVENT_BYTES: usize = 256;

/// An event with its timestamp and its entry host.
#[derive(Debug, Clone, PartialEq)]
pub struct StampedEvent {
    /// The timestamp.
    pub at: HybridTime,
    /// The entry host where it happened.
    pub host: HostName,
    /// The event. Shared with the ring instead of copied, because other threads wait for the ring.
    pub event: Arc<Event>,
}

/// Selects events of a time line.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events after this time.
    pub after: HybridTime,
    /// At most this many of the newest events; zero means no limit.
    pub limit: usize,
}

impl EventFilter {
    fn matches(&self, entry: &Entry) -> bool {
        self.request.is_none_or(|request| entry.request == Some(request))
    }
}

/// The events of one process that match a filter, oldest first.
#[derive(Debug, Clone, PartialEq)]
pub struct TimeLinePage {
    /// The entry host.
    pub host: HostName,
    /// The number of events that the ring has lost since the process started.
    pub lost: u64,
    /// The timestamp of the newest lost event; no later event is missing.
    pub lost_until: HybridTime,
    /// The number of matching events that were left out because of the limit.
    pub left_out: u64,
    /// The events.
    pub events: Vec<StampedEvent>,
}

#[derive(Debug, Clone)]
struct Entry {
    at: HybridTime,
    /// A copy of the event's request, so that a search need not access the memory of each event.
    request: Option<RequestId>,
    event: Arc<Event>,
}

/// The events of one process, in a ring buffer.
///
/// ```
/// use wasabicrank_lib::state::{Event, EventFilter, HostName, TimeLine, WallTime};
/// let mut line = TimeLine::new(HostName::new("entry-1"), 1);
/// line.push(WallTime(10), Event::StopBegan);
/// line.push(WallTime(11), Event::StopEnded { cut: 0 });
/// let page = line.page(&EventFilter::default());
/// assert_eq!(page.lost, 1);
/// assert_eq!(*page.events[0].event, Event::StopEnded { cut: 0 });
/// ```
#[derive(Debug, Clone)]
pub struct TimeLine {
    host: HostName,
    clock: HybridClock,
    capacity: usize,
    entries: VecDeque<Entry>,
    bytes: usize,
    lost: u64,
    lost_until: HybridTime,
}

impl TimeLine {
    /// Creates an empty time line of `host` that keeps at most `capacity` events.
    pub fn new(host: HostName, capacity: usize) -> TimeLine {
        TimeLine {
            host,
            clock: HybridClock::default(),
            capacity: capacity.max(1),
            entries: VecDeque::new(),
            bytes: 0,
            lost: 0,
            lost_until: HybridTime::default(),
        }
    }

    /// Adds an event that happened at `wall`, and evicts the oldest ones if the ring is full.
    pub fn push(&mut self, wall: WallTime, event: Event) {
        let at = self.clock.tick(wall);
        self.bytes += size_in_memory(&event);
        let request = event.request();
        self.entries.push_back(Entry { at, request, event: Arc::new(event) });
        while self.entries.len() > self.capacity || self.bytes > self.capacity * EVENT_BYTES {
            if !self.evict_oldest() {
                break;
            }
        }
    }

    /// Advances the clock to a peer's timestamp, so that later events here follow the peer's.
    pub fn observe(&mut self, wall: WallTime, received: HybridTime) {
        self.clock.observe(wall, received);
    }

    /// Returns a timestamp for a message to a peer.
    pub fn tick(&mut self, wall: WallTime) -> HybridTime {
        self.clock.tick(wall)
    }

    /// Returns the number of events lost since the start of the process.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Returns the events that match `filter`.
    pub fn page(&self, filter: &EventFilter) -> TimeLinePage {
        // Entries are in the order of their timestamps.
        let start = self.entries.partition_point(|entry| entry.at <= filter.after);
        let matching = self.entries.range(start..).filter(|entry| filter.matches(entry));
        let left_out = match filter.limit {
            0 => 0,
            limit => matching.clone().count().saturating_sub(limit),
        };
        let shown = matching.skip(left_out);
        let events = shown.map(|entry| StampedEvent {
            at: entry.at,
            host: self.host.clone(),
            event: entry.event.clone(),
        });
        TimeLinePage {
            host: self.host.clone(),
            lost: self.lost,
            lost_until: self.lost_until,
            left_out: left_out as u64,
            events: events.collect(),
        }
    }

    /// Evicts the oldest event, unless it is the only one.
    fn evict_oldest(&mut self) -> bool {
        if self.entries.len() < 2 {
            return false;
        }
        let Some(entry) = self.entries.pop_front() else { return false };
        self.bytes -= size_in_memory(&entry.event);
        self.lost += 1;
        self.lost_until = entry.at;
        true
    }
}

/// Merges the events of several processes in the order of their timestamps.
///
/// ```
/// use wasabicrank_lib::state::merge_events;
/// assert!(merge_events([]).is_empty());
/// ```
pub fn merge_events(pages: impl IntoIterator<Item = TimeLinePage>) -> Vec<StampedEvent> {
    let mut events: Vec<_> = pages.into_iter().flat_map(|page| page.events).collect();
    events.sort_by(|a, b| (a.at, &a.host).cmp(&(b.at, &b.host)));
    events
}

/// Returns the approximate memory of an event in bytes, including its lists and strings.
fn size_in_memory(event: &Event) -> usize {
    let heap = match event {
        Event::Placed { considered, .. } => considered.len() * size_of::<Considered>(),
        Event::ConfigRefused { errors, .. } => {
            errors.iter().map(|error| error.len() + size_of::<String>()).sum()
        }
        Event::LeaseGained { shards } | Event::LeaseLost { shards } => size_of_val(&shards[..]),
        Event::CallSent { target, .. } | Event::TargetChanged { target, .. } => target.len(),
        Event::OrderSent { order, .. } => order.len(),
        _ => 0,
    };
    size_of::<Entry>() + size_of::<Event>() + heap
}
