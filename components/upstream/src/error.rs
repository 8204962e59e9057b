//! Errors of the upstream client, and whether a failed request was executed.

use displaydoc::Display;

/// Whether an upstream executed a request that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// The request was certainly not executed, so sending it again is always safe.
    NotStarted,
    /// The request was executed, wholly or in part.
    Started,
    /// The request may have been executed.
    Unknown,
}

/// Why a call to an upstream failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Error {
    /// cannot connect to {address}: {cause}
    Connect {
        /// IP address and port of the upstream.
        address: String,
        /// Error of the operating system or of the HTTP library, or a timeout.
        cause: String,
    },
    /// {address} refused the request with status {status}: {message}
    Refused {
        /// IP address and port of the upstream.
        address: String,
        /// HTTP status.
        status: u16,
        /// Beginning of the response body; empty if the body could not be read.
        message: String,
    },
    /// the request to {address} failed: {cause}
    Broken {
        /// IP address and port of the upstream.
        address: String,
        /// Error of the connection or of encoding the request, or a timeout.
        cause: String,
        /// Whether the request was executed before the failure.
        execution: Execution,
    },
    /// {address} sent an invalid response: {cause}
    Protocol {
        /// IP address and port of the upstream.
        address: String,
        /// The violated rule of the protocol, or the exceeded size limit.
        cause: String,
    },
}

impl Error {
    /// Returns whether the failed request was executed.
    ///
    /// A 4xx status other than 408, or status 503, means that the engine refused the request
    /// before admitting it. Any other status does not tell how far the request got.
    pub const fn execution(&self) -> Execution {
        match self {
            Self::Connect { .. } => Execution::NotStarted,
            Self::Refused { status, .. } => match status {
                400..=407 | 409..=499 | 503 => Execution::NotStarted,
                _ => Execution::Unknown,
            },
            Self::Broken { execution, .. } => *execution,
            Self::Protocol { .. } => Execution::Started,
        }
    }
}

impl std::error::Error for Error {}
