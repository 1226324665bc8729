//! One dispatch of a request, from its message to the sidecar to the last frame of the response.

use std::sync::Arc;

use futures_util::StreamExt;
use tokio::sync::mpsc;

use super::DispatchResult;
use super::IDLE_TIMEOUT;
use super::RESOLVE_TIMEOUT;
use super::RequestResult;
use super::TaskEvent;
use crate::entry::classify::ClassifiedRequest;
use crate::entry::dispatch_state::DispatchAction;
use crate::entry::dispatch_state::DispatchState;
use crate::entry::dispatch_state::LinkEvent;
use crate::entry::dispatch_state::ResponsePart;
use crate::entry::shared::Shared;
use crate::error::Error;
use crate::error::Kind;
use crate::id::RequestId;
use crate::link::FrameStream;
use crate::link::LinkError;
use crate::proof::DispatchPermit;
use crate::retry::Backoff;
use crate::routing::Candidate;
use crate::routing::Outcome;
use crate::time::Monotonic;
use crate::wire::Attach;
use crate::wire::Cancel;
use crate::wire::Dispatch;
use crate::wire::Frame;
use crate::wire::Load;
use crate::wire::Revoke;

/// A dispatch in progress: performs the actions of a [`DispatchState`].
pub(super) struct ActiveDispatch<'a> {
    shared: &'a Arc<Shared>,
    req: &'a ClassifiedRequest,
    request: RequestId,
    candidate: &'a Candidate,
    sent_at: Monotonic,
    outcome: Outcome,
}

