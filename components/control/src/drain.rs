//! Graceful shutdown.
//!
//! A daemon that stops first fails its readiness probe and announces its leave, goes on accepting
//! until the load balancer has noticed, then finishes the requests in flight, hands over its batch
//! work, and ends.

use std::time::Duration;

use crate::time::Time;

/// Phase of a daemon's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not yet ready for requests.
    Starting,
    /// In service.
    Ready,
    /// Not ready for new requests, but still accepts them until the load balancer has noticed.
    Leaving,
    /// Finishes the requests in flight and accepts none.
    Draining,
    /// Everything has ended.
    Stopped,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Input {
    /// Time passed.
    Tick,
    /// The daemon has its configuration and can serve.
    Ready,
    /// An operator or the platform asked the daemon to stop.
    Stop,
    /// Number of requests in flight.
    Requests(u32),
    /// Batch work was handed over and the lease released.
    HandedOver,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// A phase begins.
    Enter(Phase),
    /// Tell the other daemons and stop claiming work.
    AnnounceLeave,
    /// Hand over batch work and release the lease.
    HandOver,
    /// Stop accepting connections.
    StopAccepting,
    /// End the process.
    Exit {
        /// Whether nothing was cut off.
        clean: bool,
    },
}

/// Graceful shutdown of one daemon.
#[derive(Debug)]
pub struct Machine {
    phase: Phase,
    leave: Duration,
    limit: Duration,
    stop_since: Option<Time>,
    requests: u32,
    handed_over: bool,
}

impl Machine {
    /// A daemon that accepts for `leave` after it was asked to stop, and ends after `limit` at the
    /// latest.
    pub const fn new(leave: Duration, limit: Duration) -> Self {
        Self {
            phase: Phase::Starting,
            leave,
            limit,
            stop_since: None,
            requests: 0,
            handed_over: false,
        }
    }

    /// The current phase.
    pub const fn phase(&self) -> Phase {
        self.phase
    }

    /// Takes an input and returns what to do.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        match input {
            Input::Tick => {}
            Input::Ready if self.phase == Phase::Starting => return self.enter(Phase::Ready),
            Input::Ready => {}
            Input::Stop if self.stop_since.is_none() => {
                self.stop_since = Some(now);
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
        let Some(since) = self.stop_since else { return Vec::new() };
        let elapsed = now.since(since);
        if self.phase == Phase::Leaving && elapsed >= self.leave {
            let mut actions = self.enter(Phase::Draining);
            actions.push(Action::StopAccepting);
            return actions;
        }
        let clean = self.requests == 0 && self.handed_over;
        if self.phase == Phase::Draining && (clean || elapsed >= self.limit) {
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
