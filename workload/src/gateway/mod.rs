//! Replays loads of the gateway in virtual time: the real decisions of several hosts, which hear of
//! each other late, before engines that read and write as their published figures say.

mod engine;
mod fleet;
mod load;
mod replay;
mod report;

pub use engine::EngineFault;
pub use load::Arrival;
pub use load::GatewayLoad;
pub use load::Phase;
pub use load::SheetKind;
pub use replay::ReplayPolicy;
pub use replay::ReplaySetup;
pub use replay::replay;
pub use report::KindResult;
pub use report::ReplayReport;
