//! Changes of a table.

use serde_json::Value;

/// Rows of a table that changed, or all of them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The rows in order of version; of a snapshot, in any order.
    pub rows: Vec<Change>,
    /// Version after these changes, from which the next call continues.
    pub version: u64,
    /// Steady clock of the platform, in milliseconds.
    pub clock_ms: u64,
}

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Key of the row.
    pub key: String,
    /// Version of the row.
    pub version: u64,
    /// What the row holds now.
    pub content: Content,
}

/// Content of a changed row.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The row was deleted.
    Deleted,
    /// A value.
    Value(Value),
    /// Bytes that are no value; the cause.
    Damaged(String),
}
