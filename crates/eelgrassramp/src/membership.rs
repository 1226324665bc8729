//! Membership of endpoints and entries, from the tables and the platform's list of VMs.
//!
//! The list lags and is read by few processes; sidecars pass on which VMs are leaving. See
//! `docs/design/store.md`, "Who reads".

mod sampling;
mod tracker;
mod view;

pub use self::sampling::RoleSampler;
pub use self::sampling::SampledRole;
pub use self::tracker::MembershipTracker;
pub use self::view::LeavingEndpoint;
pub use self::view::MAX_LIST_LAG;
pub use self::view::Membership;
