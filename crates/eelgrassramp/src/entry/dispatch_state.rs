//! The life of one dispatch, decided without I/O.
//!
//! [`DispatchState`] turns what an entry sees of a dispatch (frames, broken connections, silence,
//! replies to a revocation) into the next step. It alone decides when an outcome is ambiguous
//! and how it is settled: see `docs/design/retry.md`, "Ambiguous outcomes".

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

/// Calls to a sidecar that may fail in a row before an outcome counts as unknown.
pub const MAX_FAILED_RESUMES: u32 = 4;

/// What the entry saw.
#[derive(Debug)]
pub enum DispatchEvent {
    /// The dispatch or an attach gave no stream.
    CallFailed(LinkError),
    /// The stream gave a frame.
    Frame(Frame),
    /// The stream broke or ended without a last frame.
    Broken(Error),
    /// Nothing came for the silence limit, not even a heartbeat.
    IdleTimeout,
    /// The sidecar answered the revocation.
    Revoked(RevokeReply),
    /// The revocation gave no reply.
    RevokeFailed(LinkError),
}

/// What the entry does next.
#[derive(Debug)]
pub enum DispatchAction {
    /// Reads the next frame of the open stream.
    Read,
    /// Passes a part of the answer to the caller, then reads on.
    Forward(ResponsePart),
    /// Drops the stream and attaches on a new connection from this body offset on.
    Attach(u64),
    /// Drops the stream and asks on a new connection that the request never start.
    Revoke,
    /// The dispatch had no effect; the request may be dispatched again.
    NotRun(NotRun),
    /// The answer is whole.
    Completed(Usage),
    /// The request ends without a whole answer.
    Failed(Error, Ran),
}

/// A part of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponsePart {
    /// Status and headers.
    Head {
        /// HTTP status of the endpoint's answer.
        status: u16,
        /// Headers that are passed on.
        headers: Vec<Header>,
    },
    /// Body bytes that follow those passed before.
    Data(Bytes),
}

/// How much is known of the request at the sidecar.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    /// The dispatch may have arrived or not.
    Unconfirmed,
    /// The sidecar holds the request in its ledger.
    Confirmed,
    /// The engine was given the request.
    Started,
}

/// What the flight waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Pending {
    Dispatch,
    Attach,
    Revoke,
    Nothing,
}

/// The state of one dispatch as the entry sees it.
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
    /// Starts with a dispatch that was just handed to the link.
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

    /// Tells whether the engine is known to have been given the request.
    #[must_use]
    pub fn has_started(&self) -> bool {
        self.progress == Progress::Started
    }

    /// Returns the number of body bytes passed to the caller.
    #[must_use]
    pub const fn forwarded_bytes(&self) -> u64 {
        self.forwarded_bytes
    }

    /// Takes one event and returns the next step.
    ///
    /// # Panics
    ///
    /// Panics when called after the flight has ended, which is a bug of the caller.
    pub fn handle(&mut self, event: DispatchEvent) -> DispatchAction {
        assert!(self.pending != Pending::Nothing, "the flight has ended");
        let step = match event {
            DispatchEvent::CallFailed(e) => self.on_call_failed(e),
            DispatchEvent::Frame(frame) => self.on_frame(frame),
            DispatchEvent::Broken(e) => self.on_connection_lost(&e),
            DispatchEvent::IdleTimeout => self.on_connection_lost(&Error::new(
                Kind::StreamBroken,
                "the connection went silent",
            )),
            DispatchEvent::Revoked(reply) => self.on_revoked(reply),
            DispatchEvent::RevokeFailed(e) => self.on_revoke_failed(e),
        };
        self.apply(&step);
        step
    }

    fn apply(&mut self, step: &DispatchAction) {
        match step {
            DispatchAction::Attach(offset) => {
                assert_eq!(
                    *offset, self.forwarded_bytes,
                    "an attach resumes where the caller stands"
                );
                self.pending = Pending::Attach;
            }
            DispatchAction::Revoke => self.pending = Pending::Revoke,
            DispatchAction::NotRun(_) => {
                assert!(
                    !self.head_forwarded,
                    "an answer was passed on for a request that did not run"
                );
                self.pending = Pending::Nothing;
            }
            DispatchAction::Completed(_) | DispatchAction::Failed(..) => {
                self.pending = Pending::Nothing
            }
            DispatchAction::Read | DispatchAction::Forward(_) => {}
        }
    }

    fn on_call_failed(&mut self, err: LinkError) -> DispatchAction {
        if self.pending != Pending::Dispatch {
            // An attach proves nothing about the dispatch before it, sent or not.
            return self.on_connection_lost(&into_error(err));
        }
        match NotRun::from_link(err) {
            Ok(proof) => DispatchAction::NotRun(proof),
            Err(e) => self.on_connection_lost(&e),
        }
    }

    /// Finds out how far the request got, on a new connection.
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
                None => self
                    .fail_unknown_outcome(&Error::new(Kind::Internal, "revocation without proof")),
            },
            RevokeReply::Running | RevokeReply::Finished => {
                self.progress = Progress::Started;
                DispatchAction::Attach(self.forwarded_bytes)
            }
            RevokeReply::OtherIncarnation(_) => self.fail_unknown_outcome(&Error::new(
                Kind::WrongIncarnation,
                "the sidecar that was given the request has restarted",
            )),
            RevokeReply::Forgotten => self.fail_unknown_outcome(&Error::new(
                Kind::StaleMark,
                "the sidecar does not remember the request any more",
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
            return self.on_connection_lost(&Error::new(Kind::StreamBroken, "a frame is missing"));
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
            return self.on_connection_lost(&Error::new(Kind::StreamBroken, "a frame is missing"));
        }
        if length < self.forwarded_bytes {
            let detail = format!(
                "the answer's length is {length} but {} bytes came",
                self.forwarded_bytes
            );
            return DispatchAction::Failed(Error::new(Kind::StreamBroken, detail), Ran::Maybe);
        }
        DispatchAction::Completed(usage)
    }

    fn on_failure(&mut self, failure: Failure) -> DispatchAction {
        let is_other_incarnation = failure.kind == Kind::WrongIncarnation;
        if self.pending == Pending::Attach && is_other_incarnation {
            // Another life refuses the attach; of the dispatch before it, it knows nothing.
            return self.fail_unknown_outcome(&failure.into());
        }
        if self.head_forwarded {
            let err = Error::from(failure);
            return DispatchAction::Failed(err, Ran::Maybe);
        }
        let ran = failure.ran;
        match NotRun::from_refusal(failure) {
            Ok(proof) => DispatchAction::NotRun(proof),
            Err(e) => DispatchAction::Failed(e, ran),
        }
    }

    fn fail_unknown_outcome(&self, cause: &Error) -> DispatchAction {
        let kind = if self.head_forwarded {
            Kind::StreamBroken
        } else {
            Kind::OutcomeUnknown
        };
        DispatchAction::Failed(Error::new(kind, cause.to_string()), Ran::Maybe)
    }
}

fn into_error(err: LinkError) -> Error {
    match err {
        LinkError::NotSent(e) | LinkError::Broken(e) => e,
    }
}
