//! The record of requests that makes a sidecar run each of them at most once.
//!
//! See `docs/design/ledger.md`.

mod book;
mod decide;
mod limits;
mod record;
mod request;

pub use self::book::Ledger;
pub use self::limits::Limits;
pub use self::request::Claim;
pub use self::request::Ending;
pub use self::request::KeyClaim;
pub use self::request::Refusal;
pub use self::request::Revoked;
pub use self::request::Verdict;
