//! A body in the form in which the HTTP library sends it.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::RequestBody;
use super::budget::Reservation;

/// A request body that is sent to an endpoint.
#[derive(Debug)]
pub struct SentBody {
    blocks: Arc<[Bytes]>,
    next: usize,
    remaining_bytes: u64,
    _reservation: Arc<Reservation>,
}

impl From<&RequestBody> for SentBody {
    fn from(body: &RequestBody) -> Self {
        Self {
            blocks: Arc::clone(&body.blocks),
            next: 0,
            remaining_bytes: body.blocks.iter().map(|block| block.len() as u64).sum(),
            _reservation: Arc::clone(&body.reservation),
        }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, Infallible>>> {
        let Some(block) = self.blocks.get(self.next).cloned() else {
            return Poll::Ready(None);
        };
        self.next += 1;
        self.remaining_bytes -= block.len() as u64;
        Poll::Ready(Some(Ok(Frame::data(block))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining_bytes == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining_bytes)
    }
}
