//! Which dispatches run, share a run or are refused.

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
    /// Decides in this order: what is known goes before everything that may refuse, because
    /// of a known request or key nobody may say that it was not run.
    pub(super) fn decide(
        &mut self,
        now: Monotonic,
        claim: &DispatchHeader,
        outside: Result<(), Refusal>,
    ) -> Result<DispatchDecision, Refusal> {
        self.check_incarnation(claim)?;
        if let Some(verdict) = self.known(claim) {
            return verdict;
        }
        self.check_mark(now, claim)?;
        let key = claim.key.as_ref();
        if let Some(verdict) = key.and_then(|k| self.known_key(k)) {
            if let Ok(DispatchDecision::Attach(first)) = verdict {
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
        Ok(DispatchDecision::Run)
    }

    fn check_incarnation(&self, claim: &DispatchHeader) -> Result<(), Refusal> {
        if claim.incarnation == self.incarnation {
            return Ok(());
        }
        let detail = format!(
            "request {} was sent to incarnation {}, this is {}",
            claim.request, claim.incarnation, self.incarnation
        );
        Err(Refusal::not_run(Kind::WrongIncarnation, detail))
    }

    fn check_mark(&self, now: Monotonic, claim: &DispatchHeader) -> Result<(), Refusal> {
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
    pub(super) fn state_of(&self, request: RequestId) -> Option<State> {
        let own = self.entries.get(&request)?.state;
        let State::Attached(first) = own else {
            return Some(own);
        };
        self.entries
            .get(&first)
            .map_or(Some(own), |e| Some(e.state))
    }

    /// Returns the verdict on a known request, or `None` when it may be looked at as new.
    fn known(&self, claim: &DispatchHeader) -> Option<Result<DispatchDecision, Refusal>> {
        let entry = self.entries.get(&claim.request)?;
        let kind = match self.state_of(claim.request)? {
            State::Waiting
            | State::Running
            | State::Attached(_)
            | State::Ended(RunOutcome::Complete | RunOutcome::MayHaveRun(_)) => {
                return Some(Ok(DispatchDecision::Attach(claim.request)));
            }
            State::Ended(RunOutcome::NotRun(_)) if claim.attempt > entry.attempt => return None,
            State::Ended(RunOutcome::NotRun(kind)) => kind,
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
    fn known_key(&self, claim: &IdempotencyInfo) -> Option<Result<DispatchDecision, Refusal>> {
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
            KeyState::Used { request, .. } => Ok(DispatchDecision::Attach(*request)),
        };
        Some(verdict)
    }

    fn check_unknown_key(&self, now: Monotonic, claim: &IdempotencyInfo) -> Result<(), Refusal> {
        self.check_key_time(now, claim)?;
        if !claim.non_idempotent || self.knows_all_uses(now, claim.made_ms) {
            return Ok(());
        }
        Err(Refusal::may_have_run(
            Kind::OutcomeUnknown,
            "the key may have been used before this sidecar started",
        ))
    }

    fn check_key_time(&self, now: Monotonic, claim: &IdempotencyInfo) -> Result<(), Refusal> {
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
    pub(super) fn knows_all_uses(&self, now: Monotonic, made_ms: Option<u64>) -> bool {
        let margin = num::millis(self.limits.clock_margin);
        let made_in_this_life =
            made_ms.is_some_and(|made| made > self.started_unix_ms.saturating_add(margin));
        made_in_this_life || now.as_duration() >= self.limits.key_retention
    }
}
