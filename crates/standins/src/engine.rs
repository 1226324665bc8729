//! Stand-in for a model engine that batches continuously and knows no priorities.

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
pub(crate) use self::http::handle;
pub(crate) use self::http::refusal;
pub use self::kv::KvExport;
pub use self::model::Faults;
pub use self::model::ModelEngine;
pub use self::prompt::BLOCK_BYTES;
pub use self::prompt::BYTES_PER_TOKEN;
pub use self::prompt::answer_text;
pub use self::prompt::prefix_blocks;
pub use self::settings::Badness;
pub use self::settings::Settings;
