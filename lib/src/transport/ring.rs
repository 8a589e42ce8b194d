//! The bounded ring into the core's thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;
use tokio::sync::mpsc;

use crate::coordination::AnswerPiece;
use crate::coordination::CallerTicket;
use crate::coordination::Input;

/// How long a sender that must not lose its message waits before it tries again.
const RETRY_PAUSE: Duration = Duration::from_millis(1);

/// What goes through the ring into the core's thread.
pub(crate) enum CoreMessage {
    /// An input of the core.
    Input(Input),
    /// An input that brings the way back to its caller.
    Caller { input: Input, ticket: CallerTicket, sink: mpsc::Sender<AnswerPiece> },
}

/// The sending end of the ring.
#[derive(Clone)]
pub(crate) struct CoreSender {
    ring: Sender<CoreMessage>,
    shed: Arc<AtomicU64>,
}

/// Says that the ring is full and the message was shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RingFull;

impl CoreSender {
    /// Wraps the sending end of a bounded ring.
    pub(crate) fn new(ring: Sender<CoreMessage>) -> CoreSender {
        CoreSender { ring, shed: Arc::new(AtomicU64::new(0)) }
    }

    /// Sends `message`, or sheds and counts it if the ring is full.
    pub(crate) fn try_send(&self, message: CoreMessage) -> Result<(), RingFull> {
        match self.ring.try_send(message) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) | Err(TrySendError::Disconnected(_)) => {
                self.shed.fetch_add(1, Ordering::Relaxed);
                Err(RingFull)
            }
        }
    }

    /// Sends `input`, waiting for room, so that the peer at the socket is slowed down instead.
    pub(crate) async fn send(&self, input: Input) {
        let mut message = CoreMessage::Input(input);
        loop {
            match self.ring.try_send(message) {
                Ok(()) | Err(TrySendError::Disconnected(_)) => return,
                Err(TrySendError::Full(back)) => message = back,
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    /// Returns how many messages were shed.
    pub(crate) fn shed(&self) -> u64 {
        self.shed.load(Ordering::Relaxed)
    }
}
