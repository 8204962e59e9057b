//! Checked settings of one process.

mod check;
mod daemon;
mod error;
pub mod key;
mod read;
pub mod relay;

pub use crate::{
    daemon::{Daemon, Lease, Level, Limits, Peer, Platform, Policy, Telemetry, Timers},
    error::{Error, Problem},
    relay::Relay,
};
