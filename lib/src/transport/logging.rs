//! Makes the process's logger from its settings.

use std::io;

use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;

use crate::protocol::LogFormat;
use crate::protocol::LogLevel;
use crate::protocol::LogSettings;

/// How many log lines may wait for a slow reader; more are dropped and counted in the log.
const LOG_RING: usize = 1024;

/// Makes a logger that writes to standard error from a thread of its own.
///
/// Lines that do not fit its ring are dropped, so that an overload never waits for its log.
pub fn make_logger(settings: &LogSettings) -> Logger {
    let level = slog_level(settings.level);
    match settings.format {
        LogFormat::Json => {
            let json = slog_json::Json::default(io::stderr()).fuse();
            with_drain(LevelFilter::new(json, level).fuse())
        }
        LogFormat::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let terminal = slog_term::FullFormat::new(decorator).build().fuse();
            with_drain(LevelFilter::new(terminal, level).fuse())
        }
    }
}

/// Makes a logger that writes JSON lines to standard output from a thread of its own.
///
/// Lines that do not fit its ring are dropped and counted in the log.
pub fn make_stdout_logger(level: LogLevel) -> Logger {
    let json = slog_json::Json::default(io::stdout()).fuse();
    with_drain(LevelFilter::new(json, slog_level(level)).fuse())
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Critical => Level::Critical,
        LogLevel::Error => Level::Error,
        LogLevel::Warning => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn with_drain<D>(drain: D) -> Logger
where
    D: Drain<Ok = (), Err = slog::Never> + Send + 'static,
{
    let drain = slog_async::Async::new(drain)
        .chan_size(LOG_RING)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(drain.fuse(), o!())
}
