//! Errors of calls to the platform, which tell whether a write may have taken effect.

use displaydoc::Display;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the platform is unreachable: {0}
    Unreachable(String),
    /// the platform refused the call because its rate limit was exceeded
    RateLimited,
    /// the platform did not confirm a write, which may have taken effect: {0}
    OutcomeUnknown(String),
    /// the platform refused the call for what it holds, and would refuse it again: {0}
    Rejected(String),
    /// the platform's answer is invalid: {0}
    Protocol(String),
    /// the platform no longer has the changes since version {0}
    HistoryLost(u64),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the write that failed with this error may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::RateLimited | Self::HistoryLost(_) | Self::Rejected(_) => {
                false
            }
            Self::OutcomeUnknown(_) | Self::Protocol(_) => true,
        }
    }
}
