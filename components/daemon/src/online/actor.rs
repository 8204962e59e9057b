//! The actor that owns the traffic decisions.

use std::{
    collections::{HashMap, VecDeque},
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cyclamengrade_control::{
    time::Time,
    traffic::{
        Action, AttemptId, Demand, Input, Machine, Refusal, Request, RequestId, Settings,
        UpstreamStatus,
    },
};
use cyclamengrade_telemetry::metrics::CONTROL_STEP_SECONDS;
use kameo::{
    Actor,
    actor::{ActorRef, WeakActorRef},
    error::Infallible,
    message::{Context, Message},
};
use metrics::{Histogram, histogram};
use tokio::{
    sync::{Notify, mpsc},
    time::sleep,
};

use super::changes::Changes;
use crate::node::Clock;

/// Time between two ticks while a request waits for its first token.
const BUSY_TICK: Duration = Duration::from_millis(5);
/// Time between two ticks otherwise.
const IDLE_TICK: Duration = Duration::from_millis(100);

/// Time between two looks at the states of the upstreams.
const CHANGES_PERIOD: Duration = Duration::from_secs(2);

/// What a request task is told to do.
#[derive(Debug)]
pub(super) enum Order {
    /// Start an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel(AttemptId),
    /// Answer the caller with a refusal; nothing follows.
    Refuse(Refused),
}

/// An attempt to start.
#[derive(Clone, Debug)]
pub(super) struct Dispatch {
    pub(super) id: AttemptId,
    pub(super) upstream: String,
    pub(super) address: SocketAddr,
    pub(super) silence: Duration,
}

/// A refusal to pass on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    pub(super) not_run: bool,
    pub(super) retry_after: Duration,
}

/// Owner of the traffic decisions; lives on the control thread.
pub(super) struct Traffic {
    machine: Machine,
    clock: Clock,
    requests: HashMap<RequestId, Entry>,
    /// Requests that wait for an upstream or for a first token.
    waiting: usize,
    pace: Arc<Pace>,
    effects: mpsc::UnboundedSender<Action>,
    steps: Histogram,
    changes: Changes,
    changes_at: Time,
}

struct Entry {
    orders: mpsc::UnboundedSender<Order>,
    waiting: bool,
}

/// How fast the ticks come.
#[derive(Default)]
struct Pace {
    busy: AtomicBool,
    woken: Notify,
}

/// Arguments of the actor.
pub(super) struct Arguments {
    pub(super) settings: Settings,
    pub(super) clock: Clock,
    pub(super) effects: mpsc::UnboundedSender<Action>,
}

impl Actor for Traffic {
    type Args = Arguments;
    type Error = Infallible;

    async fn on_start(arguments: Arguments, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let pace = Arc::new(Pace::default());
        tokio::spawn(tick(actor.downgrade(), Arc::clone(&pace)));
        Ok(Self {
            machine: Machine::new(arguments.settings),
            clock: arguments.clock,
            requests: HashMap::new(),
            waiting: 0,
            pace,
            effects: arguments.effects,
            steps: histogram!(CONTROL_STEP_SECONDS, "actor" => "traffic"),
            changes: Changes::default(),
            changes_at: Time::default(),
        })
    }
}

async fn tick(actor: WeakActorRef<Traffic>, pace: Arc<Pace>) {
    loop {
        if pace.busy.load(Ordering::Relaxed) {
            sleep(BUSY_TICK).await;
        } else {
            tokio::select! {
                () = sleep(IDLE_TICK) => {}
                () = pace.woken.notified() => continue,
            }
        }
        // Waits for the answer, so that ticks do not pile up behind a long queue.
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Tick).await.is_err() {
            return;
        }
    }
}

/// Time passed.
pub(super) struct Tick;

/// A request asks to be admitted.
pub(super) struct Arrive {
    pub(super) request: Request,
    pub(super) orders: mpsc::UnboundedSender<Order>,
}

/// Something happened.
pub(super) struct Report {
    pub(super) input: Input,
    /// Request that the input concerns, if it is one.
    pub(super) request: Option<RequestId>,
    /// Whether the task of the request ends with it.
    pub(super) last: bool,
}

/// Asks for the upstreams as operators see them.
pub(super) struct ReadStatus;

