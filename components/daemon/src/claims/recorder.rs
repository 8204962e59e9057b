//! The actor that writes claims.

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

/// Time between two ticks of the decisions.
const TICK: Duration = Duration::from_millis(100);

/// Time after which a request without a claim is refused.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Writes claims and outcomes, as many as possible in one transaction.
pub(super) struct Recorder {
    own: ActorRef<Self>,
    table: Arc<dyn Table>,
    clock: Clock,
    machine: claim::Claims,
    waiting: BTreeMap<RequestId, oneshot::Sender<Decision>>,
    recording: BTreeMap<String, oneshot::Sender<()>>,
    next: u64,
}

/// Asks for a claim.
pub(super) struct Begin {
    pub key: String,
    pub digest: String,
    pub reply: oneshot::Sender<Decision>,
}

/// Ends a claim.
pub(super) struct Finish {
    pub key: String,
    pub outcome: Outcome,
    pub recorded: oneshot::Sender<()>,
}

/// What the tasks of the recorder report to it.
enum Report {
    Tick,
    Lease(lease::State),
    Reply { call: CallId, sent: Time, reply: Reply },
}

impl Recorder {
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
            timeout: TIMEOUT,
        });
        let parts = Parts { table, clock, machine, lease };
        // Admission bounds the requests, and with them the messages.
        Self::spawn_with_mailbox(parts, mailbox::unbounded())
    }

    fn handle_input(&mut self, input: Input) {
        for action in self.machine.handle(self.clock.now(), input) {
            match action {
                Action::Call { call, request } => {
                    let (table, own, sent) =
                        (self.table.clone(), self.own.clone(), self.clock.now());
                    tokio::spawn(async move {
                        let reply = store::call(&*table, request).await;
                        report(&own, Report::Reply { call, sent, reply });
                    });
                }
                Action::Answer { id, decision } => self.answer(id, decision),
                Action::MarkedUnknown { key } => super::report_unknown(&key),
                Action::Recorded { key } => {
                    if let Some(recorded) = self.recording.remove(&key) {
                        // The caller waits for a bounded time only.
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

/// What a recorder needs.
pub(super) struct Parts {
    table: Arc<dyn Table>,
    clock: Clock,
    machine: claim::Claims,
    lease: watch::Receiver<lease::State>,
}

/// Sends a report; a recorder that has stopped needs none.
fn report(recorder: &ActorRef<Recorder>, report: Report) {
    let _ = recorder.tell(report).try_send();
}

impl Actor for Recorder {
    type Args = Parts;
    type Error = Infallible;

    async fn on_start(parts: Parts, own: ActorRef<Self>) -> Result<Self, Infallible> {
        let Parts { table, clock, machine, lease } = parts;
        tokio::spawn(drive(own.clone(), lease));
        let (waiting, recording) = (BTreeMap::new(), BTreeMap::new());
        Ok(Self { own, table, clock, machine, waiting, recording, next: 0 })
    }
}

/// Reports time and the lease to a recorder until it stops.
async fn drive(recorder: ActorRef<Recorder>, mut lease: watch::Receiver<lease::State>) {
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let first = *lease.borrow_and_update();
    report(&recorder, Report::Lease(first));
    let mut kept = true;
    while recorder.is_alive() {
        tokio::select! {
            _ = interval.tick() => report(&recorder, Report::Tick),
            changed = lease.changed(), if kept => {
                kept = changed.is_ok();
                let state = *lease.borrow_and_update();
                report(&recorder, Report::Lease(state));
            }
        }
    }
}

impl Message<Begin> for Recorder {
    type Reply = ();

    async fn handle(&mut self, begin: Begin, _: &mut Context<Self, ()>) {
        let id = RequestId(self.next);
        self.next += 1;
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
