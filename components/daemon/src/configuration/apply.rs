//! Acceptance of a new configuration revision in one conditional transaction, and the history of
//! accepted revisions.

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

/// Number of revisions between two snapshots; the first revision also has a snapshot.
const REVISIONS_PER_SNAPSHOT: u64 = 100;
/// Time after which a caller may retry while the table is unavailable.
const TABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Accepts a configuration as the next revision if the expected revision is the newest one.
///
/// The call is idempotent: if the change with this identifier was already accepted on top of the
/// expected revision, it returns the revision that was created then. A caller can therefore resend
/// a change after a lost reply.
///
/// # Errors
///
/// Returns `Invalid` for an invalid document, `Conflict` if the expected revision is not the newest
/// one or the identifier was used for another document, `Unavailable` if the table is down and
/// nothing was accepted, and `OutcomeUnknown` if the change may have been accepted.
pub async fn apply(
    table: &dyn platform::Table,
    unix_ms: u64,
    change: ConfigurationChange,
) -> Result<Revision, Failure> {
    let document = validate(&change)?;
    let (head, version) = store::read_head(table).await.map_err(unavailable_failure)?;
    if head.newest != change.expected_revision {
        return resolve_stale(table, &change, &document, head).await;
    }
    let base = read_document(table, head).await.map_err(unavailable_failure)?;
    let record = Record {
        number: head.newest + 1,
        change_id: change.change_id.clone(),
        author: change.author.clone(),
        accepted_unix_ms: unix_ms,
        delta: Delta::new(&base, &document),
        digest: document.digest(),
    };
    let transaction = build_transaction(&record, &document, head, version);
    match table.commit(transaction).await {
        Ok(Commit::Done { .. }) => Ok(revision(record.number, &document)),
        Ok(Commit::Conflict { .. }) => {
            let (head, _) = store::read_head(table).await.map_err(unavailable_failure)?;
            resolve_stale(table, &change, &document, head).await
        }
        Err(error) if error.may_have_taken_effect() => {
            let (head, _) = store::read_head(table).await.map_err(unknown_outcome)?;
            if head.newest < record.number {
                return Err(unavailable_failure(error));
            }
            resolve_stale(table, &change, &document, head).await
        }
        Err(error) => Err(unavailable_failure(error)),
    }
}

/// Returns at most `limit` of the newest revisions, newest first.
pub async fn history(
    table: &dyn platform::Table,
    limit: usize,
) -> Result<Vec<HistoryEntry>, Failure> {
    let (head, _) = store::read_head(table).await.map_err(unavailable_failure)?;
    let count = u64::try_from(limit).unwrap_or(u64::MAX);
    let after = head.newest.saturating_sub(count);
    let records =
        store::read_records(table, after, head.newest).await.map_err(unavailable_failure)?;
    let entries = records.into_iter().rev().map(|record| HistoryEntry {
        revision: record.number,
        change_id: record.change_id,
        author: record.author,
        accepted_unix_ms: record.accepted_unix_ms,
        changes: record.delta.changes.iter().map(ToString::to_string).collect(),
    });
    Ok(entries.collect())
}

fn validate(change: &ConfigurationChange) -> Result<Document, Failure> {
    if change.change_id.is_empty() {
        return Err(Failure::not_run(Kind::Invalid, "change_id must not be empty"));
    }
    let document: Document = serde_json::from_value(change.document.clone())
        .map_err(|error| Failure::not_run(Kind::Invalid, format!("document: {error}")))?;
    let problems: Vec<String> = document.problems().iter().map(ToString::to_string).collect();
    if problems.is_empty() {
        Ok(document)
    } else {
        let message = format!("the document is invalid: {}", problems.join("; "));
        Err(Failure::not_run(Kind::Invalid, message))
    }
}

fn build_transaction(
    record: &Record,
    document: &Document,
    head: Head,
    version: u64,
) -> Transaction {
    let number = record.number;
    let takes_snapshot = number == 1 || number.is_multiple_of(REVISIONS_PER_SNAPSHOT);
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

/// Answers a change whose expected revision is not the newest: either it was accepted before, or it
/// conflicts with the revisions accepted since.
async fn resolve_stale(
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
    let records = store::read_records(table, change.expected_revision, head.newest)
        .await
        .map_err(unknown_outcome)?;
    match records.first() {
        Some(first) if first.change_id == change.change_id => {
            if first.digest == document.digest() {
                return Ok(revision(first.number, document));
            }
            let message = "change_id was already used with a different document; use a new one";
            return Err(Failure::not_run(Kind::Conflict, message));
        }
        _ => {}
    }
    Err(conflict_failure(change, head, &records))
}

fn conflict_failure(change: &ConfigurationChange, head: Head, records: &[Record]) -> Failure {
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

/// Reads the document of the newest revision: the newest snapshot with all later changes applied.
async fn read_document(
    table: &dyn platform::Table,
    head: Head,
) -> Result<Arc<Document>, platform::Error> {
    if head.newest == 0 {
        return Ok(Arc::default());
    }
    let mut document = store::read_snapshot(table, head.snapshot).await?.document;
    for record in store::read_records(table, head.snapshot, head.newest).await? {
        let Some(next) = record.delta.apply(&document) else {
            let message = format!(
                "the changes of revision {} do not apply to the previous document",
                record.number
            );
            return Err(platform::Error::Protocol(message));
        };
        document = Arc::new(next);
    }
    Ok(document)
}

fn revision(number: u64, document: &Document) -> Revision {
    Revision { revision: number, digest: document.digest(), document: json!(document) }
}

fn unavailable_failure(error: platform::Error) -> Failure {
    Failure::not_run(
        Kind::Unavailable,
        format!("the configuration log is unavailable and nothing was changed: {error}"),
    )
    .with_retry_after(TABLE_RETRY_AFTER)
}

fn unknown_outcome(error: platform::Error) -> Failure {
    let message = format!(
        "it is unknown whether the change was accepted: {error}; send it again with the same \
         change_id"
    );
    Failure::may_have_run(Kind::OutcomeUnknown, message).with_retry_after(TABLE_RETRY_AFTER)
}
