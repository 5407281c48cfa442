//! Loggers with asynchronous output as text or JSON.

use crate::cli::{LogFormat, LogLevel};
use slog::{Drain, FnValue, Level, LevelFilter, Logger, PushFnValue, Record, o};
use slog_async::Async;
use slog_json::Json;
use slog_term::{FullFormat, TermDecorator};
use std::io;

/// Capacity of the queue of events to write; further events are dropped and counted.
const MAX_BUFFERED_EVENTS: usize = 4_096;

/// Logger that writes JSON to standard output, for processes whose logs the platform collects.
pub(crate) fn stdout(level: LogLevel) -> Logger {
    let drain = json(io::stdout());
    Logger::root(LevelFilter::new(async_drain(drain), slog_level(level)).fuse(), o!())
}

fn slog_level(level: LogLevel) -> Level {
    match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    }
}

fn json<W>(output: W) -> slog::Fuse<Json<W>>
where
    W: io::Write,
{
    Json::new(output)
        .set_newlines(true)
        .add_key_value(o!(
            "ts" => PushFnValue(move |_: &Record<'_>, ser| {
                ser.emit(crate::clock::unix_millis())
            }),
            "level" => FnValue(move |record: &Record<'_>| record.level().as_short_str()),
            "msg" => PushFnValue(move |record: &Record<'_>, ser| ser.emit(record.msg())),
        ))
        .build()
        .fuse()
}

/// Root logger of a process, which writes to standard error.
pub(crate) fn root(format: LogFormat, level: LogLevel) -> Logger {
    let level = slog_level(level);
    match format {
        LogFormat::Text => {
            let decorator = TermDecorator::new().stderr().build();
            let drain = FullFormat::new(decorator).build().fuse();
            Logger::root(LevelFilter::new(async_drain(drain), level).fuse(), o!())
        }
        LogFormat::Json => {
            let drain = json(io::stderr());
            Logger::root(LevelFilter::new(async_drain(drain), level).fuse(), o!())
        }
    }
}

fn async_drain<D>(drain: D) -> slog::Fuse<Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain).chan_size(MAX_BUFFERED_EVENTS).build().fuse()
}
