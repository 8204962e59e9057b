//! Upstreams as one relay sees them: their addresses, its own requests there, and their failures.
//!
//! Brokers choose the upstreams of requests, see [`broker`](crate::relay::broker). Without an answer
//! of a broker, the relay chooses one itself from what it knows.

pub mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

use crate::{
    hash::{self, short},
    relay::{
        broker::Place,
        failure::Failure,
        limit::{Limit, News},
        origin::Software,
        shard,
    },
    time::Time,
};

new_key_type! {
    /// Key of an upstream in a [`Selector`].
    pub struct Key;
}

/// Slots assumed for an upstream that does not state their number.
const DEFAULT_SLOTS: u32 = 4;
/// Ejection time after the first failure of an upstream; doubled for each further failure.
const MIN_EJECTION: Duration = Duration::from_millis(300);
/// Longest ejection time of an upstream.
const MAX_EJECTION: Duration = Duration::from_secs(4);
/// Doublings after which the ejection time exceeds [`MAX_EJECTION`].
const MAX_EJECTION_DOUBLINGS: u32 = 4;
/// Consecutive failures after which a broken response ejects an upstream.
const BROKEN_FAILURE_THRESHOLD: u32 = 3;
/// Time without any byte from an upstream with requests in flight, after which it counts as
/// stalled.
const STALL_TIMEOUT: Duration = Duration::from_millis(600);
/// Weight of a new sample in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Share of the latency objective that the expected latency may use; the rest covers the error of
/// the estimate.
const OBJECTIVE_SHARE: f64 = 0.8;
/// Time without a refusal after which an overload is over. Several times the interval between two
/// refusals of one relay during an overload.
const OVERLOAD_COOLDOWN: Duration = Duration::from_millis(700);
/// Service time assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(500);
/// Time to first byte assumed before the first sample.
const INITIAL_RESPONSE_TIME: Duration = Duration::from_millis(50);

/// An upstream as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identifies one start of the upstream.
    pub id: String,
    /// Deployment that the upstream serves.
    pub deployment: String,
    pub address: std::net::SocketAddr,
    pub data_centre: String,
    /// Version of the upstream's software.
    pub version: String,
    /// Number of requests that the upstream runs concurrently.
    pub slots: Option<u32>,
    /// Whether the upstream accepts no new work.
    pub leaving: bool,
    /// Identifies one start of an upstream that keeps its id across restarts; `None` if its entry
    /// does not state it.
    pub born: Option<u64>,
}

impl Upstream {
    /// Returns the identifier of its software.
    pub fn software(&self) -> Software {
        Software::new(&self.deployment, &self.version)
    }

    /// Returns a hash that differs for each start of the upstream.
    fn start(&self) -> u64 {
        let born = self.born.map(|born| born.to_string()).unwrap_or_default();
        hash::stable(&[&self.address.to_string(), &self.version, &born])
    }

    /// Whether this is the same start as another one with the same id. What is known of one start says
    /// nothing about the next.
    pub fn is_same_start(&self, other: &Self) -> bool {
        self.born == other.born
            && self.address == other.address
            && self.deployment == other.deployment
            && self.version == other.version
    }
}

/// Why an upstream may be down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Suspicion {
    /// Nothing arrived from it for a time. It may have paused, as a loaded upstream does, and go on.
    Silent,
    /// A connection or a response failed.
    Failed,
}

struct Entry {
    upstream: Upstream,
    software: Software,
    /// Hash of the upstream's id.
    hash: u64,
    short_id: u32,
    /// Requests of this relay.
    own: u32,
    /// Failures since the last byte from the upstream, without [`Failure::NotRun`].
    failures: u32,
    ejected_until: Time,
    /// Why it was last ejected.
    ejected_for: Suspicion,
    /// Whether a response of this start of the upstream said that it is leaving.
    announced_leaving: bool,
    /// Limit on the requests that this start of the upstream takes from all relays.
    limit: Limit,
    last_byte: Time,
    /// Start of the first request since this relay last had none at the upstream.
    busy_since: Option<Time>,
}

impl Entry {
    fn slots(&self) -> u32 {
        self.upstream.slots.unwrap_or(DEFAULT_SLOTS).max(1)
    }

    const fn is_leaving(&self) -> bool {
        self.upstream.leaving || self.announced_leaving
    }

    fn is_stalled(&self, now: Time) -> bool {
        let since = self.busy_since.map(|start| start.max(self.last_byte));
        since.is_some_and(|since| now.since(since) > STALL_TIMEOUT)
    }

