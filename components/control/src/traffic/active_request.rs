//! State of an online request from admission to its final outcome, and the most recently finished
//! requests.

use std::{
    collections::{BTreeSet, VecDeque},
    time::Duration,
};

use crate::{
    fleet::UpstreamKey,
    time::Time,
    traffic::{
        message::{AttemptId, Request, RequestId},
        pool::PoolKey,
    },
};

/// Timeout of requests without a deadline, so that their state is bounded.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(600);
/// Finished requests that are remembered, so that a request is not admitted again after it ended.
const MAX_FINISHED_REQUESTS: usize = 4_096;

/// An admitted request without a final outcome.
#[derive(Clone, Debug)]
pub(super) struct ActiveRequest {
    pub request: Request,
    /// Deployment that the request addresses.
    pub pool: PoolKey,
    /// Time at which the caller stops waiting.
    pub deadline: Time,
    /// Attempts that are in flight.
    pub running: Vec<RunningAttempt>,
    /// Upstreams that were tried, including those of the running attempts.
    pub tried: Vec<UpstreamKey>,
    /// Whether the request waits in the queue.
    pub queued: bool,
    /// Whether a hedge or a probe was sent beside a running attempt.
    pub hedged: bool,
    /// Whether an attempt ran or may have run.
    pub may_have_run: bool,
    /// Whether part of the answer has reached the caller.
    pub delivered: bool,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct RunningAttempt {
    pub id: AttemptId,
    pub upstream: UpstreamKey,
    /// Time of dispatch.
    pub started: Time,
    pub has_first_token: bool,
    /// Consecutive silence timeouts.
    pub silences: u32,
    /// Whether the attempt probes an ejected upstream.
    pub probe: bool,
}

impl ActiveRequest {
    /// Creates the state of a request that has no attempts yet.
    pub fn new(now: Time, request: Request, pool: PoolKey) -> Self {
        Self {
            deadline: request.deadline.unwrap_or(now + DEFAULT_TIMEOUT),
            request,
            pool,
            running: Vec::new(),
            tried: Vec::new(),
            queued: false,
            hedged: false,
            may_have_run: false,
            delivered: false,
        }
    }

    pub fn attempt(&mut self, id: AttemptId) -> Option<&mut RunningAttempt> {
        self.running.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Removes the running attempt with this id and returns it.
    pub fn take(&mut self, id: AttemptId) -> Option<RunningAttempt> {
        let index = self.running.iter().position(|attempt| attempt.id == id)?;
        Some(self.running.swap_remove(index))
    }
}

/// Ids of the most recently finished requests.
#[derive(Clone, Debug, Default)]
pub(super) struct FinishedRequests {
    ids: BTreeSet<RequestId>,
    order: VecDeque<RequestId>,
}

impl FinishedRequests {
    /// Adds a request, evicting the oldest one above `MAX_FINISHED_REQUESTS`.
    pub fn insert(&mut self, id: RequestId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > MAX_FINISHED_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether the request is among the most recently finished ones.
    pub fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }
}
