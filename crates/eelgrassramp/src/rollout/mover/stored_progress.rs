//! The stored progress as this process knows it, and the one call about it at a time.

use std::time::Duration;

use crate::error::Kind;
use crate::id::ObjectVersion;
use crate::rollout::Progress;
use crate::time::Monotonic;

/// Time between two attempts to reach the object API.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// What is known of the object.
#[derive(Debug, Clone)]
struct ObjectState {
    version: ObjectVersion,
    progress: Option<Progress>,
}

#[derive(Debug)]
enum PendingCall {
    Idle,
    Reading,
    Writing(Box<Progress>),
}

/// The object `moves/<pool>` as this process knows it.
#[derive(Debug)]
pub(super) struct StoredProgress {
    stored: Option<ObjectState>,
    call: PendingCall,
    retry_at: Monotonic,
}

impl StoredProgress {
    pub(super) const fn new() -> Self {
        Self {
            stored: None,
            call: PendingCall::Idle,
            retry_at: Monotonic::ZERO,
        }
    }

    pub(super) const fn progress(&self) -> Option<&Progress> {
        match &self.stored {
            Some(stored) => stored.progress.as_ref(),
            None => None,
        }
    }

    /// Tells whether the object is known and may be written; not too soon after a failure.
    pub(super) fn is_ready(&self, now: Monotonic) -> bool {
        self.stored.is_some() && !self.is_busy() && now >= self.retry_at
    }

    const fn is_busy(&self) -> bool {
        !matches!(self.call, PendingCall::Idle)
    }

    /// Tells whether the object has to be read, and counts that read as begun.
    pub(super) fn start_needed_read(&mut self, now: Monotonic) -> bool {
        let wanted = self.stored.is_none() && !self.is_busy() && now >= self.retry_at;
        if wanted {
            self.call = PendingCall::Reading;
        }
        wanted
    }

    pub(super) fn read(&mut self, version: ObjectVersion, progress: Option<Progress>) {
        self.call = PendingCall::Idle;
        self.stored = Some(ObjectState { version, progress });
    }

    pub(super) fn read_failed(&mut self, now: Monotonic) {
        self.call = PendingCall::Idle;
        self.retry_at = now + RETRY_DELAY;
    }

    /// Begins a write and returns the version that the object must still have.
    pub(super) fn write(&mut self, next: Progress) -> ObjectVersion {
        self.call = PendingCall::Writing(Box::new(next));
        let stored = self.stored.as_ref();
        stored.map(|s| s.version).unwrap_or_default()
    }

    pub(super) fn written(&mut self, version: ObjectVersion) {
        if let PendingCall::Writing(progress) = std::mem::replace(&mut self.call, PendingCall::Idle)
        {
            let progress = Some(*progress);
            self.stored = Some(ObjectState { version, progress });
        }
    }

    /// Ends a write that did not succeed.
    ///
    /// After a conflict or a lost reply the object is read again; it then holds this process's
    /// value or another one, and either is where the move goes on from.
    pub(super) fn write_failed(&mut self, now: Monotonic, kind: Kind) {
        self.call = PendingCall::Idle;
        self.retry_at = now + RETRY_DELAY;
        if kind != Kind::StoreUnavailable {
            self.stored = None;
        }
    }

    /// Forgets the object, because another process may have written it since.
    pub(super) fn forget(&mut self) {
        self.stored = None;
        self.call = PendingCall::Idle;
    }
}
