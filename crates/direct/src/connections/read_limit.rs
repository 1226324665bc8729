//! Limits the bytes that a connection reads for one response.
//!
//! A faulty server may send heads, chunk sizes, other framing or bodies without end. The HTTP library
//! buffers little of the first ones and keeps reading, so the bytes are counted on the socket below it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Bytes allowed for the head, framing and data read ahead of the body.
const MAX_OVERHEAD_BYTES: u64 = 256 * 1024;

/// Framing bytes allowed for each body byte; one-byte chunks need five.
const FRAMING_BYTES_PER_BODY_BYTE: u64 = 8;

/// Counts the bytes read on one connection since its last request began.
#[derive(Debug, Clone)]
pub(super) struct ReadLimit {
    read: Arc<AtomicU64>,
    /// Body bytes that were passed on, each of which allows for more framing.
    body: Arc<AtomicU64>,
    /// Bytes allowed beside those that `body` allows.
    max_bytes: u64,
}

impl ReadLimit {
    /// Limits what is read beyond the body, which is passed on as it arrives.
    pub(super) fn of_overhead() -> Self {
        Self::of_response(MAX_OVERHEAD_BYTES)
    }

    /// Limits a whole response to `max_bytes`.
    pub(super) fn of_response(max_bytes: u64) -> Self {
        Self {
            read: Arc::default(),
            body: Arc::default(),
            max_bytes,
        }
    }

    /// Resets the counts at the start of a request.
    pub(super) fn reset(&self) {
        self.read.store(0, Ordering::Relaxed);
        self.body.store(0, Ordering::Relaxed);
    }

    /// Counts body bytes of the response.
    pub(super) fn count_body(&self, n: u64) {
        self.body.fetch_add(n, Ordering::Relaxed);
    }

    /// Counts bytes read from the socket; returns whether the total is within the limit.
    fn count_read(&self, n: u64) -> bool {
        let read = self.read.fetch_add(n, Ordering::Relaxed) + n;
        let body = self.body.load(Ordering::Relaxed);
        read <= self
            .max_bytes
            .saturating_add(body.saturating_mul(FRAMING_BYTES_PER_BODY_BYTE))
    }
}

/// A socket that fails once it has read more than its allowance.
#[derive(Debug)]
pub(super) struct LimitedStream {
    stream: TcpStream,
    read_limit: ReadLimit,
}

impl LimitedStream {
    pub(super) const fn new(stream: TcpStream, read_limit: ReadLimit) -> Self {
        Self { stream, read_limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let n = buf.filled().len() - before;
        if self.read_limit.count_read(n as u64) {
            return Poll::Ready(Ok(()));
        }
        let detail = "more bytes than allowed for one response";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, detail)))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
