//! Takes over jobs whose owner is gone.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use cyclamengrade_control::hash;
use cyclamengrade_platform::Error;
use cyclamengrade_telemetry::event;
use tokio::{sync::Semaphore, time::sleep};

use crate::{
    batch::Dispatcher,
    job::{row, store},
    shared::{Listed, Phase, Shared},
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
            if !self.shared.known.borrow().is_ready() {
                continue;
            }
            for (id, listed) in self.orphans() {
                let Some(loading) = self.load(&id) else { continue };
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
    fn orphans(&self) -> Vec<(String, Listed)> {
        let shared = &self.shared;
        let alive = alive(shared);
        let jobs = shared.jobs();
        let open = jobs.iter().filter(|(_, listed)| listed.row.state == row::State::Open);
        open.filter(|(id, listed)| {
            let names = alive.keys().map(String::as_str).chain([shared.name.as_str()]);
            is_orphan(shared, &alive, listed.row.owner.as_ref())
                && !self.owns(id)
                && hash::owner(names, id) == Some(&shared.name)
        })
        .map(|(id, listed)| (id.clone(), listed.clone()))
        .collect()
    }

    async fn take_over(self: &Arc<Self>, id: &str, listed: Listed) -> Result<(), Error> {
        let owner = row::Owner {
            name: self.shared.name.clone(),
            incarnation: self.shared.incarnation,
        };
        let before = listed.row.owner.clone();
        let taken = store::update(&self.shared, id, listed, |job| {
            let same = job.state == row::State::Open && job.owner == before;
            same.then(|| row::Job { owner: Some(owner.clone()), ..job.clone() })
        })
        .await?;
        let Some(listed) = taken else { return Ok(()) };
        self.resume(id, listed).await
    }

    /// Reads what a job needs to go on and runs it.
    async fn resume(self: &Arc<Self>, id: &str, listed: Listed) -> Result<(), Error> {
        let items = store::input(&self.shared, id).await?;
        let outcomes = store::all_rows(&self.shared, id).await?;
        let failures = store::failures(&self.shared, id).await?;
        self.own(id, listed, Arc::new(items), &outcomes, &failures);
        Ok(())
    }
}

/// Incarnations of the other relays that can run jobs.
fn alive(shared: &Shared) -> BTreeMap<String, u64> {
    let now = shared.clock.now();
    let members = shared.members();
    let alive = members.iter().filter(|(_, member)| !member.owner(now).is_lost() && !member.leaving);
    alive.map(|(name, member)| (name.clone(), member.incarnation)).collect()
}

/// Whether nobody runs the jobs of this owner. A relay that is leaving hands its jobs back itself.
fn is_orphan(shared: &Shared, alive: &BTreeMap<String, u64>, owner: Option<&row::Owner>) -> bool {
    let Some(owner) = owner else { return true };
    if owner.name == shared.name {
        // Also a job that this start owns by its row but could not load.
        return true;
    }
    match alive.get(&owner.name) {
        Some(incarnation) => *incarnation != owner.incarnation,
        None => {
            let now = shared.clock.now();
            let members = shared.members();
            members.get(&owner.name).is_none_or(|member| member.owner(now).is_lost())
        }
    }
}
