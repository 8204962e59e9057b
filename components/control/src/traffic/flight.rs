//! One online request from admission to its final outcome.

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

/// Time that a request without a deadline gets, so that its state is bounded.
const LONGEST: Duration = Duration::from_secs(600);
/// Finished requests whose late inputs are recognised.
const RECENT: usize = 4_096;

/// An admitted request.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    /// The request.
    pub request: Request,
    /// Deployment that it addresses.
    pub pool: PoolKey,
    /// When the caller stops waiting.
    pub deadline: Time,
    /// Attempts that run.
    pub running: Vec<Try>,
    /// Upstreams that were tried, the running attempts included.
    pub tried: Vec<UpstreamKey>,
    /// Whether it waits in the queue.
    pub queued: bool,
    /// Whether a second attempt beside a running one was made.
    pub hedged: bool,
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
    /// Whether its first token arrived.
    pub progressed: bool,
    /// Silences in a row.
    pub silences: u32,
    /// Whether it probes an ejected upstream.
    pub probe: bool,
}

impl Flight {
    /// A request without attempts.
    pub fn new(now: Time, request: Request, pool: PoolKey) -> Self {
        Self {
            deadline: request.deadline.unwrap_or(now + LONGEST),
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

    /// The running attempt of this number.
    pub fn attempt(&mut self, id: AttemptId) -> Option<&mut Try> {
        self.running.iter_mut().find(|attempt| attempt.id == id)
    }

    /// Takes out the running attempt of this number.
    pub fn take(&mut self, id: AttemptId) -> Option<Try> {
        let at = self.running.iter().position(|attempt| attempt.id == id)?;
        Some(self.running.swap_remove(at))
    }
}

/// The requests that finished last.
#[derive(Clone, Debug, Default)]
pub(super) struct Recent {
    ids: BTreeSet<RequestId>,
    order: VecDeque<RequestId>,
}

impl Recent {
    /// Adds a request.
    pub fn insert(&mut self, id: RequestId) {
        if !self.ids.insert(id) {
            return;
        }
        self.order.push_back(id);
        if self.order.len() > RECENT
            && let Some(oldest) = self.order.pop_front()
        {
            self.ids.remove(&oldest);
        }
    }

    /// Whether the request finished.
    pub fn contains(&self, id: RequestId) -> bool {
        self.ids.contains(&id)
    }
}
