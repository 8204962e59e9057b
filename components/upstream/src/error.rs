//! Errors of the upstream client.

use displaydoc::Display;

/// What is known of the run of a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ran {
    /// It certainly did not run.
    No,
    /// It ran, wholly or in part.
    Yes,
    /// Not known.
    Unknown,
}

/// Why a call to an upstream failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// cannot connect to {address}: {cause}
    Connect {
        /// Address of the upstream.
        address: String,
        /// Cause.
        cause: String,
    },
    /// {address} refused the request with status {status}: {message}
    Refused {
        /// Address of the upstream.
        address: String,
        /// HTTP status.
        status: u16,
        /// Message of the upstream.
        message: String,
    },
    /// the connection to {address} broke: {cause}
    Broken {
        /// Address of the upstream.
        address: String,
        /// Cause.
        cause: String,
        /// What is known of the run.
        ran: Ran,
    },
    /// {address} sent an answer that was not understood: {cause}
    Protocol {
        /// Address of the upstream.
        address: String,
        /// Cause.
        cause: String,
    },
}

impl Error {
    /// What is known of the run of the request.
    ///
    /// An engine that answers with a 4xx status, or with 503, refuses before it admits the
    /// request. Any other status says nothing about how far the request got.
    pub const fn ran(&self) -> Ran {
        match self {
            Self::Connect { .. } => Ran::No,
            Self::Refused { status, .. } => match status {
                400..=407 | 409..=499 | 503 => Ran::No,
                _ => Ran::Unknown,
            },
            Self::Broken { ran, .. } => *ran,
            Self::Protocol { .. } => Ran::Yes,
        }
    }
}

impl std::error::Error for Error {}
