//! Errors that keep a relay from starting or end it.

use std::{io, net::SocketAddr};

use displaydoc::Display;

#[derive(Debug, Display)]
pub enum Error {
    /// cannot listen on {0}: {1}
    Listen(SocketAddr, io::Error),
    /// cannot receive signals: {0}
    Signals(io::Error),
    /// cannot start a thread: {0}
    Thread(io::Error),
    /// cannot install the metrics: {0}
    Metrics(String),
    /// a task of the relay has failed, see event 1273
    Task,
}

impl std::error::Error for Error {}
