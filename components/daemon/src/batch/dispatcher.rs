//! The actor that runs the items of batch jobs.
//!
//! The actor performs the actions of the state machine [`Dispatch`] and passes their results back.

use std::{collections::BTreeMap, convert::Infallible, net::SocketAddr, sync::Arc, time::Duration};

use cyclamengrade_control::{
    job::dispatch::{self, Action, ChunkId, Dispatch, Run, RunId},
    store::{self as calls, CallId, Reply},
    time::Time,
    traffic,
};
use cyclamengrade_platform::{Objects, Table};
use cyclamengrade_settings as settings;
use cyclamengrade_telemetry::event;
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use tokio::{
    runtime::Handle,
    sync::{oneshot, watch},
    task::AbortHandle,
    time::{self, MissedTickBehavior},
};

use super::{
    input::Reader,
    items::Items,
    reports::{self, Limits},
    runner::{Call, Outcome, Received, Runner, Summary, Transcript},
};
use crate::{
    lease,
    node::{Clock, Configuration},
    store,
};
use cyclamengrade_caller::backend::Item;
use cyclamengrade_control::fleet::Vm;

/// Time between two ticks of the state machine.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Maximum number of open jobs in one page of a listing.
const OPEN_JOBS_PAGE_SIZE: usize = 64;

/// Size in bytes of uncommitted results from which no further item starts: half of the memory
/// budget of a daemon's control work.
const MAX_UNCOMMITTED_RESULT_BYTES: u64 = 64 << 20;

/// Time before the due time of a job from which it takes precedence over the clients' fair shares.
const URGENT_WINDOW: Duration = Duration::from_secs(600);

/// Platform services, state and settings that a dispatcher uses.
pub struct Dependencies {
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn Objects>,
    /// Clock of the state machine.
    pub clock: Clock,
    /// Runs items at upstreams.
    pub runner: Arc<dyn Runner>,
    /// Runtime on which items run.
    pub traffic: Handle,
    /// Settings of the process.
    pub settings: settings::Daemon,
    /// Configuration in force.
    pub configuration: watch::Receiver<Arc<Configuration>>,
    /// Vms in the latest list of the platform.
    pub fleet: watch::Receiver<Arc<Vec<Vm>>>,
    /// Lease of this daemon.
    pub lease: watch::Receiver<lease::State>,
    /// Called with `BatchStarted` and `BatchEnded` for each run.
    pub notify: Arc<dyn Fn(traffic::Input) + Send + Sync>,
}

/// Runs the items of batch jobs.
///
/// The actor accepts the messages [`BatchLimit`] and [`JobNotice`]; [`Dispatcher::drain`] shuts it
/// down gracefully.
pub struct Dispatcher {
    dependencies: Dependencies,
    actor_ref: ActorRef<Self>,
    machine: Dispatch,
    items: Items,
    limits: Limits,
    reader: Arc<Reader>,
    runs: BTreeMap<RunId, ActiveRun>,
    /// Callers of [`Dispatcher::drain`] that wait for its completion.
    drain_waiters: Vec<oneshot::Sender<()>>,
}

/// What a run has to do.
enum Task {
    /// Send the item to the upstream, which appends to the transcript.
    Send(Call, Transcript),
    /// Nothing, since an earlier run received the whole answer before it was stopped.
    Complete(Received),
}

/// A run in progress.
struct ActiveRun {
    run: Run,
    transcript: Transcript,
    task: AbortHandle,
    /// Address of the upstream and identifier of the stream; `None` if the item was not sent.
    stream: Option<(SocketAddr, String)>,
}

/// Limit of the batch streams that this daemon may hold open at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchLimit {
    /// Name of the upstream.
    pub upstream: String,
    /// Deployment of the upstream.
    pub deployment: String,
    /// Maximum number of streams.
    pub streams: u32,
}

/// A job was accepted or cancelled, here or at another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobNotice {
    /// Identifier of the job.
    pub job: String,
}

/// Starts a graceful shutdown; runs that have not ended after `grace` are stopped.
struct Drain {
    grace: Duration,
    done: oneshot::Sender<()>,
}

