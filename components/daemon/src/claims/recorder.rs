//! The actor that writes claims and their outcomes to the table.

use std::{collections::BTreeMap, convert::Infallible, sync::Arc, time::Duration};

use cyclamengrade_control::{
    claim::{self, Action, Decision, Input, Outcome, RequestId},
    store::{CallId, Reply},
    time::Time,
};
use cyclamengrade_platform::Table;
use cyclamengrade_settings as settings;
use kameo::{
    Actor,
    actor::{ActorRef, Spawn},
    mailbox,
    message::{Context, Message},
};
use tokio::{
    sync::{oneshot, watch},
    time::{self, MissedTickBehavior},
};

use crate::{lease, node::Clock, store};

/// Time between two ticks of the state machine.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// Time after which a request that has not been granted a claim is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// Writes claims and outcomes, and groups as many as possible into one transaction.
pub(super) struct Recorder {
    actor_ref: ActorRef<Self>,
    table: Arc<dyn Table>,
    clock: Clock,
    machine: claim::Claims,
    /// Requests that wait for a decision.
    waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    /// Callers that wait until an outcome is recorded, by the key of the row.
    recording: BTreeMap<String, oneshot::Sender<()>>,
    next_request: u64,
}

/// Asks for a claim.
pub(super) struct Begin {
    /// Key of the claim's row.
    pub key: String,
    pub digest: String,
    pub reply: oneshot::Sender<Decision>,
}

/// Ends a claim with the outcome of its request.
pub(super) struct Finish {
    /// Key of the claim's row.
    pub key: String,
    pub outcome: Outcome,
    /// Notified once the outcome is in the table, or need not be recorded any more.
    pub recorded: oneshot::Sender<()>,
}

/// Message to a recorder from one of the tasks that it has started.
enum Report {
    Tick,
    Lease(lease::State),
    Reply { call: CallId, sent: Time, reply: Reply },
}

impl Recorder {
    /// Starts a recorder on the current runtime.
    pub(super) fn start(
        table: Arc<dyn Table>,
        clock: Clock,
        daemon: &str,
        settings: &settings::Lease,
        lease: watch::Receiver<lease::State>,
    ) -> ActorRef<Self> {
        let machine = claim::Claims::new(claim::Settings {
            daemon: daemon.to_owned(),
            lease: Duration::from_millis(settings.length_ms),
            margin: Duration::from_millis(settings.margin_ms),
            timeout: CLAIM_TIMEOUT,
        });
        let dependencies = Dependencies { table, clock, machine, lease };
        // Admission control bounds the number of requests and thereby the number of messages.
        Self::spawn_with_mailbox(dependencies, mailbox::unbounded())
    }

    fn handle_input(&mut self, input: Input) {
        for action in self.machine.handle(self.clock.now(), input) {
            match action {
                Action::Call { call, request } => {
                    let (table, actor_ref, sent) =
                        (self.table.clone(), self.actor_ref.clone(), self.clock.now());
                    tokio::spawn(async move {
                        let reply = store::call(&*table, request).await;
                        send_report(&actor_ref, Report::Reply { call, sent, reply });
                    });
                }
                Action::Answer { id, decision } => self.answer(id, decision),
                Action::MarkedUnknown { key } => super::report_outcome_unknown(&key),
                Action::Recorded { key } => {
                    if let Some(recorded) = self.recording.remove(&key) {
                        // An error means that the caller has stopped waiting.
                        let _ = recorded.send(());
                    }
                }
            }
        }
    }

    fn answer(&mut self, id: RequestId, decision: Decision) {
        let _ = self.waiting.remove(&id).map(|reply| reply.send(decision));
    }
}

/// Values with which a recorder starts.
pub(super) struct Dependencies {
    table: Arc<dyn Table>,
    clock: Clock,
    machine: claim::Claims,
    lease: watch::Receiver<lease::State>,
}

/// Sends a report to a recorder, unless it has stopped.
fn send_report(recorder: &ActorRef<Recorder>, report: Report) {
    let _ = recorder.tell(report).try_send();
}

impl Actor for Recorder {
    type Args = Dependencies;
    type Error = Infallible;

    async fn on_start(
        dependencies: Dependencies,
        actor_ref: ActorRef<Self>,
    ) -> Result<Self, Infallible> {
        let Dependencies { table, clock, machine, lease } = dependencies;
        tokio::spawn(send_ticks_and_lease(actor_ref.clone(), lease));
        let (waiting, recording) = (BTreeMap::new(), BTreeMap::new());
        Ok(Self { actor_ref, table, clock, machine, waiting, recording, next_request: 0 })
    }
}

/// Sends ticks and the states of the lease to a recorder until it stops.
async fn send_ticks_and_lease(
    recorder: ActorRef<Recorder>,
    mut lease: watch::Receiver<lease::State>,
) {
    let mut interval = time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let first = *lease.borrow_and_update();
    send_report(&recorder, Report::Lease(first));
    // False once the task that renews the lease has ended.
    let mut lease_is_open = true;
    while recorder.is_alive() {
        tokio::select! {
            _ = interval.tick() => send_report(&recorder, Report::Tick),
            changed = lease.changed(), if lease_is_open => {
                lease_is_open = changed.is_ok();
                let state = *lease.borrow_and_update();
                send_report(&recorder, Report::Lease(state));
            }
        }
    }
}

impl Message<Begin> for Recorder {
    type Reply = ();

    async fn handle(&mut self, begin: Begin, _: &mut Context<Self, ()>) {
        let id = RequestId(self.next_request);
        self.next_request += 1;
        self.waiting.insert(id, begin.reply);
        self.handle_input(Input::Begin { id, key: begin.key, digest: begin.digest });
    }
}

impl Message<Finish> for Recorder {
    type Reply = ();

    async fn handle(&mut self, finish: Finish, _: &mut Context<Self, ()>) {
        let Finish { key, outcome, recorded } = finish;
        self.recording.insert(key.clone(), recorded);
        self.handle_input(Input::Finish { key, outcome });
    }
}

impl Message<Report> for Recorder {
    type Reply = ();

    async fn handle(&mut self, report: Report, _: &mut Context<Self, ()>) {
        match report {
            Report::Tick => self.handle_input(Input::Tick),
            Report::Lease(state) if state.superseded || state.released => {
                self.handle_input(Input::Superseded);
            }
            Report::Lease(state) => {
                if let Some(epoch) = state.epoch {
                    self.handle_input(Input::Lease { epoch, until: state.until });
                }
            }
            Report::Reply { call, sent, reply } => {
                self.handle_input(Input::Reply { call, sent, reply });
            }
        }
    }
}
