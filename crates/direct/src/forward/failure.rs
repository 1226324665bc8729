//! How one send fails, and what that proves.

use std::time::Duration;

use eelgrassramp::Error;
use eelgrassramp::Kind;
use http::StatusCode;

use crate::endpoint::Endpoint;
use crate::endpoint_tracker::Outcome;

/// How one send failed.
pub(super) struct Failure {
    pub(super) error: Error,
    pub(super) outcome: Outcome,
    /// Whether it is proved that the request did not run.
    pub(super) is_unrun: bool,
    /// Whether bytes reached the endpoint, so that the send counts as an arrival.
    pub(super) has_arrived: bool,
}

impl Failure {
    /// No connection could be made.
    pub(super) fn unreachable(endpoint: &Endpoint, e: std::io::Error) -> Self {
        let detail = format!("endpoint {} at {}", endpoint.name, endpoint.address);
        Self {
            error: Error::with_source(Kind::ConnectFailed, detail, e),
            outcome: Outcome::Unreachable,
            is_unrun: true,
            has_arrived: false,
        }
    }

    /// Nothing came in time.
    pub(super) fn silent(endpoint: &Endpoint, limit: Duration) -> Self {
        let detail = format!(
            "endpoint {} gave no answer in {} ms",
            endpoint.name,
            limit.as_millis()
        );
        Self {
            error: Error::new(Kind::DeadlineExceeded, detail),
            outcome: Outcome::TimedOut,
            is_unrun: false,
            has_arrived: true,
        }
    }

    /// The connection broke before the head of an answer came.
    pub(super) fn broken(endpoint: &Endpoint, e: hyper::Error, is_unrun: bool) -> Self {
        let detail = format!("endpoint {}", endpoint.name);
        let kind = if is_unrun {
            Kind::ConnectFailed
        } else {
            Kind::OutcomeUnknown
        };
        Self {
            error: Error::with_source(kind, detail, e),
            outcome: Outcome::Disconnected,
            is_unrun,
            has_arrived: !is_unrun,
        }
    }

    /// No time was left to send the request in.
    pub(super) fn out_of_time() -> Self {
        Self {
            error: Error::new(Kind::DeadlineExpired, "no time is left to send the request"),
            outcome: Outcome::Neutral,
            is_unrun: true,
            has_arrived: false,
        }
    }

    /// The endpoint answered with a failure of its own.
    pub(super) fn failed(endpoint: &Endpoint, status: StatusCode) -> Self {
        let detail = format!("endpoint {} answered with status {status}", endpoint.name);
        Self {
            error: Error::new(Kind::OutcomeUnknown, detail),
            outcome: Outcome::Failed,
            is_unrun: false,
            has_arrived: true,
        }
    }

    /// The endpoint proved that it did not run the request.
    pub(super) fn refused(endpoint: &Endpoint, status: StatusCode, misdirected: bool) -> Self {
        let detail = format!("endpoint {} refused with status {status}", endpoint.name);
        let outcome = if misdirected {
            Outcome::Unreachable
        } else {
            Outcome::Refused
        };
        Self {
            error: Error::new(Kind::Overloaded, detail),
            outcome,
            is_unrun: true,
            has_arrived: true,
        }
    }

    /// The endpoint asked for nothing more after it was chosen.
    pub(super) fn withdrawn(endpoint: &Endpoint) -> Self {
        let detail = format!("endpoint {} takes no new work", endpoint.name);
        Self {
            error: Error::new(Kind::Overloaded, detail),
            outcome: Outcome::Neutral,
            is_unrun: true,
            has_arrived: false,
        }
    }

    /// The answer belongs to another request, or to none.
    pub(super) fn foreign(endpoint: &Endpoint) -> Self {
        let detail = format!(
            "endpoint {} sent an answer that belongs to no request",
            endpoint.name
        );
        Self {
            error: Error::new(Kind::OutcomeUnknown, detail),
            outcome: Outcome::Disconnected,
            is_unrun: false,
            has_arrived: true,
        }
    }
}
