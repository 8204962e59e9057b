//! Calls of the platform's table as the decisions make them.

use std::collections::BTreeMap;

use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

/// Number of a call within one state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// One row of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Key.
    pub key: String,
    /// Version, which every write raises; never zero.
    pub version: u64,
    /// Content.
    pub value: Value,
}

impl Row {
    /// The content as a type; `None` when it has another shape.
    pub fn decode<T: DeserializeOwned>(&self) -> Option<T> {
        T::deserialize(&self.value).ok()
    }
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// Versions that rows must have; zero when the row must not exist.
    pub conditions: BTreeMap<String, u64>,
    /// New contents; `None` deletes the row.
    pub writes: BTreeMap<String, Option<Value>>,
}

impl Transaction {
    /// An empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires a version of a row.
    pub fn with_condition(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.insert(key.into(), version);
        self
    }

    /// Writes a row.
    pub fn with_write(mut self, key: impl Into<String>, value: &impl Serialize) -> Self {
        self.writes.insert(key.into(), Some(serde_json::to_value(value).unwrap_or_default()));
        self
    }

    /// Deletes a row.
    pub fn with_delete(mut self, key: impl Into<String>) -> Self {
        self.writes.insert(key.into(), None);
        self
    }
}

/// A call of the table service.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Read rows by key.
    Read(Vec<String>),
    /// Read at most `limit` rows whose keys start with `prefix` and are greater than `after`.
    Scan {
        /// Common start of the keys.
        prefix: String,
        /// Key after which the page starts.
        after: String,
        /// Most rows.
        limit: usize,
    },
    /// Apply a transaction.
    Commit(Transaction),
}

/// Reply to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum Reply {
    /// Rows of a read in order of the keys, or of a scan.
    Rows(Vec<Option<Row>>),
    /// The transaction took effect; new versions by key, zero for a deletion.
    Done(BTreeMap<String, u64>),
    /// The transaction did not take effect; current rows of the conditions that failed, as far
    /// as they exist.
    Conflict(Vec<Option<Row>>),
    /// The call took no effect.
    Failed,
    /// No reply came; a write may have taken effect.
    Unknown,
}

impl Reply {
    /// The existing rows by key.
    pub fn rows(self) -> BTreeMap<String, Row> {
        match self {
            Self::Rows(rows) | Self::Conflict(rows) => {
                rows.into_iter().flatten().map(|row| (row.key.clone(), row)).collect()
            }
            Self::Done(_) | Self::Failed | Self::Unknown => BTreeMap::new(),
        }
    }
}
