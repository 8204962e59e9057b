//! Starts items on slots that nothing else needs and stops them when online requests come.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cyclamengrade_control::relay::{
    job::RunFailure,
    priority::{Estimate, Priority},
    route::Route,
    selector::Key,
};
use cyclamengrade_telemetry::{event, metrics::RELAY_ITEMS};
use metrics::counter;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    batch::{
        item::{self, End},
        owned::{Owned, Run},
    },
    dialect::Item,
    job::row,
    shared::{Flight, Job, Phase, Shared, lock},
};

/// Longest time between two looks for spare slots.
const PERIOD: Duration = Duration::from_millis(100);
/// Shortest time between two looks, so that a burst of changes costs one.
const SHORTEST_PERIOD: Duration = Duration::from_millis(5);
/// Pause of an item whose run ended for a reason outside of the item.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Time between two saves of unfinished texts. A run takes several seconds, and a save costs a small
/// part of what running it again does.
const SAVE_PERIOD: Duration = Duration::from_secs(2);
/// Events by which a text must have grown to be saved: about a second of a run.
pub(super) const SAVE_EVENTS: u64 = 30;
/// Pause of an item that failed at its upstream.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);

/// Runs the items of the jobs that this relay owns.
pub struct Dispatcher {
    pub(super) shared: Arc<Shared>,
    jobs: Mutex<BTreeMap<String, Owned>>,
    loading: Mutex<BTreeSet<String>>,
    pace: Mutex<Estimate>,
}

/// The right to begin a job; nothing else in this process begins it meanwhile.
pub struct Loading {
    dispatcher: Arc<Dispatcher>,
    id: String,
}

impl Drop for Loading {
    fn drop(&mut self) {
        lock(&self.dispatcher.loading).remove(&self.id);
    }
}

