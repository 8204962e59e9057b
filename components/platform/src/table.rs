//! Rows and transactions of the table service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version, which every write raises; never zero.
    pub version: u64,
    /// Content.
    pub value: Value,
}

/// Conditions and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Versions that the rows must have.
    pub conditions: Vec<Condition>,
    /// Rows to write or delete.
    pub writes: Vec<Write>,
}

/// The version that a row must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Expected version; zero when the row must not exist.
    pub version: u64,
}

/// A write or a deletion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    /// Key of the row.
    pub key: String,
    /// New content; absent to delete the row.
    pub value: Option<Value>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes took effect; one version for each write, zero for a deletion.
    Done {
        /// New versions in the order of the writes.
        versions: Vec<u64>,
    },
    /// No write took effect; current rows of the conditions that failed.
    Conflict {
        /// Rows in the order of the failed conditions, absent where none exists.
        rows: Vec<Option<Row>>,
    },
}

impl Transaction {
    /// An empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires a version of a row; zero requires that it does not exist.
    pub fn with_condition(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Writes a row.
    pub fn with_write(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(Write { key: key.into(), value: Some(value) });
        self
    }

    /// Deletes a row.
    pub fn with_delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}
