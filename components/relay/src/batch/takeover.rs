//! Takes over jobs whose owner has failed or has handed them over.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::{
    relay::owner::{Instance, should_take_over},
    time::Time,
};
use cyclamengrade_platform::Error;
use cyclamengrade_telemetry::event;
use tokio::{sync::Semaphore, time::sleep};

use crate::{
    batch::Dispatcher,
    job::{row, store},
    shared::{Job, Phase, lock},
};

/// Time between two checks for jobs without a live owner.
const CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time after which a job is taken over again whose rows or items cannot be read. They will hardly be better.
const UNREADABLE_RETRY_DELAY: Duration = Duration::from_secs(2);
/// Largest number of concurrent takeovers. Each makes several calls to the store.
const MAX_CONCURRENT_TAKEOVERS: usize = 4;

impl Dispatcher {
    /// Takes over jobs without a live owner until the relay stops.
    pub async fn watch_owners(self: Arc<Self>) {
        let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_TAKEOVERS));
        let postponed: Arc<Mutex<BTreeMap<String, Time>>> = Arc::default();
        loop {
            sleep(CHECK_PERIOD).await;
            if *self.shared.phase.borrow() != Phase::Running {
                return;
            }
            if !self.shared.readiness.borrow().is_ready() {
                continue;
            }
            let now = self.shared.clock.now();
            lock(&postponed).retain(|_, until| *until > now);
            for (id, job) in self.orphaned_jobs() {
                if lock(&postponed).contains_key(&id) {
                    continue;
                }
                let Some(loading) = self.begin_loading(&id) else { continue };
                let Ok(permit) = permits.clone().acquire_owned().await else { return };
                let (dispatcher, postponed) = (self.clone(), postponed.clone());
                tokio::spawn(async move {
                    if let Err(error) = dispatcher.take_over(&id, job).await {
                        event!(JobCallFailed, job:% = id, error:% = error);
                        if matches!(error, Error::Protocol(_) | Error::Rejected(_)) {
                            let until = dispatcher.shared.clock.now() + UNREADABLE_RETRY_DELAY;
                            lock(&postponed).insert(id, until);
                        }
                    }
                    drop((loading, permit));
                });
            }
        }
    }

    /// Returns the jobs without a live owner that this relay is to take over.
    fn orphaned_jobs(&self) -> Vec<(String, Job)> {
        let shared = &self.shared;
        let peers = shared.peers();
        let jobs = shared.jobs();
        let fleet_version = shared.fleet_version();
        let open = jobs
            .iter()
            .filter(|(_, job)| job.row.state == row::State::Open && job.version <= fleet_version);
        open.filter(|(id, job)| {
            let owner = job.row.owner.as_ref();
            let owner =
                owner.map(|owner| Instance { name: &owner.name, incarnation: owner.incarnation });
            !self.owns(id) && should_take_over(shared.as_instance(), owner, id, &peers)
        })
        .map(|(id, job)| (id.clone(), job.clone()))
        .collect()
    }

    async fn take_over(self: &Arc<Self>, id: &str, job: Job) -> Result<(), Error> {
        let owner = self.shared.as_owner();
        let previous = job.row.owner.clone();
        let taken =
            store::update(&self.shared, id, job, |row| row.taken_over(previous.as_ref(), &owner))
                .await?;
        let Some(job) = taken else { return Ok(()) };
        self.resume(id, job, previous).await
    }

    /// Reads the items and stored progress of a job, asks its former owner for what is not stored, and
    /// starts to run it.
    async fn resume(
        self: &Arc<Self>,
        id: &str,
        job: Job,
        former: Option<row::Owner>,
    ) -> Result<(), Error> {
        let items = store::input(&self.shared, id).await?;
        let outcomes = store::all_result_rows(&self.shared, id).await?;
        let failures = store::failures(&self.shared, id).await?;
        let partials = store::partials(&self.shared, id).await?;
        let mut owned = self.prepare(job.clone(), Arc::new(items), &outcomes, &failures);
        owned.restore(partials);
        // Last, because the former owner keeps nothing of what it passes on.
        if let Some(former) = former {
            self.adopt_work(id, &job, &former, &mut owned).await;
        }
        self.start_job(id, owned);
        self.commit(id);
        Ok(())
    }
}