    /// Returns why the upstream may be down, unless nothing says so.
    fn suspicion(&self, now: Time) -> Option<Suspicion> {
        match () {
            () if self.ejected_until > now => Some(self.ejected_for),
            () if self.is_stalled(now) => Some(Suspicion::Silent),
            () => None,
        }
    }
}

/// Moving averages of the latencies of one deployment.
#[derive(Clone, Copy, Debug)]
struct Latencies {
    /// Time that an online request takes at its upstream.
    service: Duration,
    /// Time to first byte.
    response: Duration,
}

impl Default for Latencies {
    fn default() -> Self {
        Self { service: INITIAL_SERVICE_TIME, response: INITIAL_RESPONSE_TIME }
    }
}

/// Consecutive refusals of one deployment, each within [`OVERLOAD_COOLDOWN`] of the previous one.
#[derive(Clone, Copy, Debug)]
struct Overload {
    first_refusal: Time,
    last_refusal: Time,
}

/// A choice of an upstream without a broker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    Send(Key),
    /// No upstream accepts work. The caller may retry after the duration.
    Refuse(Duration),
}

/// Returns the identifier of an upstream in messages between relays.
pub fn short_id(id: &str) -> u32 {
    short(hash::stable(&[id]))
}

/// The upstreams that this relay may use, with its own requests and the failures there.
///
/// Failures and silence are judged in running time, see [`Stopwatch`](crate::relay::running::Stopwatch): the
/// pauses of this relay are no silence of the upstreams. The ages of limits and refusals are in monotonic time.
pub struct Selector {
    data_centre: String,
    entries: SlotMap<Key, Entry>,
    by_id: BTreeMap<String, Key>,
    by_deployment: BTreeMap<String, Vec<Key>>,
    by_short_id: BTreeMap<u32, Key>,
    /// Latencies by deployment.
    latencies: BTreeMap<String, Latencies>,
    /// Overloads by deployment.
    overloads: BTreeMap<String, Overload>,
}

impl Selector {
    /// Creates a selector without upstreams for a relay in `data_centre`.
    pub fn new(data_centre: impl Into<String>) -> Self {
        Self {
            data_centre: data_centre.into(),
            entries: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_deployment: BTreeMap::new(),
            by_short_id: BTreeMap::new(),
            latencies: BTreeMap::new(),
            overloads: BTreeMap::new(),
        }
    }

    /// Replaces the list of upstreams. Returns the ids of those that were removed or started again. A new
    /// start has another key, so that what arrives late from the earlier one is not recorded for it.
    pub fn set_upstreams(&mut self, upstreams: &BTreeMap<String, Upstream>) -> Vec<String> {
        let is_gone = |(id, key): &(&String, &Key)| {
            let known = self.entries.get(**key);
            let listed = upstreams.get(*id);
            !known.zip(listed).is_some_and(|(known, listed)| known.upstream.is_same_start(listed))
        };
        let removed: Vec<String> =
            self.by_id.iter().filter(is_gone).map(|(id, _)| id.clone()).collect();
        for id in &removed {
            if let Some(key) = self.by_id.remove(id) {
                self.entries.remove(key);
            }
        }
        for (id, upstream) in upstreams {
            match self.by_id.get(id).and_then(|key| self.entries.get_mut(*key)) {
                Some(entry) => entry.upstream = upstream.clone(),
                None => {
                    let key = self.entries.insert(Entry {
                        upstream: upstream.clone(),
                        software: upstream.software(),
                        hash: hash::stable(&[id]),
                        short_id: short_id(id),
                        own: 0,
                        failures: 0,
                        ejected_until: Time::default(),
                        ejected_for: Suspicion::Failed,
                        announced_leaving: false,
                        limit: Limit::default(),
                        last_byte: Time::default(),
                        busy_since: None,
                    });
                    self.by_id.insert(id.clone(), key);
                }
            }
        }
        self.by_deployment.clear();
        self.by_short_id.clear();
        for (key, entry) in &self.entries {
            self.by_deployment.entry(entry.upstream.deployment.clone()).or_default().push(key);
            self.by_short_id.insert(entry.short_id, key);
        }
        removed
    }

    /// Returns the key of the upstream with this id, if it is listed.
    pub fn key_of(&self, id: &str) -> Option<Key> {
        self.by_id.get(id).copied()
    }

