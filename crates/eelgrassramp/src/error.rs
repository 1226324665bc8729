//! Error kinds and the answer to the caller for each kind.
//!
//! Every failure visible to a caller, an operator or another process has one [`Kind`]. The kind
//! alone determines the HTTP status, whether the request may have run, and when the caller may
//! retry; the table is rendered into `docs/ERRORS.md`.

use std::error::Error as StdError;
use std::fmt;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The result of an operation of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Whether a request ran, as far as it can be proved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request provably did not run.
    No,
    /// The request ran or may have run.
    Maybe,
    /// The request ran to its end.
    Yes,
}

impl Ran {
    /// Returns the value of the `eelgrassramp-ran` response header.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Maybe => "maybe",
            Self::Yes => "yes",
        }
    }
}

/// Category of error kinds by who has to act.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Category {
    /// The caller has to change the request.
    Caller,
    /// Demand exceeds capacity; the caller may retry later.
    Overload,
    /// A required component is temporarily unavailable.
    Unavailable,
    /// The request may have run and its answer is lost.
    Unknown,
    /// A process has outdated state and has to refresh it.
    Outdated,
    /// An operator has to change a table or a settings file.
    Operator,
    /// There is a fault in the program.
    Internal,
}

/// Answer to the caller for one error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Time after which the caller may retry; `None` if it should not retry.
    pub retry_after: Option<Duration>,
    /// Who has to act.
    pub category: Category,
}

macro_rules! kinds {
    ($($(#[doc = $doc:literal])+ $kind:ident $name:literal $status:literal $ran:ident $retry:expr, $category:ident;)+) => {
        /// The closed list of error kinds.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[doc = $doc])+ $kind,)+
        }

        impl Kind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)+];

            /// Returns the name used in answers, logs and metrics.
            #[must_use]
            pub const fn as_str(self) -> &'static str {
                match self { $(Self::$kind => $name,)+ }
            }

            /// Returns a description of the kind in one sentence.
            #[must_use]
            pub const fn meaning(self) -> &'static str {
                match self { $(Self::$kind => concat!($($doc),+),)+ }
            }

            /// Returns the answer to the caller for this kind.
            #[must_use]
            pub const fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        status: $status,
                        ran: Ran::$ran,
                        retry_after: seconds($retry),
                        category: Category::$category,
                    },)+
                }
            }
        }
    };
}

const fn seconds(s: u64) -> Option<Duration> {
    if s == 0 {
        None
    } else {
        Some(Duration::from_secs(s))
    }
}

