//! The frames that one reader of an answer gets.

use std::sync::Arc;
use std::time::Duration;

use futures_util::stream;
use tokio::sync::watch;

use crate::error::Kind;
use crate::error::Ran;
use crate::link::FrameStream;
use crate::wire::Failure;
use crate::wire::Frame;

use super::shared_response::Answer;
use super::shared_response::End;
use super::shared_response::Progress;
use super::state::Shared;

/// Longest silence on a stream whose sidecar is alive.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(400);

struct Reader {
    shared: Arc<Shared>,
    rx: watch::Receiver<Progress>,
    offset: u64,
    told: Told,
}

/// How far a reader was told of the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Told {
    Nothing,
    Queued,
    Started,
    Head,
    End,
}

/// Returns the frames of `answer` from the body byte at `offset` on.
pub(super) fn frames(shared: Arc<Shared>, answer: &Answer, offset: u64) -> FrameStream {
    let reader = Reader {
        shared,
        rx: answer.subscribe(),
        offset,
        told: Told::Nothing,
    };
    Box::pin(stream::unfold(reader, |mut reader| async {
        let frame = reader.next().await?;
        Some((Ok(frame), reader))
    }))
}

/// Returns an answer that consists of one failure.
pub(super) fn failed(failure: Failure) -> FrameStream {
    Box::pin(stream::iter([Ok(Frame::Failed(failure))]))
}

impl Reader {
    async fn next(&mut self) -> Option<Frame> {
        if self.told == Told::End {
            return None;
        }
        if self.told == Told::Nothing {
            self.told = Told::Queued;
            return Some(Frame::Queued(self.shared.load()));
        }
        loop {
            if let Some(frame) = self.ready() {
                return Some(frame);
            }
            let timers = &self.shared.cx.timers;
            match timers.limit(HEARTBEAT_PERIOD, self.rx.changed()).await {
                Some(Ok(())) => {}
                Some(Err(_)) => return Some(self.abandoned()),
                None => return Some(Frame::Heartbeat),
            }
        }
    }

    /// Returns the next frame that needs no waiting.
    fn ready(&mut self) -> Option<Frame> {
        let progress = self.rx.borrow_and_update();
        if progress.has_started && self.told < Told::Started {
            self.told = Told::Started;
            return Some(Frame::Started);
        }
        if let Some(head) = &progress.head
            && self.told < Told::Head
        {
            self.told = Told::Head;
            return Some(Frame::Head {
                status: head.status,
                headers: head.headers.clone(),
            });
        }
        if let Some(bytes) = progress.piece_at(self.offset) {
            let offset = self.offset;
            self.offset += crate::num::count(bytes.len());
            return Some(Frame::Data { offset, bytes });
        }
        let end = progress.end.clone()?;
        let length = progress.length();
        let lacks_body = self.offset != length;
        drop(progress);
        self.told = Told::End;
        Some(self.last_frame(end, length, lacks_body))
    }

    fn last_frame(&self, end: End, length: u64, lacks_body: bool) -> Frame {
        let load = self.shared.load();
        match end {
            End::Whole(_) if lacks_body => Frame::Failed(Failure {
                kind: Kind::OutcomeUnknown,
                ran: Ran::Yes,
                detail: format!("the answer from byte {} on is not kept", self.offset),
                load,
            }),
            End::Whole(usage) => Frame::Final {
                length,
                usage,
                load,
            },
            End::Failed { kind, ran, detail } => Frame::Failed(Failure {
                kind,
                ran,
                detail,
                load,
            }),
        }
    }

    /// Returns the failure of an answer whose run has vanished without an end.
    fn abandoned(&mut self) -> Frame {
        self.told = Told::End;
        Frame::Failed(Failure {
            kind: Kind::StreamBroken,
            ran: Ran::Maybe,
            detail: "the answer was given up".to_owned(),
            load: self.shared.load(),
        })
    }
}