    /// Returns the upstream with this id, if it is listed.
    pub fn upstream_of(&self, id: &str) -> Option<&Upstream> {
        self.upstream(self.key_of(id)?)
    }

    /// Returns the upstream with this id if no byte of it has arrived for at least `silence`.
    pub fn silent_upstream(&self, id: &str, silence: Duration, now: Time) -> Option<Upstream> {
        let entry = self.entries.get(*self.by_id.get(id)?)?;
        (now.since(entry.last_byte) >= silence).then(|| entry.upstream.clone())
    }

    /// Returns the time for which nothing has arrived from an upstream, or `None` if nothing ever has.
    pub fn quiet_time(&self, key: Key, now: Time) -> Option<Duration> {
        let entry = self.entries.get(key)?;
        (entry.last_byte != Time::default()).then(|| now.since(entry.last_byte))
    }

    /// Returns how many upstreams of a deployment accept new work and, if it is given, have this software,
    /// and how many of them may be down.
    pub fn choices(
        &self,
        deployment: &str,
        software: Option<Software>,
        now: Time,
    ) -> (usize, usize) {
        let accepting = self.accepting(deployment, software).count();
        (accepting, accepting - self.sound(deployment, software, now).count())
    }

    /// Forgets the failures and the silence of an upstream that another relay reaches, since the link of
    /// this one caused them.
    pub fn clear_suspicion(&mut self, id: &str, now: Time) {
        if let Some(key) = self.by_id.get(id).copied() {
            self.record_bytes(key, now);
        }
    }

    /// Returns the upstream of a key, unless it was removed.
    pub fn upstream(&self, key: Key) -> Option<&Upstream> {
        self.entries.get(key).map(|entry| &entry.upstream)
    }

    /// Returns the key of an upstream that may be used for new work, from its identifier in messages. One that
    /// is silent may be used if all upstreams of its deployment are that accept work, are not in `tried` and,
    /// if it is given, have this software.
    pub fn usable_key(
        &self,
        short_id: u32,
        software: Option<Software>,
        tried: &BTreeSet<Key>,
        now: Time,
    ) -> Option<Key> {
        let key = *self.by_short_id.get(&short_id)?;
        let entry = self.entries.get(key)?;
        let deployment = &entry.upstream.deployment;
        let is_usable = !entry.is_leaving()
            && match entry.suspicion(now) {
                None => true,
                Some(Suspicion::Silent) => !self.has_sound(deployment, software, tried, now),
                Some(Suspicion::Failed) => false,
            };
        is_usable.then_some(key)
    }

    /// Returns the identifier of an upstream in messages.
    pub fn short_id(&self, key: Key) -> u32 {
        self.entries.get(key).map_or(0, |entry| entry.short_id)
    }

    /// Returns the shard and the identifier in messages of an upstream.
    pub fn place(&self, key: Key) -> Option<(u32, u32)> {
        let entry = self.entries.get(key)?;
        let deployment = &entry.upstream.deployment;
        let count = self.shard_count(deployment);
        Some((shard::id(deployment, shard::index(entry.hash, count)), entry.short_id))
    }

    /// Returns the shard of an upstream from its identifier in messages.
    pub fn shard_of(&self, short_id: u32) -> Option<u32> {
        self.place(*self.by_short_id.get(&short_id)?).map(|(shard, _)| shard)
    }

    /// Returns the number of shards of a deployment. Upstreams that are leaving do not count, so that
    /// the replacement of upstreams does not change it.
    fn shard_count(&self, deployment: &str) -> u32 {
        let keys = self.keys(deployment).iter();
        shard::count(keys.filter(|key| !self.entries[**key].upstream.leaving).count())
    }

    /// Returns the identifiers in messages of the known upstreams among `ids`.
    pub fn short_ids(&self, ids: &[String]) -> BTreeSet<u32> {
        let keys = ids.iter().filter_map(|id| self.by_id.get(id));
        keys.map(|key| self.entries[*key].short_id).collect()
    }

    /// Returns the upstreams as brokers see them.
    pub fn places(&self) -> Vec<Place> {
        let mut places = Vec::with_capacity(self.entries.len());
        for (deployment, keys) in &self.by_deployment {
            let count = self.shard_count(deployment);
            for entry in keys.iter().map(|key| &self.entries[*key]) {
                places.push(Place {
                    upstream: entry.short_id,
                    shard: shard::id(deployment, shard::index(entry.hash, count)),
                    slots: entry.slots(),
                    data_centre: shard::name_id(&entry.upstream.data_centre),
                    software: entry.software,
                    leaving: entry.is_leaving(),
                    start: entry.upstream.start(),
                });
            }
        }
        places
    }

