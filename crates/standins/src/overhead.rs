//! Measures the latency and the CPU time that an entry and a sidecar add to a call, in real time on
//! loopback.

mod entry;
mod measure;

pub use self::measure::Options;
pub use self::measure::Overhead;
pub use self::measure::PerRequest;
pub use self::measure::measure;
