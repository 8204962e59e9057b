//! Rows in which the platform's table stores the configuration log.

use std::sync::Arc;

use cyclamengrade_configuration::{Delta, Document};
use cyclamengrade_control::revision;
use cyclamengrade_platform::{self as platform, table::Row};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Key of the head row, which holds the number of the newest revision.
pub(super) const HEAD_KEY: &str = "config/head";
/// Prefix of the keys of all revision rows.
pub(super) const REVISION_PREFIX: &str = "config/revision/";
/// Maximum number of rows that one scan of the log returns.
const LOG_PAGE_ROWS: usize = 200;

/// Content of the head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// Number of the newest revision.
    pub newest: u64,
    /// Number of the revision of the newest snapshot; 0 before the first one.
    pub snapshot: u64,
}

/// Content of a revision row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Record {
    /// Number of the revision.
    pub number: u64,
    /// Identifier that the author chose for the change.
    pub change_id: String,
    pub author: String,
    /// Time at which the change was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Difference from the document of the previous revision.
    pub delta: Delta,
    /// Digest of the document after the change.
    pub digest: String,
}

/// Returns the key of a revision row. The number is zero-padded so that keys sort by number.
pub(super) fn revision_key(number: u64) -> String {
    format!("{REVISION_PREFIX}{number:012}")
}

pub(super) fn snapshot_key(number: u64) -> String {
    format!("config/snapshot/{number:012}")
}

/// Reads the head and the version of its row, which are all 0 before the first revision.
pub(super) async fn read_head(table: &dyn platform::Table) -> Result<(Head, u64), platform::Error> {
    let rows = table.read(vec![HEAD_KEY.into()]).await?;
    match rows.into_iter().next().flatten() {
        Some(row) => Ok((parse(&row)?, row.version)),
        None => Ok((Head::default(), 0)),
    }
}

/// Reads the records of the revisions after `after` up to and including `newest`.
pub(super) async fn read_records(
    table: &dyn platform::Table,
    after: u64,
    newest: u64,
) -> Result<Vec<Record>, platform::Error> {
    let mut records: Vec<Record> = Vec::new();
    let mut last = after;
    while last < newest {
        let prefix = REVISION_PREFIX.to_owned();
        let rows = table.scan(prefix, revision_key(last), LOG_PAGE_ROWS).await?;
        if rows.is_empty() {
            break;
        }
        for row in &rows {
            let record: Record = parse(row)?;
            if row.key != revision_key(record.number) {
                // Reading on from an earlier number would bring the same rows again.
                let message = format!("row {} holds revision {}", row.key, record.number);
                return Err(platform::Error::Protocol(message));
            }
            last = record.number;
            records.push(record);
        }
    }
    records.retain(|record| record.number <= newest);
    Ok(records)
}

/// Reads the snapshot of a revision.
///
/// # Errors
///
/// Returns a protocol error if the snapshot does not exist or is malformed.
pub(super) async fn read_snapshot(
    table: &dyn platform::Table,
    number: u64,
) -> Result<revision::Snapshot, platform::Error> {
    let rows = table.read(vec![snapshot_key(number)]).await?;
    let Some(row) = rows.into_iter().next().flatten() else {
        let message = format!("the configuration log has no snapshot {number}");
        return Err(platform::Error::Protocol(message));
    };
    let document: Document = parse(&row)?;
    Ok(revision::Snapshot { number, document: Arc::new(document) })
}

/// Reads the revisions after `after` up to and including `newest`, as an input of the follower.
///
/// If `snapshot` is given, reads that snapshot and only the revisions after it.
pub(super) async fn read_content(
    table: &dyn platform::Table,
    after: u64,
    newest: u64,
    snapshot: Option<u64>,
) -> Result<revision::Input, platform::Error> {
    let snapshot = match snapshot {
        Some(number) => Some(read_snapshot(table, number).await?),
        None => None,
    };
    let after = snapshot.as_ref().map_or(after, |snapshot| snapshot.number);
    let records = read_records(table, after, newest).await?;
    let entries = records
        .into_iter()
        .map(|record| revision::Entry {
            number: record.number,
            delta: record.delta,
            digest: record.digest,
        })
        .collect();
    Ok(revision::Input::Content { snapshot, entries })
}

fn parse<T: DeserializeOwned>(row: &Row) -> Result<T, platform::Error> {
    serde_json::from_value(row.value.clone()).map_err(|error| {
        platform::Error::Protocol(format!("row {} is malformed: {error}", row.key))
    })
}
