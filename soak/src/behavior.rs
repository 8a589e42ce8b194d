//! The faults of servers that a soak injects.

use crate::evidence::Millis;

/// How a server handles the requests that it receives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum Behavior {
    /// Answers correctly.
    #[default]
    Good,
    /// Starts to execute requests, but closes the connection without a response.
    LosesAnswers,
    /// Aborts responses in the middle.
    BreaksOff,
    /// Accepts requests and sends no response content.
    Mute,
    /// Answers with another request's id.
    Confuses,
    /// Declines requests as if all slots were taken.
    Sheds,
    /// Declines requests and orders, and asks for a pause.
    TurnsAway { pause_ms: Millis },
    /// Leaves orders unanswered and executes them late.
    LateOrders,
    /// Sends a head that never ends, or a part of it.
    EndlessHead,
    /// Sends a body that never ends and holds no event.
    EndlessBody,
}

impl Behavior {
    /// Returns the pause that the server asks for.
    pub(crate) fn pause(self) -> Option<Millis> {
        match self {
            Behavior::TurnsAway { pause_ms } => Some(pause_ms),
            _ => None,
        }
    }
}
