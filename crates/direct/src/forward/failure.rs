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
    /// Whether bytes may have reached the endpoint; a retry then uses the retry budget.
    pub(super) was_delivered: bool,
}

impl AttemptFailure {
    /// No connection to the endpoint could be opened.
    pub(super) fn unreachable(endpoint: &Endpoint, e: std::io::Error) -> Self {
        let detail = format!("endpoint {} at {}", endpoint.name, endpoint.address);
        Self {
            error: Error::with_source(Kind::ConnectFailed, detail, e),
            outcome: DispatchEnd::Unreachable,
            is_unexecuted: true,
            was_delivered: false,
        }
    }

    /// No response head arrived within `limit`.
    pub(super) fn timed_out(endpoint: &Endpoint, limit: Duration) -> Self {
        let detail = format!(
            "endpoint {} did not answer within {} ms",
            endpoint.name,
            limit.as_millis()
        );
        Self {
            error: Error::new(Kind::DeadlineExceeded, detail),
            outcome: DispatchEnd::TimedOut,
            is_unexecuted: false,
            was_delivered: true,
        }
    }

    /// The connection failed before the response head arrived.
    pub(super) fn connection_lost(
        endpoint: &Endpoint,
        e: hyper::Error,
        is_unexecuted: bool,
    ) -> Self {
        let detail = format!("endpoint {}", endpoint.name);
        let kind = if is_unexecuted {
            Kind::ConnectFailed
        } else {
            Kind::OutcomeUnknown
        };
        Self {
            error: Error::with_source(kind, detail, e),
            outcome: DispatchEnd::Disconnected,
            is_unexecuted,
            was_delivered: !is_unexecuted,
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
            was_delivered: false,
        }
    }

    /// The endpoint answered with a server error.
    pub(super) fn server_error(endpoint: &Endpoint, status: StatusCode) -> Self {
        let detail = format!("endpoint {} answered with status {status}", endpoint.name);
        Self {
            error: Error::new(Kind::OutcomeUnknown, detail),
            outcome: DispatchEnd::Failed,
            is_unexecuted: false,
            was_delivered: true,
        }
    }

    /// The endpoint refused and proved that it did not execute the request.
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
            was_delivered: true,
        }
    }

    /// The endpoint stopped accepting requests after it was selected.
    pub(super) fn not_accepting(endpoint: &Endpoint) -> Self {
        let detail = format!("endpoint {} does not accept new requests", endpoint.name);
        Self {
            error: Error::new(Kind::Overloaded, detail),
            outcome: DispatchEnd::Neutral,
            is_unexecuted: true,
            was_delivered: false,
        }
    }

    /// The response belongs to another request, or did not come from an endpoint.
    pub(super) fn mismatched_answer(endpoint: &Endpoint) -> Self {
        let detail = format!(
            "endpoint {} sent a response that does not match the request",
            endpoint.name
        );
        Self {
            error: Error::new(Kind::OutcomeUnknown, detail),
            outcome: DispatchEnd::Disconnected,
            is_unexecuted: false,
            was_delivered: true,
        }
    }
}
