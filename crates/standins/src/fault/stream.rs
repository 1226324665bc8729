//! Streams of frames that break or stall early.

use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::link::FrameStream;
use futures_util::StreamExt;
use futures_util::stream;

/// What happens to a stream after the given number of frames.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ending {
    /// The connection breaks.
    Broken,
    /// No more frames arrive, but the connection stays open.
    Stalled,
}

/// Forwards `frames` frames of `inner`, then ends as `ending` says.
///
/// The inner stream stays open as long as the outer one, as with a half-open connection.
pub(super) fn truncate_after(inner: FrameStream, frames: usize, ending: Ending) -> FrameStream {
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
            if ending == Ending::Stalled {
                std::future::pending::<()>().await;
            }
            let e = Error::new(Kind::StreamBroken, "the connection broke");
            Some((Err(e), (inner, 0, true)))
        },
    ))
}

/// Reads a stream to its end and discards its frames.
pub(super) async fn drain(mut frames: FrameStream) {
    while frames.next().await.is_some() {}
}
