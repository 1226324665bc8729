//! The lease that lets one entry at a time advance a pool's move.
//!
//! The lease is one object per pool, changed by conditional writes only. What it protects is
//! guarded a second time by the fencing token, which sidecars and engines compare: see
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
