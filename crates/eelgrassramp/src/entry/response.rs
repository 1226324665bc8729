//! The response to a caller.

use std::fmt;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::Stream;

use super::error_body;
use crate::error::Error;
use crate::error::Ran;
use crate::error::Result;
use crate::id::RequestId;
use crate::wire::Header;

/// The body of a response; an error item means that the response is incomplete.
pub type ResponseBody = Pin<Box<dyn Stream<Item = Result<Bytes>> + Send>>;

/// Status and headers of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers of the endpoint's response.
    pub headers: Vec<Header>,
    /// Whether the request ran, as far as known when the head is sent.
    pub ran: Ran,
    /// The request id, as written to logs.
    pub request: RequestId,
    /// Seconds after which the caller may retry.
    pub retry_after_s: Option<u64>,
    /// Length of the body, if known.
    pub content_length: Option<u64>,
}

/// The response to one request.
pub struct CallerResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body.
    pub body: ResponseBody,
}

impl CallerResponse {
    /// Creates the response to a request that failed.
    #[must_use]
    pub fn from_error(request: RequestId, err: &Error, ran: Ran) -> Self {
        let body = error_body::to_json(err, ran);
        let answer = err.kind().answer();
        Self {
            head: ResponseHead {
                status: answer.status,
                headers: vec![error_body::content_type()],
                ran,
                request,
                retry_after_s: answer.retry_after.map(|d| d.as_secs()),
                content_length: Some(crate::num::count(body.len())),
            },
            body: Box::pin(futures_util::stream::iter([Ok(body)])),
        }
    }
}

impl fmt::Debug for CallerResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Answer")
            .field("head", &self.head)
            .finish_non_exhaustive()
    }
}
