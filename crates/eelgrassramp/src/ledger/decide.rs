//! Decides whether a dispatch runs, shares the run of another request or is refused.

use crate::error::Kind;
use crate::id::RequestId;
use crate::num;
use crate::time::Monotonic;

use super::record::KeyState;
use super::record::State;
use super::request::DispatchDecision;
use super::request::DispatchHeader;
use super::request::IdempotencyInfo;
use super::request::Refusal;
use super::request::RunOutcome;
use super::state_machine::Ledger;

impl Ledger {
    /// Records are looked up before any check that may refuse, because a recorded request or key
    /// may have run and must not be reported as not run.
    pub(super) fn check_and_record(
        &mut self,
        now: Monotonic,
        header: &DispatchHeader,
        precheck: Result<(), Refusal>,
    ) -> Result<DispatchDecision, Refusal> {
        self.check_incarnation(header)?;
        if let Some(decision) = self.recorded_request(header) {
            return decision;
        }
        self.check_mark(now, header)?;
        let key = header.key.as_ref();
        if let Some(decision) = key.and_then(|k| self.recorded_key(k)) {
            if let Ok(DispatchDecision::Attach(first)) = decision {
                self.insert_attached(now, header, first)?;
            }
            return decision;
        }
        precheck?;
        if let Some(key) = key {
            self.check_new_key(now, key)?;
        }
        if self.is_full() && !self.contains(header.request) {
            let detail = format!("the ledger is full with {} entries", self.len());
            return Err(Refusal::not_run(Kind::Overloaded, detail));
        }
        self.insert_waiting(header);
        Ok(DispatchDecision::Run)
    }

    fn check_incarnation(&self, header: &DispatchHeader) -> Result<(), Refusal> {
        if header.incarnation == self.incarnation {
            return Ok(());
        }
        let detail = format!(
            "request {} was sent to incarnation {}, this is {}",
            header.request, header.incarnation, self.incarnation
        );
        Err(Refusal::not_run(Kind::WrongIncarnation, detail))
    }

    fn check_mark(&self, now: Monotonic, header: &DispatchHeader) -> Result<(), Refusal> {
        let is_refused = self.refused_through.is_some_and(|m| header.mark <= m);
        let is_ahead = header.mark > Self::mark(now);
        if !is_refused && !is_ahead && !self.is_too_old(now, header.mark) {
            return Ok(());
        }
        let detail = format!(
            "request {} carries clock mark {}, the sidecar's clock is at {}",
            header.request,
            header.mark,
            Self::mark(now)
        );
        Err(Refusal::not_run(Kind::StaleMark, detail))
    }

    /// Returns the effective state of a request: its own, or that of the run it shares.
    ///
    /// If the shared run is no longer recorded, the request stays attached to it.
    pub(super) fn effective_state(&self, request: RequestId) -> Option<State> {
        let own = self.entries.get(&request)?.state;
        let State::Attached(first) = own else {
            return Some(own);
        };
        self.entries
            .get(&first)
            .map_or(Some(own), |e| Some(e.state))
    }

    /// Returns the decision for a recorded request, or `None` if it is to be treated as new.
    fn recorded_request(
        &self,
        header: &DispatchHeader,
    ) -> Option<Result<DispatchDecision, Refusal>> {
        let entry = self.entries.get(&header.request)?;
        let kind = match self.effective_state(header.request)? {
            State::Waiting
            | State::Running
            | State::Attached(_)
            | State::Ended(RunOutcome::Complete | RunOutcome::MayHaveRun(_)) => {
                return Some(Ok(DispatchDecision::Attach(header.request)));
            }
            State::Ended(RunOutcome::NotRun(_)) if header.attempt > entry.attempt => return None,
            State::Ended(RunOutcome::NotRun(kind)) => kind,
            State::Revoked => Kind::Revoked,
        };
        let refusal = Refusal {
            kind,
            ran: kind.answer().ran,
            detail: format!("request {} was refused before", header.request),
        };
        Some(Err(refusal))
    }

    /// Returns the decision for a key that was used or closed here.
    fn recorded_key(&self, header: &IdempotencyInfo) -> Option<Result<DispatchDecision, Refusal>> {
        let decision = match self.keys.get(&header.key)? {
            KeyState::Closed => Err(Refusal::not_run(
                Kind::NotServed,
                "the key was closed here and now belongs to another endpoint",
            )),
            KeyState::Used {
                request,
                fingerprint,
            } if *fingerprint != header.fingerprint => {
                let detail = format!("the key was used by request {request} for a different call");
                Err(Refusal::not_run(Kind::KeyReused, detail))
            }
            KeyState::Used { request, .. } => Ok(DispatchDecision::Attach(*request)),
        };
        Some(decision)
    }

    fn check_new_key(&self, now: Monotonic, header: &IdempotencyInfo) -> Result<(), Refusal> {
        self.check_key_time(now, header)?;
        if !header.non_idempotent || self.covers_all_uses(now, header.made_ms) {
            return Ok(());
        }
        Err(Refusal::may_have_run(
            Kind::OutcomeUnknown,
            "the key may have been used before this sidecar started",
        ))
    }

    fn check_key_time(&self, now: Monotonic, header: &IdempotencyInfo) -> Result<(), Refusal> {
        let Some(created_ms) = header.made_ms else {
            return Ok(());
        };
        let margin = num::millis(self.limits.clock_margin);
        let unix_ms = self.started_unix_ms.saturating_add(now.as_millis());
        if created_ms > unix_ms.saturating_add(margin) {
            let detail = format!("the key's creation time {created_ms} ms is in the future");
            return Err(Refusal::not_run(Kind::BadRequest, detail));
        }
        let age_limit = num::millis(self.limits.key_retention).saturating_sub(margin);
        if header.non_idempotent && unix_ms.saturating_sub(created_ms) > age_limit {
            let detail = format!(
                "the key's creation time {created_ms} ms exceeds the key retention; it may have been used before"
            );
            return Err(Refusal::may_have_run(Kind::OutcomeUnknown, detail));
        }
        Ok(())
    }

    /// Returns whether all relevant uses of a key fall within this incarnation.
    pub(super) fn covers_all_uses(&self, now: Monotonic, made_ms: Option<u64>) -> bool {
        let margin = num::millis(self.limits.clock_margin);
        let is_created_here = made_ms
            .is_some_and(|created_ms| created_ms > self.started_unix_ms.saturating_add(margin));
        is_created_here || now.as_duration() >= self.limits.key_retention
    }
}