    /// Returns the shards of a deployment; with `software`, only those that have an upstream of this
    /// version which accepts new work.
    pub fn shards(&self, deployment: &str, software: Option<Software>) -> Vec<u32> {
        let count = self.shard_count(deployment);
        let indices: BTreeSet<u32> = match software {
            None => (0..count).collect(),
            Some(software) => self
                .accepting(deployment, Some(software))
                .map(|key| shard::index(self.entries[key].hash, count))
                .collect(),
        };
        indices.into_iter().map(|index| shard::id(deployment, index)).collect()
    }

    /// Returns the upstreams of a deployment that accept new work, of one version of the software if
    /// it is given.
    fn accepting(&self, deployment: &str, software: Option<Software>) -> impl Iterator<Item = Key> {
        let keys = self.keys(deployment).iter().copied();
        keys.filter(move |key| {
            let entry = &self.entries[*key];
            !entry.is_leaving() && software.is_none_or(|software| software == entry.software)
        })
    }

    /// Whether an upstream of a deployment accepts new work and, if it is given, has this software.
    pub fn accepts(&self, deployment: &str, software: Option<Software>) -> bool {
        self.accepting(deployment, software).next().is_some()
    }

    /// Whether an upstream that is not in `excluded` does.
    pub fn accepts_beside(
        &self,
        deployment: &str,
        software: Option<Software>,
        excluded: &BTreeSet<Key>,
    ) -> bool {
        self.accepting(deployment, software).any(|key| !excluded.contains(&key))
    }

    /// Returns the software of all upstreams.
    pub fn software(&self) -> BTreeSet<Software> {
        self.entries.values().map(|entry| entry.software).collect()
    }

    /// Returns the software of all upstreams of a deployment, or `None` if they have several
    /// versions or there is no upstream. Upstreams that are leaving count.
    pub fn sole_software(&self, deployment: &str) -> Option<Software> {
        let mut versions = self.keys(deployment).iter().map(|key| self.entries[*key].software);
        let first = versions.next()?;
        versions.all(|other| other == first).then_some(first)
    }

    /// Returns the software of all listed upstreams of a deployment.
    pub fn deployment_software(&self, deployment: &str) -> BTreeSet<Software> {
        self.keys(deployment).iter().map(|key| self.entries[*key].software).collect()
    }

    /// Returns the deployments that have upstreams.
    pub fn deployments(&self) -> impl Iterator<Item = &str> {
        self.by_deployment.keys().map(String::as_str)
    }

    /// Returns the upstreams that this relay does not use: those that it has ejected or that are
    /// stalled, and those that said that they are leaving.
    pub fn avoided(&self, now: Time) -> BTreeSet<u32> {
        let avoided = self
            .entries
            .values()
            .filter(|entry| entry.announced_leaving || entry.suspicion(now).is_some());
        avoided.map(|entry| entry.short_id).collect()
    }

    /// Returns the upstreams of a deployment that a request is not to be sent to: those in `tried`, and those
    /// that this relay does not use.
    ///
    /// When no other one accepts work and, if it is given, has this software, those that are merely silent are
    /// used: a pause of all upstreams is no reason to refuse what they can still run.
    pub fn avoided_by(
        &self,
        deployment: &str,
        software: Option<Software>,
        tried: &BTreeSet<Key>,
        now: Time,
    ) -> BTreeSet<u32> {
        let has_sound = self.has_sound(deployment, software, tried, now);
        let is_avoided = |key: &Key| {
            let entry = &self.entries[*key];
            let is_suspect = match entry.suspicion(now) {
                None => false,
                Some(Suspicion::Silent) => has_sound,
                Some(Suspicion::Failed) => true,
            };
            tried.contains(key) || entry.announced_leaving || is_suspect
        };
        let avoided = self.keys(deployment).iter().filter(|key| is_avoided(key));
        avoided.map(|key| self.entries[*key].short_id).collect()
    }

    /// Returns the upstreams of a deployment that accept new work and of which nothing says that they may be
    /// down, of one version of the software if it is given.
    pub fn sound(
        &self,
        deployment: &str,
        software: Option<Software>,
        now: Time,
    ) -> impl Iterator<Item = Key> {
        let accepting = self.accepting(deployment, software);
        accepting.filter(move |key| self.entries[*key].suspicion(now).is_none())
    }

