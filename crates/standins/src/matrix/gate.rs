//! Freezes or ends one process as the others see it.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

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
    was_frozen: AtomicBool,
}

impl Gate {
    /// Creates the gate of a running process.
    #[must_use]
    pub fn new() -> Arc<Self> {
        let (state, _) = watch::channel(State::Running);
        Arc::new(Self {
            state,
            was_frozen: AtomicBool::new(false),
        })
    }

    /// Stops the process until [`Gate::thaw`].
    pub fn freeze(&self) {
        self.was_frozen.store(true, Ordering::Relaxed);
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

    /// Tells whether the process was ever frozen.
    #[must_use]
    pub fn was_frozen(&self) -> bool {
        self.was_frozen.load(Ordering::Relaxed)
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
