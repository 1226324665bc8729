//! Detects when a scenario reaches a step and runs the armed action there.

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

/// The processes at which a step was reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Index of the entry.
    pub entry: usize,
    /// Address of the sidecar.
    pub sidecar: SocketAddr,
}

/// The effect of a fault on the current message, besides its effect on processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// The message is delivered.
    Pass,
    /// The message is lost and its connection hangs.
    Hang,
}

/// The observed start of a request at an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Started {
    /// The time of the start.
    pub at: Monotonic,
    /// The sidecar of the endpoint.
    pub sidecar: SocketAddr,
    /// The pool of the endpoint.
    pub pool: PoolName,
    /// The tier of the request.
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
    dispatched: HashMap<RequestId, (Place, PoolName)>,
    started: Vec<Started>,
    accepted: usize,
}

/// Observes all links and engines of a testbed.
#[derive(Default)]
pub struct Probe {
    state: Mutex<State>,
}

impl Probe {
    /// Creates a probe without an armed action.
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

    /// Returns whether no action is armed, as after the armed action has run.
    #[must_use]
    pub fn has_fired(&self) -> bool {
        self.lock().armed.is_none()
    }

    /// Records the dispatch of a request.
    pub fn record_dispatch(&self, request: RequestId, place: Place, pool: PoolName) {
        self.lock().dispatched.insert(request, (place, pool));
    }

    /// Records that an entry received a request.
    pub fn record_accepted(&self) {
        self.lock().accepted += 1;
    }

    /// Returns the number of requests that were received but not dispatched.
    #[must_use]
    pub fn waiting(&self) -> usize {
        let state = self.lock();
        state.accepted.saturating_sub(state.dispatched.len())
    }

    /// Records that an engine started a request.
    pub fn record_start(&self, started: Started) {
        self.lock().started.push(started);
    }

    /// Returns all recorded starts.
    #[must_use]
    pub fn started(&self) -> Vec<Started> {
        self.lock().started.clone()
    }

    /// Reports that a request reached a step; returns the effect of the armed action, if it runs.
    pub fn report_step(&self, step: Step, request: RequestId) -> Effect {
        let armed = self.lock().take_action(step, request);
        match armed {
            Some((action, place)) => action(place),
            None => Effect::Pass,
        }
    }

    /// Reports that a request to `pool` reached a step at which it has no id yet.
    pub fn report_step_at(&self, step: Step, place: Place, pool: &PoolName) {
        let armed = self.lock().take_action_at(step, pool);
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
    fn take_action(&mut self, step: Step, request: RequestId) -> Option<(Action, Place)> {
        let (place, pool) = self.dispatched.get(&request)?.clone();
        let action = self.take_action_at(step, &pool)?;
        Some((action, place))
    }

    fn take_action_at(&mut self, step: Step, pool: &PoolName) -> Option<Action> {
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
