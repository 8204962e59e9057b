//! The actor that runs the traffic state machine on the control thread. It passes the inputs to the
//! state machine, and sends the resulting commands to the tasks of the requests.

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

use super::status::Reporter;
use crate::node::Clock;

/// Time between two ticks while a request waits for an upstream or for its first token.
const BUSY_TICK_PERIOD: Duration = Duration::from_millis(5);
/// Time between two ticks while no request waits.
const IDLE_TICK_PERIOD: Duration = Duration::from_millis(100);

/// Minimum time between two reports of the upstreams and deployments in events and metrics.
const STATUS_REPORT_PERIOD: Duration = Duration::from_secs(2);

/// Command to the task of a request.
#[derive(Debug)]
pub(super) enum Command {
    Dispatch(Dispatch),
    Cancel(AttemptId),
    /// Refuse the request. No further command follows.
    Refuse(Refused),
}

/// Attempt that a task must start.
#[derive(Clone, Debug)]
pub(super) struct Dispatch {
    pub(super) id: AttemptId,
    pub(super) upstream: String,
    pub(super) address: SocketAddr,
    /// Time without progress after which the attempt counts as silent.
    pub(super) silence_timeout: Duration,
}

/// Refusal that a task must return to the caller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Refused {
    pub(super) refusal: Refusal,
    /// Whether the request is known not to have run.
    pub(super) not_run: bool,
    /// Time after which the caller may retry.
    pub(super) retry_after: Duration,
}

/// Actor that owns the traffic state machine; runs on the control thread.
pub(super) struct Traffic {
    machine: Machine,
    clock: Clock,
    requests: HashMap<RequestId, Entry>,
    /// Number of requests that wait for an upstream or for their first token.
    waiting_requests: usize,
    tick_rate: Arc<TickRate>,
    batch_actions: mpsc::UnboundedSender<Action>,
    step_seconds: Histogram,
    status_reporter: Reporter,
    last_status_report: Time,
}

/// Request whose task is running.
struct Entry {
    commands: mpsc::UnboundedSender<Command>,
    /// Whether the request waits for an upstream or for its first token.
    waiting: bool,
}

/// Rate of the ticks, which the actor sets and the ticking task reads.
#[derive(Default)]
struct TickRate {
    /// Whether requests wait, so that ticks are sent with `BUSY_TICK_PERIOD`.
    busy: AtomicBool,
    /// Wakes the ticking task when `busy` becomes true.
    became_busy: Notify,
}

pub(super) struct Arguments {
    pub(super) settings: Settings,
    pub(super) clock: Clock,
    /// Receives the actions `BatchLimit` and `Notify`.
    pub(super) batch_actions: mpsc::UnboundedSender<Action>,
}

impl Actor for Traffic {
    type Args = Arguments;
    type Error = Infallible;

    async fn on_start(arguments: Arguments, actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let tick_rate = Arc::new(TickRate::default());
        tokio::spawn(send_ticks(actor.downgrade(), Arc::clone(&tick_rate)));
        Ok(Self {
            machine: Machine::new(arguments.settings),
            clock: arguments.clock,
            requests: HashMap::new(),
            waiting_requests: 0,
            tick_rate,
            batch_actions: arguments.batch_actions,
            step_seconds: histogram!(CONTROL_STEP_SECONDS, "actor" => "traffic"),
            status_reporter: Reporter::default(),
            last_status_report: Time::default(),
        })
    }
}

/// Sends `Tick` to the actor until it stops.
async fn send_ticks(actor: WeakActorRef<Traffic>, tick_rate: Arc<TickRate>) {
    loop {
        if tick_rate.busy.load(Ordering::Relaxed) {
            sleep(BUSY_TICK_PERIOD).await;
        } else {
            tokio::select! {
                () = sleep(IDLE_TICK_PERIOD) => {}
                () = tick_rate.became_busy.notified() => continue,
            }
        }
        // Waits until the tick has been processed, so that ticks do not accumulate in a long
        // mailbox.
        let Some(actor) = actor.upgrade() else { return };
        if actor.ask(Tick).await.is_err() {
            return;
        }
    }
}

/// Message that lets the state machine process the passage of time.
pub(super) struct Tick;