/// Message to a dispatcher from one of the tasks that it has started.
enum Report {
    Tick,
    Lease(lease::State),
    Reply {
        call: CallId,
        sent: Time,
        reply: Reply,
    },
    /// Items read from the input; `None` when the object store is unavailable.
    Loaded {
        chunk: ChunkId,
        requested: Vec<u32>,
        items: Option<Vec<(u32, Item)>>,
    },
    /// Whether the results of a chunk are in the object store.
    Stored {
        chunk: ChunkId,
        ok: bool,
    },
    Finished {
        run: RunId,
        summary: Summary,
    },
    /// The upstream of a run that was stopped has crashed.
    StoppedAtCrash {
        run: Run,
        /// Tokens that all runs of the item received.
        received: u32,
        alone: bool,
    },
}

impl Dispatcher {
    /// Starts a dispatcher on the current runtime.
    pub fn start(dependencies: Dependencies) -> ActorRef<Self> {
        // The mailbox is unbounded because the numbers of streams and calls already bound the
        // number of messages, and because the actor would wait for itself if its mailbox were full.
        Self::spawn_with_mailbox(dependencies, mailbox::unbounded())
    }

    /// Shuts down gracefully: stops claiming chunks, lets items run for at most `grace`, commits
    /// all results and returns the remaining items. Completes once all of this is in the table.
    ///
    /// Waits indefinitely while the platform is unavailable, so the caller must set a time limit.
    pub async fn drain(dispatcher: &ActorRef<Self>, grace: Duration) {
        let (done, drained) = oneshot::channel();
        if dispatcher.tell(Drain { grace, done }).send().await.is_ok() {
            // An error means that the actor has stopped and there is nothing left to wait for.
            let _ = drained.await;
        }
    }

