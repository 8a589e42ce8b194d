//! Creates the process's logger from its settings.

use std::io;

use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;

use crate::protocol::LogFormat;
use crate::protocol::LogLevel;
use crate::protocol::LogSettings;

/// How many log lines are queued for a slow reader; further lines are dropped and counted in the log.
const LOG_QUEUE_LEN: usize = 1024;

/// Creates a logger that writes to standard error from a separate thread.
///
/// Lines that do not fit its queue are dropped, so that logging never blocks under overload.
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

/// Creates a logger that writes JSON lines to standard output from a separate thread.
///
/// Lines that do not fit its queue are dropped and counted in the log.
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
        .chan_size(LOG_QUEUE_LEN)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build();
    Logger::root(drain.fuse(), o!())
}
