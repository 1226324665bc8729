//! State machine that decides when to acquire, renew and release one lease.

use std::time::Duration;

use super::object::LeaseObject;
use crate::id::FencingToken;
use crate::id::Incarnation;
use crate::id::ObjectVersion;
use crate::name::EntryName;
use crate::time::Monotonic;

/// Durations and intervals of a lease.
///
/// A holder measures from before its write was sent, an observer from after it read the value. Two
/// processes therefore cannot hold the lease at the same time as long as their clock rates differ
/// by less than the gap between `renew_deadline` and `lease_duration`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Time for which an observer must see an unchanged object before it takes the lease over.
    pub lease_duration: Duration,
    /// Time after the start of its last successful write for which a holder may act.
    pub renew_deadline: Duration,
    /// Interval between writes of a holder.
    pub renew_interval: Duration,
    /// Interval between reads of an observer.
    pub poll_interval: Duration,
}

impl Default for LeaseTimings {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(10),
            renew_deadline: Duration::from_secs(7),
            renew_interval: Duration::from_secs(2),
            poll_interval: Duration::from_secs(2),
        }
    }
}

/// Input event of a [`Lease`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A read returned this version and value; the value is `None` if the object is missing or
    /// cannot be decoded.
    Read {
        /// The object's version.
        version: ObjectVersion,
        /// Its value.
        value: Option<LeaseObject>,
    },
    /// A read failed.
    ReadFailed,
    /// A write succeeded and produced this version.
    Written {
        /// The object's new version.
        version: ObjectVersion,
    },
    /// A write had no effect because the object had changed.
    WriteConflict,
    /// A write failed and had no effect.
    WriteFailed,
    /// The outcome of a write is unknown.
    WriteUnsettled,
}

/// Action requested by a [`Lease`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object and report the outcome.
    Read,
    /// Write the object if it still has this version, and report the outcome.
    Write {
        /// Expected current version; 0 creates the object.
        expected: ObjectVersion,
        /// The new value.
        value: LeaseObject,
    },
}

#[derive(Debug, Clone)]
struct ObservedObject {
    version: ObjectVersion,
    value: Option<LeaseObject>,
    since: Monotonic,
}

#[derive(Debug, Clone, Copy)]
struct Holding {
    fence: FencingToken,
    until: Monotonic,
}

#[derive(Debug, Clone)]
struct Attempt {
    sent: Monotonic,
    value: LeaseObject,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PendingCall {
    Nothing,
    Read,
    Write,
}

/// State of one process with regard to one lease.
#[derive(Debug)]
pub struct Lease {
    me: Incarnation,
    entry: EntryName,
    timings: LeaseTimings,
    observed: Option<ObservedObject>,
    held: Option<Holding>,
    /// The last write, until its outcome is known.
    attempt: Option<Attempt>,
    pending_call: PendingCall,
    next_action_at: Monotonic,
    writes: u64,
    /// Highest fencing token that any sidecar has reported; a lower one is useless.
    min_fence: FencingToken,
    is_wanted: bool,
}

impl Lease {
    /// Creates the state of the process `me`, which tries to acquire the lease.
    #[must_use]
    pub const fn new(me: Incarnation, entry: EntryName, timings: LeaseTimings) -> Self {
        Self {
            me,
            entry,
            timings,
            observed: None,
            held: None,
            attempt: None,
            pending_call: PendingCall::Nothing,
            next_action_at: Monotonic::ZERO,
            writes: 0,
            min_fence: FencingToken(0),
            is_wanted: true,
        }
    }

    /// Returns the fencing token if this process holds the lease at `now`.
    ///
    /// Call this before each use: a process that was paused beyond its renew deadline gets `None`.
    #[must_use]
    pub fn token(&self, now: Monotonic) -> Option<FencingToken> {
        self.held
            .filter(|held| now < held.until && self.is_wanted)
            .map(|held| held.fence)
    }

    /// Records a fencing token that a sidecar has seen. A lease held with a lower token is dropped,
    /// because sidecars would refuse it.
    pub fn observe_fence(&mut self, now: Monotonic, fence: FencingToken) {
        self.min_fence = self.min_fence.max(fence);
        if self.held.is_some_and(|held| held.fence < self.min_fence) {
            self.held = None;
            self.next_action_at = now;
        }
    }

    /// Requests that the lease is released at the next event.
    pub const fn request_release(&mut self) {
        if self.is_wanted {
            self.is_wanted = false;
            self.next_action_at = Monotonic::ZERO;
        }
    }

    /// Returns whether a process that is not a candidate can stop polling this lease.
    ///
    /// It cannot while it holds the lease or the outcome of a write is unknown. The observed value
    /// stays valid meanwhile, because an object that has not changed keeps its version.
    #[must_use]
    pub fn can_idle(&self) -> bool {
        let is_idle = self.pending_call == PendingCall::Nothing && self.attempt.is_none();
        self.is_wanted && self.held.is_none() && is_idle
    }

    /// Returns whether the release is complete and nothing is left to do.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        !self.is_wanted && self.held.is_none() && self.attempt.is_none()
    }

