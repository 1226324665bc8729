//! The entry process: accepts callers' requests, queues them, dispatches them to sidecars and
//! streams the responses back.
//!
//! See `docs/design/entry.md`.

mod classify;
mod dispatch_state;
mod error_body;
mod histograms;
mod http;
mod key_home;
mod keys_in_progress;
mod poll;
mod pool_queues;
mod prompt_text;
mod request_task;
mod response;
mod serve;
mod service;
mod settings;
mod shared;
mod state;

pub use self::classify::CallerRequest;
pub use self::classify::header;
pub use self::dispatch_state::DispatchAction;
pub use self::dispatch_state::DispatchState;
pub use self::dispatch_state::LinkEvent;
pub use self::dispatch_state::MAX_FAILED_RESUMES;
pub use self::dispatch_state::ResponsePart;
pub use self::histograms::LatencySummary;
pub use self::response::CallerResponse;
pub use self::response::ResponseBody;
pub use self::response::ResponseHead;
pub use self::serve::serve;
pub use self::serve::serve_with;
pub use self::service::Service;
pub use self::settings::DrainSettings;
pub use self::settings::LimitSettings;
pub use self::settings::Settings;
