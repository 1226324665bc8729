//! Decides when to take, renew and give up one lease.

use std::time::Duration;

use super::object::LeaseObject;
use crate::id::FencingToken;
use crate::id::Incarnation;
use crate::id::ObjectVersion;
use crate::name::EntryName;
use crate::time::Monotonic;

/// The times of a lease.
///
/// A holder counts from before its write was sent, an observer from after it saw the value.
/// So clocks that differ in rate by less than the gap between `hold` and `term` cannot make
/// two holders believe that both hold the lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeaseTimings {
    /// Time for which an observer must see an unchanged value before it takes over.
    pub lease_duration: Duration,
    /// Time after the start of its last successful write for which a holder acts.
    pub renew_deadline: Duration,
    /// Time between two writes of a holder.
    pub renew_interval: Duration,
    /// Time between two reads of an observer.
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

/// What the core is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseEvent {
    /// Time has passed.
    Tick,
    /// A read gave this version and value; `None` when there is no valid value.
    Read {
        /// The object's version.
        version: ObjectVersion,
        /// Its value.
        value: Option<LeaseObject>,
    },
    /// A read failed.
    ReadFailed,
    /// A write took effect at this version.
    Written {
        /// The object's new version.
        version: ObjectVersion,
    },
    /// A write had no effect, because the object had changed.
    WriteConflict,
    /// A write failed without an effect.
    WriteFailed,
    /// The outcome of a write is not known.
    WriteUnsettled,
}

/// What the shell has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LeaseAction {
    /// Read the object and tell the outcome.
    Read,
    /// Write the object if it still has this version, and tell the outcome.
    Write {
        /// The version that must not have changed; 0 creates the object.
        expected: ObjectVersion,
        /// The new value.
        value: LeaseObject,
    },
}

#[derive(Debug, Clone)]
struct Observed {
    version: ObjectVersion,
    value: Option<LeaseObject>,
    since: Monotonic,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    fence: FencingToken,
    until: Monotonic,
}

#[derive(Debug, Clone)]
struct Attempt {
    sent: Monotonic,
    value: LeaseObject,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum InFlight {
    Nothing,
    Read,
    Write,
}

/// One entry's part in one lease.
#[derive(Debug)]
pub struct Lease {
    me: Incarnation,
    entry: EntryName,
    timings: LeaseTimings,
    observed: Option<Observed>,
    held: Option<Held>,
    /// The last write whose outcome is not settled.
    attempt: Option<Attempt>,
    in_flight: InFlight,
    next_at: Monotonic,
    writes: u64,
    /// The highest token that a sidecar knows.
    floor: FencingToken,
    wanted: bool,
}

impl Lease {
    /// Creates the part of the process `me`, which wants the lease.
    #[must_use]
    pub const fn new(me: Incarnation, entry: EntryName, timings: LeaseTimings) -> Self {
        Self {
            me,
            entry,
            timings,
            observed: None,
            held: None,
            attempt: None,
            in_flight: InFlight::Nothing,
            next_at: Monotonic::ZERO,
            writes: 0,
            floor: FencingToken(0),
            wanted: true,
        }
    }

    /// Returns the token while this process holds the lease at `now`.
    ///
    /// Ask again before each use: a process that was paused past the end of its holding gets
    /// `None`, whatever it believed before the pause.
    #[must_use]
    pub fn token(&self, now: Monotonic) -> Option<FencingToken> {
        self.held
            .filter(|held| now < held.until && self.wanted)
            .map(|held| held.fence)
    }

    /// Notes a token that a sidecar knows; a holding with a lower one is of no use.
    pub fn observe_fence(&mut self, now: Monotonic, fence: FencingToken) {
        self.floor = self.floor.max(fence);
        if self.held.is_some_and(|held| held.fence < self.floor) {
            self.held = None;
            self.next_at = now;
        }
    }

    /// Has the lease given back at the next event.
    pub const fn release(&mut self) {
        if self.wanted {
            self.wanted = false;
            self.next_at = Monotonic::ZERO;
        }
    }

