//! `wasabicrank demo`: runs a fleet and a mixed load in one process, without any configuration.

mod fleet;
mod report;

use std::time::Duration;

use argh::FromArgs;
use wasabicrank_workload::load::LengthMix;
use wasabicrank_workload::load::Load;
use wasabicrank_workload::load::LoadConfig;
use wasabicrank_workload::load::LoadMix;
use wasabicrank_workload::load::LoadReport;
use wasabicrank_workload::load::wait_for_calls;

use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;
use fleet::DemoFleet;

/// The time that entry hosts get after their start until the homes of calls know that no other
/// process ran new calls.
const READY_WITHIN: Duration = Duration::from_secs(30);

/// The interval between two progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(5);

/// Run stand-ins for engines and services and five entry hosts in this process, send a mixed load
/// of short and very long prompts and some reservations through them, and show how it went.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "demo",
    example = "{command_name}",
    example = "{command_name} --seconds 60 --seed 7",
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
    /// requests and calls a second (default 16, about 70% of what the engines can read)
    #[argh(option, default = "16.0")]
    rate: f64,
}

impl Demo {
    /// Runs the demo and returns whether it succeeded.
    pub(crate) fn run(self) -> Exit {
        let outcome = tokio::runtime::Runtime::new()
            .map_err(|error| error.to_string())
            .and_then(|runtime| runtime.block_on(self.run_load()));
        match outcome {
            Ok(true) => Exit::Success,
            Ok(false) => Exit::Failure,
            Err(error) => {
                print_stderr(&format!("the demo cannot run: {error}"));
                Exit::Failure
            }
        }
    }

    /// Runs the fleet and the load, and returns whether every guarantee held.
    async fn run_load(&self) -> Result<bool, String> {
        print("Starting 16 engines, 3 service hosts and 5 entry hosts in three zones.\n");
        let fleet = DemoFleet::start().await?;
        print(&report::addresses(&fleet));
        let path = format!("{}/seats", fleet::SERVICE_PATH);
        let ready = wait_for_calls(&fleet.callers(), fleet.token(), &path, READY_WITHIN).await;
        let Some(ready) = ready else {
            return Err(format!("calls are still refused after {READY_WITHIN:?}"));
        };
        print(&format!("Calls that run once are answered after {:.1} s.\n", ready.as_secs_f64()));
        let alone = LoadMix { lengths: LengthMix::SHORT, reservations: 0, ..LoadMix::default() };
        let alone = self.load(&fleet, "short requests alone", alone, self.seconds / 3).await;
        let mixed = self.load(&fleet, "all lengths", LoadMix::default(), self.seconds).await;
        let idle = fleet.wait_idle().await;
        print(&report::summary(&alone, &mixed, &fleet));
        if !idle {
            print("Broken: engines still hold memory after the last answer\n");
        }
        let broken = alone.broken_count + mixed.broken_count;
        let held = broken == 0 && idle && fleet.over_memory() == 0;
        let stop = tokio::task::spawn_blocking(move || fleet.stop());
        stop.await.map_err(|error| error.to_string())?;
        print(if held { "Every guarantee held.\n" } else { "A guarantee was broken.\n" });
        Ok(held)
    }

    async fn load(&self, fleet: &DemoFleet, name: &str, mix: LoadMix, seconds: u64) -> LoadReport {
        let config = LoadConfig {
            seed: self.seed,
            hosts: fleet.callers(),
            customers: fleet.customers.clone(),
            rate: self.rate,
            span: Duration::from_secs(seconds),
            mix,
            service_path: fleet::SERVICE_PATH.to_owned(),
            engine_runs: Some(fleet.stand_ins.engine_runs.clone()),
            service_runs: Some(fleet.stand_ins.service_runs.clone()),
            ..LoadConfig::default()
        };
        print(&format!("Sending {} requests a second for {seconds} s: {name}.\n", self.rate));
        let load = Load::start(config);
        for _ in 0..seconds / PROGRESS_INTERVAL.as_secs() {
            tokio::time::sleep(PROGRESS_INTERVAL).await;
            print(&report::progress(&load.report(), load.running()));
        }
        load.finish().await
    }
}
