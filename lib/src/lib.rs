//! wasabicrank: a serving layer for prompts of very unlike lengths.
//!
//! A request enters through [`transport`], is checked by [`protocol`], finds its place through
//! [`coordination`] and is accounted for in [`state`]; each layer knows only the ones after it.

#![warn(clippy::unwrap_used)]

pub mod coordination;
pub mod protocol;
pub mod state;
pub mod transport;
