//! Identifiers and counters exchanged between processes.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::error::Error;
use crate::error::Kind;

const HALF_BITS: u32 = 64;

/// Identifies a request across all attempts, processes and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct RequestId {
    high: u64,
    low: u64,
}

impl RequestId {
    /// Creates a random identifier.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self {
            high: rng.next_u64(),
            low: rng.next_u64(),
        }
    }

    /// Creates the identifier from its 128 bits.
    #[expect(
        clippy::cast_possible_truncation,
        reason = "each half keeps its 64 bits"
    )]
    #[must_use]
    pub const fn from_bits(bits: u128) -> Self {
        Self {
            high: (bits >> HALF_BITS) as u64,
            low: bits as u64,
        }
    }

    /// Returns the identifier's 128 bits.
    #[must_use]
    pub const fn to_bits(self) -> u128 {
        ((self.high as u128) << HALF_BITS) | self.low as u128
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}{:016x}", self.high, self.low)
    }
}

impl FromStr for RequestId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        u128::from_str_radix(text, 16)
            .map(Self::from_bits)
            .map_err(|e| Error::with_source(Kind::BadRequest, format!("request id {text:?}"), e))
    }
}

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)+) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the value that follows this one.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    )+};
}

counters! {
    /// Version of the route and pool tables; increases with each accepted change.
    TableVersion,
    /// Fencing token of a lease; an order with a lower token than the last one is refused.
    FencingToken,
    /// Time on a sidecar's own clock, in milliseconds since the sidecar's start.
    ClockMark,
    /// Identifies one run of a process; drawn at random when the process starts.
    Incarnation,
    /// Number of a dispatch attempt of one request, starting at zero.
    Attempt,
    /// Version of an object in the platform's object API.
    ObjectVersion,
}

impl Incarnation {
    /// Creates a random incarnation.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.next_u64())
    }
}
