//! Callers' connections, on which the limits of the tables hold that are in force at the moment.
//!
//! The HTTP library takes its limits when a connection is accepted. The operator may change the tables
//! while it is open, so the time of waiting for a request is limited here, on the socket below the library,
//! and the size of a head when it was read. Until then a head only takes its part of the memory for requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;

use eelgrassramp::Monotonic;
use eelgrassramp::connection_table::OpenConnection;
use eelgrassramp::connection_table::ServedRequest;
use eelgrassramp::lock;
use eelgrassramp::request_body::Reservation;
use http::Version;
use http::header::CONTENT_LENGTH;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::entry::Entry;
use crate::handle::ResponseBody;

/// Bytes of a head that need no part of the memory for requests.
const UNRESERVED_HEAD_BYTES: usize = 8 * 1024;

/// Maximum number of bytes of one read, so that the library's buffer grows for large heads only.
const MAX_READ_BYTES: usize = 16 * 1024;

/// What a connection waits for; shared by its stream and its requests.
#[derive(Debug)]
pub(super) struct CallerConnection {
    entry: Arc<Entry>,
    open: OpenConnection,
    awaited: Mutex<Option<AwaitedHead>>,
    served: Mutex<Option<ServedRequest>>,
    /// Whether a response is not complete of which the caller knows no other end than that of the connection.
    ///
    /// However the connection ends then, it is reset: the response may be broken off, and the process may end.
    must_reset: AtomicBool,
}

/// The head of the next request, while it is awaited or read.
#[derive(Debug)]
struct AwaitedHead {
    since: Monotonic,
    bytes: usize,
    reservation: Reservation,
}

impl CallerConnection {
    /// Creates the state of a connection that waits for its first request.
    pub(super) fn new(entry: &Arc<Entry>, open: OpenConnection) -> Arc<Self> {
        let connection = Self {
            entry: Arc::clone(entry),
            open,
            awaited: Mutex::default(),
            served: Mutex::default(),
            must_reset: AtomicBool::new(false),
        };
        connection.await_head();
        Arc::new(connection)
    }

    fn await_head(&self) {
        let now = self.entry.cx().timers.now();
        *lock(&self.served) = None;
        self.open.wait_from(now);
        let awaited = AwaitedHead {
            since: now,
            bytes: 0,
            reservation: self.entry.request_bodies().reserve_nothing(),
        };
        *self.lock() = Some(awaited);
    }

    /// Records that the head of a request was read, and its body is awaited.
    pub(super) fn end_head(&self) {
        *self.lock() = None;
        self.open.wait_from(self.entry.cx().timers.now());
    }

    /// Records that all of a request was received, so that the caller waits for the response.
    pub(super) fn end_request(&self) {
        *lock(&self.served) = Some(self.open.begin_request(&self.entry.cx().timers));
    }

    /// Completes when the connection has to be closed in favour of another one.
    pub(super) async fn closed(&self) {
        self.open.closed().await;
    }

    /// Counts bytes that were read.
    fn record_read(&self, n: usize) -> io::Result<()> {
        let mut awaited = self.lock();
        let Some(head) = &mut *awaited else {
            return Ok(());
        };
        head.bytes += n;
        if head.bytes <= UNRESERVED_HEAD_BYTES {
            return Ok(());
        }
        head.reservation.extend(n).map_err(io::Error::other)
    }

    /// Returns when the connection is closed, unless a request is in progress.
    fn closes_at(&self) -> Option<Monotonic> {
        let since = self.lock().as_ref()?.since;
        Some(since + self.entry.caller_limits().idle_timeout)
    }

    fn lock(&self) -> MutexGuard<'_, Option<AwaitedHead>> {
        lock(&self.awaited)
    }
}

/// Socket of a caller.
pub(super) struct CallerStream {
    stream: TcpStream,
    connection: Arc<CallerConnection>,
    /// Completes when the connection may have to be closed.
    timer: Option<Pin<Box<dyn Future<Output = ()> + Send>>>,
}

impl CallerStream {
    pub(super) fn new(stream: TcpStream, connection: &Arc<CallerConnection>) -> Self {
        Self {
            stream,
            connection: Arc::clone(connection),
            timer: None,
        }
    }

    /// Completes when no request has arrived in time.
    fn poll_timeout(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timers = &self.connection.entry.cx().timers;
        loop {
            let Some(closes_at) = self.connection.closes_at() else {
                return Poll::Pending;
            };
            if timers.now() >= closes_at {
                return Poll::Ready(());
            }
            let timer = self.timer.get_or_insert_with(|| {
                let timers = timers.clone();
                Box::pin(async move { timers.until(closes_at).await })
            });
            ready!(timer.as_mut().poll(cx));
            self.timer = None;
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let max_bytes = buf.remaining().min(MAX_READ_BYTES);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_bytes));
        if Pin::new(&mut self.stream)
            .poll_read(cx, &mut part)?
            .is_ready()
        {
            let n = part.filled().len();
            buf.advance(n);
            return Poll::Ready(self.connection.record_read(n));
        }
        ready!(self.poll_timeout(cx));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncWrite for CallerStream {
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

impl Drop for CallerStream {
    fn drop(&mut self) {
        if self.connection.must_reset.load(Ordering::Relaxed) {
            // If this fails, the caller has closed the connection itself.
            let _set = self.stream.set_zero_linger();
        }
    }
}

/// Body of a response, at whose end the connection waits for the next request.
pub(super) struct TrackedBody {
    body: ResponseBody,
    connection: Arc<CallerConnection>,
    /// Whether the caller takes the end of the connection for the end of the body.
    ends_with_connection: bool,
}

impl TrackedBody {
    /// Tracks the body of a response to a request of this HTTP version.
    pub(super) fn track(
        version: Version,
        resp: Response<ResponseBody>,
        connection: Arc<CallerConnection>,
    ) -> Response<Self> {
        let has_length = resp.headers().contains_key(CONTENT_LENGTH);
        let ends_with_connection = version < Version::HTTP_11 && !has_length;
        resp.map(|body| Self {
            body,
            connection,
            ends_with_connection,
        })
    }
}

impl Body for TrackedBody {
    type Data = <ResponseBody as Body>::Data;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Self::Data>, Self::Error>>> {
        if !self.ends_with_connection {
            return Pin::new(&mut self.body).poll_frame(cx);
        }
        self.connection.must_reset.store(true, Ordering::Relaxed);
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        if frame.is_none() {
            self.connection.must_reset.store(false, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        self.connection.await_head();
    }
}
