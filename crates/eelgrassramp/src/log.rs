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

/// Maximum time to write the remaining lines when the process ends.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The log level.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verbosity {
    /// Failures that need an operator.
    Error,
    /// Also failures that the system handles itself.
    Warn,
    /// Also changes of state.
    #[default]
    Info,
    /// Also each decision.
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

/// Counters of the lines of a logger.
#[derive(Debug, Clone, Default)]
pub struct LineCount {
    logged: Arc<AtomicU64>,
    written: Arc<AtomicU64>,
}

impl LineCount {
    /// Returns the number of lines that were not written: the few in the queue, and those dropped
    /// because the reader of the log was too slow.
    #[must_use]
    pub fn unwritten(&self) -> u64 {
        let written = self.written.load(Ordering::Relaxed);
        self.logged.load(Ordering::Relaxed).saturating_sub(written)
    }
}

/// A drain that counts its records.
struct CountingDrain<D> {
    drain: D,
    count: Arc<AtomicU64>,
}

impl<D: Drain> Drain for CountingDrain<D> {
    type Ok = D::Ok;
    type Err = D::Err;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<D::Ok, D::Err> {
        let result = self.drain.log(record, values);
        self.count.fetch_add(1, Ordering::Relaxed);
        result
    }
}

/// A logger and the thread that writes its lines.
pub struct Log {
    /// The logger.
    pub logger: Logger,
    /// Counters of its lines.
    pub lines: LineCount,
    writer_guard: AsyncGuard,
}

impl Log {
    /// Waits until all lines are written, for a limited time.
    ///
    /// The process must end even if nothing reads its log.
    pub fn flush(self) {
        let (tx, rx) = mpsc::channel();
        let writer_guard = self.writer_guard;
        thread::spawn(move || {
            drop(writer_guard);
            // Fails if the wait has timed out.
            let _sent = tx.send(());
        });
        let _flushed = rx.recv_timeout(FLUSH_TIMEOUT);
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
    let written_drain = CountingDrain {
        drain: Mutex::new(json).map(slog::Fuse),
        count: Arc::clone(&lines.written),
    };
    let (queue, writer_guard) = slog_async::Async::new(written_drain).build_with_guard();
    let logged_drain = CountingDrain {
        drain: queue.fuse(),
        count: Arc::clone(&lines.logged),
    };
    let drain = logged_drain.filter_level(verbosity.into()).fuse();
    Log {
        logger: Logger::root(drain, o!("process" => process)),
        lines,
        writer_guard,
    }
}

/// Creates a logger that drops everything.
pub fn discard() -> Logger {
    Logger::root(slog::Discard, o!())
}
