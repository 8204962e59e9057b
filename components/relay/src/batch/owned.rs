//! A job that this relay owns.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
};

use cyclamengrade_control::{
    relay::{job::Progress, results::Results, selector::Key},
    time::Time,
};
use tokio::task::AbortHandle;

use crate::{
    dialect::Item,
    job::row::{self, Outcome},
    shared::{Job, lock},
};

/// What the runs of an item have produced so far. It outlives a run that is stopped, so that the
/// next one goes on after its last event.
#[derive(Debug, Default)]
pub struct Transcript {
    /// Id of the last whole event.
    pub last: Option<u64>,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Events in the text.
    pub events: u64,
    /// Id of the last event that is in the store.
    pub saved: Option<u64>,
}

/// A run of an item at an upstream.
pub struct Run {
    /// Upstream.
    pub upstream: Key,
    /// Its id, for logs.
    pub name: String,
    /// Stops the run.
    pub abort: AbortHandle,
    /// When it began.
    pub started: Time,
    /// Events of the item before it.
    pub events: u64,
}

/// A job that this relay owns.
pub struct Owned {
    /// The row, at the version that commits depend on.
    pub listed: Job,
    /// Its items.
    pub items: Arc<Vec<Item>>,
    /// What became of them.
    pub ledger: Results,
    /// Texts of items that began.
    pub transcripts: BTreeMap<usize, Arc<Mutex<Transcript>>>,
    /// Items that run.
    pub runs: BTreeMap<usize, Run>,
    /// Earliest time of the next run of an item.
    pub not_before: BTreeMap<usize, Time>,
    /// Whether failures were counted that are not stored yet.
    pub failures_changed: bool,
    /// Whether texts of unfinished items are to be stored.
    pub save: bool,
    /// Whether a commit is under way.
    pub committing: bool,
    /// Whether the job is being handed over, so that no item starts.
    pub is_held: bool,
}

impl Owned {
    /// A job, and the results that earlier owners listed.
    pub fn new(
        listed: Job,
        items: Arc<Vec<Item>>,
        attempts: u32,
        outcomes: &[Outcome],
        failures: &BTreeMap<usize, u32>,
    ) -> Self {
        let mut progress = Progress::new(items.len(), attempts);
        for (item, count) in failures {
            progress = progress.with_failures(*item, *count);
        }
        let listed_items = listed_items(&items, outcomes);
        Self {
            listed,
            items,
            ledger: Results::new(progress, &listed_items),
            transcripts: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_before: BTreeMap::new(),
            failures_changed: false,
            save: false,
            committing: false,
            is_held: false,
        }
    }

    /// Takes over what the store lists, after a commit whose outcome is not known.
    pub fn reconcile(&mut self, outcomes: &[Outcome]) {
        let listed = listed_items(&self.items, outcomes);
        self.ledger.reconcile(&listed);
        for item in listed {
            if let Some(run) = self.runs.remove(&item) {
                run.abort.abort();
            }
        }
    }

    /// Whether items may still run.
    pub fn is_open(&self) -> bool {
        self.listed.row.state == row::State::Open
    }

    /// Whether the store has every result that is ready.
    pub const fn is_stored(&self) -> bool {
        self.ledger.is_committed() && !self.committing
    }

    /// Takes over the texts that an earlier owner stored.
    pub fn restore(&mut self, partials: BTreeMap<usize, row::Partial>) {
        for (item, partial) in partials {
            let last = Some(partial.last);
            let text = Transcript { last, text: partial.text, events: partial.events, saved: last };
            self.transcripts.insert(item, Arc::new(Mutex::new(text)));
        }
    }

    /// Texts of unfinished items that have grown by at least `events` since they were stored.
    pub fn unsaved(&self, events: u64, most_bytes: usize) -> Vec<(usize, row::Partial)> {
        let texts = self.transcripts.iter().filter_map(|(item, transcript)| {
            let transcript = lock(transcript);
            let last = transcript.last?;
            let is_worth = last >= transcript.saved.unwrap_or(0) + events
                && transcript.text.len() <= most_bytes;
            is_worth.then(|| {
                let (text, events) = (transcript.text.clone(), transcript.events);
                (*item, row::Partial { last, text, events })
            })
        });
        texts.collect()
    }

    /// Events that an item has produced.
    pub fn events(&self, item: usize) -> u64 {
        self.transcripts.get(&item).map_or(0, |transcript| lock(transcript).events)
    }

    /// Stops all runs.
    pub fn stop(&mut self) {
        for run in self.runs.values() {
            run.abort.abort();
        }
        self.runs.clear();
    }
}

/// Positions in the job of the items that are listed.
fn listed_items(items: &[Item], outcomes: &[Outcome]) -> Vec<usize> {
    let positions: BTreeMap<&str, usize> =
        items.iter().enumerate().map(|(index, item)| (item.id.as_str(), index)).collect();
    // An outcome of another item would be a broken row; it keeps its position all the same.
    let found = outcomes.iter().map(|outcome| positions.get(outcome.item.as_str()).copied());
    found.map(|item| item.unwrap_or(usize::MAX)).collect()
}