    /// Tells whether the lease may be left alone by a process that does not contend for it.
    ///
    /// That is not so while it is held or a write is not settled. What was observed stays
    /// valid meanwhile, since the version of an object that did not change is the same.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let is_idle = self.in_flight == InFlight::Nothing && self.attempt.is_none();
        self.wanted && self.held.is_none() && is_idle
    }

    /// Tells whether nothing is left to do.
    #[must_use]
    pub fn is_finished(&self) -> bool {
        !self.wanted && self.held.is_none() && self.attempt.is_none()
    }

    /// Takes one event and returns what has to be done.
    pub fn handle(&mut self, now: Monotonic, event: LeaseEvent) -> Option<LeaseAction> {
        match event {
            LeaseEvent::Tick => {}
            LeaseEvent::Read { version, value } => {
                self.in_flight = InFlight::Nothing;
                self.observe(now, version, value);
                self.settle_read(version);
                self.attempt = None;
                self.next_at = self.next_step(now);
            }
            LeaseEvent::ReadFailed | LeaseEvent::WriteUnsettled => self.retry(now),
            LeaseEvent::WriteFailed => {
                self.attempt = None;
                self.retry(now);
            }
            LeaseEvent::WriteConflict => {
                // Another wrote, or an earlier write of this process arrived late: read to tell.
                self.in_flight = InFlight::Nothing;
                self.next_at = now + self.timings.renew_interval / 4;
            }
            LeaseEvent::Written { version } => self.settle_write(now, version),
        }
        self.next_action(now)
    }

    fn observe(&mut self, now: Monotonic, version: ObjectVersion, value: Option<LeaseObject>) {
        let known = self.observed.as_ref();
        if known.is_some_and(|known| known.version > version) {
            // A late reply with an older version takes nothing back.
            return;
        }
        if known.is_none_or(|known| known.version < version) {
            self.observed = Some(Observed {
                version,
                value,
                since: now,
            });
        }
        let mine = self.observed_value().is_some_and(|v| v.holder == self.me);
        if !mine {
            self.held = None;
        }
    }

    /// Extends the holding when a write whose reply was lost turns out to have taken effect.
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
        self.in_flight = InFlight::Nothing;
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
        self.next_at = self.next_step(now);
    }

    fn hold(&mut self, fence: FencingToken, sent: Monotonic) {
        assert!(
            self.held.is_none_or(|held| held.fence <= fence),
            "the fencing token went back to {fence}"
        );
        self.held = Some(Held {
            fence,
            until: sent + self.timings.renew_deadline,
        });
    }

    fn retry(&mut self, now: Monotonic) {
        self.in_flight = InFlight::Nothing;
        self.next_at = now + self.timings.renew_interval / 2;
    }

    fn next_step(&self, now: Monotonic) -> Monotonic {
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
        if self.in_flight != InFlight::Nothing || now < self.next_at {
            return None;
        }
        if self.is_finished() {
            return None;
        }
        let unsettled = self.attempt.is_some();
        if let Some((expected, fence, released)) = self.next_write(now).filter(|_| !unsettled) {
            return Some(self.write(now, expected, fence, released));
        }
        self.in_flight = InFlight::Read;
        Some(LeaseAction::Read)
    }

    /// Returns version, token and release of the write that is due.
    ///
    /// An unreadable value gets a token above the object's version: tokens grow by one and
    /// versions by at least one with each write, so no earlier token was higher.
    fn next_write(&self, now: Monotonic) -> Option<(ObjectVersion, FencingToken, bool)> {
        let observed = self.observed.as_ref()?;
        let version = observed.version;
        let Some(value) = &observed.value else {
            let next_fence = self.floor.max(FencingToken(version.0)).next();
            return self.wanted.then_some((version, next_fence, false));
        };
        let next_fence = value.fence.max(self.floor).next();
        match self.held {
            Some(held) if !self.wanted => Some((version, held.fence, true)),
            Some(held) if now < held.until => Some((version, held.fence, false)),
            _ if !self.wanted => None,
            // Nobody wrote since this process did, so it need not wait for its own lease.
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
        self.in_flight = InFlight::Write;
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
