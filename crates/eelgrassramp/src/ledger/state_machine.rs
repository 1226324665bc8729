//! The ledger itself, a state machine without I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::collections::btree_map::Entry as Slot;

use crate::error::Kind;
use crate::id::Attempt;
use crate::id::ClockMark;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::num;
use crate::time::Monotonic;
use crate::wire::CloseKey;
use crate::wire::CloseKeyReply;
use crate::wire::Revoke;
use crate::wire::RevokeReply;

use super::limits::Limits;
use super::record::Ended;
use super::record::Entry;
use super::record::KeyState;
use super::record::State;
use super::record::pop_older;
use super::request::DispatchDecision;
use super::request::DispatchHeader;
use super::request::Refusal;
use super::request::RevokeOutcome;
use super::request::RunOutcome;

/// Overtaken notes that are kept before they are sorted out.
const MAX_SPARE_NOTES: usize = 64;

/// Remembers every request that one life of a sidecar was asked to run.
///
/// A request is remembered while it waits or runs, and for the retention after it ended. A
/// dispatch is taken only with a clock mark younger than the retention, so a delayed copy
/// arrives either while its request is remembered or too late to be taken.
///
/// Its state is plain data that can be cloned, compared and hashed, so that all its states can
/// be searched through.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(super) incarnation: Incarnation,
    pub(super) started_unix_ms: u64,
    pub(super) limits: Limits,
    pub(super) entries: BTreeMap<RequestId, Entry>,
    pub(super) keys: BTreeMap<RequestId, KeyState>,
    ended: VecDeque<Ended>,
    ended_with_key: VecDeque<Ended>,
    closed_keys: VecDeque<Ended>,
    /// Marks up to this one are refused, because requests with such marks were refused or
    /// revoked while there was no room to remember them.
    pub(super) refused_through: Option<ClockMark>,
}

impl Ledger {
    /// Creates the empty ledger of one life that began at the zero of its monotonic clock.
    #[must_use]
    pub fn new(incarnation: Incarnation, started_unix_ms: u64, limits: Limits) -> Self {
        Self {
            incarnation,
            started_unix_ms,
            limits,
            entries: BTreeMap::new(),
            keys: BTreeMap::new(),
            ended: VecDeque::new(),
            ended_with_key: VecDeque::new(),
            closed_keys: VecDeque::new(),
            refused_through: None,
        }
    }

    /// Returns the life that the ledger belongs to.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the clock mark that stands for `now`.
    #[must_use]
    pub fn mark(now: Monotonic) -> ClockMark {
        ClockMark(now.as_millis())
    }

