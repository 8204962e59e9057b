//! Reads and writes batch jobs in the store.

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
    directory::log_unusable,
    job::{key, row, size::encoded_bytes},
    shared::{Job, Shared},
};

/// Time between two reads while a caller waits for the first result.
const RESULT_POLL_INTERVAL: Duration = Duration::from_millis(450);
/// Largest number of rows of one read.
const MAX_ROWS_PER_READ: usize = 100;
/// Largest number of bytes of one page of results. A page with a single result may exceed it.
const MAX_PAGE_BYTES: usize = 1_000_000;
/// Limit on the bytes of a result in a page without its id and text.
const RESULT_BYTES: usize = 100;
/// Delay before the writes of a submission are retried.
const SUBMISSION_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Largest number of attempts to update a row that others change at the same time.
const MAX_UPDATE_ATTEMPTS: usize = 8;

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The job is stored.
    Stored,
    /// The job is not stored, and no part of it will run because of this call.
    NotStored(Error),
    /// The job may be stored, now or later.
    Unknown(Error),
}

/// Stores a submitted job. Repeated submissions of the same job store it once.
///
/// A write whose reply is lost is retried. The writes are conditional, so that a retry of a write
/// that took effect has no further effect.
pub async fn accept(shared: &Shared, id: &str, body: Bytes, job: &row::Job) -> Acceptance {
    let started = Instant::now();
    let mut submission = Submission::default();
    loop {
        let (write, error) = match try_accept(shared, id, body.clone(), job).await {
            Ok(()) => return Acceptance::Stored,
            Err(failed) => failed,
        };
        match submission.record_failure(write, error.may_have_taken_effect(), started.elapsed()) {
            Action::Retry => sleep(SUBMISSION_RETRY_DELAY).await,
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
    let put = shared.objects.put_new(key::input(id), body.clone()).await;
    let is_new = put.map_err(|error| (Write::Object, error))?;
    shared.record_store_contact();
    if !is_new && job.account.is_some() {
        check_items(shared, id, &body).await.map_err(|error| (Write::Object, error))?;
    }
    write_row(shared, id, job).await.map_err(|error| (Write::Row, error))
}

/// Fails if the items in the store are those of another submission, whose row was not written. It may be one of
/// another account, and its items would run in place of those of this job.
async fn check_items(shared: &Shared, id: &str, body: &[u8]) -> Result<(), Error> {
    let stored = shared.objects.get(key::input(id)).await?;
    shared.record_store_contact();
    let items = |body: &[u8]| shared.dialect.read_job(body);
    let is_same = stored.is_none_or(|stored| stored == body || items(&stored) == items(body));
    if is_same || read(shared, id).await?.is_some() {
        return Ok(());
    }
    Err(Error::Protocol(format!("the object with the items of job {id} is of another submission")))
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

/// Records the row of a job, if it is newer than the known one, before the feed delivers it.
pub fn record_row(shared: &Shared, id: &str, version: u64, row: row::Job) {
    let mut jobs = shared.jobs();
    if jobs.get(id).is_none_or(|known| known.version < version) {
        jobs.insert(id.to_owned(), Job { version, row });
    }
}

/// Reads and records the row of a job in the store. Returns `None` if there is no such job.
///
/// # Errors
///
/// Fails if the store does not answer or the row cannot be decoded.
pub async fn read(shared: &Shared, id: &str) -> Result<Option<Job>, Error> {
    let rows = shared.table.read(vec![key::job(id)]).await?;
    shared.record_store_contact();
    let Some(Some(found)) = rows.into_iter().next() else { return Ok(None) };
    let job = Job { version: found.version, row: decode(&found)? };
    record_row(shared, id, job.version, job.row.clone());
    Ok(Some(job))
}

/// Returns the known row of a job, or reads it from the store.
///
/// # Errors
///
/// Fails under the same conditions as [`read`].
pub async fn find(shared: &Shared, id: &str) -> Result<Option<Job>, Error> {
    let known = shared.jobs().get(id).cloned();
    match known {
        Some(job) => Ok(Some(job)),
        None => read(shared, id).await,
    }
}

/// Updates the row of a job, and retries after a conflict with another writer. Returns `None` if
/// the job does not exist or `change` returns `None`.
///
/// # Errors
///
/// Fails if the store does not answer, or if other writers keep changing the row.
pub async fn update(
    shared: &Shared,
    id: &str,
    mut job: Job,
    change: impl Fn(&row::Job) -> Option<row::Job>,
) -> Result<Option<Job>, Error> {
    for _ in 0..MAX_UPDATE_ATTEMPTS {
        let Some(row) = change(&job.row) else { return Ok(None) };
        let transaction = Transaction::new()
            .with_condition(key::job(id), job.version)
            .with_write(key::job(id), encode(&row)?);
        match shared.table.commit(transaction).await? {
            Commit::Done { versions } => {
                shared.record_store_contact();
                let version = versions.first().copied().unwrap_or(job.version);
                record_row(shared, id, version, row.clone());
                return Ok(Some(Job { version, row }));
            }
            Commit::Conflict { .. } => {
                shared.record_store_contact();
                match read(shared, id).await? {
                    Some(newer) => job = newer,
                    None => return Ok(None),
                }
            }
        }
    }
    Err(Error::Unreachable(format!(
        "the row of job {id} changed during each of {MAX_UPDATE_ATTEMPTS} attempts to update it"
    )))
}

/// Reads the items of a job.
///
/// # Errors
///
/// Fails if the store does not answer, or if the object with the items is missing or cannot be
/// decoded.
pub async fn input(shared: &Shared, id: &str) -> Result<Vec<Item>, Error> {
    let body = shared.objects.get(key::input(id)).await?;
    shared.record_store_contact();
    let body = body.ok_or_else(|| {
        Error::Protocol(format!("the object with the items of job {id} is missing"))
    })?;
    shared.dialect.read_job(&body).map_err(Error::Protocol)
}

/// Reads a page of results from the position `after`, and waits up to `wait` for the first result.
/// `total` is the number of items of the job.
///
/// # Errors
///
/// Fails if the store does not answer or a row cannot be decoded.
pub async fn results(
    shared: &Shared,
    id: &str,
    total: usize,
    after: usize,
    wait: Duration,
) -> Result<Page, Error> {
    let until = Instant::now() + wait;
    loop {
        let rows = result_rows(shared, id, after, MAX_ROWS_PER_READ).await?;
        let left = until.saturating_duration_since(Instant::now());
        if !rows.is_empty() || after >= total || left < RESULT_POLL_INTERVAL {
            return page(shared, total, after, rows).await;
        }
        sleep(RESULT_POLL_INTERVAL).await;
    }
}

/// Reads up to `limit` rows of results from the position `from`, up to the first position without a row.
/// A row that cannot be decoded is `None`; it still occupies its position.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn result_rows(
    shared: &Shared,
    id: &str,
    from: usize,
    limit: usize,
) -> Result<Vec<Option<row::Outcome>>, Error> {
    let prefix = key::results(id);
    let after = match from.checked_sub(1) {
        Some(last) => key::result(id, last),
        None => prefix.clone(),
    };
    let rows = shared.table.scan(prefix, after, limit).await?;
    shared.record_store_contact();
    // Rows of other writers may have keys that are no positions.
    let is_next =
        |(index, row): &(usize, &Row)| row.key == key::result(id, from.saturating_add(*index));
    let listed = rows.iter().enumerate().take_while(is_next);
    Ok(listed.map(|(_, row)| decode_or_log(row)).collect())
}

/// Reads all rows of results, in the order of their positions.
///
/// # Errors
///
/// Fails under the same conditions as [`result_rows`].
pub async fn all_result_rows(
    shared: &Shared,
    id: &str,
) -> Result<Vec<Option<row::Outcome>>, Error> {
    let mut all = Vec::new();
    loop {
        let found = result_rows(shared, id, all.len(), MAX_ROWS_PER_READ).await?;
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
    rows: Vec<Option<row::Outcome>>,
) -> Result<Page, Error> {
    let mut results = Vec::new();
    let mut bytes = 0;
    let mut next = after;
    for row in rows {
        let Some(row) = row else {
            next += 1;
            continue;
        };
        let text = match (row.text, row.object) {
            (Some(text), _) => text,
            (None, Some(object)) => text(shared, object).await?,
            (None, None) => {
                return Err(Error::Protocol(
                    "a result row has neither a text nor an object".into(),
                ));
            }
        };
        bytes += encoded_bytes(&text) + encoded_bytes(&row.item) + RESULT_BYTES;
        if bytes > MAX_PAGE_BYTES && !results.is_empty() {
            break;
        }
        results.push(Outcome { item: row.item, state: row.state.into(), text });
        next += 1;
    }
    Ok(Page { total, next, results })
}

async fn text(shared: &Shared, object: String) -> Result<String, Error> {
    let bytes = shared.objects.get(object.clone()).await?;
    let bytes =
        bytes.ok_or_else(|| Error::Protocol(format!("the result object {object} is missing")))?;
    String::from_utf8(bytes.to_vec()).map_err(|error| Error::Protocol(error.to_string()))
}

/// Reads the failures that earlier owners stored, by position of the item.
///
/// # Errors
///
/// Fails if the store does not answer. A row that cannot be decoded counts as none.
pub async fn failures(shared: &Shared, id: &str) -> Result<BTreeMap<usize, u32>, Error> {
    let rows = shared.table.read(vec![key::failures(id)]).await?;
    let row = rows.into_iter().next().flatten();
    let row: Option<row::Failures> = row.as_ref().and_then(decode_or_log);
    Ok(row.unwrap_or_default().counts)
}

/// Reads the texts of unfinished items that earlier owners stored, by position of the item. Rows that
/// cannot be used are left out.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn partials(shared: &Shared, id: &str) -> Result<BTreeMap<usize, row::Partial>, Error> {
    let prefix = key::partials(id);
    let mut all = BTreeMap::new();
    let mut after = prefix.clone();
    loop {
        let rows = shared.table.scan(prefix.clone(), after.clone(), MAX_ROWS_PER_READ).await?;
        let Some(last) = rows.last() else { return Ok(all) };
        after.clone_from(&last.key);
        for row in &rows {
            let item = row.key.strip_prefix(&prefix).and_then(|item| item.parse().ok());
            let partial = decode_or_log::<row::Partial>(row);
            match item.zip(partial) {
                Some((item, partial)) if partial.is_sound() => {
                    all.insert(item, partial);
                }
                Some(_) => log_unusable(&row.key, row.version, "it has more events than its text"),
                None => {}
            }
        }
    }
}

/// Encodes a row value.
///
/// # Errors
///
/// Fails if the value cannot be represented as JSON.
pub fn encode(value: &impl Serialize) -> Result<serde_json::Value, Error> {
    serde_json::to_value(value).map_err(|error| Error::Protocol(error.to_string()))
}

/// Decodes the value of a row.
///
/// # Errors
///
/// Fails if the value is not of type `T`.
pub fn decode<T: DeserializeOwned>(row: &Row) -> Result<T, Error> {
    T::deserialize(&row.value).map_err(|error| Error::Protocol(format!("row {}: {error}", row.key)))
}

/// Decodes the value of a row, or returns `None` after logging that it cannot be used.
pub fn decode_or_log<T: DeserializeOwned>(row: &Row) -> Option<T> {
    match decode(row) {
        Ok(value) => Some(value),
        Err(error) => {
            log_unusable(&row.key, row.version, &error.to_string());
            None
        }
    }
}

/// Ends a job and keeps its committed results. Returns whether the job exists.
///
/// # Errors
///
/// Fails under the same conditions as [`update`].
pub async fn end(shared: &Arc<Shared>, id: &str) -> Result<bool, Error> {
    let Some(job) = find(shared, id).await? else { return Ok(false) };
    update(shared, id, job, row::Job::ended).await?;
    Ok(true)
}
