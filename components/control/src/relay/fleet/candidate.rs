//! The order of upstreams for an online request.

use std::cmp::{Ordering, Reverse};

use crate::relay::fleet::{Count, Key};

/// An upstream that an online request may be sent to. The greatest has the least cost.
pub struct Candidate {
    /// Cost that does not depend on its requests.
    pub base: f64,
    /// Its requests.
    pub count: Count,
    /// Its slots.
    pub slots: u32,
    /// Place among equal ones.
    pub order: Reverse<usize>,
    /// Its key.
    pub key: Key,
}

impl Candidate {
    /// Free slots come before slots of batch streams, and these before a queue.
    fn cost(&self) -> f64 {
        let Count { online, batch } = self.count;
        let share = |requests: u32| f64::from(requests) / f64::from(self.slots);
        self.base
            + match () {
                () if online + batch < self.slots => share(online + batch),
                () if online < self.slots => 1.0 + share(online),
                () => 2.0 + share(online + 1 - self.slots),
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
