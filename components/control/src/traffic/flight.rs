//! One online request from admission to its final outcome.

use crate::{
    fleet::UpstreamKey,
    time::Time,
    traffic::message::{AttemptId, Request},
};

/// An admitted request.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    /// The request.
    pub request: Request,
    /// Attempts that run.
    pub running: Vec<Try>,
    /// Upstreams that were tried, the running attempts included.
    pub tried: Vec<UpstreamKey>,
    /// Whether an attempt ran, or may have run.
    pub may_have_run: bool,
    /// Whether a part of the answer reached the caller.
    pub delivered: bool,
}

/// An attempt that runs.
#[derive(Clone, Copy, Debug)]
pub(super) struct Try {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Upstream that serves it.
    pub upstream: UpstreamKey,
    /// When it was dispatched.
    pub started: Time,
    /// When its first token arrived.
    pub first: Option<Time>,
}

impl Flight {
    /// A request without attempts.
    pub const fn new(request: Request) -> Self {
        Self {
            request,
            running: Vec::new(),
            tried: Vec::new(),
            may_have_run: false,
            delivered: false,
        }
    }

    /// Whether the caller has stopped waiting.
    pub fn expired(&self, now: Time) -> bool {
        self.request.deadline.is_some_and(|deadline| deadline <= now)
    }

    /// The running attempt of this number.
    pub fn attempt(&mut self, id: AttemptId) -> Option<&mut Try> {
        self.running.iter_mut().find(|attempt| attempt.id == id)
    }
}