impl Dispatcher {
    /// A dispatcher without jobs.
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        let (jobs, loading, pace) = (Mutex::default(), Mutex::default(), Mutex::default());
        Arc::new(Self { shared, jobs, loading, pace })
    }

    /// Begins to load a job; `None` when that is under way or done.
    pub fn begin_loading(self: &Arc<Self>, id: &str) -> Option<Loading> {
        let is_new = !self.owns(id) && lock(&self.loading).insert(id.to_owned());
        is_new.then(|| Loading { dispatcher: self.clone(), id: id.to_owned() })
    }

    pub(super) fn jobs(&self) -> MutexGuard<'_, BTreeMap<String, Owned>> {
        lock(&self.jobs)
    }

    /// Whether this relay runs a job.
    pub fn owns(&self, id: &str) -> bool {
        self.jobs().contains_key(id)
    }

    /// The items of a job that this relay runs.
    pub fn items(&self, id: &str) -> Option<Arc<Vec<Item>>> {
        self.jobs().get(id).map(|owned| owned.items.clone())
    }

    /// A job that this relay owns by its row, with what earlier owners stored.
    pub fn prepare(
        &self,
        listed: Job,
        items: Arc<Vec<Item>>,
        outcomes: &[row::Outcome],
        failures: &BTreeMap<usize, u32>,
    ) -> Owned {
        let attempts = self.route(&listed.row).map_or(1, |route| route.max_attempts);
        Owned::new(listed, items, attempts, outcomes, failures)
    }

    /// Begins to run a job.
    pub fn start_job(self: &Arc<Self>, id: &str, owned: Owned) {
        event!(
            JobOwned,
            job:% = id,
            owner:% = self.shared.name,
            listed = owned.ledger.committed(),
            items = owned.items.len()
        );
        let is_done = owned.ledger.progress().is_done();
        self.jobs().insert(id.to_owned(), owned);
        if is_done {
            self.commit(id);
        }
        self.shared.batch_changed.notify_one();
    }

    /// Stops the runs of a job and forgets it.
    pub fn release(&self, id: &str, reason: &str) {
        if let Some(mut owned) = self.jobs().remove(id) {
            owned.stop();
            event!(JobReleased, job:% = id, reason:% = reason);
        }
    }

    pub(super) fn route(&self, job: &row::Job) -> Option<Arc<Route>> {
        self.shared.routes.load().find(&job.host, &job.path).cloned()
    }

    /// Runs until the relay stops.
    pub async fn run(self: Arc<Self>) {
        let mut saved = Instant::now();
        loop {
            // Either a change or the period; both lead to the same look.
            let _ = timeout(PERIOD, self.shared.batch_changed.notified()).await;
            let phase = *self.shared.phase.borrow();
            if phase >= Phase::Draining && self.jobs().is_empty() {
                return;
            }
            self.drop_ended();
            self.yield_slots();
            self.expire();
            // Jobs that cannot be handed over go on here.
            let left = self.start_items();
            self.tell_waiting(left);
            if phase == Phase::Running && saved.elapsed() >= SAVE_PERIOD {
                saved = Instant::now();
                self.save();
            }
            sleep(SHORTEST_PERIOD).await;
        }
    }

    /// Stops jobs that were ended or taken over, as the feed says.
    fn drop_ended(&self) {
        let own = self.shared.as_owner();
        let ids: Vec<String> = self.jobs().keys().cloned().collect();
        for id in ids {
            let known = self.shared.jobs().get(&id).cloned();
            let Some(known) = known else { continue };
            let newer =
                self.jobs().get(&id).is_some_and(|owned| known.version > owned.listed.version);
            if newer && known.row.state == row::State::Ended {
                self.release(&id, "its caller ended it");
            } else if newer && !known.row.is_owned_by(&own) {
                self.release(&id, "another relay owns it");
            }
        }
    }

    /// Gives up slots that online requests need.
    fn yield_slots(&self) {
        let surplus = self.shared.selector().preemptions(self.shared.clock.now());
        for (upstream, count) in surplus {
            for _ in 0..count {
                self.stop_latest(upstream);
            }
        }
    }

    /// Stops the least urgent run at an upstream.
    fn stop_latest(&self, upstream: Key) {
        let clock = self.urgency_clock();
        let mut jobs = self.jobs();
        let latest = jobs
            .iter()
            .flat_map(|(id, owned)| {
                let runs = owned.runs.iter().filter(|(_, run)| run.upstream == upstream);
                runs.map(move |(item, _)| (urgency(clock, owned, *item), id.clone(), *item))
            })
            .max();
        let Some((_, id, item)) = latest else { return };
        let Some(owned) = jobs.get_mut(&id) else { return };
        let Some(run) = owned.runs.remove(&item) else { return };
        run.abort.abort();
        owned.ledger.record_failure(item, RunFailure::Interrupted);
        let after = owned.transcripts.get(&item).and_then(|text| lock(text).last).unwrap_or(0);
        counter!(RELAY_ITEMS, "outcome" => "paused").increment(1);
        event!(
            ItemStopped,
            job:% = id,
            item:% = owned.items[item].id,
            cause = "online requests need its slot",
            after = after
        );
    }

    /// Gives up the items of jobs that are past their retention.
    fn expire(self: &Arc<Self>) {
        let Some(now) = self.shared.clock.store_ms() else { return };
        let mut expired = Vec::new();
        for (id, owned) in self.jobs().iter_mut() {
            if now < owned.listed.row.expires_ms || !owned.is_open() {
                continue;
            }
            if owned.ledger.abandon_waiting() > 0 {
                expired.push(id.clone());
            }
        }
        for id in expired {
            self.commit(&id);
        }
    }

    /// Starts waiting items in order of their urgency; returns how many are left.
    fn start_items(self: &Arc<Self>) -> usize {
        let mut full = BTreeSet::new();
        let mut left = 0;
        for (_, id, item) in self.waiting() {
            match self.place(&id, &mut full) {
                Some(flight) => self.start(&id, item, flight),
                None => left += 1,
            }
        }
        left
    }

    /// Items that wait for a slot, the most urgent first.
    fn waiting(&self) -> Vec<(Priority, String, usize)> {
        let now = self.shared.clock.now();
        let clock = self.urgency_clock();
        let jobs = self.jobs();
        let open = jobs.iter().filter(|(_, owned)| owned.is_open() && !owned.is_held);
        let mut waiting: Vec<_> = open
            .flat_map(|(id, owned)| {
                let items =
                    owned.ledger.progress().waiting().filter(move |item| {
                        owned.not_before.get(item).is_none_or(|time| *time <= now)
                    });
                items.map(move |item| (urgency(clock, owned, item), id.clone(), item))
            })
            .collect();
        waiting.sort_unstable();
        waiting
    }

    /// The store's clock in milliseconds, and what items take: what urgencies depend on.
    fn urgency_clock(&self) -> (u64, Estimate) {
        (self.shared.clock.store_ms().unwrap_or(0), *lock(&self.pace))
    }

    /// Stores the texts of items that have grown, so that the next owner of a job goes on there.
    fn save(self: &Arc<Self>) {
        let most_bytes = self.shared.row_bytes / 2;
        let mut grown = Vec::new();
        for (id, owned) in self.jobs().iter_mut() {
            if owned.is_open() && !owned.unsaved(SAVE_EVENTS, most_bytes).is_empty() {
                owned.save = true;
                grown.push(id.clone());
            }
        }
        for id in grown {
            self.commit(&id);
        }
    }

    /// Tells the other relays whether items wait here.
    fn tell_waiting(&self, count: usize) {
        if self.shared.selector().set_waiting(u32::try_from(count).unwrap_or(u32::MAX)) {
            self.shared.occupancy_changed.notify_one();
        }
    }

    /// A slot for an item of a job. Deployments without one are added to `full`, so that a look
    /// asks once for each.
    fn place(&self, id: &str, full: &mut BTreeSet<String>) -> Option<Flight> {
        let route = self.route(&self.jobs().get(id)?.listed.row)?;
        let deployment = route.deployment(rand::random())?;
        if full.contains(deployment) {
            return None;
        }
        let flight = self.shared.acquire_batch(deployment);
        if flight.is_none() {
            full.insert(deployment.to_owned());
        }
        flight
    }

    fn start(self: &Arc<Self>, id: &str, item: usize, flight: Flight) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        let host = &owned.listed.row.host;
        let Some(outgoing) = item::outgoing(&self.shared, host, &owned.items[item]) else {
            // Nothing can be sent that an upstream would accept as this item.
            drop(jobs);
            self.fail(id, item, RunFailure::Failed, FAILURE_PAUSE);
            return;
        };
        owned.ledger.start(item);
        let transcript = owned.transcripts.entry(item).or_default().clone();
        let (upstream, name) = (flight.key, flight.upstream.id.clone());
        event!(
            ItemStarted,
            job:% = id,
            item:% = outgoing.id,
            upstream:% = flight.upstream.id,
            after = lock(&transcript).last.unwrap_or(0)
        );
        let (dispatcher, id) = (self.clone(), id.to_owned());
        let task = tokio::spawn(async move {
            let end = item::run(dispatcher.shared.clone(), outgoing, flight, transcript).await;
            dispatcher.finish(&id, item, end);
        });
        let (started, events) = (self.shared.clock.now(), owned.events(item));
        owned
            .runs
            .insert(item, Run { upstream, name, abort: task.abort_handle(), started, events });
    }

    /// Takes over the end of a run, unless the run was stopped meanwhile.
    fn finish(self: &Arc<Self>, id: &str, item: usize, end: End) {
        let now = self.shared.clock.now();
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        let Some(run) = owned.runs.remove(&item) else { return };
        let events = owned.events(item);
        lock(&self.pace).record_run(events.saturating_sub(run.events), now.since(run.started));
        match end {
            End::Completed => {
                counter!(RELAY_ITEMS, "outcome" => "completed").increment(1);
                lock(&self.pace).record_completed(events);
                event!(
                    ItemCompleted,
                    job:% = id,
                    item:% = owned.items[item].id,
                    upstream:% = run.name,
                    events = events,
                    elapsed_ms = now.since(run.started).as_millis() as u64
                );
                let transcript = owned.transcripts.remove(&item).unwrap_or_default();
                owned.ledger.complete(item, std::mem::take(&mut lock(&transcript).text));
                drop(jobs);
                self.commit(id);
            }
            End::Fault(fault) => {
                counter!(RELAY_ITEMS, "outcome" => "failed").increment(1);
                drop(jobs);
                self.fail(id, item, fault, FAILURE_PAUSE);
            }
            End::Interrupted(_) => {
                counter!(RELAY_ITEMS, "outcome" => "interrupted").increment(1);
                drop(jobs);
                self.fail(id, item, RunFailure::Interrupted, RETRY_PAUSE);
            }
        }
        self.shared.batch_changed.notify_one();
    }

    /// Records a run without a whole text and pauses the item.
    fn fail(self: &Arc<Self>, id: &str, item: usize, fault: RunFailure, pause: Duration) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        owned.not_before.insert(item, self.shared.clock.now() + pause);
        owned.failures_changed |= fault == RunFailure::Failed;
        let is_given_up = owned.ledger.record_failure(item, fault);
        if is_given_up {
            counter!(RELAY_ITEMS, "outcome" => "abandoned").increment(1);
            event!(
                ItemAbandoned,
                job:% = id,
                item:% = owned.items[item].id,
                failures = owned.ledger.progress().failures(item),
                cause:? = fault
            );
            owned.transcripts.remove(&item);
        }
        drop(jobs);
        if is_given_up || fault == RunFailure::Failed {
            self.commit(id);
        }
    }
}

fn urgency((now_ms, pace): (u64, Estimate), owned: &Owned, item: usize) -> Priority {
    Priority::new(now_ms, owned.listed.row.due_ms, pace.remaining(owned.events(item)))
}
