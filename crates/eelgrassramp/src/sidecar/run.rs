//! One request's way through the engine.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use slog::warn;

use crate::engine::EngineEvent;
use crate::engine::EngineStream;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::error::Result;
use crate::ledger::RunOutcome;
use crate::time::Monotonic;
use crate::wire::Call;
use crate::wire::Header;
use crate::wire::Usage;

use super::answer::Answer;
use super::answer::End;
use super::answer::Head;
use super::outcomes::Outcome;
use super::settings::EndpointKind;
use super::speed::cost_used;
use super::state::Meta;
use super::state::Shared;
use super::state::State;
use super::state::Stop;

/// Times that a broken stream is resumed without any progress in between.
const MAX_RESUMES: u32 = 3;

const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// Longest answer that is passed on, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024 * 1024;

/// Time past its deadline after which a non-idempotent request no longer holds a slot.
const ABANDON_AFTER: Duration = Duration::from_mins(1);

/// Time without a reader after which an idempotent request is stopped.
const ORPHAN_AFTER: Duration = Duration::from_secs(5);

/// Slowness from which on a missed deadline counts as a failure of the endpoint.
const TIMEOUT_SLOWNESS: f64 = 2.0;

/// Response header by which an endpoint tells how often it ran a request.
const EXECUTIONS_HEADER: &str = "x-executions";

/// A request that the endpoint is about to be given.
pub(super) struct Run {
    pub(super) shared: Arc<Shared>,
    pub(super) meta: Meta,
    pub(super) answer: Answer,
    pub(super) stop: Stop,
}

impl Run {
    /// Gives the endpoint the request and passes its answer on until the end.
    pub(super) async fn run(self, call: Call) {
        let began = self.shared.now();
        let outcome = tokio::select! {
            biased;
            outcome = self.drive(call) => outcome,
            kind = self.stopped() => {
                self.cancel_in_engine().await;
                Err(Error::new(kind, self.detail("was stopped")))
            }
        };
        self.settle(began, outcome);
    }

    async fn drive(&self, call: Call) -> Result<Usage> {
        let engine = &self.shared.engine;
        let mut outcome = match engine.run(self.meta.request, call).await {
            Ok(stream) => self.copy(stream).await,
            Err(e) => Err(e),
        };
        let mut resumes = 0;
        while let Err(e) = &outcome {
            if !self.can_resume(e.kind()) || resumes == MAX_RESUMES {
                break;
            }
            let before = self.answer.length();
            self.shared.cx.timers.after(RESUME_PAUSE).await;
            outcome = self.resume(before).await;
            resumes = if self.answer.length() > before {
                0
            } else {
                resumes + 1
            };
        }
        outcome
    }

    async fn resume(&self, offset: u64) -> Result<Usage> {
        let stream = self
            .shared
            .engine
            .resume(self.meta.request, offset)
            .await
            .map_err(|e| {
                // The request was sent before, so a failed connection now proves nothing.
                Error::with_source(Kind::StreamBroken, self.detail("was not resumed"), e)
            })?;
        self.copy(stream).await
    }

    fn can_resume(&self, kind: Kind) -> bool {
        self.shared.settings.kind == EndpointKind::Model
            && matches!(kind, Kind::EndpointFailed | Kind::StreamBroken)
    }

    /// Passes the endpoint's answer on to the readers.
    async fn copy(&self, mut stream: EngineStream) -> Result<Usage> {
        while let Some(event) = stream.next().await {
            match event? {
                EngineEvent::Head { status, headers } => {
                    self.answer.set_head(Head { status, headers });
                }
                EngineEvent::Data(bytes) => self.answer.append(bytes),
                EngineEvent::End(usage) => return Ok(usage),
            }
            if self.answer.length() > MAX_ANSWER_BYTES {
                let detail = self.detail("was answered with too many bytes");
                return Err(Error::new(Kind::EndpointFailed, detail));
            }
        }
        let detail = self.detail("was answered without an end");
        Err(Error::new(Kind::StreamBroken, detail))
    }

    /// Waits until the request has to leave the endpoint, and tells why.
    async fn stopped(&self) -> Kind {
        let timers = &self.shared.cx.timers;
        if self.meta.non_idempotent {
            timers.after(self.time_left() + ABANDON_AFTER).await;
            return Kind::DeadlineExceeded;
        }
        tokio::select! {
            () = self.stop.preempted.cancelled() => Kind::Preempted,
            () = self.stop.cancelled.cancelled() => Kind::CallerGone,
            () = timers.after(self.time_left()) => Kind::DeadlineExceeded,
            () = self.orphaned() => Kind::CallerGone,
        }
    }

