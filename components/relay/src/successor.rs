//! Upstreams that take over requests which still run at a silent one.
//!
//! Most upstreams that are silent have only paused. What still runs is given up only for a slot that a broker
//! grants at another upstream, of which nothing says that it may be down.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use cyclamengrade_control::relay::{
    broker::{Charge, Class, Urgency},
    origin::Software,
    route::Route,
    selector::Key,
};
use tokio::time::sleep;

use crate::{
    flight::Flight,
    shared::Shared,
    slots::{Guard, Outcome, Placement},
};

/// Time between two requests for the slot of a batch item whose run is silent.
const BATCH_SEEK_PERIOD: Duration = Duration::from_millis(500);
/// Time between two checks whether the slot of a batch item was granted.
const GRANT_CHECK_PERIOD: Duration = Duration::from_millis(50);

impl Shared {
    /// Chooses an upstream for an online request that still runs at one of those in `excluded`, and counts the
    /// request there. Returns `None` if there is none that can start the request within `time_left`.
    pub async fn acquire_better(
        self: &Arc<Self>,
        deployment: &str,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
        time_left: Duration,
        charge: Charge,
    ) -> Option<(Flight, Placement)> {
        if !self.has_better(deployment, software, excluded) {
            return None;
        }
        let begin = self.clock.now();
        let outcome =
            self.ask_slot(&self.need(deployment, software, excluded, time_left, charge)).await;
        let Outcome::Granted { ticket, upstream, load } = outcome else { return None };
        let now = self.clock.now();
        let placement = Placement { granted: true, load, elapsed: now.since(begin) };
        let key = self.better_key(upstream, software, excluded);
        let flight = key.and_then(|key| self.flight(key, Class::Online, ticket, now));
        if flight.is_none() {
            self.give_back_slot(ticket);
        }
        flight.map(|flight| (flight, placement))
    }

    /// Waits until a batch item that still runs at an upstream gets a slot of another one. `route` returns the
    /// route of its job that is in force. Returns `None` if the upstream is no longer listed and no other one
    /// can continue the text of the item.
    pub async fn await_better(
        self: &Arc<Self>,
        silent: &Flight,
        software: Option<Software>,
        urgency: Urgency,
        route: impl Fn() -> Option<Arc<Route>>,
    ) -> Option<Flight> {
        let excluded = BTreeSet::from([silent.key]);
        let charge = self.charge_of(silent.ticket);
        loop {
            let route = route();
            let deployment = route.as_ref().and_then(|route| self.deployment(route, software));
            match deployment {
                Some(deployment) => {
                    let found =
                        self.seek_batch(deployment, software, &excluded, urgency, charge).await;
                    if found.is_some() {
                        return found;
                    }
                }
                None if self.selector().upstream(silent.key).is_none() => return None,
                None => {}
            }
            sleep(BATCH_SEEK_PERIOD).await;
        }
    }

    /// Requests the slot of a batch item and waits for it. Returns `None` if it is at an upstream that is no
    /// better than one of those in `excluded`, or if this takes long.
    async fn seek_batch(
        self: &Arc<Self>,
        deployment: &str,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
        urgency: Urgency,
        charge: Charge,
    ) -> Option<Flight> {
        if !self.has_better(deployment, software, excluded) {
            return None;
        }
        let shards = self.selector().shards(deployment, software);
        let ticket = self.want_slot(&shards, urgency, software, charge)?;
        let guard = Guard::new(self.clone(), ticket);
        let mut granted = None;
        while granted.is_none() {
            // The broker no longer knows the request, or another shard may have a slot.
            self.update_want(ticket, urgency).filter(|waited| *waited < BATCH_SEEK_PERIOD * 2)?;
            sleep(GRANT_CHECK_PERIOD).await;
            granted = self.take_granted(ticket);
        }
        let key = self.better_key(granted?, software, excluded)?;
        let flight = self.flight(key, Class::Batch, ticket, self.clock.now())?;
        // The flight frees the slot.
        guard.finish();
        Some(flight)
    }

    fn has_better(
        &self,
        deployment: &str,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
    ) -> bool {
        self.selector().has_sound(deployment, software, excluded, self.clock.running())
    }

    /// Returns the key of an upstream that was granted, if it is better than those in `excluded`.
    fn better_key(
        &self,
        upstream: u32,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
    ) -> Option<Key> {
        let (selector, running) = (self.selector(), self.clock.running());
        let key = selector.usable_key(upstream, software, excluded, running)?;
        let suits = software.is_none_or(|software| {
            selector.upstream(key).is_some_and(|upstream| upstream.software() == software)
        });
        (suits && !excluded.contains(&key) && selector.is_sound(key, running)).then_some(key)
    }
}
