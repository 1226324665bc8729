//! Local copy of the stored progress, and the pending call that reads or writes it.

use std::time::Duration;

use crate::error::Kind;
use crate::id::ObjectVersion;
use crate::rollout::Progress;
use crate::time::Monotonic;

/// Delay before a failed call to the object API is retried.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Last known state of the object.
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

/// The object `moves/<pool>` as known to this process. At most one call is pending at a time.
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

    /// Returns whether the object is known, no call is pending and the retry delay has passed.
    pub(super) fn is_ready(&self, now: Monotonic) -> bool {
        self.stored.is_some() && !self.is_busy() && now >= self.retry_at
    }

    const fn is_busy(&self) -> bool {
        !matches!(self.call, PendingCall::Idle)
    }

    /// Returns whether the object must be read; if so, marks the read as pending.
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

    /// Marks a write as pending and returns the expected version of the object.
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

    /// Handles a failed write.
    ///
    /// After a conflict or a lost reply the object is read again. The move continues from the
    /// value read, whether or not this process wrote it.
    pub(super) fn write_failed(&mut self, now: Monotonic, kind: Kind) {
        self.call = PendingCall::Idle;
        self.retry_at = now + RETRY_DELAY;
        if kind != Kind::StoreUnavailable {
            self.stored = None;
        }
    }

    /// Discards the local copy, because another process may have written the object since.
    pub(super) fn forget(&mut self) {
        self.stored = None;
        self.call = PendingCall::Idle;
    }
}