    fn time_left(&self) -> Duration {
        self.meta.deadline.since(self.shared.now())
    }

    /// Waits until nobody has read the answer for some time, as after an entry's death.
    async fn orphaned(&self) {
        let mut ticks = self.shared.cx.timers.every(ORPHAN_AFTER / 2);
        let mut without_reader = 0;
        while without_reader < 2 {
            ticks.tick().await;
            without_reader = if self.answer.readers() == 0 {
                without_reader + 1
            } else {
                0
            };
        }
    }

    async fn cancel_in_engine(&self) {
        if self.meta.non_idempotent || self.shared.settings.kind == EndpointKind::Service {
            return;
        }
        if let Err(e) = self.shared.engine.cancel(self.meta.request).await {
            warn!(self.shared.cx.log, "engine did not cancel";
                "request" => %self.meta.request, "error" => %e);
        }
    }

    /// Records how the request ended, frees its slot and tells the readers.
    fn settle(&self, began: Monotonic, outcome: Result<Usage>) {
        let now = self.shared.now();
        let time = now.since(began);
        let request = self.meta.request;
        let ending = self.ending(&outcome);
        let end = self.end(outcome);
        let mut state = self.shared.lock();
        self.count(&mut state, time, &end, ending);
        state.ledger.end(now, request, ending);
        self.answer.end(end);
        state.last_end = Some(now);
        if !matches!(ending, RunOutcome::NotRun(_)) {
            state.keep_for_replay(request);
        }
        let actions = state.scheduler.done(now, request);
        self.shared.perform(&mut state, actions);
    }

    fn ending(&self, outcome: &Result<Usage>) -> RunOutcome {
        match outcome {
            Ok(_) => RunOutcome::Complete,
            Err(e) if e.kind() == Kind::ConnectFailed && !self.answer.has_head() => {
                RunOutcome::NotRun(Kind::ConnectFailed)
            }
            Err(e) => RunOutcome::MayHaveRun(e.kind()),
        }
    }

    fn end(&self, outcome: Result<Usage>) -> End {
        match outcome {
            Ok(usage) => End::Whole(usage),
            Err(e) => End::Failed {
                kind: e.kind(),
                ran: if matches!(e.kind(), Kind::ConnectFailed) && !self.answer.has_head() {
                    Ran::No
                } else {
                    Ran::Maybe
                },
                detail: e.detail().to_owned(),
            },
        }
    }

    fn count(&self, state: &mut State, time: Duration, end: &End, ending: RunOutcome) {
        let outcome = match end {
            End::Whole(usage) => self.judge(state, time, *usage),
            End::Failed { kind, .. } => {
                self.shared.count("sidecar.failed", kind.as_str());
                self.is_endpoint_fault(state, time, *kind)
                    .then_some(Outcome::Failed)
            }
        };
        if ending == RunOutcome::Complete {
            state.record_time(self.meta.tier, time);
            self.shared
                .count("sidecar.answered", self.meta.tier.as_str());
        }
        if let Some(outcome) = outcome {
            let Meta {
                route,
                tier,
                version,
                ..
            } = &self.meta;
            state.outcomes.count(route, *tier, version, outcome);
        }
    }

    /// Tells whether a failure speaks against the endpoint rather than against the load.
    fn is_endpoint_fault(&self, state: &State, time: Duration, kind: Kind) -> bool {
        match kind {
            Kind::Preempted | Kind::CallerGone => false,
            Kind::DeadlineExceeded => {
                let speed = state.scheduler.speed();
                speed.slowness(self.meta.cost, time) > TIMEOUT_SLOWNESS
            }
            _ => true,
        }
    }

    /// Judges a whole answer by its status, its executions and its time.
    fn judge(&self, state: &mut State, time: Duration, usage: Usage) -> Option<Outcome> {
        let progress = self.answer.subscribe();
        let progress = progress.borrow();
        let head = progress.head.as_ref()?;
        if head.status >= 500 {
            return Some(Outcome::Failed);
        }
        if executions(&head.headers) > 1 {
            return Some(Outcome::Duplicated);
        }
        if head.status >= 400 {
            return None;
        }
        let cost = cost_used(usage);
        state.scheduler.measure(cost, time);
        let slowness = state.scheduler.speed().slowness(cost, time);
        Some(Outcome::Ok { slowness })
    }

    fn detail(&self, what: &str) -> String {
        format!("request {} {what}", self.meta.request)
    }
}

fn executions(headers: &[Header]) -> u32 {
    headers
        .iter()
        .find(|h| h.name == EXECUTIONS_HEADER)
        .and_then(|h| std::str::from_utf8(&h.value).ok())
        .and_then(|text| text.parse().ok())
        .unwrap_or(1)
}
