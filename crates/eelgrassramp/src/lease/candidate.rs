//! Selects the processes that try to acquire leases.

use std::fmt::Debug;

/// Decides whether this process tries to acquire leases at the moment.
///
/// In a large fleet only a few entries do, so that the object API is not read by all of them
/// for each pool with a move: see `docs/CAPACITY.md`.
pub trait Candidate: Debug + Send + Sync {
    /// Returns whether to try for leases that this process does not hold.
    fn is_candidate(&self) -> bool;
}

/// A candidate at all times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AlwaysCandidate;

impl Candidate for AlwaysCandidate {
    fn is_candidate(&self) -> bool {
        true
    }
}
