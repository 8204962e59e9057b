//! A chunk that this daemon holds.

use std::{collections::BTreeMap, time::Duration};

use super::{ISOLATION_CLAIMS, RunId};
use crate::{job::row::Chunk, time::Time};

/// A held chunk.
#[derive(Clone, Debug)]
pub(super) struct Held {
    /// Version of its row.
    pub version: u64,
    /// Its row.
    pub row: Chunk,
    /// Its items by index.
    pub items: BTreeMap<u32, Item>,
    /// When it may be tried again after a failure of the platform.
    pub retry_at: Time,
    /// Whether a transaction, load or store of this chunk is in flight.
    pub busy: bool,
    /// Transactions in a row that met a change by another daemon.
    pub conflicts: u32,
    /// Progress towards the commit.
    pub phase: Phase,
    /// When an item ended last.
    pub progress: Time,
    /// Whether the last run failed or was not taken by its upstream.
    pub failing: bool,
    /// Sum of the run times of the items that ended, and their number.
    pub times: (Duration, u32),
}

/// Progress of a chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The input is not there yet.
    Loading,
    /// Items run.
    Working,
    /// Results of these items are being written.
    Storing(Cut),
    /// Results of these items are stored and being committed.
    Committing(Cut),
}

/// The part of a chunk that is committed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Cut {
    /// Items with a result.
    pub items: Vec<u32>,
    /// Whether the other items are handed back; they stay with this daemon otherwise.
    pub hand_back: bool,
}

/// An item.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Item {
    pub state: Progress,
    /// Attempts charged to it.
    pub attempts: u32,
    /// Whether text of an earlier run was kept.
    pub paused: bool,
}

/// Progress of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Progress {
    /// Waits for a slot.
    #[default]
    Waiting,
    /// Runs.
    Running { run: RunId, since: Time },
    /// Has a result.
    Done { bytes: u64, succeeded: bool },
}

impl Held {
    /// A chunk whose row was just written by this daemon.
    pub fn new(now: Time, version: u64, row: Chunk, items: Vec<u32>) -> Self {
        let item = |index: u32| {
            let attempts = row.attempts.get(&index).copied().unwrap_or_default();
            (index, Item { attempts, ..Item::default() })
        };
        let items = items.into_iter().map(item).collect();
        Self {
            version,
            row,
            items,
            retry_at: now,
            busy: false,
            conflicts: 0,
            phase: Phase::Loading,
            progress: now,
            failing: false,
            times: (Duration::ZERO, 0),
        }
    }

    /// Whether items run one at a time.
    pub const fn isolated(&self) -> bool {
        self.row.claims >= ISOLATION_CLAIMS
    }

    /// Whether items may start.
    pub const fn working(&self) -> bool {
        !matches!(self.phase, Phase::Loading)
    }

    /// Bytes of the results that wait to be committed.
    pub fn bytes(&self) -> u64 {
        let bytes = |item: &Item| match item.state {
            Progress::Done { bytes, .. } => bytes,
            _ => 0,
        };
        self.items.values().map(bytes).sum()
    }

    /// Running runs.
    pub fn runs(&self) -> Vec<RunId> {
        let run = |item: &Item| match item.state {
            Progress::Running { run, .. } => Some(run),
            _ => None,
        };
        self.items.values().filter_map(run).collect()
    }

    /// Items with a result.
    pub fn finished(&self) -> Vec<u32> {
        let finished = self.items.iter().filter(|(_, item)| item.finished());
        finished.map(|(index, _)| *index).collect()
    }

    /// Items without a result.
    pub fn unfinished(&self) -> usize {
        self.items.values().filter(|item| !item.finished()).count()
    }

    /// Answers and failures among the given items.
    pub fn counts(&self, items: &[u32]) -> (u32, u32) {
        let mut counts = (0, 0);
        for index in items {
            match self.items.get(index).map(|item| item.state) {
                Some(Progress::Done { succeeded: true, .. }) => counts.0 += 1,
                Some(Progress::Done { succeeded: false, .. }) => counts.1 += 1,
                _ => {}
            }
        }
        counts
    }

    /// Attempts to record in the table, of items without a result.
    pub fn attempts(&self) -> BTreeMap<u32, u32> {
        let charged = |item: &&Item| item.attempts > 0 && !item.finished();
        let items = self.items.iter().filter(|(_, item)| charged(item));
        items.map(|(index, item)| (*index, item.attempts)).collect()
    }
}

impl Item {
    /// Whether it has a result.
    pub const fn finished(&self) -> bool {
        matches!(self.state, Progress::Done { .. })
    }

    /// Whether it waits for a slot.
    pub const fn waiting(&self) -> bool {
        matches!(self.state, Progress::Waiting)
    }

    /// Whether its next attempt is its last one after a failure, which runs alone on an upstream.
    pub const fn last_attempt(&self, limit: u32) -> bool {
        self.attempts > 0 && self.attempts + 1 >= limit
    }
}
