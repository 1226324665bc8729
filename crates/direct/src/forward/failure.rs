//! Failures of one attempt, and whether the endpoint may have executed the request.

use std::time::Duration;

use eelgrassramp::Error;
use eelgrassramp::Kind;
use http::StatusCode;

use crate::endpoint::Endpoint;
use crate::endpoint_tracker::DispatchEnd;

/// The failure of one attempt.
pub(super) struct AttemptFailure {
    pub(super) error: Error,
    pub(super) outcome: DispatchEnd,
    /// Whether the request is proven not to have been executed.
    pub(super) is_unexecuted: bool,
    /// Whether bytes may have reached the endpoint; a retry then uses the retry budget, even if the
    /// endpoint refused the request without executing it.
    pub(super) may_have_arrived: bool,
}

impl AttemptFailure {
    /// No connection to the endpoint could be opened.
    pub(super) fn unreachable(endpoint: &Endpoint, e: std::io::Error) -> Self {
        let detail = format!(
            "cannot connect to endpoint {} at {}",
            endpoint.name, endpoint.address
        );
        Self {
            error: Error::with_source(Kind::ConnectFailed, detail, e),
            outcome: DispatchEnd::Unreachable,
            is_unexecuted: true,
            may_have_arrived: false,
        }
    }

    /// No response head arrived within `limit`.
    pub(super) fn timed_out(endpoint: &Endpoint, limit: Duration) -> Self {
        let detail = format!(
            "endpoint {} did not respond within {} ms",
            endpoint.name,
            limit.as_millis()
        );
        Self {
            error: Error::new(Kind::DeadlineExceeded, detail),
            outcome: DispatchEnd::TimedOut,
            is_unexecuted: false,
            may_have_arrived: true,
        }
    }

    /// The connection failed before the response head arrived.
    pub(super) fn connection_lost(
        endpoint: &Endpoint,
        e: hyper::Error,
        is_unexecuted: bool,
    ) -> Self {
        let detail = format!("connection to endpoint {} failed", endpoint.name);
        let kind = if is_unexecuted {
            Kind::ConnectFailed
        } else {
            Kind::OutcomeUnknown
        };
        Self {
            error: Error::with_source(kind, detail, e),
            outcome: DispatchEnd::Disconnected,
            is_unexecuted,
            may_have_arrived: !is_unexecuted,
        }
    }

    /// The deadline passed before the request was sent.
    pub(super) fn deadline_expired() -> Self {
        Self {
            error: Error::new(
                Kind::DeadlineExpired,
                "deadline passed before the request was sent",
            ),
            outcome: DispatchEnd::Neutral,
            is_unexecuted: true,
            may_have_arrived: false,
        }
    }

    /// The prompt was blocked after the endpoint was selected.
    pub(super) const fn blocked(error: Error) -> Self {
        Self {
            error,
            outcome: DispatchEnd::Neutral,
            is_unexecuted: true,
            may_have_arrived: false,
        }
    }

    /// The endpoint responded with a failure, and may have executed the request.
    pub(super) fn failed(endpoint: &Endpoint, status: StatusCode) -> Self {
        let detail = format!("endpoint {} responded with status {status}", endpoint.name);
        Self {
            error: Error::new(Kind::OutcomeUnknown, detail),
            outcome: DispatchEnd::Failed,
            is_unexecuted: false,
            may_have_arrived: true,
        }
    }

    /// The endpoint refused and proved that it did not execute the request.
    ///
    /// A misdirected request, which reached another endpoint than the intended one, counts like a
    /// failed connection to the intended one.
    pub(super) fn refused(endpoint: &Endpoint, status: StatusCode, misdirected: bool) -> Self {
        let detail = format!("endpoint {} refused with status {status}", endpoint.name);
        let outcome = if misdirected {
            DispatchEnd::Unreachable
        } else {
            DispatchEnd::Refused
        };
        Self {
            error: Error::new(Kind::Overloaded, detail),
            outcome,
            is_unexecuted: true,
            may_have_arrived: true,
        }
    }

    /// The endpoint stopped accepting requests after it was selected.
    pub(super) fn not_accepting(endpoint: &Endpoint) -> Self {
        let detail = format!("endpoint {} does not accept new requests", endpoint.name);
        Self {
            error: Error::new(Kind::Overloaded, detail),
            outcome: DispatchEnd::Neutral,
            is_unexecuted: true,
            may_have_arrived: false,
        }
    }

    /// The response has a status that no answer to a request has. Counts like a connection that failed.
    pub(super) fn invalid_status(endpoint: &Endpoint, status: StatusCode) -> Self {
        let detail = format!("endpoint {} sent the status {status}", endpoint.name);
        Self::no_answer(detail)
    }

    /// The response belongs to another request, or did not come from an endpoint. Counts like a
    /// connection that failed.
    pub(super) fn mismatched_response(endpoint: &Endpoint) -> Self {
        let detail = format!(
            "endpoint {} sent a response that does not match the request",
            endpoint.name
        );
        Self::no_answer(detail)
    }

    fn no_answer(detail: String) -> Self {
        Self {
            error: Error::new(Kind::OutcomeUnknown, detail),
            outcome: DispatchEnd::Disconnected,
            is_unexecuted: false,
            may_have_arrived: true,
        }
    }
}
