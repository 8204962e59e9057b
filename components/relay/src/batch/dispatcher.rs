//! Runs batch items on slots that online requests leave free, and stops runs when online requests
//! need their slots.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use cyclamengrade_control::relay::{
    broker::{Ticket, Urgency},
    failure::Failure,
    job::RunFailure,
    origin::Software,
    priority::{Estimate, Priority},
    route::Route,
};
use cyclamengrade_telemetry::{event, metrics::RELAY_ITEMS};
use metrics::counter;
use tokio::time::{Instant, sleep, timeout};

use crate::{
    batch::{
        item::{self, End, Start},
        owned::{Owned, Run, Transcript},
    },
    charge,
    dialect::Item,
    job::{row, size},
    shared::{Job, Phase, Shared, lock},
    successor::Successor,
    task,
};

/// Longest time between two passes of the dispatcher.
const MAX_PASS_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between two passes, so that a burst of changes causes only one.
const MIN_PASS_INTERVAL: Duration = Duration::from_millis(5);
/// Delay before the retry of an item whose run was interrupted for a reason unrelated to the item.
const INTERRUPTED_RETRY_DELAY: Duration = Duration::from_millis(150);
/// Time for which an item waits for a slot of one shard of upstreams before it asks another one.
const SHARD_PATIENCE: Duration = Duration::from_millis(1_000);
/// Time between two saves of unfinished texts. A run takes several seconds, and a save costs far
/// less than repeating it.
const SAVE_PERIOD: Duration = Duration::from_secs(2);
/// Smallest number of new events for which an unfinished text is saved: about one second of a run.
pub(super) const MIN_UNSAVED_EVENTS: u64 = 30;
/// Time for which the items of a job wait for its route to come back. A route that is moved may be missing
/// from one version of the configuration.
const ROUTE_PATIENCE: Duration = Duration::from_secs(3);
/// The same for a job that does not state the configuration with its route: this relay may not have read
/// that one yet.
const UNDATED_ROUTE_PATIENCE: Duration = Duration::from_secs(10);
/// Longest time that one pass adds to the time without a route.
const MAX_UNROUTED_STEP: Duration = Duration::from_millis(500);
/// Delay before the retry of an item that failed at its upstream.
const FAILED_RETRY_DELAY: Duration = Duration::from_millis(300);

/// A request for the slot of an item that waits.
#[derive(Clone, Copy)]
struct Pending {
    ticket: Ticket,
    /// Software that the item's text needs.
    software: Option<Software>,
}

/// Runs the items of the jobs that this relay owns.
pub struct Dispatcher {
    pub(crate) shared: Arc<Shared>,
    /// Jobs that this relay owns, by id.
    jobs: Mutex<BTreeMap<String, Owned>>,
    /// Ids of the jobs that are being loaded.
    loading: Mutex<BTreeSet<String>>,
    /// Estimate of the time that items take.
    estimate: Mutex<Estimate>,
    /// Requests for the slots of waiting items, by job and item.
    wants: Mutex<BTreeMap<(String, usize), Pending>>,
}