kinds! {
    /// The request is malformed.
    BadRequest "bad_request" 400 No 0, Caller;
    /// The request body is larger than its route allows.
    RequestTooLarge "request_too_large" 413 No 0, Caller;
    /// The request head is larger than the tables allow.
    HeadTooLarge "head_too_large" 431 No 0, Caller;
    /// The caller sent its request too slowly.
    RequestTimeout "request_timeout" 408 No 1, Caller;
    /// The request carries no API key that names a client account.
    Unauthorized "unauthorized" 401 No 0, Caller;
    /// The client account has asked for more than its quota.
    QuotaExceeded "quota_exceeded" 429 No 1, Caller;
    /// No route matches the request.
    UnknownRoute "unknown_route" 404 No 0, Caller;
    /// The idempotency key was used before with another request.
    KeyReused "key_reused" 422 No 0, Caller;
    /// A request with the same idempotency key is still in progress.
    KeyInProgress "key_in_progress" 409 Maybe 1, Caller;
    /// The caller went away before the answer was complete.
    CallerGone "caller_gone" 499 Maybe 0, Caller;
    /// The queue of the tier is full.
    Overloaded "overloaded" 503 No 2, Overload;
    /// More urgent work took the place of the request before it started.
    Displaced "displaced" 503 No 2, Overload;
    /// More urgent work stopped the request after it had started.
    Preempted "preempted" 503 Maybe 2, Overload;
    /// The deadline cannot be met, so the request was not started.
    DeadlineUnmeetable "deadline_unmeetable" 503 No 2, Overload;
    /// The deadline passed before the request started.
    DeadlineExpired "deadline_expired" 504 No 2, Overload;
    /// The deadline passed while the request was running.
    DeadlineExceeded "deadline_exceeded" 504 Maybe 0, Unknown;
    /// The retry budget is spent.
    RetryBudgetSpent "retry_budget_spent" 503 No 2, Overload;
    /// No endpoint of the pool can be reached.
    PoolUnavailable "pool_unavailable" 503 No 1, Unavailable;
    /// The request, or a part of its prompt, crashed several endpoints, so it is not sent to any.
    PromptBlocked "prompt_blocked" 503 No 60, Unavailable;
    /// The process or endpoint is leaving and takes no new work.
    Draining "draining" 503 No 1, Unavailable;
    /// The connection failed before any byte of the request was sent.
    ConnectFailed "connect_failed" 503 No 1, Unavailable;
    /// The endpoint answered with a failure after the request had started.
    EndpointFailed "endpoint_failed" 502 Maybe 0, Unknown;
    /// The answer ended before its final frame.
    StreamBroken "stream_broken" 502 Maybe 0, Unknown;
    /// The request may have run and its outcome cannot be learned.
    OutcomeUnknown "outcome_unknown" 502 Maybe 0, Unknown;
    /// The request was revoked before it started.
    Revoked "revoked" 503 No 1, Unavailable;
    /// The dispatch names another incarnation of the sidecar.
    WrongIncarnation "wrong_incarnation" 409 No 1, Outdated;
    /// The dispatch carries a clock mark older than the ledger remembers.
    StaleMark "stale_mark" 409 No 1, Outdated;
    /// The dispatch carries an older table version than the sidecar knows.
    StaleTables "stale_tables" 409 No 1, Outdated;
    /// The endpoint does not serve the pool or version that the dispatch names.
    NotServed "not_served" 409 No 1, Outdated;
    /// The version was braked because it is bad.
    Braked "braked" 503 No 1, Unavailable;
    /// The order carries an outdated fencing token.
    FencedOff "fenced_off" 409 No 0, Outdated;
    /// The object changed since it was read.
    Conflict "conflict" 409 No 0, Operator;
    /// The object does not exist.
    NotFound "not_found" 404 No 0, Operator;
    /// The platform's object API cannot be reached or refuses calls.
    StoreUnavailable "store_unavailable" 503 No 1, Unavailable;
    /// A write was sent and its outcome is not known yet.
    WriteUnsettled "write_unsettled" 503 Maybe 1, Unavailable;
    /// A message between processes cannot be decoded.
    Malformed "malformed" 400 No 0, Caller;
    /// The tables are invalid.
    InvalidTables "invalid_tables" 422 No 0, Operator;
    /// The settings are invalid.
    InvalidSettings "invalid_settings" 422 No 0, Operator;
    /// The program failed an internal check.
    Internal "internal" 500 Maybe 0, Internal;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// An error of one [`Kind`] with a detail message.
///
/// # Examples
///
/// ```
/// use eelgrassramp::{Error, Kind, Ran};
///
/// let err = Error::new(Kind::UnknownRoute, "no route matches path \"/v1/prints\"");
/// assert_eq!(err.kind().answer().status, 404);
/// assert_eq!(err.kind().answer().ran, Ran::No);
/// ```
#[derive(Debug)]
#[derive(thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Error {
    kind: Kind,
    detail: Box<str>,
    #[source]
    source: Option<Box<dyn StdError + Send + Sync>>,
}

impl Error {
    /// Creates an error whose `detail` names the affected item.
    pub fn new(kind: Kind, detail: impl Into<Box<str>>) -> Self {
        Self {
            kind,
            detail: detail.into(),
            source: None,
        }
    }

    /// Creates an error that was caused by `source`.
    pub fn with_source(
        kind: Kind,
        detail: impl Into<Box<str>>,
        source: impl Into<Box<dyn StdError + Send + Sync>>,
    ) -> Self {
        let source = source.into();
        let detail = format!("{}: {source}", detail.into());
        Self {
            kind,
            detail: detail.into(),
            source: Some(source),
        }
    }

    /// Returns the kind.
    #[must_use]
    pub const fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns who has to act.
    #[must_use]
    pub const fn classify(&self) -> Category {
        self.kind.answer().category
    }

    /// Returns the detail message.
    #[must_use]
    pub fn detail(&self) -> &str {
        &self.detail
    }
}

/// Renders the table of kinds and answers as Markdown, for `docs/ERRORS.md`.
#[must_use]
pub fn to_markdown() -> String {
    let mut out =
        String::from("| kind | status | ran | retry after | meaning |\n|---|---|---|---|---|\n");
    for kind in Kind::ALL {
        let answer = kind.answer();
        let retry = answer
            .retry_after
            .map_or_else(|| "-".into(), |d| format!("{} s", d.as_secs()));
        let row = format!(
            "| `{kind}` | {} | {} | {retry} |{} |\n",
            answer.status,
            answer.ran.as_str(),
            kind.meaning(),
        );
        out.push_str(&row);
    }
    out
}
