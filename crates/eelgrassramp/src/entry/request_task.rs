//! The task of one request, from acceptance to the last byte of its response.

mod active_dispatch;
mod retry_action;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use self::active_dispatch::ActiveDispatch;
use self::retry_action::RetryAction;
use self::retry_action::follows_key_check;
use self::retry_action::is_order_refusal;
use self::retry_action::retry_action;
use super::classify::ClassifiedRequest;
use super::dispatch_state::ResponsePart;
use super::key_home;
use super::key_home::ClaimTarget;
use super::key_home::HomePlan;
use super::pool_queues::EndpointRequest;
use super::shared::Shared;
use crate::admission::Ticket;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::id::Attempt;
use crate::id::RequestId;
use crate::id::TableVersion;
use crate::name::EndpointName;
use crate::num;
use crate::proof::DispatchPermit;
use crate::proof::NotRun;
use crate::proof::ProofSource;
use crate::retry::Backoff;
use crate::routing::Candidate;
use crate::routing::Outcome;
use crate::time::Monotonic;
use crate::wire::CloseKey;
use crate::wire::CloseKeyReply;
use crate::wire::Dispatch;
use crate::wire::Usage;
use crate::wire::WorkEstimate;

/// Time without a frame after which a connection counts as lost; heartbeats are sent every 400 ms.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Timeout of attach, revoke, cancel and claim calls, which resolve the state of a request.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(700);

/// Part of the deadline reserved for the network, so that a sidecar's proof that a request did not
/// start arrives before the entry's own deadline.
const DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Time after its deadline for which the outcome of a non-idempotent request is still awaited.
const OUTCOME_WAIT: Duration = Duration::from_mins(2);

/// Maximum number of dispatches of one request.
const MAX_ATTEMPTS: u64 = 6;

/// Delay before a refused request of tier `order` is tried again.
const ORDER_RETRY_DELAY: Duration = Duration::from_millis(25);

/// Number of response parts buffered for a slow caller.
pub(super) const RESPONSE_BUFFER_PARTS: usize = 16;

/// An event sent by the task of a request to the response side.
#[derive(Debug)]
pub(super) enum TaskEvent {
    /// A part of the response.
    Part(ResponsePart),
    /// The response is complete.
    Completed,
    /// The request failed, or its response is incomplete.
    Failed(Error, Ran),
}

/// How a request ended.
#[derive(Debug)]
enum RequestResult {
    Completed(Usage),
    Failed(Error, Ran),
}

/// How one dispatch ended.
enum DispatchResult {
    NotRun(NotRun),
    Ended(RequestResult),
}

/// The endpoint where the request of an idempotency key may run.
#[derive(Debug)]
struct KeyHome {
    endpoint: EndpointName,
    /// Version of the tables by which the key was closed at all other endpoints that may hold it.
    closed_elsewhere: Option<TableVersion>,
}

/// A request in progress.
pub(super) struct RequestTask {
    pub shared: Arc<Shared>,
    pub req: ClassifiedRequest,
    pub request: RequestId,
    pub accepted_at: Monotonic,
    pub deadline: Monotonic,
    pub response_tx: mpsc::Sender<TaskEvent>,
    pub first_byte_at: Option<Monotonic>,
}

impl RequestTask {
    /// Runs the request to its end and sends the outcome to the caller.
    pub async fn run_to_end(mut self) {
        let key = self.req.key;
        let key_claim = match key {
            Some(key) => self
                .shared
                .lock_state()
                .keys_in_progress
                .begin(key.id, self.req.fingerprint),
            None => Ok(()),
        };
        let result = match key_claim {
            Ok(()) => {
                let result = self.run_attempts().await;
                if let Some(key) = key {
                    self.shared.lock_state().keys_in_progress.end(key.id);
                }
                result
            }
            Err(e) => {
                let ran = e.kind().answer().ran;
                RequestResult::Failed(e, ran)
            }
        };
        self.finish(result).await;
    }

    async fn finish(self, result: RequestResult) {
        let now = self.shared.now();
        let route = &self.req.route;
        let message = match result {
            RequestResult::Completed(usage) => {
                let time_to_first_byte = self.first_byte_at.unwrap_or(now).since(self.accepted_at);
                let total = now.since(self.accepted_at);
                let mut state = self.shared.lock_state();
                state.histograms.record_completed(
                    route.tier,
                    &self.req.account,
                    time_to_first_byte,
                    total,
                );
                state.record_success(&route.pool);
                if self.req.is_model() {
                    state.router.record_output(&route.name, usage.output_tokens);
                }
                drop(state);
                self.shared.count_request(route, "ok");
                TaskEvent::Completed
            }
            RequestResult::Failed(e, ran) => {
                let mut state = self.shared.lock_state();
                state
                    .histograms
                    .record_failed(route.tier, &self.req.account);
                drop(state);
                self.shared.count_request(route, e.kind().as_str());
                self.shared.log_failure(self.request, route, &e, ran);
                TaskEvent::Failed(e, ran)
            }
        };
        // Sending fails only when the caller has disconnected.
        let _received = self.response_tx.send(message).await;
    }

