//! State of a job that this relay owns.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::{
    relay::{broker::Ticket, job::Progress, origin::Software, results::Results},
    time::Time,
};
use tokio::task::AbortHandle;

use crate::{
    dialect::Item,
    job::{
        row::{self, Outcome},
        size::encoded_bytes,
    },
    shared::{Job, lock},
};

/// Text that the runs of an item have produced so far. It is kept when a run is stopped, so that
/// the next run resumes after the last event.
#[derive(Debug, Default)]
pub struct Transcript {
    /// Id of the last complete event.
    pub last: Option<u64>,
    /// Data of all events, separated by line feeds.
    pub text: String,
    /// Number of events in the text.
    pub events: u64,
    /// Software of the upstreams that wrote the text; `None` before its first event.
    pub software: Option<Software>,
    /// Id of the last event that is in the store.
    pub saved: Option<u64>,
}

/// A run of an item at an upstream.
pub struct Run {
    /// Slot that the run holds.
    pub ticket: Ticket,
    /// Id of the upstream, for logs.
    pub upstream_id: String,
    /// Aborts the run.
    pub abort: AbortHandle,
    pub started: Time,
    /// Number of events that earlier runs of the item produced.
    pub events_before: u64,
}

/// A job that this relay owns, with the states of its items and runs. Items are identified by their
/// positions in the job.
pub struct Owned {
    /// Row of the job. Commits are conditional on its version.
    pub job: Job,
    pub items: Arc<Vec<Item>>,
    /// States of the items, and results that are not committed yet.
    pub results: Results,
    /// Texts of unfinished items that have started.
    pub transcripts: BTreeMap<usize, Arc<Mutex<Transcript>>>,
    /// Current runs by item.
    pub runs: BTreeMap<usize, Run>,
    /// Earliest time of the next run of an item.
    pub not_before: BTreeMap<usize, Time>,
    /// Whether failure counts have changed since they were last stored.
    pub failures_changed: bool,
    /// Whether the next commit stores the texts of unfinished items.
    pub save_requested: bool,
    /// Whether a commit is under way.
    pub committing: bool,
    /// Whether the job is being handed over. No item starts during a handover.
    pub is_handing_over: bool,
    /// Time for which the configuration has had no route for the job.
    pub unrouted: Duration,
}

impl Owned {
    /// Creates the state of a job from its row and from the results and failures that earlier
    /// owners stored. An item is abandoned after `max_failures` failures.
    pub fn new(
        job: Job,
        items: Arc<Vec<Item>>,
        max_failures: u32,
        outcomes: &[Option<Outcome>],
        failures: &BTreeMap<usize, u32>,
    ) -> Self {
        let mut progress = Progress::new(items.len(), max_failures);
        for (item, count) in failures {
            progress = progress.with_failures(*item, *count);
        }
        let committed = committed_items(&items, outcomes);
        Self {
            job,
            items,
            results: Results::new(progress, &committed),
            transcripts: BTreeMap::new(),
            runs: BTreeMap::new(),
            not_before: BTreeMap::new(),
            failures_changed: false,
            save_requested: false,
            committing: false,
            is_handing_over: false,
            unrouted: Duration::ZERO,
        }
    }

    /// Replaces the committed results with those read from the store, after a commit whose outcome
    /// is unknown. Aborts the runs of items that have a result.
    pub fn reconcile(&mut self, outcomes: &[Option<Outcome>]) {
        let committed = committed_items(&self.items, outcomes);
        self.results.reconcile(&committed);
        for item in committed {
            if let Some(run) = self.runs.remove(&item) {
                run.abort.abort();
            }
        }
    }

    /// Whether items may still run.
    pub fn is_open(&self) -> bool {
        self.job.row.state == row::State::Open
    }

    /// Whether the result of every item that ended is committed, except for those that the store refuses.
    pub fn is_stored(&self) -> bool {
        match self.results.is_committed() {
            true => !self.committing,
            false => !self.results.is_storable(),
        }
    }

    /// Returns the tokens of the items without a committed result.
    pub fn unfinished_tokens(&self) -> u64 {
        let unfinished = self.results.uncommitted(self.items.len());
        unfinished.map(|item| self.items[item].tokens).fold(0, u64::saturating_add)
    }

    /// Restores the texts that earlier owners stored, if their software is known.
    pub fn restore(&mut self, partials: BTreeMap<usize, row::Partial>) {
        let items = self.items.len();
        for (item, partial) in partials.into_iter().filter(|(item, _)| *item < items) {
            let Some(software) = partial.software.map(Software) else { continue };
            let last = Some(partial.last);
            let transcript = Transcript {
                last,
                text: partial.text,
                events: partial.events,
                software: Some(software),
                saved: last,
            };
            self.transcripts.insert(item, Arc::new(Mutex::new(transcript)));
        }
    }

    /// Returns the texts of unfinished items that have at least `min_events` new events since they
    /// were last stored, if their rows have at most `max_bytes`.
    pub fn unsaved(&self, min_events: u64, max_bytes: usize) -> Vec<(usize, row::Partial)> {
        let texts = self.transcripts.iter().filter_map(|(item, transcript)| {
            let transcript = lock(transcript);
            let last = transcript.last?;
            let needs_save = last >= transcript.saved.unwrap_or(0).saturating_add(min_events)
                && transcript.text.len() <= max_bytes;
            needs_save.then(|| {
                let (text, events) = (transcript.text.clone(), transcript.events);
                let software = transcript.software.map(|software| software.0);
                (*item, row::Partial { last, text, events, software })
            })
        });
        texts.filter(|(_, partial)| encoded_bytes(partial) <= max_bytes).collect()
    }

    /// Returns the number of events that an item has produced.
    pub fn events(&self, item: usize) -> u64 {
        self.transcripts.get(&item).map_or(0, |transcript| lock(transcript).events)
    }

    /// Returns the software that wrote the text of an item, or `None` if the item has no text.
    pub fn software(&self, item: usize) -> Option<Software> {
        self.transcripts.get(&item).and_then(|transcript| lock(transcript).software)
    }

    /// Aborts all runs.
    pub fn stop(&mut self) {
        for run in self.runs.values() {
            run.abort.abort();
        }
        self.runs.clear();
    }
}

/// Returns the positions in the job of the items that have a committed result, in the order of the
/// results.
fn committed_items(items: &[Item], outcomes: &[Option<Outcome>]) -> Vec<usize> {
    let positions: BTreeMap<&str, usize> =
        items.iter().enumerate().map(|(index, item)| (item.id.as_str(), index)).collect();
    // A result that cannot be read, or with an unknown item id, still occupies its position.
    let position = |outcome: &Outcome| positions.get(outcome.item.as_str()).copied();
    let found = outcomes.iter().map(|outcome| outcome.as_ref().and_then(position));
    found.map(|item| item.unwrap_or(usize::MAX)).collect()
}
