//! The commands, one module each.

mod check;
mod check_config;
mod demo;
mod fetch;
mod hash_token;
mod host;
mod measure;
mod serve;
mod settings;
mod stand_ins;
mod status;
mod timeline;
mod trace;
mod why;

use argh::FromArgs;

use crate::output::Exit;

/// What the user asks for.
#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Check(check::Check),
    Demo(demo::Demo),
    HashToken(hash_token::HashToken),
    Host(host::Host),
    Measure(measure::Measure),
    Serve(serve::Serve),
    Settings(settings::PrintSettings),
    StandIns(stand_ins::StandIns),
    Status(status::Status),
    Timeline(timeline::Timeline),
    Trace(trace::Trace),
    Why(why::Why),
}

impl Command {
    /// Runs the command and returns its exit status.
    pub(crate) fn run(self) -> Exit {
        match self {
            Command::Check(command) => command.run(),
            Command::Demo(command) => command.run(),
            Command::HashToken(command) => command.run(),
            Command::Host(command) => command.run(),
            Command::Measure(command) => command.run(),
            Command::Serve(command) => command.run(),
            Command::Settings(command) => command.run(),
            Command::StandIns(command) => command.run(),
            Command::Status(command) => command.run(),
            Command::Timeline(command) => command.run(),
            Command::Trace(command) => command.run(),
            Command::Why(command) => command.run(),
        }
    }
}
