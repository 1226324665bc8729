//! How far this entry's tables and endpoints lag behind what others hold.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use eelgrassramp::Monotonic;
use eelgrassramp::lock;

use super::StateVersions;

/// Lag after which another entry is asked; most of the time the platform's store tells sooner.
const PATIENCE: Duration = Duration::from_millis(600);

/// Time that a question may take before the next one.
const QUESTION_PERIOD: Duration = Duration::from_millis(500);

#[derive(Debug, Clone, Copy)]
struct Behind {
    /// What this entry held when it was first seen to lag.
    own: StateVersions,
    since: Monotonic,
    asked_at: Option<Monotonic>,
}

/// Whether this entry lags, and for how long.
#[derive(Debug, Default)]
pub(super) struct Lag {
    behind: Mutex<Option<Behind>>,
}

impl Lag {
    /// Notes that another entry holds something newer than `own`.
    pub(super) fn note(&self, now: Monotonic, own: StateVersions) {
        let mut behind = self.lock();
        if behind.is_none_or(|b| b.own != own) {
            *behind = Some(Behind {
                own,
                since: now,
                asked_at: None,
            });
        }
    }

    /// Tells whether another entry is to be asked, as long as this one still holds only `own`.
    pub(super) fn is_due(&self, now: Monotonic, own: StateVersions) -> bool {
        self.lock().is_some_and(|b| {
            let is_asked = b.asked_at.is_some_and(|at| now.since(at) < QUESTION_PERIOD);
            b.own == own && now.since(b.since) >= PATIENCE && !is_asked
        })
    }

    /// Notes that another entry is asked.
    pub(super) fn note_asked(&self, now: Monotonic) {
        if let Some(behind) = &mut *self.lock() {
            behind.asked_at = Some(now);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<Behind>> {
        lock(&self.behind)
    }
}
