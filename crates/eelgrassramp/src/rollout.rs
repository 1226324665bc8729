//! Moves of a pool's traffic from one version to another, by a date, with verdicts.
//!
//! One [`Mover`] per pool decides; the holder of the pool's lease lets it go forward, and
//! every process lets it go back. Progress is an object of its own, [`Progress`]. For the
//! reasons see `docs/design/rollout.md`.

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
