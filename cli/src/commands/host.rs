//! `wasabicrank host`: runs one entry host as a gateway on the users' platform.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use wasabicrank_lib::protocol::GatewaySettings;
use wasabicrank_lib::transport::BootClock;
use wasabicrank_lib::transport::GatewayParts;
use wasabicrank_lib::transport::make_stdout_logger;
use wasabicrank_lib::transport::run_gateway;
use wasabicrank_platform::PlatformDialect;
use wasabicrank_platform::StoreSource;
use wasabicrank_platform::settings_path;

use crate::output::Exit;
use crate::output::print;
use crate::output::print_stderr;

/// The time that the logger gets to write its last lines before the process exits.
const LOG_FLUSH: Duration = Duration::from_millis(30);

/// Run one entry host on the users' platform. SIGTERM begins a planned stop, SIGHUP reads the
/// settings again.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "host",
    example = "{command_name} --settings host.json",
    error_code(0, "the planned stop is over, or the settings are right"),
    error_code(1, "the entry host could not start"),
    error_code(2, "the settings or the command line are wrong")
)]
pub(crate) struct Host {
    /// the settings file; without it, the one that the platform names
    #[argh(option, arg_name = "file")]
    settings: Option<PathBuf>,
    /// check the settings and end
    #[argh(switch)]
    check: bool,
}

impl Host {
    /// Reads the settings and, unless `--check` is given, runs the entry host until it has stopped.
    pub(crate) fn run(self) -> Exit {
        let Some(path) = self.settings.or_else(settings_path) else {
            print_stderr("no settings file: give --settings FILE");
            return Exit::UsageError;
        };
        let settings = match GatewaySettings::read(&path) {
            Ok(settings) => settings,
            Err(error) => {
                print_stderr(&error.to_string());
                return Exit::UsageError;
            }
        };
        if self.check {
            return print("the settings are right\n");
        }
        let clock = BootClock::start();
        let parts = GatewayParts {
            source: Box::new(StoreSource::new(settings.store, clock)),
            dialect: Box::new(PlatformDialect),
            log: make_stdout_logger(settings.log_level.into()),
            settings,
            path,
            clock,
        };
        let result = run_gateway(parts);
        thread::sleep(LOG_FLUSH);
        match result {
            Ok(()) => Exit::Success,
            Err(error) => {
                print_stderr(&error.to_string());
                Exit::Failure
            }
        }
    }
}
