//! What a dispatcher decided.

use super::attempt_messages::Denial;
use super::attempt_messages::Grant;
use super::names::Incarnation;

/// What a dispatcher decided, and for whom.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// Leave to start.
    Grant {
        /// The origin.
        to: Incarnation,
        /// The leave.
        grant: Grant,
    },
    /// No leave.
    Deny {
        /// The origin.
        to: Incarnation,
        /// The refusal.
        deny: Denial,
    },
}
