//! The sidecar as a service that can be called in-process.

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

use super::answer::Answer;
use super::frames;
use super::settings::Settings;
use super::state::Job;
use super::state::Meta;
use super::state::Shared;
use super::state::State;
use super::state::Stop;
use super::upkeep;
use super::work::claim_of;

/// Time after an answer's end within which an entry whose connection went silent asks again.
const REPLAY_GRACE: Duration = Duration::from_secs(2);

/// One life of a sidecar; clones share it.
///
/// Its methods mirror [`SidecarLink`](crate::link::SidecarLink), so an entry in the same
/// process can call it without a connection.
#[derive(Debug, Clone)]
pub struct Service {
    pub(super) shared: Arc<Shared>,
}

impl Service {
    /// Starts a life beside `engine`, which lasts until `cx.stop` is cancelled and all
    /// requests in progress have ended.
    ///
    /// Without `store`, tables and fencing tokens come from entries alone.
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
            orders: tokio::sync::Mutex::new(()),
            settings,
            cx,
        });
        upkeep::spawn(&shared);
        Self { shared }
    }

    /// Returns the life that this is.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.shared.lock().ledger.incarnation()
    }

    /// Returns the tables that are in force here.
    #[must_use]
    pub fn current_tables(&self) -> Arc<CurrentTables> {
        Arc::clone(&self.shared.tables)
    }

    /// Runs a request, or tells why not; known requests get the answer of their first run.
    #[expect(clippy::unused_async, reason = "mirrors the link, whose calls wait")]
    pub async fn dispatch(&self, msg: Dispatch) -> FrameStream {
        let shared = &self.shared;
        let now = shared.now();
        let claim = claim_of(&msg);
        let mut state = shared.lock();
        state.noted_tables = state.noted_tables.max(msg.tables);
        let outside = shared.check_dispatch(&state, &msg);
        match state.ledger.accept(now, &claim, outside) {
            DispatchDecision::Refuse(refusal) => {
                drop(state);
                shared.count("sidecar.refused", refusal.kind.as_str());
                let Refusal { kind, ran, detail } = refusal;
                frames::failed(shared.failure(kind, ran, detail))
            }
            DispatchDecision::Attach(first) => {
                let answer = share_answer(&mut state, msg.request, first);
                drop(state);
                self.frames_of(answer, 0)
            }
            DispatchDecision::Run => {
                let answer = self.admit(&mut state, msg);
                drop(state);
                frames::frames(Arc::clone(shared), &answer, 0)
            }
        }
    }

    /// Returns the frames of a known request from an offset on.
    #[expect(clippy::unused_async, reason = "mirrors the link, whose calls wait")]
    pub async fn attach(&self, msg: Attach) -> FrameStream {
        let answer = {
            let state = self.shared.lock();
            let is_ours = msg.incarnation == state.ledger.incarnation();
            let job = state.jobs.get(&msg.request).filter(|_| is_ours);
            job.map(|j| j.answer.clone())
        };
        self.frames_of(answer, msg.offset)
    }

    /// Makes sure that a request never starts, or tells how far it got.
    #[expect(clippy::unused_async, reason = "mirrors the link, whose calls wait")]
    pub async fn revoke(&self, msg: Revoke) -> RevokeReply {
        let now = self.shared.now();
        let mut state = self.shared.lock();
        let revoked = state.ledger.revoke(now, &msg);
        if revoked.was_waiting {
            state.scheduler.remove(msg.request);
            let detail = format!("request {} was revoked", msg.request);
            state.tell_not_run(msg.request, Kind::Revoked, detail);
        }
        revoked.reply
    }

    /// Stops a request whose caller has gone; a non-idempotent one only if it waits.
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

    /// Tells whether an idempotency key was used here, and closes it if not.
    #[expect(clippy::unused_async, reason = "mirrors the link, whose calls wait")]
    pub async fn close_key(&self, msg: CloseKey) -> CloseKeyReply {
        let now = self.shared.now();
        self.shared.lock().ledger.close_key(now, &msg)
    }

    /// Takes in what an entry knows and tells it what is known here.
    #[expect(clippy::unused_async, reason = "mirrors the link, whose calls wait")]
    pub async fn report(&self, msg: ReportRequest) -> Report {
        let shared = &self.shared;
        let mut state = shared.lock();
        shared.take_knowledge(&mut state, &msg);
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
            cache: state.cache.after(msg.cache_seq),
        }
    }

    /// Returns the newest tables that are known here.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Internal`] when the tables cannot be encoded.
    #[expect(clippy::unused_async, reason = "mirrors the link, whose calls wait")]
    pub async fn tables(&self) -> Result<TablesSnapshot> {
        self.shared.tables.get().to_snapshot()
    }

    /// Puts tables in force here if they are newer than those known.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::InvalidTables`] when the document is invalid.
    #[expect(clippy::unused_async, reason = "mirrors the link, whose calls wait")]
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

    /// Passes an order on to the engine unless its fencing token is outdated.
    pub async fn order(&self, msg: EngineOrder) -> OrderReply {
        super::order::carry_out(&self.shared, msg).await
    }

    /// Tells whether new work is refused because the endpoint is leaving.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.shared.is_draining(&self.shared.lock())
    }

    /// Returns the number of requests that wait or run.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        let state = self.shared.lock();
        state.scheduler.queued() + state.scheduler.running()
    }

    /// Waits until no request waits or runs, and until entries have had the time to ask again
    /// for the last answer.
    pub async fn idle(&self) {
        while self.in_progress() > 0 || self.has_fresh_answer() {
            self.shared.cx.timers.after(upkeep::TICK).await;
        }
    }

    fn has_fresh_answer(&self) -> bool {
        let last_end = self.shared.lock().last_end;
        last_end.is_some_and(|at| self.shared.now().since(at) < REPLAY_GRACE)
    }

    fn frames_of(&self, answer: Option<Answer>, offset: u64) -> FrameStream {
        if let Some(answer) = answer {
            return frames::frames(Arc::clone(&self.shared), &answer, offset);
        }
        let detail = "the request is not known here".to_owned();
        frames::failed(
            self.shared
                .failure(Kind::OutcomeUnknown, Ran::Maybe, detail),
        )
    }

    /// Puts an accepted request before the scheduler.
    fn admit(&self, state: &mut State, msg: Dispatch) -> Answer {
        let shared = &self.shared;
        let now = shared.now();
        let ticket = shared.ticket_of(now, &msg);
        let prefill_tokens = msg.work.prefill_tokens;
        let job = Job {
            answer: Answer::new(),
            stop: Stop::default(),
            meta: Meta {
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
        let answer = job.answer.clone();
        state.jobs.insert(msg.request, job);
        let actions = state.scheduler.offer(now, ticket, prefill_tokens);
        shared.perform(state, actions);
        answer
    }
}

/// Lets a request that shares the run of `first` share its answer too.
fn share_answer(state: &mut State, request: RequestId, first: RequestId) -> Option<Answer> {
    let job = state.jobs.get(&first)?;
    let answer = job.answer.clone();
    if request != first {
        let shared = Job {
            answer: answer.clone(),
            stop: job.stop.clone(),
            meta: job.meta.clone(),
            call: None,
        };
        state.jobs.insert(request, shared);
    }
    Some(answer)
}
