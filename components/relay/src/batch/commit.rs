//! Stores the results of a job.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::{
    job::Progress,
    results::{Batch, Entry},
};
use cyclamengrade_platform::{
    Error,
    table::{Commit, Transaction},
};
use cyclamengrade_telemetry::{event, metrics::RELAY_RESULTS};
use metrics::counter;
use tokio::time::sleep;

use crate::{
    batch::{Dispatcher, dispatcher::SAVE_EVENTS, owned::Owned},
    job::{key, row, store},
    shared::{Job, lock},
};

/// Results of one transaction. A transaction takes 100 entries, and a result needs two of them.
const LARGEST_COMMIT: usize = 36;
/// Bytes of text in one transaction, below the limit of 1 MB with room for its encoding.
const LARGEST_COMMIT_BYTES: usize = 400 << 10;
/// First pause after a failed commit; doubled for each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed commit.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// What one transaction of a job stores.
struct Write {
    listed: Job,
    results: Batch,
    failures: Option<row::Failures>,
    partials: Vec<(usize, row::Partial)>,
}

/// How a transaction went.
enum Committed {
    /// It is stored; the new version of the job's row if it was written.
    Stored(Option<u64>),
    /// The store has something else than expected, or may have this.
    Uncertain,
    /// Nothing was stored.
    Failed(Error),
}

