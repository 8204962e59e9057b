//! Choice of the request that gets a slot next, and of the upstream.

use std::collections::BTreeSet;

use super::{
    Ask, Broker, Class, Grant, Holder, LOOKAHEAD, Place, Ticket,
    queue::{BatchKey, Waiting},
    view::Rank,
};
use crate::{relay::origin::Software, time::Time};

/// Whether an upstream accepts a request.
fn may_serve(place: &Place, ask: &Ask) -> bool {
    !place.leaving
        && !ask.avoid.contains(&place.upstream)
        && ask.software.is_none_or(|software| software == place.software)
}

/// Returns a part of the slots of an upstream in thousandths.
fn permille(part: u32, slots: u32) -> u64 {
    u64::from(part) * 1_000 / u64::from(slots.max(1))
}

impl Broker {
    /// Returns the upstreams that accept a request.
    pub(super) fn accepting(&self, ask: &Ask) -> impl Iterator<Item = &Place> {
        self.shard(ask.shard).filter(move |place| may_serve(place, ask))
    }

    /// Returns the number of free slots of an upstream that its limit allows to use now.
    pub(super) fn free(&self, place: &Place, now: Time) -> u32 {
        let free = place.slots.saturating_sub(self.used(place.upstream).total());
        free.min(self.limits.available(place.upstream, now).unwrap_or(u32::MAX))
    }

    /// Returns the number of free slots of an upstream that its pace allows to use as well.
    pub(super) fn open(&self, place: &Place, now: Time) -> u32 {
        let open = self.paces.available(place.upstream, now).unwrap_or(u32::MAX);
        self.free(place, now).min(open)
    }

    /// Returns the next waiting online request that gets a free slot.
    ///
    /// A request whose relay has a connection to the upstream may overtake earlier ones while the
    /// first of them has more than half of its time left, but none that continues a stream, and none of
    /// another account.
    pub(super) fn next_grant(&self, now: Time, shard: u32) -> Option<(Holder, Ticket, u32)> {
        let queue = self.queues.get(&shard)?;
        let mut first = None;
        let mut first_account = None;
        for (holder, waiting) in queue.online().take(LOOKAHEAD) {
            let Some(upstream) = self.free_place(now, &waiting.ask) else {
                if !waiting.ask.is_restricted() {
                    break;
                }
                continue;
            };
            let grant = (holder, waiting.ask.ticket, upstream);
            let may_wait = waiting.ask.software.is_none()
                && now.since(waiting.since) * 2 < waiting.start_by.since(waiting.since);
            let account = waiting.ask.charge.account;
            let may_overtake = *first_account.get_or_insert(account) == account;
            let is_connected = waiting.ask.connected.contains(&upstream);
            if (is_connected && may_overtake) || (first.is_none() && !may_wait) {
                return Some(grant);
            }
            first.get_or_insert(grant);
        }
        first
    }

    pub(super) fn next_online(
        &self,
        shard: u32,
        skipped: &BTreeSet<(Holder, Ticket)>,
    ) -> Option<(Holder, Waiting)> {
        let queue = self.queues.get(&shard)?;
        let next = queue
            .online()
            .find(|(holder, waiting)| !skipped.contains(&(*holder, waiting.ask.ticket)));
        next.map(|(holder, waiting)| (holder, waiting.clone()))
    }

    /// Returns the upstream with a free slot that suits an online request best: one that is
    /// not slow, then one with an open connection, then one in the same data centre, then the least used one.
    ///
    /// Paused upstreams are used only if there is no other, however full the others are: a failed
    /// upstream has free slots because it fails.
    pub(super) fn free_place(&self, now: Time, ask: &Ask) -> Option<u32> {
        let is_paused = |place: &Place| self.paces.is_paused(place.upstream, now);
        let has_sound = self.accepting(ask).any(|place| !is_paused(place));
        let usable = self
            .accepting(ask)
            .filter(|place| self.free(place, now) > 0 && !(has_sound && is_paused(place)));
        let best = usable.min_by_key(|place| {
            (
                self.rank(now, place, ask),
                // Spreads equal choices over the upstreams.
                place.upstream.wrapping_add(ask.ticket.0 as u32).wrapping_mul(0x9e37_79b9),
            )
        });
        best.map(|place| place.upstream)
    }

    /// Returns how well an upstream with a free slot suits an online request.
    pub(super) fn rank(&self, now: Time, place: &Place, ask: &Ask) -> Rank {
        let used = self.used(place.upstream).total();
        Rank {
            is_slow: self.speeds.is_slow(place.upstream, now),
            is_unconnected: !ask.connected.contains(&place.upstream),
            is_remote: place.data_centre != ask.data_centre,
            load_permille: permille(used, place.slots),
        }
    }

    /// Returns the least urgent batch stream at an upstream that an online request may use.
    pub(super) fn least_urgent(&self, now: Time, ask: &Ask) -> Option<(Holder, Ticket)> {
        self.least_urgent_at(|upstream| {
            self.limits.available(upstream, now) != Some(0)
                && !self.paces.is_paused(upstream, now)
                && self.places.get(&upstream).is_some_and(|place| {
                    place.shard == ask.shard
                        && may_serve(place, ask)
                        // An overfull upstream gives its slots back first.
                        && self.used(upstream).total() <= place.slots
                })
        })
    }

    /// Returns the least urgent batch stream at the upstreams that `is_usable` accepts, first of those
    /// whose accounts hold more than an equal share of the batch slots.
    pub(super) fn least_urgent_at(
        &self,
        is_usable: impl Fn(u32) -> bool,
    ) -> Option<(Holder, Ticket)> {
        let streams = self.clients.iter().flat_map(|(holder, client)| {
            let grants = client.grants.iter();
            grants.map(move |(ticket, grant)| (*holder, *ticket, grant))
        });
        let batch = streams
            .filter(|(_, _, grant)| grant.class == Class::Batch && is_usable(grant.upstream));
        let is_above = |grant: &Grant| {
            let queue = self.queues.get(&grant.shard);
            queue.is_some_and(|queue| queue.batch().is_above(grant.charge.account))
        };
        let least = batch.max_by_key(|(holder, ticket, grant)| {
            (is_above(grant), grant.urgency, *holder, *ticket)
        });
        least.map(|(holder, ticket, _)| (holder, ticket))
    }

    /// Returns the most urgent batch item for which one of the upstreams in `usable` has a free slot,
    /// and the upstream with the largest share of free slots that suits it.
    pub(super) fn next_batch(
        &self,
        now: Time,
        shard: u32,
        usable: &[Place],
    ) -> Option<(BatchKey, u32)> {
        let queue = self.queues.get(&shard)?;
        let free: Vec<&Place> = usable.iter().filter(|place| self.open(place, now) > 0).collect();
        let suits = |place: &Place, software: Option<Software>| {
            software.is_none_or(|software| software == place.software)
        };
        let has_place = |software| free.iter().any(|place| suits(place, software));
        let (key, software) = queue.batch().next(has_place)?;
        let suitable = free.iter().filter(|place| suits(place, software));
        let best = suitable.max_by_key(|place| permille(self.open(place, now), place.slots))?;
        Some((key, best.upstream))
    }
}
