//! What follows from a decision: runs that begin, requests that end, knowledge that is merged.

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
use super::scheduler::Action;
use super::state::Shared;
use super::state::State;

/// Longest time that any request gets.
const MAX_DEADLINE: Duration = Duration::from_hours(1);

impl Shared {
    /// Does what the scheduler decided.
    pub(super) fn perform(self: &Arc<Self>, state: &mut State, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(request) => self.begin(state, request),
                Action::Refuse { request, kind } => {
                    self.count("sidecar.refused", kind.as_str());
                    let detail = format!("request {request} was not started");
                    state.end_not_run(self.now(), request, kind, detail);
                }
                Action::Preempt(request) => {
                    if let Some(job) = state.jobs.get(&request) {
                        job.stop.preempted.cancel();
                    }
                }
            }
        }
    }

    fn begin(self: &Arc<Self>, state: &mut State, request: RequestId) {
        state
            .ledger
            .start(request)
            .expect("a scheduled request waits in the ledger");
        let job = state
            .jobs
            .get_mut(&request)
            .expect("a scheduled request has a job");
        let call = job.call.take().expect("a call is given away once");
        job.answer.start();
        let run = Run {
            shared: Arc::clone(self),
            meta: job.meta.clone(),
            answer: job.answer.clone(),
            stop: job.stop.clone(),
        };
        tokio::spawn(run.run(call));
    }

    pub(super) fn ticket_of(&self, now: Monotonic, msg: &Dispatch) -> Ticket {
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

    /// Merges what an entry knows; nothing is ever taken back.
    pub(super) fn take_knowledge(&self, state: &mut State, msg: &ReportRequest) {
        state.noted_tables = state.noted_tables.max(msg.tables);
        if state.brakes.merge(msg.brakes.iter().cloned()) {
            info!(self.cx.log, "brakes learned"; "brakes" => state.brakes.len());
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
            state.scheduler.press(self.now());
        }
    }
}

/// Returns the part of a dispatch that the ledger decides by.
pub(super) fn claim_of(msg: &Dispatch) -> DispatchHeader {
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
