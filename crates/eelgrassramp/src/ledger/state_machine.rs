//! The ledger as a state machine without I/O.

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
use super::record::Entry;
use super::record::Expiry;
use super::record::KeyState;
use super::record::State;
use super::record::pop_expired;
use super::request::DispatchDecision;
use super::request::DispatchHeader;
use super::request::Refusal;
use super::request::RevokeOutcome;
use super::request::RunOutcome;

/// Outdated entries of the expiry queue that may accumulate before the queue is compacted.
const MAX_OUTDATED_EXPIRIES: usize = 64;

/// Records every request that one incarnation of a sidecar was asked to run.
///
/// A request is recorded while it waits or runs and for the retention time after it ended. A
/// dispatch is accepted only if its clock mark is younger than the retention time, so a delayed
/// duplicate arrives either while its request is recorded or too late to be accepted.
///
/// The state is plain data that can be cloned, compared and hashed, so that a model check can
/// explore all states.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Ledger {
    pub(super) incarnation: Incarnation,
    pub(super) started_unix_ms: u64,
    pub(super) limits: Limits,
    pub(super) entries: BTreeMap<RequestId, Entry>,
    pub(super) keys: BTreeMap<RequestId, KeyState>,
    expiries: VecDeque<Expiry>,
    expiries_with_key: VecDeque<Expiry>,
    closed_keys: VecDeque<Expiry>,
    /// Dispatches with marks up to this one are refused, because requests with such marks were
    /// refused or revoked while the ledger was too full to record them.
    pub(super) refused_through: Option<ClockMark>,
}

impl Ledger {
    /// Creates the empty ledger of an incarnation whose monotonic clock started at zero.
    #[must_use]
    pub fn new(incarnation: Incarnation, started_unix_ms: u64, limits: Limits) -> Self {
        Self {
            incarnation,
            started_unix_ms,
            limits,
            entries: BTreeMap::new(),
            keys: BTreeMap::new(),
            expiries: VecDeque::new(),
            expiries_with_key: VecDeque::new(),
            closed_keys: VecDeque::new(),
            refused_through: None,
        }
    }

    /// Returns the incarnation that the ledger belongs to.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the clock mark of `now`.
    #[must_use]
    pub fn mark(now: Monotonic) -> ClockMark {
        ClockMark(now.as_millis())
    }

