//! Runs a server process: command line, settings, logging, runtime and exit code.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use eelgrassramp::Context;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::log;
use eelgrassramp::log::Verbosity;
use eelgrassramp::metrics;
use eelgrassramp::stop_on_signal;
use slog::Logger;
use slog::error;
use slog::info;
use slog::o;
use tokio_util::sync::CancellationToken;

/// Exit codes of all programs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The program succeeded.
    Success = 0,
    /// The program failed while running.
    Failed = 1,
    /// The command line, a settings file or a tables file is invalid.
    Usage = 2,
    /// The platform's object API is unavailable; nothing was changed.
    StoreUnavailable = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}

/// A server process.
pub trait Program {
    /// The validated settings.
    type Settings;

    /// Name of the process, used on the command line and in logs.
    const NAME: &'static str;

    /// What the process does, in one sentence.
    const ABOUT: &'static str;

    /// Reads and validates the settings file.
    ///
    /// # Errors
    ///
    /// Returns an error with the file, the location and the cause.
    fn read_settings(path: &Path) -> Result<Self::Settings>;

    /// Returns the verbosity of the log.
    fn verbosity(settings: &Self::Settings) -> Verbosity;

    /// Returns the StatsD address for metrics; with `None`, no metrics are sent.
    fn statsd(settings: &Self::Settings) -> Option<SocketAddr>;

    /// Runs until `cx.stop` is cancelled and all requests in progress have ended.
    fn serve(settings: Self::Settings, cx: Context) -> impl Future<Output = Result<()>> + Send;
}

/// Runs the server process `P` and returns its exit code.
#[must_use]
pub fn main<P: Program>() -> ExitCode {
    let matches = crate::server_command(P::NAME, P::ABOUT).get_matches();
    let Some(path) = matches.get_one::<PathBuf>("settings") else {
        return Exit::Usage.into();
    };
    let settings = match P::read_settings(path) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{}: {}", P::NAME, e.detail());
            return Exit::Usage.into();
        }
    };
    if matches.get_flag("check") {
        return Exit::Success.into();
    }
    let log = log::to_stderr(P::verbosity(&settings), P::NAME);
    let exit = run::<P>(settings, &log.logger);
    log.flush();
    exit.into()
}

fn run<P: Program>(settings: P::Settings, log: &Logger) -> Exit {
    let runtime = match tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
    {
        Ok(runtime) => runtime,
        Err(e) => {
            error!(log, "runtime failed to start"; "error" => %e);
            return Exit::Failed;
        }
    };
    let outcome = runtime.block_on(async {
        let cx = new_context(log, P::statsd(&settings))?;
        tokio::spawn(stop_on_signal(log.clone(), cx.stop.clone()));
        info!(log, "process started"; "pid" => std::process::id());
        P::serve(settings, cx).await
    });
    match outcome {
        Ok(()) => {
            info!(log, "process stopped");
            Exit::Success
        }
        Err(e) => {
            error!(log, "process failed"; "kind" => %e.kind(), "error" => %e);
            if e.kind() == Kind::InvalidSettings {
                Exit::Usage
            } else {
                Exit::Failed
            }
        }
    }
}

fn new_context(log: &Logger, statsd: Option<SocketAddr>) -> Result<Context> {
    let metrics = match statsd {
        Some(target) => metrics::to_statsd(target)?,
        None => metrics::discard(),
    };
    Ok(Context {
        log: log.new(o!()),
        metrics,
        timers: Timers::start(),
        stop: CancellationToken::new(),
        seed: None,
    })
}
