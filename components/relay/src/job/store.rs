//! Reads and writes of batch jobs in the store.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use bytes::Bytes;
use cyclamengrade_control::relay::submission::{Action, Submission, Write};
use cyclamengrade_platform::{
    Error,
    table::{Commit, Row, Transaction},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::{Instant, sleep};

use crate::{
    dialect::{Item, Outcome, Page},
    job::{key, row},
    shared::{Job, Shared},
};

/// Pause between two reads while a caller waits for the first result.
const RESULT_POLL: Duration = Duration::from_millis(450);
/// Rows of one read of results.
const RESULT_ROWS: usize = 100;
/// Bytes of text in one page of results. A page is at least one result long.
const PAGE_BYTES: usize = 1 << 20;
/// Pause before the writes of an acceptance are repeated.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Repetitions of a transaction that met a newer row.
const CONFLICT_RETRIES: usize = 8;

/// How a submission ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The job is in the store.
    Stored,
    /// Nothing was stored, and nothing of the job will run because of this call.
    NotStored(Error),
    /// It may or may not be stored, now or later.
    Unknown(Error),
}

/// Stores a job; the same job is stored once.
///
/// A write whose reply is lost is repeated, since it is conditional and finds its own effect.
pub async fn accept(shared: &Shared, id: &str, body: Bytes, job: &row::Job) -> Acceptance {
    let started = Instant::now();
    let mut acceptance = Submission::default();
    loop {
        let (write, error) = match try_accept(shared, id, body.clone(), job).await {
            Ok(()) => return Acceptance::Stored,
            Err(failed) => failed,
        };
        match acceptance.record_failure(write, error.may_have_taken_effect(), started.elapsed()) {
            Action::Retry => sleep(ACCEPT_PAUSE).await,
            Action::Refuse => return Acceptance::NotStored(error),
            Action::ReportUnknown => return Acceptance::Unknown(error),
        }
    }
}

async fn try_accept(
    shared: &Shared,
    id: &str,
    body: Bytes,
    job: &row::Job,
) -> Result<(), (Write, Error)> {
    let put = shared.objects.put_new(key::input(id), body).await;
    put.map_err(|error| (Write::Object, error))?;
    shared.record_store_contact();
    write_row(shared, id, job).await.map_err(|error| (Write::Row, error))
}

async fn write_row(shared: &Shared, id: &str, job: &row::Job) -> Result<(), Error> {
    let value = encode(job)?;
    let transaction =
        Transaction::new().with_condition(key::job(id), 0).with_write(key::job(id), value);
    let commit = shared.table.commit(transaction).await?;
    shared.record_store_contact();
    match commit {
        Commit::Done { versions } => {
            if let Some(version) = versions.first() {
                record_row(shared, id, *version, job.clone());
            }
        }
        Commit::Conflict { rows } => {
            if let Some(Some(found)) = rows.into_iter().next()
                && let Ok(job) = decode::<row::Job>(&found)
            {
                record_row(shared, id, found.version, job);
            }
        }
    }
    Ok(())
}

/// Records a newer row of a job before the feed brings it.
pub fn record_row(shared: &Shared, id: &str, version: u64, row: row::Job) {
    let mut jobs = shared.jobs();
    if jobs.get(id).is_none_or(|known| known.version < version) {
        jobs.insert(id.to_owned(), Job { version, row });
    }
}

/// Reads the row of a job from the store.
///
/// # Errors
///
/// The store gives no answer, or the row cannot be read.
pub async fn read(shared: &Shared, id: &str) -> Result<Option<Job>, Error> {
    let rows = shared.table.read(vec![key::job(id)]).await?;
    shared.record_store_contact();
    let Some(Some(found)) = rows.into_iter().next() else { return Ok(None) };
    let listed = Job { version: found.version, row: decode(&found)? };
    record_row(shared, id, listed.version, listed.row.clone());
    Ok(Some(listed))
}

/// The row of a job as known here, or as the store has it.
///
/// # Errors
///
/// As for [`read`].
pub async fn find(shared: &Shared, id: &str) -> Result<Option<Job>, Error> {
    let known = shared.jobs().get(id).cloned();
    match known {
        Some(listed) => Ok(Some(listed)),
        None => read(shared, id).await,
    }
}

/// Changes the row of a job; `None` when there is none or `change` leaves it as it is.
///
/// # Errors
///
/// The store gives no answer, or others keep changing the row.
pub async fn update(
    shared: &Shared,
    id: &str,
    mut listed: Job,
    change: impl Fn(&row::Job) -> Option<row::Job>,
) -> Result<Option<Job>, Error> {
    for _ in 0..CONFLICT_RETRIES {
        let Some(row) = change(&listed.row) else { return Ok(None) };
        let transaction = Transaction::new()
            .with_condition(key::job(id), listed.version)
            .with_write(key::job(id), encode(&row)?);
        match shared.table.commit(transaction).await? {
            Commit::Done { versions } => {
                shared.record_store_contact();
                let version = versions.first().copied().unwrap_or(listed.version);
                record_row(shared, id, version, row.clone());
                return Ok(Some(Job { version, row }));
            }
            Commit::Conflict { .. } => {
                shared.record_store_contact();
                match read(shared, id).await? {
                    Some(newer) => listed = newer,
                    None => return Ok(None),
                }
            }
        }
    }
    Err(Error::Unreachable(format!("the row of job {id} keeps changing")))
}

