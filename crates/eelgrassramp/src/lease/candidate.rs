//! Who is_candidate for leases.

use std::fmt::Debug;

/// Tells whether this process is_candidate for leases now.
///
/// In a large fleet only a few entries do, so that the object API is not read by all of them
/// for each pool that moves: see `docs/CAPACITY.md`.
pub trait Candidate: Debug + Send + Sync {
    /// Tells whether to try for leases that this process does not hold.
    fn is_candidate(&self) -> bool;
}

/// Contends at all times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AlwaysCandidate;

impl Candidate for AlwaysCandidate {
    fn is_candidate(&self) -> bool {
        true
    }
}
