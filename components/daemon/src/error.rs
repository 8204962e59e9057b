//! Errors that end a daemon.

use displaydoc::Display;

/// Reason why a daemon cannot start or had to stop.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address} (setting {setting}): {cause}
    Listen {
        /// Key of the setting that holds the address.
        setting: &'static str,
        address: std::net::SocketAddr,
        cause: std::io::Error,
    },
    /// cannot start the async runtime: {0}
    Runtime(std::io::Error),
    /// cannot install the signal handlers: {0}
    Signals(std::io::Error),
}

impl std::error::Error for Error {}
