//! Runs soaks by hand: `wasabicrank-soak --from 1 --seeds 50`.

use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use argh::FromArgs;
use futures_util::StreamExt;
use futures_util::stream;
use wasabicrank_soak::SoakReport;
use wasabicrank_soak::SoakSetup;
use wasabicrank_soak::run;

/// The second octets of the loopback addresses that soaks use: the first, and how many. Concurrent
/// programs mostly get different ones; a soak whose addresses are in use by another one does not start.
const FIRST_NET: u8 = 64;
const NET_COUNT: u32 = 60;
/// The number of third octets that the seeds of one program cycle through.
const SEED_NET_COUNT: u64 = 250;

/// Run entry hosts as processes under random faults, and check what callers and servers see.
#[derive(FromArgs)]
struct Arguments {
    /// the program to run
    #[argh(option, default = "PathBuf::from(\"target/release/wasabicrank\")", arg_name = "file")]
    binary: PathBuf,
    /// the first seed
    #[argh(option, default = "1", arg_name = "number")]
    from: u64,
    /// the number of seeds
    #[argh(option, default = "1", arg_name = "number")]
    seeds: u64,
    /// how many seeds run at once
    #[argh(option, default = "4", arg_name = "number")]
    at_once: u64,
    /// how long faults come
    #[argh(option, default = "20", arg_name = "seconds")]
    seconds: u64,
    /// the entry hosts of each soak
    #[argh(option, default = "4", arg_name = "number")]
    hosts: usize,
    /// the callers for each host
    #[argh(option, default = "6", arg_name = "number")]
    callers: usize,
    /// where the faults and logs of seeds that broke a promise are kept
    #[argh(option, default = "PathBuf::from(\"target/soak\")", arg_name = "folder")]
    keep: PathBuf,
}

#[tokio::main]
async fn main() -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let at_once = arguments.at_once.clamp(1, 60);
    let soaks = (arguments.from..arguments.from + arguments.seeds).map(|seed| {
        let setup = SoakSetup {
            binary: arguments.binary.clone(),
            seed,
            span: Duration::from_secs(arguments.seconds),
            hosts: arguments.hosts,
            callers: arguments.callers,
            net: [
                FIRST_NET + (std::process::id() % NET_COUNT) as u8,
                (seed % SEED_NET_COUNT) as u8,
            ],
        };
        async move { (seed, run(&setup).await) }
    });
    let mut results = stream::iter(soaks).buffer_unordered(at_once as usize);
    let mut failed = 0;
    while let Some((seed, result)) = results.next().await {
        match result {
            Ok(report) => failed += u32::from(!report_seed(seed, &report, &arguments.keep)),
            Err(error) => {
                failed += 1;
                println!("seed {seed}: the soak could not run: {error}");
            }
        }
    }
    println!("{} seeds, {failed} failed", arguments.seeds);
    if failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}

/// Prints the result of a seed and saves the logs if a guarantee was violated; returns whether none
/// was.
fn report_seed(seed: u64, report: &SoakReport, keep: &Path) -> bool {
    let (served, asked) = report.recovered;
    println!(
        "seed {seed}: {} requests, {} faults, {served} of {asked} served afterwards, {} broken",
        report.requests,
        report.faults.len(),
        report.violations.len()
    );
    if report.violations.is_empty() {
        return true;
    }
    for text in report.violations.iter().take(3) {
        println!("  {}", text.chars().take(700).collect::<String>());
    }
    let folder = keep.join(format!("seed-{seed}"));
    let write = || {
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("broken.txt"), report.violations.join("\n"))?;
        fs::write(folder.join("faults.txt"), report.faults.join("\n"))?;
        for (host, log) in report.logs.iter().enumerate() {
            fs::write(folder.join(format!("host-{host}.log")), log.join("\n"))?;
        }
        std::io::Result::Ok(())
    };
    if let Err(error) = write() {
        println!("  the logs could not be kept: {error}");
    }
    false
}
