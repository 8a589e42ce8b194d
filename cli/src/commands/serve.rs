//! `wasabicrank serve`: runs one entry host until it receives SIGTERM or SIGINT.

use std::path::PathBuf;
use std::thread;
use std::time::Duration;

use argh::FromArgs;
use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::iterator::Signals;
use wasabicrank_lib::protocol::Settings;
use wasabicrank_lib::transport::Daemon;
use wasabicrank_lib::transport::make_logger;

use crate::output::Exit;
use crate::output::print_stderr;

/// The time that the logger gets to write its last lines before the process exits.
const LOG_FLUSH: Duration = Duration::from_millis(50);

/// Run one entry host. SIGTERM or SIGINT begins a planned stop: new requests go elsewhere, running
/// ones are answered, then the process ends.
#[derive(FromArgs)]
#[argh(
    subcommand,
    name = "serve",
    example = "{command_name} --settings entry-1.json",
    error_code(0, "the planned stop is over"),
    error_code(1, "the entry host could not start or stopped on an error"),
    error_code(2, "the settings or the command line are wrong")
)]
pub(crate) struct Serve {
    /// the settings file of this entry host
    #[argh(option, arg_name = "file")]
    settings: PathBuf,
}

impl Serve {
    /// Reads the settings and runs the entry host until it has stopped.
    pub(crate) fn run(self) -> Exit {
        let settings = match Settings::read(&self.settings) {
            Ok(settings) => settings,
            Err(report) => {
                print_stderr(&report.to_string());
                return Exit::UsageError;
            }
        };
        match serve(&settings) {
            Ok(()) => Exit::Success,
            Err(message) => {
                print_stderr(&message);
                Exit::Failure
            }
        }
    }
}

fn serve(settings: &Settings) -> Result<(), String> {
    let mut signals = Signals::new([SIGTERM, SIGINT])
        .map_err(|error| format!("signals cannot be received: {error}"))?;
    let log = make_logger(&settings.log);
    let daemon = Daemon::start(settings, log).map_err(|report| format!("{report:?}"))?;
    let stop_handle = daemon.stop_handle();
    thread::spawn(move || {
        for _ in signals.forever() {
            stop_handle.stop();
        }
    });
    daemon.wait();
    thread::sleep(LOG_FLUSH);
    Ok(())
}
