//! Keeps the daemon's lease.

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

use self::reports::Reports;
use crate::{node::Clock, store};

/// Time between two looks at the clock.
const TICK: Duration = Duration::from_millis(100);

/// The own lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Number of the process; absent until the lease was acquired.
    pub epoch: Option<u64>,
    /// End of the lease.
    pub until: Time,
    /// Whether the last renewal failed because the table is down.
    pub failing: bool,
    /// Whether another process with this name has started; the lease is lost for good.
    pub superseded: bool,
    /// Whether the lease was given up.
    pub released: bool,
}

impl State {
    /// The epoch, when the lease is held at `now`.
    pub fn held(&self, now: Time) -> Option<u64> {
        let held = !self.superseded && !self.released && now < self.until;
        self.epoch.filter(|_| held)
    }
}

/// Handle of the task that keeps the lease.
///
/// The task ends after `release`, after another process has taken the name, or when the last
/// handle is dropped.
#[derive(Clone, Debug)]
pub struct Keeper {
    state: watch::Receiver<State>,
    release: watch::Sender<bool>,
}

impl Keeper {
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
        let (publish, state) = watch::channel(State::default());
        let (release, releasing) = watch::channel(false);
        let length = settings.length;
        let machine = (lease::Machine::new(settings), length);
        tokio::spawn(keep(table, clock, machine, publish, releasing));
        Self { state, release }
    }

    /// The lease, now and when it changes.
    pub fn state(&self) -> watch::Receiver<State> {
        self.state.clone()
    }

    /// Gives up the lease and waits until the table knows it.
    pub async fn release(&self) {
        self.release.send_replace(true);
        let mut state = self.state.clone();
        let ended = |state: &State| state.released || state.superseded;
        // An error means that the task has ended, so there is nothing left to wait for.
        let _ = state.wait_for(ended).await;
    }
}

async fn keep(
    table: Arc<dyn Table>,
    clock: Clock,
    (mut machine, length): (lease::Machine, Duration),
    publish: watch::Sender<State>,
    mut releasing: watch::Receiver<bool>,
) {
    let mut interval = time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut released = false;
    let mut reports = Reports::new(length);
    loop {
        let mut input = tokio::select! {
            _ = interval.tick() => Input::Tick,
            changed = releasing.changed(), if !released => {
                released = true;
                if changed.is_err() {
                    return;
                }
                Input::Release
            }
        };
        if released && releasing.has_changed().is_err() {
            return;
        }
        // Each input leads to at most one call, whose reply is the next input.
        while let Some(next) =
            step(&*table, clock, &mut machine, &publish, &mut reports, input).await
        {
            input = next;
        }
        let state = *publish.borrow();
        if state.released || state.superseded {
            return;
        }
    }
}

async fn step(
    table: &dyn Table,
    clock: Clock,
    machine: &mut lease::Machine,
    publish: &watch::Sender<State>,
    reports: &mut Reports,
    input: Input,
) -> Option<Input> {
    let mut reply = None;
    reports.check(clock.now());
    for action in machine.handle(clock.now(), input) {
        match action {
            Action::Call(call) => reply = Some(Input::Reply(store::call(table, call).await)),
            Action::Held { epoch, until } => {
                reports.held(clock.now(), until);
                publish.send_modify(|state| {
                    *state = State { epoch: Some(epoch), until, ..State::default() };
                });
            }
            Action::Failing => {
                reports.failed();
                publish.send_modify(|state| state.failing = true);
            }
            Action::Superseded => {
                reports.lost(clock.now());
                publish.send_modify(|state| state.superseded = true);
            }
            Action::Released => publish.send_modify(|state| state.released = true),
        }
    }
    reply
}
