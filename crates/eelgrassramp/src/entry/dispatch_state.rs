//! The state machine of one dispatch, without I/O.
//!
//! [`DispatchState`] turns the events of a dispatch (frames, broken connections, idle
//! timeouts, replies to a revocation) into the next action. It alone decides when an outcome is
//! ambiguous and how it is resolved: see `docs/design/retry.md`, "Ambiguous outcomes".

use bytes::Bytes;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Ran;
use crate::link::LinkError;
use crate::num;
use crate::proof::NotRun;
use crate::wire::Failure;
use crate::wire::Frame;
use crate::wire::Header;
use crate::wire::RevokeReply;
use crate::wire::Usage;

/// Number of consecutive failed attach and revoke calls after which the outcome counts as unknown.
pub const MAX_FAILED_RESUMES: u32 = 4;

/// An event of a dispatch, as reported by the link to the sidecar.
#[derive(Debug)]
pub enum LinkEvent {
    /// The dispatch or attach call failed before it returned a stream.
    CallFailed(LinkError),
    /// A frame was received.
    Frame(Frame),
    /// The stream broke or ended without a final frame.
    Broken(Error),
    /// Nothing was received within the idle timeout, not even a heartbeat.
    IdleTimeout,
    /// The sidecar replied to the revocation.
    Revoked(RevokeReply),
    /// The revocation call failed.
    RevokeFailed(LinkError),
}

/// The next action of the entry.
#[derive(Debug)]
pub enum DispatchAction {
    /// Read the next frame of the open stream.
    Read,
    /// Forward a part of the response to the caller, then read the next frame.
    Forward(ResponsePart),
    /// Drop the stream and attach to the request on a new connection from this body offset.
    Attach(u64),
    /// Drop the stream and revoke the request on a new connection, so that it does not start.
    Revoke,
    /// The request did not run and may be dispatched again.
    NotRun(NotRun),
    /// Report to the caller that the response is complete.
    Finish(Usage),
    /// Report to the caller that the request failed or that its response is incomplete.
    Fail(Error, Ran),
}

/// A part of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponsePart {
    /// Status and headers.
    Head {
        /// HTTP status of the endpoint's response.
        status: u16,
        /// Headers that are forwarded.
        headers: Vec<Header>,
    },
    /// The next bytes of the body.
    Data(Bytes),
}

/// How far the request is known to have progressed at the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// It is not known whether the dispatch arrived.
    Unconfirmed,
    /// The sidecar has recorded the request in its ledger.
    Confirmed,
    /// The sidecar has handed the request to the engine.
    Started,
}

/// The call whose outcome the dispatch is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Dispatch,
    Attach,
    Revoke,
    Nothing,
}

/// The state of one dispatch as known to the entry.
#[derive(Debug)]
pub struct DispatchState {
    progress: Progress,
    pending: Pending,
    head_forwarded: bool,
    forwarded_bytes: u64,
    failed_resumes: u32,
}

impl Default for DispatchState {
    fn default() -> Self {
        Self::new()
    }
}

