//! Calls of the platform's table service, and its replies.

use std::collections::BTreeMap;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Identifies a call within one state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    pub key: String,
    /// Version number, which every write increases; never 0.
    pub version: u64,
    pub value: Value,
}

impl Row {
    /// Decodes the content; returns `None` if it does not have the shape of `T`.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        T::deserialize(&self.value).ok()
    }
}

/// Writes that are applied atomically if all conditions hold, and not at all otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Version that each row must have, by key; 0 if the row must not exist.
    pub conditions: BTreeMap<String, u64>,
    /// New content of each row, by key; `None` deletes the row.
    pub writes: BTreeMap<String, Option<Value>>,
}

impl Transaction {
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that a row has this version; 0 if it must not exist.
    pub fn with_condition(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.insert(key.into(), version);
        self
    }

    /// Adds the write of a row.
    pub fn with_write(mut self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.writes.insert(key.into(), Some(serde_json::to_value(value).unwrap_or_default()));
        self
    }

    /// Adds the deletion of a row.
    pub fn with_delete(mut self, key: impl Into<String>) -> Self {
        self.writes.insert(key.into(), None);
        self
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Reads rows by key.
    Read(Vec<String>),
    /// Reads at most `limit` rows whose keys start with `prefix` and are greater than `after`.
    Scan { prefix: String, after: String, limit: usize },
    /// Applies a transaction.
    Commit(Transaction),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Rows of a read, one for each key in the order of the call, or rows of a scan.
    Rows(Vec<Option<Row>>),
    /// The transaction was applied. Contains the new version of each written row by key, 0 for a
    /// deleted one.
    Done(BTreeMap<String, u64>),
    /// A condition failed and nothing was written. Contains the current rows of the failed
    /// conditions, as far as the rows exist.
    Conflict(Vec<Option<Row>>),
    /// The call failed and had no effect.
    Failed,
    /// No reply arrived; a write may have been applied or may be applied later.
    Unknown,
}

impl Reply {
    /// Returns the existing rows of a read, a scan or a conflict, by key.
    pub fn rows(self) -> BTreeMap<String, Row> {
        match self {
            Self::Rows(rows) | Self::Conflict(rows) => {
                rows.into_iter().flatten().map(|row| (row.key.clone(), row)).collect()
            }
            Self::Done(_) | Self::Failed | Self::Unknown => BTreeMap::new(),
        }
    }
}
