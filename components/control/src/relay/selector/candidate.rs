//! Ranking of the upstreams that an online request may be sent to.

use std::cmp::{Ordering, Reverse};

use crate::relay::selector::{Counts, Key};

/// An upstream that an online request may be sent to. The greatest candidate has the lowest cost.
pub struct Candidate {
    /// Cost that does not depend on the load of the upstream.
    pub base_cost: f64,
    /// Requests at the upstream.
    pub counts: Counts,
    /// Number of slots, at least one.
    pub slots: u32,
    /// Breaks ties; the lowest index wins.
    pub order: Reverse<usize>,
    pub key: Key,
}

impl Candidate {
    /// Returns the cost of sending one more request. Free slots are cheaper than slots held by batch
    /// streams, and these are cheaper than queueing.
    fn cost(&self) -> f64 {
        let Counts { online, batch } = self.counts;
        let per_slot = |requests: u32| f64::from(requests) / f64::from(self.slots);
        self.base_cost
            + match () {
                () if online + batch < self.slots => per_slot(online + batch),
                () if online < self.slots => 1.0 + per_slot(online),
                () => 2.0 + per_slot(online + 1 - self.slots),
            }
    }
}

impl Ord for Candidate {
    fn cmp(&self, other: &Self) -> Ordering {
        other.cost().total_cmp(&self.cost()).then(self.order.cmp(&other.order))
    }
}

impl PartialOrd for Candidate {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Candidate {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Candidate {}
