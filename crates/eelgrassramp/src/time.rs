//! The monotonic clock and the timer service.
//!
//! Decision cores never read a clock: they take a [`Monotonic`] as an argument. Everything
//! else reads the time from, and waits through, one [`Timers`] service. It runs on the tokio
//! clock, so tests that pause that clock are deterministic.

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

/// A point in time on one process's monotonic clock, counted from that process's start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Monotonic(Duration);

impl Monotonic {
    /// The start of the clock.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Builds the point `ms` milliseconds after the start.
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
/// Parts subscribe to periodic ticks with [`Timers::every`] or to a single point in time with
/// [`Timers::after`] and [`Timers::until`]. Clones share the service; it ends when the last
/// clone is dropped.
#[derive(Clone)]
pub struct Timers {
    origin: Instant,
    wall_start: Option<Timestamp>,
    tx: mpsc::UnboundedSender<Subscription>,
}

impl Timers {
    /// Starts the service on the current tokio runtime, with the system's wall clock.
    #[must_use]
    pub fn start() -> Self {
        Self::spawn(None)
    }

    /// Starts the service with a wall clock that shows `wall` now and runs with the tokio
    /// clock, so that dates are as repeatable as waits.
    #[must_use]
    pub fn start_at(wall: Timestamp) -> Self {
        Self::spawn(Some(wall))
    }

    fn spawn(wall_start: Option<Timestamp>) -> Self {
        let (tx, rx) = mpsc::unbounded_channel();
        tokio::spawn(run(rx));
        Self {
            origin: Instant::now(),
            wall_start,
            tx,
        }
    }

    /// Returns the date and time on the wall clock.
    ///
    /// It is for dates that people or other systems set; durations are judged by
    /// [`Timers::now`].
    #[must_use]
    pub fn wall_now(&self) -> Timestamp {
        match self.wall_start {
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

    /// Subscribes to a tick every `period`, the first one after one period.
    ///
    /// A subscriber that is busy for several periods gets one tick for them, not several.
    #[must_use]
    pub fn every(&self, period: Duration) -> Ticks {
        let (tx, rx) = mpsc::channel(1);
        self.subscribe(Instant::now() + period, Wake::Every(period, tx));
        Ticks { rx }
    }

    /// Waits for `d`.
    pub async fn after(&self, d: Duration) {
        let (tx, rx) = oneshot::channel();
        self.subscribe(Instant::now() + d, Wake::Once(tx));
        let _ended = rx.await;
    }

    /// Waits until `at`, or not at all when `at` has passed.
    pub async fn until(&self, at: Monotonic) {
        let wait = at.since(self.now());
        if !wait.is_zero() {
            self.after(wait).await;
        }
    }

    /// Runs `work` for at most `limit`; returns `None` when it did not end in time.
    pub async fn limit<T>(&self, limit: Duration, work: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            out = work => Some(out),
            () = self.after(limit) => None,
        }
    }

    fn subscribe(&self, at: Instant, wake: Wake) {
        // The service only ends with its last handle, so the send cannot fail while one exists.
        let _sent = self.tx.send(Subscription { at, wake });
    }
}

impl fmt::Debug for Timers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Timers").field("now", &self.now()).finish()
    }
}

/// A subscription to periodic ticks.
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
    wake: Wake,
}

enum Wake {
    Once(oneshot::Sender<()>),
    Every(Duration, mpsc::Sender<()>),
}

struct Due {
    at: Instant,
    seq: u64,
    wake: Wake,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

async fn run(mut rx: mpsc::UnboundedReceiver<Subscription>) {
    let mut heap = BinaryHeap::new();
    let mut seq = 0;
    loop {
        let next = heap.peek().map(|Reverse(due): &Reverse<Due>| due.at);
        tokio::select! {
            received = rx.recv() => {
                let Some(Subscription { at, wake }) = received else { return };
                seq += 1;
                heap.push(Reverse(Due { at, seq, wake }));
            }
            () = wait_until(next) => fire(&mut heap),
        }
    }
}

async fn wait_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}

fn fire(heap: &mut BinaryHeap<Reverse<Due>>) {
    let now = Instant::now();
    while heap.peek().is_some_and(|Reverse(due)| due.at <= now) {
        let Some(Reverse(Due { at, seq, wake })) = heap.pop() else {
            return;
        };
        match wake {
            Wake::Once(tx) => {
                let _received = tx.send(());
            }
            Wake::Every(period, tx) => {
                if matches!(tx.try_send(()), Err(mpsc::error::TrySendError::Closed(()))) {
                    continue;
                }
                let at = (at + period).max(now);
                heap.push(Reverse(Due {
                    at,
                    seq,
                    wake: Wake::Every(period, tx),
                }));
            }
        }
    }
}
