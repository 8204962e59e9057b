//! Use of the measures of relays for the paces and speeds of upstreams.

use std::collections::{BTreeMap, BTreeSet};

use super::{Broker, Class, Holder, Measure, Outgoing, Place, pace, speed, speed::Sample};
use crate::time::Time;

/// Largest number of paces in one acknowledgement, which goes to every relay twice a second.
const MAX_NEWS: usize = 64;

impl Broker {
    /// Limits the upstreams that were not listed before, in the shards for which this broker is asked. When most of a
    /// shard is new, this broker has just begun and nothing says that they have started.
    pub(super) fn limit_started(&mut self, former: &BTreeMap<u32, Place>) {
        let is_new = |place: &Place| {
            former.get(&place.upstream).is_none_or(|former| former.start != place.start)
        };
        // A list that is read in parts would else have most upstreams of a large fleet limited at each relay.
        let asked = self.by_shard.iter().filter(|(shard, _)| self.contacts.contains_key(shard));
        for (_, upstreams) in asked {
            let places = upstreams.iter().filter_map(|upstream| self.places.get(upstream));
            let started: Vec<u32> =
                places.filter(|place| is_new(place)).map(|place| place.upstream).collect();
            if started.len() * 2 <= upstreams.len() {
                started.into_iter().for_each(|upstream| self.paces.record_start(upstream));
            }
        }
    }

    /// Records how upstreams answered requests that hold slots.
    pub fn measure(&mut self, now: Time, from: Holder, measures: &[Measure]) -> Vec<Outgoing> {
        let mut shards = BTreeSet::new();
        for measure in measures {
            let grants = self.clients.get(&from).map(|client| &client.grants);
            let Some(grant) = grants.and_then(|grants| grants.get(&measure.ticket)).copied() else {
                continue;
            };
            let Some(place) = self.places.get(&grant.upstream).copied() else { continue };
            let (upstream, shard) = (place.upstream, place.shard);
            let usual = self.speeds.usual_first(shard).unwrap_or(measure.first);
            if self.paces.available(upstream, now).is_some() {
                self.paces.record_answer(upstream, from, measure, usual, place.slots, now);
                shards.insert(shard);
            } else if grant.class == Class::Online {
                self.speeds.record_first(shard, measure.first);
            }
            if measure.complete {
                let requests = (grant.requests + self.used(upstream).total()).div_ceil(2);
                let Measure { gap, events, .. } = *measure;
                self.speeds.record_gap(Sample { shard, upstream, requests, gap, events }, now);
            }
        }
        self.fill_all(now, shards)
    }

    /// Returns what is known of the paces of upstreams, for a broker that takes this one's place: those of the shards
    /// for which this one is asked. There are few, since reports that name more than half of a shard are ignored.
    pub fn paces(&self, now: Time) -> Vec<pace::News> {
        let mut news = self.paces.news(now);
        news.retain(|news| {
            let place = self.places.get(&news.upstream);
            place.is_some_and(|place| self.contacts.contains_key(&place.shard))
        });
        news.truncate(MAX_NEWS);
        news
    }

    /// Returns what is known of the speeds of upstreams, for a broker that takes this one's place.
    pub fn speeds(&self, now: Time) -> Vec<speed::News> {
        self.speeds.news(now)
    }
}
