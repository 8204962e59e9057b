//! The actor that runs the items of batch jobs.

use std::{collections::BTreeMap, convert::Infallible, sync::Arc, time::Duration};

use cyclamengrade_control::{
    job::dispatch::{self, Action, ChunkId, Dispatch, Run, RunId},
    store::{self as calls, CallId, Reply},
    time::Time,
    traffic::{self, Outcome},
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
    reports::{self, Limits},
    runner::{Call, End, Finish, Runner, Transcript},
    work::Work,
};
use crate::{
    lease,
    node::{Accepted, Clock},
    store,
};
use cyclamengrade_caller::backend::Item;
use cyclamengrade_control::fleet::Vm;

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(100);

/// Open jobs that a dispatcher considers at once.
const PAGE: usize = 64;

/// Results that may wait to be committed; half of the control budget of a daemon.
const RESULT_BYTES: u64 = 64 << 20;

/// Time before it is due from which a job precedes the fair share of other clients.
const URGENT: Duration = Duration::from_secs(600);

/// What a dispatcher needs.
pub struct Parts {
    /// The platform's table service.
    pub table: Arc<dyn Table>,
    /// The platform's object store.
    pub objects: Arc<dyn Objects>,
    /// Clock of the decisions.
    pub clock: Clock,
    /// Client of the upstreams.
    pub runner: Arc<dyn Runner>,
    /// Runtime on which items run.
    pub traffic: Handle,
    /// Settings of the process.
    pub settings: settings::Daemon,
    /// Configuration in force.
    pub configuration: watch::Receiver<Arc<Accepted>>,
    /// Vms as the platform listed them last.
    pub fleet: watch::Receiver<Arc<Vec<Vm>>>,
    /// The own lease.
    pub lease: watch::Receiver<lease::State>,
    /// Receives `BatchStarted` and `BatchEnded` of each run.
    pub notify: Arc<dyn Fn(traffic::Input) + Send + Sync>,
}

/// Runs the items of batch jobs.
///
/// Send it [`BatchLimit`] and [`JobNotice`]; call [`Dispatcher::drain`] for a graceful shutdown.
pub struct Dispatcher {
    parts: Parts,
    own: ActorRef<Self>,
    machine: Dispatch,
    work: Work,
    limits: Limits,
    reader: Arc<Reader>,
    runs: BTreeMap<RunId, Open>,
    drained: Vec<oneshot::Sender<()>>,
}

/// A run in progress.
struct Open {
    run: Run,
    transcript: Transcript,
    task: AbortHandle,
}

/// Batch streams that this daemon may hold open at an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BatchLimit {
    /// Name of the upstream.
    pub upstream: String,
    /// Deployment of the upstream.
    pub deployment: String,
    /// Streams.
    pub streams: u32,
}

/// A job was accepted or cancelled, here or at another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobNotice {
    /// Identifier of the job.
    pub job: String,
}

/// Stop claiming, and hand back what does not end in time.
struct Drain {
    grace: Duration,
    done: oneshot::Sender<()>,
}

/// What the tasks of the dispatcher report to it.
enum Report {
    Tick,
    Lease(lease::State),
    Reply { call: CallId, sent: Time, reply: Reply },
    Loaded { chunk: ChunkId, wanted: Vec<u32>, items: Option<Vec<(u32, Item)>> },
    Stored { chunk: ChunkId, ok: bool },
    Finished { run: RunId, finish: Finish },
}

impl Dispatcher {
    /// Starts a dispatcher on the current runtime.
    pub fn start(parts: Parts) -> ActorRef<Self> {
        // The mailbox is unbounded because its messages are bounded by streams and calls, and a
        // full one would make the actor wait for itself.
        Self::spawn_with_mailbox(parts, mailbox::unbounded())
    }

    /// Claims no more, lets items run for at most `grace`, commits what has a result and hands
    /// back the rest; returns when all of that is in the table.
    ///
    /// Waits without end while the platform is down, so the caller bounds the time.
    pub async fn drain(dispatcher: &ActorRef<Self>, grace: Duration) {
        let (done, drained) = oneshot::channel();
        if dispatcher.tell(Drain { grace, done }).send().await.is_ok() {
            // An error means that the actor has stopped, so there is nothing left to wait for.
            let _ = drained.await;
        }
    }

