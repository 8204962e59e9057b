//! Rows of the configuration log in the table.

use std::sync::Arc;

use cyclamengrade_configuration::{Delta, Document};
use cyclamengrade_control::revision;
use cyclamengrade_platform::{self as platform, table::Row};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

/// Key of the row that names the newest revision.
pub(super) const HEAD_KEY: &str = "config/head";
/// Common prefix of the keys of all revisions.
pub(super) const REVISION_PREFIX: &str = "config/revision/";
/// Rows that one read of the log asks for.
const LOG_PAGE: usize = 200;

/// Content of the head row.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct Head {
    /// Newest revision.
    pub newest: u64,
    /// Revision of the newest snapshot; zero before the first.
    pub snapshot: u64,
}

/// Content of a revision row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct Record {
    /// Number of the revision.
    pub number: u64,
    /// Identifier of the change.
    pub change_id: String,
    /// Who made the change.
    pub author: String,
    /// When it was accepted, in milliseconds since the Unix epoch.
    pub accepted_unix_ms: u64,
    /// Changed entries.
    pub delta: Delta,
    /// Digest of the document after the change.
    pub digest: String,
}

/// Key of a revision row; the number is padded so that keys sort by number.
pub(super) fn revision_key(number: u64) -> String {
    format!("{REVISION_PREFIX}{number:012}")
}

/// Key of a snapshot row.
pub(super) fn snapshot_key(number: u64) -> String {
    format!("config/snapshot/{number:012}")
}

/// Reads the head with its row version; both zero before the first revision.
pub(super) async fn read_head(table: &dyn platform::Table) -> Result<(Head, u64), platform::Error> {
    let rows = table.read(vec![HEAD_KEY.into()]).await?;
    match rows.into_iter().next().flatten() {
        Some(row) => Ok((parse(&row)?, row.version)),
        None => Ok((Head::default(), 0)),
    }
}

/// Reads the records above `after` up to and including `newest`.
pub(super) async fn read_records(
    table: &dyn platform::Table,
    after: u64,
    newest: u64,
) -> Result<Vec<Record>, platform::Error> {
    let mut records: Vec<Record> = Vec::new();
    let mut last = after;
    while last < newest {
        let prefix = REVISION_PREFIX.to_owned();
        let rows = table.scan(prefix, revision_key(last), LOG_PAGE).await?;
        if rows.is_empty() {
            break;
        }
        for row in &rows {
            let record: Record = parse(row)?;
            last = record.number;
            records.push(record);
        }
    }
    records.retain(|record| record.number <= newest);
    Ok(records)
}

/// Reads a snapshot.
pub(super) async fn read_snapshot(
    table: &dyn platform::Table,
    number: u64,
) -> Result<revision::Snapshot, platform::Error> {
    let rows = table.read(vec![snapshot_key(number)]).await?;
    let Some(row) = rows.into_iter().next().flatten() else {
        let message = format!("snapshot {number} of the configuration does not exist");
        return Err(platform::Error::Protocol(message));
    };
    let document: Document = parse(&row)?;
    Ok(revision::Snapshot { number, document: Arc::new(document) })
}

/// Content from the table for the follower.
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
    serde_json::from_value(row.value.clone())
        .map_err(|error| platform::Error::Protocol(format!("row {}: {error}", row.key)))
}