impl DispatchState {
    /// Creates the state of a dispatch whose message was just handed to the link.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            progress: Progress::Unconfirmed,
            pending: Pending::Dispatch,
            head_forwarded: false,
            forwarded_bytes: 0,
            failed_resumes: 0,
        }
    }

    /// Returns whether the request is known to have been handed to the engine.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.progress == Progress::Started
    }

    /// Returns the number of body bytes forwarded to the caller.
    #[must_use]
    pub const fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes
    }

    /// Handles an event and returns the next action.
    ///
    /// # Panics
    ///
    /// Panics when called after the dispatch has ended, which is a bug in the calling code.
    pub fn handle(&mut self, event: LinkEvent) -> DispatchAction {
        assert!(
            self.pending != Pending::Nothing,
            "event after the dispatch has ended"
        );
        let action = match event {
            LinkEvent::CallFailed(e) => self.on_call_failed(e),
            LinkEvent::Frame(frame) => self.on_frame(frame),
            LinkEvent::Broken(e) => self.on_connection_lost(&e),
            LinkEvent::IdleTimeout => self.on_connection_lost(&Error::new(
                Kind::StreamBroken,
                "connection idle: no frame or heartbeat received in time",
            )),
            LinkEvent::Revoked(reply) => self.on_revoked(reply),
            LinkEvent::RevokeFailed(e) => self.on_revoke_failed(e),
        };
        self.apply(&action);
        action
    }

    fn apply(&mut self, action: &DispatchAction) {
        match action {
            DispatchAction::Attach(offset) => {
                assert_eq!(
                    *offset, self.forwarded_bytes,
                    "attach must resume at the number of bytes forwarded"
                );
                self.pending = Pending::Attach;
            }
            DispatchAction::Revoke => self.pending = Pending::Revoke,
            DispatchAction::NotRun(_) => {
                assert!(
                    !self.head_forwarded,
                    "a response was forwarded for a request that did not run"
                );
                self.pending = Pending::Nothing;
            }
            DispatchAction::Finish(_) | DispatchAction::Fail(..) => self.pending = Pending::Nothing,
            DispatchAction::Read | DispatchAction::Forward(_) => {}
        }
    }

    fn on_call_failed(&mut self, err: LinkError) -> DispatchAction {
        if self.pending != Pending::Dispatch {
            // A failed attach does not prove whether the earlier dispatch arrived.
            return self.on_connection_lost(&into_error(err));
        }
        match NotRun::from_link(err) {
            Ok(proof) => DispatchAction::NotRun(proof),
            Err(e) => self.on_connection_lost(&e),
        }
    }

    /// Returns the action that determines the progress of the request on a new connection.
    fn on_connection_lost(&mut self, cause: &Error) -> DispatchAction {
        if self.pending != Pending::Dispatch {
            self.failed_resumes += 1;
        }
        if self.failed_resumes >= MAX_FAILED_RESUMES {
            return self.fail_unknown_outcome(cause);
        }
        if self.progress == Progress::Unconfirmed {
            DispatchAction::Revoke
        } else {
            DispatchAction::Attach(self.forwarded_bytes)
        }
    }

    fn on_revoked(&mut self, reply: RevokeReply) -> DispatchAction {
        match reply {
            RevokeReply::NeverStarted => match NotRun::from_revoke(reply) {
                Some(proof) => DispatchAction::NotRun(proof),
                None => self.fail_unknown_outcome(&Error::new(
                    Kind::Internal,
                    "revocation reply does not prove that the request never started",
                )),
            },
            RevokeReply::Running | RevokeReply::Finished => {
                self.progress = Progress::Started;
                DispatchAction::Attach(self.forwarded_bytes)
            }
            RevokeReply::OtherIncarnation(_) => self.fail_unknown_outcome(&Error::new(
                Kind::WrongIncarnation,
                "the sidecar that received the request has restarted",
            )),
            RevokeReply::Forgotten => self.fail_unknown_outcome(&Error::new(
                Kind::StaleMark,
                "the sidecar no longer has a record of the request",
            )),
        }
    }

    fn on_revoke_failed(&mut self, err: LinkError) -> DispatchAction {
        self.failed_resumes += 1;
        if self.failed_resumes >= MAX_FAILED_RESUMES {
            return self.fail_unknown_outcome(&into_error(err));
        }
        DispatchAction::Revoke
    }

    fn on_frame(&mut self, frame: Frame) -> DispatchAction {
        match frame {
            Frame::Heartbeat => {
                self.failed_resumes = 0;
                DispatchAction::Read
            }
            Frame::Queued(_) => self.advance(Progress::Confirmed),
            Frame::Started => self.advance(Progress::Started),
            Frame::Head { status, headers } => self.on_head(status, headers),
            Frame::Data { offset, bytes } => self.on_data(offset, &bytes),
            Frame::Final { length, usage, .. } => self.on_final(length, usage),
            Frame::Failed(failure) => self.on_failure(failure),
        }
    }

    fn advance(&mut self, progress: Progress) -> DispatchAction {
        self.progress = self.progress.max(progress);
        DispatchAction::Read
    }

    fn on_head(&mut self, status: u16, headers: Vec<Header>) -> DispatchAction {
        self.progress = Progress::Started;
        if self.head_forwarded {
            return DispatchAction::Read;
        }
        self.head_forwarded = true;
        self.failed_resumes = 0;
        DispatchAction::Forward(ResponsePart::Head { status, headers })
    }

    fn on_data(&mut self, offset: u64, bytes: &Bytes) -> DispatchAction {
        self.progress = Progress::Started;
        if !self.head_forwarded || offset > self.forwarded_bytes {
            return self.on_connection_lost(&Error::new(
                Kind::StreamBroken,
                "frame missing in the response stream",
            ));
        }
        let already_forwarded = num::length(self.forwarded_bytes - offset);
        if already_forwarded >= bytes.len() {
            return DispatchAction::Read;
        }
        let new_bytes = bytes.slice(already_forwarded..);
        self.forwarded_bytes += num::count(new_bytes.len());
        self.failed_resumes = 0;
        DispatchAction::Forward(ResponsePart::Data(new_bytes))
    }

    fn on_final(&mut self, length: u64, usage: Usage) -> DispatchAction {
        if !self.head_forwarded || length > self.forwarded_bytes {
            return self.on_connection_lost(&Error::new(
                Kind::StreamBroken,
                "frame missing in the response stream",
            ));
        }
        if length < self.forwarded_bytes {
            let detail = format!(
                "response body has {length} bytes but {} were received",
                self.forwarded_bytes
            );
            return DispatchAction::Fail(Error::new(Kind::StreamBroken, detail), Ran::Maybe);
        }
        DispatchAction::Finish(usage)
    }

    fn on_failure(&mut self, failure: Failure) -> DispatchAction {
        let is_other_incarnation = failure.kind == Kind::WrongIncarnation;
        if self.pending == Pending::Attach && is_other_incarnation {
            // A restarted sidecar has no record of dispatches to its previous incarnation.
            return self.fail_unknown_outcome(&failure.into());
        }
        if self.head_forwarded {
            let err = Error::from(failure);
            return DispatchAction::Fail(err, Ran::Maybe);
        }
        let ran = failure.ran;
        match NotRun::from_refusal(failure) {
            Ok(proof) => DispatchAction::NotRun(proof),
            Err(e) => DispatchAction::Fail(e, ran),
        }
    }

    fn fail_unknown_outcome(&self, cause: &Error) -> DispatchAction {
        let kind = if self.head_forwarded {
            Kind::StreamBroken
        } else {
            Kind::OutcomeUnknown
        };
        DispatchAction::Fail(Error::new(kind, cause.to_string()), Ran::Maybe)
    }
}

fn into_error(err: LinkError) -> Error {
    match err {
        LinkError::NotSent(e) | LinkError::Broken(e) => e,
    }
}
