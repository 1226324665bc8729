//! Who takes part: endpoints and entries, from the tables and the platform's list of VMs.
//!
//! The list lags and is read by few processes; what it says of leaving VMs spreads through
//! sidecars. See `docs/design/store.md`, "Who reads".

mod core;
mod duty;
mod shell;

pub use self::core::LIST_LAG;
pub use self::core::LeavingEndpoint;
pub use self::core::Membership;
pub use self::duty::Duty;
pub use self::duty::DutyRole;
pub use self::shell::Follower;
