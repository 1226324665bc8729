//! The entry as an in-process service.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task;
use std::task::Poll;

use bytes::Bytes;
use bytes::BytesMut;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::classify;
use super::classify::CallerRequest;
use super::classify::ClassifiedRequest;
use super::dispatch_state::ResponsePart;
use super::histograms::LatencySummary;
use super::poll;
use super::request_task::RESPONSE_BUFFER_PARTS;
use super::request_task::RequestTask;
use super::request_task::TaskEvent;
use super::request_task::error_event;
use super::response::CallerResponse;
use super::response::ResponseBody;
use super::response::ResponseHead;
use super::settings::Settings;
use super::shared::Shared;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::error::Result;
use crate::id::RequestId;
use crate::link::SidecarLink;
use crate::membership::LeavingEndpoint;
use crate::membership::MembershipTracker;
use crate::num;
use crate::process::Context;
use crate::routing::GossipState;
use crate::tables::CurrentTables;
use crate::wire::Header;

/// Size up to which a response is buffered until it is complete; event streams are not buffered.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

const EVENT_STREAM_TYPE: &[u8] = b"text/event-stream";

/// An entry without its listener.
///
/// Clones share one entry. Dropping a clone does not cancel requests in progress.
#[derive(Clone)]
pub struct Service {
    shared: Arc<Shared>,
    tracker: TaskTracker,
}

impl Service {
    /// Creates an entry that calls sidecars through `link`, and starts its polling loop.
    ///
    /// The loop ends when `cx.stop` is cancelled.
    #[must_use]
    pub fn new(
        settings: Settings,
        link: Arc<dyn SidecarLink>,
        tables: Arc<CurrentTables>,
        cx: Context,
    ) -> Self {
        let shared = Arc::new(Shared::new(settings, link, tables, cx));
        shared.sync_tables();
        tokio::spawn(poll::run(Arc::clone(&shared)));
        Self {
            shared,
            tracker: TaskTracker::new(),
        }
    }

    /// Handles one request; errors are returned as responses.
    pub async fn call(&self, req: CallerRequest) -> CallerResponse {
        let request = self.shared.new_request();
        let tables = self.shared.tables.get();
        match classify::classify(&tables, req) {
            Ok(classified) => self.run(request, classified).await,
            Err(e) => {
                let ran = e.kind().answer().ran;
                CallerResponse::from_error(request, &e, ran)
            }
        }
    }

    /// Creates the response to a request that failed before it was classified.
    #[must_use]
    pub fn refuse(&self, err: &Error) -> CallerResponse {
        CallerResponse::from_error(self.shared.new_request(), err, err.kind().answer().ran)
    }

    /// Returns the largest body that a request to `path` may have.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::UnknownRoute`] when no route matches the path.
    pub fn max_body_bytes(&self, path: &str) -> Result<usize> {
        classify::max_body_bytes(&self.shared.tables.get(), path)
    }

    /// Returns whether the entry is ready: it is not stopping, has confirmed tables, and has
    /// a load report from an endpoint of every pool.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let is_stopping = self.shared.cx.stop.is_cancelled();
        self.shared.has_tables() && !is_stopping && self.shared.lock_state().router.has_reports()
    }

    /// Returns the latencies per tier and client account.
    #[must_use]
    pub fn histograms(&self) -> Vec<LatencySummary> {
        self.shared.lock_state().histograms.to_summaries()
    }

    /// Reads or extends the gossip state: brakes, splits and leaving endpoints.
    ///
    /// Additions are sent to the sidecars immediately.
    pub fn with_gossip_state<T>(&self, f: impl FnOnce(&mut GossipState) -> T) -> T {
        let now = self.shared.now();
        let mut entry_state = self.shared.lock_state();
        let gossip = entry_state.router.gossip_mut();
        let changes_before = gossip.changes();
        let result = f(gossip);
        if gossip.changes() != changes_before {
            entry_state.router.request_all_reports();
            entry_state.grant_endpoints_in_all_pools(now);
            drop(entry_state);
            self.shared.poll_requested.notify_one();
        }
        result
    }

    /// Follows the platform's list of leaving endpoints until the process stops.
    pub fn follow_membership(&self, membership: &Arc<MembershipTracker>) {
        // A second call would follow the same list twice.
        if self.shared.membership.set(Arc::clone(membership)).is_ok() {
            let stop = self.shared.cx.stop.clone();
            let follow = follow_leaving(self.clone(), membership.leaving());
            tokio::spawn(stop.run_until_cancelled_owned(follow));
        }
    }

    /// Waits until all requests have ended; no new requests may be made.
    pub async fn wait_until_idle(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }

    async fn run(&self, request: RequestId, req: ClassifiedRequest) -> CallerResponse {
        let accepted_at = self.shared.now();
        let (tx, rx) = mpsc::channel(RESPONSE_BUFFER_PARTS);
        let run = RequestTask {
            shared: Arc::clone(&self.shared),
            deadline: accepted_at + req.time_limit,
            accepted_at,
            request,
            req,
            response_tx: tx,
            first_byte_at: None,
        };
        self.tracker.spawn(run.run_to_end());
        to_response(request, rx).await
    }
}

impl fmt::Debug for Service {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Service")
            .field("name", &self.shared.settings.name)
            .finish_non_exhaustive()
    }
}

impl tower::Service<CallerRequest> for Service {
    type Response = CallerResponse;
    type Error = Infallible;
    type Future = Pin<Box<dyn Future<Output = Result<CallerResponse, Infallible>> + Send>>;