/// Asks for the demand that this daemon sees.
pub(super) struct ReadDemand;

impl Message<Tick> for Traffic {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.drive(Input::Tick);
        let now = self.clock.now();
        if now.since(self.changes_at) >= CHANGES_PERIOD {
            self.changes_at = now;
            self.changes.report(self.machine.upstream_status());
            self.changes.summarise(self.machine.deployment_status());
        }
    }
}

impl Message<Arrive> for Traffic {
    type Reply = ();

    async fn handle(&mut self, arrive: Arrive, _: &mut Context<Self, ()>) {
        let entry = Entry { orders: arrive.orders, waiting: true };
        self.requests.insert(arrive.request.id, entry);
        self.waiting += 1;
        self.set_pace();
        self.drive(Input::Arrived(arrive.request));
    }
}

impl Message<Report> for Traffic {
    type Reply = ();

    async fn handle(&mut self, report: Report, _: &mut Context<Self, ()>) {
        if let Some(request) = report.request {
            if report.last {
                self.remove(request);
            } else if matches!(report.input, Input::FirstToken { .. }) {
                self.set_waiting(request, false);
            }
        }
        self.drive(report.input);
    }
}

impl Message<ReadStatus> for Traffic {
    type Reply = Vec<UpstreamStatus>;

    async fn handle(
        &mut self,
        _: ReadStatus,
        _: &mut Context<Self, Vec<UpstreamStatus>>,
    ) -> Vec<UpstreamStatus> {
        self.machine.upstream_status()
    }
}

impl Message<ReadDemand> for Traffic {
    type Reply = Vec<Demand>;

    async fn handle(&mut self, _: ReadDemand, _: &mut Context<Self, Vec<Demand>>) -> Vec<Demand> {
        self.machine.demand()
    }
}

impl Traffic {
    fn drive(&mut self, input: Input) {
        let started = self.clock.now();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for action in self.machine.handle(self.clock.now(), input) {
                if let Some(request) = self.act(action) {
                    inputs.push_back(Input::Abandoned { request });
                }
            }
        }
        self.steps.record(self.clock.now().since(started));
    }

    /// Carries out an action; returns the request of a dispatch whose task has already ended.
    fn act(&mut self, action: Action) -> Option<RequestId> {
        match action {
            Action::Dispatch(attempt) => {
                let request = attempt.request;
                let upstream = self.machine.fleet().upstreams.get(attempt.upstream);
                let Some(upstream) = upstream else { return Some(request) };
                let dispatch = Dispatch {
                    id: attempt.id,
                    upstream: upstream.name.clone(),
                    address: upstream.address,
                    silence: attempt.silence_timeout,
                };
                self.set_waiting(request, true);
                let sent = self.order(request, Order::Dispatch(dispatch));
                (!sent).then_some(request)
            }
            Action::Cancel { attempt, request } => {
                // A task that has ended has already closed its attempts.
                self.order(request, Order::Cancel(attempt));
                None
            }
            Action::Refuse { request, refusal, not_run, retry_after } => {
                self.order(request, Order::Refuse(Refused { refusal, not_run, retry_after }));
                self.remove(request);
                None
            }
            effect @ (Action::BatchLimit { .. } | Action::Notify { .. }) => {
                // Fails only while the daemon stops.
                let _ = self.effects.send(effect);
                None
            }
        }
    }

    fn order(&self, request: RequestId, order: Order) -> bool {
        self.requests.get(&request).is_some_and(|entry| entry.orders.send(order).is_ok())
    }

    fn remove(&mut self, request: RequestId) {
        if self.requests.remove(&request).is_some_and(|entry| entry.waiting) {
            self.waiting -= 1;
            self.set_pace();
        }
    }

    fn set_waiting(&mut self, request: RequestId, waiting: bool) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        match (std::mem::replace(&mut entry.waiting, waiting), waiting) {
            (false, true) => self.waiting += 1,
            (true, false) => self.waiting -= 1,
            _ => return,
        }
        self.set_pace();
    }

    fn set_pace(&self) {
        let busy = self.waiting > 0;
        if busy != self.pace.busy.swap(busy, Ordering::Relaxed) && busy {
            self.pace.woken.notify_one();
        }
    }
}
