//! A request scheduler for heterogeneous engines, configured by a route table and a pool table.
//!
//! Entries accept callers' requests, each endpoint has a sidecar, and persistent state is stored in
//! the platform's object API. Decisions are made by state machines without I/O, which get the time
//! and events as arguments; a thin layer around each of them performs the I/O. Start with
//! `docs/DESIGN.md`.
//!
//! # Examples
//!
//! ```
//! use eelgrassramp::{Kind, Ran};
//!
//! // The kind of an error alone determines whether the request may have run.
//! assert_eq!(Kind::Displaced.answer().ran, Ran::No);
//! assert_eq!(Kind::OutcomeUnknown.answer().ran, Ran::Maybe);
//! ```

pub mod admission;
pub mod connection_table;
pub mod engine;
pub mod entry;
mod error;
mod id;
pub mod jsonc;
pub mod key;
pub mod lease;
pub mod ledger;
pub mod link;
pub mod listener;
pub mod log;
pub mod membership;
pub mod metrics;
mod name;
pub mod num;
mod process;
pub mod proof;
pub mod request_body;
pub mod retry;
pub mod rollout;
pub mod routing;
pub mod sidecar;
pub mod store;
mod sync;
pub mod tables;
mod tier;
mod time;
pub mod wire;

pub use self::error::Answer;
pub use self::error::Category;
pub use self::error::Error;
pub use self::error::Kind;
pub use self::error::Ran;
pub use self::error::Result;
pub use self::error::to_markdown as errors_to_markdown;
pub use self::id::Attempt;
pub use self::id::ClockMark;
pub use self::id::FencingToken;
pub use self::id::Incarnation;
pub use self::id::ObjectVersion;
pub use self::id::RequestId;
pub use self::id::TableVersion;
pub use self::name::AccountName;
pub use self::name::DomainName;
pub use self::name::EndpointName;
pub use self::name::EntryName;
pub use self::name::HardwareName;
pub use self::name::MAX_NAME_BYTES;
pub use self::name::PoolName;
pub use self::name::PromptPart;
pub use self::name::RouteName;
pub use self::name::VersionName;
pub use self::name::is_valid_name;
pub use self::process::Context;
pub use self::process::stop_on_signal;
pub use self::sync::lock;
pub use self::sync::restart_on_panic;
pub use self::tier::Tier;
pub use self::time::Monotonic;
pub use self::time::Ticks;
pub use self::time::Timers;
