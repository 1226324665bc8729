//! Applies scheduler actions and the gossip received from entries to the sidecar's state.

use std::sync::Arc;
use std::time::Duration;

use slog::info;

use crate::admission::Ticket;
use crate::id::RequestId;
use crate::key;
use crate::ledger::DispatchHeader;
use crate::ledger::IdempotencyInfo;
use crate::time::Monotonic;
use crate::wire::Dispatch;
use crate::wire::ReportRequest;

use super::run::Run;
use super::scheduler::SchedulerAction;
use super::state::Shared;
use super::state::State;

/// Maximum deadline of a request, counted from its arrival.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

impl Shared {
    /// Carries out the actions decided by the scheduler.
    pub(super) fn apply_actions(
        self: &Arc<Self>,
        state: &mut State,
        actions: Vec<SchedulerAction>,
    ) {
        for action in actions {
            match action {
                SchedulerAction::Start(request) => self.start_run(state, request),
                SchedulerAction::Refuse { request, kind } => {
                    self.count("sidecar.refused", kind.as_str());
                    let detail = format!("request {request} was refused before it started");
                    state.end_without_running(self.now(), request, kind, detail);
                }
                SchedulerAction::Preempt(request) => {
                    if let Some(job) = state.jobs.get(&request) {
                        job.stop.preempted.cancel();
                    }
                }
            }
        }
    }

    fn start_run(self: &Arc<Self>, state: &mut State, request: RequestId) {
        state
            .ledger
            .start(request)
            .expect("the ledger holds every scheduled request as waiting");
        let job = state
            .jobs
            .get_mut(&request)
            .expect("every scheduled request has a job");
        let call = job.call.take().expect("a request is started only once");
        job.response.mark_started();
        let run = Run {
            shared: Arc::clone(self),
            meta: job.meta.clone(),
            response: job.response.clone(),
            stop: job.stop.clone(),
        };
        tokio::spawn(run.run(call));
    }

    pub(super) fn admission_ticket(&self, now: Monotonic, msg: &Dispatch) -> Ticket {
        let tables = self.tables.get();
        let pool = tables.pools.get(&msg.pool);
        let weight = pool.and_then(|p| p.weights.get(&msg.account)).copied();
        Ticket {
            request: msg.request,
            tier: msg.tier,
            account: msg.account.clone(),
            weight: weight.unwrap_or(1),
            deadline: now + msg.deadline().min(MAX_DEADLINE),
            cost: msg.work.cost(),
            non_idempotent: msg.non_idempotent,
        }
    }

    /// Merges the gossip of an entry; known brakes, splits and leave signals are never withdrawn.
    pub(super) fn merge_gossip(&self, state: &mut State, msg: &ReportRequest) {
        state.newest_announced_tables = state.newest_announced_tables.max(msg.tables);
        if state.brakes.merge(msg.brakes.iter().cloned()) {
            info!(self.cx.log, "brakes received"; "brakes" => state.brakes.len());
        }
        if !state.is_leaving && msg.leaving.contains(&self.settings.endpoint) {
            state.is_leaving = true;
            info!(self.cx.log, "endpoint is leaving"; "signal" => "entry");
        }
        if let Some(split) = &msg.split
            && split.pool == self.settings.pool
            && split.seq > state.split_seq()
        {
            state.split = Some(split.clone());
        }
        if msg.order_pressure > 0 {
            state.scheduler.note_order_pressure(self.now());
        }
    }
}

/// Returns the part of a dispatch that the ledger needs for its decision.
pub(super) fn ledger_claim(msg: &Dispatch) -> DispatchHeader {
    let key = msg.key.map(|key| IdempotencyInfo {
        key,
        made_ms: msg.key_time_ms,
        fingerprint: key::body_hash(&msg.call.method, &msg.call.path, &msg.call.body),
        non_idempotent: msg.non_idempotent,
    });
    DispatchHeader {
        request: msg.request,
        attempt: msg.attempt,
        incarnation: msg.incarnation,
        mark: msg.mark,
        key,
    }
}
