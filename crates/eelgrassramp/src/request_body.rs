//! Bodies of requests, and the memory that all of them take together.
//!
//! Each caller may send a body of the size that the tables allow, and the body is kept until the request
//! can no longer be sent again. Many large ones at once must not exhaust the memory of the process, which
//! would end the requests of all callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::sync::lock;
use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::body::SizeHint;

/// Memory of a request without its head and body.
const REQUEST_BYTES: usize = 4 * 1024;

/// How often a head is held: as it was received, as the library decoded it, and as fields of the request.
const HEAD_COPIES: usize = 3;

/// Size of the first block of a body that declares no length.
const MIN_BLOCK_BYTES: usize = 4 * 1024;

/// Maximum size of a block.
///
/// The allocator takes larger ones from the operating system and gives them back late.
const MAX_BLOCK_BYTES: usize = 32 * 1024;

/// The bodies of the requests that one listener receives.
#[derive(Debug, Clone)]
pub struct RequestBodies {
    budget: Arc<Budget>,
}

/// How much the bodies of one listener may take together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BodyLimits {
    /// Maximum size of all bodies together.
    pub max_bytes: usize,
    /// Maximum size of all bodies together where the largest body allowed is larger than `max_bytes`.
    pub max_bytes_of_large: usize,
}

/// Size of all bodies together, and its maximum.
#[derive(Debug)]
struct Budget {
    total_bytes: AtomicUsize,
    limits: Mutex<BodyLimits>,
}

/// The whole body of one request.
#[derive(Debug, Clone)]
pub struct RequestBody {
    blocks: Arc<[Bytes]>,
    reservation: Arc<Reservation>,
}

/// Part of the total that one body or head takes, until it is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
    /// The largest body that may be reserved.
    largest_bytes: usize,
}

impl BodyLimits {
    /// Creates limits that do not depend on the largest body allowed.
    #[must_use]
    pub const fn fixed(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            max_bytes_of_large: max_bytes,
        }
    }

    /// Returns the maximum size of all bodies together, of which one may have `largest_bytes`.
    const fn max_bytes_with(self, largest_bytes: usize) -> usize {
        let needed_bytes = largest_bytes.saturating_add(MAX_BLOCK_BYTES);
        if needed_bytes <= self.max_bytes {
            return self.max_bytes;
        }
        if needed_bytes < self.max_bytes_of_large {
            needed_bytes
        } else {
            self.max_bytes_of_large
        }
    }
}

impl RequestBodies {
    /// Creates a budget for all bodies together.
    #[must_use]
    pub fn new(limits: BodyLimits) -> Self {
        let budget = Budget {
            total_bytes: AtomicUsize::new(0),
            limits: Mutex::new(limits),
        };
        Self {
            budget: Arc::new(budget),
        }
    }

    /// Replaces the limits on all bodies together.
    pub fn set_limits(&self, limits: BodyLimits) {
        *lock(&self.budget.limits) = limits;
    }

    /// Returns the size of all bodies together.
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.budget.total_bytes.load(Ordering::Relaxed)
    }

    /// Returns the maximum size of all bodies together.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        lock(&self.budget.limits).max_bytes
    }

    /// Reads a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::RequestTooLarge`] when it is larger, [`Kind::Overloaded`] when the bodies of all
    /// requests are too large together, and [`Kind::BadRequest`] when it cannot be read.
    pub async fn read(&self, body: Incoming, max_bytes: usize) -> Result<RequestBody> {
        let declared_bytes = declared_bytes(&body);
        if declared_bytes.is_some_and(|bytes| bytes > max_bytes) {
            return Err(too_large_error(max_bytes));
        }
        let mut buf = BodyBuffer::new(declared_bytes, self.reserve(max_bytes));
        let mut body = Limited::new(body, max_bytes);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| match e.downcast_ref::<LengthLimitError>() {
                Some(_) => too_large_error(max_bytes),
                None => Error::with_source(Kind::BadRequest, "request body could not be read", e),
            })?;
            if let Ok(data) = frame.into_data() {
                buf.extend_from_slice(&data)?;
            }
        }
        Ok(buf.freeze())
    }

    /// Reserves the memory of a request before its body, which the HTTP library has read.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Overloaded`] when all requests are too large together.
    pub fn reserve_head(&self, headers: &HeaderMap) -> Result<Reservation> {
        let fields = headers.iter();
        let bytes: usize = fields
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let mut reservation = self.reserve_nothing();
        reservation.extend(REQUEST_BYTES + bytes * HEAD_COPIES)?;
        Ok(reservation)
    }

    /// Returns a reservation of nothing, which can be extended.
    #[must_use]
    pub fn reserve_nothing(&self) -> Reservation {
        self.reserve(0)
    }

    /// Returns a reservation of nothing, which can be extended to `largest_bytes`.
    fn reserve(&self, largest_bytes: usize) -> Reservation {
        Reservation {
            budget: Arc::clone(&self.budget),
            bytes: 0,
            largest_bytes,
        }
    }
}

