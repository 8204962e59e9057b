//! Commits the results of a job to the store.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::{
    job::Progress,
    results::{Batch, Entry},
};
use cyclamengrade_platform::{
    Error,
    table::{Commit, Transaction},
};
use cyclamengrade_telemetry::{
    event,
    metrics::{RELAY_RESULTS, RELAY_TRANSACTIONS_REJECTED},
};
use metrics::counter;
use tokio::time::sleep;

use crate::{
    batch::{Dispatcher, dispatcher::MIN_UNSAVED_EVENTS, owned::Owned},
    job::{
        key, row,
        size::{self, encoded_bytes},
        store,
    },
    shared::{Job, lock},
    task,
};

/// Largest number of results in one transaction; at most half as many texts of unfinished items are
/// added. The store limits a transaction to 100 entries, and a result takes two of them.
const MAX_RESULTS_PER_COMMIT: usize = 36;
/// Largest number of bytes of the rows with texts in one transaction. The store's limit is 1 MB, and base64
/// adds a third.
const MAX_COMMIT_BYTES: usize = 500 << 10;
/// Backoff after the first failed commit; doubled for each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after a failed commit.
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);

/// Content of one transaction of a job.
struct Write {
    job: Job,
    results: Batch,
    failures: Option<row::Failures>,
    /// New row of the job, if the transaction changes it.
    row: Option<row::Job>,
    /// Texts of unfinished items, with the positions of the items in the job.
    partials: Vec<(usize, row::Partial)>,
}

/// Outcome of a transaction.
enum Outcome {
    /// The transaction is stored. Holds the new version of the job's row if the row was written.
    Stored(Option<u64>),
    /// The rows in the store differ from those expected, or the reply was lost.
    Unknown,
    /// Nothing was stored.
    Failed(Error),
    /// Nothing was stored, and the same transaction would be refused again.
    Rejected(Error),
}