    async fn run_attempts(&mut self) -> RequestResult {
        let mut unsent = DispatchPermit::accepted();
        let mut request = self.request;
        let mut attempt = Attempt::default();
        let mut tried = Vec::new();
        let mut backoff = Backoff::new();
        loop {
            let home = match self.resolve_key_home().await {
                Ok(home) => home,
                Err(result) => return result,
            };
            let endpoint = home.as_ref().map(|h| h.endpoint.clone());
            let granted = self
                .acquire_endpoint(request, &tried, endpoint, attempt)
                .await;
            let candidate = match granted {
                Ok(candidate) => candidate,
                Err(e) if is_order_refusal(&e, self.req.route.tier) => {
                    match self.wait_for_preemption(e).await {
                        Ok(()) => continue,
                        Err(e) => return self.fail_unsent(e),
                    }
                }
                Err(e) => return self.fail_unsent(e),
            };
            let dispatch_result = self
                .dispatch_once(unsent, request, attempt, &candidate, home.as_ref())
                .await;
            let proof = match dispatch_result {
                DispatchResult::NotRun(proof) => proof,
                DispatchResult::Ended(result) => return result,
            };
            attempt = attempt.next();
            let should_retry = self
                .prepare_retry(&proof, &candidate, attempt, &mut tried, &mut backoff)
                .await;
            if !should_retry {
                return self.fail_without_retry(proof);
            }
            if proof.source() == ProofSource::Revoked {
                // The sidecar permanently rejects the revoked request id.
                request = self.shared.new_request();
            }
            unsent = proof.into();
        }
    }

    /// Fails a request that this entry did not run.
    ///
    /// With an idempotency key, an earlier attempt through another entry may have run.
    fn fail_unsent(&self, err: Error) -> RequestResult {
        let ran = if self.req.key.is_some() {
            Ran::Maybe
        } else {
            Ran::No
        };
        RequestResult::Failed(err, ran)
    }

    /// Fails a request whose last dispatch did not run and that is not retried.
    fn fail_without_retry(&self, proof: NotRun) -> RequestResult {
        let home_checked_key =
            proof.source() == ProofSource::Refused && follows_key_check(proof.kind());
        if home_checked_key {
            return RequestResult::Failed(proof.into_error(), Ran::No);
        }
        self.fail_unsent(proof.into_error())
    }

    /// Queues the request and waits for an endpoint.
    async fn acquire_endpoint(
        &self,
        request: RequestId,
        tried: &[EndpointName],
        home: Option<EndpointName>,
        attempt: Attempt,
    ) -> Result<Candidate, Error> {
        let (tx, mut rx) = oneshot::channel();
        let (ticket, endpoint_request) = self.ticket(request, tried, home);
        let pool = endpoint_request.pool.clone();
        self.shared.sync_tables();
        let now = self.shared.now();
        self.shared
            .lock_state()
            .enqueue(now, ticket, endpoint_request, tx);
        let granted = tokio::select! {
            biased;
            granted = &mut rx => Some(granted),
            () = self.shared.timers().until(self.deadline) => None,
            () = self.response_tx.closed() => None,
        };
        let caller_is_gone = self.response_tx.is_closed();
        let give_up_error = || {
            let (kind, cause) = if caller_is_gone {
                (Kind::CallerGone, "the caller disconnected")
            } else {
                (
                    Kind::DeadlineExpired,
                    "no endpoint had capacity before the deadline",
                )
            };
            Err(Error::new(
                kind,
                format!("pool \"{pool}\": {cause}, attempt {attempt}"),
            ))
        };
        if let Some(granted) = granted {
            return granted.unwrap_or_else(|_| give_up_error());
        }
        let mut state = self.shared.lock_state();
        state.remove(&pool, request);
        if let Ok(Ok(candidate)) = rx.try_recv() {
            let endpoint = &candidate.endpoint.name;
            state
                .router
                .ended(now, &pool, endpoint, request, Outcome::Neutral);
        }
        give_up_error()
    }

