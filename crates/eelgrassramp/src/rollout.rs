//! Moves of a pool's traffic from one version to another, by a date, with verdicts.
//!
//! One [`Mover`] per pool decides; the holder of the pool's lease lets it go forward, and
//! every process lets it go back. Progress is an object of its own, [`Progress`]. For the
//! reasons see `docs/design/rollout.md`.

mod board;
mod comparison;
mod evidence;
mod judge;
mod ladder;
mod loads;
mod message;
mod mover;
mod pace;
mod progress;
mod sample;
mod shell;
mod task;

pub use self::board::Board;
pub use self::evidence::Badness;
pub use self::judge::Finding;
pub use self::judge::Judge;
pub use self::judge::Series;
pub use self::ladder::Step;
pub use self::message::MoveAction;
pub use self::message::MoveEvent;
pub use self::mover::Mover;
pub use self::progress::PREFIX;
pub use self::progress::Phase;
pub use self::progress::Progress;
pub use self::progress::RouteProgress;
pub use self::progress::Status;
pub use self::progress::key;
pub use self::sample::Sample;
pub use self::shell::LOAD_INTERVAL;
pub use self::shell::Parts;
pub use self::shell::run;