    /// Processes one event and returns the next action.
    pub fn handle(&mut self, now: Monotonic, event: LeaseEvent) -> Option<LeaseAction> {
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read { version, value } => {
                self.pending_call = PendingCall::Nothing;
                self.observe(now, version, value);
                self.settle_read(version);
                self.attempt = None;
                self.next_action_at = self.next_action_time(now);
            }
            LeaseEvent::ReadFailed | LeaseEvent::WriteUnsettled => self.retry(now),
            LeaseEvent::WriteFailed => {
                self.attempt = None;
                self.retry(now);
            }
            LeaseEvent::WriteConflict => {
                // Either another process wrote or an earlier write of this process arrived late; a
                // read shows which.
                self.pending_call = PendingCall::Nothing;
                self.next_action_at = now + self.timings.renew_interval / 4;
            }
            LeaseEvent::Written { version } => self.settle_write(now, version),
        }
        self.next_action(now)
    }

    fn observe(&mut self, now: Monotonic, version: ObjectVersion, value: Option<LeaseObject>) {
        let known = self.observed.as_ref();
        if known.is_some_and(|known| known.version > version) {
            // A delayed reply with an older version is ignored.
            return;
        }
        if known.is_none_or(|known| known.version < version) {
            self.observed = Some(ObservedObject {
                version,
                value,
                since: now,
            });
        }
        let is_mine = self.observed_value().is_some_and(|v| v.holder == self.me);
        if !is_mine {
            self.held = None;
        }
    }

    /// Renews the lease if the read shows that a write whose reply was lost took effect.
    fn settle_read(&mut self, version: ObjectVersion) {
        let Some(attempt) = self.attempt.as_ref() else {
            return;
        };
        let took_effect = self
            .observed
            .as_ref()
            .is_some_and(|o| o.version == version && o.value.as_ref() == Some(&attempt.value));
        if took_effect {
            self.hold(attempt.value.fence, attempt.sent);
        }
    }

    fn settle_write(&mut self, now: Monotonic, version: ObjectVersion) {
        self.pending_call = PendingCall::Nothing;
        let Some(Attempt { sent, value }) = self.attempt.take() else {
            return;
        };
        let fence = value.fence;
        let released = value.released;
        self.observe(now, version, Some(value));
        if released {
            self.held = None;
        } else {
            self.hold(fence, sent);
        }
        self.next_action_at = self.next_action_time(now);
    }

    fn hold(&mut self, fence: FencingToken, sent: Monotonic) {
        assert!(
            self.held.is_none_or(|held| held.fence <= fence),
            "fencing token decreased to {fence}"
        );
        self.held = Some(Holding {
            fence,
            until: sent + self.timings.renew_deadline,
        });
    }

    fn retry(&mut self, now: Monotonic) {
        self.pending_call = PendingCall::Nothing;
        self.next_action_at = now + self.timings.renew_interval / 2;
    }

    fn next_action_time(&self, now: Monotonic) -> Monotonic {
        if self.held.is_some() {
            return now + self.timings.renew_interval;
        }
        let Some(observed) = &self.observed else {
            return now;
        };
        if observed.value.as_ref().is_none_or(|v| v.released) {
            return now;
        }
        let expiry = observed.since + self.timings.lease_duration;
        expiry.min(now + self.timings.poll_interval)
    }

    fn next_action(&mut self, now: Monotonic) -> Option<LeaseAction> {
        if self.pending_call != PendingCall::Nothing || now < self.next_action_at {
            return None;
        }
        if self.is_finished() {
            return None;
        }
        let has_unsettled_write = self.attempt.is_some();
        if let Some((expected, fence, released)) =
            self.next_write(now).filter(|_| !has_unsettled_write)
        {
            return Some(self.write(now, expected, fence, released));
        }
        self.pending_call = PendingCall::Read;
        Some(LeaseAction::Read)
    }

    /// Returns the expected version, the token and the `released` flag of the write that is due.
    ///
    /// If the value cannot be decoded, the token is set above the object's version: with each write
    /// the token grows by at most one and the version by at least one, so no earlier token was
    /// higher.
    fn next_write(&self, now: Monotonic) -> Option<(ObjectVersion, FencingToken, bool)> {
        let observed = self.observed.as_ref()?;
        let version = observed.version;
        let Some(value) = &observed.value else {
            let next_fence = self.min_fence.max(FencingToken(version.0)).next();
            return self.is_wanted.then_some((version, next_fence, false));
        };
        let next_fence = value.fence.max(self.min_fence).next();
        match self.held {
            Some(held) if !self.is_wanted => Some((version, held.fence, true)),
            Some(held) if now < held.until => Some((version, held.fence, false)),
            _ if !self.is_wanted => None,
            // The last write was made by this process, so it does not have to wait for its own
            // lease to expire.
            _ if value.holder == self.me || value.released => Some((version, next_fence, false)),
            _ if now.since(observed.since) >= self.timings.lease_duration => {
                Some((version, next_fence, false))
            }
            _ => None,
        }
    }

    fn write(
        &mut self,
        now: Monotonic,
        expected: ObjectVersion,
        fence: FencingToken,
        released: bool,
    ) -> LeaseAction {
        self.writes += 1;
        let value = LeaseObject {
            holder: self.me,
            entry: self.entry.clone(),
            fence,
            write: self.writes,
            released,
        };
        self.pending_call = PendingCall::Write;
        self.attempt = Some(Attempt {
            sent: now,
            value: value.clone(),
        });
        LeaseAction::Write { expected, value }
    }

    fn observed_value(&self) -> Option<&LeaseObject> {
        self.observed.as_ref().and_then(|o| o.value.as_ref())
    }
}
