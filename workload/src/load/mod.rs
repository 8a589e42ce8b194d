//! An open-loop load: requests arrive at their planned times, regardless of the outcome of earlier
//! ones.
//!
//! Each complete answer is compared with the expected answer to its prompt, and the executions of
//! each run-once call are counted at the service, so that the report lists every broken guarantee.

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
