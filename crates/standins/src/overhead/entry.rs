//! An entry on its own thread, so that its CPU time can be measured separately.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;

use eelgrassramp::Context;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use eelgrassramp::Timers;
use eelgrassramp::entry;
use eelgrassramp::log;
use eelgrassramp::metrics;
use tokio_util::sync::CancellationToken;

/// A running entry on one thread.
#[derive(Debug)]
pub(super) struct EntryThread {
    stop: CancellationToken,
    thread: JoinHandle<Result<()>>,
    /// The kernel file with the CPU time of the thread.
    schedstat: PathBuf,
}

impl EntryThread {
    /// Starts an entry; it begins to listen asynchronously.
    pub(super) fn start(settings: entry::Settings) -> Result<Self> {
        let stop = CancellationToken::new();
        let (tx, rx) = mpsc::channel();
        let thread_stop = stop.clone();
        let thread = std::thread::spawn(move || {
            let me = std::fs::read_link("/proc/thread-self").unwrap_or_default();
            // The receiver waits for this message.
            let _received = tx.send(me);
            run(settings, thread_stop)
        });
        let me = rx
            .recv()
            .map_err(|e| Error::with_source(Kind::Internal, "start entry thread", e))?;
        Ok(Self {
            stop,
            thread,
            schedstat: Path::new("/proc").join(me).join("schedstat"),
        })
    }

    /// Returns the CPU time used by the entry so far.
    pub(super) fn cpu_time(&self) -> Result<Duration> {
        let fail = |what: &str| {
            let detail = format!("{}: {what}", self.schedstat.display());
            Error::new(Kind::Internal, detail)
        };
        let text = std::fs::read_to_string(&self.schedstat).map_err(|e| fail(&e.to_string()))?;
        let nanos = text.split(' ').next().and_then(|n| n.parse().ok());
        nanos
            .map(Duration::from_nanos)
            .ok_or_else(|| fail("no processor time"))
    }

    /// Stops the entry and waits for its thread.
    pub(super) fn stop(self) -> Result<()> {
        self.stop.cancel();
        let joined = self.thread.join();
        joined.unwrap_or_else(|_| Err(Error::new(Kind::Internal, "the entry thread panicked")))
    }
}

fn run(settings: entry::Settings, stop: CancellationToken) -> Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| Error::with_source(Kind::Internal, "start runtime", e))?;
    runtime.block_on(async {
        let cx = Context {
            log: log::discard(),
            metrics: metrics::discard(),
            timers: Timers::start(),
            stop,
            seed: None,
        };
        entry::serve(settings, cx).await
    })
}

/// Returns a free loopback address.
pub(super) fn free_address() -> Result<SocketAddr> {
    let listener = std::net::TcpListener::bind(("127.0.0.1", 0));
    listener
        .and_then(|l| l.local_addr())
        .map_err(|e| Error::with_source(Kind::InvalidSettings, "listen on loopback", e))
}
