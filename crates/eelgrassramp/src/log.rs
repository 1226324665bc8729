//! Structured logs as JSON lines.

use std::fmt;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use slog::Drain;
use slog::FnValue;
use slog::Level;
use slog::Logger;
use slog::OwnedKVList;
use slog::PushFnValue;
use slog::Record;
use slog::o;
use slog_async::AsyncGuard;

/// Time that the last lines of a process may take.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

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

/// Counts the lines of a logger.
#[derive(Debug, Clone, Default)]
pub struct LineCount {
    logged: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
}

impl LineCount {
    /// Returns how many lines were not written: those that wait for the reader of the log, few
    /// at most, and those that were dropped because it was too slow.
    #[must_use]
    pub fn unwritten(&self) -> u64 {
        let written = self.written.load(Ordering::Relaxed);
        self.logged.load(Ordering::Relaxed).saturating_sub(written)
    }
}

/// Counts what passes through a drain.
struct Counted<D> {
    drain: D,
    count: Arc<AtomicU64>,
}

impl<D: Drain> Drain for Counted<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let done = self.drain.log(record, values);
        self.count.fetch_add(1, Ordering::Relaxed);
        done
    }
}

/// A logger with the thread that writes its lines.
pub struct Log {
    /// The logger.
    pub logger: Logger,
    /// What became of its lines.
    pub lines: LineCount,
    writing: AsyncGuard,
}

impl Log {
    /// Waits until all lines are written, but not for long: nobody may read them, and a process
    /// has to end nevertheless.
    pub fn flush(self) {
        let (tx, rx) = mpsc::channel();
        let writing = self.writing;
        thread::spawn(move || {
            drop(writing);
            // Nobody waits any more when the limit is over.
            let _waits = tx.send(());
        });
        let _in_time = rx.recv_timeout(FLUSH_TIMEOUT);
    }
}

impl fmt::Debug for Log {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Log")
            .field("lines", &self.lines)
            .finish_non_exhaustive()
    }
}

/// Creates a logger that writes JSON lines to standard error without blocking its callers.
#[must_use]
pub fn to_stderr(verbosity: Verbosity, process: &'static str) -> Log {
    to_writer(io::stderr(), verbosity, process)
}

/// Creates a logger that writes JSON lines to standard output without blocking its callers.
#[must_use]
pub fn to_stdout(verbosity: Verbosity, process: &'static str) -> Log {
    to_writer(io::stdout(), verbosity, process)
}

fn to_writer(
    writer: impl io::Write + Send + 'static,
    verbosity: Verbosity,
    process: &'static str,
) -> Log {
    let lines = LineCount::default();
    let json = slog_json::Json::new(writer)
        .set_newlines(true)
        .set_flush(true)
        .add_key_value(o!(
            "ts" => FnValue(|_: &Record<'_>| jiff::Timestamp::now().to_string()),
            "level" => FnValue(|r: &Record<'_>| r.level().as_str()),
            "msg" => PushFnValue(|r: &Record<'_>, ser| ser.emit(r.msg())),
        ))
        .build();
    let written = Counted {
        drain: Mutex::new(json).map(slog::Fuse),
        count: Arc::clone(&lines.written),
    };
    let (queue, writing) = slog_async::Async::new(written).build_with_guard();
    let logged = Counted {
        drain: queue.fuse(),
        count: Arc::clone(&lines.logged),
    };
    let drain = logged.filter_level(verbosity.into()).fuse();
    Log {
        logger: Logger::root(drain, o!("process" => process)),
        lines,
        writing,
    }
}

/// Creates a logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
