//! Bodies of requests, and the memory that all of them take together.
//!
//! Each caller may send a body of the size that the tables allow, and the body is kept until the request
//! can no longer be sent again. Many large ones at once must not exhaust the memory of the process, which
//! would end the requests of all callers.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use bytes::BytesMut;
use eelgrassramp::Error;
use eelgrassramp::Kind;
use eelgrassramp::Result;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;

/// Maximum size of all bodies together where the memory of the process is not known.
const DEFAULT_MAX_BYTES: usize = 48 * 1024 * 1024;

/// Percentage of the memory of the process that all bodies may take together.
///
/// While bodies are sent they are held twice; the rest is for connections, responses and state.
const MEMORY_PERCENT: usize = 30;

/// The bodies of the requests that an entry serves.
#[derive(Debug, Clone)]
pub(crate) struct RequestBodies {
    budget: Arc<Budget>,
}

/// Size of all bodies together, and its maximum.
#[derive(Debug)]
struct Budget {
    total_bytes: AtomicUsize,
    max_bytes: AtomicUsize,
}

impl Default for RequestBodies {
    fn default() -> Self {
        let budget = Budget {
            total_bytes: AtomicUsize::new(0),
            max_bytes: AtomicUsize::new(DEFAULT_MAX_BYTES),
        };
        Self {
            budget: Arc::new(budget),
        }
    }
}

/// The whole body of one request.
#[derive(Debug, Clone)]
pub(crate) struct RequestBody {
    bytes: Bytes,
    _reservation: Arc<Reservation>,
}

/// Part of the total that one body or head takes, until it is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: Arc<Budget>,
    bytes: usize,
}

impl RequestBodies {
    /// Sets the memory that the process may use, if it is known.
    pub(crate) fn set_memory(&self, bytes: Option<usize>) {
        let max_bytes = bytes.map_or(DEFAULT_MAX_BYTES, |bytes| bytes / 100 * MEMORY_PERCENT);
        self.budget.max_bytes.store(max_bytes, Ordering::Relaxed);
    }

    /// Returns the size of all bodies together.
    pub(crate) fn total_bytes(&self) -> usize {
        self.budget.total_bytes.load(Ordering::Relaxed)
    }

    /// Returns the maximum size of all bodies together.
    pub(crate) fn max_bytes(&self) -> usize {
        self.budget.max_bytes.load(Ordering::Relaxed)
    }

    /// Reads a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::RequestTooLarge`] when it is larger, [`Kind::Overloaded`] when the bodies of all
    /// requests are too large together, and [`Kind::BadRequest`] when it cannot be read.
    pub(crate) async fn read(&self, body: Incoming, max_bytes: usize) -> Result<RequestBody> {
        let declared = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
        let mut buf = BytesMut::with_capacity(declared.min(max_bytes));
        let mut reservation = self.reserve_nothing();
        let mut body = Limited::new(body, max_bytes);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|e| match e.downcast_ref::<LengthLimitError>() {
                Some(_) => Error::new(
                    Kind::RequestTooLarge,
                    format!("request body exceeds {max_bytes} bytes"),
                ),
                None => Error::with_source(Kind::BadRequest, "request body could not be read", e),
            })?;
            if let Ok(data) = frame.into_data() {
                reservation.extend(data.len())?;
                buf.extend_from_slice(&data);
            }
        }
        Ok(RequestBody {
            bytes: buf.freeze(),
            _reservation: Arc::new(reservation),
        })
    }

    /// Returns a reservation that can be extended.
    pub(crate) fn reserve_nothing(&self) -> Reservation {
        Reservation {
            budget: Arc::clone(&self.budget),
            bytes: 0,
        }
    }
}

impl RequestBody {
    /// Returns the bytes of the body.
    pub(crate) const fn bytes(&self) -> &Bytes {
        &self.bytes
    }
}

impl Reservation {
    /// Takes a further part of the total.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::Overloaded`] when all requests are too large together.
    pub(crate) fn extend(&mut self, n: usize) -> Result<()> {
        let total = self.budget.total_bytes.fetch_add(n, Ordering::Relaxed) + n;
        self.bytes += n;
        let max_bytes = self.budget.max_bytes.load(Ordering::Relaxed);
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
