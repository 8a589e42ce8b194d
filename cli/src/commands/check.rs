//! `wasabicrank check`: validates settings and rules files before they are used or published.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::protocol::parse_rules;
use wasabicrank_lib::state::Rules;

use super::check_config::check_config_file;
use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// Check settings, rules, a configuration of the platform, or several of them. Every mistake in the
/// rules is reported, one a line, as FILE:LINE:COLUMN: found …, expected ….
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "check",
    example = "{command_name} --rules cotisa.rules",
    example = "{command_name} --settings entry-1.json --rules cotisa.rules",
    example = "{command_name} --config next.json --against in-force.json",
    error_code(0, "the files are good"),
    error_code(
        1,
        "a file is wrong or cannot be read; the mistakes are on standard error. For a
        configuration, there are findings, on standard output"
    ),
    error_code(2, "wrong use of the command line, or a configuration cannot be read")
)]
pub(crate) struct Check {
    /// the settings file of an entry host
    #[argh(option, arg_name = "file")]
    settings: Option<PathBuf>,
    /// the rules file
    #[argh(option, arg_name = "file")]
    rules: Option<PathBuf>,
    /// the configuration for the platform's store
    #[argh(option, arg_name = "file")]
    config: Option<PathBuf>,
    /// the configuration in force, to which it is compared
    #[argh(option, arg_name = "file")]
    against: Option<PathBuf>,
    /// print the findings and differences of the configuration as JSON
    #[argh(switch)]
    json: bool,
}

impl Check {
    /// Validates the given files; the rules are checked even if the settings are invalid.
    pub(crate) fn run(self) -> Exit {
        let is_empty = self.settings.is_none() && self.rules.is_none();
        if is_empty && self.config.is_none() {
            print_stderr(
                "`wasabicrank check` needs `--settings FILE`, `--rules FILE` or `--config FILE`.",
            );
            return Exit::UsageError;
        }
        if self.config.is_none() && (self.against.is_some() || self.json) {
            print_stderr("`--against` and `--json` need `--config FILE`.");
            return Exit::UsageError;
        }
        if let Some(config) = &self.config {
            if !is_empty {
                print_stderr("`--config` is not used with `--settings` or `--rules`.");
                return Exit::UsageError;
            }
            return check_config_file(config, self.against.as_deref(), self.json);
        }
        let settings = self.settings.as_deref().map(check_settings);
        let rules = self.rules.as_deref().map(check_rules);
        let results: Vec<Result<String, String>> = settings.into_iter().chain(rules).collect();
        report(&results)
    }
}

/// Prints the results of valid files to standard output and errors to standard error.
fn report(results: &[Result<String, String>]) -> Exit {
    let summaries: String = results.iter().flatten().map(|line| format!("{line}\n")).collect();
    let errors: Vec<&String> = results.iter().filter_map(|result| result.as_ref().err()).collect();
    let printed = print(&summaries);
    for error in &errors {
        print_stderr(error);
    }
    if errors.is_empty() { printed } else { Exit::Failure }
}

/// Returns a summary line for valid settings, or the errors in them.
fn check_settings(path: &Path) -> Result<String, String> {
    let file = path.display();
    let settings = Settings::read(path).map_err(|report| report.to_string())?;
    let address = settings.caller_addr();
    Ok(format!("{file}: good: {} in zone {}, callers on {address}", settings.host, settings.zone))
}

/// Returns a summary line for valid rules, or all errors in them.
fn check_rules(path: &Path) -> Result<String, String> {
    let file = path.display().to_string();
    let bytes = std::fs::read(path).map_err(|error| format!("{file}: cannot be read: {error}"))?;
    let text = String::from_utf8(bytes).map_err(|error| invalid_utf8_message(&file, &error))?;
    match parse_rules(0, &file, &text) {
        Ok(rules) => Ok(format!("{file}: good: {}", summary(&rules))),
        Err(errors) => {
            let lines: Vec<String> = errors.iter().map(|error| error.to_string()).collect();
            Err(lines.join("\n"))
        }
    }
}

/// Returns an error message with the line and column of the first bytes that are not valid UTF-8.
fn invalid_utf8_message(file: &str, error: &std::string::FromUtf8Error) -> String {
    let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
    let line = valid.iter().filter(|byte| **byte == b'\n').count() + 1;
    let start = valid.iter().rposition(|byte| *byte == b'\n').map_or(0, |at| at + 1);
    let column = String::from_utf8_lossy(&valid[start..]).chars().count() + 1;
    format!("{file}:{line}:{column}: found bytes that are not UTF-8, expected text")
}

/// Returns the number of rules of each kind.
fn summary(rules: &Rules) -> String {
    [
        pluralize(rules.customers.len(), "customer"),
        pluralize(rules.models.len(), "model"),
        pluralize(rules.services.len(), "service"),
        pluralize(rules.engines.len(), "engine rule"),
    ]
    .join(", ")
}

fn pluralize(count: usize, noun: &str) -> String {
    format!("{count} {noun}{}", if count == 1 { "" } else { "s" })
}
