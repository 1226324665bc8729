//! Open-loop load generation: requests are sent at their arrival times, whether or not earlier
//! ones have been answered, and their outcomes are recorded.

mod arrivals;
mod http;
mod runner;
mod sample;
mod summary;
mod target;
mod traffic;

pub use self::arrivals::Arrival;
pub use self::arrivals::Arrivals;
pub use self::http::HttpTarget;
pub use self::http::get;
pub use self::runner::run_load;
pub use self::sample::Outcome;
pub use self::sample::Sample;
pub use self::summary::GroupSummary;
pub use self::summary::Latency;
pub use self::summary::Summary;
pub use self::target::CallRequest;
pub use self::target::Reply;
pub use self::target::Target;
pub use self::traffic::Bursts;
pub use self::traffic::Class;
pub use self::traffic::ClassKind;
pub use self::traffic::Traffic;
