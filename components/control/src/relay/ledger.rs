//! Results of one job at its owner, on their way to the store.
//!
//! A result is stored under two conditions: the job's row has not changed since this owner read it,
//! and the position of the result is free. A write whose reply is lost may take effect at any later
//! time; the owner reads what is listed and goes on from there, and the late write then finds its
//! first position taken.

use crate::relay::job::{Fault, Progress, Verdict};

/// An item that ended and is not listed yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Position of the item in the job.
    pub item: usize,
    /// How it ended.
    pub verdict: Verdict,
    /// Its text.
    pub text: String,
}

/// Results that one transaction lists.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Position of the first of them.
    pub from: usize,
    /// The results.
    pub entries: Vec<Entry>,
    /// Whether every item of the job is listed then.
    pub is_last: bool,
}

/// Items of a job and their results.
#[derive(Clone, Debug)]
pub struct Ledger {
    progress: Progress,
    pending: Vec<Entry>,
    next: usize,
}

impl Ledger {
    /// A job whose items `listed` have their results at the first positions.
    pub fn new(progress: Progress, listed: &[usize]) -> Self {
        let mut ledger = Self { progress, pending: Vec::new(), next: 0 };
        ledger.reconcile(listed);
        ledger
    }

    /// Items and their failures.
    pub const fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Results that are listed.
    pub const fn listed(&self) -> usize {
        self.next
    }

    /// Whether every item that ended is listed.
    pub const fn is_listed(&self) -> bool {
        self.pending.is_empty()
    }

    /// Records that an item runs.
    pub fn start(&mut self, item: usize) {
        self.progress.start(item);
    }

    /// Takes over the whole text of an item.
    pub fn complete(&mut self, item: usize, text: String) {
        self.end(item, Verdict::Completed, text);
    }

    /// Records a run without a whole text; returns whether the item is given up.
    pub fn fail(&mut self, item: usize, fault: Fault) -> bool {
        let verdict = self.progress.fail(item, fault);
        if let Some(verdict) = verdict {
            self.end(item, verdict, String::new());
        }
        verdict.is_some()
    }

    /// Gives up every item that waits; returns how many.
    pub fn abandon(&mut self) -> usize {
        let items = self.progress.abandon();
        for item in &items {
            self.end(*item, Verdict::Abandoned, String::new());
        }
        items.len()
    }

    fn end(&mut self, item: usize, verdict: Verdict, text: String) {
        self.progress.end(item);
        self.pending.push(Entry { item, verdict, text });
    }

    /// What the next transaction lists: at most `most` results with `most_bytes` of text, but at
    /// least one if there is one.
    pub fn batch(&self, most: usize, most_bytes: usize) -> Batch {
        let mut bytes = 0;
        let fitting = self.pending.iter().take(most).take_while(|entry| {
            let is_first = bytes == 0;
            bytes += entry.text.len() + 1;
            is_first || bytes <= most_bytes
        });
        let entries: Vec<Entry> = fitting.cloned().collect();
        let is_last = self.progress.is_done() && entries.len() == self.pending.len();
        Batch { from: self.next, entries, is_last }
    }

    /// Records that a transaction took effect.
    pub fn stored(&mut self, batch: &Batch) {
        self.next = batch.from + batch.entries.len();
        self.pending.retain(|pending| !batch.entries.contains(pending));
    }

    /// Takes over what the store lists, after a transaction whose outcome is not known.
    pub fn reconcile(&mut self, listed: &[usize]) {
        self.next = listed.len();
        for item in listed {
            self.progress.end(*item);
        }
        self.pending.retain(|pending| !listed.contains(&pending.item));
    }
}
