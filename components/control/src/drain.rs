//! Graceful shutdown.
//!
//! When asked to stop, a daemon first fails its readiness probe, tells the other daemons that it is
//! leaving and starts to hand over its batch work. It keeps accepting requests until the load
//! balancer has had time to take it out of rotation, then stops accepting and finishes the requests
//! in flight. It exits once these and the handover are complete, or when its time limit is over.

use std::time::Duration;

use crate::time::Time;

/// Lifecycle phase of a daemon, in the order in which the phases follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Has no configuration yet and cannot serve.
    Starting,
    /// Accepts and serves requests.
    Ready,
    /// Fails the readiness probe, but still accepts requests until the load balancer has taken the
    /// daemon out of rotation.
    Leaving,
    /// Accepts no requests and finishes those in flight.
    Draining,
    /// Finished; the process exits.
    Stopped,
}

/// Event that the state machine handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The daemon has its configuration and can serve.
    Ready,
    /// An operator or the platform has asked the daemon to stop.
    Stop,
    /// Number of requests in flight.
    Requests(u32),
    /// The batch work has been handed over and the lease released.
    HandedOver,
}

/// Action that the state machine requests from the daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A new phase has begun.
    Enter(Phase),
    /// Tell the other daemons that this one is leaving, and claim no more work.
    AnnounceLeave,
    /// Hand over the batch work and release the lease.
    HandOver,
    /// Stop accepting connections.
    StopAccepting,
    /// End the process.
    Exit {
        /// Whether every request was finished and the handover completed within the time limit.
        clean: bool,
    },
}

/// State machine of the graceful shutdown of one daemon.
#[derive(Debug)]
pub struct Machine {
    phase: Phase,
    leave_duration: Duration,
    time_limit: Duration,
    stop_requested: Option<Time>,
    requests: u32,
    handed_over: bool,
}

impl Machine {
    /// Creates the state machine of a daemon that accepts requests for `leave_duration` after it
    /// has been asked to stop, and exits at most `time_limit` after it has been asked.
    pub const fn new(leave_duration: Duration, time_limit: Duration) -> Self {
        Self {
            phase: Phase::Starting,
            leave_duration,
            time_limit,
            stop_requested: None,
            requests: 0,
            handed_over: false,
        }
    }

    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => {}
            Input::Ready if self.phase == Phase::Starting => return self.enter(Phase::Ready),
            Input::Ready => {}
            Input::Stop if self.stop_requested.is_none() => {
                self.stop_requested = Some(now);
                let mut actions = self.enter(Phase::Leaving);
                actions.extend([Action::AnnounceLeave, Action::HandOver]);
                return actions;
            }
            Input::Stop => {}
            Input::Requests(requests) => self.requests = requests,
            Input::HandedOver => self.handed_over = true,
        }
        self.advance(now)
    }

    fn advance(&mut self, now: Time) -> Vec<Action> {
        let Some(since) = self.stop_requested else { return Vec::new() };
        let elapsed = now.since(since);
        if self.phase == Phase::Leaving && elapsed >= self.leave_duration {
            let mut actions = self.enter(Phase::Draining);
            actions.push(Action::StopAccepting);
            return actions;
        }
        let clean = self.requests == 0 && self.handed_over;
        if self.phase == Phase::Draining && (clean || elapsed >= self.time_limit) {
            let mut actions = self.enter(Phase::Stopped);
            actions.push(Action::Exit { clean });
            return actions;
        }
        Vec::new()
    }

    fn enter(&mut self, phase: Phase) -> Vec<Action> {
        self.phase = phase;
        vec![Action::Enter(phase)]
    }
}
