//! Deletes jobs from the store after their keep time, when callers may no longer read their
//! results.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::owner::should_take_over;
use cyclamengrade_platform::{Error, table::Transaction};
use cyclamengrade_telemetry::event;
use tokio::time::sleep;

use crate::{
    job::{key, row, store},
    shared::{Phase, Shared},
};

/// Time between two cleanups. Few jobs expire in this time, and nothing waits for their deletion.
const CLEANUP_PERIOD: Duration = Duration::from_secs(5);
/// Largest number of rows that one transaction deletes; the store limits a transaction to 100
/// entries.
const MAX_ROWS_PER_DELETE: usize = 90;

/// Deletes expired jobs until the relay stops. A job is kept for `keep` after the end of its
/// retention period.
pub async fn run(shared: Arc<Shared>, keep: Duration) {
    loop {
        sleep(CLEANUP_PERIOD).await;
        if *shared.phase.borrow() != Phase::Running {
            return;
        }
        for (id, version) in expired_jobs(&shared, keep) {
            match delete(&shared, &id, version).await {
                Ok(()) => event!(JobDeleted, job:% = id),
                // The next cleanup deletes the rest.
                Err(error) => event!(JobCallFailed, job:% = id, error:% = error),
            }
        }
    }
}

/// Returns the ids of the jobs that this relay is to delete, and the versions of their rows. The
/// relay that would take over a job without an owner also deletes it.
fn expired_jobs(shared: &Shared, keep: Duration) -> Vec<(String, u64)> {
    let Some(now_ms) = shared.clock.store_ms() else { return Vec::new() };
    let peers = shared.peers();
    let jobs = shared.jobs();
    let expired = jobs.iter().filter(|(_, job)| {
        job.row.state != row::State::Open
            && now_ms >= job.row.expires_ms.saturating_add(keep.as_millis() as u64)
    });
    let own = expired.filter(|(id, _)| should_take_over(shared.as_instance(), None, id, &peers));
    own.map(|(id, job)| (id.clone(), job.version)).collect()
}

/// Deletes a job. Its row is deleted last, so that an interrupted deletion is repeated.
async fn delete(shared: &Shared, id: &str, version: u64) -> Result<(), Error> {
    let results = store::all_result_rows(shared, id).await?;
    for object in results.into_iter().flatten().filter_map(|result| result.object) {
        shared.objects.delete(object).await?;
    }
    shared.objects.delete(key::input(id)).await?;
    for prefix in [key::results(id), key::partials(id)] {
        delete_rows(shared, prefix).await?;
    }
    let rows = Transaction::new()
        .with_condition(key::job(id), version)
        .with_delete(key::failures(id))
        .with_delete(key::job(id));
    shared.table.commit(rows).await?;
    shared.record_store_contact();
    Ok(())
}

async fn delete_rows(shared: &Shared, prefix: String) -> Result<(), Error> {
    loop {
        let rows = shared.table.scan(prefix.clone(), prefix.clone(), MAX_ROWS_PER_DELETE).await?;
        if rows.is_empty() {
            return Ok(());
        }
        let deletes = rows.into_iter().map(|row| row.key);
        let delete = deletes.fold(Transaction::new(), Transaction::with_delete);
        shared.table.commit(delete).await?;
        shared.record_store_contact();
    }
}
