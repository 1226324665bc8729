//! Streams of frames that end or go silent too early.

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::link::FrameStream;
use futures_util::StreamExt;
use futures_util::stream;

/// What becomes of a stream after some frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// The connection breaks.
    Broken,
    /// Nothing comes any more, though the connection stays open.
    Silent,
}

/// Passes on `frames` frames of `inner`, then ends it.
///
/// The inner stream stays open as long as the outer one, as a half-open connection does.
pub(super) fn end_after(inner: FrameStream, frames: usize, ending: Ending) -> FrameStream {
    Box::pin(stream::unfold(
        (inner, frames, false),
        move |(mut inner, left, broken)| async move {
            if broken {
                return None;
            }
            if left > 0 {
                let frame = inner.next().await?;
                return Some((frame, (inner, left - 1, false)));
            }
            if ending == Ending::Silent {
                std::future::pending::<()>().await;
            }
            let e = Error::new(Kind::StreamBroken, "the connection broke");
            Some((Err(e), (inner, 0, true)))
        },
    ))
}

/// Reads a stream to its end and drops its frames.
pub(super) async fn drain(mut frames: FrameStream) {
    while frames.next().await.is_some() {}
}
