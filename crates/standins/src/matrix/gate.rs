//! Freezes or kills a process as seen from outside it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::Monotonic;
use tokio::sync::watch;

/// Time within which the load balancer detects an unresponsive process.
const HEALTH_CHECK: Duration = Duration::from_secs(1);

/// The state of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Running,
    Frozen,
    Dead,
}

/// Controls all communication between one process and the outside.
///
/// A frozen process sends and receives nothing until it is thawed, a dead process never again.
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

    /// Freezes the process until [`Gate::thaw`].
    pub fn freeze(&self, now: Monotonic) {
        *self.lock() = Some(now);
        self.set_state(State::Frozen);
    }

    /// Resumes a frozen process.
    pub fn thaw(&self) {
        self.set_state(State::Running);
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.set_state(State::Dead);
    }

    /// Returns whether the process is dead.
    #[must_use]
    pub fn is_dead(&self) -> bool {
        *self.state.borrow() == State::Dead
    }

    /// Returns whether the process is frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        *self.state.borrow() == State::Frozen
    }

    /// Returns whether the process was ever frozen.
    #[must_use]
    pub fn was_frozen(&self) -> bool {
        self.lock().is_some()
    }

    /// Returns whether the load balancer still considers the process healthy.
    #[must_use]
    pub fn passes_health_check(&self, now: Monotonic) -> bool {
        let frozen_at = *self.lock();
        match *self.state.borrow() {
            State::Running => true,
            State::Frozen => frozen_at.is_none_or(|at| now.since(at) < HEALTH_CHECK),
            State::Dead => false,
        }
    }

    /// Waits while the process is frozen; never returns if it is dead.
    pub async fn wait_until_running(&self) {
        self.wait_for_state(State::Running).await;
    }

    /// Waits until the process is dead.
    pub async fn wait_until_dead(&self) {
        self.wait_for_state(State::Dead).await;
    }

    async fn wait_for_state(&self, wanted: State) {
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

    fn set_state(&self, to: State) {
        self.state.send_if_modified(|state| {
            let changes = *state != State::Dead && *state != to;
            if changes {
                *state = to;
            }
            changes
        });
    }
}