    fn ticket(
        &self,
        request: RequestId,
        tried: &[EndpointName],
        home: Option<EndpointName>,
    ) -> (Ticket, EndpointRequest) {
        let work = self.work();
        let pool = &self.req.pool;
        let ticket = Ticket {
            request,
            tier: self.req.route.tier,
            account: self.req.account.clone(),
            weight: pool.weights.get(&self.req.account).copied().unwrap_or(1),
            deadline: self.deadline,
            cost: work.cost(),
            non_idempotent: self.req.route.non_idempotent,
        };
        let endpoint_request = EndpointRequest {
            pool: pool.name.clone(),
            route: self.req.route.name.clone(),
            split_key: self.split_key(),
            prefix: self.req.prefix.clone(),
            tried: tried.to_vec(),
            home,
        };
        (ticket, endpoint_request)
    }

    fn split_key(&self) -> RequestId {
        self.req.key.map_or(self.request, |k| k.id)
    }

    fn work(&self) -> WorkEstimate {
        if !self.req.is_model() {
            return WorkEstimate {
                prefill_tokens: 0,
                output_tokens: 1,
            };
        }
        let state = self.shared.lock_state();
        WorkEstimate {
            prefill_tokens: self.req.prefill_tokens,
            output_tokens: state
                .router
                .predict_output(&self.req.route.name, self.req.output_limit),
        }
    }

    /// Delays a refused request of tier `order` until it may be tried again; returns the error if
    /// the pool has no work of a lower tier left to preempt.
    async fn wait_for_preemption(&self, refusal: Error) -> Result<(), Error> {
        let pool = &self.req.pool.name;
        let now = self.shared.now();
        if self.shared.lock_state().may_refuse_order(now, pool) {
            return Err(refusal);
        }
        if now + ORDER_RETRY_DELAY >= self.deadline || self.response_tx.is_closed() {
            return Err(refusal);
        }
        let tokens = self.work().cost();
        self.shared.lock_state().add_order_pressure(pool, tokens);
        self.shared.request_reports(pool);
        self.shared.timers().after(ORDER_RETRY_DELAY).await;
        self.shared.lock_state().remove_order_pressure(pool, tokens);
        Ok(())
    }

    /// Finds the home endpoint of the idempotency key and closes the key at its former homes.
    async fn resolve_key_home(&self) -> Result<Option<KeyHome>, RequestResult> {
        let Some(key) = self.req.key else {
            return Ok(None);
        };
        let Some(plan) = self.home_plan() else {
            let detail = format!(
                "pool \"{}\" has no home endpoint for the idempotency key",
                self.req.pool.name
            );
            return Err(self.fail_unsent(Error::new(Kind::PoolUnavailable, detail)));
        };
        for claim_target in &plan.claim_targets {
            let msg = CloseKey {
                key: key.id,
                key_time_ms: key.time_ms,
            };
            let call = self.shared.link().close_key(claim_target.sidecar, msg);
            let reply = self.shared.timers().limit(RESOLVE_TIMEOUT, call).await;
            match reply {
                Some(Ok(CloseKeyReply::Closed)) => {}
                // The sidecar attaches to the earlier run or refuses; it does not run the request
                // again.
                Some(Ok(CloseKeyReply::Used(_))) => {
                    return Ok(Some(KeyHome {
                        endpoint: claim_target.endpoint.clone(),
                        closed_elsewhere: None,
                    }));
                }
                Some(Ok(CloseKeyReply::Unknown)) => {
                    return Err(key_outcome_unknown(
                        claim_target,
                        "may no longer have a record of it",
                    ));
                }
                Some(Err(e)) => return Err(key_outcome_unknown(claim_target, &e.to_string())),
                None => return Err(key_outcome_unknown(claim_target, "did not answer in time")),
            }
        }
        Ok(Some(KeyHome {
            endpoint: plan.home,
            closed_elsewhere: Some(plan.tables),
        }))
    }

    fn home_plan(&self) -> Option<HomePlan> {
        let key = self.req.key?;
        self.shared.sync_tables();
        let state = self.shared.lock_state();
        let pool = state.router.pool(&self.req.pool.name)?;
        let gossip = state.router.gossip();
        let version = gossip.version_for(pool, &self.req.route.name, key.id)?;
        let is_non_idempotent = self.req.route.non_idempotent;
        let wall_now = self.shared.cx.timers.wall_now();
        let tables = state.router.tables();
        key_home::plan(
            tables,
            pool,
            gossip,
            &version,
            &key,
            is_non_idempotent,
            wall_now,
        )
    }

