//! Who contends for leases.

use std::fmt::Debug;

/// Tells whether this process contends for leases now.
///
/// In a large fleet only a few entries do, so that the object API is not read by all of them
/// for each pool that moves: see `docs/CAPACITY.md`.
pub trait Contender: Debug + Send + Sync {
    /// Tells whether to try for leases that this process does not hold.
    fn contends(&self) -> bool;
}

/// Contends at all times.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Always;

impl Contender for Always {
    fn contends(&self) -> bool {
        true
    }
}
