//! State of the chunks that this daemon holds, and of their items.

use std::{collections::BTreeMap, time::Duration};

use super::{ISOLATION_CLAIMS, RunId};
use crate::{job::row::Chunk, time::Time};

/// A chunk held by this daemon.
#[derive(Clone, Debug)]
pub(super) struct HeldChunk {
    /// Version of the chunk's row.
    pub version: u64,
    pub row: Chunk,
    /// Items by their index in the job's input.
    pub items: BTreeMap<u32, Item>,
    /// Earliest time of the next load, store or transaction after a failure or a conflict.
    pub retry_at: Time,
    /// Whether a load, store or transaction of this chunk is in flight.
    pub busy: bool,
    /// Number of transactions that conflicted with a write of another daemon.
    pub conflicts: u32,
    pub phase: Phase,
    /// Time at which the items were loaded or an executed run last ended.
    pub last_progress: Time,
    /// Whether the last run failed or was not executed by its upstream.
    pub last_run_failed: bool,
    /// Sum and number of the run times of finished items.
    pub run_times: (Duration, u32),
}

/// Phase of a held chunk.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// The items are being read from the job's input.
    Loading,
    /// Items run; no commit is in progress.
    Working,
    /// The results of these items are being written to the object store.
    Storing(CommitSet),
    /// The results of these items are stored and being committed.
    Committing(CommitSet),
}

/// The items of a chunk that are committed together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct CommitSet {
    /// Items with a result; if there are none, the chunk is returned as a whole.
    pub items: Vec<u32>,
    /// Whether the other items are returned to be claimed again; otherwise they stay with this
    /// daemon.
    pub return_remainder: bool,
}

/// An item of a held chunk.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Item {
    pub state: ItemState,
    /// Number of attempts charged to the item.
    pub attempts: u32,
    /// Whether its last run was stopped and the received text kept.
    pub paused: bool,
}

/// State of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum ItemState {
    /// The item waits for a stream.
    #[default]
    Waiting,
    /// The item runs at an upstream.
    Running { run: RunId, since: Time },
    /// The item has a result, whose size is `bytes`.
    Done { bytes: u64, succeeded: bool },
}

impl HeldChunk {
    /// Creates the state of a chunk whose row this daemon has just written.
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
            last_progress: now,
            last_run_failed: false,
            run_times: (Duration::ZERO, 0),
        }
    }

    /// Returns whether items run one at a time.
    pub const fn is_isolated(&self) -> bool {
        self.row.claims >= ISOLATION_CLAIMS
    }

    /// Returns whether the items have been loaded.
    pub const fn is_loaded(&self) -> bool {
        !matches!(self.phase, Phase::Loading)
    }

    /// Returns the size in bytes of the results that are not committed yet.
    pub fn bytes(&self) -> u64 {
        let bytes = |item: &Item| match item.state {
            ItemState::Done { bytes, .. } => bytes,
            _ => 0,
        };
        self.items.values().map(bytes).sum()
    }

    /// Returns the runs in progress.
    pub fn runs(&self) -> Vec<RunId> {
        let run = |item: &Item| match item.state {
            ItemState::Running { run, .. } => Some(run),
            _ => None,
        };
        self.items.values().filter_map(run).collect()
    }

    /// Returns the items that have a result.
    pub fn finished(&self) -> Vec<u32> {
        let finished = self.items.iter().filter(|(_, item)| item.is_finished());
        finished.map(|(index, _)| *index).collect()
    }

    /// Returns the number of items without a result.
    pub fn unfinished(&self) -> usize {
        self.items.values().filter(|item| !item.is_finished()).count()
    }

    /// Returns how many of the given items succeeded and how many failed.
    pub fn counts(&self, items: &[u32]) -> (u32, u32) {
        let mut counts = (0, 0);
        for index in items {
            match self.items.get(index).map(|item| item.state) {
                Some(ItemState::Done { succeeded: true, .. }) => counts.0 += 1,
                Some(ItemState::Done { succeeded: false, .. }) => counts.1 += 1,
                _ => {}
            }
        }
        counts
    }

    /// Returns the attempts charged to items without a result, as recorded in the chunk's row.
    pub fn attempts(&self) -> BTreeMap<u32, u32> {
        let charged = |item: &&Item| item.attempts > 0 && !item.is_finished();
        let items = self.items.iter().filter(|(_, item)| charged(item));
        items.map(|(index, item)| (*index, item.attempts)).collect()
    }
}

impl Item {
    pub const fn is_finished(&self) -> bool {
        matches!(self.state, ItemState::Done { .. })
    }

    pub const fn is_waiting(&self) -> bool {
        matches!(self.state, ItemState::Waiting)
    }

    /// Returns whether the next attempt is the last one after a failure. It runs without other
    /// batch items at its upstream, so that none of them can make it fail.
    pub const fn is_last_attempt(&self, limit: u32) -> bool {
        self.attempts > 0 && self.attempts + 1 >= limit
    }
}
