//! When which endpoint is asked for a report.

use std::time::Duration;

use super::PollTarget;
use super::Router;
use crate::name::EndpointName;
use crate::name::PoolName;
use crate::routing::view::EndpointView;
use crate::time::Monotonic;

/// Minimum time between two polls of one endpoint when an immediate report is requested.
const URGENT_INTERVAL: Duration = Duration::from_millis(100);

impl Router {
    /// Returns the endpoint whose poll is most overdue and records `now` as its last poll.
    ///
    /// Each endpoint is polled at most once per `interval`, unless an immediate report was
    /// requested. Without an `interval`, only endpoints with such a request are polled.
    pub fn next_poll(&mut self, now: Monotonic, interval: Option<Duration>) -> Option<PollTarget> {
        let mut most_overdue: Option<(Duration, PoolName, usize)> = None;
        for (name, pool) in &self.pools {
            for i in pool.all_subsets() {
                let Some(wait) = pool
                    .views
                    .get(i)
                    .and_then(|v| poll_overdue(v, now, interval))
                else {
                    continue;
                };
                if most_overdue.as_ref().is_none_or(|(most, ..)| wait > *most) {
                    most_overdue = Some((wait, name.clone(), i));
                }
            }
        }
        let (_, name, i) = most_overdue?;
        self.pools.get_mut(&name)?.start_poll(now, i)
    }

    /// Returns the poll target for one endpoint and records `now` as its last poll.
    pub fn poll_target(
        &mut self,
        now: Monotonic,
        pool: &PoolName,
        endpoint: &EndpointName,
    ) -> Option<PollTarget> {
        let view = self.pools.get_mut(pool)?;
        let i = view.position(endpoint)?;
        view.start_poll(now, i)
    }

    /// Requests immediate reports from the endpoints of a pool.
    ///
    /// A poll also sends them the brakes and splits known here.
    pub fn request_reports(&mut self, pool: &PoolName) {
        let Some(pool) = self.pools.get_mut(pool) else {
            return;
        };
        let subset: Vec<usize> = pool.all_subsets().collect();
        for i in subset {
            if let Some(view) = pool.views.get_mut(i) {
                view.request_report();
            }
        }
    }

    /// Requests immediate reports from the endpoints of all pools.
    pub fn request_all_reports(&mut self) {
        let pools: Vec<PoolName> = self.pools.keys().cloned().collect();
        for pool in pools {
            self.request_reports(&pool);
        }
    }
}

/// Returns the poll priority of an endpoint, or `None` when it is not due.
///
/// The priority is the age of its last poll or report, whichever is newer; endpoints never
/// polled and those with a requested report have the highest.
fn poll_overdue(
    view: &EndpointView,
    now: Monotonic,
    interval: Option<Duration>,
) -> Option<Duration> {
    let Some(asked) = view.polled_at else {
        return Some(Duration::MAX);
    };
    if view.report_requested && now.since(asked) >= URGENT_INTERVAL {
        return Some(Duration::MAX);
    }
    if now.since(asked) < interval? {
        return None;
    }
    Some(now.since(asked).min(view.staleness(now)))
}
