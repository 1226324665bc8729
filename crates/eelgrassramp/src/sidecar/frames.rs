//! Converts a shared response into a stream of frames for one reader.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use tokio::sync::watch;

use crate::error::Kind;
use crate::error::Ran;
use crate::link::FrameStream;
use crate::wire::Failure;
use crate::wire::Frame;

use super::shared_response::ResponseEnd;
use super::shared_response::ResponseState;
use super::shared_response::SharedResponse;
use super::state::Shared;

/// Interval of heartbeat frames on a stream without other frames.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(400);

struct ResponseReader {
    shared: Arc<Shared>,
    rx: watch::Receiver<ResponseState>,
    offset: u64,
    sent: SentPhase,
}

/// The last kind of frame sent to a reader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum SentPhase {
    Nothing,
    Queued,
    Started,
    Head,
    End,
}

/// Returns the frames of `response`, with the body starting at byte `offset`.
pub(super) fn frame_stream(
    shared: Arc<Shared>,
    response: &SharedResponse,
    offset: u64,
) -> FrameStream {
    let reader = ResponseReader {
        shared,
        rx: response.subscribe(),
        offset,
        sent: SentPhase::Nothing,
    };
    Box::pin(stream::unfold(reader, |mut reader| async {
        let frame = reader.next().await?;
        Some((Ok(frame), reader))
    }))
}

/// Returns a stream of a single failure frame.
pub(super) fn failure_stream(failure: Failure) -> FrameStream {
    Box::pin(stream::iter([Ok(Frame::Failed(failure))]))
}

impl ResponseReader {
    async fn next(&mut self) -> Option<Frame> {
        if self.sent == SentPhase::End {
            return None;
        }
        if self.sent == SentPhase::Nothing {
            self.sent = SentPhase::Queued;
            return Some(Frame::Queued(self.shared.load()));
        }
        loop {
            if let Some(frame) = self.next_ready() {
                return Some(frame);
            }
            let timers = &self.shared.cx.timers;
            match timers.limit(HEARTBEAT_INTERVAL, self.rx.changed()).await {
                Some(Ok(())) => {}
                Some(Err(_)) => return Some(self.abandoned_frame()),
                None => return Some(Frame::Heartbeat),
            }
        }
    }

    /// Returns the next frame if one is available without waiting.
    fn next_ready(&mut self) -> Option<Frame> {
        let state = self.rx.borrow_and_update();
        if state.has_started && self.sent < SentPhase::Started {
            self.sent = SentPhase::Started;
            return Some(Frame::Started);
        }
        if let Some(head) = &state.head
            && self.sent < SentPhase::Head
        {
            self.sent = SentPhase::Head;
            return Some(Frame::Head {
                status: head.status,
                headers: head.headers.clone(),
            });
        }
        if let Some(bytes) = state.chunk_at(self.offset) {
            let offset = self.offset;
            self.offset += crate::num::count(bytes.len());
            return Some(Frame::Data { offset, bytes });
        }
        let end = state.end.clone()?;
        let length = state.length();
        let is_body_incomplete = self.offset != length;
        drop(state);
        self.sent = SentPhase::End;
        Some(self.terminal_frame(end, length, is_body_incomplete))
    }

    fn terminal_frame(&self, end: ResponseEnd, length: u64, is_body_incomplete: bool) -> Frame {
        let load = self.shared.load();
        match end {
            ResponseEnd::Complete(_) if is_body_incomplete => Frame::Failed(Failure {
                kind: Kind::OutcomeUnknown,
                ran: Ran::Yes,
                detail: format!(
                    "response body from byte {} on is no longer retained",
                    self.offset
                ),
                load,
            }),
            ResponseEnd::Complete(usage) => Frame::Final {
                length,
                usage,
                load,
            },
            ResponseEnd::Failed { kind, ran, detail } => Frame::Failed(Failure {
                kind,
                ran,
                detail,
                load,
            }),
        }
    }

    /// Returns the failure frame of a response whose run was dropped before its end.
    fn abandoned_frame(&mut self) -> Frame {
        self.sent = SentPhase::End;
        Frame::Failed(Failure {
            kind: Kind::StreamBroken,
            ran: Ran::Maybe,
            detail: "the run ended without completing the response".to_owned(),
            load: self.shared.load(),
        })
    }
}
