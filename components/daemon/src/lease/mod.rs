//! The task that acquires, renews and releases the lease of this daemon.

mod reports;

use std::{
    collections::hash_map::RandomState,
    hash::{BuildHasher, Hasher},
    sync::Arc,
    time::Duration,
};

use cyclamengrade_control::{
    lease::{self, Action, Input},
    time::Time,
};
use cyclamengrade_platform::Table;
use cyclamengrade_settings as settings;
use tokio::{
    sync::watch,
    time::{self, MissedTickBehavior},
};

use self::reports::Reporter;
use crate::{node::Clock, store};

/// Time between two ticks of the state machine.
const TICK_PERIOD: Duration = Duration::from_millis(100);

/// State of this daemon's lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Number of this process among those that have run under this name; `None` until the lease is
    /// acquired.
    pub epoch: Option<u64>,
    /// Time at which the lease ends, unless it is renewed.
    pub until: Time,
    /// Whether the latest attempt to acquire or renew the lease failed because the table is
    /// unavailable.
    pub failing: bool,
    /// Whether another process with this name has started; this one has lost its lease permanently.
    pub superseded: bool,
    /// Whether the lease has been released.
    pub released: bool,
}

impl State {
    /// Returns the epoch if the lease is held at `now`.
    pub fn held_epoch(&self, now: Time) -> Option<u64> {
        let held = !self.superseded && !self.released && now < self.until;
        self.epoch.filter(|_| held)
    }
}

/// Handle of the task that renews the lease.
///
/// The task ends after the lease is released, after another process with the same name has started,
/// or when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct Renewer {
    state: watch::Receiver<State>,
    release: watch::Sender<bool>,
}

impl Renewer {
    /// Starts a task on the current runtime that acquires and renews the lease of `daemon`.
    pub fn start(
        table: Arc<dyn Table>,
        clock: Clock,
        daemon: &str,
        settings: &settings::Lease,
    ) -> Self {
        let settings = lease::Settings {
            daemon: daemon.to_owned(),
            instance: RandomState::new().build_hasher().finish(),
            length: Duration::from_millis(settings.length_ms),
            renewal: Duration::from_millis(settings.renewal_ms),
        };
        let (state_sender, state) = watch::channel(State::default());
        let (release, release_receiver) = watch::channel(false);
        let length = settings.length;
        let machine = (lease::Machine::new(settings), length);
        tokio::spawn(run(table, clock, machine, state_sender, release_receiver));
        Self { state, release }
    }

    /// Returns a receiver of the state of the lease and its changes.
    pub fn state(&self) -> watch::Receiver<State> {
        self.state.clone()
    }

    /// Releases the lease and waits until the release is in the table.
    pub async fn release(&self) {
        self.release.send_replace(true);
        let mut state = self.state.clone();
        let ended = |state: &State| state.released || state.superseded;
        // An error means that the task has ended and there is nothing left to wait for.
        let _ = state.wait_for(ended).await;
    }
}

/// Drives the state machine of a lease of this length until the lease is released or superseded, or
/// the last handle is dropped.
async fn run(
    table: Arc<dyn Table>,
    clock: Clock,
    (mut machine, length): (lease::Machine, Duration),
    state_sender: watch::Sender<State>,
    mut release_receiver: watch::Receiver<bool>,
) {
    let mut interval = time::interval(TICK_PERIOD);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut released = false;
    let mut reporter = Reporter::new(length);
    loop {
        let mut input = tokio::select! {
            _ = interval.tick() => Input::Tick,
            changed = release_receiver.changed(), if !released => {
                released = true;
                if changed.is_err() {
                    return;
                }
                Input::Release
            }
        };
        if released && release_receiver.has_changed().is_err() {
            return;
        }
        // Each input leads to at most one call, whose reply is the next input.
        while let Some(next) =
            step(&*table, clock, &mut machine, &state_sender, &mut reporter, input).await
        {
            input = next;
        }
        let state = *state_sender.borrow();
        if state.released || state.superseded {
            return;
        }
    }
}

/// Handles one input and returns the reply to the call that it leads to, if any.
async fn step(
    table: &dyn Table,
    clock: Clock,
    machine: &mut lease::Machine,
    state_sender: &watch::Sender<State>,
    reporter: &mut Reporter,
    input: Input,
) -> Option<Input> {
    let mut reply = None;
    reporter.check_expiry(clock.now());
    for action in machine.handle(clock.now(), input) {
        match action {
            Action::Call(call) => reply = Some(Input::Reply(store::call(table, call).await)),
            Action::Held { epoch, until } => {
                reporter.lease_held(clock.now(), until);
                state_sender.send_modify(|state| {
                    *state = State { epoch: Some(epoch), until, ..State::default() };
                });
            }
            Action::Failing => {
                reporter.renewal_failed();
                state_sender.send_modify(|state| state.failing = true);
            }
            Action::Superseded => {
                reporter.lease_lost(clock.now());
                state_sender.send_modify(|state| state.superseded = true);
            }
            Action::Released => state_sender.send_modify(|state| state.released = true),
        }
    }
    reply
}
