//! Rows and transactions of the table service.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Row {
    pub key: String,
    /// Version of the row, which every write increases. Never zero.
    pub version: u64,
    pub value: Value,
}

/// A transaction, whose writes are applied atomically if all its conditions hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Expected versions of rows.
    pub conditions: Vec<Condition>,
    /// Rows to write or delete.
    pub writes: Vec<Write>,
}

/// The expected version of a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condition {
    pub key: String,
    /// Expected version; zero if the row must not exist.
    pub version: u64,
}

/// A write or deletion of a row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Write {
    pub key: String,
    /// New value; `None` to delete the row.
    pub value: Option<Value>,
}

/// Result of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Commit {
    /// All writes took effect.
    Done {
        /// New versions of the rows, in the order of the writes; zero for a deletion.
        versions: Vec<u64>,
    },
    /// At least one condition failed and no write took effect.
    Conflict {
        /// Current rows of the failed conditions, in their order; `None` for a row that does not
        /// exist.
        rows: Vec<Option<Row>>,
    },
}

impl Transaction {
    /// Creates a transaction without conditions and writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the condition that a row has this version; zero requires that the row does not exist.
    pub fn with_condition(mut self, key: impl Into<String>, version: u64) -> Self {
        self.conditions.push(Condition { key: key.into(), version });
        self
    }

    /// Adds the write of a row.
    pub fn with_write(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(Write { key: key.into(), value: Some(value) });
        self
    }

    /// Adds the deletion of a row.
    pub fn with_delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(Write { key: key.into(), value: None });
        self
    }
}