    /// Returns the number of recorded requests and closed keys.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() + self.closed_keys.len()
    }

    /// Returns whether nothing is recorded.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of entries in the expiry queues, to verify memory bounds.
    #[must_use]
    pub fn expiry_count(&self) -> usize {
        self.expiries.len() + self.expiries_with_key.len() + self.closed_keys.len()
    }

    /// Decides how a dispatch is handled, and records it.
    ///
    /// `precheck` is the result of all other checks, such as those against the tables and the
    /// brakes. It applies only to a request and key that are not recorded here: a recorded one may
    /// have run and must not be reported as not run.
    pub fn accept(
        &mut self,
        now: Monotonic,
        header: &DispatchHeader,
        precheck: Result<(), Refusal>,
    ) -> DispatchDecision {
        self.expire(now);
        match self.check_and_record(now, header, precheck) {
            Ok(decision) => decision,
            Err(refusal) => {
                self.record_refusal(now, header, refusal.kind);
                DispatchDecision::Refuse(refusal)
            }
        }
    }

    /// Records that the request is about to be sent to the endpoint.
    ///
    /// # Errors
    ///
    /// Returns the refusal if the request is not waiting and therefore must not be started.
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
    /// Panics if the request neither waits nor runs, or if a request that was sent to the endpoint
    /// is reported as not run for any reason but a failed connection.
    pub fn end(&mut self, now: Monotonic, request: RequestId, outcome: RunOutcome) {
        let entry = self.entries.get_mut(&request).expect("request is known");
        match (entry.state, outcome) {
            (State::Waiting, RunOutcome::NotRun(_))
            | (
                State::Running,
                RunOutcome::NotRun(Kind::ConnectFailed)
                | RunOutcome::MayHaveRun(_)
                | RunOutcome::Complete,
            ) => {}
            (state, outcome) => {
                panic!("request {request} is {state:?} and cannot end as {outcome:?}")
            }
        }
        entry.state = State::Ended(outcome);
        self.start_retention(now, request);
    }

    /// Prevents a request from ever starting, or returns how far it got.
    pub fn revoke(&mut self, now: Monotonic, msg: &Revoke) -> RevokeOutcome {
        self.expire(now);
        if msg.incarnation != self.incarnation {
            return RevokeOutcome {
                reply: RevokeReply::OtherIncarnation(self.incarnation),
                was_waiting: false,
            };
        }
        let state = self.effective_state(msg.request);
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

    /// Returns whether an idempotency key was used here, and prevents any later use.
    pub fn close_key(&mut self, now: Monotonic, msg: &CloseKey) -> CloseKeyReply {
        self.expire(now);
        match self.keys.get(&msg.key) {
            Some(KeyState::Used { request, .. }) => return CloseKeyReply::Used(*request),
            Some(KeyState::Closed) => {}
            None if self.is_full() => return CloseKeyReply::Unknown,
            None => {
                self.keys.insert(msg.key, KeyState::Closed);
                self.closed_keys.push_back(Expiry::new(now, msg.key));
            }
        }
        if self.covers_all_uses(now, msg.key_time_ms) {
            CloseKeyReply::Closed
        } else {
            CloseKeyReply::Unknown
        }
    }

    /// Removes records whose retention time has passed.
    pub fn expire(&mut self, now: Monotonic) {
        let Limits {
            retention,
            key_retention,
            ..
        } = self.limits;
        while let Some(expiry) = pop_expired(&mut self.expiries, now, retention) {
            self.remove_expired(expiry);
        }
        while let Some(expiry) = pop_expired(&mut self.expiries_with_key, now, key_retention) {
            self.remove_expired(expiry);
        }
        while let Some(expiry) = pop_expired(&mut self.closed_keys, now, key_retention) {
            self.keys.remove(&expiry.id);
        }
    }

    /// Restarts the retention time of a request.
    ///
    /// Queue entries that are outdated by later ones are dropped once they outnumber the recorded
    /// requests, so that the queue is bounded as well.
    fn restart_retention(&mut self, at: Monotonic, request: RequestId) {
        self.expiries.push_back(Expiry::new(at, request));
        if self.expiries.len() > 2 * self.entries.len() + MAX_OUTDATED_EXPIRIES {
            let entries = &self.entries;
            self.expiries.retain(|e| {
                entries
                    .get(&e.id)
                    .is_some_and(|entry| entry.ended_at == e.at)
            });
        }
    }

    fn remove_expired(&mut self, expiry: Expiry) {
        let Slot::Occupied(slot) = self.entries.entry(expiry.id) else {
            return;
        };
        if !slot.get().state.is_ended() || slot.get().ended_at != expiry.at {
            return;
        }
        if let Some(key) = slot.remove().key {
            self.keys.remove(&key);
        }
    }

    /// Returns whether a request is recorded.
    #[must_use]
    pub fn contains(&self, request: RequestId) -> bool {
        self.entries.contains_key(&request)
    }

    /// Records a refusal, so that duplicates of the dispatch are refused as well. A later attempt
    /// of the request may still run.
    fn record_refusal(&mut self, now: Monotonic, header: &DispatchHeader, kind: Kind) {
        if header.incarnation != self.incarnation || self.is_too_old(now, header.mark) {
            return;
        }
        let is_full = self.is_full();
        match self.entries.entry(header.request) {
            Slot::Occupied(mut slot) => {
                let entry = slot.get_mut();
                let is_later =
                    header.attempt > entry.attempt || header.mark > Self::mark(entry.ended_at);
                if entry.state.is_not_run() && is_later {
                    entry.attempt = entry.attempt.max(header.attempt);
                    entry.ended_at = now;
                    self.restart_retention(now, header.request);
                }
            }
            Slot::Vacant(_) if is_full => self.refuse_marks_through(header.mark),
            Slot::Vacant(slot) => {
                slot.insert(Entry {
                    attempt: header.attempt,
                    key: None,
                    state: State::Ended(RunOutcome::NotRun(kind)),
                    ended_at: now,
                });
                self.restart_retention(now, header.request);
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

    pub(super) fn insert_waiting(&mut self, header: &DispatchHeader) {
        let entry = Entry {
            attempt: header.attempt,
            key: header.key.map(|k| k.key),
            state: State::Waiting,
            ended_at: Monotonic::ZERO,
        };
        self.entries.insert(header.request, entry);
        if let Some(k) = header.key {
            let used = KeyState::Used {
                request: header.request,
                fingerprint: k.fingerprint,
            };
            self.keys.insert(k.key, used);
        }
    }

    /// Records that a request shares the run of `first`, so that it is never reported as not run
    /// under its own identity.
    pub(super) fn insert_attached(
        &mut self,
        now: Monotonic,
        header: &DispatchHeader,
        first: RequestId,
    ) -> Result<(), Refusal> {
        if self.is_full() && !self.contains(header.request) {
            let detail = format!("the key was used by request {first}");
            return Err(Refusal::may_have_run(Kind::KeyInProgress, detail));
        }
        let entry = Entry {
            attempt: header.attempt,
            key: None,
            state: State::Attached(first),
            ended_at: now,
        };
        self.entries.insert(header.request, entry);
        self.restart_retention(now, header.request);
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
        self.restart_retention(now, request);
    }

    fn set_revoked(&mut self, now: Monotonic, request: RequestId) {
        if let Some(entry) = self.entries.get_mut(&request) {
            entry.state = State::Revoked;
        }
        self.start_retention(now, request);
    }

    /// Starts the retention time of a request that has just ended, and frees its key if it did not
    /// run.
    fn start_retention(&mut self, now: Monotonic, request: RequestId) {
        let Some(entry) = self.entries.get_mut(&request) else {
            return;
        };
        entry.ended_at = now;
        let expiry = Expiry::new(now, request);
        if entry.key.is_some() && entry.state.may_have_run() {
            self.expiries_with_key.push_back(expiry);
            return;
        }
        if let Some(key) = entry.key.take() {
            self.keys.remove(&key);
        }
        self.restart_retention(now, request);
    }
}
