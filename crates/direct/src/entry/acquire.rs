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
    /// Returns a lower bound of the time that a caller of `route` waited before this request, from
    /// its remaining `patience`.
    pub(crate) fn prior_wait(&self, route: &RouteName, patience: Option<Duration>) -> Duration {
        let now = self.cx.timers.now();
        let Some(patience) = patience else {
            return Duration::ZERO;
        };
        self.lock().patience.record_arrival(now, route, patience)
    }

    /// Records that a caller of `route` was refused with a `Retry-After`.
    pub(crate) fn note_retry_after(&self, route: &RouteName) {
        let now = self.cx.timers.now();
        self.lock().patience.record_refusal(now, route);
    }

    /// Acquires an endpoint for a request, queueing it until one is free or the ticket expires.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        ticket: DispatchRequest,
    ) -> Result<Grant, Refusal> {
        let now = self.cx.timers.now();
        let give_up_at = ticket.expires_at;
        let (tx, rx) = oneshot::channel();
        let _previous = {
            let mut state = self.lock();
            match state.dispatcher.submit(now, ticket.clone()) {
                SubmitResult::Granted(grant) => return Ok(grant),
                SubmitResult::Refused(wait) => return Err(overloaded(&ticket.pool, wait)),
                SubmitResult::Queued => state.waiters.insert(ticket.seq, tx),
            }
        };
        let pool = ticket.pool.clone();
        let mut queued = QueuedRequest {
            entry: self,
            ticket,
            rx,
            is_resolved: false,
        };
        let granted = tokio::select! {
            biased;
            granted = &mut queued.rx => granted,
            () = self.cx.timers.until(give_up_at) => {
                // A grant that arrives together with the timeout is still used.
                self.dispatch_waiting();
                (&mut queued.rx).await
            }
        };
        queued.is_resolved = true;
        match granted {
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(wait)) => Err(overloaded(&pool, wait)),
            Err(_) => Err(overloaded(&pool, Duration::from_secs(1))),
        }
    }
}

/// A queued request; dropping it removes the request from the queue.
struct QueuedRequest<'a> {
    entry: &'a Arc<Entry>,
    ticket: DispatchRequest,
    rx: oneshot::Receiver<Result<Grant, Duration>>,
    is_resolved: bool,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        if self.is_resolved {
            return;
        }
        let mut state = self.entry.lock();
        state.dispatcher.remove_queued(&self.ticket);
        state.waiters.remove(&self.ticket.seq);
        drop(state);
        // A grant that was sent but never received is returned to its endpoint.
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            let outcome = DispatchEnd::Neutral;
            let route = &grant.route;
            self.entry
                .record_completion(&grant.endpoint, route, outcome);
        }
    }
}

fn overloaded(pool: &PoolName, wait: Duration) -> Refusal {
    let detail = format!("no endpoint of pool {pool:?} became free in time");
    Refusal::with_retry_after(Kind::Overloaded, detail, wait)
}
