//! The part of `wasabicrank check` that checks a configuration before it is written to the store.

use std::fs;
use std::path::Path;

use serde::Serialize;
use wasabicrank_lib::state::CatalogDifference;
use wasabicrank_lib::state::CatalogFinding;
use wasabicrank_lib::state::FindingKind;
use wasabicrank_lib::state::compare_catalogs;
use wasabicrank_platform::check_config;

use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// What a check found.
#[derive(Debug, Default)]
struct Report {
    findings: Vec<CatalogFinding>,
    differences: Vec<CatalogDifference>,
}

/// The JSON output.
#[derive(Serialize)]
struct JsonReport<'a> {
    file: String,
    findings: Vec<JsonFinding<'a>>,
    differences: Vec<JsonDifference<'a>>,
}

#[derive(Serialize)]
struct JsonFinding<'a> {
    kind: &'static str,
    subject: &'a str,
    detail: &'a str,
}

#[derive(Serialize)]
struct JsonDifference<'a> {
    subject: &'a str,
    /// Empty if the whole entry was added or removed.
    field: &'static str,
    before: Option<&'a str>,
    after: Option<&'a str>,
}

impl<'a> From<&'a CatalogFinding> for JsonFinding<'a> {
    fn from(finding: &'a CatalogFinding) -> JsonFinding<'a> {
        let kind = finding.kind.name();
        JsonFinding { kind, subject: &finding.subject, detail: &finding.detail }
    }
}

impl<'a> From<&'a CatalogDifference> for JsonDifference<'a> {
    fn from(difference: &'a CatalogDifference) -> JsonDifference<'a> {
        JsonDifference {
            subject: &difference.subject,
            field: difference.field,
            before: difference.before.as_deref(),
            after: difference.after.as_deref(),
        }
    }
}

/// Checks the configuration in the file `path`, and compares it to that in `against`.
pub(super) fn check_config_file(path: &Path, against: Option<&Path>, is_json: bool) -> Exit {
    let read = |path: &Path| {
        fs::read(path).map_err(|error| {
            print_stderr(&format!("{}: cannot be read: {error}", path.display()));
        })
    };
    let Ok(bytes) = read(path) else { return Exit::UsageError };
    let Ok(in_force) = against.map(read).transpose() else { return Exit::UsageError };
    let report = make_report(&bytes, in_force.as_deref());
    let printed = match is_json {
        true => print_json(path, &report),
        false => print(&describe(path, &report)),
    };
    if report.findings.is_empty() { printed } else { Exit::Failure }
}

fn make_report(bytes: &[u8], in_force: Option<&[u8]>) -> Report {
    let rejected = |subject: &str, error: String| {
        vec![CatalogFinding::new(FindingKind::Error, subject, format!("is rejected: {error}"))]
    };
    let mut checked = match check_config(bytes) {
        Ok(checked) => checked,
        Err(error) => {
            let findings = rejected("the configuration", error.to_string());
            return Report { findings, ..Report::default() };
        }
    };
    let before = match in_force.map(check_config).transpose() {
        Ok(before) => before,
        Err(error) => {
            checked.findings.extend(rejected("the configuration in force", error.to_string()));
            None
        }
    };
    let Some(before) = before else {
        return Report { findings: checked.findings, ..Report::default() };
    };
    let differences = compare_catalogs(&before.parts, &checked.parts);
    let (version, known) = (checked.parts.version, before.parts.version);
    if version <= known && !differences.is_empty() {
        let detail = format!("is {version}, and hosts ignore changes up to the {known} in force");
        checked.findings.push(CatalogFinding::new(FindingKind::Error, "the version", detail));
    }
    Report { findings: checked.findings, differences }
}

fn describe(path: &Path, report: &Report) -> String {
    let file = path.display();
    let findings = report.findings.iter().map(|finding| format!("{file}: {finding}\n"));
    let differences = report.differences.iter().map(|one| format!("{file}: {one}\n"));
    let mut text: String = findings.chain(differences).collect();
    if report.findings.is_empty() {
        text.push_str(&format!("{file}: good\n"));
    }
    text
}

fn print_json(path: &Path, report: &Report) -> Exit {
    let json = JsonReport {
        file: path.display().to_string(),
        findings: report.findings.iter().map(JsonFinding::from).collect(),
        differences: report.differences.iter().map(JsonDifference::from).collect(),
    };
    match serde_json::to_string(&json) {
        Ok(text) => print(&(text + "\n")),
        Err(error) => {
            print_stderr(&format!("the report cannot be written as JSON: {error}"));
            Exit::Failure
        }
    }
}
