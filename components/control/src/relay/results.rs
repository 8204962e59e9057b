//! Results of one batch job at the relay that owns it, until they are committed to the store.
//!
//! A commit has two conditions: the row of the job has not changed since this owner read it, and
//! the first position to be written is free. A write whose reply is lost may take effect at any
//! later time. The owner therefore reads the committed results again and continues after them; the
//! late write then fails because its first position is taken.

use std::collections::BTreeMap;

use crate::relay::job::{FinalState, Progress, RunFailure};

/// Result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position of the item in the job.
    pub item: usize,
    /// Final state of the item.
    pub state: FinalState,
    /// Text of the item; empty if it was abandoned.
    pub text: String,
}

/// Results that one transaction commits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Position of the first result in the results of the job.
    pub from: usize,
    /// The results, in the order of their positions.
    pub entries: Vec<Entry>,
    /// Whether every item of the job has a committed result after this transaction.
    pub is_last: bool,
}

/// Progress of a job and its results that are not committed yet.
#[derive(Clone, Debug)]
pub struct Results {
    progress: Progress,
    pending: Vec<Entry>,
    committed: usize,
    /// Items whose results were in a transaction that the store refused for its content, with the number of
    /// transactions that had no other result.
    refused: BTreeMap<usize, u32>,
}

impl Results {
    /// Creates the results of a job whose first results belong to the items `committed`, in this
    /// order.
    pub fn new(progress: Progress, committed: &[usize]) -> Self {
        let mut results =
            Self { progress, pending: Vec::new(), committed: 0, refused: BTreeMap::new() };
        results.reconcile(committed);
        results
    }

    /// Returns the states and failures of the items.
    pub const fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Returns the number of committed results.
    pub const fn committed(&self) -> usize {
        self.committed
    }

    /// Returns the items of a job of `total` items that have no committed result.
    pub fn uncommitted(&self, total: usize) -> impl Iterator<Item = usize> + '_ {
        (0..total).filter(|item| {
            !self.progress.has_ended(*item) || self.pending.iter().any(|entry| entry.item == *item)
        })
    }

    /// Whether the result of every item that ended is committed.
    pub const fn is_committed(&self) -> bool {
        self.pending.is_empty()
    }

    /// Marks an item as running.
    pub fn start(&mut self, item: usize) {
        self.progress.start(item);
    }

    /// Ends an item with its complete text.
    pub fn complete(&mut self, item: usize, text: String) {
        self.end(item, FinalState::Completed, text);
    }

    /// Records a run without a complete text. Returns whether the item is abandoned.
    pub fn record_failure(&mut self, item: usize, failure: RunFailure) -> bool {
        let state = self.progress.record_failure(item, failure);
        if let Some(state) = state {
            self.end(item, state, String::new());
        }
        state.is_some()
    }

    /// Sets the failures after which an item is abandoned, see [`Progress::set_max_failures`].
    pub fn set_max_failures(&mut self, max_failures: u32) {
        self.progress.set_max_failures(max_failures);
    }

    /// Abandons every waiting item and returns their number.
    pub fn abandon_waiting(&mut self) -> usize {
        let items = self.progress.abandon_waiting();
        for item in &items {
            self.end(*item, FinalState::Abandoned, String::new());
        }
        items.len()
    }

    /// Returns the results that are not committed, without those that exceed `max_bytes` in all by `size`.
    pub fn uncommitted_entries(
        &self,
        max_bytes: usize,
        size: impl Fn(&Entry) -> usize,
    ) -> Vec<Entry> {
        let mut bytes: usize = 0;
        let fitting = self.pending.iter().filter(|entry| {
            let with_entry = bytes.saturating_add(size(entry));
            let fits = with_entry <= max_bytes;
            bytes = if fits { with_entry } else { bytes };
            fits
        });
        fitting.cloned().collect()
    }

    /// Adds the results that the former owner of the job had not committed. Items that have a result keep
    /// it, since the former owner may have committed one whose reply it did not get. Positions outside the
    /// job are ignored. Returns the number of results that were added.
    pub fn adopt(&mut self, entries: impl IntoIterator<Item = Entry>) -> usize {
        let mut count = 0;
        for Entry { item, state, text } in entries {
            if self.progress.is_waiting(item) {
                self.end(item, state, text);
                count += 1;
            }
        }
        count
    }

    /// Raises the failures of an item, see [`Progress::raise_failures`].
    pub fn raise_failures(&mut self, item: usize, count: u32) -> bool {
        self.progress.raise_failures(item, count)
    }

    fn end(&mut self, item: usize, state: FinalState, text: String) {
        self.progress.end(item);
        self.pending.push(Entry { item, state, text });
    }

    /// Returns the results to commit next: at most `max_results` of `max_bytes` in all by `size`, but at least
    /// one if any is pending. Results that were refused follow after all others, one by one, so that no
    /// other result fails with them.
    pub fn next_batch(
        &self,
        max_results: usize,
        max_bytes: usize,
        size: impl Fn(&Entry) -> usize,
    ) -> Batch {
        let mut bytes: usize = 0;
        let sound = self.pending.iter().filter(|entry| !self.refused.contains_key(&entry.item));
        let fitting = sound.take(max_results).take_while(|entry| {
            let is_first = bytes == 0;
            bytes = bytes.saturating_add(size(entry).max(1));
            is_first || bytes <= max_bytes
        });
        let mut entries: Vec<Entry> = fitting.cloned().collect();
        if entries.is_empty() {
            entries.extend(self.pending.first().cloned());
        }
        let is_last = self.progress.is_done() && entries.len() == self.pending.len();
        Batch { from: self.committed, entries, is_last }
    }

    /// Records that the store refused a transaction for its content.
    pub fn record_refusal(&mut self, batch: &Batch) {
        let is_alone = batch.entries.len() == 1;
        for entry in &batch.entries {
            *self.refused.entry(entry.item).or_default() += u32::from(is_alone);
        }
        if let [entry] = batch.entries.as_slice() {
            // The others are tried before it comes again.
            self.pending.sort_by_key(|pending| pending.item == entry.item);
        }
    }

    /// Whether the store refused a transaction with the result of an item.
    pub fn was_refused(&self, item: usize) -> bool {
        self.refused.contains_key(&item)
    }

    /// Returns how often the store refused the result of an item alone.
    pub fn refusals(&self, item: usize) -> u32 {
        self.refused.get(&item).copied().unwrap_or(0)
    }

    /// Whether the store may take more of the pending results now: some were not refused alone.
    pub fn is_storable(&self) -> bool {
        self.pending.iter().any(|entry| self.refusals(entry.item) == 0)
    }

    /// Records that a transaction took effect.
    pub fn record_commit(&mut self, batch: &Batch) {
        self.committed = batch.from + batch.entries.len();
        self.pending.retain(|pending| !batch.entries.contains(pending));
        for entry in &batch.entries {
            self.refused.remove(&entry.item);
        }
    }

    /// Replaces the committed results with those read from the store, after a transaction whose
    /// outcome is unknown.
    pub fn reconcile(&mut self, committed: &[usize]) {
        self.committed = committed.len();
        for item in committed {
            self.progress.end(*item);
        }
        self.pending.retain(|pending| !committed.contains(&pending.item));
    }
}
