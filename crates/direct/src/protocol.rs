//! The borders to callers and endpoints: what their messages say, without how they say it.

use std::fmt::Debug;
use std::time::Duration;

use eelgrassramp::AccountName;
use eelgrassramp::Result;
use http::HeaderMap;
use http::request;
use http::response;

use crate::endpoint::Endpoint;
use crate::endpoint::ReportedLoad;

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// Identity of the caller's attempt.
    pub id: Box<str>,
    /// Time that the caller will wait, from the arrival of the request.
    pub timeout: Option<Duration>,
    /// The API key.
    pub api_key: Option<Box<str>>,
    /// Tokens in the prompt, when declared.
    pub prompt_tokens: Option<u64>,
    /// Most tokens in the answer, when declared.
    pub output_tokens: Option<u64>,
}

impl Call {
    /// Returns the declared tokens of prompt and answer together.
    #[must_use]
    pub fn declared_tokens(&self) -> Option<u64> {
        let prompt = self.prompt_tokens?;
        Some(prompt.saturating_add(self.output_tokens.unwrap_or(0)))
    }
}

/// What a request to an endpoint carries besides the caller's own headers.
#[derive(Debug)]
pub struct Dispatch<'a> {
    /// The endpoint that is meant; any other one refuses.
    pub endpoint: &'a Endpoint,
    /// The caller's account.
    pub account: Option<&'a AccountName>,
    /// Time that is left for the answer.
    pub time_left: Duration,
    /// The last event that the caller has, when a stream continues.
    pub last_event: Option<u64>,
}

/// What the head of an endpoint's answer says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The endpoint proves that it did not run the request and never will.
    NotRun {
        /// Whether the endpoint is not the one that was meant.
        misdirected: bool,
    },
    /// The head belongs to the request and to the endpoint.
    Valid,
    /// The head belongs to another request, or is not an answer of an endpoint.
    Mismatched,
}

/// How long an endpoint that refused a request wants no other one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Backoff {
    /// It named a time.
    For(Duration),
    /// It named something that is no time.
    Invalid,
}

/// What a decoded answer head tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseHead {
    /// Whether the answer can be passed on.
    pub verdict: Verdict,
    /// The endpoint's load.
    pub load: Option<ReportedLoad>,
    /// Time for which the endpoint keeps the connection when idle.
    pub keep_alive: Option<Duration>,
    /// Whether the endpoint is leaving and wants no new request.
    pub is_leaving: bool,
    /// The pause that the endpoint asked for when it refused.
    pub backoff: Option<Backoff>,
    /// Time for which the endpoint says that it bears little work, as it has just started.
    pub cold_left: Option<Duration>,
}

impl ResponseHead {
    /// Tells whether the endpoint that was meant sent it.
    #[must_use]
    pub const fn is_from_endpoint(&self) -> bool {
        matches!(
            self.verdict,
            Verdict::Valid | Verdict::NotRun { misdirected: false }
        )
    }
}

/// How callers speak.
pub trait CallerProtocol: Debug + Send + Sync {
    /// Decodes the head of a request.
    ///
    /// # Errors
    ///
    /// Returns [`Kind::BadRequest`](eelgrassramp::Kind::BadRequest) when a header that decides
    /// how the request is handled cannot be read.
    fn decode(&self, head: &request::Parts) -> Result<Call>;

    /// Adds the time after which the caller may come back to an answer's headers.
    fn set_retry_after(&self, headers: &mut HeaderMap, wait: Duration);

    /// Returns the path that the balancer asks for readiness.
    fn readiness_path(&self) -> &'static str;
}

/// How endpoints speak.
pub trait EndpointProtocol: Debug + Send + Sync {
    /// Builds the headers of a request to an endpoint from the caller's.
    ///
    /// Headers of the caller's connection, its API key, and headers that are this system's to
    /// set do not pass.
    fn encode(&self, caller: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Decodes the head of the answer to the request `call`.
    fn decode(&self, head: &response::Parts, call: &Call) -> ResponseHead;

    /// Removes from an answer's headers what concerns only the endpoint's connection.
    fn strip_connection_headers(&self, headers: &mut HeaderMap);
}
