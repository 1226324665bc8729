//! Queueing of a request until it is granted an endpoint or refused.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Kind;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use tokio::sync::oneshot;

use super::Entry;
use crate::dispatcher::DispatchRequest;
use crate::dispatcher::Grant;
use crate::dispatcher::SubmitResult;
use crate::endpoint_tracker::DispatchEnd;
use crate::refusal::Refusal;

impl Entry {
    /// Records an arrival and returns an estimate of the time that the caller of `route` waited before
    /// this request, from the timeout that it sent. The estimate is usually lower than the real time.
    pub(crate) fn record_arrival_and_estimate_wait(
        &self,
        route: &RouteName,
        caller_timeout: Option<Duration>,
    ) -> Duration {
        let now = self.cx.timers.now();
        let Some(caller_timeout) = caller_timeout else {
            return Duration::ZERO;
        };
        self.lock()
            .prior_waits
            .record_arrival(now, route, caller_timeout)
    }

    /// Records that a caller of `route` was refused with a `Retry-After`.
    pub(crate) fn record_retry_after(&self, route: &RouteName) {
        let now = self.cx.timers.now();
        self.lock().prior_waits.record_refusal(now, route);
    }

    /// Acquires a slot at an endpoint for a request, which is queued until one is free or until it
    /// expires.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: DispatchRequest,
    ) -> Result<Grant, Refusal> {
        let now = self.cx.timers.now();
        let expires_at = request.expires_at;
        let (tx, rx) = oneshot::channel();
        let _previous = {
            let mut state = self.lock();
            match state.dispatcher.submit(now, request.clone()) {
                SubmitResult::Granted(grant) => return Ok(grant),
                SubmitResult::Refused(delay) => return Err(overloaded(&request.pool, delay)),
                SubmitResult::Queued => state.result_senders.insert(request.seq, tx),
            }
        };
        let pool = request.pool.clone();
        let mut queued = PendingAcquire {
            entry: self,
            request,
            rx,
            is_resolved: false,
        };
        let granted = tokio::select! {
            biased;
            granted = &mut queued.rx => granted,
            () = self.cx.timers.until(expires_at) => {
                // A grant that arrives together with the timeout is still used.
                self.dispatch_queued_requests();
                (&mut queued.rx).await
            }
        };
        queued.is_resolved = true;
        match granted {
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(delay)) => Err(overloaded(&pool, delay)),
            Err(_) => Err(overloaded(&pool, Duration::from_secs(1))),
        }
    }
}

/// A queued request; dropping it removes the request from the queue.
struct PendingAcquire<'a> {
    entry: &'a Arc<Entry>,
    request: DispatchRequest,
    rx: oneshot::Receiver<Result<Grant, Duration>>,
    is_resolved: bool,
}

impl Drop for PendingAcquire<'_> {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let mut state = self.entry.lock();
        state.dispatcher.remove_queued(&self.request);
        state.result_senders.remove(&self.request.seq);
        drop(state);
        // A grant that was sent but never received is returned to its endpoint.
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            let outcome = DispatchEnd::Neutral;
            let route = &grant.route;
            self.entry
                .record_attempt_outcome(&grant.endpoint, route, outcome);
        }
    }
}

fn overloaded(pool: &PoolName, retry_after: Duration) -> Refusal {
    let detail = format!("pool {pool:?} has no capacity for this request");
    Refusal::with_retry_after(Kind::Overloaded, detail, retry_after)
}