impl Dispatcher {
    /// Stores what a job has pending, in the background.
    pub(super) fn commit(self: &Arc<Self>, id: &str) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        if owned.committing {
            return;
        }
        owned.committing = true;
        drop(jobs);
        let (dispatcher, id) = (self.clone(), id.to_owned());
        tokio::spawn(async move { dispatcher.commit_all(&id).await });
    }

    async fn commit_all(&self, id: &str) {
        let mut pause = FIRST_PAUSE;
        while let Some(write) = self.next_write(id) {
            let Batch { from, is_last, .. } = write.results;
            let count = write.results.entries.len();
            match self.store(id, &write).await {
                Committed::Stored(version) => {
                    pause = FIRST_PAUSE;
                    self.stored(id, &write, version);
                    counter!(RELAY_RESULTS).increment(count as u64);
                    if count > 0 {
                        event!(
                            ResultsListed,
                            job:% = id,
                            from = from,
                            count = count,
                            listed = from + count,
                            items = write.listed.row.items
                        );
                    }
                    if is_last {
                        self.release(id, "every item is listed");
                        return;
                    }
                }
                Committed::Uncertain => {
                    if let Err(error) = self.resync(id).await {
                        event!(ResultsWaiting, job:% = id, error:% = error);
                        sleep(pause).await;
                        pause = (pause * 2).min(LONGEST_PAUSE);
                    }
                }
                Committed::Failed(error) => {
                    event!(ResultsWaiting, job:% = id, error:% = error);
                    sleep(pause).await;
                    pause = (pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    /// What to store next; clears the mark of the running commit when there is nothing.
    fn next_write(&self, id: &str) -> Option<Write> {
        let mut jobs = self.jobs();
        let owned = jobs.get_mut(id)?;
        let results = owned.ledger.next_batch(LARGEST_COMMIT, LARGEST_COMMIT_BYTES);
        let bytes: usize = results.entries.iter().map(|entry| entry.text.len()).sum();
        let progress = owned.ledger.progress();
        let failures = owned.failures_changed.then(|| failures(progress, owned.items.len()));
        let partials = match std::mem::take(&mut owned.save) {
            true => self.partials(owned, SAVE_EVENTS, LARGEST_COMMIT_BYTES.saturating_sub(bytes)),
            false => Vec::new(),
        };
        let is_end = results.is_last && owned.is_open();
        let is_empty = results.entries.is_empty() && failures.is_none() && partials.is_empty();
        if is_empty && !is_end {
            owned.committing = false;
            return None;
        }
        owned.failures_changed = false;
        Some(Write { listed: owned.listed.clone(), results, failures, partials })
    }

    /// Texts of unfinished items for one transaction.
    fn partials(
        &self,
        owned: &Owned,
        events: u64,
        most_bytes: usize,
    ) -> Vec<(usize, row::Partial)> {
        let mut bytes = 0;
        let unsaved = owned.unsaved(events, self.shared.row_bytes / 2).into_iter();
        let fitting = unsaved.take_while(|(_, partial)| {
            bytes += partial.text.len();
            bytes <= most_bytes
        });
        fitting.take(LARGEST_COMMIT / 2).collect()
    }

    /// Stores the texts of all unfinished items of a job before it is handed back. Without them, the
    /// next owner runs more of the items again.
    pub(super) async fn save_all(&self, id: &str) -> Result<(), Error> {
        let write = {
            let jobs = self.jobs();
            let Some(owned) = jobs.get(id) else { return Ok(()) };
            let partials = self.partials(owned, 1, LARGEST_COMMIT_BYTES);
            let results =
                Batch { from: owned.ledger.committed(), entries: Vec::new(), is_last: false };
            Write { listed: owned.listed.clone(), results, failures: None, partials }
        };
        if !write.partials.is_empty() {
            // A conflict means that the job is no longer this relay's.
            self.try_store(id, &write).await?;
        }
        Ok(())
    }

    async fn store(&self, id: &str, write: &Write) -> Committed {
        match self.try_store(id, write).await {
            Ok(Commit::Done { versions }) => {
                Committed::Stored(versions.first().copied().filter(|_| write.results.is_last))
            }
            Ok(Commit::Conflict { .. }) => Committed::Uncertain,
            Err(error) if error.may_have_taken_effect() => Committed::Uncertain,
            Err(error) => {
                self.mark_failures(id, write);
                Committed::Failed(error)
            }
        }
    }

    async fn try_store(&self, id: &str, write: &Write) -> Result<Commit, Error> {
        let mut transaction = Transaction::new().with_condition(key::job(id), write.listed.version);
        if write.results.is_last {
            let row = write.listed.row.done();
            transaction = transaction.with_write(key::job(id), store::encode(&row)?);
        }
        for (offset, pending) in write.results.entries.iter().enumerate() {
            let key = key::result(id, write.results.from + offset);
            let outcome = self.outcome(id, pending).await?;
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

    /// The row of a result. A text that does not fit into a row becomes an object first.
    async fn outcome(&self, id: &str, pending: &Entry) -> Result<row::Outcome, Error> {
        let item = {
            let jobs = self.jobs();
            jobs.get(id).and_then(|owned| owned.items.get(pending.item)).map(|item| item.id.clone())
        };
        let item = item.ok_or_else(|| Error::Unreachable(format!("job {id} was released")))?;
        let state = pending.state.into();
        // JSON escapes at most double the usual text; larger ones go to an object.
        if pending.text.len() <= self.shared.row_bytes / 2 {
            let text = Some(pending.text.clone());
            return Ok(row::Outcome { item, state, text, object: None });
        }
        let object = key::text(id, pending.item);
        let text = pending.text.clone().into();
        // An object that exists holds the text of the same item, stored by an earlier commit.
        let put = self.shared.objects.put_new(object.clone(), text).await;
        match put {
            Ok(_) => Ok(row::Outcome { item, state, text: None, object: Some(object) }),
            Err(error) => Err(Error::Unreachable(error.to_string())),
        }
    }

    fn stored(&self, id: &str, write: &Write, version: Option<u64>) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        owned.ledger.record_commit(&write.results);
        for (item, partial) in &write.partials {
            if let Some(transcript) = owned.transcripts.get(item) {
                lock(transcript).saved = Some(partial.last);
            }
        }
        drop(jobs);
        if let Some(version) = version {
            store::record_row(&self.shared, id, version, write.listed.row.done());
        }
    }

    fn mark_failures(&self, id: &str, write: &Write) {
        if write.failures.is_some()
            && let Some(owned) = self.jobs().get_mut(id)
        {
            owned.failures_changed = true;
        }
    }

    /// Reads what the store has of a job after a commit whose outcome is not known.
    async fn resync(&self, id: &str) -> Result<(), Error> {
        let found = store::read(&self.shared, id).await?;
        let Some(listed) = found else {
            self.release(id, "its row is gone");
            return Ok(());
        };
        let is_mine = listed.row.is_owned_by(&self.shared.as_owner());
        if !is_mine || listed.row.state != row::State::Open {
            self.release(id, "its row has changed");
            return Ok(());
        }
        let outcomes = store::all_result_rows(&self.shared, id).await?;
        let mut jobs = self.jobs();
        if let Some(owned) = jobs.get_mut(id) {
            owned.listed = listed;
            owned.failures_changed = has_failures(owned);
            owned.reconcile(&outcomes);
        }
        Ok(())
    }
}

fn failures(progress: &Progress, items: usize) -> row::Failures {
    let counts = (0..items).map(|item| (item, progress.failures(item)));
    row::Failures { counts: counts.filter(|(_, count)| *count > 0).collect() }
}

fn has_failures(owned: &Owned) -> bool {
    (0..owned.items.len()).any(|item| owned.ledger.progress().failures(item) > 0)
}
