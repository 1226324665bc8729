//! The sidecar as an in-process service.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use slog::info;

use crate::engine::Engine;
use crate::error::Kind;
use crate::error::Ran;
use crate::error::Result;
use crate::id::Incarnation;
use crate::id::RequestId;
use crate::ledger::DispatchDecision;
use crate::ledger::Ledger;
use crate::ledger::Refusal;
use crate::link::FrameStream;
use crate::process::Context;
use crate::store::ObjectApi;
use crate::tables::CurrentTables;
use crate::tables::Tables;
use crate::wire::Attach;
use crate::wire::Cancel;
use crate::wire::CloseKey;
use crate::wire::CloseKeyReply;
use crate::wire::Dispatch;
use crate::wire::EngineOrder;
use crate::wire::OrderReply;
use crate::wire::Report;
use crate::wire::ReportRequest;
use crate::wire::Revoke;
use crate::wire::RevokeReply;
use crate::wire::TablesSnapshot;

use super::apply::ledger_claim;
use super::background_tasks;
use super::frames;
use super::settings::Settings;
use super::shared_response::SharedResponse;
use super::state::Job;
use super::state::RequestMeta;
use super::state::Shared;
use super::state::State;
use super::state::StopSignals;

/// Time after the end of a response during which an entry whose connection went silent can
/// reattach.
const REATTACH_GRACE: Duration = Duration::from_secs(2);

/// One incarnation of a sidecar; clones share its state.
///
/// The methods mirror [`SidecarLink`](crate::link::SidecarLink), so that an entry in the same
/// process can call them without a connection.
#[derive(Debug, Clone)]
pub struct Service {
    pub(super) shared: Arc<Shared>,
}

impl Service {
    /// Starts an incarnation in front of `engine`, which ends when `cx.stop` is cancelled and all
    /// requests in progress have ended.
    ///
    /// Without `store`, tables and fencing tokens are received from entries only.
    #[must_use]
    pub fn start(
        settings: Settings,
        engine: Arc<dyn Engine>,
        store: Option<Arc<dyn ObjectApi>>,
        cx: Context,
    ) -> Self {
        let state = State::new(&settings, &cx);
        let shared = Arc::new(Shared {
            engine,
            store,
            tables: Arc::new(CurrentTables::default()),
            started_at: cx.timers.now(),
            state: Mutex::new(state),
            order_lock: tokio::sync::Mutex::new(()),
            settings,
            cx,
        });
        background_tasks::spawn(&shared);
        Self { shared }
    }

