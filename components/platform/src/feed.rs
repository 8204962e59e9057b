//! Changes to a table, as the platform's change feed or a snapshot brings them.

use serde_json::Value;

/// Changed rows of a table, or all its rows in a snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Changes {
    /// The rows, in order of version; in any order in a snapshot.
    pub rows: Vec<Change>,
    /// Version of the table after these changes, after which the next call continues.
    pub version: u64,
    /// Monotonic clock of the platform at the time of the answer, in milliseconds.
    pub clock_ms: u64,
}

/// A row that was written or deleted.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub key: String,
    pub version: u64,
    /// Content of the row after the change.
    pub content: Content,
}

/// Content of a changed row.
#[derive(Clone, Debug, PartialEq)]
pub enum Content {
    /// The row was deleted.
    Deleted,
    Value(Value),
    /// The stored bytes are not a valid value, for the given reason.
    Malformed(String),
}
