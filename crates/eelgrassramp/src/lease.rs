//! Leader election: the lease that lets one entry at a time advance the move of a pool.
//!
//! Each pool has one lease object, which is changed by conditional writes only. Sidecars and
//! engines also check the fencing token of each order, so an outdated holder cannot act: see
//! `docs/design/lease.md`.

mod candidate;
mod elector;
mod object;
mod state_machine;

pub use self::candidate::AlwaysCandidate;
pub use self::candidate::Candidate;
pub use self::elector::LeaderElector;
pub use self::object::LeaseObject;
pub use self::object::key;
pub use self::state_machine::Lease;
pub use self::state_machine::LeaseAction;
pub use self::state_machine::LeaseEvent;
pub use self::state_machine::LeaseTimings;