    fn handle_input(&mut self, input: dispatch::Input) {
        let now = self.dependencies.clock.now();
        for action in self.machine.handle(now, input) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Call { call, request } => self.call(call, request),
            Action::Load { chunk, items } => self.load(chunk, items),
            Action::Start(run) => self.start_run(run),
            Action::Stop { run, keep_text, alone } => self.stop_run(run, keep_text, alone),
            Action::Fail { job, item, reason } => {
                self.items.record_failure(&job, item, reason);
                reports::item_failed(&job, item, self.attempts(&job, item), reason);
            }
            Action::Store { chunk, key, items } => self.store(chunk, key, &items),
            Action::Discard { job, items } => self.items.remove(&job, &items),
            Action::Event(event) => reports::dispatch_event(&event),
            Action::Drained => self.drain_waiters.drain(..).for_each(|done| {
                // The caller may no longer be waiting.
                let _ = done.send(());
            }),
        }
    }

    /// Returns the number of attempts charged to an item.
    fn attempts(&self, job: &str, item: u32) -> u32 {
        self.machine.attempts(job, item).unwrap_or_default()
    }

    fn call(&self, call: CallId, request: calls::Call) {
        let (table, actor_ref) = (self.dependencies.table.clone(), self.actor_ref.clone());
        let sent = self.dependencies.clock.now();
        tokio::spawn(async move {
            let reply = store::call(&*table, request).await;
            send_report(&actor_ref, Report::Reply { call, sent, reply });
        });
    }

    fn load(&self, chunk: ChunkId, requested: Vec<u32>) {
        let (objects, actor_ref) = (self.dependencies.objects.clone(), self.actor_ref.clone());
        let reader = self.reader.clone();
        tokio::spawn(async move {
            let items = reader.read_items(&*objects, &chunk.job, &requested).await.ok();
            send_report(&actor_ref, Report::Loaded { chunk, requested, items });
        });
    }

    /// Adds loaded items, unless the chunk is no longer held, and reports those that are missing.
    fn handle_loaded(
        &mut self,
        chunk: ChunkId,
        requested: &[u32],
        items: Option<Vec<(u32, Item)>>,
    ) {
        let missing = items.filter(|_| self.machine.holds(&chunk)).map(|items| {
            let mut missing = requested.to_vec();
            for (index, item) in items {
                missing.retain(|missing_index| *missing_index != index);
                self.items.insert(&chunk.job, index, item);
            }
            missing
        });
        self.handle_input(dispatch::Input::Loaded { chunk, missing });
    }

    fn store(&self, chunk: ChunkId, key: String, items: &[u32]) {
        let (objects, actor_ref) = (self.dependencies.objects.clone(), self.actor_ref.clone());
        let content = self.items.result_lines(&chunk.job, items);
        tokio::spawn(async move {
            let ok = objects.put_new(key, content.into()).await.is_ok();
            send_report(&actor_ref, Report::Stored { chunk, ok });
        });
    }

    fn start_run(&mut self, run: Run) {
        let (id, upstream) = (run.id, run.upstream.clone());
        (self.dependencies.notify)(traffic::Input::BatchStarted { upstream });
        reports::stream_opened(&run.deployment);
        let (call, transcript) = match self.prepare_task(&run) {
            Some(Task::Send(call, transcript)) => (call, transcript),
            Some(Task::Complete(received)) => return self.end_unsent(run, Outcome::Done, received),
            None => return self.end_unsent(run, Outcome::NotRun, Received::default()),
        };
        let stream = Some((call.address, call.stream.clone()));
        let task =
            self.dependencies.traffic.spawn(self.dependencies.runner.run(call, transcript.clone()));
        self.runs.insert(id, ActiveRun { run, transcript, task: task.abort_handle(), stream });
        let actor_ref = self.actor_ref.clone();
        self.dependencies.traffic.spawn(async move {
            let summary = match task.await {
                Ok(summary) => summary,
                Err(error) if error.is_cancelled() => return,
                // The runner panicked; an attempt is charged to the item.
                Err(error) => {
                    event!(InternalFault, error:% = error);
                    let outcome = Outcome::Failed(error.to_string());
                    Summary { outcome, first_token: None, between_tokens: None }
                }
            };
            send_report(&actor_ref, Report::Finished { run: id, summary });
        });
    }

    /// Ends a run whose item is not sent to the upstream.
    fn end_unsent(&mut self, run: Run, outcome: Outcome, received: Received) {
        let summary = Summary { outcome, first_token: None, between_tokens: None };
        let (id, transcript) = (run.id, Transcript::new(received));
        let task = self.dependencies.traffic.spawn(async {}).abort_handle();
        self.runs.insert(id, ActiveRun { run, transcript, task, stream: None });
        send_report(&self.actor_ref, Report::Finished { run: id, summary });
    }

    /// Returns `None` if the upstream, the deployment or the item no longer exists.
    fn prepare_task(&mut self, run: &Run) -> Option<Task> {
        let fleet = self.dependencies.fleet.borrow().clone();
        let vm = fleet.iter().find(|vm| vm.name == run.upstream)?;
        let document = self.dependencies.configuration.borrow().document.clone();
        let deployment = document.deployments.get(&run.deployment)?;
        let version = deployment.version.clone();
        let (item, received) =
            self.items.start_run(&run.job, run.item, version.as_deref(), run.discard_text)?;
        if received.complete {
            return Some(Task::Complete(received));
        }
        let epoch = self.dependencies.lease.borrow().epoch.unwrap_or_default();
        let call = Call {
            upstream: run.upstream.clone(),
            address: vm.address,
            deployment: run.deployment.clone(),
            model: deployment.model.clone().unwrap_or_default(),
            version,
            prompt: item.prompt,
            max_tokens: item.max_tokens,
            resume_from: received.tokens,
            stream: format!("{}-{epoch}-batch-{}", self.dependencies.settings.name, run.id.0),
        };
        Some(Task::Send(call, Transcript::new(received)))
    }

    /// Cancels a run; with `keep_text`, a later run resumes from the text received so far.
    fn stop_run(&mut self, id: RunId, keep_text: bool, alone: bool) {
        let Some(active) = self.runs.remove(&id) else { return };
        let ActiveRun { run, transcript, task, stream } = active;
        task.abort();
        if let Some(stream) = stream {
            self.cancel_stream(run.clone(), transcript.snapshot().tokens, alone, stream);
        }
        reports::stream_closed(&run.deployment);
        if keep_text {
            // Only runs stopped by a lower limit count as paused, not those that a graceful
            // shutdown stops.
            if self.drain_waiters.is_empty() {
                reports::stream_paused(&run.deployment);
            }
            self.items.store_received(&run.job, run.item, transcript.snapshot());
        }
        (self.dependencies.notify)(traffic::Input::BatchEnded {
            upstream: run.upstream,
            outcome: traffic::Outcome::Cancelled,
            first_token: None,
            between_tokens: None,
        });
    }

    /// Cancels the stream of a run that was stopped, and reports whether its upstream has crashed.
    fn cancel_stream(
        &self,
        run: Run,
        received: u32,
        alone: bool,
        (address, stream): (SocketAddr, String),
    ) {
        let cancelling = self.dependencies.runner.cancel(address, stream);
        let actor_ref = self.actor_ref.clone();
        self.dependencies.traffic.spawn(async move {
            if cancelling.await {
                send_report(&actor_ref, Report::StoppedAtCrash { run, received, alone });
            }
        });
    }

    /// Handles that the upstream of a stopped run has crashed.
    fn handle_crash(&mut self, run: Run, received: u32, alone: bool) {
        let attempts = self.attempts(&run.job, run.item) + 1;
        let error = "the upstream crashed before the run was stopped";
        reports::run_failed(&run, attempts, received, error);
        let Run { job, item, .. } = run;
        self.handle_input(dispatch::Input::StoppedAtCrash { job, item, alone });
    }

    fn handle_finished(&mut self, id: RunId, summary: Summary) {
        let Some(ActiveRun { run, transcript, .. }) = self.runs.remove(&id) else { return };
        reports::stream_closed(&run.deployment);
        let received = transcript.snapshot();
        let (dispatch_outcome, traffic_outcome) = match summary.outcome {
            Outcome::Done => {
                let bytes = self.items.record_answer(&run.job, run.item, received.text);
                // Without a token the upstream has shown nothing; the answer was complete before.
                let ended = match summary.first_token {
                    Some(_) => traffic::Outcome::Done,
                    None => traffic::Outcome::Cancelled,
                };
                (dispatch::Outcome::Answered(bytes), ended)
            }
            Outcome::Rejected(reason) => {
                self.items.record_failure(&run.job, run.item, &reason);
                let attempts = self.attempts(&run.job, run.item) + 1;
                reports::item_failed(&run.job, run.item, attempts, &reason);
                (dispatch::Outcome::Rejected(reason.len() as u64), traffic::Outcome::Done)
            }
            Outcome::NotRun => (dispatch::Outcome::NotRun, traffic::Outcome::NotRun),
            Outcome::Failed(error) => {
                self.record_failed_run(&run, received, &error);
                (dispatch::Outcome::Failed, traffic::Outcome::Failed)
            }
            Outcome::Interrupted(error) => {
                self.record_failed_run(&run, received, &error);
                (dispatch::Outcome::Interrupted, traffic::Outcome::Failed)
            }
        };
        (self.dependencies.notify)(traffic::Input::BatchEnded {
            upstream: run.upstream,
            outcome: traffic_outcome,
            first_token: summary.first_token,
            between_tokens: summary.between_tokens,
        });
        self.handle_input(dispatch::Input::Ended { run: id, outcome: dispatch_outcome });
    }

    fn record_failed_run(&mut self, run: &Run, received: Received, error: &str) {
        let attempts = self.attempts(&run.job, run.item) + 1;
        reports::run_failed(run, attempts, received.tokens, error);
        self.items.store_received(&run.job, run.item, received);
    }

    fn handle_lease(&mut self, state: lease::State) {
        if state.superseded {
            self.handle_input(dispatch::Input::Superseded);
        } else if state.failing {
            self.handle_input(dispatch::Input::LeaseFailing);
        } else if let Some(epoch) = state.epoch {
            self.handle_input(dispatch::Input::Lease { epoch, until: state.until });
        }
    }

    fn handle_tick(&mut self) {
        if self.dependencies.configuration.has_changed().unwrap_or_default() {
            self.update_weights();
        }
        let unix_ms = self.dependencies.clock.unix_ms();
        self.handle_input(dispatch::Input::Tick { unix_ms });
    }

    /// Passes the weights of the clients from the configuration in force to the state machine.
    fn update_weights(&mut self) {
        let document = self.dependencies.configuration.borrow_and_update().document.clone();
        let clients = document.clients.iter();
        let weights = clients.map(|(name, client)| (name.clone(), client.weight)).collect();
        self.handle_input(dispatch::Input::Weights(weights));
    }
}

