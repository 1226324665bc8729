//! The lease that lets one entry at a time advance a pool's move.
//!
//! The lease is one object per pool, changed by conditional writes only. What it protects is
//! guarded a second time by the fencing token, which sidecars and engines compare: see
//! `docs/design/lease.md`.

mod contender;
mod core;
mod object;
mod shell;

pub use self::contender::Always;
pub use self::contender::Contender;
pub use self::core::Lease;
pub use self::core::LeaseAction;
pub use self::core::LeaseEvent;
pub use self::core::LeaseTerms;
pub use self::object::LeaseObject;
pub use self::object::key;
pub use self::shell::Holder;
