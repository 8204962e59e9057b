//! Errors of the client of a daemon.

use std::time::Duration;

use displaydoc::Display;

/// Reason why a call to a daemon failed. The `Display` form is the message for operators.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// cannot connect to {server}: {cause}
    Unreachable {
        /// Address of the daemon, a host and a port.
        server: String,
        /// Error of the connection attempt, or a status 502 or 503 without the error of a daemon.
        cause: String,
    },
    /// no complete response from {server}, so the call may have taken effect: {cause}
    ReplyLost {
        /// Address of the daemon, a host and a port.
        server: String,
        /// Error of the connection, the time limit that passed, or a status 504 without the error of a
        /// daemon.
        cause: String,
    },
    /// {kind}: {message}
    Refused {
        /// Kind of the error as the daemon names it, for example `conflict`; the HTTP status when the
        /// response is not one of a daemon.
        kind: String,
        /// What happened and what to change, as the daemon states it.
        message: String,
        /// Whether the daemon guarantees that the call had no effect. When `false`, it may have taken
        /// effect.
        not_run: bool,
        /// Time after which the call may be repeated, when the daemon states one.
        retry_after: Option<Duration>,
    },
    /// {server} sent an invalid response: {cause}
    Protocol {
        /// Address of the daemon, a host and a port.
        server: String,
        /// What is wrong with the response.
        cause: String,
    },
    /// {0}
    Argument(String),
}

impl std::error::Error for Error {}

impl Error {
    /// Returns whether the call may have taken effect although it failed.
    ///
    /// This holds for a lost reply, and for a refusal without the guarantee that the call had no
    /// effect. It says nothing about an invalid response, for which it returns `false`.
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::ReplyLost { .. } => true,
            Self::Refused { not_run, .. } => !*not_run,
            Self::Unreachable { .. } | Self::Protocol { .. } | Self::Argument(_) => false,
        }
    }

    /// Returns whether the daemon refused the call because it conflicts with an accepted one, for
    /// example with a newer configuration revision.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Refused { kind, .. } if kind == "conflict")
    }
}
