//! Input, partial output and results of the items that this daemon holds.

use std::collections::BTreeMap;

use cyclamengrade_caller::backend::{Item, ItemResult};

use super::runner::Received;

#[derive(Debug)]
struct Entry {
    item: Item,
    /// Tokens that earlier runs received.
    received: Received,
    /// Version of the model that was requested from the run that began the text.
    version: Option<String>,
    /// Present once the item has succeeded or failed.
    result: Option<ItemResult>,
}

/// The items that this daemon holds.
#[derive(Debug, Default)]
pub(super) struct Items {
    /// Entries by job and by index of the item.
    jobs: BTreeMap<String, BTreeMap<u32, Entry>>,
}

impl Items {
    /// Adds an item unless it is already present.
    pub fn insert(&mut self, job: &str, index: u32, item: Item) {
        let entries = self.jobs.entry(job.to_owned()).or_default();
        let entry = Entry { item, received: Received::default(), version: None, result: None };
        entries.entry(index).or_insert(entry);
    }

    /// Returns an item for its next run, with the tokens that earlier runs received.
    ///
    /// With `discard_text`, or if the run requests another version of the model than the one that began
    /// the text, the text is discarded first, so that the run starts from the prompt. A complete
    /// answer is never discarded, since there is nothing left to run.
    pub fn start_run(
        &mut self,
        job: &str,
        index: u32,
        version: Option<&str>,
        discard_text: bool,
    ) -> Option<(Item, Received)> {
        let entry = self.entry(job, index)?;
        entry.received.complete |= entry.received.tokens >= entry.item.max_tokens;
        if !entry.received.complete && (discard_text || entry.version.as_deref() != version) {
            entry.received = Received::default();
            entry.version = version.map(str::to_owned);
        }
        Some((entry.item.clone(), entry.received.clone()))
    }

    /// Stores the tokens received so far, from which a later run resumes.
    pub fn store_received(&mut self, job: &str, index: u32, received: Received) {
        if let Some(entry) = self.entry(job, index) {
            entry.received = received;
        }
    }

    /// Records the complete answer to an item and returns the size of the answer and the item's
    /// identifier in bytes.
    pub fn record_answer(&mut self, job: &str, index: u32, text: String) -> u64 {
        let Some(entry) = self.entry(job, index) else { return 0 };
        let bytes = text.len() + entry.item.id.len();
        let id = entry.item.id.clone();
        entry.received = Received::default();
        entry.result = Some(ItemResult { id, text: Some(text), error: None });
        bytes as u64
    }

    /// Records the reason for which an item failed.
    pub fn record_failure(&mut self, job: &str, index: u32, reason: &str) {
        // An item that is missing in the stored input was never added and has no identifier.
        let placeholder = || Item {
            id: format!("line {}", u64::from(index) + 1),
            prompt: String::new(),
            max_tokens: 1,
        };
        let entries = self.jobs.entry(job.to_owned()).or_default();
        let entry = entries.entry(index).or_insert_with(|| Entry {
            item: placeholder(),
            received: Received::default(),
            version: None,
            result: None,
        });
        let id = entry.item.id.clone();
        entry.result = Some(ItemResult { id, text: None, error: Some(reason.to_owned()) });
    }

    /// Returns the results of items as JSON lines; an item without a result gives an empty line.
    pub fn result_lines(&self, job: &str, items: &[u32]) -> Vec<u8> {
        let mut lines = Vec::new();
        for index in items {
            let entry = self.jobs.get(job).and_then(|entries| entries.get(index));
            if let Some(result) = entry.and_then(|entry| entry.result.as_ref()) {
                lines.extend(serde_json::to_vec(result).unwrap_or_default());
            }
            lines.push(b'\n');
        }
        lines
    }

    pub fn remove(&mut self, job: &str, items: &[u32]) {
        if let Some(entries) = self.jobs.get_mut(job) {
            for index in items {
                entries.remove(index);
            }
            if entries.is_empty() {
                self.jobs.remove(job);
            }
        }
    }

    fn entry(&mut self, job: &str, index: u32) -> Option<&mut Entry> {
        self.jobs.get_mut(job)?.get_mut(&index)
    }
}