impl<'a> ActiveDispatch<'a> {
    /// Creates a dispatch that has not been sent yet.
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        req: &'a ClassifiedRequest,
        request: RequestId,
        candidate: &'a Candidate,
    ) -> Self {
        Self {
            shared,
            req,
            request,
            candidate,
            sent_at: shared.now(),
            outcome: Outcome::Neutral,
        }
    }

    /// Sends the dispatch and follows it to its end; parts of the response go to `response_tx`.
    pub(super) async fn run(
        &mut self,
        _unsent_proof: DispatchPermit,
        msg: Dispatch,
        response_tx: &mpsc::Sender<TaskEvent>,
        first_byte_at: &mut Option<Monotonic>,
    ) -> DispatchResult {
        let mut dispatch_state = DispatchState::new();
        let call = self
            .shared
            .link()
            .dispatch(self.candidate.endpoint.sidecar, msg);
        let opened = self.shared.timers().limit(IDLE_TIMEOUT, call).await;
        let mut stream = None;
        let mut event = self.first_event(opened, &mut stream).await;
        let mut backoff = Backoff::new();
        loop {
            self.record_event(&event);
            match dispatch_state.handle(event) {
                DispatchAction::Read => event = self.read(&mut stream).await,
                DispatchAction::Forward(part) => {
                    first_byte_at.get_or_insert(self.shared.now());
                    self.record_part(&part);
                    // A disconnected caller is handled by the owner of this dispatch.
                    let _received = response_tx.send(TaskEvent::Part(part)).await;
                    event = self.read(&mut stream).await;
                }
                DispatchAction::Attach(offset) => {
                    stream = None;
                    self.shared.count_for_pool("resume", &self.req.pool.name);
                    event = self.attach(offset, &mut stream, &mut backoff).await;
                }
                DispatchAction::Revoke => {
                    stream = None;
                    event = self.revoke(&mut backoff).await;
                }
                DispatchAction::NotRun(proof) => return DispatchResult::NotRun(proof),
                DispatchAction::Finish(usage) => {
                    if self.outcome == Outcome::Neutral {
                        self.outcome = Outcome::Success;
                    }
                    return DispatchResult::Ended(RequestResult::Completed(usage));
                }
                DispatchAction::Fail(e, ran) => {
                    if is_endpoint_failure(e.kind()) {
                        self.outcome = Outcome::Failure;
                    }
                    return DispatchResult::Ended(RequestResult::Failed(e, ran));
                }
            }
        }
    }

    async fn attach(
        &self,
        offset: u64,
        stream: &mut Option<FrameStream>,
        backoff: &mut Backoff,
    ) -> LinkEvent {
        let msg = Attach {
            request: self.request,
            incarnation: self.candidate.incarnation,
            offset,
        };
        let wait = self.shared.next_backoff(backoff);
        self.shared.timers().after(wait).await;
        let call = self
            .shared
            .link()
            .attach(self.candidate.endpoint.sidecar, msg);
        let opened = self.shared.timers().limit(RESOLVE_TIMEOUT, call).await;
        self.first_event(opened, stream).await
    }

    async fn revoke(&self, backoff: &mut Backoff) -> LinkEvent {
        let msg = Revoke {
            request: self.request,
            incarnation: self.candidate.incarnation,
            mark: self.candidate.mark,
        };
        let wait = self.shared.next_backoff(backoff);
        self.shared.timers().after(wait).await;
        let call = self
            .shared
            .link()
            .revoke(self.candidate.endpoint.sidecar, msg);
        match self.shared.timers().limit(RESOLVE_TIMEOUT, call).await {
            Some(Ok(reply)) => LinkEvent::Revoked(reply),
            Some(Err(e)) => LinkEvent::RevokeFailed(e),
            None => LinkEvent::RevokeFailed(LinkError::Broken(Error::new(
                Kind::StreamBroken,
                "revocation timed out",
            ))),
        }
    }

    async fn first_event(
        &self,
        opened: Option<Result<FrameStream, LinkError>>,
        stream: &mut Option<FrameStream>,
    ) -> LinkEvent {
        match opened {
            Some(Ok(frames)) => {
                *stream = Some(frames);
                self.read(stream).await
            }
            Some(Err(e)) => LinkEvent::CallFailed(e),
            None => LinkEvent::IdleTimeout,
        }
    }

    async fn read(&self, stream: &mut Option<FrameStream>) -> LinkEvent {
        let Some(frames) = stream else {
            return LinkEvent::Broken(Error::new(Kind::Internal, "no response stream is open"));
        };
        match self
            .shared
            .timers()
            .limit(IDLE_TIMEOUT, frames.next())
            .await
        {
            Some(Some(Ok(frame))) => LinkEvent::Frame(frame),
            Some(Some(Err(e))) => LinkEvent::Broken(e),
            Some(None) => LinkEvent::Broken(Error::new(
                Kind::StreamBroken,
                "response stream ended without a final frame",
            )),
            None => LinkEvent::IdleTimeout,
        }
    }

    /// Records the load and the endpoint outcome carried by an event.
    fn record_event(&mut self, event: &LinkEvent) {
        match event {
            LinkEvent::Frame(Frame::Queued(load) | Frame::Final { load, .. }) => self.report(*load),
            LinkEvent::Frame(Frame::Failed(failure)) => self.report(failure.load),
            LinkEvent::CallFailed(_) | LinkEvent::IdleTimeout | LinkEvent::Broken(_) => {
                self.outcome = Outcome::Unreachable;
            }
            LinkEvent::Frame(_) | LinkEvent::Revoked(_) | LinkEvent::RevokeFailed(_) => {}
        }
    }

    fn record_part(&mut self, part: &ResponsePart) {
        if let ResponsePart::Head { status, .. } = part
            && *status >= 500
        {
            self.outcome = Outcome::Failure;
        }
    }

    fn report(&self, load: Load) {
        self.shared
            .observe_load(&self.req.pool.name, self.candidate, self.sent_at, load);
    }

    /// Cancels the request at the sidecar.
    pub(super) async fn cancel(&self) {
        let msg = Cancel {
            request: self.request,
            incarnation: self.candidate.incarnation,
        };
        self.shared.count_for_pool("cancel", &self.req.pool.name);
        let call = self
            .shared
            .link()
            .cancel(self.candidate.endpoint.sidecar, msg);
        // If the sidecar cannot be reached, the deadline of the request ends it there.
        let _sent = self.shared.timers().limit(RESOLVE_TIMEOUT, call).await;
    }
}

impl Drop for ActiveDispatch<'_> {
    fn drop(&mut self) {
        let now = self.shared.now();
        let pool = &self.req.pool.name;
        let endpoint = &self.candidate.endpoint.name;
        let mut state = self.shared.lock_state();
        state
            .router
            .ended(now, pool, endpoint, self.request, self.outcome);
        state.grant_endpoints(now, pool);
    }
}

const fn is_endpoint_failure(kind: Kind) -> bool {
    matches!(
        kind,
        Kind::EndpointFailed | Kind::StreamBroken | Kind::OutcomeUnknown
    )
}
