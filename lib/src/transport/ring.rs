//! The rings (bounded queues) into the core thread.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crossbeam_channel::Sender;
use crossbeam_channel::TrySendError;
use tokio::sync::mpsc;

use crate::coordination::AnswerPiece;
use crate::coordination::CallerId;
use crate::coordination::Input;

/// The delay before a sender that must not lose its message retries.
const RETRY_PAUSE: Duration = Duration::from_millis(1);

/// A message to the core thread.
pub(crate) enum CoreMessage {
    /// An input of the core.
    Input(Input),
    /// An input with the channel for the answer to its caller.
    Caller { input: Input, caller: CallerId, sink: mpsc::Sender<AnswerPiece> },
}

/// The sending ends of the two rings into the core.
///
/// Control inputs have a separate ring, so that they never wait behind pieces of answers.
#[derive(Clone)]
pub(crate) struct CoreSender {
    control: Sender<CoreMessage>,
    work: Sender<CoreMessage>,
    shed: Arc<AtomicU64>,
}

/// An error: the ring was full and the message was shed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct RingFull;

impl CoreSender {
    /// Wraps the sending ends of two bounded rings.
    pub(crate) fn new(control: Sender<CoreMessage>, work: Sender<CoreMessage>) -> CoreSender {
        CoreSender { control, work, shed: Arc::new(AtomicU64::new(0)) }
    }

    fn ring(&self, message: &CoreMessage) -> &Sender<CoreMessage> {
        match message {
            CoreMessage::Input(input) if is_control(input) => &self.control,
            _ => &self.work,
        }
    }

    /// Sends `message`, or sheds and counts it if the ring is full.
    pub(crate) fn try_send(&self, message: CoreMessage) -> Result<(), RingFull> {
        match self.ring(&message).try_send(message) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(_)) | Err(TrySendError::Disconnected(_)) => {
                self.shed.fetch_add(1, Ordering::Relaxed);
                Err(RingFull)
            }
        }
    }

    /// Sends `input`, and waits while the ring is full, which applies backpressure to the socket's peer.
    pub(crate) async fn send(&self, input: Input) {
        let mut message = CoreMessage::Input(input);
        loop {
            match self.ring(&message).try_send(message) {
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

/// Returns whether an input concerns the fleet rather than one request.
fn is_control(input: &Input) -> bool {
    match input {
        Input::Peer(envelope) => envelope.message.is_control(),
        Input::Tick | Input::EnginePolled(_) | Input::ConfigRead(_) | Input::LiveListRead(_) => {
            true
        }
        Input::OrderEnded(_) | Input::Stop => true,
        Input::Completion { .. } | Input::Call { .. } | Input::CallerGone(_) => false,
        Input::Stream(_) | Input::CallEnded(_) => false,
    }
}
