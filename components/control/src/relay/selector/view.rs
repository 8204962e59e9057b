//! Read-only views of the upstreams of one relay, which explain its decisions.

use std::time::Duration;

use super::{OVERLOAD_COOLDOWN, Selector, Suspicion, Upstream};
use crate::{relay::limit::Rate, time::Time};

/// An upstream as this relay sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    pub upstream: Upstream,
    /// Identifier in messages between relays.
    pub short_id: u32,
    pub shard: u32,
    pub slots: u32,
    /// Requests of this relay.
    pub own: u32,
    /// Whether its entry or one of its responses says that it accepts no new work.
    pub is_leaving: bool,
    /// Why it may be down.
    pub suspicion: Option<Suspicion>,
    /// Time until this relay uses it again.
    pub ejection: Duration,
    /// Limit that it has named.
    pub rate: Option<Rate>,
}

impl Selector {
    /// Returns the upstreams of a deployment, ordered by id. `now` is in running time.
    pub fn views(&self, deployment: &str, now: Time) -> Vec<View> {
        let view = |key| {
            let entry = self.entries.get(key)?;
            let (shard, short_id) = self.place(key)?;
            Some(View {
                upstream: entry.upstream.clone(),
                short_id,
                shard,
                slots: entry.slots(),
                own: entry.own,
                is_leaving: entry.is_leaving(),
                suspicion: entry.suspicion(now),
                ejection: entry.ejected_until.since(now),
                rate: entry.limit.rate,
            })
        };
        let mut views: Vec<View> = self.keys(deployment).iter().copied().filter_map(view).collect();
        views.sort_by(|left, right| left.upstream.id.cmp(&right.upstream.id));
        views
    }

    /// Returns what [`Self::record_refusal`] would return, without recording a refusal.
    pub fn retry_after(&self, deployment: &str, wait: Duration, now: Time) -> Duration {
        let overload = self.overloads.get(deployment);
        let current =
            overload.filter(|overload| now.since(overload.last_refusal) <= OVERLOAD_COOLDOWN);
        wait.max(current.map_or(Duration::ZERO, |overload| now.since(overload.first_refusal)))
    }
}
