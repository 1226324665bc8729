//! Interfaces to the protocols of callers and endpoints, independent of their encoding.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::PromptPart;
use eelgrassramp::Result;
use http::HeaderMap;
use http::StatusCode;
use http::request;
use http::response;

use crate::endpoint::Endpoint;
use crate::endpoint::ReportedLoad;
use crate::work::RequestSize;

/// Decoded head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequestHead {
    /// Unique id of the caller's attempt.
    pub id: Box<str>,
    /// Time that the caller will wait for the response, from the arrival of the request.
    pub timeout: Option<Duration>,
    /// The API key.
    pub api_key: Option<Box<str>>,
    /// Number of prompt tokens, if declared.
    pub prompt_tokens: Option<u64>,
    /// Maximum number of output tokens, if declared.
    pub output_tokens: Option<u64>,
    /// The caller's estimate of the number of output tokens, if it sent one.
    pub output_estimate: Option<u64>,
    /// Parts of the prompt in order, if declared; the last one belongs to this request alone. They contain
    /// no colon.
    pub prompt_parts: Arc<[PromptPart]>,
}

impl CallerRequestHead {
    /// Returns the declared size; what is not declared counts as nothing.
    #[must_use]
    pub fn size(&self) -> RequestSize {
        let output_tokens = self.output_estimate.or(self.output_tokens);
        RequestSize {
            prompt_tokens: self.prompt_tokens.unwrap_or(0),
            output_tokens: output_tokens.unwrap_or(0),
        }
    }

    /// Returns the sum of declared prompt and output tokens.
    #[must_use]
    pub fn declared_tokens(&self) -> Option<u64> {
        let prompt = self.prompt_tokens?;
        Some(prompt.saturating_add(self.output_tokens.unwrap_or(0)))
    }
}

/// Data that an entry adds to the headers of a request to an endpoint.
#[derive(Debug)]
pub struct EndpointRequestContext<'a> {
    /// The intended endpoint; any other one rejects the request.
    pub endpoint: &'a Endpoint,
    /// The caller's account.
    pub account: Option<&'a AccountName>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event: Option<u64>,
}

/// Whether an endpoint's response belongs to the request and may be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponseMatch {
    /// The response proves that the endpoint did not execute the request and never will.
    NotExecuted {
        /// Whether the request reached another endpoint than the intended one.
        misdirected: bool,
    },
    /// The response belongs to this request.
    Valid,
    /// The response belongs to another request or does not come from an endpoint.
    Mismatched,
}

/// Time for which an endpoint that rejected a request asks not to be sent any.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backoff {
    /// The endpoint gave a duration.
    For(Duration),
    /// The endpoint gave a value that is not a duration.
    Invalid,
}

/// Rate of requests that an endpoint accepts from all entries together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RateLimit {
    /// The endpoint gave a number of requests per second, which is finite and not negative.
    PerSecond(f64),
    /// The endpoint gave a value that is not such a number.
    Invalid,
}

/// Decoded head of an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResponseHead {
    /// Whether the response belongs to the request and may be forwarded.
    pub response_match: ResponseMatch,
    /// Load that the endpoint reports.
    pub load: Option<ReportedLoad>,
    /// Time for which the endpoint keeps an idle connection open.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint reports that it is draining and accepts no new requests.
    pub is_draining: bool,
    /// Backoff that the endpoint asked for when it rejected the request.
    pub backoff: Option<Backoff>,
    /// Rate limit that the endpoint names; it is in force for as long as responses contain it.
    pub rate_limit: Option<RateLimit>,
    /// Remaining time for which the endpoint, having just started, handles only little load.
    pub cold_left: Option<Duration>,
}

impl ResponseHead {
    /// Returns whether the response comes from the intended endpoint.
    #[must_use]
    pub const fn is_from_endpoint(&self) -> bool {
        matches!(
            self.response_match,
            ResponseMatch::Valid | ResponseMatch::NotExecuted { misdirected: false }
        )
    }
}

/// Protocol between callers and entries.
pub trait CallerProtocol: Debug + Send + Sync {
    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRequest`](eelgrassramp::Kind::BadRequest) if a header that affects the
    /// handling of the request is missing or malformed.
    fn decode(&self, head: &request::Parts) -> Result<CallerRequestHead>;

    /// Adds the delay before the caller may retry to a response's headers.
    fn set_retry_after(&self, headers: &mut HeaderMap, retry_after: Duration);

    /// Returns whether callers take a status as the promise that the request was not executed and never
    /// will be.
    fn promises_no_execution(&self, status: StatusCode) -> bool;

    /// Returns the path of the readiness check used by the load balancer in front.
    fn readiness_path(&self) -> &'static str;
}

/// Protocol between entries and endpoints.
pub trait EndpointProtocol: Debug + Send + Sync {
    /// Builds the headers of a request to an endpoint from those of the caller.
    ///
    /// Omits connection headers, the API key and headers that only the entry may set.
    fn encode(&self, caller: &HeaderMap, context: &EndpointRequestContext<'_>) -> HeaderMap;

    /// Decodes the head of the response to the request with `request_head`.
    fn decode(&self, head: &response::Parts, request_head: &CallerRequestHead) -> ResponseHead;

    /// Removes the headers that apply only to the connection to the endpoint.
    fn strip_connection_headers(&self, headers: &mut HeaderMap);
}