    fn poll_ready(&mut self, _cx: &mut task::Context<'_>) -> Poll<Result<(), Infallible>> {
        // Always ready: requests wait in the queues by tier, not in front of the service.
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, req: CallerRequest) -> Self::Future {
        let service = self.clone();
        Box::pin(async move { Ok(Self::call(&service, req).await) })
    }
}

/// Waits for the response head, and for the complete body if it is short and not an event stream.
async fn to_response(request: RequestId, mut rx: mpsc::Receiver<TaskEvent>) -> CallerResponse {
    let (status, headers) = match rx.recv().await {
        Some(TaskEvent::Part(ResponsePart::Head { status, headers })) => (status, headers),
        Some(TaskEvent::Failed(e, ran)) => return CallerResponse::from_error(request, &e, ran),
        Some(TaskEvent::Part(ResponsePart::Data(_)) | TaskEvent::Completed) | None => {
            let err = Error::new(Kind::Internal, "response body received before its head");
            return CallerResponse::from_error(request, &err, Ran::Maybe);
        }
    };
    let mut head = ResponseHead {
        status,
        headers,
        ran: Ran::Maybe,
        request,
        retry_after_s: None,
        content_length: None,
    };
    if is_event_stream(&head.headers) {
        return CallerResponse {
            head,
            body: stream_body(VecDeque::new(), rx, FailureSignal::ErrorEvent),
        };
    }
    let mut collected = BytesMut::new();
    loop {
        match rx.recv().await {
            Some(TaskEvent::Part(ResponsePart::Data(bytes))) => collected.extend_from_slice(&bytes),
            Some(TaskEvent::Part(ResponsePart::Head { .. })) => {}
            Some(TaskEvent::Completed) => {
                head.ran = Ran::Yes;
                head.content_length = Some(num::count(collected.len()));
                let body = futures_util::stream::iter([Ok(collected.freeze())]);
                return CallerResponse {
                    head,
                    body: Box::pin(body),
                };
            }
            Some(TaskEvent::Failed(e, ran)) => return CallerResponse::from_error(request, &e, ran),
            None => return CallerResponse::from_error(request, &task_ended_error(), Ran::Maybe),
        }
        if collected.len() > MAX_BUFFERED_BYTES {
            let buffered = VecDeque::from([collected.freeze()]);
            return CallerResponse {
                head,
                body: stream_body(buffered, rx, FailureSignal::Abort),
            };
        }
    }
}

/// How an incomplete response is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum FailureSignal {
    /// With an error event, then by aborting the connection or stream.
    ErrorEvent,
    /// By aborting the connection or stream.
    Abort,
}

struct StreamState {
    buffered: VecDeque<Bytes>,
    rx: mpsc::Receiver<TaskEvent>,
    failure_signal: FailureSignal,
    pending_error: Option<Error>,
    is_ended: bool,
}

fn stream_body(
    buffered: VecDeque<Bytes>,
    rx: mpsc::Receiver<TaskEvent>,
    failure_signal: FailureSignal,
) -> ResponseBody {
    let state = StreamState {
        buffered,
        rx,
        failure_signal,
        pending_error: None,
        is_ended: false,
    };
    Box::pin(futures_util::stream::unfold(state, |mut state| async {
        let item = state.next().await?;
        Some((item, state))
    }))
}

impl StreamState {
    async fn next(&mut self) -> Option<Result<Bytes>> {
        if let Some(bytes) = self.buffered.pop_front() {
            return Some(Ok(bytes));
        }
        if let Some(err) = self.pending_error.take() {
            // The server flushes its buffer only when the body is pending, so yield once before
            // the error aborts the connection.
            tokio::task::yield_now().await;
            self.is_ended = true;
            return Some(Err(err));
        }
        if self.is_ended {
            return None;
        }
        loop {
            match self.rx.recv().await {
                Some(TaskEvent::Part(ResponsePart::Data(bytes))) => return Some(Ok(bytes)),
                Some(TaskEvent::Part(ResponsePart::Head { .. })) => {}
                Some(TaskEvent::Completed) => {
                    self.is_ended = true;
                    return None;
                }
                Some(TaskEvent::Failed(e, ran)) => return Some(self.fail(e, ran)),
                None => return Some(self.fail(task_ended_error(), Ran::Maybe)),
            }
        }
    }

    fn fail(&mut self, err: Error, ran: Ran) -> Result<Bytes> {
        if self.failure_signal == FailureSignal::Abort {
            self.is_ended = true;
            return Err(err);
        }
        let event = error_event(&err, ran);
        self.pending_error = Some(err);
        Ok(event)
    }
}

fn is_event_stream(headers: &[Header]) -> bool {
    headers
        .iter()
        .any(|h| h.name == "content-type" && h.value.starts_with(EVENT_STREAM_TYPE))
}

fn task_ended_error() -> Error {
    Error::new(Kind::Internal, "request task ended without a response")
}

/// Keeps the leaving endpoints of the gossip state equal to the platform's list.
async fn follow_leaving(service: Service, mut leaving: watch::Receiver<Vec<LeavingEndpoint>>) {
    while leaving.changed().await.is_ok() {
        let listed = leaving.borrow_and_update().clone();
        service.with_gossip_state(|gossip| {
            gossip.clear_leaving();
            for row in listed {
                gossip.add_leaving(row.pool, row.endpoint);
            }
        });
    }
}
