//! The platform's object API: the only place where anything lasts.

mod api;
mod http;

pub use self::api::MAX_VALUE_BYTES;
pub use self::api::Object;
pub use self::api::ObjectApi;
pub use self::api::Vm;
pub use self::api::VmState;
pub use self::http::HttpObjectApi;
pub use self::http::HttpSettings;
