//! Splits a `text/event-stream` body into complete events and parses their ids.
//!
//! The bytes of an event are passed on unchanged, so that a caller gets exactly what the server
//! sent.

use bytes::Bytes;
use bytes::BytesMut;

/// Maximum number of buffered bytes, and thus the size of the largest event that can be returned.
const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// A complete event of a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, including the empty line that ends it.
    pub bytes: Bytes,
    /// Its id, if it has a numeric one.
    pub id: Option<u64>,
}

/// The buffered bytes would exceed the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLarge;

/// Buffers the bytes of a stream until events are complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), EventTooLarge> {
        if self.buffer.len() + bytes.len() > MAX_BUFFERED_BYTES {
            return Err(EventTooLarge);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Returns the next complete event.
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
        let id = parse_event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns the position after the first empty line in the buffer.
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

fn parse_event_id(event: &[u8]) -> Option<u64> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}
