//! The order in which waiting requests are served, and which of them give way.
//!
//! Entries and sidecars hold waiting work in a [`FairQueue`]. It serves tiers strictly by
//! urgency, shares each tier among client accounts by weight, and serves the earliest deadline
//! of an account first; see `docs/design/admission.md`.

mod queue;
mod ticket;
mod tier_queue;

pub use self::queue::FairQueue;
pub use self::queue::PushOutcome;
pub use self::ticket::Limits;
pub use self::ticket::QueuedRequest;
pub use self::ticket::Ticket;
