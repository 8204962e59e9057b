//! Failures of attempts at upstreams, and the limits on further attempts.

use crate::relay::route::Route;

/// How an attempt at an upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be established, or the request could not be sent on it.
    NotSent,
    /// The upstream reported that it did not run the request.
    NotRun,
    /// The address now belongs to another upstream, which did not run the request.
    Misdirected,
    /// The connection ended early, or the response is incomplete or does not belong to this
    /// request.
    Broken,
    /// No bytes arrived within the timeout.
    Silent,
}

impl Failure {
    /// Whether the request may have run.
    pub const fn may_have_run(self) -> bool {
        match self {
            Self::NotSent | Self::NotRun | Self::Misdirected => false,
            Self::Broken | Self::Silent => true,
        }
    }

    /// Returns the name used in logs and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::NotRun => "not_run",
            Self::Misdirected => "misdirected",
            Self::Broken => "broken",
            Self::Silent => "silent",
        }
    }
}

/// Retries after attempts that certainly did not run the request, in addition to the attempts of
/// the route. Keeps a request from trying every upstream when all of them are full.
const MAX_NOT_RUN_RETRIES: u32 = 2;

/// Failed attempts of one request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Attempts {
    /// Attempts that may have run the request.
    pub possibly_run: u32,
    /// Attempts that certainly did not run the request.
    pub not_run: u32,
}

impl Attempts {
    /// Counts a failed attempt.
    pub const fn record_failure(&mut self, failure: Failure) {
        match failure.may_have_run() {
            true => self.possibly_run += 1,
            false => self.not_run += 1,
        }
    }

    /// Whether another attempt is allowed.
    pub const fn allows_attempt(&self, route: &Route) -> bool {
        let may_repeat = self.possibly_run == 0 || route.is_retryable();
        may_repeat && self.possibly_run < route.max_attempts && self.not_run <= MAX_NOT_RUN_RETRIES
    }

    /// Whether the request certainly did not run.
    pub const fn is_not_run(&self) -> bool {
        self.possibly_run == 0
    }
}
