//! Errors of the platform client.

use displaydoc::Display;

/// Why a call to the platform failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// the platform is unreachable: {0}
    Unreachable(String),
    /// the platform refused the call because of its rate limit
    Limited,
    /// the platform gave no reply to a write, which may have taken effect: {0}
    Unknown(String),
    /// the platform's reply was not understood: {0}
    Protocol(String),
    /// the platform no longer has the changes since version {0}
    HistoryLost(u64),
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the write may have taken effect.
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Limited | Self::HistoryLost(_) => false,
            Self::Unknown(_) | Self::Protocol(_) => true,
        }
    }
}
