//! Hands the jobs of a relay that is shutting down over to the other relays.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::job::RunFailure;
use cyclamengrade_platform::Error;
use cyclamengrade_telemetry::event;
use futures_util::future::join_all;
use tokio::time::sleep;

use crate::{batch::Dispatcher, job::store};

/// Time between two checks whether the results of a job are stored.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// Delay before the retry of a failed handover.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Dispatcher {
    /// Hands all jobs over. During an outage of the store, the jobs stay here and their items
    /// continue, because the output of the runs cannot be stored and would be lost.
    pub async fn hand_over(self: &Arc<Self>) {
        let ids: Vec<String> = self.jobs().keys().cloned().collect();
        join_all(ids.iter().map(|id| self.hand_job_over(id))).await;
    }

    async fn hand_job_over(self: &Arc<Self>, id: &str) {
        loop {
            self.wait_until_stored(id).await;
            // The next owner resumes from the stored texts. The runs are therefore aborted before
            // the texts are stored.
            self.set_handing_over(id, true);
            self.wait_until_stored(id).await;
            match self.try_hand_over(id).await {
                Ok(()) => return,
                Err(error) => {
                    event!(ResultsWaiting, job:% = id, error:% = error);
                    self.set_handing_over(id, false);
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Waits until the result of every item that ended is stored.
    async fn wait_until_stored(self: &Arc<Self>, id: &str) {
        while self.jobs().get(id).is_some_and(|owned| !owned.is_stored()) {
            self.commit(id);
            sleep(POLL_PERIOD).await;
        }
    }

    /// Begins or cancels the handover of a job. At its beginning, all runs are aborted.
    fn set_handing_over(&self, id: &str, is_handing_over: bool) {
        if let Some(owned) = self.jobs().get_mut(id) {
            owned.is_handing_over = is_handing_over;
            if is_handing_over {
                let items: Vec<usize> = owned.runs.keys().copied().collect();
                owned.stop();
                for item in items {
                    owned.results.record_failure(item, RunFailure::Interrupted);
                }
            }
        }
    }

    async fn try_hand_over(&self, id: &str) -> Result<(), Error> {
        self.save_partials(id).await?;
        let Some(job) = self.jobs().get(id).map(|owned| owned.job.clone()) else {
            return Ok(());
        };
        let own = self.shared.as_owner();
        store::update(&self.shared, id, job, |row| row.handed_over(&own)).await?;
        self.release(id, "this relay is shutting down");
        Ok(())
    }
}
