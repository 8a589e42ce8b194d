//! An open-loop load: callers that come at their own times, whatever becomes of earlier ones.
//!
//! Each answer is compared whole with the one that belongs to its prompt, and each call that may
//! run once is counted at the service, so that the report lists every broken guarantee.

mod call;
mod completion;
mod config;
mod crowd;
mod evidence;
mod plan;
mod report;
mod runner;

pub use call::*;
pub use completion::*;
pub use config::*;
pub use crowd::*;
pub use plan::*;
pub use report::*;
pub use runner::*;
