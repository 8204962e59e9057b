//! Deletes what the store has of jobs that nobody may ask for any more.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::owner::should_take_over;
use cyclamengrade_platform::{Error, table::Transaction};
use cyclamengrade_telemetry::event;
use tokio::time::sleep;

use crate::{
    job::{key, row, store},
    shared::{Phase, Shared},
};

/// Time between two looks for old jobs. Few jobs become old in this time, and nothing waits for it.
const PERIOD: Duration = Duration::from_secs(5);
/// Rows that one transaction deletes; the platform takes 100.
const LARGEST_DELETE: usize = 90;

/// Deletes old jobs until the relay stops. `keep` is the time for which a job stays after its items
/// may be abandoned.
pub async fn run(shared: Arc<Shared>, keep: Duration) {
    loop {
        sleep(PERIOD).await;
        if *shared.phase.borrow() != Phase::Running {
            return;
        }
        for (id, version) in old_jobs(&shared, keep) {
            match delete(&shared, &id, version).await {
                Ok(()) => event!(JobDeleted, job:% = id),
                // The next look finds the rest of it.
                Err(error) => event!(JobCallFailed, job:% = id, error:% = error),
            }
        }
    }
}

/// Jobs that this relay is to delete, and the versions of their rows.
fn old_jobs(shared: &Shared, keep: Duration) -> Vec<(String, u64)> {
    let Some(now_ms) = shared.clock.store_ms() else { return Vec::new() };
    let peers = shared.peers();
    let jobs = shared.jobs();
    let old = jobs.iter().filter(|(_, listed)| {
        listed.row.state != row::State::Open
            && now_ms >= listed.row.expires_ms + keep.as_millis() as u64
    });
    let mine = old.filter(|(id, _)| should_take_over(shared.as_instance(), None, id, &peers));
    mine.map(|(id, listed)| (id.clone(), listed.version)).collect()
}

/// Deletes a job. Its row goes last, so that a deletion that was broken off is taken up again.
async fn delete(shared: &Shared, id: &str, version: u64) -> Result<(), Error> {
    let results = store::all_result_rows(shared, id).await?;
    for object in results.into_iter().filter_map(|result| result.object) {
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
        let rows = shared.table.scan(prefix.clone(), prefix.clone(), LARGEST_DELETE).await?;
        if rows.is_empty() {
            return Ok(());
        }
        let deletes = rows.into_iter().map(|row| row.key);
        let delete = deletes.fold(Transaction::new(), Transaction::with_delete);
        shared.table.commit(delete).await?;
        shared.record_store_contact();
    }
}
