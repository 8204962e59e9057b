//! Checked settings of one process.

mod daemon;

pub use crate::daemon::{Daemon, Lease, Limits, Peer, Platform, Policy, Timers};
