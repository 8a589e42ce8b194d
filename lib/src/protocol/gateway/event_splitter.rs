//! Splits a `text/event-stream` body into whole events and reads their ids.
//!
//! The bytes of an event are passed on as they came, so that a caller gets what the server made.

use bytes::Bytes;
use bytes::BytesMut;

/// The largest event that is held until it is whole, in bytes.
const MAX_EVENT: usize = 1024 * 1024;

/// A whole event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, with the empty line at its end.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<u64>,
}

/// An event grew larger than any that is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Collects the bytes of a stream until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Adds bytes that came.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + bytes.len() > MAX_EVENT {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next whole event.
    ///
    /// ```
    /// use wasabicrank_lib::protocol::EventSplitter;
    /// let mut splitter = EventSplitter::default();
    /// splitter.push(b"id: 7\ndata: a\n\nid: 8").unwrap();
    /// assert_eq!(splitter.next_event().unwrap().id, Some(7));
    /// assert!(splitter.next_event().is_none());
    /// assert!(!splitter.is_empty());
    /// ```
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether no part of an event is held.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the position after the first empty line.
    fn find_end(&mut self) -> Option<usize> {
        let bytes = &self.buffer;
        let mut position = self.scanned.saturating_sub(3);
        while let Some(offset) = bytes[position..].iter().position(|byte| *byte == b'\n') {
            let line_end = position + offset + 1;
            if bytes[line_end..].starts_with(b"\n") {
                return Some(line_end + 1);
            }
            if bytes[line_end..].starts_with(b"\r\n") {
                return Some(line_end + 2);
            }
            position = line_end;
        }
        self.scanned = bytes.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}