/// Exclusive permission to load a job. No other task of this process loads the job until this value
/// is dropped.
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
    pub fn new(shared: Arc<Shared>) -> Arc<Self> {
        Arc::new(Self {
            shared,
            jobs: Mutex::default(),
            loading: Mutex::default(),
            estimate: Mutex::default(),
            wants: Mutex::default(),
        })
    }

    /// Begins to load a job. Returns `None` if the job is already being loaded or owned.
    pub fn begin_loading(self: &Arc<Self>, id: &str) -> Option<Loading> {
        let is_new = !self.owns(id) && lock(&self.loading).insert(id.to_owned());
        is_new.then(|| Loading { dispatcher: self.clone(), id: id.to_owned() })
    }

    pub(super) fn jobs(&self) -> MutexGuard<'_, BTreeMap<String, Owned>> {
        lock(&self.jobs)
    }

    /// Whether this relay runs the job.
    pub fn owns(&self, id: &str) -> bool {
        self.jobs().contains_key(id)
    }

    /// Returns the items of a job, or `None` if this relay does not run it.
    pub fn items(&self, id: &str) -> Option<Arc<Vec<Item>>> {
        self.jobs().get(id).map(|owned| owned.items.clone())
    }

    /// Creates the state of a job whose row names this relay as its owner, from the results and
    /// failures that earlier owners stored.
    pub fn prepare(
        &self,
        job: Job,
        items: Arc<Vec<Item>>,
        outcomes: &[Option<row::Outcome>],
        failures: &BTreeMap<usize, u32>,
    ) -> Owned {
        // Without a route nothing runs, and the passes set the limit once there is one.
        let max_failures = self.route(&job.row).map_or(u32::MAX, |route| route.max_attempts);
        Owned::new(job, items, max_failures, outcomes, failures)
    }

    /// Starts to run a job.
    pub fn start_job(self: &Arc<Self>, id: &str, owned: Owned) {
        event!(
            JobOwned,
            job:% = id,
            owner:% = self.shared.name,
            listed = owned.results.committed(),
            items = owned.items.len()
        );
        let is_done = owned.results.progress().is_done();
        self.jobs().insert(id.to_owned(), owned);
        if is_done {
            self.commit(id);
        }
        self.shared.batch_changed.notify_one();
    }

    /// Aborts the runs of a job and drops its state. `reason` is logged.
    pub fn release(&self, id: &str, reason: &str) {
        if let Some(mut owned) = self.jobs().remove(id) {
            owned.stop();
            event!(JobReleased, job:% = id, reason:% = reason);
        }
    }

    pub(super) fn route(&self, job: &row::Job) -> Option<Arc<Route>> {
        self.shared.routes.load().find_batch(&job.host, &job.path).cloned()
    }

    /// Runs the passes of the dispatcher until the relay stops.
    pub async fn run(self: Arc<Self>) {
        let mut saved = Instant::now();
        let mut passed = Instant::now();
        loop {
            // A pass runs after a change and when the interval is over.
            let _ = timeout(MAX_PASS_INTERVAL, self.shared.batch_changed.notified()).await;
            let phase = *self.shared.phase.borrow();
            if phase >= Phase::Draining && self.jobs().is_empty() {
                return;
            }
            self.release_lost();
            self.preempt();
            self.abandon_expired();
            // A process that was suspended may not have read the newest configuration yet.
            let step = passed.elapsed().min(MAX_UNROUTED_STEP);
            passed = Instant::now();
            self.abandon_unrouted(step);
            // While the relay drains, jobs that cannot be handed over continue here.
            self.start_items();
            if phase == Phase::Running && saved.elapsed() >= SAVE_PERIOD {
                saved = Instant::now();
                self.request_saves();
            }
            sleep(MIN_PASS_INTERVAL).await;
        }
    }

    /// Releases the jobs that were ended by their callers or taken over by other relays, according
    /// to the feed.
    fn release_lost(&self) {
        let own = self.shared.as_owner();
        let ids: Vec<String> = self.jobs().keys().cloned().collect();
        for id in ids {
            let known = self.shared.jobs().get(&id).cloned();
            let Some(known) = known else { continue };
            let is_newer =
                self.jobs().get(&id).is_some_and(|owned| known.version > owned.job.version);
            if is_newer && known.row.state == row::State::Ended {
                self.release(&id, "its caller ended it");
            } else if is_newer && !known.row.is_owned_by(&own) {
                self.release(&id, "another relay owns it");
            }
        }
    }

    /// Stops the runs whose slots online requests need.
    fn preempt(&self) {
        for ticket in self.shared.take_stopped() {
            self.stop_run(ticket);
        }
    }

    /// Stops the run that holds a slot.
    fn stop_run(&self, ticket: Ticket) {
        let mut jobs = self.jobs();
        let found = jobs.iter().find_map(|(id, owned)| {
            let run = owned.runs.iter().find(|(_, run)| run.ticket == ticket);
            run.map(|(item, _)| (id.clone(), *item))
        });
        let Some((id, item)) = found else {
            // The run may have begun while another one of its item is silent.
            self.shared.keep_stopped(ticket);
            return;
        };
        let Some(owned) = jobs.get_mut(&id) else { return };
        let Some(run) = owned.runs.remove(&item) else { return };
        run.abort.abort();
        owned.results.record_failure(item, RunFailure::Interrupted);
        let after = owned.transcripts.get(&item).and_then(|text| lock(text).last).unwrap_or(0);
        counter!(RELAY_ITEMS, "outcome" => "paused").increment(1);
        event!(
            ItemStopped,
            job:% = id,
            item:% = owned.items[item].id,
            cause = "preempted by online requests",
            after = after
        );
    }

    /// Abandons the waiting items of jobs whose retention period is over.
    fn abandon_expired(self: &Arc<Self>) {
        let Some(now) = self.shared.clock.store_ms() else { return };
        let mut expired = Vec::new();
        for (id, owned) in self.jobs().iter_mut() {
            if now < owned.job.row.expires_ms || !owned.is_open() {
                continue;
            }
            if abandon_waiting(id, owned, "its retention period is over") {
                expired.push(id.clone());
            }
        }
        for id in expired {
            self.commit(&id);
        }
    }

    /// Abandons the waiting items of jobs whose route was removed and has not come back. Runs go on. A
    /// configuration that is older than the job says nothing about its route. `step` is the time since the
    /// last call.
    fn abandon_unrouted(self: &Arc<Self>, step: Duration) {
        let routes = self.shared.routes.load();
        let mut ended = Vec::new();
        for (id, owned) in self.jobs().iter_mut().filter(|(_, owned)| owned.is_open()) {
            let row = &owned.job.row;
            if let Some(route) = routes.find_batch(&row.host, &row.path) {
                owned.unrouted = Duration::ZERO;
                owned.results.set_max_failures(route.max_attempts);
                continue;
            }
            if routes.is_empty() || routes.version < row.configuration {
                continue;
            }
            let patience = match row.configuration {
                0 => UNDATED_ROUTE_PATIENCE,
                _ => ROUTE_PATIENCE,
            };
            owned.unrouted += step;
            if owned.unrouted >= patience && abandon_waiting(id, owned, "its route was removed") {
                ended.push(id.clone());
            }
        }
        for id in ended {
            self.commit(&id);
        }
    }

    /// Requests slots for the waiting items, and starts those whose slots were granted.
    fn start_items(self: &Arc<Self>) {
        let waiting = self.waiting_items();
        let mut former = std::mem::take(&mut *lock(&self.wants));
        for (priority, id, item) in waiting {
            let urgency = priority.into();
            let key = (id, item);
            let pending = former.remove(&key);
            let ticket = pending.map(|pending| pending.ticket);
            let software = self.check_text(&key.0, item);
            if let Some(upstream) = ticket.and_then(|ticket| self.shared.take_granted(ticket)) {
                let flight =
                    ticket.and_then(|ticket| self.shared.acquire_batch(ticket, upstream, software));
                if let Some(flight) = flight.filter(|flight| flight.suits(software)) {
                    self.start_item(&key.0, item, Start::New(Box::new(flight)));
                    continue;
                }
            }
            let current = pending.filter(|pending| pending.software == software);
            let waited =
                current.and_then(|pending| self.shared.update_want(pending.ticket, urgency));
            let ticket = match (ticket, waited) {
                (Some(ticket), Some(waited)) if waited < SHARD_PATIENCE => Some(ticket),
                (ticket, _) => {
                    if let Some(ticket) = ticket {
                        self.shared.give_back_slot(ticket);
                    }
                    self.want(&key.0, item, urgency, software)
                }
            };
            if let Some(ticket) = ticket {
                lock(&self.wants).insert(key, Pending { ticket, software });
            }
        }
        for pending in former.into_values() {
            self.shared.give_back_slot(pending.ticket);
        }
    }

    /// Returns the software that is needed to continue the text of an item, if it has one. Discards
    /// the text if no upstream can continue it and others could begin it again.
    fn check_text(&self, id: &str, item: usize) -> Option<Software> {
        let mut jobs = self.jobs();
        let owned = jobs.get_mut(id)?;
        let software = owned.software(item)?;
        let Some(route) = self.route(&owned.job.row) else { return Some(software) };
        let can_run = |software| {
            let selector = self.shared.selector();
            route.deployments().any(|deployment| selector.accepts(deployment, software))
        };
        if can_run(Some(software)) || !can_run(None) {
            return Some(software);
        }
        let events = owned.events(item);
        owned.transcripts.remove(&item);
        event!(
            ItemRestarted,
            job:% = id,
            item:% = owned.items[item].id,
            events = events
        );
        None
    }

    /// Requests a slot for an item of a job. With `software`, the upstream must have this software.
    fn want(
        &self,
        id: &str,
        item: usize,
        urgency: Urgency,
        software: Option<Software>,
    ) -> Option<Ticket> {
        let (route, account, tokens) = {
            let jobs = self.jobs();
            let owned = jobs.get(id)?;
            let row = &owned.job.row;
            (self.route(row)?, row.account.clone(), owned.items.get(item)?.tokens)
        };
        let deployment = self.shared.deployment(&route, software)?;
        let shards = self.shared.selector().shards(deployment, software);
        let accounts = &self.shared.routes.load().accounts;
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let charge = charge::of_job(account.as_deref(), accounts.as_ref(), &route, tokens);
        self.shared.want_slot(&shards, urgency, software, charge)
    }

    /// Returns the items that wait for a slot, the most urgent first.
    fn waiting_items(&self) -> Vec<(Priority, String, usize)> {
        let now = self.shared.clock.now();
        let inputs = self.priority_inputs();
        let jobs = self.jobs();
        let open = jobs.iter().filter(|(_, owned)| owned.is_open() && !owned.is_handing_over);
        let mut waiting: Vec<_> = open
            .flat_map(|(id, owned)| {
                let items =
                    owned.results.progress().waiting().filter(move |item| {
                        owned.not_before.get(item).is_none_or(|time| *time <= now)
                    });
                items.map(move |item| (priority(inputs, owned, item), id.clone(), item))
            })
            .collect();
        waiting.sort_unstable();
        waiting
    }

    /// Returns the inputs of priorities: the store's clock in milliseconds, and the estimate of the
    /// time that items take.
    fn priority_inputs(&self) -> (u64, Estimate) {
        (self.shared.clock.store_ms().unwrap_or(0), *lock(&self.estimate))
    }

    /// Saves the unfinished texts that have enough new events, so that the next owner of a job can
    /// resume them.
    fn request_saves(self: &Arc<Self>) {
        let max_bytes = size::max_row_bytes(&self.shared);
        let mut ids = Vec::new();
        for (id, owned) in self.jobs().iter_mut() {
            if owned.is_open() && !owned.unsaved(MIN_UNSAVED_EVENTS, max_bytes).is_empty() {
                owned.save_requested = true;
                ids.push(id.clone());
            }
        }
        for id in ids {
            self.commit(&id);
        }
    }

    /// Starts a run of an item. If that panics, the item waits before the next attempt, and the others go on.
    fn start_item(self: &Arc<Self>, id: &str, item: usize, start: Start) {
        let started = task::catch_step("item start", || self.begin_run(id, item, start));
        if started.is_err()
            && let Some(owned) = self.jobs().get_mut(id)
        {
            owned.not_before.insert(item, self.shared.clock.now() + FAILED_RETRY_DELAY);
        }
    }

    fn begin_run(self: &Arc<Self>, id: &str, item: usize, start: Start) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        let job = &owned.job.row;
        let Some(outgoing) = item::outgoing(&self.shared, job, &owned.items[item]) else {
            // The path or a header of the item is invalid, so that no request can be built.
            drop(jobs);
            self.record_failure(id, item, RunFailure::Failed, FAILED_RETRY_DELAY);
            return;
        };
        let start = match start {
            Start::New(flight) => {
                let parts = self.shared.parts(&outgoing.headers);
                Start::New(Box::new(flight.with_parts(parts)))
            }
            Start::Successor(successor) => Start::Successor(successor),
        };
        owned.results.start(item);
        let transcript = owned.transcripts.entry(item).or_default().clone();
        let flight = start.flight();
        let (ticket, upstream_id) = (flight.ticket, flight.upstream.id.clone());
        event!(
            ItemStarted,
            job:% = id,
            item:% = outgoing.id,
            upstream:% = flight.upstream.id,
            version:% = flight.upstream.version,
            after = lock(&transcript).last.unwrap_or(0)
        );
        let urgency = priority(self.priority_inputs(), owned, item).into();
        let (dispatcher, id) = (self.clone(), id.to_owned());
        let row = owned.job.row.clone();
        let task = tokio::spawn(async move {
            let shared = dispatcher.shared.clone();
            let route = || dispatcher.route(&row);
            let run = item::run(shared, outgoing, start, transcript.clone(), urgency, route);
            let ended = task::catch("item", run).await;
            let (end, next) = ended.unwrap_or_else(|_| {
                // The text may end in the middle of an event.
                *lock(&transcript) = Transcript::default();
                (End::Interrupted(Failure::Broken), None)
            });
            dispatcher.finish_run(&id, item, end, next);
        });
        let (started, events_before) = (self.shared.clock.now(), owned.events(item));
        owned.runs.insert(
            item,
            Run { ticket, upstream_id, abort: task.abort_handle(), started, events_before },
        );
    }

    /// Records the end of a run, unless the run was aborted in the meantime. `next` is where the item goes on.
    fn finish_run(self: &Arc<Self>, id: &str, item: usize, end: End, next: Option<Successor>) {
        let now = self.shared.clock.now();
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        let Some(run) = owned.runs.remove(&item) else { return };
        let events = owned.events(item);
        lock(&self.estimate)
            .record_run(events.saturating_sub(run.events_before), now.since(run.started));
        match end {
            End::Completed => {
                counter!(RELAY_ITEMS, "outcome" => "completed").increment(1);
                lock(&self.estimate).record_completed(events);
                event!(
                    ItemCompleted,
                    job:% = id,
                    item:% = owned.items[item].id,
                    upstream:% = run.upstream_id,
                    events = events,
                    elapsed_ms = now.since(run.started).as_millis() as u64
                );
                let transcript = owned.transcripts.remove(&item).unwrap_or_default();
                owned.results.complete(item, std::mem::take(&mut lock(&transcript).text));
                drop(jobs);
                self.commit(id);
            }
            End::Failed(failure) => {
                counter!(RELAY_ITEMS, "outcome" => "failed").increment(1);
                drop(jobs);
                self.record_failure(id, item, failure, FAILED_RETRY_DELAY);
            }
            End::Interrupted(_) => {
                counter!(RELAY_ITEMS, "outcome" => "interrupted").increment(1);
                let is_routed = |next: &Successor| {
                    let route = self.route(&owned.job.row);
                    let deployment = &next.flight().upstream.deployment;
                    route.is_some_and(|route| route.deployments().any(|name| name == deployment))
                };
                let may_start = owned.is_open() && !owned.is_handing_over;
                let next = next.filter(|next| may_start && is_routed(next));
                drop(jobs);
                self.record_failure(id, item, RunFailure::Interrupted, INTERRUPTED_RETRY_DELAY);
                if let Some(next) = next {
                    self.start_item(id, item, Start::Successor(next));
                }
            }
        }
        self.shared.batch_changed.notify_one();
    }

    /// Records a run without a complete text. The item waits for `delay` before its next run, or is
    /// abandoned.
    fn record_failure(
        self: &Arc<Self>,
        id: &str,
        item: usize,
        failure: RunFailure,
        delay: Duration,
    ) {
        let mut jobs = self.jobs();
        let Some(owned) = jobs.get_mut(id) else { return };
        owned.not_before.insert(item, self.shared.clock.now() + delay);
        owned.failures_changed |= failure == RunFailure::Failed;
        let is_abandoned = owned.results.record_failure(item, failure);
        if is_abandoned {
            counter!(RELAY_ITEMS, "outcome" => "abandoned").increment(1);
            event!(
                ItemAbandoned,
                job:% = id,
                item:% = owned.items[item].id,
                failures = owned.results.progress().failures(item),
                cause:? = failure
            );
            owned.transcripts.remove(&item);
        }
        drop(jobs);
        if is_abandoned || failure == RunFailure::Failed {
            self.commit(id);
        }
    }
}

/// Abandons the waiting items of a job. Returns whether there were any.
fn abandon_waiting(id: &str, owned: &mut Owned, cause: &str) -> bool {
    let count = owned.results.abandon_waiting();
    if count > 0 {
        counter!(RELAY_ITEMS, "outcome" => "abandoned").increment(count as u64);
        event!(ItemsAbandoned, job:% = id, items = count, cause:% = cause);
    }
    count > 0
}

fn priority((now_ms, estimate): (u64, Estimate), owned: &Owned, item: usize) -> Priority {
    Priority::new(now_ms, owned.job.row.due_ms, estimate.remaining(owned.events(item)))
}
