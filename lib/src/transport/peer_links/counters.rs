//! Counters of the traffic on peer links and of drops by cause.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use crate::protocol::FrameError;
use crate::protocol::LinkKind;
use crate::protocol::WireError;

use super::PeerSendError;

/// Why a connection, frame or message to or from a peer was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DropCause {
    /// A frame had a wrong authentication tag.
    BadTag,
    /// A frame's sequence number did not increase.
    Replayed,
    /// A frame came from an earlier incarnation of its host.
    OldIncarnation,
    /// A frame's sender is not a published entry host, or not the sender of its connection.
    UnknownSender,
    /// A frame, text or body was longer than its limit.
    Oversize,
    /// A frame or message had an unknown version.
    UnknownVersion,
    /// A frame or message could not be decoded.
    Malformed,
    /// A peer did not send its hello in time.
    HelloTimeout,
    /// Too many connections were waiting for a hello.
    TooManyPending,
    /// A message was refused because its ring was full.
    RingFull,
    /// A message was refused because its link was down.
    NotConnected,
    /// A message was queued and then lost because its connection failed.
    ConnectionLost,
    /// A message was refused because its host is not a peer.
    UnknownPeer,
}

impl DropCause {
    /// All causes.
    pub const ALL: [DropCause; 13] = [
        DropCause::BadTag,
        DropCause::Replayed,
        DropCause::OldIncarnation,
        DropCause::UnknownSender,
        DropCause::Oversize,
        DropCause::UnknownVersion,
        DropCause::Malformed,
        DropCause::HelloTimeout,
        DropCause::TooManyPending,
        DropCause::RingFull,
        DropCause::NotConnected,
        DropCause::ConnectionLost,
        DropCause::UnknownPeer,
    ];

    /// Returns the label that metrics and JSON use.
    pub fn as_str(self) -> &'static str {
        match self {
            DropCause::BadTag => "bad_tag",
            DropCause::Replayed => "replayed",
            DropCause::OldIncarnation => "old_incarnation",
            DropCause::UnknownSender => "unknown_sender",
            DropCause::Oversize => "oversize",
            DropCause::UnknownVersion => "unknown_version",
            DropCause::Malformed => "malformed",
            DropCause::HelloTimeout => "hello_timeout",
            DropCause::TooManyPending => "too_many_pending",
            DropCause::RingFull => "ring_full",
            DropCause::NotConnected => "not_connected",
            DropCause::ConnectionLost => "connection_lost",
            DropCause::UnknownPeer => "unknown_peer",
        }
    }
}

impl From<FrameError> for DropCause {
    fn from(error: FrameError) -> Self {
        match error {
            FrameError::Oversize { .. } => DropCause::Oversize,
            FrameError::UnknownVersion(_) => DropCause::UnknownVersion,
            FrameError::Malformed => DropCause::Malformed,
            FrameError::BadTag => DropCause::BadTag,
            FrameError::Replayed { .. } => DropCause::Replayed,
            FrameError::WrongSender | FrameError::UnknownSender => DropCause::UnknownSender,
            FrameError::OldIncarnation => DropCause::OldIncarnation,
        }
    }
}

impl From<WireError> for DropCause {
    fn from(error: WireError) -> Self {
        match error {
            WireError::UnknownVersion(_) => DropCause::UnknownVersion,
            WireError::TextTooLong { .. } | WireError::BodyTooLong { .. } => DropCause::Oversize,
            WireError::Empty
            | WireError::Malformed
            | WireError::Trailing(_)
            | WireError::EmptyName => DropCause::Malformed,
        }
    }
}

impl From<PeerSendError> for DropCause {
    fn from(send_error: PeerSendError) -> Self {
        match send_error {
            PeerSendError::UnknownPeer => DropCause::UnknownPeer,
            PeerSendError::NotConnected => DropCause::NotConnected,
            PeerSendError::RingFull => DropCause::RingFull,
            PeerSendError::TooLong => DropCause::Oversize,
        }
    }
}

/// Traffic on the links of one kind since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Messages received.
    pub messages_in: u64,
    /// Messages sent.
    pub messages_out: u64,
    /// Bytes received, including frame overhead.
    pub bytes_in: u64,
    /// Bytes sent, including frame overhead.
    pub bytes_out: u64,
}

/// The number of drops for one cause.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DropCount {
    /// The cause.
    pub cause: DropCause,
    /// The number of drops since the start.
    pub count: u64,
}

/// Traffic and drops on all links since the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerCounters {
    /// Traffic on the control links.
    pub control: LinkCounters,
    /// Traffic on the work links.
    pub work: LinkCounters,
    /// Failed connection attempts, including those where the address belongs to another host.
    pub failed_connects: u64,
    /// Drops, with one entry for each cause.
    pub drops: Vec<DropCount>,
}

impl PeerCounters {
    /// Returns the number of drops for `cause`.
    pub fn dropped(&self, cause: DropCause) -> u64 {
        self.drops.iter().find(|drop| drop.cause == cause).map_or(0, |drop| drop.count)
    }
}

/// Atomic counters that the threads of all links share.
#[derive(Default)]
pub(super) struct SharedCounters {
    control: SharedLinkCounters,
    work: SharedLinkCounters,
    failed_connects: AtomicU64,
    drops: [AtomicU64; DropCause::ALL.len()],
}

#[derive(Default)]
struct SharedLinkCounters {
    messages_in: AtomicU64,
    messages_out: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

impl SharedCounters {
    /// Counts one drop and returns the total for its cause.
    pub(super) fn record_drop(&self, cause: DropCause) -> u64 {
        self.drops[cause as usize].fetch_add(1, Ordering::Relaxed) + 1
    }

    pub(super) fn record_failed_connect(&self) {
        self.failed_connects.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn record_received(&self, kind: LinkKind, bytes: usize) {
        let link = self.link(kind);
        link.messages_in.fetch_add(1, Ordering::Relaxed);
        link.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn record_sent(&self, kind: LinkKind, messages: usize, bytes: usize) {
        let link = self.link(kind);
        link.messages_out.fetch_add(messages as u64, Ordering::Relaxed);
        link.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(super) fn snapshot(&self) -> PeerCounters {
        let count = |cause: DropCause| self.drops[cause as usize].load(Ordering::Relaxed);
        let drops = DropCause::ALL.map(|cause| DropCount { cause, count: count(cause) });
        PeerCounters {
            control: self.control.snapshot(),
            work: self.work.snapshot(),
            failed_connects: self.failed_connects.load(Ordering::Relaxed),
            drops: drops.into(),
        }
    }

    fn link(&self, kind: LinkKind) -> &SharedLinkCounters {
        match kind {
            LinkKind::Control => &self.control,
            LinkKind::Work => &self.work,
        }
    }
}

impl SharedLinkCounters {
    fn snapshot(&self) -> LinkCounters {
        LinkCounters {
            messages_in: self.messages_in.load(Ordering::Relaxed),
            messages_out: self.messages_out.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
        }
    }
}
