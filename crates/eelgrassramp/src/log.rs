//! Structured logs as JSON lines.

use std::io;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;
use slog::Drain;
use slog::FnValue;
use slog::Level;
use slog::Logger;
use slog::PushFnValue;
use slog::Record;
use slog::o;

/// How much is logged.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verbosity {
    /// Only failures that need an operator.
    Error,
    /// Failures that the system handles by itself as well.
    Warn,
    /// Changes of state as well.
    #[default]
    Info,
    /// Each decision as well.
    Debug,
}

impl From<Verbosity> for Level {
    fn from(verbosity: Verbosity) -> Self {
        match verbosity {
            Verbosity::Error => Self::Error,
            Verbosity::Warn => Self::Warning,
            Verbosity::Info => Self::Info,
            Verbosity::Debug => Self::Debug,
        }
    }
}

/// Creates a logger that writes JSON lines to standard error without blocking its callers.
pub fn to_stderr(verbosity: Verbosity, process: &'static str) -> Logger {
    to_writer(io::stderr(), verbosity, process)
}

/// Creates a logger that writes JSON lines to standard output without blocking its callers.
pub fn to_stdout(verbosity: Verbosity, process: &'static str) -> Logger {
    to_writer(io::stdout(), verbosity, process)
}

fn to_writer(
    writer: impl io::Write + Send + 'static,
    verbosity: Verbosity,
    process: &'static str,
) -> Logger {
    let json = slog_json::Json::new(writer)
        .set_newlines(true)
        .set_flush(true)
        .add_key_value(o!(
            "ts" => FnValue(|_: &Record<'_>| jiff::Timestamp::now().to_string()),
            "level" => FnValue(|r: &Record<'_>| r.level().as_str()),
            "msg" => PushFnValue(|r: &Record<'_>, ser| ser.emit(r.msg())),
        ))
        .build();
    let drain = slog_async::Async::new(Mutex::new(json).map(slog::Fuse))
        .build()
        .fuse();
    Logger::root(
        drain.filter_level(verbosity.into()).fuse(),
        o!("process" => process),
    )
}

/// Creates a logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
