//! Why a daemon cannot run.

use displaydoc::Display;

/// Why a daemon cannot start or had to stop.
#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {address} ({setting}): {cause}
    Listen {
        /// Setting that names the address.
        setting: &'static str,
        /// Address.
        address: std::net::SocketAddr,
        /// Cause.
        cause: std::io::Error,
    },
    /// cannot start the threads of the daemon: {0}
    Threads(std::io::Error),
    /// cannot wait for signals: {0}
    Signals(std::io::Error),
}

impl std::error::Error for Error {}
