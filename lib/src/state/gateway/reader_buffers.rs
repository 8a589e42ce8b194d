//! The events that callers have not read yet: how many bytes a host holds for each caller and in all, and
//! whose stream is ended when they do not fit.

use std::collections::HashMap;
use std::time::Duration;

use crate::state::Moment;

/// How long a host stops reading a server's response for a caller that reads nothing. Servers cut off
/// responses that remain unread for some seconds.
pub const MAX_READ_STOP: Duration = Duration::from_secs(1);

/// Identifies a caller's stream within this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReaderId(u64);

/// The limits of what is held, in bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderLimits {
    /// For one caller; a single event may be longer if nothing else is held for the caller.
    pub each: usize,
    /// For all callers.
    pub all: usize,
}

/// What to do with the next event of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventAdmission {
    /// It is held; its bytes are counted.
    Held,
    /// It does not fit: the server is not read until the caller has read something.
    Wait,
    /// It does not fit, and this stream, of the slowest caller, is ended to make space.
    End(ReaderId),
}

#[derive(Debug)]
struct Reader {
    held: usize,
    /// When the caller read something for the last time, or when bytes were first held for it.
    last_read: Moment,
}

/// What is held for all callers.
#[derive(Debug)]
pub struct ReaderBuffers {
    limits: ReaderLimits,
    readers: HashMap<ReaderId, Reader>,
    total: usize,
    last: u64,
}

impl ReaderBuffers {
    /// Creates buffers without streams.
    pub fn new(limits: ReaderLimits) -> ReaderBuffers {
        ReaderBuffers { limits, readers: HashMap::new(), total: 0, last: 0 }
    }

    /// Adds a stream.
    pub fn open(&mut self, now: Moment) -> ReaderId {
        self.last += 1;
        let id = ReaderId(self.last);
        self.readers.insert(id, Reader { held: 0, last_read: now });
        id
    }

    /// Decides about an event of `size` bytes for the stream `id`.
    ///
    /// ```
    /// use wasabicrank_lib::state::{EventAdmission, Moment, ReaderBuffers, ReaderLimits};
    /// let mut buffers = ReaderBuffers::new(ReaderLimits { each: 100, all: 1_000 });
    /// let id = buffers.open(Moment(0));
    /// assert_eq!(buffers.admit(Moment(0), id, 100), EventAdmission::Held);
    /// assert_eq!(buffers.admit(Moment(0), id, 1), EventAdmission::Wait);
    /// buffers.take(Moment(0), id, 100);
    /// assert_eq!(buffers.admit(Moment(0), id, 1), EventAdmission::Held);
    /// ```
    pub fn admit(&mut self, now: Moment, id: ReaderId, size: usize) -> EventAdmission {
        let Some(reader) = self.readers.get_mut(&id) else { return EventAdmission::Wait };
        if reader.held > 0 && reader.held + size > self.limits.each {
            return EventAdmission::Wait;
        }
        if self.total > 0 && self.total + size > self.limits.all {
            return match self.slowest() {
                Some((slowest, since)) if now.since(since) >= MAX_READ_STOP => {
                    EventAdmission::End(slowest)
                }
                _ => EventAdmission::Wait,
            };
        }
        if reader.held == 0 {
            reader.last_read = now;
        }
        reader.held += size;
        self.total += size;
        EventAdmission::Held
    }

    /// Returns the stream to end after an event of the stream `id` has waited for [`MAX_READ_STOP`]: its own
    /// if its caller has the most that one may have, and otherwise the one of the slowest caller.
    pub fn overdue(&self, id: ReaderId, size: usize) -> ReaderId {
        let is_own = |reader: &Reader| reader.held > 0 && reader.held + size > self.limits.each;
        if self.readers.get(&id).is_some_and(is_own) {
            return id;
        }
        self.slowest().map_or(id, |(slowest, _)| slowest)
    }

    /// Records that the caller's connection took `size` bytes.
    pub fn take(&mut self, now: Moment, id: ReaderId, size: usize) {
        if let Some(reader) = self.readers.get_mut(&id) {
            reader.held = reader.held.saturating_sub(size);
            reader.last_read = now;
            self.total = self.total.saturating_sub(size);
        }
    }

    /// Removes a stream with all that is held for it.
    pub fn close(&mut self, id: ReaderId) {
        if let Some(reader) = self.readers.remove(&id) {
            self.total = self.total.saturating_sub(reader.held);
        }
    }

    /// Returns the bytes that are held for all callers.
    pub fn total(&self) -> usize {
        self.total
    }

    /// Returns the bytes that are held for one caller.
    pub fn held(&self, id: ReaderId) -> usize {
        self.readers.get(&id).map_or(0, |reader| reader.held)
    }

    /// Returns the caller that has left events unread for the longest time, and since when.
    fn slowest(&self) -> Option<(ReaderId, Moment)> {
        let holding = self.readers.iter().filter(|(_, reader)| reader.held > 0);
        holding.map(|(id, reader)| (*id, reader.last_read)).min_by_key(|(id, since)| (*since, *id))
    }
}
