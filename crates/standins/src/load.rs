//! Open-loop load: arrivals that do not wait for answers, and what became of them.

mod arrivals;
mod drive;
mod http;
mod sample;
mod summary;
mod target;
mod traffic;

pub use self::arrivals::Arrival;
pub use self::arrivals::Arrivals;
pub use self::drive::drive;
pub use self::http::HttpTarget;
pub use self::http::get;
pub use self::sample::Outcome;
pub use self::sample::Sample;
pub use self::summary::Latency;
pub use self::summary::Row;
pub use self::summary::Summary;
pub use self::target::CallRequest;
pub use self::target::Reply;
pub use self::target::Target;
pub use self::traffic::Bursts;
pub use self::traffic::Class;
pub use self::traffic::ClassKind;
pub use self::traffic::Traffic;
