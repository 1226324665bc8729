//! Shared immutable names.
//!
//! Names are copied far more often than they are created, so every name type wraps an `Arc<str>`
//! and a clone only increments a reference count. Each kind of name has its own type, so that a pool name cannot be passed where a route name is
//! expected.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Maximum length of a name.
pub const MAX_NAME_BYTES: usize = 128;

macro_rules! names {
    ($($(#[$doc:meta])* $name:ident,)+) => {$(
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name without validation; see [`is_valid_name`].
            pub fn new(name: impl Into<Arc<str>>) -> Self {
                Self(name.into())
            }

            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )+};
}

names! {
    /// Name of a client account, the unit of fair queueing.
    AccountName,
    /// Name of a route, a row of the route table.
    RouteName,
    /// Name of a pool, a row of the pool table, as routes refer to it.
    PoolName,
    /// Name of an endpoint.
    EndpointName,
    /// Name of a version of a model or service that a pool can serve.
    VersionName,
    /// Name of a failure domain, a set of VMs that can fail together.
    DomainName,
    /// Name of a hardware generation.
    HardwareName,
    /// Name of an entry process.
    EntryName,
    /// Identity of a part of a prompt, which several requests may share.
    PromptPart,
}

/// Returns whether `name` is valid in tables and settings files.
///
/// A valid name is 1 to [`MAX_NAME_BYTES`] bytes of ASCII letters, digits, `-`, `_`, `.`, `:` or `/`.
#[must_use]
pub fn is_valid_name(name: &str) -> bool {
    let allowed = |b: u8| b.is_ascii_alphanumeric() || b"-_.:/".contains(&b);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.bytes().all(allowed)
}
