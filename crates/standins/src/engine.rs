//! Simulated model engine with continuous batching and no request priorities.

mod batch;
mod cache;
mod http;
mod kv;
mod model;
mod output;
mod prompt;
mod settings;
mod telemetry;

pub use self::batch::Stats;
pub(crate) use self::http::error_response;
pub(crate) use self::http::handle;
pub use self::kv::KvExport;
pub use self::model::Faults;
pub use self::model::ModelEngine;
pub use self::prompt::BLOCK_BYTES;
pub use self::prompt::BYTES_PER_TOKEN;
pub use self::prompt::generated_text;
pub use self::prompt::prefix_blocks;
pub use self::settings::Settings;
pub use self::settings::VersionDefect;
