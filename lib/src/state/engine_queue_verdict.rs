//! The reply of a dispatcher to a start request.

use super::attempt_messages::Denial;
use super::attempt_messages::Grant;
use super::names::Incarnation;

/// A dispatcher's reply to a start request, with the entry host that it is for.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The attempt may start.
    Grant {
        /// The entry host that requested the start.
        to: Incarnation,
        /// The grant.
        grant: Grant,
    },
    /// The attempt may not start.
    Deny {
        /// The entry host that requested the start.
        to: Incarnation,
        /// The denial.
        deny: Denial,
    },
}
