//! The entry: it accepts callers' requests, queues, dispatches and streams the answers.
//!
//! See `docs/design/entry.md`.

mod answer;
mod classify;
mod core;
mod error_body;
mod flight;
mod gate;
mod guard;
mod histograms;
mod http;
mod keys;
mod poll;
mod run;
mod serve;
mod service;
mod settings;
mod shared;

pub use self::answer::Answer;
pub use self::answer::BodyStream;
pub use self::answer::Head;
pub use self::classify::CallerRequest;
pub use self::classify::header;
pub use self::flight::Event;
pub use self::flight::Flight;
pub use self::flight::MAX_FAILED_RESUMES;
pub use self::flight::Piece;
pub use self::flight::Step;
pub use self::histograms::Series;
pub use self::serve::serve;
pub use self::serve::serve_with;
pub use self::service::Service;
pub use self::settings::DrainSettings;
pub use self::settings::LimitSettings;
pub use self::settings::Settings;
