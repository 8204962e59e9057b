//! The lease of this daemon, and the observation of other daemons' leases.
//!
//! A lease is a row that its daemon renews periodically. Work of a daemon may be taken over once
//! its lease has expired, been released, or been replaced by that of a newer process.
//!
//! Clocks of different machines are never compared: the holder counts the length of its lease from
//! the time at which it sent a renewal, an observer from the time at which it first saw the
//! renewal. The lease therefore ends for its holder before it expires for any observer.

mod machine;
mod observer;

use serde::{Deserialize, Serialize};

pub use self::{
    machine::{Action, Input, Machine, Settings},
    observer::{Observer, State},
};

/// Returns the key of a daemon's row.
pub fn key(daemon: &str) -> String {
    format!("daemon/{daemon}")
}

/// Content of a daemon's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Number of the process among those that have run under this name; starts at 1.
    pub epoch: u64,
    /// Number of renewals by this process.
    pub counter: u64,
    /// Random number of the process, by which it recognises its own writes.
    pub instance: u64,
    /// Length of the lease in milliseconds.
    pub length_ms: u64,
    /// Whether the process has released its lease.
    pub released: bool,
}