    /// Decides whether to retry; if so, refreshes outdated state and waits for the backoff.
    async fn prepare_retry(
        &self,
        proof: &NotRun,
        candidate: &Candidate,
        attempt: Attempt,
        tried: &mut Vec<EndpointName>,
        backoff: &mut Backoff,
    ) -> bool {
        let retry_action = retry_action(proof.kind(), self.req.route.tier);
        if retry_action == RetryAction::Never || self.response_tx.is_closed() {
            return false;
        }
        let waits_for_preemption = retry_action == RetryAction::WaitForPreemption;
        if attempt.0 >= MAX_ATTEMPTS && !waits_for_preemption {
            return false;
        }
        if retry_action == RetryAction::RefreshThenRetry {
            self.shared
                .refresh_from_sidecar(&self.req.pool.name, candidate)
                .await;
        } else {
            tried.push(candidate.endpoint.name.clone());
        }
        if waits_for_preemption {
            let refusal = Error::new(proof.kind(), "refused by the sidecar");
            return self.wait_for_preemption(refusal).await.is_ok();
        }
        let pool = &self.req.pool.name;
        if retry_action == RetryAction::OtherEndpoint
            && !self.shared.lock_state().try_spend_retry(pool)
        {
            self.shared.count_for_pool("retry.budget_spent", pool);
            return false;
        }
        self.shared.count_for_pool("retry", pool);
        let wait = self.shared.next_backoff(backoff);
        if self.shared.now() + wait >= self.deadline {
            return false;
        }
        self.shared.timers().after(wait).await;
        true
    }

    /// Dispatches the request once and follows the dispatch to its end.
    async fn dispatch_once(
        &mut self,
        unsent: DispatchPermit,
        request: RequestId,
        attempt: Attempt,
        candidate: &Candidate,
        home: Option<&KeyHome>,
    ) -> DispatchResult {
        let shared = Arc::clone(&self.shared);
        let mut active_dispatch = ActiveDispatch::new(&shared, &self.req, request, candidate);
        let msg = self.dispatch_message(request, attempt, candidate, home);
        let deadline = self.deadline;
        let outlives_caller = self.req.route.non_idempotent;
        let response_tx = self.response_tx.clone();
        let first_byte_at = &mut self.first_byte_at;
        let dispatch_result = {
            let mut running_dispatch =
                std::pin::pin!(active_dispatch.run(unsent, msg, &response_tx, first_byte_at));
            tokio::select! {
                biased;
                dispatch_result = &mut running_dispatch => Some(dispatch_result),
                () = shared.timers().until(deadline) => {
                    if outlives_caller {
                        let err = deadline_exceeded();
                        let _received = response_tx.send(TaskEvent::Failed(err, Ran::Maybe)).await;
                        shared.timers().limit(OUTCOME_WAIT, &mut running_dispatch).await
                    } else {
                        None
                    }
                }
                () = response_tx.closed(), if !outlives_caller => None,
            }
        };
        if let Some(dispatch_result) = dispatch_result {
            return dispatch_result;
        }
        active_dispatch.cancel().await;
        let err = if response_tx.is_closed() {
            Error::new(Kind::CallerGone, "the caller disconnected")
        } else {
            deadline_exceeded()
        };
        DispatchResult::Ended(RequestResult::Failed(err, Ran::Maybe))
    }

    fn dispatch_message(
        &self,
        request: RequestId,
        attempt: Attempt,
        candidate: &Candidate,
        home: Option<&KeyHome>,
    ) -> Dispatch {
        let remaining = self.deadline.since(self.shared.now());
        Dispatch {
            request,
            attempt,
            incarnation: candidate.incarnation,
            mark: candidate.mark,
            tables: self.shared.tables_version(),
            route: self.req.route.name.clone(),
            pool: self.req.pool.name.clone(),
            version: candidate.version.clone(),
            tier: self.req.route.tier,
            account: self.req.account.clone(),
            key: self.req.key.map(|k| k.id),
            key_time_ms: self.req.key.and_then(|k| k.time_ms),
            former_homes_closed: home.and_then(|h| h.closed_elsewhere),
            deadline_ms: num::millis(remaining.saturating_sub(DEADLINE_MARGIN)),
            work: self.work(),
            non_idempotent: self.req.route.non_idempotent,
            prefix: self.req.prefix.clone(),
            call: self.req.call.clone(),
        }
    }
}

fn deadline_exceeded() -> Error {
    Error::new(
        Kind::DeadlineExceeded,
        "the deadline passed before the response was complete",
    )
}

fn key_outcome_unknown(claim_target: &ClaimTarget, cause: &str) -> RequestResult {
    let detail = format!(
        "the idempotency key may have been used at endpoint \"{}\": {cause}",
        claim_target.endpoint
    );
    RequestResult::Failed(Error::new(Kind::OutcomeUnknown, detail), Ran::Maybe)
}

/// Renders the final event of an incomplete event stream.
pub(super) fn error_event(err: &Error, ran: Ran) -> Bytes {
    super::error_body::to_event(err, ran)
}
