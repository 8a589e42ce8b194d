//! `wasabicrank measure`: replays seeded loads and compares the system with naive routers.

mod chart;
mod table;

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use wasabicrank_workload::naive::NaivePick;
use wasabicrank_workload::replay_fleet::FleetSettings;
use wasabicrank_workload::replay_measure::Contender;
use wasabicrank_workload::replay_measure::Measures;
use wasabicrank_workload::replay_measure::Scenario;

use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// The virtual time over which requests arrive in one replay.
const SPAN: Duration = Duration::from_secs(600);

/// The value of `SPAN` with `--quick`.
const QUICK_SPAN: Duration = Duration::from_secs(120);

/// Replay seeded loads in virtual time and measure time to first token by prompt length and the
/// slowdown of short requests, beside round robin and least outstanding.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "measure",
    example = "{command_name} --quick",
    example = "Write CSV and SVG files:\n  {command_name} --out measures --seed 7",
    error_code(0, "the measures are on standard output"),
    error_code(1, "a file could not be written"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct Measure {
    /// replay two minutes of each load in place of ten
    #[argh(switch)]
    quick: bool,
    /// write measures.csv, mechanisms.csv, first-token.svg and slowdown.svg to this directory
    #[argh(option)]
    out: Option<PathBuf>,
    /// the seed of the arrivals; the same seed gives the same measures
    #[argh(option, default = "1")]
    seed: u64,
}

/// The measures of one scenario under one router.
struct Run {
    scenario: &'static str,
    contender: &'static str,
    measures: Measures,
}

impl Measure {
    /// Runs all replays, prints the tables and writes the files if `--out` is given.
    pub(crate) fn run(self) -> Exit {
        // Creates the directory first, so that a failure shows before the long replays.
        if let Some(Err(error)) = self.out.as_deref().map(fs::create_dir_all) {
            return self.report_out_error(&error.to_string());
        }
        let span = if self.quick { QUICK_SPAN } else { SPAN };
        let scenarios = Scenario::all(span, self.seed);
        let mut runs = Vec::new();
        for scenario in &scenarios {
            print_stderr(&format!("replaying: {}", scenario.name));
            runs.extend(contenders().into_iter().map(|contender| run(scenario, contender)));
        }
        print_stderr("replaying: mechanisms switched off");
        let base = Scenario::plain("load 70%", 0.7, span, self.seed);
        let ablations: Vec<Run> = mechanisms()
            .into_iter()
            .map(|(name, contender)| Run { contender: name, ..run(&base, contender) })
            .collect();
        let printed =
            print(&format!("{}\n{}", table::measures(&runs), table::mechanisms(&ablations)));
        let Some(dir) = &self.out else { return printed };
        match write_files(dir, &runs, &ablations) {
            Ok(()) => printed,
            Err(error) => self.report_out_error(&error),
        }
    }

    fn report_out_error(&self, error: &str) -> Exit {
        let dir = self.out.as_deref().unwrap_or(Path::new("."));
        print_stderr(&format!("{}: {error}", dir.display()));
        Exit::Failure
    }
}

fn run(scenario: &Scenario, contender: Contender) -> Run {
    let measures = scenario.measure(&contender);
    Run { scenario: scenario.name, contender: contender.name(), measures }
}

/// Returns the system and the naive routers that it is compared with.
fn contenders() -> [Contender; 3] {
    [
        Contender::ours(),
        Contender::Naive(NaivePick::RoundRobin),
        Contender::Naive(NaivePick::LeastOutstanding),
    ]
}

/// Returns the complete system, and variants in which one mechanism each is disabled.
fn mechanisms() -> Vec<(&'static str, Contender)> {
    let variant = |change: fn(&mut FleetSettings)| {
        let mut settings = FleetSettings::default();
        change(&mut settings);
        Contender::Ours(Box::new(settings))
    };
    vec![
        ("all on", Contender::ours()),
        ("no length isolation", variant(without_isolation)),
        ("no prefix reuse", variant(without_prefixes)),
        ("no reports of peers", variant(|settings| settings.placer.peer_reports = false)),
        ("no reserve", variant(|settings| settings.placer.short_reserve = false)),
    ]
}

fn without_isolation(settings: &mut FleetSettings) {
    settings.queue.length_isolation = false;
    settings.placer.length_isolation = false;
}

fn without_prefixes(settings: &mut FleetSettings) {
    settings.queue.prefix_reuse = false;
    settings.placer.prefix_affinity = false;
}

fn write_files(dir: &Path, runs: &[Run], ablations: &[Run]) -> Result<(), String> {
    let write = |name: &str, text: String| {
        fs::write(dir.join(name), text).map_err(|error| format!("{name}: {error}"))
    };
    write("measures.csv", table::csv(runs))?;
    write("mechanisms.csv", table::csv(ablations))?;
    write("first-token.svg", chart::first_token(runs)?)?;
    write("slowdown.svg", chart::slowdown(runs)?)
}
