//! The interface between the load generator and the system under test.

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

/// One call to the system under test.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallRequest {
    /// The number of the call, by which calls are distributed over entries.
    pub number: u64,
    /// The path.
    pub path: String,
    /// The headers.
    pub headers: Vec<(&'static str, String)>,
    /// The body.
    pub body: Bytes,
}

/// The response as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reply {
    /// HTTP status; 0 without a response.
    pub status: u16,
    /// The `eelgrassramp-ran` header.
    pub ran: Option<String>,
    /// The `eelgrassramp-request` header.
    pub request: Option<String>,
    /// The body as far as received.
    pub body: Bytes,
    /// Whether the body was received to its end.
    pub complete: bool,
    /// Time to the first byte of the body.
    pub first_byte: Option<Duration>,
}

impl Reply {
    /// Returns the reply of a call without a response.
    #[must_use]
    pub const fn no_response() -> Self {
        Self {
            status: 0,
            ran: None,
            request: None,
            body: Bytes::new(),
            complete: false,
            first_byte: None,
        }
    }
}

/// A system under test, in this process or over HTTP.
#[async_trait]
pub trait Target: Debug + Send + Sync {
    /// Makes one call and reads the response to its end.
    async fn call(&self, req: CallRequest) -> Reply;
}
