//! The platform's object API, the only persistent storage of the system.
//!
//! [`HttpObjectApi`] implements the protocol; [`StoreClient`] limits the call rate of a process and
//! rejects outdated replies. See `docs/design/store.md`.

mod api;
mod backoff;
mod client;
mod http;
mod rate_limiter;

pub use self::api::MAX_VALUE_BYTES;
pub use self::api::Object;
pub use self::api::ObjectApi;
pub use self::api::Vm;
pub use self::api::VmState;
pub use self::backoff::FIRST_PAUSE;
pub use self::backoff::MAX_PAUSE;
pub use self::backoff::StoreBackoff;
pub use self::client::CALL_TIMEOUT;
pub use self::client::CallKind;
pub use self::client::CallTotal;
pub use self::client::MAX_RATE_LIMIT_WAIT;
pub use self::client::StoreClient;
pub use self::client::StoreClientLimits;
pub use self::http::HttpObjectApi;
pub use self::http::HttpSettings;
pub use self::rate_limiter::CallRateLimiter;