fn too_large_error(max_bytes: usize) -> Error {
    let detail = format!("request body exceeds {max_bytes} bytes");
    Error::new(Kind::RequestTooLarge, detail)
}

/// Returns the length of a body that names one.
fn declared_bytes(body: &Incoming) -> Option<usize> {
    let bytes = body.size_hint().exact()?;
    Some(usize::try_from(bytes).unwrap_or(usize::MAX))
}

impl RequestBody {
    /// Returns the bytes of the body in blocks.
    #[must_use]
    pub fn blocks(&self) -> &[Bytes] {
        &self.blocks
    }

    /// Returns the body in one piece, for which it is copied if it has several blocks.
    #[must_use]
    pub fn to_bytes(&self) -> Bytes {
        match &*self.blocks {
            [] => Bytes::new(),
            [block] => block.clone(),
            blocks => blocks.concat().into(),
        }
    }

    /// Returns the body in one piece, which stays reserved until its last part is dropped.
    #[must_use]
    pub fn into_bytes(self) -> Bytes {
        let whole = self.to_bytes();
        Bytes::from_owner(ReservedBytes {
            bytes: whole,
            _reservation: self.reservation,
        })
    }

    /// Returns the body in the form in which it is sent. It stays reserved until that is dropped.
    #[must_use]
    pub fn to_sent(&self) -> SentBody {
        SentBody {
            blocks: Arc::clone(&self.blocks),
            next: 0,
            remaining_bytes: self.blocks.iter().map(|block| block.len() as u64).sum(),
            _reservation: Arc::clone(&self.reservation),
        }
    }
}

/// A body of which a part was received.
///
/// It grows by blocks, each of which is reserved before it is allocated. A caller that declares a large body
/// costs no memory for what it does not send, and blocks of ended requests have the size of the next ones.
#[derive(Debug)]
struct BodyBuffer {
    full: Vec<Bytes>,
    full_bytes: usize,
    last: BytesMut,
    declared_bytes: Option<usize>,
    reservation: Reservation,
}

impl BodyBuffer {
    fn new(declared_bytes: Option<usize>, reservation: Reservation) -> Self {
        Self {
            full: Vec::new(),
            full_bytes: 0,
            last: BytesMut::new(),
            declared_bytes,
            reservation,
        }
    }

    fn extend_from_slice(&mut self, mut data: &[u8]) -> Result<()> {
        while !data.is_empty() {
            if self.last.len() == self.last.capacity() {
                self.start_block()?;
            }
            let n = data.len().min(self.last.capacity() - self.last.len());
            let (head, rest) = data.split_at(n);
            self.last.extend_from_slice(head);
            data = rest;
        }
        Ok(())
    }

    fn start_block(&mut self) -> Result<()> {
        self.end_block();
        let bytes = self.next_block_bytes();
        self.reservation.extend(bytes)?;
        self.last = BytesMut::with_capacity(bytes);
        Ok(())
    }

    fn end_block(&mut self) {
        if !self.last.is_empty() {
            self.full_bytes += self.last.len();
            self.full.push(std::mem::take(&mut self.last).freeze());
        }
    }

    /// Returns the size of the next block: no more than what is missing of a declared length, and otherwise as
    /// much as was received.
    fn next_block_bytes(&self) -> usize {
        match self.declared_bytes {
            Some(bytes) => bytes
                .saturating_sub(self.full_bytes)
                .clamp(1, MAX_BLOCK_BYTES),
            None => self.full_bytes.clamp(MIN_BLOCK_BYTES, MAX_BLOCK_BYTES),
        }
    }

    fn freeze(mut self) -> RequestBody {
        self.end_block();
        RequestBody {
            blocks: self.full.into(),
            reservation: Arc::new(self.reservation),
        }
    }
}

/// A body in one piece with its reservation.
struct ReservedBytes {
    bytes: Bytes,
    _reservation: Arc<Reservation>,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A request body that is sent to an endpoint.
#[derive(Debug)]
pub struct SentBody {
    blocks: Arc<[Bytes]>,
    next: usize,
    remaining_bytes: u64,
    _reservation: Arc<Reservation>,
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

impl Reservation {
    /// Takes a further part of the total, before it is allocated.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Overloaded`] when all requests are too large together.
    pub fn extend(&mut self, n: usize) -> Result<()> {
        let total = self.budget.total_bytes.fetch_add(n, Ordering::Relaxed) + n;
        self.bytes += n;
        let max_bytes = lock(&self.budget.limits).max_bytes_with(self.largest_bytes);
        if total <= max_bytes {
            return Ok(());
        }
        let detail = format!("the bodies of all requests exceed {max_bytes} bytes");
        Err(Error::new(Kind::Overloaded, detail))
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .total_bytes
            .fetch_sub(self.bytes, Ordering::Relaxed);
    }
}
