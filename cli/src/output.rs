//! Writes to standard output and standard error, and names the exit codes.

use std::io::ErrorKind;
use std::io::Write;
use std::process::ExitCode;

/// How a command ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Exit {
    /// All went well.
    Success,
    /// The command found something wrong or did not get its result.
    Failure,
    /// The command line or, for `serve`, the settings cannot be used.
    WrongUse,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(match exit {
            Exit::Success => 0,
            Exit::Failure => 1,
            Exit::WrongUse => 2,
        })
    }
}

/// Writes `text` to standard output; a reader that closed the pipe has what it wanted.
pub(crate) fn print(text: &str) -> Exit {
    let mut stdout = std::io::stdout().lock();
    let written = stdout.write_all(text.as_bytes()).and_then(|()| stdout.flush());
    match written {
        Ok(()) => Exit::Success,
        Err(error) if error.kind() == ErrorKind::BrokenPipe => Exit::Success,
        Err(error) => {
            complain(&format!("standard output cannot be written: {error}"));
            Exit::Failure
        }
    }
}

/// Writes a line to standard error; if that is closed, nobody listens and the line is dropped.
pub(crate) fn complain(line: &str) {
    let _ = writeln!(std::io::stderr().lock(), "{line}");
}
