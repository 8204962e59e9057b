//! Which requests a relay still accepts during a planned stop.

use std::time::Duration;

use crate::{relay::route::Kind, time::Time};

/// A request is accepted if the time that is left is this many times what requests take on average.
const SAFETY_FACTOR: u32 = 2;

/// Times of a planned stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// From then on, the load balancer sends no new connections.
    pub leave_at: Time,
    /// When the requests that are still in flight get their final answers.
    pub answer_by: Time,
}

impl Stop {
    /// Whether a request is accepted that may take until `deadline`, and takes `average` as a rule.
    ///
    /// While the load balancer still sends new connections, an average request has to fit. Later, only
    /// callers with open connections come, who can turn to another relay at once. Of them, requests that
    /// cannot be repeated or end as a part of a stream are accepted only if they certainly end in time.
    pub fn accepts(&self, now: Time, kind: Kind, deadline: Time, average: Duration) -> bool {
        if deadline <= self.answer_by {
            return true;
        }
        let left = self.answer_by.since(now);
        let is_likely = average * SAFETY_FACTOR <= left;
        match kind {
            Kind::Safe | Kind::Batch => is_likely,
            Kind::Unsafe | Kind::Stream => is_likely && now < self.leave_at,
        }
    }
}
