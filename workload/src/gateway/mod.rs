//! Replays loads of the gateway in virtual time: the real decisions of several hosts, which hear of
//! each other late, before engines that read and write as their published figures say.

mod engine;
mod load;
mod replay;

pub use engine::EngineFault;
pub use load::Arrival;
pub use load::GatewayLoad;
pub use load::Phase;
pub use load::SheetKind;
pub use replay::KindResult;
pub use replay::ReplayReport;
pub use replay::ReplaySetup;
pub use replay::replay;
