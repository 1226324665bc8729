//! Tells when a course reaches a step, and injects the fault there.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use eelgrassramp::Monotonic;
use eelgrassramp::PoolName;
use eelgrassramp::RequestId;
use eelgrassramp::Tier;

use super::step::Step;

/// Where a step was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Index of the entry.
    pub entry: usize,
    /// Address of the sidecar.
    pub sidecar: SocketAddr,
}

/// What happens to the message at hand, besides what the fault does to processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// It goes on.
    Pass,
    /// It is lost, and its connection stays silent for good.
    Silence,
}

/// A request that an engine was seen to start.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// When.
    pub at: Monotonic,
    /// The sidecar of the endpoint.
    pub sidecar: SocketAddr,
    /// The pool that served it.
    pub pool: PoolName,
    /// Its tier.
    pub tier: Tier,
}

type Action = Box<dyn FnOnce(Place) -> Effect + Send>;

struct Armed {
    step: Step,
    pool: PoolName,
    action: Action,
}

#[derive(Default)]
struct State {
    armed: Option<Armed>,
    places: HashMap<RequestId, (Place, PoolName)>,
    started: Vec<Started>,
    accepted: usize,
}

/// Watches all links and engines of a scene.
#[derive(Default)]
pub struct Probe {
    state: Mutex<State>,
}

impl Probe {
    /// Creates a probe that lets everything pass.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self::default())
    }

    /// Runs `action` when a request to `pool` first reaches `step`.
    pub fn arm(
        &self,
        step: Step,
        pool: PoolName,
        action: impl FnOnce(Place) -> Effect + Send + 'static,
    ) {
        let action = Box::new(action);
        self.lock().armed = Some(Armed { step, pool, action });
    }

    /// Tells whether the armed action has run.
    #[must_use]
    pub fn has_fired(&self) -> bool {
        self.lock().armed.is_none()
    }

    /// Notes which way a request takes.
    pub fn note(&self, request: RequestId, place: Place, pool: PoolName) {
        self.lock().places.insert(request, (place, pool));
    }

    /// Notes that an entry got a request.
    pub fn note_accepted(&self) {
        self.lock().accepted += 1;
    }

    /// Returns the number of requests that an entry got and has not dispatched.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let state = self.lock();
        state.accepted.saturating_sub(state.places.len())
    }

    /// Notes that an engine started a request.
    pub fn note_start(&self, started: Started) {
        self.lock().started.push(started);
    }

    /// Returns all starts that were noted.
    #[must_use]
    pub fn started(&self) -> Vec<Started> {
        self.lock().started.clone()
    }

    /// Tells that a request has reached a step.
    pub fn reach(&self, step: Step, request: RequestId) -> Effect {
        let armed = self.lock().take(step, request);
        match armed {
            Some((action, place)) => action(place),
            None => Effect::Pass,
        }
    }

    /// Tells that a request to `pool` has reached a step before it has an identity.
    pub fn reach_at(&self, step: Step, place: Place, pool: &PoolName) {
        let armed = self.lock().take_at(step, pool);
        if let Some(action) = armed {
            action(place);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let state = self.state.lock();
        state.expect("no panic while the probe is locked")
    }
}

impl State {
    fn take(&mut self, step: Step, request: RequestId) -> Option<(Action, Place)> {
        let (place, pool) = self.places.get(&request)?.clone();
        let action = self.take_at(step, &pool)?;
        Some((action, place))
    }

    fn take_at(&mut self, step: Step, pool: &PoolName) -> Option<Action> {
        let armed = self
            .armed
            .take_if(|armed| armed.step == step && armed.pool == *pool)?;
        Some(armed.action)
    }
}

impl fmt::Debug for Probe {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Probe")
            .field("has_fired", &self.has_fired())
            .finish_non_exhaustive()
    }
}
