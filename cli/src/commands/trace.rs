//! `wasabicrank trace`: collects the log lines of one request from the saved logs of several entry
//! hosts.

use std::fs;

use argh::FromArgs;
use wasabicrank_lib::protocol::trace_request;

use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// Show what the logs of entry hosts say of one request, oldest first, with the servers and
/// dependencies that it met.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "trace",
    example = "{command_name} --logs host-1.log,host-2.log 9c41d07be2a35f68",
    error_code(0, "the request is in the logs"),
    error_code(1, "no log has the request"),
    error_code(2, "a log cannot be read, or wrong use of the command line")
)]
pub(crate) struct Trace {
    /// the log files, with commas between them
    #[argh(option, arg_name = "files")]
    logs: String,
    /// the request's id, as its caller sent it
    #[argh(positional)]
    request: String,
}

impl Trace {
    /// Reads the logs and prints the lines of the request.
    pub(crate) fn run(self) -> Exit {
        let mut logs = Vec::new();
        for path in self.logs.split(',') {
            match fs::read_to_string(path) {
                Ok(text) => logs.push((path, text)),
                Err(error) => {
                    print_stderr(&format!("the log {path} cannot be read: {error}"));
                    return Exit::UsageError;
                }
            }
        }
        let log_texts: Vec<(&str, &str)> =
            logs.iter().map(|(path, text)| (*path, text.as_str())).collect();
        let lines = trace_request(&log_texts, &self.request);
        if lines.is_empty() {
            print_stderr(&format!("no log has a line of the request {}", self.request));
            return Exit::Failure;
        }
        let text: String = lines
            .iter()
            .map(|line| format!("{} {} {}\n", line.time, line.host, line.text))
            .collect();
        print(&text)
    }
}
