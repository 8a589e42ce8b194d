//! `wasabicrank trace`: follows one request through the saved logs of several entry hosts.

use std::fs;

use argh::FromArgs;
use wasabicrank_lib::protocol::trace_request;

use crate::output::Exit;
use crate::output::complain;
use crate::output::print;

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
    /// Prints the trace.
    pub(crate) fn run(self) -> Exit {
        let mut logs = Vec::new();
        for path in self.logs.split(',') {
            match fs::read_to_string(path) {
                Ok(text) => logs.push((path, text)),
                Err(error) => {
                    complain(&format!("the log {path} cannot be read: {error}"));
                    return Exit::WrongUse;
                }
            }
        }
        let views: Vec<(&str, &str)> =
            logs.iter().map(|(path, text)| (*path, text.as_str())).collect();
        let lines = trace_request(&views, &self.request);
        if lines.is_empty() {
            complain(&format!("no log has a line of the request {}", self.request));
            return Exit::Failure;
        }
        let text: String = lines
            .iter()
            .map(|line| format!("{} {} {}\n", line.time, line.host, line.text))
            .collect();
        print(&text)
    }
}
