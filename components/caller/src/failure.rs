//! Failures that the server reports to callers, with their kind and HTTP status.

use std::{fmt, time::Duration};

/// Machine-readable kind of a failure, which callers and scripts can match.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request is malformed.
    Invalid,
    /// The body or the header section is too large.
    TooLarge,
    /// The bearer token belongs to no client, or the caller is not an operator.
    Unauthorized,
    /// The deployment, model, job or path does not exist.
    NotFound,
    /// The key was already used with other content or its request is still running, or the expected
    /// revision is not the newest.
    Conflict,
    /// The client exceeds one of its limits.
    Limited,
    /// The queue, the upstreams or the memory for batch input are full.
    Overloaded,
    /// No upstream of the deployment or no platform service is available, or the daemon is
    /// stopping.
    Unavailable,
    /// The deadline of the request has passed.
    Expired,
    /// Every attempt failed, and no further one is allowed.
    UpstreamFailed,
    /// It is unknown whether a request that is not idempotent ran.
    OutcomeUnknown,
    /// The daemon has an internal error.
    Internal,
}

impl Kind {
    /// Returns the name in the field `error.kind` of the JSON body.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Invalid => "invalid",
            Self::TooLarge => "too_large",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::Conflict => "conflict",
            Self::Limited => "limited",
            Self::Overloaded => "overloaded",
            Self::Unavailable => "unavailable",
            Self::Expired => "expired",
            Self::UpstreamFailed => "upstream_failed",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Internal => "internal",
        }
    }

    /// Returns the HTTP status of a response with this failure.
    pub const fn status(self) -> u16 {
        match self {
            Self::Invalid => 400,
            Self::TooLarge => 413,
            Self::Unauthorized => 401,
            Self::NotFound => 404,
            Self::Conflict => 409,
            Self::Limited => 429,
            Self::Overloaded | Self::Unavailable => 503,
            Self::Expired => 504,
            Self::UpstreamFailed | Self::OutcomeUnknown => 502,
            Self::Internal => 500,
        }
    }
}

/// Failure of a request, as reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    pub kind: Kind,
    /// Human-readable description, with advice if the caller can avoid the failure.
    pub message: String,
    /// Whether it is certain that the request did not run and had no effect.
    pub not_run: bool,
    /// Time after which the caller may retry; absent if the daemon has no estimate.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure of a request that certainly had no effect.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), not_run: true, retry_after: None }
    }

    /// Creates a failure of a request that ran or may have run.
    pub fn may_have_run(kind: Kind, message: impl Into<String>) -> Self {
        Self { not_run: false, ..Self::not_run(kind, message) }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.name(), self.message)
    }
}

impl std::error::Error for Failure {}
