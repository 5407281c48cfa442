//! Logs by slog, as text or JSON on standard error.

use crate::cli::{LogFormat, LogLevel};
use slog::{Drain, FnValue, Level, LevelFilter, Logger, PushFnValue, Record, o};
use slog_async::Async;
use slog_json::Json;
use slog_term::{FullFormat, TermDecorator};
use std::io;

/// Events that may wait to be written; more are dropped and counted.
const MAX_WAITING_EVENTS: usize = 4_096;

/// The root logger of a process.
pub(crate) fn root(format: LogFormat, level: LogLevel) -> Logger {
    let level = match level {
        LogLevel::Error => Level::Error,
        LogLevel::Warn => Level::Warning,
        LogLevel::Info => Level::Info,
        LogLevel::Debug => Level::Debug,
    };
    match format {
        LogFormat::Text => {
            let decorator = TermDecorator::new().stderr().build();
            let drain = FullFormat::new(decorator).build().fuse();
            Logger::root(LevelFilter::new(waiting(drain), level).fuse(), o!())
        }
        LogFormat::Json => {
            let drain = Json::new(io::stderr())
                .set_newlines(true)
                .add_key_value(o!(
                    "ts" => PushFnValue(move |_: &Record<'_>, ser| {
                        ser.emit(crate::clock::unix_seconds())
                    }),
                    "level" => FnValue(move |record: &Record<'_>| record.level().as_short_str()),
                    "msg" => PushFnValue(move |record: &Record<'_>, ser| ser.emit(record.msg())),
                ))
                .build()
                .fuse();
            Logger::root(LevelFilter::new(waiting(drain), level).fuse(), o!())
        }
    }
}

fn waiting<D>(drain: D) -> slog::Fuse<Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    Async::new(drain).chan_size(MAX_WAITING_EVENTS).build().fuse()
}
