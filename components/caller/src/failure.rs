//! Refusals and errors as the caller sees them.

use std::{fmt, time::Duration};

/// Machine-readable kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The request is malformed.
    Invalid,
    /// The body or the header section is too large.
    TooLarge,
    /// The bearer token belongs to no client, or is not the operators' one.
    Unauthorized,
    /// The deployment, model, job or path does not exist.
    NotFound,
    /// The same key was used with other content, or the expected revision is not the newest.
    Conflict,
    /// The client is over its limit.
    Limited,
    /// Queue or upstreams are full.
    Overloaded,
    /// No upstream or no platform is in service.
    Unavailable,
    /// The deadline has passed.
    Expired,
    /// Every allowed attempt failed.
    UpstreamFailed,
    /// Whether the non-idempotent request ran is not known.
    OutcomeUnknown,
    /// A fault of the daemon.
    Internal,
}

impl Kind {
    /// The name in the JSON body.
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

    /// The HTTP status.
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

/// Why a call was not answered.
#[derive(Clone, Debug, PartialEq)]
pub struct Failure {
    /// Machine-readable kind.
    pub kind: Kind,
    /// What happened and what to change.
    pub message: String,
    /// Whether the request certainly did not run and nothing was accepted.
    pub not_run: bool,
    /// When the caller may come back.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// A failure of a request that did not run.
    pub fn not_run(kind: Kind, message: impl Into<String>) -> Self {
        Self { kind, message: message.into(), not_run: true, retry_after: None }
    }

    /// A failure of a request that ran or may have run.
    pub fn ran(kind: Kind, message: impl Into<String>) -> Self {
        Self { not_run: false, ..Self::not_run(kind, message) }
    }

    /// Sets when the caller may come back.
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
