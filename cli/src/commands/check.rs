//! `wasabicrank check`: checks settings and rules files before they are used or published.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::protocol::parse_rules;
use wasabicrank_lib::state::Rules;

use crate::output::Exit;
use crate::output::complain;
use crate::output::print;

/// Check settings, rules or both. Every mistake in the rules is reported, one a line, as
/// FILE:LINE:COLUMN: found …, expected ….
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --rules cotisa.rules",
    example = "{command_name} --settings entry-1.json --rules cotisa.rules",
    error_code(0, "the files are good"),
    error_code(1, "a file is wrong or cannot be read; the mistakes are on standard error"),
    error_code(2, "wrong use of the command line")
)]
pub(crate) struct Check {
    /// the settings file of an entry host
    #[argh(option, arg_name = "file")]
    settings: Option<PathBuf>,
    /// the rules file
    #[argh(option, arg_name = "file")]
    rules: Option<PathBuf>,
}

impl Check {
    /// Checks what is given; both files are checked also if the first is wrong.
    pub(crate) fn run(self) -> Exit {
        if self.settings.is_none() && self.rules.is_none() {
            complain("`wasabicrank check` needs `--settings FILE`, `--rules FILE` or both.");
            return Exit::WrongUse;
        }
        let settings = self.settings.as_deref().map(check_settings);
        let rules = self.rules.as_deref().map(check_rules);
        let results: Vec<Result<String, String>> = settings.into_iter().chain(rules).collect();
        report(&results)
    }
}

/// Prints what was good to standard output and what was wrong to standard error.
fn report(results: &[Result<String, String>]) -> Exit {
    let good: String = results.iter().flatten().map(|line| format!("{line}\n")).collect();
    let wrong: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    let printed = print(&good);
    for mistakes in &wrong {
        complain(mistakes);
    }
    if wrong.is_empty() { printed } else { Exit::Failure }
}

/// Returns a line about good settings, or what is wrong with them.
fn check_settings(path: &Path) -> Result<String, String> {
    let file = path.display();
    let settings = Settings::read(path).map_err(|report| report.to_string())?;
    let address = settings.caller_addr();
    Ok(format!("{file}: good: {} in zone {}, callers on {address}", settings.host, settings.zone))
}

/// Returns a line about good rules, or all that is wrong with them.
fn check_rules(path: &Path) -> Result<String, String> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| format!("{file}: cannot be read: {error}"))?;
    let text = String::from_utf8(bytes).map_err(|error| not_text(&file, &error))?;
    match parse_rules(0, &file, &text) {
        Ok(rules) => Ok(format!("{file}: good: {}", summary(&rules))),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
            Err(lines.join("\n"))
        }
    }
}

/// Says where a file stops being UTF-8.
fn not_text(file: &str, error: &std::string::FromUtf8Error) -> String {
    let good = &error.as_bytes()[..error.utf8_error().valid_up_to()];
    let line = good.iter().filter(|byte| **byte == b'\n').count() + 1;
    let start = good.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    let column = String::from_utf8_lossy(&good[start..]).chars().count() + 1;
    format!("{file}:{line}:{column}: found bytes that are not UTF-8, expected text")
}

/// Counts the rules by their kind.
fn summary(rules: &Rules) -> String {
    [
        counted(rules.customers.len(), "customer"),
        counted(rules.models.len(), "model"),
        counted(rules.services.len(), "service"),
        counted(rules.engines.len(), "engine rule"),
    ]
    .join(", ")
}

fn counted(count: usize, noun: &str) -> String {
    format!("{count} {noun}{}", if count == 1 { "" } else { "s" })
}
