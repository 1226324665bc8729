//! Endpoint selection for requests.
//!
//! Everything an entry knows about endpoints may be seconds out of date. [`Router`] estimates
//! the completion time on each of a few candidates and selects the lowest; see
//! `docs/design/routing.md`.

mod gossip_state;
mod health;
mod length;
mod policy;
mod pool;
mod prefix;
mod router;
mod view;

pub use self::gossip_state::GossipState;
pub use self::health::Outcome;
pub use self::length::OutputLength;
pub use self::policy::Policy;
pub use self::prefix::BLOCK_BYTES;
pub use self::prefix::block_hashes;
pub use self::router::Candidate;
pub use self::router::Choice;
pub use self::router::PollTarget;
pub use self::router::Router;
pub use self::router::RoutingQuery;
