//! Records what callers were told, for comparison with what ran once the load is over.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::load::Broken;
use crate::load::LoadReport;
use wasabicrank_testutils::records::RunRecord;

/// What callers were told about one call.
#[derive(Debug, Clone, Copy, Default)]
struct Told {
    answered: bool,
    not_run: bool,
}

/// The outcomes that callers were told.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evidence {
    /// The requests that were told not to have run.
    not_run: BTreeSet<String>,
    calls: BTreeMap<String, Told>,
}

impl Evidence {
    /// Records that a request was told not to have run.
    pub(crate) fn add_not_run(&mut self, request: &str) {
        if !request.is_empty() {
            self.not_run.insert(request.to_owned());
        }
    }

    /// Records that a call was sent, and what its caller was told.
    pub(crate) fn add_call(&mut self, key: &str, answered: bool, not_run: bool) {
        let told = self.calls.entry(key.to_owned()).or_default();
        told.answered |= answered;
        told.not_run |= not_run;
    }

    /// Compares what callers were told about requests with the engines' record.
    pub(crate) fn check_requests(&self, runs: &RunRecord, report: &mut LoadReport) {
        for request in &self.not_run {
            let runs = runs.runs(request);
            if runs > 0 {
                let request = request.clone();
                report.add_broken(Broken::RanThoughNotRun { request, runs });
            }
        }
    }

    /// Compares what callers were told about calls with the services' record.
    pub(crate) fn check_calls(&self, runs: &RunRecord, report: &mut LoadReport) {
        for (key, told) in &self.calls {
            let runs = runs.runs(key);
            if runs > 1 {
                report.add_broken(Broken::RanTwice { key: key.clone(), runs });
            }
            if runs > 0 && told.not_run {
                report.add_broken(Broken::RanThoughNotRun { request: key.clone(), runs });
            }
            if runs == 0 && told.answered {
                report.add_broken(Broken::AnsweredNotRun { key: key.clone() });
            }
        }
    }
}
