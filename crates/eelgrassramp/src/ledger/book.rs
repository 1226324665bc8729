//! The ledger itself, a state machine without I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::collections::btree_map::Entry as Slot;
use std::time::Duration;

use crate::error::Kind;
use crate::id::Attempt;
use crate::id::ClockMark;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::num;
use crate::time::Monotonic;
use crate::wire::ClaimKey;
use crate::wire::KeyReply;
use crate::wire::Revoke;
use crate::wire::RevokeReply;

use super::limits::Limits;
use super::request::Claim;
use super::request::Ending;
use super::request::KeyClaim;
use super::request::Refusal;
use super::request::Revoked;
use super::request::Verdict;

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
    incarnation: Incarnation,
    started_unix_ms: u64,
    limits: Limits,
    entries: BTreeMap<RequestId, Entry>,
    keys: BTreeMap<RequestId, KeyState>,
    ended: VecDeque<Ended>,
    ended_with_key: VecDeque<Ended>,
    closed_keys: VecDeque<Ended>,
    /// Marks up to this one are refused, because requests with such marks were refused or
    /// revoked while there was no room to remember them.
    refused_through: Option<ClockMark>,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    attempt: Attempt,
    key: Option<RequestId>,
    state: State,
    /// When the retention began; an older note in a queue of ended requests is outdated.
    ended_at: Monotonic,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum State {
    Waiting,
    Running,
    Ended(Ending),
    Revoked,
    /// The request shares the run of another request with the same key.
    Attached(RequestId),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum KeyState {
    Used {
        request: RequestId,
        fingerprint: u64,
    },
    Closed,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Ended {
    at: Monotonic,
    id: RequestId,
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

    /// Decides what a dispatch leads to, and records it.
    ///
    /// `outside` is the verdict of everything but the ledger, such as the tables and the
    /// brakes. It counts only for a request and a key that are not known here, because of a
    /// known one nobody may say that it was not run.
    pub fn accept(
        &mut self,
        now: Monotonic,
        claim: &Claim,
        outside: Result<(), Refusal>,
    ) -> Verdict {
        self.expire(now);
        match self.decide(now, claim, outside) {
            Ok(verdict) => verdict,
            Err(refusal) => {
                self.remember_refusal(now, claim, refusal.kind);
                Verdict::Refuse(refusal)
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
    pub fn end(&mut self, now: Monotonic, request: RequestId, ending: Ending) {
        let entry = self.entries.get_mut(&request).expect("request is known");
        match (entry.state, ending) {
            (State::Waiting, Ending::NotRun(_))
            | (
                State::Running,
                Ending::NotRun(Kind::ConnectFailed) | Ending::MayHaveRun(_) | Ending::Whole,
            ) => {}
            (state, ending) => panic!("request {request} is {state:?} and cannot end {ending:?}"),
        }
        entry.state = State::Ended(ending);
        self.close(now, request);
    }

    /// Makes sure that a request never starts, or tells how far it got.
    pub fn revoke(&mut self, now: Monotonic, msg: &Revoke) -> Revoked {
        self.expire(now);
        if msg.incarnation != self.incarnation {
            return Revoked {
                reply: RevokeReply::OtherIncarnation(self.incarnation),
                was_waiting: false,
            };
        }
        let state = self.state_of(msg.request);
        let reply = match state {
            Some(State::Running) => RevokeReply::Running,
            Some(State::Attached(_) | State::Ended(Ending::Whole | Ending::MayHaveRun(_))) => {
                RevokeReply::Finished
            }
            Some(State::Waiting) if self.is_attached(msg.request) => RevokeReply::Running,
            Some(State::Waiting | State::Revoked | State::Ended(Ending::NotRun(_))) => {
                self.set_revoked(now, msg.request);
                RevokeReply::NeverStarted
            }
            None if self.is_too_old(now, msg.mark) => RevokeReply::Forgotten,
            None => {
                self.insert_revoked(now, msg.request);
                RevokeReply::NeverStarted
            }
        };
        Revoked {
            reply,
            was_waiting: state == Some(State::Waiting) && reply == RevokeReply::NeverStarted,
        }
    }

    fn is_attached(&self, request: RequestId) -> bool {
        let entry = self.entries.get(&request);
        entry.is_some_and(|e| matches!(e.state, State::Attached(_)))
    }

    /// Tells whether a key was used here, and makes sure that it is not used from now on.
    pub fn claim_key(&mut self, now: Monotonic, msg: &ClaimKey) -> KeyReply {
        self.expire(now);
        match self.keys.get(&msg.key) {
            Some(KeyState::Used { request, .. }) => return KeyReply::Used(*request),
            Some(KeyState::Closed) => {}
            None if self.is_full() => return KeyReply::Unknown,
            None => {
                self.keys.insert(msg.key, KeyState::Closed);
                self.closed_keys.push_back(Ended::new(now, msg.key));
            }
        }
        if self.knows_all_uses(now, msg.key_time_ms) {
            KeyReply::Closed
        } else {
            KeyReply::Unknown
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

    fn decide(
        &mut self,
        now: Monotonic,
        claim: &Claim,
        outside: Result<(), Refusal>,
    ) -> Result<Verdict, Refusal> {
        self.check_incarnation(claim)?;
        if let Some(verdict) = self.known(claim) {
            return verdict;
        }
        self.check_mark(now, claim)?;
        let key = claim.key.as_ref();
        if let Some(verdict) = key.and_then(|k| self.known_key(k)) {
            if let Ok(Verdict::Attach(first)) = verdict {
                self.insert_attached(now, claim, first)?;
            }
            return verdict;
        }
        outside?;
        if let Some(key) = key {
            self.check_unknown_key(now, key)?;
        }
        if self.is_full() && !self.remembers(claim.request) {
            let detail = format!("the ledger holds {} entries", self.len());
            return Err(Refusal::not_run(Kind::Overloaded, detail));
        }
        self.insert_waiting(claim);
        Ok(Verdict::Run)
    }

    /// Makes sure that a copy of a refused dispatch is refused as well; a later attempt of
    /// the request may still run.
    fn remember_refusal(&mut self, now: Monotonic, claim: &Claim, kind: Kind) {
        if claim.incarnation != self.incarnation || self.is_too_old(now, claim.mark) {
            return;
        }
        let is_full = self.is_full();
        match self.entries.entry(claim.request) {
            Slot::Occupied(mut slot) => {
                let entry = slot.get_mut();
                if entry.state.is_not_run() {
                    entry.attempt = entry.attempt.max(claim.attempt);
                    entry.ended_at = now;
                    self.ended.push_back(Ended::new(now, claim.request));
                }
            }
            Slot::Vacant(_) if is_full => self.refuse_marks_through(claim.mark),
            Slot::Vacant(slot) => {
                slot.insert(Entry {
                    attempt: claim.attempt,
                    key: None,
                    state: State::Ended(Ending::NotRun(kind)),
                    ended_at: now,
                });
                self.ended.push_back(Ended::new(now, claim.request));
            }
        }
    }

    fn check_incarnation(&self, claim: &Claim) -> Result<(), Refusal> {
        if claim.incarnation == self.incarnation {
            return Ok(());
        }
        let detail = format!(
            "request {} was sent to incarnation {}, this is {}",
            claim.request, claim.incarnation, self.incarnation
        );
        Err(Refusal::not_run(Kind::WrongIncarnation, detail))
    }

    fn check_mark(&self, now: Monotonic, claim: &Claim) -> Result<(), Refusal> {
        let refused = self.refused_through.is_some_and(|m| claim.mark <= m);
        let ahead = claim.mark > Self::mark(now);
        if !refused && !ahead && !self.is_too_old(now, claim.mark) {
            return Ok(());
        }
        let detail = format!(
            "request {} carries mark {}, the clock is at {}",
            claim.request,
            claim.mark,
            Self::mark(now)
        );
        Err(Refusal::not_run(Kind::StaleMark, detail))
    }

    /// Returns the state that counts for a request: its own, or that of the run it shares.
    ///
    /// When the shared run is forgotten already, the request stays attached to it.
    fn state_of(&self, request: RequestId) -> Option<State> {
        let own = self.entries.get(&request)?.state;
        let State::Attached(first) = own else {
            return Some(own);
        };
        self.entries
            .get(&first)
            .map_or(Some(own), |e| Some(e.state))
    }

    /// Returns the verdict on a known request, or `None` when it may be looked at as new.
    fn known(&self, claim: &Claim) -> Option<Result<Verdict, Refusal>> {
        let entry = self.entries.get(&claim.request)?;
        let kind = match self.state_of(claim.request)? {
            State::Waiting
            | State::Running
            | State::Attached(_)
            | State::Ended(Ending::Whole | Ending::MayHaveRun(_)) => {
                return Some(Ok(Verdict::Attach(claim.request)));
            }
            State::Ended(Ending::NotRun(_)) if claim.attempt > entry.attempt => return None,
            State::Ended(Ending::NotRun(kind)) => kind,
            State::Revoked => Kind::Revoked,
        };
        let refusal = Refusal {
            kind,
            ran: kind.answer().ran,
            detail: format!("request {} was refused before", claim.request),
        };
        Some(Err(refusal))
    }

    /// Returns the verdict on a key that was used or closed here.
    fn known_key(&self, claim: &KeyClaim) -> Option<Result<Verdict, Refusal>> {
        let verdict = match self.keys.get(&claim.key)? {
            KeyState::Closed => Err(Refusal::not_run(
                Kind::NotServed,
                "the key was closed here and has another home now",
            )),
            KeyState::Used {
                request,
                fingerprint,
            } if *fingerprint != claim.fingerprint => {
                let detail = format!("the key was used by request {request} for another call");
                Err(Refusal::not_run(Kind::KeyReused, detail))
            }
            KeyState::Used { request, .. } => Ok(Verdict::Attach(*request)),
        };
        Some(verdict)
    }

    fn check_unknown_key(&self, now: Monotonic, claim: &KeyClaim) -> Result<(), Refusal> {
        self.check_key_time(now, claim)?;
        if !claim.non_idempotent || self.knows_all_uses(now, claim.made_ms) {
            return Ok(());
        }
        Err(Refusal::may_have_run(
            Kind::OutcomeUnknown,
            "the key may have been used before this sidecar started",
        ))
    }

    fn check_key_time(&self, now: Monotonic, claim: &KeyClaim) -> Result<(), Refusal> {
        let Some(made) = claim.made_ms else {
            return Ok(());
        };
        let margin = num::millis(self.limits.clock_margin);
        let unix = self.started_unix_ms.saturating_add(now.as_millis());
        if made > unix.saturating_add(margin) {
            let detail = format!("the key was made at {made} ms, which lies in the future");
            return Err(Refusal::not_run(Kind::BadRequest, detail));
        }
        let age_limit = num::millis(self.limits.key_retention).saturating_sub(margin);
        if claim.non_idempotent && unix.saturating_sub(made) > age_limit {
            let detail = format!("the key was made at {made} ms and may have been forgotten");
            return Err(Refusal::may_have_run(Kind::OutcomeUnknown, detail));
        }
        Ok(())
    }

    /// Tells whether every use of a key that still counts happened in this life.
    fn knows_all_uses(&self, now: Monotonic, made_ms: Option<u64>) -> bool {
        let margin = num::millis(self.limits.clock_margin);
        let made_in_this_life =
            made_ms.is_some_and(|made| made > self.started_unix_ms.saturating_add(margin));
        made_in_this_life || now.as_duration() >= self.limits.key_retention
    }

    fn is_too_old(&self, now: Monotonic, mark: ClockMark) -> bool {
        now.as_millis().saturating_sub(mark.0) >= num::millis(self.limits.retention)
    }

    fn is_full(&self) -> bool {
        self.len() >= self.limits.entries
    }

    fn refuse_marks_through(&mut self, mark: ClockMark) {
        self.refused_through = self.refused_through.max(Some(mark));
    }

    fn insert_waiting(&mut self, claim: &Claim) {
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
    fn insert_attached(
        &mut self,
        now: Monotonic,
        claim: &Claim,
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
        self.ended.push_back(Ended::new(now, claim.request));
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
        self.ended.push_back(Ended::new(now, request));
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
        self.ended.push_back(ended);
    }
}

impl State {
    const fn is_ended(self) -> bool {
        matches!(self, Self::Ended(_) | Self::Revoked | Self::Attached(_))
    }

    const fn is_not_run(self) -> bool {
        matches!(self, Self::Ended(Ending::NotRun(_)) | Self::Revoked)
    }

    const fn may_have_run(self) -> bool {
        matches!(self, Self::Ended(Ending::Whole | Ending::MayHaveRun(_)))
    }
}

impl Ended {
    const fn new(at: Monotonic, id: RequestId) -> Self {
        Self { at, id }
    }
}

fn pop_older(queue: &mut VecDeque<Ended>, now: Monotonic, retention: Duration) -> Option<Ended> {
    let oldest = queue.front()?;
    if now.since(oldest.at) <= retention {
        return None;
    }
    queue.pop_front()
}
