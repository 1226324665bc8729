//! Freezes or ends one process as the others see it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::Monotonic;
use tokio::sync::watch;

/// Time within which the balancer notices that a process does not answer.
const HEALTH_CHECK: Duration = Duration::from_secs(1);

/// What state a process is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Frozen,
    Dead,
}

/// The border between one process and everything outside it.
///
/// A frozen process sends and receives nothing until it is thawed; a dead one never again.
#[derive(Debug)]
pub struct Gate {
    state: watch::Sender<State>,
    frozen_at: Mutex<Option<Monotonic>>,
}

impl Gate {
    /// Creates the gate of a running process.
    #[must_use]
    pub fn new() -> Arc<Self> {
        let (state, _) = watch::channel(State::Running);
        Arc::new(Self {
            state,
            frozen_at: Mutex::new(None),
        })
    }

    /// Stops the process until [`Gate::thaw`].
    pub fn freeze(&self, now: Monotonic) {
        *self.lock() = Some(now);
        self.turn(State::Frozen);
    }

    /// Lets a frozen process go on.
    pub fn thaw(&self) {
        self.turn(State::Running);
    }

    /// Ends the process.
    pub fn kill(&self) {
        self.turn(State::Dead);
    }

    /// Tells whether the process has ended.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        *self.state.borrow() == State::Dead
    }

    /// Tells whether the process is frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        *self.state.borrow() == State::Frozen
    }

    /// Tells whether the process was ever frozen.
    #[must_use]
    pub fn was_frozen(&self) -> bool {
        self.lock().is_some()
    }

    /// Tells whether a health check of the balancer still finds the process in service.
    #[must_use]
    pub fn answers_since(&self, now: Monotonic) -> bool {
        let frozen_at = *self.lock();
        match *self.state.borrow() {
            State::Running => true,
            State::Frozen => frozen_at.is_none_or(|at| now.since(at) < HEALTH_CHECK),
            State::Dead => false,
        }
    }

    /// Waits while the process is frozen, and for good when it is dead.
    pub async fn pass(&self) {
        self.reach(State::Running).await;
    }

    /// Waits until the process has ended.
    pub async fn died(&self) {
        self.reach(State::Dead).await;
    }

    async fn reach(&self, wanted: State) {
        let mut rx = self.state.subscribe();
        if rx.wait_for(|state| *state == wanted).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Monotonic>> {
        self.frozen_at
            .lock()
            .expect("no panic while the gate is locked")
    }

    fn turn(&self, to: State) {
        self.state.send_if_modified(|state| {
            let changes = *state != State::Dead && *state != to;
            if changes {
                *state = to;
            }
            changes
        });
    }
}