    /// Returns the number of remembered requests and closed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() + self.closed_keys.len()
    }

    /// Tells whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of notes on beginnings of retentions, for bounds on memory.
    #[must_use]
    pub fn notes(&self) -> usize {
        self.ended.len() + self.ended_with_key.len() + self.closed_keys.len()
    }

    /// Decides what a dispatch leads to, and records it.
    ///
    /// `outside` is the verdict of everything but the ledger, such as the tables and the
    /// brakes. It counts only for a request and a key that are not known here, because of a
    /// known one nobody may say that it was not run.
    pub fn accept(
        &mut self,
        now: Monotonic,
        claim: &DispatchHeader,
        outside: Result<(), Refusal>,
    ) -> DispatchDecision {
        self.expire(now);
        match self.decide(now, claim, outside) {
            Ok(verdict) => verdict,
            Err(refusal) => {
                self.remember_refusal(now, claim, refusal.kind);
                DispatchDecision::Refuse(refusal)
            }
        }
    }

    /// Records that the endpoint is about to be given the request.
    ///
    /// # Errors
    ///
    /// Returns the refusal when the request is not waiting, so that it must not be started.
    pub fn start(&mut self, request: RequestId) -> Result<(), Refusal> {
        match self.entries.get_mut(&request) {
            Some(entry) if entry.state == State::Waiting => {
                entry.state = State::Running;
                Ok(())
            }
            _ => Err(Refusal::not_run(
                Kind::Revoked,
                format!("request {request} is not waiting"),
            )),
        }
    }

    /// Records how a waiting or running request ended.
    ///
    /// # Panics
    ///
    /// Panics when the request neither waits nor runs, or when a request that was given to
    /// the endpoint is said not to have run for another reason than a failed connection.
    pub fn end(&mut self, now: Monotonic, request: RequestId, ending: RunOutcome) {
        let entry = self.entries.get_mut(&request).expect("request is known");
        match (entry.state, ending) {
            (State::Waiting, RunOutcome::NotRun(_))
            | (
                State::Running,
                RunOutcome::NotRun(Kind::ConnectFailed)
                | RunOutcome::MayHaveRun(_)
                | RunOutcome::Complete,
            ) => {}
            (state, ending) => panic!("request {request} is {state:?} and cannot end {ending:?}"),
        }
        entry.state = State::Ended(ending);
        self.close(now, request);
    }

    /// Makes sure that a request never starts, or tells how far it got.
    pub fn revoke(&mut self, now: Monotonic, msg: &Revoke) -> RevokeOutcome {
        self.expire(now);
        if msg.incarnation != self.incarnation {
            return RevokeOutcome {
                reply: RevokeReply::OtherIncarnation(self.incarnation),
                was_waiting: false,
            };
        }
        let state = self.state_of(msg.request);
        let reply = match state {
            Some(State::Running) => RevokeReply::Running,
            Some(
                State::Attached(_) | State::Ended(RunOutcome::Complete | RunOutcome::MayHaveRun(_)),
            ) => RevokeReply::Finished,
            Some(State::Waiting) if self.is_attached(msg.request) => RevokeReply::Running,
            Some(State::Waiting | State::Revoked | State::Ended(RunOutcome::NotRun(_))) => {
                self.set_revoked(now, msg.request);
                RevokeReply::NeverStarted
            }
            None if self.is_too_old(now, msg.mark) => RevokeReply::Forgotten,
            None => {
                self.insert_revoked(now, msg.request);
                RevokeReply::NeverStarted
            }
        };
        RevokeOutcome {
            reply,
            was_waiting: state == Some(State::Waiting) && reply == RevokeReply::NeverStarted,
        }
    }

    fn is_attached(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|e| matches!(e.state, State::Attached(_)))
    }

    /// Tells whether a key was used here, and makes sure that it is not used from now on.
    pub fn close_key(&mut self, now: Monotonic, msg: &CloseKey) -> CloseKeyReply {
        self.expire(now);
        match self.keys.get(&msg.key) {
            Some(KeyState::Used { request, .. }) => return CloseKeyReply::Used(*request),
            Some(KeyState::Closed) => {}
            None if self.is_full() => return CloseKeyReply::Unknown,
            None => {
                self.keys.insert(msg.key, KeyState::Closed);
                self.closed_keys.push_back(Ended::new(now, msg.key));
            }
        }
        if self.knows_all_uses(now, msg.key_time_ms) {
            CloseKeyReply::Closed
        } else {
            CloseKeyReply::Unknown
        }
    }

    /// Forgets what is older than its retention.
    pub fn expire(&mut self, now: Monotonic) {
        let Limits {
            retention,
            key_retention,
            ..
        } = self.limits;
        while let Some(ended) = pop_older(&mut self.ended, now, retention) {
            self.forget(ended);
        }
        while let Some(ended) = pop_older(&mut self.ended_with_key, now, key_retention) {
            self.forget(ended);
        }
        while let Some(ended) = pop_older(&mut self.closed_keys, now, key_retention) {
            self.keys.remove(&ended.id);
        }
    }

    /// Notes that the retention of a request begins anew.
    ///
    /// Notes that were overtaken by later ones are dropped once they outnumber the entries,
    /// so that the notes are bounded as well.
    fn note_end(&mut self, at: Monotonic, request: RequestId) {
        self.ended.push_back(Ended::new(at, request));
        if self.ended.len() > 2 * self.entries.len() + MAX_SPARE_NOTES {
            let entries = &self.entries;
            self.ended.retain(|e| {
                entries
                    .get(&e.id)
                    .is_some_and(|entry| entry.ended_at == e.at)
            });
        }
    }

    fn forget(&mut self, ended: Ended) {
        let Slot::Occupied(slot) = self.entries.entry(ended.id) else {
            return;
        };
        if !slot.get().state.is_ended() || slot.get().ended_at != ended.at {
            return;
        }
        if let Some(key) = slot.remove().key {
            self.keys.remove(&key);
        }
    }

    /// Tells whether a request is remembered.
    #[must_use]
    pub fn remembers(&self, request: RequestId) -> bool {
        self.entries.contains_key(&request)
    }

    /// Makes sure that a copy of a refused dispatch is refused as well; a later attempt of
    /// the request may still run.
    fn remember_refusal(&mut self, now: Monotonic, claim: &DispatchHeader, kind: Kind) {
        if claim.incarnation != self.incarnation || self.is_too_old(now, claim.mark) {
            return;
        }
        let is_full = self.is_full();
        match self.entries.entry(claim.request) {
            Slot::Occupied(mut slot) => {
                let entry = slot.get_mut();
                let is_later =
                    claim.attempt > entry.attempt || claim.mark > Self::mark(entry.ended_at);
                if entry.state.is_not_run() && is_later {
                    entry.attempt = entry.attempt.max(claim.attempt);
                    entry.ended_at = now;
                    self.note_end(now, claim.request);
                }
            }
            Slot::Vacant(_) if is_full => self.refuse_marks_through(claim.mark),
            Slot::Vacant(slot) => {
                slot.insert(Entry {
                    attempt: claim.attempt,
                    key: None,
                    state: State::Ended(RunOutcome::NotRun(kind)),
                    ended_at: now,
                });
                self.note_end(now, claim.request);
            }
        }
    }

    pub(super) fn is_too_old(&self, now: Monotonic, mark: ClockMark) -> bool {
        now.as_millis().saturating_sub(mark.0) >= num::millis(self.limits.retention)
    }

    pub(super) fn is_full(&self) -> bool {
        self.len() >= self.limits.entries
    }

    fn refuse_marks_through(&mut self, mark: ClockMark) {
        self.refused_through = self.refused_through.max(Some(mark));
    }

    pub(super) fn insert_waiting(&mut self, claim: &DispatchHeader) {
        let entry = Entry {
            attempt: claim.attempt,
            key: claim.key.map(|k| k.key),
            state: State::Waiting,
            ended_at: Monotonic::ZERO,
        };
        self.entries.insert(claim.request, entry);
        if let Some(k) = claim.key {
            let used = KeyState::Used {
                request: claim.request,
                fingerprint: k.fingerprint,
            };
            self.keys.insert(k.key, used);
        }
    }

    /// Records that a request shares the run of `first`, so that it is never said not to
    /// have run because of its own identity.
    pub(super) fn insert_attached(
        &mut self,
        now: Monotonic,
        claim: &DispatchHeader,
        first: RequestId,
    ) -> Result<(), Refusal> {
        if self.is_full() && !self.remembers(claim.request) {
            let detail = format!("the key was used by request {first}");
            return Err(Refusal::may_have_run(Kind::KeyInProgress, detail));
        }
        let entry = Entry {
            attempt: claim.attempt,
            key: None,
            state: State::Attached(first),
            ended_at: now,
        };
        self.entries.insert(claim.request, entry);
        self.note_end(now, claim.request);
        Ok(())
    }

    fn insert_revoked(&mut self, now: Monotonic, request: RequestId) {
        if self.is_full() {
            self.refuse_marks_through(Self::mark(now));
            return;
        }
        let entry = Entry {
            attempt: Attempt::default(),
            key: None,
            state: State::Revoked,
            ended_at: now,
        };
        self.entries.insert(request, entry);
        self.note_end(now, request);
    }

    fn set_revoked(&mut self, now: Monotonic, request: RequestId) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.state = State::Revoked;
        }
        self.close(now, request);
    }

    /// Starts the retention of a request that has just ended, and frees its key if it did
    /// not run.
    fn close(&mut self, now: Monotonic, request: RequestId) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.ended_at = now;
        let ended = Ended::new(now, request);
        if entry.key.is_some() && entry.state.may_have_run() {
            self.ended_with_key.push_back(ended);
            return;
        }
        if let Some(key) = entry.key.take() {
            self.keys.remove(&key);
        }
        self.note_end(now, request);
    }
}
