//! Output to standard output and standard error, and the exit codes of the commands.

use std::io::ErrorKind;
use std::io::Write;
use std::process::ExitCode;

/// The result of a command, which determines the exit code.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// The command succeeded.
    Success,
    /// The command found an error in its input or could not obtain its result.
    Failure,
    /// The command line is invalid or, for `serve` and `host`, the settings are, or, for `trace`, a log
    /// cannot be read.
    UsageError,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::UsageError => 2,
        })
    }
}

/// Writes `text` to standard output. A closed pipe counts as success, since the reader has read all
/// that it needs.
pub(crate) fn print(text: &str) -> Exit {
    let mut stdout = std::io::stdout().lock();
    let written = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
    match written {
        Ok(()) => Exit::Success,
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Success,
        Err(error) => {
            print_stderr(&format!("standard output cannot be written: {error}"));
            Exit::Failure
        }
    }
}

/// Writes a line to standard error. The line is dropped if standard error is closed, since nothing
/// reads it then.
pub(crate) fn print_stderr(line: &str) {
    let _ = writeln!(std::io::stderr().lock(), "{line}");
}