    fn handle_input(&mut self, input: dispatch::Input) {
        let now = self.parts.clock.now();
        for action in self.machine.handle(now, input) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Call { call, request } => self.call(call, request),
            Action::Load { chunk, items } => self.load(chunk, items),
            Action::Start(run) => self.begin(run),
            Action::Stop { run, keep_text } => self.stop(run, keep_text),
            Action::Fail { job, item, reason } => {
                self.work.fail(&job, item, reason);
                reports::failed(&job, item, self.attempts(&job, item), reason);
            }
            Action::Store { chunk, key, items } => self.store(chunk, key, &items),
            Action::Discard { job, items } => self.work.forget(&job, &items),
            Action::Event(event) => reports::note(&event),
            Action::Drained => self.drained.drain(..).for_each(|done| {
                // The caller may have given up waiting.
                let _ = done.send(());
            }),
        }
    }

    fn attempts(&self, job: &str, item: u32) -> u32 {
        self.machine.attempts(job, item).unwrap_or_default()
    }

    fn call(&self, call: CallId, request: calls::Call) {
        let (table, own) = (self.parts.table.clone(), self.own.clone());
        let sent = self.parts.clock.now();
        tokio::spawn(async move {
            let reply = store::call(&*table, request).await;
            report(&own, Report::Reply { call, sent, reply });
        });
    }

    fn load(&self, chunk: ChunkId, wanted: Vec<u32>) {
        let (objects, own) = (self.parts.objects.clone(), self.own.clone());
        let reader = self.reader.clone();
        tokio::spawn(async move {
            let items = reader.items(&*objects, &chunk.job, &wanted).await.ok();
            report(&own, Report::Loaded { chunk, wanted, items });
        });
    }

    fn loaded(&mut self, chunk: ChunkId, wanted: &[u32], items: Option<Vec<(u32, Item)>>) {
        let missing = items.filter(|_| self.machine.holds(&chunk)).map(|items| {
            let mut missing = wanted.to_vec();
            for (index, item) in items {
                missing.retain(|other| *other != index);
                self.work.insert(&chunk.job, index, item);
            }
            missing
        });
        self.handle_input(dispatch::Input::Loaded { chunk, missing });
    }

    fn store(&self, chunk: ChunkId, key: String, items: &[u32]) {
        let (objects, own) = (self.parts.objects.clone(), self.own.clone());
        let content = self.work.lines(&chunk.job, items);
        tokio::spawn(async move {
            let ok = objects.put_new(key, content.into()).await.is_ok();
            report(&own, Report::Stored { chunk, ok });
        });
    }

    fn begin(&mut self, run: Run) {
        let (id, upstream) = (run.id, run.upstream.clone());
        (self.parts.notify)(traffic::Input::BatchStarted { upstream });
        reports::opened(&run.deployment);
        let Some((call, transcript)) = self.prepare(&run) else {
            let finish = Finish { end: End::NotRun, first_token: None, between_tokens: None };
            let transcript = Transcript::default();
            let task = self.parts.traffic.spawn(async {}).abort_handle();
            self.runs.insert(id, Open { run, transcript, task });
            return report(&self.own, Report::Finished { run: id, finish });
        };
        let task = self.parts.traffic.spawn(self.parts.runner.run(call, transcript.clone()));
        self.runs.insert(id, Open { run, transcript, task: task.abort_handle() });
        let own = self.own.clone();
        self.parts.traffic.spawn(async move {
            let finish = match task.await {
                Ok(finish) => finish,
                Err(error) if error.is_cancelled() => return,
                // The runner panicked, which is charged to the item.
                Err(error) => {
                    event!(InternalFault, error:% = error);
                    Finish { end: End::Failed, first_token: None, between_tokens: None }
                }
            };
            report(&own, Report::Finished { run: id, finish });
        });
    }

    /// Looks up what a run needs; `None` when upstream, deployment or item are gone.
    fn prepare(&mut self, run: &Run) -> Option<(Call, Transcript)> {
        let fleet = self.parts.fleet.borrow().clone();
        let vm = fleet.iter().find(|vm| vm.name == run.upstream)?;
        let document = self.parts.configuration.borrow().document.clone();
        let deployment = document.deployments.get(&run.deployment)?;
        let (item, (tokens, text)) = self.work.prompt(&run.job, run.item, run.discard_text)?;
        let epoch = self.parts.lease.borrow().epoch.unwrap_or_default();
        let call = Call {
            upstream: run.upstream.clone(),
            address: vm.address,
            deployment: run.deployment.clone(),
            model: deployment.model.clone().unwrap_or_default(),
            version: deployment.version.clone(),
            prompt: item.prompt,
            max_tokens: item.max_tokens,
            resume_from: tokens,
            stream: format!("{}-{epoch}-batch-{}", self.parts.settings.name, run.id.0),
        };
        Some((call, Transcript::new(tokens, text)))
    }

    fn stop(&mut self, id: RunId, keep: bool) {
        let Some(Open { run, transcript, task }) = self.runs.remove(&id) else { return };
        task.abort();
        reports::closed(&run.deployment);
        if keep {
            // A graceful shutdown stops runs too, but not for other work.
            if self.drained.is_empty() {
                reports::paused(&run.deployment);
            }
            self.work.keep(&run.job, run.item, transcript.snapshot());
        }
        (self.parts.notify)(traffic::Input::BatchEnded {
            upstream: run.upstream,
            outcome: Outcome::Cancelled,
            first_token: None,
            between_tokens: None,
        });
    }

    fn finished(&mut self, id: RunId, finish: Finish) {
        let Some(Open { run, transcript, .. }) = self.runs.remove(&id) else { return };
        reports::closed(&run.deployment);
        let (tokens, text) = transcript.snapshot();
        let (end, outcome) = match finish.end {
            End::Done => {
                let bytes = self.work.answer(&run.job, run.item, text);
                (dispatch::Outcome::Answered(bytes), Outcome::Done)
            }
            End::Rejected(reason) => {
                self.work.fail(&run.job, run.item, &reason);
                let attempts = self.attempts(&run.job, run.item) + 1;
                reports::failed(&run.job, run.item, attempts, &reason);
                (dispatch::Outcome::Rejected(reason.len() as u64), Outcome::Done)
            }
            End::NotRun => (dispatch::Outcome::NotRun, Outcome::NotRun),
            End::Failed => {
                self.work.keep(&run.job, run.item, (tokens, text));
                (dispatch::Outcome::Failed, Outcome::Failed)
            }
        };
        (self.parts.notify)(traffic::Input::BatchEnded {
            upstream: run.upstream,
            outcome,
            first_token: finish.first_token,
            between_tokens: finish.between_tokens,
        });
        self.handle_input(dispatch::Input::Ended { run: id, outcome: end });
    }

    fn leased(&mut self, state: lease::State) {
        if state.superseded {
            self.handle_input(dispatch::Input::Superseded);
        } else if state.failing {
            self.handle_input(dispatch::Input::LeaseFailing);
        } else if let Some(epoch) = state.epoch {
            self.handle_input(dispatch::Input::Lease { epoch, until: state.until });
        }
    }

    fn tick(&mut self) {
        if self.parts.configuration.has_changed().unwrap_or_default() {
            self.weights();
        }
        let unix_ms = self.parts.clock.unix_ms();
        self.handle_input(dispatch::Input::Tick { unix_ms });
    }

    fn weights(&mut self) {
        let document = self.parts.configuration.borrow_and_update().document.clone();
        let clients = document.clients.iter();
        let weights = clients.map(|(name, client)| (name.clone(), client.weight)).collect();
        self.handle_input(dispatch::Input::Weights(weights));
    }
}

