//! Places in the line, from a request's arrival to its grant or refusal.

use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::Kind;
use eelgrassramp::PoolName;
use eelgrassramp::RouteName;
use tokio::sync::oneshot;

use super::Entry;
use crate::dispatcher::DispatchRequest;
use crate::dispatcher::Grant;
use crate::dispatcher::Placement;
use crate::endpoint_tracker::Outcome;
use crate::refusal::Refusal;

impl Entry {
    /// Returns how long a caller of `route` has certainly waited before it came.
    pub(crate) fn waited_before(&self, route: &RouteName, patience: Option<Duration>) -> Duration {
        let now = self.cx.timers.now();
        let Some(patience) = patience else {
            return Duration::ZERO;
        };
        self.lock().patience.record_arrival(now, route, patience)
    }

    /// Notes that a caller of `route` was asked to come back.
    pub(crate) fn note_return(&self, route: &RouteName) {
        let now = self.cx.timers.now();
        self.lock().patience.record_refusal(now, route);
    }

    /// Waits for an endpoint for a request.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        ticket: DispatchRequest,
    ) -> Result<Grant, Refusal> {
        let now = self.cx.timers.now();
        let give_up_at = ticket.expires_at;
        let (tx, rx) = oneshot::channel();
        let _waits = {
            let mut state = self.lock();
            match state.dispatcher.admit(now, ticket.clone()) {
                Placement::Granted(grant) => return Ok(grant),
                Placement::Refused(wait) => return Err(overloaded(&ticket.pool, wait)),
                Placement::Queued => state.waiters.insert(ticket.seq, tx),
            }
        };
        let pool = ticket.pool.clone();
        let mut place = Place {
            entry: self,
            ticket,
            rx,
            is_settled: false,
        };
        let granted = tokio::select! {
            biased;
            granted = &mut place.rx => granted,
            () = self.cx.timers.until(give_up_at) => {
                // A grant that crosses the timeout is used.
                self.pump();
                (&mut place.rx).await
            }
        };
        place.is_settled = true;
        match granted {
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(wait)) => Err(overloaded(&pool, wait)),
            Err(_) => Err(overloaded(&pool, Duration::from_secs(1))),
        }
    }
}

/// A place in the line; dropping it leaves the line.
struct Place<'a> {
    entry: &'a Arc<Entry>,
    ticket: DispatchRequest,
    rx: oneshot::Receiver<Result<Grant, Duration>>,
    is_settled: bool,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        let mut state = self.entry.lock();
        state.dispatcher.remove_queued(&self.ticket);
        state.waiters.remove(&self.ticket.seq);
        drop(state);
        // A grant may have been handed over that was not received any more.
        if let Ok(Ok(grant)) = self.rx.try_recv() {
            let outcome = Outcome::Neutral;
            let route = &grant.route;
            self.entry.ended(&grant.endpoint, route, outcome);
        }
    }
}

fn overloaded(pool: &PoolName, wait: Duration) -> Refusal {
    let detail = format!("no endpoint of pool {pool:?} was free in time");
    Refusal::later(Kind::Overloaded, detail, wait)
}
