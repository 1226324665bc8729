//! Progressive delivery: moves a pool's traffic to a new version by a deadline, with automatic
//! rollback.
//!
//! One [`Mover`] per pool makes the decisions. Only the holder of the pool's lease advances a
//! move; any process can stop it with a brake. The state of a move is stored as [`Progress`].
//! For the rationale see `docs/design/rollout.md`.

mod comparison;
mod evidence;
mod gossip;
mod judge;
mod message;
mod mover;
mod progress;
mod runner;
mod sample;
mod schedule;
mod step;
mod task;
mod version_loads;

pub use self::evidence::Regression;
pub use self::gossip::Gossip;
pub use self::judge::Finding;
pub use self::judge::Judge;
pub use self::judge::Series;
pub use self::message::MoveAction;
pub use self::message::MoveEvent;
pub use self::mover::Mover;
pub use self::progress::PREFIX;
pub use self::progress::Phase;
pub use self::progress::Progress;
pub use self::progress::RouteProgress;
pub use self::progress::Status;
pub use self::progress::key;
pub use self::runner::Dependencies;
pub use self::runner::LOAD_INTERVAL;
pub use self::runner::run;
pub use self::sample::Sample;
pub use self::step::Step;
