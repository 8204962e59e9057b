//! Checked settings of one process.

mod check;
mod daemon;
mod error;
pub mod key;
mod read;

pub use crate::{
    daemon::{Daemon, Lease, Level, Limits, Peer, Platform, Policy, Telemetry, Timers},
    error::{Error, Problem},
};
