//! The memory that the requests of one listener may take together.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use super::buffer::MAX_BLOCK_BYTES;
use crate::error::Error;
use crate::error::Kind;
use crate::error::Result;
use crate::sync::lock;

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
pub(super) struct Budget {
    total_bytes: AtomicUsize,
    limits: Mutex<BodyLimits>,
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

impl Budget {
    pub(super) fn new(limits: BodyLimits) -> Arc<Self> {
        Arc::new(Self {
            total_bytes: AtomicUsize::new(0),
            limits: Mutex::new(limits),
        })
    }

    pub(super) fn limits(&self) -> BodyLimits {
        *lock(&self.limits)
    }

    pub(super) fn set_limits(&self, limits: BodyLimits) {
        *lock(&self.limits) = limits;
    }

    pub(super) fn total_bytes(&self) -> usize {
        self.total_bytes.load(Ordering::Relaxed)
    }

    /// Returns a reservation of nothing, which can be extended to `largest_bytes`.
    pub(super) fn reserve(self: &Arc<Self>, largest_bytes: usize) -> Reservation {
        Reservation {
            budget: Arc::clone(self),
            bytes: 0,
            largest_bytes,
        }
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
        let max_bytes = self.budget.limits().max_bytes_with(self.largest_bytes);
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
