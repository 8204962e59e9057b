//! Observation of other daemons' leases.

use std::{collections::BTreeMap, time::Duration};

use super::Row;
use crate::{store, time::Time};

/// What is known of the holder of a piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may still work.
    Live,
    /// Its process has ended or released its lease for good; no condition is needed.
    Ended,
    /// It has not renewed for lease and margin; a takeover is conditional on this version of its
    /// row.
    Expired(u64),
}

#[derive(Clone, Debug)]
struct Sighting {
    version: u64,
    row: Option<Row>,
    first: Time,
    last: Time,
}

/// The leases that this daemon observes.
#[derive(Clone, Debug)]
pub struct Observer {
    length: Duration,
    margin: Duration,
    sightings: BTreeMap<String, Sighting>,
}

impl Observer {
    /// An observer; `length` stands in for daemons whose row does not exist.
    pub const fn new(length: Duration, margin: Duration) -> Self {
        Self { length, margin, sightings: BTreeMap::new() }
    }

    /// Records the row of a daemon from a read that was sent at `sent` and answered at `now`.
    pub fn saw(&mut self, sent: Time, now: Time, daemon: &str, row: Option<&store::Row>) {
        let version = row.map_or(0, |row| row.version);
        match self.sightings.get_mut(daemon) {
            Some(sighting) if sighting.version == version => {
                sighting.last = sighting.last.max(sent);
            }
            Some(sighting) if sighting.version > version => {}
            _ => {
                let row = row.and_then(store::Row::decode);
                let sighting = Sighting { version, row, first: now, last: now };
                self.sightings.insert(daemon.to_owned(), sighting);
            }
        }
    }

    /// Forgets the daemons that are not in `daemons`.
    pub fn retain(&mut self, daemons: impl Fn(&str) -> bool) {
        self.sightings.retain(|daemon, _| daemons(daemon));
    }

    /// What is known of a process.
    pub fn verdict(&self, daemon: &str, epoch: u64) -> Verdict {
        let Some(sighting) = self.sightings.get(daemon) else { return Verdict::Live };
        let length = match &sighting.row {
            Some(row) if row.epoch > epoch || (row.epoch == epoch && row.released) => {
                return Verdict::Ended;
            }
            Some(row) => Duration::from_millis(row.length_ms),
            None => self.length,
        };
        if sighting.last.since(sighting.first) > length + self.margin {
            Verdict::Expired(sighting.version)
        } else {
            Verdict::Live
        }
    }
}
