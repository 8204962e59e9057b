//! Hands the jobs of a relay that stops to the others.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::job::RunFailure;
use cyclamengrade_platform::Error;
use cyclamengrade_telemetry::event;
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{batch::Dispatcher, job::store};

/// Time between two looks whether the results of a job are stored.
const PERIOD: Duration = Duration::from_millis(20);
/// Pause before a handover that failed is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// Hands all jobs back. While the store is away, the jobs stay here and their items go on: what
    /// they have produced would be lost without it.
    pub async fn hand_over(self: &Arc<Self>) {
        let ids: Vec<String> = self.jobs().keys().cloned().collect();
        join_all(ids.iter().map(|id| self.hand_job_over(id))).await;
    }

    async fn hand_job_over(self: &Arc<Self>, id: &str) {
        loop {
            self.list_all(id).await;
            // Only what is stored goes on elsewhere, so the runs end before their texts are stored.
            self.hold(id, true);
            self.list_all(id).await;
            match self.try_hand_over(id).await {
                Ok(()) => return,
                Err(error) => {
                    event!(ResultsWaiting, job:% = id, error:% = error);
                    self.hold(id, false);
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Waits until every result of a job that is ready is stored.
    async fn list_all(self: &Arc<Self>, id: &str) {
        while self.jobs().get(id).is_some_and(|owned| !owned.is_stored()) {
            self.commit(id);
            sleep(PERIOD).await;
        }
    }

    /// Stops the runs of a job, or lets its items run again.
    fn hold(&self, id: &str, is_held: bool) {
        if let Some(owned) = self.jobs().get_mut(id) {
            owned.is_held = is_held;
            if is_held {
                let items: Vec<usize> = owned.runs.keys().copied().collect();
                owned.stop();
                for item in items {
                    owned.ledger.record_failure(item, RunFailure::Interrupted);
                }
            }
        }
    }

    async fn try_hand_over(&self, id: &str) -> Result<(), Error> {
        self.save_all(id).await?;
        let Some(listed) = self.jobs().get(id).map(|owned| owned.listed.clone()) else {
            return Ok(());
        };
        let own = self.shared.as_owner();
        store::update(&self.shared, id, listed, |job| job.handed_over(&own)).await?;
        self.release(id, "this relay stops");
        Ok(())
    }
}
