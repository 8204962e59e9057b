//! Runs the state machine of the daemon's lifecycle: publishes the current phase, handles signals
//! and shuts the daemon down gracefully.

use std::{future::Future, sync::Arc, time::Duration};

use cyclamengrade_control::{
    drain::{Action, Input, Machine},
    membership,
};
use cyclamengrade_telemetry::event;
use kameo::prelude::ActorRef;
use tokio::{
    signal::unix::{SignalKind, signal},
    sync::watch,
    task::JoinHandle,
    time::timeout,
};

use crate::{
    Error,
    batch::Dispatcher,
    lease::Renewer,
    membership::Prober,
    node::{Node, Phase},
};

/// Time between two ticks of the state machine.
const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Maximum time to release the lease on exit. If the release fails, other daemons have to wait
/// until the lease expires.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Coordinates the lifecycle of the daemon from its start to its exit.
pub struct Coordinator {
    node: Arc<Node>,
    machine: Machine,
    phase: watch::Sender<Phase>,
}

impl Coordinator {
    /// Creates the coordinator of a daemon that is starting.
    pub fn new(node: Arc<Node>, phase: watch::Sender<Phase>) -> Self {
        let timers = &node.settings.timers;
        let leave = Duration::from_millis(timers.leave_ms);
        let limit = Duration::from_millis(timers.drain_ms);
        Self { machine: Machine::new(leave, limit), node, phase }
    }

    /// Completes when the daemon must stop accepting connections.
    pub fn draining(&self) -> impl Future<Output = ()> + Send + use<> {
        self.wait_for_phase(Phase::Draining)
    }

    /// Completes when the drain has finished.
    pub fn stopped(&self) -> impl Future<Output = ()> + Send + use<> {
        self.wait_for_phase(Phase::Stopped)
    }

    fn wait_for_phase(&self, wanted: Phase) -> impl Future<Output = ()> + Send + use<> {
        let mut phase = self.phase.subscribe();
        async move {
            let _ = phase.wait_for(|phase| *phase >= wanted).await;
        }
    }

    /// Runs until a signal has stopped the daemon.
    ///
    /// Returns whether every request finished and the handover completed within the time limit.
    /// `ready` completes when the daemon has its configuration, and `served` when the HTTP server
    /// has ended, with whether all of its requests finished.
    pub async fn run(
        mut self,
        ready: impl Future<Output = ()>,
        served: JoinHandle<bool>,
        prober: ActorRef<Prober>,
        dispatcher: ActorRef<Dispatcher>,
        lease_renewer: Renewer,
    ) -> Result<bool, Error> {
        let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
        let mut interval = tokio::time::interval(TICK_PERIOD);
        let (handed_over, mut is_handed_over) = watch::channel(false);
        tokio::pin!(ready, served);
        let (mut waiting_ready, mut serving, mut handing_over) = (true, true, true);
        // The HTTP server counts as one request in flight until it has ended.
        self.machine.handle(self.node.clock.now(), Input::Requests(1));
        loop {
            let input = tokio::select! {
                () = &mut ready, if waiting_ready => {
                    waiting_ready = false;
                    Input::Ready
                }
                finished = &mut served, if serving => {
                    serving = false;
                    // The server ends with requests unfinished only after a fault or at its drain
                    // timeout. They then count as in flight, so that the exit is not clean.
                    Input::Requests(u32::from(!finished.unwrap_or(false)))
                }
                _ = is_handed_over.wait_for(|done| *done), if handing_over => {
                    handing_over = false;
                    Input::HandedOver
                }
                _ = terminate.recv() => Input::Stop,
                _ = interrupt.recv() => Input::Stop,
                _ = interval.tick() => Input::Tick,
            };
            for action in self.machine.handle(self.node.clock.now(), input) {
                match action {
                    Action::Enter(phase) => self.enter(phase),
                    Action::AnnounceLeave => {
                        let _ = prober.tell(membership::Input::Leave).await;
                    }
                    Action::HandOver => self.hand_over(dispatcher.clone(), handed_over.clone()),
                    // The server stops accepting when the phase becomes `Draining`.
                    Action::StopAccepting => {}
                    Action::Exit { clean } => {
                        let _ = timeout(RELEASE_TIMEOUT, lease_renewer.release()).await;
                        event!(Stopped, daemon = self.node.settings.name.as_str());
                        return Ok(clean);
                    }
                }
            }
        }
    }

    fn enter(&self, phase: Phase) {
        let daemon = self.node.settings.name.as_str();
        match phase {
            Phase::Starting => {}
            Phase::Ready => {
                let revision = self.node.configuration.borrow().revision;
                event!(Ready, daemon = daemon, revision = revision);
            }
            Phase::Leaving => event!(Leaving, daemon = daemon),
            Phase::Draining => event!(DrainStarted),
            Phase::Stopped => event!(DrainFinished),
        }
        self.phase.send_replace(phase);
    }

    /// Starts to hand over the batch work. Running items get half of the drain timeout to finish.
    fn hand_over(&self, dispatcher: ActorRef<Dispatcher>, handed_over: watch::Sender<bool>) {
        let grace = Duration::from_millis(self.node.settings.timers.drain_ms / 2);
        tokio::spawn(async move {
            Dispatcher::drain(&dispatcher, grace).await;
            handed_over.send_replace(true);
        });
    }
}
