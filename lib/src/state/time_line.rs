//! The time line of one process: a bounded ring of stamped events that says what it lost.

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

/// The bytes that an event may take on average; events with long lists push out more than one.
const EVENT_BYTES: usize = 256;

/// An event with its time and the entry host that it happened at.
#[derive(Debug, Clone, PartialEq)]
pub struct StampedEvent {
    /// When it happened.
    pub at: HybridTime,
    /// Where it happened.
    pub host: HostName,
    /// What happened; shared with the ring, which other threads are waiting for.
    pub event: Arc<Event>,
}

/// Which events are asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only events of this request.
    pub request: Option<RequestId>,
    /// Only events after this time.
    pub after: HybridTime,
    /// At most this many, the newest of them; zero is no limit.
    pub limit: usize,
}

impl EventFilter {
    fn takes(&self, entry: &Entry) -> bool {
        self.request.is_none_or(|request| entry.request == Some(request))
    }
}

/// The events of one process that fit a filter, oldest first.
#[derive(Debug, Clone, PartialEq)]
pub struct TimeLinePage {
    /// The entry host.
    pub host: HostName,
    /// How many events the ring has lost since the process started.
    pub lost: u64,
    /// The time of the newest lost event; nothing later is missing.
    pub lost_until: HybridTime,
    /// How many events fit the filter and were left out by its limit.
    pub left_out: u64,
    /// The events.
    pub events: Vec<StampedEvent>,
}

#[derive(Debug, Clone)]
struct Entry {
    at: HybridTime,
    /// Kept beside the event, so that a search need not visit each event's own memory.
    request: Option<RequestId>,
    event: Arc<Event>,
}

/// The ring of events of one process.
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
    /// Makes an empty time line of `host` that keeps at most `capacity` events.
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

    /// Adds an event that happened at `wall`, and loses the oldest if there is no room.
    pub fn push(&mut self, wall: WallTime, event: Event) {
        let at = self.clock.tick(wall);
        self.bytes += size_in_memory(&event);
        let request = event.request();
        self.entries.push_back(Entry { at, request, event: Arc::new(event) });
        while self.entries.len() > self.capacity || self.bytes > self.capacity * EVENT_BYTES {
            if !self.lose_oldest() {
                break;
            }
        }
    }

    /// Takes note of a peer's clock, so that what follows here is later than what was there.
    pub fn observe(&mut self, wall: WallTime, received: HybridTime) {
        self.clock.observe(wall, received);
    }

    /// Returns a reading of the clock for a message to a peer.
    pub fn tick(&mut self, wall: WallTime) -> HybridTime {
        self.clock.tick(wall)
    }

    /// Returns how many events were lost since the start.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Returns the events that fit `filter`.
    pub fn page(&self, filter: &EventFilter) -> TimeLinePage {
        // Entries are in the order of their times.
        let start = self.entries.partition_point(|entry| entry.at <= filter.after);
        let fitting = self.entries.range(start..).filter(|entry| filter.takes(entry));
        let left_out = match filter.limit {
            0 => 0,
            limit => fitting.clone().count().saturating_sub(limit),
        };
        let shown = fitting.skip(left_out);
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

    /// Drops the oldest event; the newest always stays.
    fn lose_oldest(&mut self) -> bool {
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

/// Puts the events of several processes in the order in which they happened.
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

/// Returns about how many bytes an event takes, with its lists and texts.
fn size_in_memory(event: &Event) -> usize {
    let beside = match event {
        Event::Placed { considered, .. } => considered.len() * size_of::<Considered>(),
        Event::ConfigRefused { errors, .. } => {
            errors.iter().map(|error| error.len() + size_of::<String>()).sum()
        }
        Event::LeaseGained { shards } | Event::LeaseLost { shards } => size_of_val(&shards[..]),
        Event::CallSent { target, .. } | Event::TargetChanged { target, .. } => target.len(),
        Event::OrderSent { order, .. } => order.len(),
        _ => 0,
    };
    size_of::<Entry>() + size_of::<Event>() + beside
}
