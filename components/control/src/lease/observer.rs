//! Failure detection by observation of other daemons' leases.

use std::{collections::BTreeMap, time::Duration};

use super::Row;
use crate::{store, time::Time};

/// What an observer knows about the lease under which a process holds work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// The process may still be working.
    Live,
    /// The process has released its lease, or a newer process has replaced it. A takeover needs no
    /// condition on the lease row.
    Ended,
    /// The process has not renewed its lease for its length plus the margin. A takeover must be
    /// conditional on this version of the lease row.
    Expired(u64),
}

/// One version of a daemon's lease row, as seen by this daemon.
#[derive(Clone, Debug)]
struct Observation {
    version: u64,
    /// Content; `None` if the row does not exist or cannot be decoded.
    row: Option<Row>,
    /// When the first read that returned this version was answered.
    first_seen: Time,
    /// When the latest read that returned this version was sent; at first equal to `first_seen`.
    last_seen: Time,
}

/// The leases that this daemon observes.
#[derive(Clone, Debug)]
pub struct Observer {
    length: Duration,
    margin: Duration,
    observations: BTreeMap<String, Observation>,
}

impl Observer {
    /// Creates an observer that uses `length` for daemons whose row does not exist.
    pub const fn new(length: Duration, margin: Duration) -> Self {
        Self { length, margin, observations: BTreeMap::new() }
    }

    /// Records the row of a daemon from a read that was sent at `sent` and answered at `now`.
    /// Ignores rows older than the one already seen.
    pub fn record_read(&mut self, sent: Time, now: Time, daemon: &str, row: Option<&store::Row>) {
        let version = row.map_or(0, |row| row.version);
        match self.observations.get_mut(daemon) {
            Some(observation) if observation.version == version => {
                observation.last_seen = observation.last_seen.max(sent);
            }
            Some(observation) if observation.version > version => {}
            _ => {
                let row = row.and_then(store::Row::decode);
                let observation = Observation { version, row, first_seen: now, last_seen: now };
                self.observations.insert(daemon.to_owned(), observation);
            }
        }
    }

    /// Forgets the daemons for which `daemons` returns false.
    pub fn retain(&mut self, daemons: impl Fn(&str) -> bool) {
        self.observations.retain(|daemon, _| daemons(daemon));
    }

    /// Returns the state of the lease of the process with this epoch.
    pub fn lease_state(&self, daemon: &str, epoch: u64) -> State {
        let Some(observation) = self.observations.get(daemon) else { return State::Live };
        let length = match &observation.row {
            Some(row) if row.epoch > epoch || (row.epoch == epoch && row.released) => {
                return State::Ended;
            }
            Some(row) => Duration::from_millis(row.length_ms),
            None => self.length,
        };
        if observation.last_seen.since(observation.first_seen) > length + self.margin {
            State::Expired(observation.version)
        } else {
            State::Live
        }
    }
}
