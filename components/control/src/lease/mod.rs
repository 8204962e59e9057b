//! The daemon's own lease and the observation of other daemons' leases.
//!
//! Clocks of different machines are never compared: a holder counts from the moment at which it
//! sent a renewal, an observer from the moment at which it first saw a renewal.

mod keeper;
mod observer;

use serde::{Deserialize, Serialize};

pub use self::{
    keeper::{Action, Input, Keeper, Settings},
    observer::{Observer, Verdict},
};

/// Key of a daemon's row.
pub fn key(daemon: &str) -> String {
    format!("daemon/{daemon}")
}

/// Content of a daemon's row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Number of the process among those that ran under this name.
    pub epoch: u64,
    /// Renewals of this process.
    pub counter: u64,
    /// Random number of the process, by which it recognises its own writes.
    pub instance: u64,
    /// Length of the lease in milliseconds.
    pub length_ms: u64,
    /// Whether the process has given up its lease.
    pub released: bool,
}
