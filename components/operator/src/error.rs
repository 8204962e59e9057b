//! Errors of the admin client.

use std::time::Duration;

use displaydoc::Display;

/// Why a call to a daemon failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// cannot connect to {server}: {cause}
    Unreachable {
        /// Address of the daemon.
        server: String,
        /// Cause.
        cause: String,
    },
    /// {server} gave no complete answer, so the call may have taken effect: {cause}
    Lost {
        /// Address of the daemon.
        server: String,
        /// Cause.
        cause: String,
    },
    /// {kind}: {message}
    Refused {
        /// Machine-readable kind of the daemon's answer.
        kind: String,
        /// What happened and what to change.
        message: String,
        /// Whether the call certainly had no effect.
        not_run: bool,
        /// When the call may be repeated.
        retry_after: Option<Duration>,
    },
    /// {server} sent an answer that was not understood: {cause}
    Protocol {
        /// Address of the daemon.
        server: String,
        /// Cause.
        cause: String,
    },
    /// {0}
    Argument(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Whether the call may have taken effect although it failed.
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Lost { .. } => true,
            Self::Refused { not_run, .. } => !*not_run,
            Self::Unreachable { .. } | Self::Protocol { .. } | Self::Argument(_) => false,
        }
    }

    /// Whether the daemon refused the call because it contradicts an accepted one.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Refused { kind, .. } if kind == "conflict")
    }
}
