//! Replays gateway loads in virtual time: several hosts run the real placement decisions, with
//! delayed summaries of each other, against engines simulated from their published figures.

mod engine;
mod fleet;
mod hedges;
mod limits;
mod load;
mod replay;
mod report;

pub use engine::EngineFault;
pub use hedges::HedgeResult;
pub use limits::*;
pub use load::Arrival;
pub use load::GatewayLoad;
pub use load::Phase;
pub use load::SheetKind;
pub use replay::ReplayPolicy;
pub use replay::ReplaySetup;
pub use replay::replay;
pub use report::KindResult;
pub use report::ReplayReport;
