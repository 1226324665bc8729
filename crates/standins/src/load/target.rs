//! The border between the load and what it is sent to.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

/// One call as its caller sends it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// Which caller sends it; callers are spread over entries by it.
    pub number: u64,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// What the caller got.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status; 0 when there was no answer at all.
    pub status: u16,
    /// The `eelgrassramp-ran` header.
    pub ran: Option<String>,
    /// The `eelgrassramp-request` header.
    pub request: Option<String>,
    /// The body as far as it came.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub whole: bool,
    /// Time to the first byte of the body.
    pub first_byte: Option<Duration>,
}

impl Reply {
    /// The reply of a call that got no answer.
    #[must_use]
    pub const fn none() -> Self {
        Self {
            status: 0,
            ran: None,
            request: None,
            body: Bytes::new(),
            whole: false,
            first_byte: None,
        }
    }
}

/// Takes calls: an entry in this process, or any number of them over HTTP.
#[async_trait]
pub trait Target: Debug + Send + Sync {
    /// Makes one call and reads its whole answer.
    async fn call(&self, req: CallRequest) -> Reply;
}
