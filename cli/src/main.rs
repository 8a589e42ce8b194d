//! The command-line interface of wasabicrank; each command has a module under `commands`.

#![warn(clippy::unwrap_used)]

mod commands;
mod output;

use std::process::ExitCode;

use argh::FromArgs;

use commands::Command;
use output::Exit;
use output::print;
use output::print_stderr;

/// A serving layer for language-model prompts of very unlike lengths.
#[derive(FromArgs)]
#[argh(
    example = "Start one entry host:\n  {command_name} serve --settings entry-1.json",
    example = "Check rules before publishing them:\n  {command_name} check --rules cotisa.rules",
    note = "`{command_name} COMMAND --help` tells more about a command.",
    error_code(0, "all went well"),
    error_code(1, "the command found something wrong or did not get its result"),
    error_code(2, "wrong use of the command line")
)]
struct Arguments {
    /// print the version
    #[argh(switch, short = 'V')]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

fn main() -> ExitCode {
    let arguments: Vec<String> =
        std::env::args_os().skip(1).map(|word| word.to_string_lossy().into_owned()).collect();
    run(&arguments).into()
}

/// Parses `arguments` and runs the command that they name.
fn run(arguments: &[String]) -> Exit {
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let parsed = match Arguments::from_args(&["wasabicrank"], &words) {
        Ok(parsed) => parsed,
        Err(early_exit) if early_exit.status.is_ok() => return print(&early_exit.output),
        Err(early_exit) => return usage_error(&early_exit.output),
    };
    match parsed {
        Arguments { version: true, .. } => {
            print(concat!("wasabicrank ", env!("CARGO_PKG_VERSION"), "\n"))
        }
        Arguments { command: Some(command), .. } => command.run(),
        _ => usage_error("no command is given"),
    }
}

/// Reports a usage error on standard error and points to `--help`.
fn usage_error(message: &str) -> Exit {
    print_stderr(message.trim_end());
    print_stderr("`wasabicrank --help` lists the commands.");
    Exit::UsageError
}
