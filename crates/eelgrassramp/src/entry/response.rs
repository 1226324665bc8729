//! What a caller gets.

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

/// The body of an answer; an error in it means that the answer is not whole.
pub type ResponseBody = Pin<Box<dyn Stream<Item = Result<Bytes>> + Send>>;

/// Status and headers of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status.
    pub status: u16,
    /// Headers of the endpoint's answer.
    pub headers: Vec<Header>,
    /// Whether the request ran, as far as it is known before the body.
    pub ran: Ran,
    /// The request's identity, for logs.
    pub request: RequestId,
    /// Seconds after which the caller may send the request again.
    pub retry_after_s: Option<u64>,
    /// Length of the body where it is known.
    pub content_length: Option<u64>,
}

/// The answer to one request.
pub struct CallerResponse {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body.
    pub body: ResponseBody,
}

impl CallerResponse {
    /// Creates the answer for a request that ended with an error.
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