impl Dispatcher {
    /// Commits the pending results of a job in the background, unless that is already under way.
    pub(super) fn commit(self: &Arc<Self>, id: &str) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        if owned.committing {
            return;
        }
        owned.committing = true;
        drop(jobs);
        let (dispatcher, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move {
            if task::catch("commit", dispatcher.commit_all(&id)).await.is_err()
                && let Some(owned) = dispatcher.jobs().get_mut(&id)
            {
                owned.committing = false;
            }
        });
    }

    async fn commit_all(&self, id: &str) {
        let mut backoff = MIN_BACKOFF;
        let mut was_unknown = false;
        while let Some(write) = self.next_write(id) {
            let Batch { from, is_last, .. } = write.results;
            let count = write.results.entries.len();
            match self.store(id, &write).await {
                Outcome::Stored(version) => {
                    (backoff, was_unknown) = (MIN_BACKOFF, false);
                    self.record_stored(id, &write, version);
                    counter!(RELAY_RESULTS).increment(count as u64);
                    if count > 0 {
                        event!(
                            ResultsListed,
                            job:% = id,
                            from = from,
                            count = count,
                            listed = from + count,
                            items = write.job.row.items
                        );
                    }
                    if is_last {
                        self.release(id, "every result is committed");
                        return;
                    }
                }
                Outcome::Unknown => {
                    let resynced = self.resync(id).await;
                    if let Err(error) = &resynced {
                        event!(ResultsWaiting, job:% = id, error:% = error);
                    }
                    // One lost reply is no reason to wait.
                    if resynced.is_err() || std::mem::replace(&mut was_unknown, true) {
                        sleep(backoff).await;
                        backoff = (backoff * 2).min(MAX_BACKOFF);
                    }
                }
                Outcome::Failed(error) => {
                    event!(ResultsWaiting, job:% = id, error:% = error);
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
                Outcome::Rejected(error) => {
                    counter!(RELAY_TRANSACTIONS_REJECTED).increment(1);
                    event!(ResultsRejected, job:% = id, count = count, error:% = error);
                    self.record_rejection(id, &write);
                    sleep(backoff).await;
                    backoff = (backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    /// Returns the next transaction of a job. If there is none, marks the job as no longer
    /// committing.
    fn next_write(&self, id: &str) -> Option<Write> {
        let mut jobs = self.jobs();
        let owned = jobs.get_mut(id)?;
        let max_row_bytes = size::max_row_bytes(&self.shared);
        // A text that does not fit into its row is stored as an object.
        let size = |entry: &Entry| encoded_bytes(&entry.text).min(max_row_bytes);
        let results = owned.results.next_batch(MAX_RESULTS_PER_COMMIT, MAX_COMMIT_BYTES, size);
        let bytes: usize = results.entries.iter().map(size).sum();
        let progress = owned.results.progress();
        let is_sound = results.entries.iter().all(|entry| !owned.results.was_refused(entry.item));
        let failures =
            (owned.failures_changed && is_sound).then(|| failures_row(progress, owned.items.len()));
        let partials = match is_sound && std::mem::take(&mut owned.save_requested) {
            true => {
                self.partials(owned, MIN_UNSAVED_EVENTS, MAX_COMMIT_BYTES.saturating_sub(bytes))
            }
            false => Vec::new(),
        };
        let ends_job = results.is_last && owned.is_open();
        let is_empty = results.entries.is_empty() && failures.is_none() && partials.is_empty();
        if is_empty && !ends_job {
            owned.committing = false;
            return None;
        }
        owned.failures_changed &= failures.is_none();
        let row = match results.is_last {
            true => Some(owned.job.row.done()),
            false if results.entries.is_empty() => None,
            false => self.reduced_row(owned, &results),
        };
        Some(Write { job: owned.job.clone(), results, failures, row, partials })
    }

    /// Returns the row of a job without the tokens of its finished items, if its route or account is
    /// near the limit on waiting tokens.
    fn reduced_row(&self, owned: &Owned, results: &Batch) -> Option<row::Job> {
        let route = self.route(&owned.job.row)?;
        let account = owned.job.row.account.as_deref();
        if !route.quota.is_limited()
            || !route.quota.needs_exact_count(self.shared.waiting_tokens(&route, account))
        {
            return None;
        }
        let tokens = |item: usize| owned.items.get(item).map_or(0, |item| item.tokens);
        let finished =
            results.entries.iter().map(|entry| tokens(entry.item)).fold(0, u64::saturating_add);
        let unfinished = owned.unfinished_tokens().saturating_sub(finished);
        Some(owned.job.row.with_tokens(unfinished))
    }

    /// Returns texts of unfinished items with at least `min_events` new events, as many as fit into
    /// one transaction.
    fn partials(
        &self,
        owned: &Owned,
        min_events: u64,
        max_bytes: usize,
    ) -> Vec<(usize, row::Partial)> {
        let mut bytes = 0;
        let max_row_bytes = size::max_row_bytes(&self.shared);
        let unsaved = owned.unsaved(min_events, max_row_bytes).into_iter();
        let fitting = unsaved.take_while(|(_, partial)| {
            bytes += encoded_bytes(partial);
            bytes <= max_bytes
        });
        fitting.take(MAX_RESULTS_PER_COMMIT / 2).collect()
    }

    /// Stores the texts of all unfinished items of a job before its handover, so that the next
    /// owner does not repeat their runs.
    pub(super) async fn save_partials(&self, id: &str) -> Result<(), Error> {
        let write = {
            let jobs = self.jobs();
            let Some(owned) = jobs.get(id) else { return Ok(()) };
            let partials = self.partials(owned, 1, MAX_COMMIT_BYTES);
            let results =
                Batch { from: owned.results.committed(), entries: Vec::new(), is_last: false };
            Write { job: owned.job.clone(), results, failures: None, row: None, partials }
        };
        if !write.partials.is_empty() {
            match self.try_store(id, &write).await {
                // A conflict is ignored: it means that the job has ended or belongs to another relay.
                Ok(_) => {}
                // Without the texts, the next owner repeats the runs.
                Err(error @ Error::Rejected(_)) => {
                    event!(ResultsRejected, job:% = id, count = 0, error:% = error);
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    async fn store(&self, id: &str, write: &Write) -> Outcome {
        match self.try_store(id, write).await {
            Ok(Commit::Done { versions }) => {
                Outcome::Stored(versions.first().copied().filter(|_| write.row.is_some()))
            }
            Ok(Commit::Conflict { .. }) => Outcome::Unknown,
            Err(error) if error.may_have_taken_effect() => Outcome::Unknown,
            Err(error @ Error::Rejected(_)) => Outcome::Rejected(error),
            Err(error) => {
                self.mark_failures_unstored(id, write);
                Outcome::Failed(error)
            }
        }
    }

    async fn try_store(&self, id: &str, write: &Write) -> Result<Commit, Error> {
        let mut transaction = Transaction::new().with_condition(key::job(id), write.job.version);
        if let Some(row) = &write.row {
            transaction = transaction.with_write(key::job(id), store::encode(row)?);
        }
        for (offset, pending) in write.results.entries.iter().enumerate() {
            let key = key::result(id, write.results.from + offset);
            let outcome = self.result_row(id, pending).await?;
            transaction = transaction
                .with_condition(key.clone(), 0)
                .with_write(key, store::encode(&outcome)?);
        }
        for (item, partial) in &write.partials {
            transaction = transaction.with_write(key::partial(id, *item), store::encode(partial)?);
        }
        if let Some(failures) = &write.failures {
            transaction = transaction.with_write(key::failures(id), store::encode(failures)?);
        }
        let commit = self.shared.table.commit(transaction).await?;
        self.shared.record_store_contact();
        Ok(commit)
    }

    /// Returns the row of a result. A text that does not fit into the row is stored as an object
    /// first.
    async fn result_row(&self, id: &str, pending: &Entry) -> Result<row::Outcome, Error> {
        let found = {
            let jobs = self.jobs();
            jobs.get(id).and_then(|owned| {
                let item = owned.items.get(pending.item)?.id.clone();
                Some((item, owned.results.refusals(pending.item)))
            })
        };
        let (item, refusals) = found
            .ok_or_else(|| Error::Unreachable(format!("job {id} was released during a commit")))?;
        let state = pending.state.into();
        let text = Some(pending.text.clone());
        let whole = row::Outcome { item: item.clone(), state, text, object: None };
        let is_accepted = refusals == 0 || pending.text.is_empty();
        if is_accepted && size::fits_row(&self.shared, &whole) {
            return Ok(whole);
        }
        let object = key::text(id, pending.item);
        let text = pending.text.clone().into();
        // An existing object holds the text of the same item from an earlier commit.
        let put = self.shared.objects.put_new(object.clone(), text).await;
        match put {
            Ok(_) => Ok(row::Outcome { item, state, text: None, object: Some(object) }),
            Err(error @ Error::Rejected(_)) => Err(error),
            // The transaction is not sent, so the error must be one of a write without effect.
            Err(error) => Err(Error::Unreachable(error.to_string())),
        }
    }

    fn record_stored(&self, id: &str, write: &Write, version: Option<u64>) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        owned.results.record_commit(&write.results);
        for (item, partial) in &write.partials {
            if let Some(transcript) = owned.transcripts.get(item) {
                lock(transcript).saved = Some(partial.last);
            }
        }
        if let (Some(version), Some(row)) = (version, &write.row) {
            owned.job = Job { version, row: row.clone() };
            drop(jobs);
            store::record_row(&self.shared, id, version, row.clone());
        }
    }

    /// Separates what the store refuses for its content from what it may take.
    fn record_rejection(&self, id: &str, write: &Write) {
        self.mark_failures_unstored(id, write);
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        owned.results.record_refusal(&write.results);
        for (item, partial) in &write.partials {
            // Not stored again before the text has grown.
            if let Some(transcript) = owned.transcripts.get(item) {
                lock(transcript).saved = Some(partial.last);
            }
        }
    }

    fn mark_failures_unstored(&self, id: &str, write: &Write) {
        if write.failures.is_some()
            && let Some(owned) = self.jobs().get_mut(id)
        {
            owned.failures_changed = true;
        }
    }

    /// Reads the row and the results of a job again after a commit whose outcome is unknown.
    async fn resync(&self, id: &str) -> Result<(), Error> {
        let found = store::read(&self.shared, id).await?;
        let Some(job) = found else {
            self.release(id, "its row was deleted");
            return Ok(());
        };
        let is_own = job.row.is_owned_by(&self.shared.as_owner());
        if !is_own || job.row.state != row::State::Open {
            self.release(id, "its row has changed");
            return Ok(());
        }
        let outcomes = store::all_result_rows(&self.shared, id).await?;
        let mut jobs = self.jobs();
        if let Some(owned) = jobs.get_mut(id) {
            owned.job = job;
            owned.failures_changed = has_failures(owned);
            owned.reconcile(&outcomes);
        }
        Ok(())
    }
}

fn failures_row(progress: &Progress, items: usize) -> row::Failures {
    let counts = (0..items).map(|item| (item, progress.failures(item)));
    row::Failures { counts: counts.filter(|(_, count)| *count > 0).collect() }
}

fn has_failures(owned: &Owned) -> bool {
    (0..owned.items.len()).any(|item| owned.results.progress().failures(item) > 0)
}