/// Message that submits a request for admission.
pub(super) struct Arrival {
    pub(super) request: Request,
    /// Receives the commands for the task of the request.
    pub(super) commands: mpsc::UnboundedSender<Command>,
}

/// Message that passes an input to the state machine.
pub(super) struct Report {
    pub(super) input: Input,
    /// Request that the input concerns, if any.
    pub(super) request: Option<RequestId>,
    /// Whether the task of the request ends, so that it must not get further commands.
    pub(super) last: bool,
}

/// Message that asks for the state of each upstream as observed by this daemon.
pub(super) struct ReadStatus;

/// Message that asks for the request rates that this daemon sees.
pub(super) struct ReadDemand;

impl Message<Tick> for Traffic {
    type Reply = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self, ()>) {
        self.process_input(Input::Tick);
        let now = self.clock.now();
        if now.since(self.last_status_report) >= STATUS_REPORT_PERIOD {
            self.last_status_report = now;
            self.status_reporter.report_upstreams(self.machine.upstream_status());
            self.status_reporter.report_deployments(self.machine.deployment_status());
        }
    }
}

impl Message<Arrival> for Traffic {
    type Reply = ();

    async fn handle(&mut self, arrival: Arrival, _: &mut Context<Self, ()>) {
        let entry = Entry { commands: arrival.commands, waiting: true };
        self.requests.insert(arrival.request.id, entry);
        self.waiting_requests += 1;
        self.update_tick_rate();
        self.process_input(Input::Arrived(arrival.request));
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
        self.process_input(report.input);
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
    /// Passes an input to the state machine and executes the resulting actions.
    fn process_input(&mut self, input: Input) {
        let started = self.clock.now();
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for action in self.machine.handle(self.clock.now(), input) {
                if let Some(request) = self.execute_action(action) {
                    inputs.push_back(Input::Abandoned { request });
                }
            }
        }
        self.step_seconds.record(self.clock.now().since(started));
    }

    /// Executes an action. Returns the request of a dispatch that cannot be sent, because the
    /// upstream has been removed or the task of the request has ended.
    fn execute_action(&mut self, action: Action) -> Option<RequestId> {
        match action {
            Action::Dispatch(attempt) => {
                let request = attempt.request;
                let upstream = self.machine.fleet().upstreams.get(attempt.upstream);
                let Some(upstream) = upstream else { return Some(request) };
                let dispatch = Dispatch {
                    id: attempt.id,
                    upstream: upstream.name.clone(),
                    address: upstream.address,
                    silence_timeout: attempt.silence_timeout,
                };
                self.set_waiting(request, true);
                let sent = self.send_command(request, Command::Dispatch(dispatch));
                (!sent).then_some(request)
            }
            Action::Cancel { attempt, request } => {
                // A task that has ended has already cancelled its attempts.
                self.send_command(request, Command::Cancel(attempt));
                None
            }
            Action::Refuse { request, refusal, not_run, retry_after } => {
                self.send_command(
                    request,
                    Command::Refuse(Refused { refusal, not_run, retry_after }),
                );
                self.remove(request);
                None
            }
            action @ (Action::BatchLimit { .. } | Action::Notify { .. }) => {
                // Fails only while the daemon stops.
                let _ = self.batch_actions.send(action);
                None
            }
        }
    }

    /// Sends a command to the task of a request, and returns whether the task still runs.
    fn send_command(&self, request: RequestId, command: Command) -> bool {
        self.requests.get(&request).is_some_and(|entry| entry.commands.send(command).is_ok())
    }

    fn remove(&mut self, request: RequestId) {
        if self.requests.remove(&request).is_some_and(|entry| entry.waiting) {
            self.waiting_requests -= 1;
            self.update_tick_rate();
        }
    }

    fn set_waiting(&mut self, request: RequestId, waiting: bool) {
        let Some(entry) = self.requests.get_mut(&request) else { return };
        match (std::mem::replace(&mut entry.waiting, waiting), waiting) {
            (false, true) => self.waiting_requests += 1,
            (true, false) => self.waiting_requests -= 1,
            _ => return,
        }
        self.update_tick_rate();
    }

    fn update_tick_rate(&self) {
        let busy = self.waiting_requests > 0;
        if busy != self.tick_rate.busy.swap(busy, Ordering::Relaxed) && busy {
            self.tick_rate.became_busy.notify_one();
        }
    }
}
