//! Short soak tests with fixed seeds: faults are injected from outside into entry host processes.
//! Longer soak tests are run manually (docs/soak.md); each seed that ever failed is listed there and
//! added here.

use std::time::Duration;

use futures_util::future::join_all;
use wasabicrank_soak::SoakSetup;
use wasabicrank_soak::run;

/// The seeds, which run concurrently: a few arbitrary ones, and each that ever failed.
const SEEDS: [u64; 6] = [1, 2, 3, 6, 23, 46];

/// The time during which faults are injected; the fleet then has twelve seconds to recover.
const FAULT_SPAN: Duration = Duration::from_secs(8);

#[tokio::test(flavor = "multi_thread")]
async fn no_promise_is_broken_under_random_faults() {
    let soaks = SEEDS.iter().enumerate().map(|(position, seed)| {
        let setup = SoakSetup {
            binary: env!("CARGO_BIN_EXE_wasabicrank").into(),
            seed: *seed,
            span: FAULT_SPAN,
            hosts: 3,
            callers: 4,
            // The low byte of the process id mostly keeps the addresses apart from those of test
            // programs that run at the same time; two ids with the same low byte share addresses.
            net: [130 + position as u8, std::process::id() as u8],
        };
        async move { run(&setup).await }
    });
    for (seed, report) in SEEDS.into_iter().zip(join_all(soaks).await) {
        let report = report.expect("the soak runs");
        assert!(report.requests > 100, "seed {seed}: {} requests", report.requests);
        let violations = report.violations.join("\n");
        assert!(report.violations.is_empty(), "seed {seed}, {:#?}:\n{violations}", report.faults);
    }
}
