//! Who takes part: endpoints and entries, from the tables and the platform's list of VMs.
//!
//! The list lags and is read by few processes; what it says of leaving VMs spreads through
//! sidecars. See `docs/design/store.md`, "Who reads".

mod sampling;
mod tracker;
mod view;

pub use self::sampling::RoleSampler;
pub use self::sampling::SampledRole;
pub use self::tracker::MembershipTracker;
pub use self::view::LeavingEndpoint;
pub use self::view::MAX_LIST_LAG;
pub use self::view::Membership;
