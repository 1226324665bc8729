//! Runs one request on the engine, from its start to its recorded end.

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

use super::outcomes::Outcome;
use super::settings::EndpointKind;
use super::shared_response::ResponseEnd;
use super::shared_response::ResponseHead;
use super::shared_response::SharedResponse;
use super::state::RequestMeta;
use super::state::Shared;
use super::state::State;
use super::state::StopSignals;
use super::throughput::actual_cost;

/// Maximum number of consecutive resumptions of a broken stream without progress.
const MAX_RESUMES: u32 = 3;

const RESUME_DELAY: Duration = Duration::from_millis(100);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024 * 1024;

/// Time past its deadline after which a non-idempotent request loses its slot.
const NON_IDEMPOTENT_GRACE: Duration = Duration::from_mins(1);

/// Time without any reader after which an idempotent request is stopped.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(5);

/// Slowness above which a missed deadline counts as a failure of the endpoint.
const TIMEOUT_SLOWNESS: f64 = 2.0;

/// Response header in which an endpoint reports how often it executed the request.
const EXECUTIONS_HEADER: &str = "x-executions";

/// A request that is about to be sent to the endpoint.
pub(super) struct Run {
    pub(super) shared: Arc<Shared>,
    pub(super) meta: RequestMeta,
    pub(super) response: SharedResponse,
    pub(super) stop: StopSignals,
}

impl Run {
    /// Sends the request to the endpoint and forwards the response until its end.
    pub(super) async fn run(self, call: Call) {
        let started_at = self.shared.now();
        let outcome = tokio::select! {
            biased;
            outcome = self.run_with_resumes(call) => outcome,
            kind = self.wait_for_stop() => {
                self.cancel_in_engine().await;
                Err(Error::new(kind, self.detail("was stopped before its response was complete")))
            }
        };
        self.finish(started_at, outcome);
    }

    async fn run_with_resumes(&self, call: Call) -> Result<Usage> {
        let engine = &self.shared.engine;
        let mut outcome = match engine.run(self.meta.request, call).await {
            Ok(stream) => self.forward(stream).await,
            Err(e) => Err(e),
        };
        let mut resumes = 0;
        while let Err(e) = &outcome {
            if !self.can_resume(e.kind()) || resumes == MAX_RESUMES {
                break;
            }
            let length_before = self.response.length();
            self.shared.cx.timers.after(RESUME_DELAY).await;
            outcome = self.resume(length_before).await;
            resumes = if self.response.length() > length_before {
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
                // The request was sent before, so a failed connection does not prove that it did
                // not run.
                Error::with_source(Kind::StreamBroken, self.detail("could not be resumed"), e)
            })?;
        self.forward(stream).await
    }

    fn can_resume(&self, kind: Kind) -> bool {
        self.shared.settings.kind == EndpointKind::Model
            && matches!(kind, Kind::EndpointFailed | Kind::StreamBroken)
    }

    /// Forwards the response of the endpoint to the readers.
    async fn forward(&self, mut stream: EngineStream) -> Result<Usage> {
        while let Some(event) = stream.next().await {
            match event? {
                EngineEvent::Head { status, headers } => {
                    self.response.set_head(ResponseHead { status, headers });
                }
                EngineEvent::Data(bytes) => self.response.append(bytes),
                EngineEvent::End(usage) => return Ok(usage),
            }
            if self.response.length() > MAX_RESPONSE_BYTES {
                let detail = self.detail("has a response body above the maximum size");
                return Err(Error::new(Kind::EndpointFailed, detail));
            }
        }
        let detail = self.detail("has a response stream without an end event");
        Err(Error::new(Kind::StreamBroken, detail))
    }

    /// Waits until the request has to be stopped and returns the reason.
    async fn wait_for_stop(&self) -> Kind {
        let timers = &self.shared.cx.timers;
        if self.meta.non_idempotent {
            timers.after(self.time_left() + NON_IDEMPOTENT_GRACE).await;
            return Kind::DeadlineExceeded;
        }
        tokio::select! {
            () = self.stop.preempted.cancelled() => Kind::Preempted,
            () = self.stop.cancelled.cancelled() => Kind::CallerGone,
            () = timers.after(self.time_left()) => Kind::DeadlineExceeded,
            () = self.wait_until_orphaned() => Kind::CallerGone,
        }
    }

