//! Takes over jobs whose owner is gone.

use std::{sync::Arc, time::Duration};

use cyclamengrade_control::relay::owner::{Instance, should_take_over};
use cyclamengrade_platform::Error;
use cyclamengrade_telemetry::event;
use tokio::{sync::Semaphore, time::sleep};

use crate::{
    batch::Dispatcher,
    job::{row, store},
    shared::{Job, Phase},
};

/// Time between two looks for jobs without an owner.
const PERIOD: Duration = Duration::from_millis(200);
/// Jobs that are taken over at once, each with three calls to the store.
const PARALLEL: usize = 4;

impl Dispatcher {
    /// Looks for jobs without an owner until the relay stops.
    pub async fn watch_owners(self: Arc<Self>) {
        let permits = Arc::new(Semaphore::new(PARALLEL));
        loop {
            sleep(PERIOD).await;
            if *self.shared.phase.borrow() != Phase::Running {
                return;
            }
            if !self.shared.readiness.borrow().is_ready() {
                continue;
            }
            for (id, listed) in self.orphans() {
                let Some(loading) = self.begin_loading(&id) else { continue };
                let Ok(permit) = permits.clone().acquire_owned().await else { return };
                let dispatcher = self.clone();
                tokio::spawn(async move {
                    if let Err(error) = dispatcher.take_over(&id, listed).await {
                        event!(JobCallFailed, job:% = id, error:% = error);
                    }
                    drop((loading, permit));
                });
            }
        }
    }

    /// Jobs without an owner that this relay is to take over.
    fn orphans(&self) -> Vec<(String, Job)> {
        let shared = &self.shared;
        let peers = shared.peers();
        let jobs = shared.jobs();
        let seen = shared.fleet_version();
        let open = jobs
            .iter()
            .filter(|(_, listed)| listed.row.state == row::State::Open && listed.version <= seen);
        open.filter(|(id, listed)| {
            let owner = listed.row.owner.as_ref();
            let owner =
                owner.map(|owner| Instance { name: &owner.name, incarnation: owner.incarnation });
            !self.owns(id) && should_take_over(shared.as_instance(), owner, id, &peers)
        })
        .map(|(id, listed)| (id.clone(), listed.clone()))
        .collect()
    }

    async fn take_over(self: &Arc<Self>, id: &str, listed: Job) -> Result<(), Error> {
        let owner = self.shared.as_owner();
        let before = listed.row.owner.clone();
        let taken =
            store::update(&self.shared, id, listed, |job| job.taken_over(before.as_ref(), &owner))
                .await?;
        let Some(listed) = taken else { return Ok(()) };
        self.resume(id, listed).await
    }

    /// Reads what a job needs to go on and runs it.
    async fn resume(self: &Arc<Self>, id: &str, listed: Job) -> Result<(), Error> {
        let items = store::input(&self.shared, id).await?;
        let outcomes = store::all_result_rows(&self.shared, id).await?;
        let failures = store::failures(&self.shared, id).await?;
        let partials = store::partials(&self.shared, id).await?;
        let mut owned = self.prepare(listed, Arc::new(items), &outcomes, &failures);
        owned.restore(partials);
        self.start_job(id, owned);
        Ok(())
    }
}