/// Reads the items of a job.
///
/// # Errors
///
/// The store gives no answer, or has no items of this job that can be read.
pub async fn input(shared: &Shared, id: &str) -> Result<Vec<Item>, Error> {
    let body = shared.objects.get(key::input(id)).await?;
    shared.record_store_contact();
    let body = body.ok_or_else(|| Error::Protocol(format!("job {id} has no items")))?;
    shared.dialect.read_job(&body).map_err(Error::Protocol)
}

/// Reads results from a position on; waits up to `wait` for the first one.
///
/// # Errors
///
/// The store gives no answer, or a row cannot be read.
pub async fn results(
    shared: &Shared,
    id: &str,
    total: usize,
    after: usize,
    wait: Duration,
) -> Result<Page, Error> {
    let until = Instant::now() + wait;
    loop {
        let rows = result_rows(shared, id, after, RESULT_ROWS).await?;
        let left = until.saturating_duration_since(Instant::now());
        if !rows.is_empty() || after >= total || left < RESULT_POLL {
            return page(shared, total, after, rows).await;
        }
        sleep(RESULT_POLL).await;
    }
}

/// Rows of results from a position on.
///
/// # Errors
///
/// The store gives no answer, or a row cannot be read.
pub async fn result_rows(
    shared: &Shared,
    id: &str,
    from: usize,
    limit: usize,
) -> Result<Vec<row::Outcome>, Error> {
    let prefix = key::results(id);
    let after = match from.checked_sub(1) {
        Some(last) => key::result(id, last),
        None => prefix.clone(),
    };
    let rows = shared.table.scan(prefix, after, limit).await?;
    shared.record_store_contact();
    rows.iter().map(decode).collect()
}

/// All rows of results.
///
/// # Errors
///
/// As for [`result_rows`].
pub async fn all_result_rows(shared: &Shared, id: &str) -> Result<Vec<row::Outcome>, Error> {
    let mut all = Vec::new();
    loop {
        let found = result_rows(shared, id, all.len(), RESULT_ROWS).await?;
        if found.is_empty() {
            return Ok(all);
        }
        all.extend(found);
    }
}

async fn page(
    shared: &Shared,
    total: usize,
    after: usize,
    rows: Vec<row::Outcome>,
) -> Result<Page, Error> {
    let mut results = Vec::new();
    let mut bytes = 0;
    for row in rows {
        let text = match (row.text, row.object) {
            (Some(text), _) => text,
            (None, Some(object)) => text(shared, object).await?,
            (None, None) => return Err(Error::Protocol("a result has no text".into())),
        };
        bytes += text.len();
        if bytes > PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(Outcome { item: row.item, state: row.state.into(), text });
    }
    Ok(Page { total, next: after + results.len(), results })
}

async fn text(shared: &Shared, object: String) -> Result<String, Error> {
    let bytes = shared.objects.get(object.clone()).await?;
    let bytes = bytes.ok_or_else(|| Error::Protocol(format!("object {object} is missing")))?;
    String::from_utf8(bytes.to_vec()).map_err(|error| Error::Protocol(error.to_string()))
}

/// Reads the failures that earlier owners stored.
///
/// # Errors
///
/// The store gives no answer, or the row cannot be read.
pub async fn failures(shared: &Shared, id: &str) -> Result<BTreeMap<usize, u32>, Error> {
    let rows = shared.table.read(vec![key::failures(id)]).await?;
    match rows.into_iter().next().flatten() {
        Some(row) => Ok(decode::<row::Failures>(&row)?.counts),
        None => Ok(BTreeMap::new()),
    }
}

/// Reads the texts of unfinished items that earlier owners stored.
///
/// # Errors
///
/// The store gives no answer, or a row cannot be read.
pub async fn partials(shared: &Shared, id: &str) -> Result<BTreeMap<usize, row::Partial>, Error> {
    let prefix = key::partials(id);
    let mut all = BTreeMap::new();
    let mut after = prefix.clone();
    loop {
        let rows = shared.table.scan(prefix.clone(), after.clone(), RESULT_ROWS).await?;
        let Some(last) = rows.last() else { return Ok(all) };
        after.clone_from(&last.key);
        for row in &rows {
            let item = row.key.strip_prefix(&prefix).and_then(|item| item.parse().ok());
            if let Some(item) = item {
                all.insert(item, decode(row)?);
            }
        }
    }
}

/// A row value.
///
/// # Errors
///
/// The value cannot be written as JSON.
pub fn encode(value: &impl Serialize) -> Result<serde_json::Value, Error> {
    serde_json::to_value(value).map_err(|error| Error::Protocol(error.to_string()))
}

/// The value of a row.
///
/// # Errors
///
/// The row holds something else.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    T::deserialize(&row.value).map_err(|error| Error::Protocol(format!("row {}: {error}", row.key)))
}

/// Ends a job; results that are listed stay. Returns whether there is such a job.
///
/// # Errors
///
/// The store gives no answer.
pub async fn end(shared: &Arc<Shared>, id: &str) -> Result<bool, Error> {
    let Some(listed) = find(shared, id).await? else { return Ok(false) };
    update(shared, id, listed, row::Job::ended).await?;
    Ok(true)
}
