//! Admission control: the queue of waiting requests and the displacement of lower-priority work.
//!
//! Entries and sidecars keep waiting requests in a [`FairQueue`]. It serves tiers in strict
//! priority order, applies weighted fair queueing among the client accounts of a tier, and
//! serves the requests of an account by earliest deadline; see `docs/design/admission.md`.

mod queue;
mod ticket;
mod tier_queue;

pub use self::queue::FairQueue;
pub use self::queue::PushOutcome;
pub use self::ticket::Limits;
pub use self::ticket::QueuedRequest;
pub use self::ticket::Ticket;