/// Sends a report; a dispatcher that has stopped needs none.
fn report(dispatcher: &ActorRef<Dispatcher>, report: Report) {
    let _ = dispatcher.tell(report).try_send();
}

impl Actor for Dispatcher {
    type Args = Parts;
    type Error = Infallible;

    async fn on_start(parts: Parts, own: ActorRef<Self>) -> Result<Self, Infallible> {
        let settings = &parts.settings;
        let machine = Dispatch::new(dispatch::Settings {
            daemon: settings.name.clone(),
            poll_period: Duration::from_millis(settings.timers.jobs_poll_ms),
            page_size: PAGE,
            item_attempts: settings.limits.item_attempts.max(1),
            max_result_bytes: RESULT_BYTES,
            lease: Duration::from_millis(settings.lease.length_ms),
            margin: Duration::from_millis(settings.lease.margin_ms),
            urgent_window: URGENT,
        });
        tokio::spawn(drive(own.clone(), parts.lease.clone()));
        let mut dispatcher = Self {
            parts,
            own,
            machine,
            work: Work::default(),
            limits: Limits::default(),
            reader: Arc::default(),
            runs: BTreeMap::new(),
            drained: Vec::new(),
        };
        dispatcher.weights();
        Ok(dispatcher)
    }
}

/// Reports time and the lease to a dispatcher until it stops.
async fn drive(dispatcher: ActorRef<Dispatcher>, mut lease: watch::Receiver<lease::State>) {
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut kept = true;
    let first = *lease.borrow_and_update();
    report(&dispatcher, Report::Lease(first));
    while dispatcher.is_alive() {
        tokio::select! {
            _ = interval.tick() => report(&dispatcher, Report::Tick),
            changed = lease.changed(), if kept => {
                kept = changed.is_ok();
                let state = *lease.borrow_and_update();
                report(&dispatcher, Report::Lease(state));
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
        self.drained.push(drain.done);
        let until = self.parts.clock.now() + drain.grace;
        self.handle_input(dispatch::Input::Drain { until });
    }
}

impl Message<Report> for Dispatcher {
    type Reply = ();

    async fn handle(&mut self, report: Report, _: &mut Context<Self, ()>) {
        match report {
            Report::Tick => self.tick(),
            Report::Lease(state) => self.leased(state),
            Report::Reply { call, sent, reply } => {
                self.handle_input(dispatch::Input::Reply { call, sent, reply });
            }
            Report::Loaded { chunk, wanted, items } => self.loaded(chunk, &wanted, items),
            Report::Stored { chunk, ok } => {
                self.handle_input(dispatch::Input::Stored { chunk, ok });
            }
            Report::Finished { run, finish } => self.finished(run, finish),
        }
    }
}
