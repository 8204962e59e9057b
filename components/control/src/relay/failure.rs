//! What follows from a failed attempt.

use crate::relay::route::Route;

/// How an attempt at an upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was not made, or the request was not sent on it.
    NotSent,
    /// The upstream says that it did not run the request.
    NotRun,
    /// Another upstream has the address and did not run the request.
    Misdirected,
    /// The connection ended or the answer is not a whole answer to this request.
    Broken,
    /// Nothing arrived for too long.
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

    /// Name in logs.
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

/// Sends in addition to the attempts of the route that a request may spend on upstreams that did
/// not run it. A chain of full upstreams is refused instead of being tried to the end.
const EXTRA_SENDS: u32 = 2;

/// What one request has spent on attempts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Spent {
    /// Attempts after which the request may have run.
    pub ran: u32,
    /// Attempts after which it certainly did not run.
    pub not_run: u32,
}

impl Spent {
    /// Counts a failed attempt.
    pub const fn fail(&mut self, failure: Failure) {
        match failure.may_have_run() {
            true => self.ran += 1,
            false => self.not_run += 1,
        }
    }

    /// Whether another attempt is allowed.
    pub const fn may_send(&self, route: &Route) -> bool {
        let repeat = self.ran == 0 || route.is_repeatable();
        repeat && self.ran < route.attempts && self.not_run <= EXTRA_SENDS
    }

    /// Whether "not run" is still true.
    pub const fn is_unrun(&self) -> bool {
        self.ran == 0
    }
}