    fn time_left(&self) -> Duration {
        self.meta.deadline.since(self.shared.now())
    }

    /// Waits until the response has had no reader for some time, as after a crash of the entry.
    async fn wait_until_orphaned(&self) {
        let mut ticks = self.shared.cx.timers.every(ORPHAN_TIMEOUT / 2);
        let mut ticks_without_reader = 0;
        while ticks_without_reader < 2 {
            ticks.tick().await;
            ticks_without_reader = if self.response.reader_count() == 0 {
                ticks_without_reader + 1
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
            warn!(self.shared.cx.log, "request not cancelled in the engine";
                "request" => %self.meta.request, "error" => %e);
        }
    }

    /// Records the end of the request, frees its slot and ends the response for its readers.
    fn finish(&self, started_at: Monotonic, outcome: Result<Usage>) {
        let now = self.shared.now();
        let time = now.since(started_at);
        let request = self.meta.request;
        let ending = self.ending(&outcome);
        let end = self.end(outcome);
        let mut state = self.shared.lock();
        self.count_outcome(&mut state, time, &end, ending);
        state.ledger.end(now, request, ending);
        self.response.end(end);
        state.last_response_at = Some(now);
        if !matches!(ending, RunOutcome::NotRun(_)) {
            state.retain_for_replay(request);
        }
        let actions = state.scheduler.complete(now, request);
        self.shared.apply_actions(&mut state, actions);
    }

    fn ending(&self, outcome: &Result<Usage>) -> RunOutcome {
        match outcome {
            Ok(_) => RunOutcome::Complete,
            Err(e) if e.kind() == Kind::ConnectFailed && !self.response.has_head() => {
                RunOutcome::NotRun(Kind::ConnectFailed)
            }
            Err(e) => RunOutcome::MayHaveRun(e.kind()),
        }
    }

    fn end(&self, outcome: Result<Usage>) -> ResponseEnd {
        match outcome {
            Ok(usage) => ResponseEnd::Complete(usage),
            Err(e) => ResponseEnd::Failed {
                kind: e.kind(),
                ran: if matches!(e.kind(), Kind::ConnectFailed) && !self.response.has_head() {
                    Ran::No
                } else {
                    Ran::Maybe
                },
                detail: e.detail().to_owned(),
            },
        }
    }

    fn count_outcome(
        &self,
        state: &mut State,
        time: Duration,
        end: &ResponseEnd,
        ending: RunOutcome,
    ) {
        let outcome = match end {
            ResponseEnd::Complete(usage) => self.classify_completion(state, time, *usage),
            ResponseEnd::Failed { kind, .. } => {
                self.shared.count("sidecar.failed", kind.as_str());
                self.is_endpoint_fault(state, time, *kind)
                    .then_some(Outcome::Failed)
            }
        };
        if ending == RunOutcome::Complete {
            state.record_service_time(self.meta.tier, time);
            self.shared
                .count("sidecar.answered", self.meta.tier.as_str());
        }
        if let Some(outcome) = outcome {
            let RequestMeta {
                route,
                tier,
                version,
                ..
            } = &self.meta;
            state.outcomes.count(route, *tier, version, outcome);
        }
    }

    /// Returns whether a failure is attributed to the endpoint rather than to its load.
    fn is_endpoint_fault(&self, state: &State, time: Duration, kind: Kind) -> bool {
        match kind {
            Kind::Preempted | Kind::CallerGone => false,
            Kind::DeadlineExceeded => {
                let throughput = state.scheduler.throughput();
                throughput.slowness(self.meta.cost, time) > TIMEOUT_SLOWNESS
            }
            _ => true,
        }
    }

    /// Classifies a complete response by its status, number of executions and time.
    fn classify_completion(
        &self,
        state: &mut State,
        time: Duration,
        usage: Usage,
    ) -> Option<Outcome> {
        let response_state = self.response.subscribe();
        let response_state = response_state.borrow();
        let head = response_state.head.as_ref()?;
        if head.status >= 500 {
            return Some(Outcome::Failed);
        }
        if executions(&head.headers) > 1 {
            return Some(Outcome::Duplicated);
        }
        if head.status >= 400 {
            return None;
        }
        let cost = actual_cost(usage);
        state.scheduler.record_completion(cost, time);
        let slowness = state.scheduler.throughput().slowness(cost, time);
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