    /// Whether there is such an upstream that is not in `tried`.
    pub fn has_sound(
        &self,
        deployment: &str,
        software: Option<Software>,
        tried: &BTreeSet<Key>,
        now: Time,
    ) -> bool {
        self.sound(deployment, software, now).any(|key| !tried.contains(&key))
    }

    /// Whether nothing says that an upstream may be down.
    pub fn is_sound(&self, key: Key, now: Time) -> bool {
        self.entries.get(key).is_some_and(|entry| entry.suspicion(now).is_none())
    }

    /// Records that a request is sent to an upstream. [`Self::record_end`] must follow.
    pub fn record_start(&mut self, key: Key, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.own += 1;
            entry.busy_since.get_or_insert(now);
        }
    }

    /// Records that bytes of a response arrived, which ends an ejection of the upstream.
    pub fn record_bytes(&mut self, key: Key, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.last_byte = now;
            entry.failures = 0;
            entry.ejected_until = Time::default();
        }
    }

    /// Records that a response of an upstream said that it is leaving, which holds for this start of
    /// the upstream whatever its entry says. Returns whether this was not known yet.
    pub fn record_leaving(&mut self, key: Key) -> bool {
        let entry = self.entries.get_mut(key);
        entry.is_some_and(|entry| !std::mem::replace(&mut entry.announced_leaving, true))
    }

    /// Forgets that an upstream said that it is leaving. Its next response says whether it still is.
    /// Returns whether that was known.
    pub fn clear_leaving(&mut self, key: Key) -> bool {
        let entry = self.entries.get_mut(key);
        entry.is_some_and(|entry| std::mem::replace(&mut entry.announced_leaving, false))
    }

    /// Records news of the limit of an upstream. Returns whether its rate changed.
    pub fn record_limit(&mut self, key: Key, news: Limit) -> bool {
        self.entries.get_mut(key).is_some_and(|entry| entry.limit.update(news))
    }

    /// Takes over news of limits from other relays. Returns the upstreams whose rates changed.
    pub fn apply_limits(&mut self, news: &[News], now: Time) -> Vec<Key> {
        let mut changed = Vec::new();
        for news in news {
            let Some(key) = self.by_short_id.get(&news.upstream).copied() else { continue };
            if self.record_limit(key, news.limit(now)) {
                changed.push(key);
            }
        }
        changed
    }

    /// Returns what is known of the limit of an upstream.
    pub fn limit(&self, key: Key) -> Option<Limit> {
        self.entries.get(key).map(|entry| entry.limit)
    }

    /// Returns the limits that are known, and the shards of their upstreams.
    pub fn limits(&self, now: Time) -> Vec<(u32, News)> {
        let known = self.entries.iter().filter(|(_, entry)| entry.limit.is_news(now));
        let with_shard = known.filter_map(|(key, entry)| {
            let (shard, upstream) = self.place(key)?;
            Some((shard, News::new(upstream, entry.limit, now)))
        });
        with_shard.collect()
    }

    /// Records the time from sending a request to the first byte of its response.
    pub fn record_response_time(&mut self, key: Key, elapsed: Duration) {
        self.add_sample(key, |latencies| &mut latencies.response, elapsed);
    }

    /// Records the time that an online request took at its upstream.
    pub fn record_service_time(&mut self, key: Key, elapsed: Duration) {
        self.add_sample(key, |latencies| &mut latencies.service, elapsed);
    }

    fn add_sample(
        &mut self,
        key: Key,
        field: fn(&mut Latencies) -> &mut Duration,
        elapsed: Duration,
    ) {
        let Some(entry) = self.entries.get(key) else { return };
        let latencies = self.latencies.entry(entry.upstream.deployment.clone()).or_default();
        let value = field(latencies);
        *value = value.mul_f64(1.0 - EWMA_WEIGHT) + elapsed.mul_f64(EWMA_WEIGHT);
    }

    /// Records that a request has ended at an upstream.
    pub fn record_end(&mut self, key: Key) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.own = entry.own.saturating_sub(1);
            if entry.own == 0 {
                entry.busy_since = None;
            }
        }
    }

    /// Records a failed attempt. Returns the ejection time if the upstream is ejected.
    ///
    /// A single broken response does not eject an upstream; consecutive failures, a failed
    /// connection or a timeout do.
    pub fn record_failure(&mut self, key: Key, failure: Failure, now: Time) -> Option<Duration> {
        let entry = self.entries.get_mut(key)?;
        // `NotRun` means that the upstream is full, which is not a failure.
        entry.failures += u32::from(failure != Failure::NotRun);
        let doublings = entry.failures.saturating_sub(1).min(MAX_EJECTION_DOUBLINGS);
        let backoff = (MIN_EJECTION * 2_u32.pow(doublings)).min(MAX_EJECTION);
        let ejection = match failure {
            Failure::NotRun => return None,
            Failure::Broken if entry.failures < BROKEN_FAILURE_THRESHOLD => return None,
            // The upstream responds to other requests while this one is queued.
            Failure::Silent if now.since(entry.last_byte) < STALL_TIMEOUT => return None,
            Failure::NotSent | Failure::Broken | Failure::Silent => backoff,
            // The upstream is no longer at this address. The list of upstreams will be updated.
            Failure::Misdirected => MAX_EJECTION,
        };
        entry.ejected_for = match failure {
            Failure::Silent if entry.ejected_until <= now => Suspicion::Silent,
            Failure::Silent => entry.ejected_for,
            _ => Suspicion::Failed,
        };
        entry.ejected_until = now + ejection;
        Some(ejection)
    }

    fn keys(&self, deployment: &str) -> &[Key] {
        self.by_deployment.get(deployment).map_or(&[], Vec::as_slice)
    }

    /// Returns the average time that online requests of a deployment take.
    pub fn service_time(&self, deployment: &str) -> Duration {
        self.latencies.get(deployment).copied().unwrap_or_default().service
    }

    /// Returns the time in which an online request has to be sent to its upstream, so that its first
    /// byte arrives within `time_left`.
    pub fn start_within(&self, deployment: &str, time_left: Duration) -> Duration {
        let latencies = self.latencies.get(deployment).copied().unwrap_or_default();
        let response = latencies.response.min(time_left.mul_f64(0.5));
        time_left.mul_f64(OBJECTIVE_SHARE).saturating_sub(response)
    }

    /// Selects the upstream of an online request that no broker has placed: the one where this relay
    /// has fewer requests for its slots of two that the random numbers `points`, between 0 and 1,
    /// pick (Mitzenmacher, 2001).
    ///
    /// Upstreams that may be down are used only if there is no other. Those in `tried`, those that have
    /// named a limit, whose use only a broker can count, and those with other software if `software`
    /// is given, are not used.
    pub fn choose(
        &self,
        deployment: &str,
        software: Option<Software>,
        tried: &BTreeSet<Key>,
        now: Time,
        points: [f64; 2],
    ) -> Choice {
        let is_eligible =
            |key: &Key| !tried.contains(key) && self.entries[*key].limit.rate.is_none();
        let accepting: Vec<Key> =
            self.accepting(deployment, software).filter(is_eligible).collect();
        let sound = accepting.iter().copied().filter(|key| self.is_sound(*key, now));
        let sound: Vec<Key> = sound.collect();
        let pool = if sound.is_empty() { &accepting } else { &sound };
        let picked = points.map(|point| {
            let index = (point * pool.len() as f64) as usize;
            pool.get(index.min(pool.len().saturating_sub(1))).copied()
        });
        let cost = |key: &Key| {
            let entry = &self.entries[*key];
            let distance = u32::from(entry.upstream.data_centre != self.data_centre);
            (u64::from(entry.own) * 1_000 / u64::from(entry.slots()), distance)
        };
        match picked.into_iter().flatten().min_by_key(cost) {
            Some(key) => Choice::Send(key),
            None => Choice::Refuse(MIN_EJECTION),
        }
    }

    /// Records a refusal. Returns the time after which the caller may retry.
    ///
    /// An overload is expected to continue for as long as it has already lasted. Callers that are
    /// told a short time retry during the same overload, are refused again and add to the load.
    pub fn record_refusal(&mut self, deployment: &str, wait: Duration, now: Time) -> Duration {
        let overload = self
            .overloads
            .entry(deployment.to_owned())
            .or_insert(Overload { first_refusal: now, last_refusal: now });
        if now.since(overload.last_refusal) > OVERLOAD_COOLDOWN {
            overload.first_refusal = now;
        }
        overload.last_refusal = now;
        wait.max(now.since(overload.first_refusal))
    }
}
