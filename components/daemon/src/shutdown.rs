//! Carries out the graceful shutdown.

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
    lease::Keeper,
    membership::Prober,
    node::{Node, Phase},
};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(50);
/// Longest wait for the release of the lease. Without the release, other daemons wait for its end.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// The daemon's life from start to stop.
pub struct Stop {
    node: Arc<Node>,
    machine: Machine,
    phase: watch::Sender<Phase>,
}

impl Stop {
    /// A daemon that has not been asked to stop.
    pub fn new(node: Arc<Node>, phase: watch::Sender<Phase>) -> Self {
        let timers = &node.settings.timers;
        let leave = Duration::from_millis(timers.leave_ms);
        let limit = Duration::from_millis(timers.drain_ms);
        Self { machine: Machine::new(leave, limit), node, phase }
    }

    /// Completes when the daemon accepts no more connections.
    pub fn accepting(&self) -> impl Future<Output = ()> + Send + use<> {
        self.reached(Phase::Draining)
    }

    /// Completes when everything has ended.
    pub fn ended(&self) -> impl Future<Output = ()> + Send + use<> {
        self.reached(Phase::Stopped)
    }

    fn reached(&self, wanted: Phase) -> impl Future<Output = ()> + Send + use<> {
        let mut phase = self.phase.subscribe();
        async move {
            let _ = phase.wait_for(|phase| *phase >= wanted).await;
        }
    }

    /// Runs until a signal has stopped the daemon; returns whether nothing was cut off.
    pub async fn run(
        mut self,
        ready: impl Future<Output = ()>,
        served: JoinHandle<bool>,
        prober: ActorRef<Prober>,
        dispatcher: ActorRef<Dispatcher>,
        keeper: Keeper,
    ) -> Result<bool, Error> {
        let mut terminate = signal(SignalKind::terminate()).map_err(Error::Signals)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Signals)?;
        let mut interval = tokio::time::interval(TICK);
        let (handed_over, mut is_handed_over) = watch::channel(false);
        tokio::pin!(ready, served);
        let (mut waiting_ready, mut serving, mut handing_over) = (true, true, true);
        self.machine.handle(self.node.clock.now(), Input::Requests(1));
        loop {
            let input = tokio::select! {
                () = &mut ready, if waiting_ready => {
                    waiting_ready = false;
                    Input::Ready
                }
                finished = &mut served, if serving => {
                    serving = false;
                    // The server ends early only by a fault or by its time limit.
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
                    // The server waits for the phase.
                    Action::StopAccepting => {}
                    Action::Exit { clean } => {
                        let _ = timeout(RELEASE_TIMEOUT, keeper.release()).await;
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

    /// Batch items get half of the time limit to finish.
    fn hand_over(&self, dispatcher: ActorRef<Dispatcher>, done: watch::Sender<bool>) {
        let grace = Duration::from_millis(self.node.settings.timers.drain_ms / 2);
        tokio::spawn(async move {
            Dispatcher::drain(&dispatcher, grace).await;
            done.send_replace(true);
        });
    }
}
