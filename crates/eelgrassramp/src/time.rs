//! The monotonic clock and the timer service.
//!
//! Decision cores do not read a clock but take a [`Monotonic`] as an argument. All other code
//! reads the time and waits through one [`Timers`] service. It uses the tokio clock, so tests that
//! pause this clock are deterministic.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::fmt;
use std::ops::Add;
use std::ops::Sub;
use std::time::Duration;

use jiff::Timestamp;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// A point in time on the monotonic clock of one process, measured from the process's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Monotonic(Duration);

impl Monotonic {
    /// The start of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Returns the point `ms` milliseconds after the start.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns the milliseconds since the start.
    #[must_use]
    pub fn as_millis(self) -> u64 {
        crate::num::millis(self.0)
    }

    /// Returns the time since the start.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        self.0
    }

    /// Returns the time from `earlier` to this point, or zero when `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Monotonic {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub<Duration> for Monotonic {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}

/// The timer service of one process.
///
/// [`Timers::every`] gives periodic ticks; [`Timers::after`] and [`Timers::until`] wait once.
/// Clones share the service, which stops when the last clone is dropped.
#[derive(Clone)]
pub struct Timers {
    origin: Instant,
    wall_origin: Option<Timestamp>,
    tx: mpsc::UnboundedSender<Subscription>,
}

impl Timers {
    /// Starts the service on the current tokio runtime, with the system's wall clock.
    #[must_use]
    pub fn start() -> Self {
        Self::spawn(None)
    }

    /// Starts the service with a wall clock that is set to `wall` and advances with the tokio
    /// clock, so that dates are reproducible in tests.
    #[must_use]
    pub fn start_at(wall: Timestamp) -> Self {
        Self::spawn(Some(wall))
    }

    fn spawn(wall_origin: Option<Timestamp>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self {
            origin: Instant::now(),
            wall_origin,
            tx,
        }
    }

    /// Returns the date and time on the wall clock.
    ///
    /// Use it for dates set by people or other systems, and [`Timers::now`] for durations.
    #[must_use]
    pub fn wall_now(&self) -> Timestamp {
        match self.wall_origin {
            None => Timestamp::now(),
            Some(start) => start
                .saturating_add(self.origin.elapsed())
                .unwrap_or(Timestamp::MAX),
        }
    }

    /// Returns the current point in time.
    #[must_use]
    pub fn now(&self) -> Monotonic {
        Monotonic(self.origin.elapsed())
    }

    /// Returns ticks with the given period; the first tick comes after one period.
    ///
    /// Periods that pass while the receiver is busy give a single tick.
    #[must_use]
    pub fn every(&self, period: Duration) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        self.subscribe(Instant::now() + period, Notify::Every(period, tx));
        Ticks { rx }
    }

    /// Waits for `d`.
    pub async fn after(&self, d: Duration) {
        let (tx, rx) = oneshot::channel();
        self.subscribe(Instant::now() + d, Notify::Once(tx));
        let _fired = rx.await;
    }

    /// Waits until `at`; returns at once if `at` has passed.
    pub async fn until(&self, at: Monotonic) {
        let wait = at.since(self.now());
        if !wait.is_zero() {
            self.after(wait).await;
        }
    }

    /// Runs `work` with the timeout `limit`; returns `None` on timeout.
    pub async fn limit<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            out = work => Some(out),
            () = self.after(limit) => None,
        }
    }

    fn subscribe(&self, at: Instant, notify: Notify) {
        // Cannot fail: the service runs as long as a handle exists.
        let _sent = self.tx.send(Subscription { at, notify });
    }
}

impl fmt::Debug for Timers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timers").field("now", &self.now()).finish()
    }
}

/// A receiver of periodic ticks.
#[derive(Debug)]
pub struct Ticks {
    rx: mpsc::Receiver<()>,
}

impl Ticks {
    /// Waits for the next tick.
    pub async fn tick(&mut self) {
        if self.rx.recv().await.is_none() {
            std::future::pending::<()>().await;
        }
    }
}

struct Subscription {
    at: Instant,
    notify: Notify,
}

enum Notify {
    Once(oneshot::Sender<()>),
    Every(Duration, mpsc::Sender<()>),
}

struct PendingTimer {
    at: Instant,
    seq: u64,
    notify: Notify,
}

impl PartialEq for PendingTimer {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for PendingTimer {}

impl PartialOrd for PendingTimer {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for PendingTimer {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>) {
    let mut timer_queue = BinaryHeap::new();
    let mut seq = 0;
    loop {
        let next = timer_queue
            .peek()
            .map(|Reverse(timer): &Reverse<PendingTimer>| timer.at);
        tokio::select! {
            received = rx.recv() => {
                let Some(Subscription { at, notify }) = received else { return };
                seq += 1;
                timer_queue.push(Reverse(PendingTimer { at, seq, notify }));
            }
            () = wait_until(next) => fire_expired(&mut timer_queue),
        }
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn fire_expired(timer_queue: &mut BinaryHeap<Reverse<PendingTimer>>) {
    let now = Instant::now();
    while timer_queue
        .peek()
        .is_some_and(|Reverse(timer)| timer.at <= now)
    {
        let Some(Reverse(PendingTimer { at, seq, notify })) = timer_queue.pop() else {
            return;
        };
        match notify {
            Notify::Once(tx) => {
                let _received = tx.send(());
            }
            Notify::Every(period, tx) => {
                if matches!(tx.try_send(()), Err(mpsc::error::TrySendError::Closed(()))) {
                    continue;
                }
                let at = (at + period).max(now);
                timer_queue.push(Reverse(PendingTimer {
                    at,
                    seq,
                    notify: Notify::Every(period, tx),
                }));
            }
        }
    }
}
