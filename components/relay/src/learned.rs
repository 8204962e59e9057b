//! What this relay was told by brokers of the paces and speeds of upstreams.
//!
//! It is passed on to the broker that takes their place, which would otherwise have to learn it anew.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Mutex, MutexGuard},
    time::Duration,
};

use cyclamengrade_control::{
    relay::broker::{Sync, pace, speed},
    time::Time,
};
use cyclamengrade_peer::slots::Ack;

use crate::shared::{Shared, lock};

/// Time for which a pace is passed on.
const MAX_PACE_AGE: Duration = Duration::from_secs(10);
/// Time for which a speed is passed on. The hardware of an upstream lasts, its neighbours do not.
const MAX_SPEED_AGE: Duration = Duration::from_secs(120);
/// The speeds are in every such acknowledgement, since they change slowly.
const SPEED_PERIOD: u64 = 64;

/// News with the shard of the upstream, the time at which they arrived and the broker that sent them.
#[derive(Clone, Copy, Debug)]
struct Told<T> {
    news: T,
    shard: u32,
    at: Time,
    by: SocketAddr,
}

#[derive(Debug, Default)]
struct State {
    paces: BTreeMap<u32, Told<pace::News>>,
    speeds: BTreeMap<u32, Told<speed::News>>,
}

/// Paces and speeds by upstream.
#[derive(Debug, Default)]
pub struct Learned(Mutex<State>);

impl Learned {
    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.0)
    }
}

impl Shared {
    /// Adds what the sender keeps as a broker to an acknowledgement.
    pub fn add_learned(&self, ack: &mut Ack, now: Time) {
        let broker = self.broker_state();
        ack.paces = broker.paces(now);
        if ack.sequence.is_multiple_of(SPEED_PERIOD) {
            ack.speeds = broker.speeds(now);
        }
    }

    /// Takes over what a broker tells of its upstreams.
    pub fn learn(&self, by: SocketAddr, ack: &Ack, now: Time) {
        let brokers = self.broker_addresses();
        let shard_of = |upstream: u32| self.selector().shard_of(upstream);
        // A former broker does not know what happened since.
        let is_broker = |shard: u32| brokers.get(&shard).is_none_or(|broker| *broker == by);
        let mut state = self.learned.state();
        state.paces.retain(|_, told| {
            now.since(told.at) < MAX_PACE_AGE && brokers.get(&told.shard) != Some(&by)
        });
        state.speeds.retain(|_, told| now.since(told.at) < MAX_SPEED_AGE);
        for told in state.speeds.values_mut() {
            if brokers.get(&told.shard) == Some(&by) {
                // It was sent what this relay knows, and has learned the rest itself.
                told.by = by;
            }
        }
        for news in &ack.paces {
            let shard = shard_of(news.upstream).filter(|shard| is_broker(*shard));
            if let Some(shard) = shard {
                state.paces.insert(news.upstream, Told { news: *news, shard, at: now, by });
            }
        }
        for news in &ack.speeds {
            let shard = shard_of(news.upstream).filter(|shard| is_broker(*shard));
            if let Some(shard) = shard {
                state.speeds.insert(news.upstream, Told { news: *news, shard, at: now, by });
            }
        }
    }

    /// Returns the pace and the slowness of an upstream that a broker told last.
    pub fn told(&self, upstream: u32) -> (Option<u32>, Option<f64>) {
        let state = self.learned.state();
        let pace = state.paces.get(&upstream).map(|told| told.news.limit);
        let speed = state.speeds.get(&upstream);
        (pace, speed.map(|told| f64::from(told.news.slowness_milli) / 1_000.0))
    }

    /// Adds what other brokers told to a message to the broker at an address. `brokers` are those that this relay
    /// uses, by shard.
    pub fn add_told(
        &self,
        to: SocketAddr,
        brokers: &BTreeMap<u32, SocketAddr>,
        sync: &mut Sync,
        now: Time,
    ) {
        let state = self.learned.state();
        let is_for = |shard: u32, by: SocketAddr| by != to && brokers.get(&shard) == Some(&to);
        let paces = state.paces.values().filter(|told| is_for(told.shard, told.by));
        sync.paces.extend(paces.map(|told| {
            let elapsed = now.since(told.at);
            let pause = told.news.pause.saturating_sub(elapsed);
            pace::News { pause, age: told.news.age + elapsed, ..told.news }
        }));
        let speeds = state.speeds.values().filter(|told| is_for(told.shard, told.by));
        sync.speeds.extend(
            speeds.map(|told| speed::News { age: told.news.age + now.since(told.at), ..told.news }),
        );
    }
}