    /// Returns the identifier of this incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().ledger.incarnation()
    }

    /// Returns the tables in force in this sidecar.
    #[must_use]
    pub fn current_tables(&self) -> Arc<CurrentTables> {
        Arc::clone(&self.shared.tables)
    }

    /// Runs a request or returns a failure; a repeated request gets the response of its first run.
    #[expect(clippy::unused_async, reason = "mirrors the async methods of the link")]
    pub async fn dispatch(&self, msg: Dispatch) -> FrameStream {
        let shared = &self.shared;
        let now = shared.now();
        let claim = ledger_claim(&msg);
        let mut state = shared.lock();
        state.newest_announced_tables = state.newest_announced_tables.max(msg.tables);
        let precheck = shared.check_dispatch(&state, &msg);
        match state.ledger.accept(now, &claim, precheck) {
            DispatchDecision::Refuse(refusal) => {
                drop(state);
                shared.count("sidecar.refused", refusal.kind.as_str());
                let Refusal { kind, ran, detail } = refusal;
                frames::failure_stream(shared.failure(kind, ran, detail))
            }
            DispatchDecision::Attach(first) => {
                let response = share_response(&mut state, msg.request, first);
                drop(state);
                self.response_frames(response, 0)
            }
            DispatchDecision::Run => {
                let response = self.schedule(&mut state, msg);
                drop(state);
                frames::frame_stream(Arc::clone(shared), &response, 0)
            }
        }
    }

    /// Returns the frames of a known request, with the body starting at an offset.
    #[expect(clippy::unused_async, reason = "mirrors the async methods of the link")]
    pub async fn attach(&self, msg: Attach) -> FrameStream {
        let response = {
            let state = self.shared.lock();
            let is_current_incarnation = msg.incarnation == state.ledger.incarnation();
            let job = state
                .jobs
                .get(&msg.request)
                .filter(|_| is_current_incarnation);
            job.map(|j| j.response.clone())
        };
        self.response_frames(response, msg.offset)
    }

    /// Prevents a request from starting, or returns its progress if it has started.
    #[expect(clippy::unused_async, reason = "mirrors the async methods of the link")]
    pub async fn revoke(&self, msg: Revoke) -> RevokeReply {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let revoked = state.ledger.revoke(now, &msg);
        if revoked.was_waiting {
            state.scheduler.remove(msg.request);
            let detail = format!("request {} was revoked", msg.request);
            state.notify_not_run(msg.request, Kind::Revoked, detail);
        }
        revoked.reply
    }

    /// Stops a request whose caller has disconnected; a non-idempotent one only while it is queued.
    pub async fn cancel(&self, msg: Cancel) {
        let revoke = Revoke {
            request: msg.request,
            incarnation: msg.incarnation,
            mark: Ledger::mark(self.shared.now()),
        };
        if self.revoke(revoke).await != RevokeReply::Running {
            return;
        }
        let state = self.shared.lock();
        if let Some(job) = state.jobs.get(&msg.request)
            && !job.meta.non_idempotent
            && job.meta.request == msg.request
        {
            job.stop.cancelled.cancel();
        }
    }

    /// Returns whether an idempotency key was used here, and closes the key if it was not.
    #[expect(clippy::unused_async, reason = "mirrors the async methods of the link")]
    pub async fn close_key(&self, msg: CloseKey) -> CloseKeyReply {
        let now = self.shared.now();
        self.shared.lock().ledger.close_key(now, &msg)
    }

    /// Merges the gossip of an entry and returns the gossip and the load of this sidecar.
    #[expect(clippy::unused_async, reason = "mirrors the async methods of the link")]
    pub async fn report(&self, msg: ReportRequest) -> Report {
        let shared = &self.shared;
        let mut state = shared.lock();
        shared.merge_gossip(&mut state, &msg);
        Report {
            endpoint: shared.settings.endpoint.clone(),
            pool: shared.settings.pool.clone(),
            version: state.version.clone(),
            fence: state.fence.highest,
            load: shared.load_of(&state),
            brakes: state.brakes.to_vec(),
            split: state.split.clone(),
            outcomes: if msg.outcomes {
                state.outcomes.to_vec()
            } else {
                Vec::new()
            },
            cache: state.cache.changes_since(msg.cache_seq),
        }
    }

    /// Returns the newest tables known to this sidecar.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the tables cannot be encoded.
    #[expect(clippy::unused_async, reason = "mirrors the async methods of the link")]
    pub async fn tables(&self) -> Result<TablesSnapshot> {
        self.shared.tables.get().to_snapshot()
    }

    /// Puts tables in force if they are newer than the current ones.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] when the document is invalid.
    #[expect(clippy::unused_async, reason = "mirrors the async methods of the link")]
    pub async fn push_tables(&self, msg: TablesSnapshot) -> Result<()> {
        if msg.version <= self.shared.tables.get().version {
            return Ok(());
        }
        let tables = Tables::from_snapshot(&msg)?;
        if self.shared.tables.offer(tables) {
            info!(self.shared.cx.log, "tables in force"; "version" => msg.version.0);
        }
        Ok(())
    }

    /// Sends an order to the engine unless its fencing token is outdated.
    pub async fn order(&self, msg: EngineOrder) -> OrderReply {
        super::engine_order::execute(&self.shared, msg).await
    }

    /// Returns whether new requests are refused because the endpoint is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining(&self.shared.lock())
    }

    /// Returns the number of queued and running requests.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let state = self.shared.lock();
        state.scheduler.queued() + state.scheduler.running()
    }

    /// Waits until no request is queued or running and the time to reattach to the last response
    /// has passed.
    pub async fn wait_until_idle(&self) {
        while self.in_progress() > 0 || self.has_recent_response() {
            self.shared
                .cx
                .timers
                .after(background_tasks::TICK_INTERVAL)
                .await;
        }
    }

    fn has_recent_response(&self) -> bool {
        let last_response_at = self.shared.lock().last_response_at;
        last_response_at.is_some_and(|at| self.shared.now().since(at) < REATTACH_GRACE)
    }

    fn response_frames(&self, response: Option<SharedResponse>, offset: u64) -> FrameStream {
        if let Some(response) = response {
            return frames::frame_stream(Arc::clone(&self.shared), &response, offset);
        }
        let detail = "the request is not known to this sidecar".to_owned();
        frames::failure_stream(
            self.shared
                .failure(Kind::OutcomeUnknown, Ran::Maybe, detail),
        )
    }

    /// Passes an accepted request to the scheduler.
    fn schedule(&self, state: &mut State, msg: Dispatch) -> SharedResponse {
        let shared = &self.shared;
        let now = shared.now();
        let ticket = shared.admission_ticket(now, &msg);
        let prefill_tokens = msg.work.prefill_tokens;
        let job = Job {
            response: SharedResponse::new(),
            stop: StopSignals::default(),
            meta: RequestMeta {
                request: msg.request,
                route: msg.route,
                tier: msg.tier,
                version: msg.version,
                deadline: ticket.deadline,
                cost: ticket.cost,
                non_idempotent: msg.non_idempotent,
            },
            call: Some(msg.call),
        };
        let response = job.response.clone();
        state.jobs.insert(msg.request, job);
        let actions = state.scheduler.offer(now, ticket, prefill_tokens);
        shared.apply_actions(state, actions);
        response
    }
}

/// Gives a request that shares the run of `first` the same response.
fn share_response(
    state: &mut State,
    request: RequestId,
    first: RequestId,
) -> Option<SharedResponse> {
    let job = state.jobs.get(&first)?;
    let response = job.response.clone();
    if request != first {
        let shared = Job {
            response: response.clone(),
            stop: job.stop.clone(),
            meta: job.meta.clone(),
            call: None,
        };
        state.jobs.insert(request, shared);
    }
    Some(response)
}
