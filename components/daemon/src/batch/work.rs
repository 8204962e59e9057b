//! Input, received text and results of the items that this daemon holds.

use std::collections::BTreeMap;

use cyclamengrade_caller::backend::{Item, ItemResult};

/// An item that this daemon holds.
#[derive(Debug)]
struct Entry {
    item: Item,
    /// Tokens and text kept from earlier runs.
    received: (u32, String),
    result: Option<ItemResult>,
}

/// Items by job and index.
#[derive(Debug, Default)]
pub(super) struct Work {
    jobs: BTreeMap<String, BTreeMap<u32, Entry>>,
}

impl Work {
    /// Adds an item unless it is there.
    pub fn insert(&mut self, job: &str, index: u32, item: Item) {
        let entries = self.jobs.entry(job.to_owned()).or_default();
        entries.entry(index).or_insert(Entry { item, received: (0, String::new()), result: None });
    }

    /// Prompt and most tokens of an item, and what earlier runs received.
    pub fn prompt(&mut self, job: &str, index: u32, fresh: bool) -> Option<(Item, (u32, String))> {
        let entry = self.entry(job, index)?;
        if fresh {
            entry.received = (0, String::new());
        }
        Some((entry.item.clone(), entry.received.clone()))
    }

    /// Keeps what a run received.
    pub fn keep(&mut self, job: &str, index: u32, received: (u32, String)) {
        if let Some(entry) = self.entry(job, index) {
            entry.received = received;
        }
    }

    /// Records the answer of an item and returns its size in bytes.
    pub fn answer(&mut self, job: &str, index: u32, text: String) -> u64 {
        let Some(entry) = self.entry(job, index) else { return 0 };
        let bytes = text.len() + entry.item.id.len();
        let id = entry.item.id.clone();
        entry.received = (0, String::new());
        entry.result = Some(ItemResult { id, text: Some(text), error: None });
        bytes as u64
    }

    /// Records why an item failed.
    pub fn fail(&mut self, job: &str, index: u32, reason: &str) {
        // An item that is missing in the input is known by its place only.
        let missing = || Item {
            id: format!("line {}", u64::from(index) + 1),
            prompt: String::new(),
            max_tokens: 1,
        };
        let entries = self.jobs.entry(job.to_owned()).or_default();
        let entry = entries.entry(index).or_insert_with(|| Entry {
            item: missing(),
            received: (0, String::new()),
            result: None,
        });
        let id = entry.item.id.clone();
        entry.result = Some(ItemResult { id, text: None, error: Some(reason.to_owned()) });
    }

    /// Results as JSON lines.
    pub fn lines(&self, job: &str, items: &[u32]) -> Vec<u8> {
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

    /// Drops items.
    pub fn forget(&mut self, job: &str, items: &[u32]) {
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