/// Sends a report to a dispatcher, unless it has stopped.
fn send_report(dispatcher: &ActorRef<Dispatcher>, report: Report) {
    let _ = dispatcher.tell(report).try_send();
}

impl Actor for Dispatcher {
    type Args = Dependencies;
    type Error = Infallible;

    async fn on_start(
        dependencies: Dependencies,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Infallible> {
        let settings = &dependencies.settings;
        let machine = Dispatch::new(dispatch::Settings {
            daemon: settings.name.clone(),
            poll_period: Duration::from_millis(settings.timers.jobs_poll_ms),
            page_size: OPEN_JOBS_PAGE_SIZE,
            item_attempts: settings.limits.item_attempts.max(1),
            max_result_bytes: MAX_UNCOMMITTED_RESULT_BYTES,
            lease: Duration::from_millis(settings.lease.length_ms),
            margin: Duration::from_millis(settings.lease.margin_ms),
            urgent_window: URGENT_WINDOW,
        });
        tokio::spawn(send_ticks_and_lease(actor_ref.clone(), dependencies.lease.clone()));
        let mut dispatcher = Self {
            dependencies,
            actor_ref,
            machine,
            items: Items::default(),
            limits: Limits::default(),
            reader: Arc::default(),
            runs: BTreeMap::new(),
            drain_waiters: Vec::new(),
        };
        dispatcher.update_weights();
        Ok(dispatcher)
    }
}

/// Sends ticks and the states of the lease to a dispatcher until it stops.
async fn send_ticks_and_lease(
    dispatcher: ActorRef<Dispatcher>,
    mut lease: watch::Receiver<lease::State>,
) {
    let mut interval = time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // False once the task that renews the lease has ended.
    let mut lease_is_open = true;
    let first = *lease.borrow_and_update();
    send_report(&dispatcher, Report::Lease(first));
    while dispatcher.is_alive() {
        tokio::select! {
            _ = interval.tick() => send_report(&dispatcher, Report::Tick),
            changed = lease.changed(), if lease_is_open => {
                lease_is_open = changed.is_ok();
                let state = *lease.borrow_and_update();
                send_report(&dispatcher, Report::Lease(state));
            }
        }
    }
}

impl Message<BatchLimit> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, limit: BatchLimit, _: &mut Context<Self, ()>) {
        self.limits.set(&limit);
        let BatchLimit { upstream, deployment, streams } = limit;
        self.handle_input(dispatch::Input::Limit { upstream, deployment, streams });
    }
}

impl Message<JobNotice> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, notice: JobNotice, _: &mut Context<Self, ()>) {
        self.handle_input(dispatch::Input::Notice { job: notice.job });
    }
}

impl Message<Drain> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, drain: Drain, _: &mut Context<Self, ()>) {
        self.drain_waiters.push(drain.done);
        let until = self.dependencies.clock.now() + drain.grace;
        self.handle_input(dispatch::Input::Drain { until });
    }
}

impl Message<Report> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, report: Report, _: &mut Context<Self, ()>) {
        match report {
            Report::Tick => self.handle_tick(),
            Report::Lease(state) => self.handle_lease(state),
            Report::Reply { call, sent, reply } => {
                self.handle_input(dispatch::Input::Reply { call, sent, reply });
            }
            Report::Loaded { chunk, requested, items } => {
                self.handle_loaded(chunk, &requested, items);
            }
            Report::Stored { chunk, ok } => {
                self.handle_input(dispatch::Input::Stored { chunk, ok });
            }
            Report::Finished { run, summary } => self.handle_finished(run, summary),
            Report::StoppedAtCrash { run, received, alone } => {
                self.handle_crash(run, received, alone);
            }
        }
    }
}
