//! Request ledger of a sidecar; ensures that each request runs at most once.
//!
//! See `docs/design/ledger.md`.

mod decide;
mod limits;
mod record;
mod request;
mod state_machine;

pub use self::limits::Limits;
pub use self::request::DispatchDecision;
pub use self::request::DispatchHeader;
pub use self::request::IdempotencyInfo;
pub use self::request::Refusal;
pub use self::request::RevokeOutcome;
pub use self::request::RunOutcome;
pub use self::state_machine::Ledger;
