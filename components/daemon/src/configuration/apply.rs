//! Acceptance of a new revision in one conditional transaction.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use cyclamengrade_caller::{
    Failure, Kind,
    backend::{ConfigurationChange, HistoryEntry, Revision},
};
use cyclamengrade_configuration::{Delta, Document};
use cyclamengrade_platform::{
    self as platform,
    table::{Commit, Transaction},
};
use serde_json::json;

use super::store::{self, HEAD_KEY, Head, Record};

/// A snapshot is written at every revision that this number divides.
const SNAPSHOT_PERIOD: u64 = 100;
/// When a caller may come back while the table is down.
const TABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Accepts a configuration if its expected revision is the newest.
///
/// A change whose identifier already took effect on the expected revision returns that revision,
/// so a change may be sent again after a lost reply.
pub async fn apply(
    table: &dyn platform::Table,
    unix_ms: u64,
    change: ConfigurationChange,
) -> Result<Revision, Failure> {
    let document = check(&change)?;
    let (head, version) = store::read_head(table).await.map_err(unavailable)?;
    if head.newest != change.expected_revision {
        return resolve(table, &change, &document, head).await;
    }
    let base = document_at(table, head).await.map_err(unavailable)?;
    let record = Record {
        number: head.newest + 1,
        change_id: change.change_id.clone(),
        author: change.author.clone(),
        accepted_unix_ms: unix_ms,
        delta: Delta::new(&base, &document),
        digest: document.digest(),
    };
    let transaction = transaction(&record, &document, head, version);
    match table.commit(transaction).await {
        Ok(Commit::Done { .. }) => Ok(revision(record.number, &document)),
        Ok(Commit::Conflict { .. }) => {
            let (head, _) = store::read_head(table).await.map_err(unavailable)?;
            resolve(table, &change, &document, head).await
        }
        Err(error) if error.may_have_taken_effect() => {
            let (head, _) = store::read_head(table).await.map_err(unknown)?;
            if head.newest < record.number {
                return Err(unavailable(error));
            }
            resolve(table, &change, &document, head).await
        }
        Err(error) => Err(unavailable(error)),
    }
}

/// The newest revisions, newest first.
pub async fn history(
    table: &dyn platform::Table,
    limit: usize,
) -> Result<Vec<HistoryEntry>, Failure> {
    let (head, _) = store::read_head(table).await.map_err(unavailable)?;
    let count = u64::try_from(limit).unwrap_or(u64::MAX);
    let after = head.newest.saturating_sub(count);
    let records = store::read_records(table, after, head.newest).await.map_err(unavailable)?;
    let entries = records.into_iter().rev().map(|record| HistoryEntry {
        revision: record.number,
        change_id: record.change_id,
        author: record.author,
        accepted_unix_ms: record.accepted_unix_ms,
        changes: record.delta.changes.iter().map(ToString::to_string).collect(),
    });
    Ok(entries.collect())
}

fn check(change: &ConfigurationChange) -> Result<Document, Failure> {
    if change.change_id.is_empty() {
        return Err(Failure::not_run(Kind::Invalid, "change_id must not be empty"));
    }
    let document: Document = serde_json::from_value(change.document.clone())
        .map_err(|error| Failure::not_run(Kind::Invalid, format!("document: {error}")))?;
    let problems: Vec<String> = document.problems().iter().map(ToString::to_string).collect();
    if problems.is_empty() {
        Ok(document)
    } else {
        let message = format!("the document is not acceptable: {}", problems.join("; "));
        Err(Failure::not_run(Kind::Invalid, message))
    }
}

fn transaction(record: &Record, document: &Document, head: Head, version: u64) -> Transaction {
    let number = record.number;
    let takes_snapshot = number == 1 || number.is_multiple_of(SNAPSHOT_PERIOD);
    let snapshot = if takes_snapshot { number } else { head.snapshot };
    let transaction = Transaction::new()
        .with_condition(HEAD_KEY, version)
        .with_write(HEAD_KEY, json!(Head { newest: number, snapshot }))
        .with_write(store::revision_key(number), json!(record));
    if takes_snapshot {
        transaction.with_write(store::snapshot_key(number), json!(document))
    } else {
        transaction
    }
}

/// Answers for a change whose expected revision is not the newest: it took effect before, or it
/// conflicts.
async fn resolve(
    table: &dyn platform::Table,
    change: &ConfigurationChange,
    document: &Document,
    head: Head,
) -> Result<Revision, Failure> {
    if change.expected_revision > head.newest {
        let message = format!(
            "expected revision {}, but the newest is {}; run `config plan` again",
            change.expected_revision, head.newest
        );
        return Err(Failure::not_run(Kind::Conflict, message));
    }
    let records =
        store::read_records(table, change.expected_revision, head.newest).await.map_err(unknown)?;
    match records.first() {
        Some(first) if first.change_id == change.change_id => {
            if first.digest == document.digest() {
                return Ok(revision(first.number, document));
            }
            let message = "change_id was used before with another document; use a new one";
            return Err(Failure::not_run(Kind::Conflict, message));
        }
        _ => {}
    }
    Err(conflict(change, head, &records))
}

fn conflict(change: &ConfigurationChange, head: Head, records: &[Record]) -> Failure {
    let entries: BTreeSet<String> = records
        .iter()
        .flat_map(|record| &record.delta.changes)
        .map(|entry| format!("{}.{}", entry.section, entry.name))
        .collect();
    let authors: BTreeSet<&str> = records.iter().map(|record| record.author.as_str()).collect();
    let message = format!(
        "expected revision {}, but the newest is {}; changed since by {}: {}; run `config plan` \
         again",
        change.expected_revision,
        head.newest,
        authors.into_iter().collect::<Vec<_>>().join(", "),
        entries.into_iter().collect::<Vec<_>>().join(", "),
    );
    Failure::not_run(Kind::Conflict, message)
}

async fn document_at(
    table: &dyn platform::Table,
    head: Head,
) -> Result<Arc<Document>, platform::Error> {
    if head.newest == 0 {
        return Ok(Arc::default());
    }
    let mut document = store::read_snapshot(table, head.snapshot).await?.document;
    for record in store::read_records(table, head.snapshot, head.newest).await? {
        let Some(next) = record.delta.apply(&document) else {
            let message = format!("revision {} does not fit the document", record.number);
            return Err(platform::Error::Protocol(message));
        };
        document = Arc::new(next);
    }
    Ok(document)
}

fn revision(number: u64, document: &Document) -> Revision {
    Revision { revision: number, digest: document.digest(), document: json!(document) }
}

fn unavailable(error: platform::Error) -> Failure {
    Failure::not_run(Kind::Unavailable, format!("nothing was accepted: {error}"))
        .with_retry_after(TABLE_RETRY_AFTER)
}

fn unknown(error: platform::Error) -> Failure {
    let message = format!(
        "whether the change was accepted is not known: {error}; send it again with the same \
         change_id"
    );
    Failure::may_have_run(Kind::OutcomeUnknown, message).with_retry_after(TABLE_RETRY_AFTER)
}
