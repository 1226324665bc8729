//! Bodies of requests, and the memory that all of them take together.
//!
//! Each caller may send a body of the size that the tables allow, and the body is kept until the request
//! can no longer be sent again. Many large ones at once must not exhaust the memory of the process, which
//! would end the requests of all callers.

mod budget;
mod buffer;
mod sent_body;

use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Body;
use hyper::body::Incoming;

pub use self::budget::BodyLimits;
use self::budget::Budget;
pub use self::budget::Reservation;
use self::buffer::BodyBuffer;
pub use self::sent_body::SentBody;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;

/// Memory of a request without its head and body.
const REQUEST_BYTES: usize = 4 * 1024;

/// How often a head is held: as it was received, as the library decoded it, and as fields of the request.
const HEAD_COPIES: usize = 3;

/// The bodies of the requests that one listener receives.
#[derive(Debug, Clone)]
pub struct RequestBodies {
    budget: Arc<Budget>,
}

/// The whole body of one request.
#[derive(Debug, Clone)]
pub struct RequestBody {
    blocks: Arc<[Bytes]>,
    reservation: Arc<Reservation>,
}

impl RequestBodies {
    /// Creates a budget for all bodies together.
    #[must_use]
    pub fn new(limits: BodyLimits) -> Self {
        Self {
            budget: Budget::new(limits),
        }
    }

    /// Replaces the limits on all bodies together.
    pub fn set_limits(&self, limits: BodyLimits) {
        self.budget.set_limits(limits);
    }

    /// Returns the size of all bodies together.
    #[must_use]
    pub fn total_bytes(&self) -> usize {
        self.budget.total_bytes()
    }

    /// Returns the maximum size of all bodies together.
    #[must_use]
    pub fn max_bytes(&self) -> usize {
        self.budget.limits().max_bytes
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
        let mut buf = BodyBuffer::new(declared_bytes, self.budget.reserve(max_bytes));
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
        self.budget.reserve(0)
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
        SentBody::from(self)
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
