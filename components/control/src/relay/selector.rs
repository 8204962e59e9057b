//! Selection of upstreams by their occupancy.
//!
//! Upstreams admit requests in order of arrival and know no priorities, so a burst of online
//! requests would queue behind batch streams. Relays therefore report to each other how many
//! requests they have at each upstream. Online requests take free slots first, then slots of batch
//! streams, which their relays stop in a fixed order. An online request that cannot start within
//! its latency objective is refused before it queues.

mod candidate;
mod report;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

pub use self::report::{Counts, Report, report_interval, short_id};
use self::{
    candidate::Candidate,
    report::{PeerReport, rank},
};
use crate::{hash, relay::failure::Failure, time::Time};

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
/// Time after which the report of another relay is dropped.
const REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Weight of a new sample in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Share of the latency objective that the expected latency may use; the rest covers the error of
/// the estimate.
const OBJECTIVE_SHARE: f64 = 0.8;
/// Time from the start of an online request until batch streams of other relays have freed a slot
/// for it. It covers a datagram, the stop of a run, and the first step that the upstream computes
/// without that run. Batch items leave as many slots free as online requests arrive in this time.
const PREEMPTION_TIME: Duration = Duration::from_millis(100);
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
    /// Number of requests that the upstream runs concurrently.
    pub slots: Option<u32>,
    /// Whether the upstream accepts no new work.
    pub leaving: bool,
}

/// Class of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A request whose caller waits for the response.
    Online,
    /// An item of a batch job.
    Batch,
}

struct Entry {
    upstream: Upstream,
    /// Hash of the upstream's id.
    hash: u64,
    short_id: u32,
    /// Requests of the other relays.
    others: Counts,
    /// Requests of this relay.
    own: Counts,
    /// Failures since the last byte from the upstream, without [`Failure::NotRun`].
    failures: u32,
    ejected_until: Time,
    last_byte: Time,
    /// Start of the first request since this relay last had none at the upstream.
    busy_since: Option<Time>,
}

impl Entry {
    fn total(&self) -> Counts {
        let (own, others) = (self.own, self.others);
        Counts { online: own.online + others.online, batch: own.batch + others.batch }
    }

    fn slots(&self) -> u32 {
        self.upstream.slots.unwrap_or(DEFAULT_SLOTS).max(1)
    }

    fn is_stalled(&self, now: Time) -> bool {
        let since = self.busy_since.map(|start| start.max(self.last_byte));
        since.is_some_and(|since| now.since(since) > STALL_TIMEOUT)
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

/// Result of the selection for an online request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send the request to this upstream.
    Send(Key, Load),
    /// Refuse the request because no upstream can start it within its objective. The caller may
    /// retry after the duration.
    Refuse(Duration, Load),
}

/// Load that a choice was based on, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Known requests at the best upstream.
    pub counts: Counts,
    /// Slots of the best upstream; zero when there is no upstream.
    pub slots: u32,
    /// Expected wait for a slot there.
    pub expected_wait: Duration,
    /// Age of the oldest report of another relay that is included.
    pub report_age: Duration,
}

/// Selects upstreams for requests, and tracks the load and the failures of the upstreams as this
/// relay knows them.
pub struct Selector {
    /// Hash of the name of this relay.
    hash: u64,
    data_centre: String,
    entries: SlotMap<Key, Entry>,
    by_id: BTreeMap<String, Key>,
    by_deployment: BTreeMap<String, Vec<Key>>,
    by_short_id: BTreeMap<u32, Key>,
    /// Reports of the other relays by name; their sums are in the entries.
    peer_reports: BTreeMap<String, PeerReport>,
    /// Batch items of this relay that wait for a slot.
    waiting: u32,
    /// Latencies by deployment.
    latencies: BTreeMap<String, Latencies>,
    /// Overloads by deployment.
    overloads: BTreeMap<String, Overload>,
}

impl Selector {
    /// Creates a selector without upstreams for the relay `name` in `data_centre`.
    pub fn new(name: &str, data_centre: impl Into<String>) -> Self {
        Self {
            hash: hash::stable(&[name]),
            data_centre: data_centre.into(),
            entries: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_deployment: BTreeMap::new(),
            by_short_id: BTreeMap::new(),
            peer_reports: BTreeMap::new(),
            waiting: 0,
            latencies: BTreeMap::new(),
            overloads: BTreeMap::new(),
        }
    }

    /// Replaces the list of upstreams. Returns the ids of the upstreams that were removed.
    pub fn set_upstreams(&mut self, upstreams: &BTreeMap<String, Upstream>) -> Vec<String> {
        let removed: Vec<String> =
            self.by_id.keys().filter(|id| !upstreams.contains_key(*id)).cloned().collect();
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
                        hash: hash::stable(&[id]),
                        short_id: short_id(id),
                        others: Counts::default(),
                        own: Counts::default(),
                        failures: 0,
                        ejected_until: Time::default(),
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
        for entry in self.entries.values_mut() {
            entry.others = Counts::default();
        }
        let peer_reports = std::mem::take(&mut self.peer_reports);
        for peer in peer_reports.values() {
            self.apply_counts(&peer.report, u32::saturating_add);
        }
        self.peer_reports = peer_reports;
        removed
    }

    /// Adds the counts of a report to the entries, or subtracts them, as `change` says.
    fn apply_counts(&mut self, report: &Report, change: fn(u32, u32) -> u32) {
        for (short_id, count) in &report.counts {
            let key = self.by_short_id.get(short_id);
            if let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) {
                entry.others.online = change(entry.others.online, count.online);
                entry.others.batch = change(entry.others.batch, count.batch);
            }
        }
    }

    /// Drops the reports that are older than [`REPORT_TTL`].
    fn expire_reports(&mut self, now: Time) {
        let is_expired = |peer: &PeerReport| now.since(peer.received_at) >= REPORT_TTL;
        let expired = self.peer_reports.extract_if(.., |_, peer| is_expired(peer));
        let expired: Vec<PeerReport> = expired.map(|(_, peer)| peer).collect();
        for peer in expired {
            self.apply_counts(&peer.report, u32::saturating_sub);
        }
    }

    /// Returns the upstream of a key, unless it was removed.
    pub fn upstream(&self, key: Key) -> Option<&Upstream> {
        self.entries.get(key).map(|entry| &entry.upstream)
    }

    /// Replaces the report of another relay.
    pub fn record_report(&mut self, now: Time, from: &str, report: Report) {
        self.remove_report(from);
        self.apply_counts(&report, u32::saturating_add);
        let peer = PeerReport { hash: hash::stable(&[from]), received_at: now, report };
        self.peer_reports.insert(from.to_owned(), peer);
    }

    /// Removes the report of another relay.
    pub fn remove_report(&mut self, from: &str) {
        if let Some(peer) = self.peer_reports.remove(from) {
            self.apply_counts(&peer.report, u32::saturating_sub);
        }
    }

    /// Returns the report of this relay.
    pub fn own_report(&self, now: Time) -> Report {
        let counts = self.entries.values().filter(|entry| entry.own != Counts::default());
        let counts = counts.map(|entry| (entry.short_id, entry.own)).collect();
        let failed = self.entries.values().filter(|entry| entry.ejected_until > now);
        let failed = failed.map(|entry| entry.short_id).collect();
        Report { counts, waiting: self.waiting, failed }
    }

    /// Sets the number of batch items of this relay that wait for a slot. Returns whether it changed
    /// from or to zero.
    pub const fn set_waiting(&mut self, waiting: u32) -> bool {
        let changed = (self.waiting == 0) != (waiting == 0);
        self.waiting = waiting;
        changed
    }

    /// Returns the number of relays with waiting batch items that rank before this one at an
    /// upstream.
    ///
    /// Each of them is expected to take a free slot there first. If several slots are free, relays
    /// that have not yet received each other's reports may start more items than fit. A stricter
    /// division would fill free slots too slowly.
    fn waiting_peers_ahead(&self, entry: &Entry) -> u32 {
        let own = rank(self.hash, entry.hash);
        let waiting = self.peer_reports.values().filter(|peer| peer.report.waiting > 0);
        waiting.filter(|peer| rank(peer.hash, entry.hash) < own).count() as u32
    }

    /// Whether an upstream may be down: this relay has ejected it, it is stalled, or another relay
    /// reports that it failed and this relay has received nothing from it recently.
    fn is_suspect(&self, entry: &Entry, now: Time) -> bool {
        if entry.ejected_until > now || entry.is_stalled(now) {
            return true;
        }
        let is_responsive = now.since(entry.last_byte) < STALL_TIMEOUT;
        !is_responsive
            && self.peer_reports.values().any(|peer| {
                let failed = &peer.report.failed;
                // If most upstreams failed for a relay, the fault is more likely its own network.
                failed.contains(&entry.short_id) && failed.len() * 2 <= self.entries.len()
            })
    }

    /// Records that a request is sent to an upstream. [`Self::record_end`] must follow.
    pub fn record_start(&mut self, key: Key, class: Class, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            match class {
                Class::Online => entry.own.online += 1,
                Class::Batch => entry.own.batch += 1,
            }
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
    pub fn record_end(&mut self, key: Key, class: Class) {
        if let Some(entry) = self.entries.get_mut(key) {
            match class {
                Class::Online => entry.own.online = entry.own.online.saturating_sub(1),
                Class::Batch => entry.own.batch = entry.own.batch.saturating_sub(1),
            }
            if entry.own == Counts::default() {
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
        entry.ejected_until = now + ejection;
        Some(ejection)
    }

    /// Returns the upstreams of a deployment that accept new work and are not in `tried`. `point`,
    /// between 0 and 1, sets where in the list the iteration starts.
    fn candidates<'a>(
        &'a self,
        deployment: &str,
        tried: &'a BTreeSet<Key>,
        point: f64,
    ) -> impl Iterator<Item = (Key, &'a Entry)> {
        let keys = self.keys(deployment);
        let offset = (point * keys.len() as f64) as usize;
        let (before, after) = keys.split_at(offset.min(keys.len()));
        let entries = after.iter().chain(before).map(|key| (*key, &self.entries[*key]));
        entries.filter(|(key, entry)| !entry.upstream.leaving && !tried.contains(key))
    }

    fn entries(&self, deployment: &str) -> impl Iterator<Item = &Entry> {
        self.keys(deployment).iter().map(|key| &self.entries[*key])
    }

    fn keys(&self, deployment: &str) -> &[Key] {
        self.by_deployment.get(deployment).map_or(&[], Vec::as_slice)
    }

    /// Selects the upstream of an online request that must start within `time_left`.
    ///
    /// Upstreams that may be down are used only when no other one is available.
    ///
    /// `point` is a random number between 0 and 1 with two uses. It breaks ties, and it sets how
    /// many of the requests that other relays have sent since their reports are assumed to be placed
    /// before this one. Without this assumption, relays with the same view would all select the
    /// upstream with the lowest known load, and more of them the older the reports are.
    pub fn choose_online(
        &mut self,
        deployment: &str,
        tried: &BTreeSet<Key>,
        time_left: Duration,
        now: Time,
        point: f64,
    ) -> Choice {
        self.expire_reports(now);
        let latencies = self.latencies.get(deployment).copied().unwrap_or_default();
        let mut candidates = BinaryHeap::new();
        for (key, entry) in self.candidates(deployment, tried, point) {
            // Another data centre costs as much as a load of 1% of the slots.
            let distance = if entry.upstream.data_centre == self.data_centre { 0.0 } else { 0.01 };
            let penalty = match self.is_suspect(entry, now) {
                true => 100.0 + f64::from(entry.failures),
                false => 0.0,
            };
            let (counts, slots) = (entry.total(), entry.slots());
            // Among equal candidates, the first one from `point` on wins.
            let order = Reverse(candidates.len());
            candidates.push(Candidate { base_cost: distance + penalty, counts, slots, order, key });
        }
        let unreported = self.unreported_requests(deployment, latencies.service, now);
        let share = (point * self.keys(deployment).len() as f64).fract();
        // The mean of `share` is 0.5, so the mean number of requests placed before this one is
        // `unreported`.
        for _ in 0..(share * 2.0 * unreported) as usize {
            if let Some(mut best) = candidates.peek_mut() {
                best.counts.online += 1;
            }
        }
        let Some(Candidate { key, .. }) = candidates.pop() else {
            // No upstream accepts work.
            return Choice::Refuse(MIN_EJECTION, Load::default());
        };
        let (counts, slots) = (self.entries[key].total(), self.entries[key].slots());
        let excess = (counts.online + 1).saturating_sub(slots);
        let expected_wait = latencies.service.mul_f64(f64::from(excess) / f64::from(slots));
        let load = Load { counts, slots, expected_wait, report_age: self.report_age(now) };
        let response = latencies.response.min(time_left.mul_f64(0.5));
        let in_time = load.expected_wait + response <= time_left.mul_f64(OBJECTIVE_SHARE);
        match in_time || load.expected_wait.is_zero() {
            true => Choice::Send(key, load),
            false => Choice::Refuse(load.expected_wait, load),
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

    /// Returns the expected number of online requests that other relays have sent but not yet
    /// reported.
    ///
    /// By Little's law (1961), the arrival rate is the number of requests divided by their service
    /// time. A relay reports each change after at most one report interval, so a report that is
    /// older than that means that nothing has changed since.
    fn unreported_requests(&self, deployment: &str, service: Duration, now: Time) -> f64 {
        let entries = self.entries(deployment);
        let online: f64 = entries.map(|entry| f64::from(entry.others.online)).sum();
        let interval = report_interval(self.peer_reports.len());
        let ages = self
            .peer_reports
            .values()
            .map(|peer| now.since(peer.received_at).min(interval).as_secs_f64());
        let age = ages.sum::<f64>() / self.peer_reports.len().max(1) as f64;
        // Within one service time, as many requests arrive as are in flight. Beyond that, further
        // arrivals replace requests that have ended.
        online * (age / service.as_secs_f64().max(0.001)).min(1.0)
    }

    fn report_age(&self, now: Time) -> Duration {
        self.peer_reports.values().map(|peer| now.since(peer.received_at)).max().unwrap_or_default()
    }

    /// Selects an upstream with a spare slot for a batch item.
    pub fn choose_batch(&mut self, deployment: &str, now: Time, point: f64) -> Option<Key> {
        self.expire_reports(now);
        if self.free_slots(deployment, now) <= self.reserved_slots(deployment) {
            return None;
        }
        let mut best: Option<(f64, Key)> = None;
        for (key, entry) in self.candidates(deployment, &BTreeSet::new(), point) {
            let total = entry.total();
            let used = total.online + total.batch;
            if self.is_suspect(entry, now)
                || used + self.waiting_peers_ahead(entry) >= entry.slots()
            {
                continue;
            }
            let utilization = f64::from(used) / f64::from(entry.slots());
            if best.is_none_or(|(lowest, _)| utilization < lowest) {
                best = Some((utilization, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the free slots of the upstreams that accept work and are not suspect.
    fn free_slots(&self, deployment: &str, now: Time) -> f64 {
        let entries = self.entries(deployment);
        let usable =
            entries.filter(|entry| !entry.upstream.leaving && !self.is_suspect(entry, now));
        let free = usable.map(|entry| {
            let total = entry.total();
            f64::from(entry.slots().saturating_sub(total.online + total.batch))
        });
        free.sum()
    }

    /// Returns the number of slots that batch items leave free for online requests: those that
    /// arrive within [`PREEMPTION_TIME`]. By Little's law (1961), their arrival rate is their number
    /// divided by their service time.
    fn reserved_slots(&self, deployment: &str) -> f64 {
        let entries = self.entries(deployment);
        let online = entries.map(|entry| f64::from(entry.total().online));
        let service = self.latencies.get(deployment).copied().unwrap_or_default().service;
        let share = PREEMPTION_TIME.as_secs_f64()
            / service.as_secs_f64().max(PREEMPTION_TIME.as_secs_f64());
        online.sum::<f64>() * share
    }

    /// Returns the other relays that have batch streams at an upstream, if it has more requests than
    /// slots. They are notified at once to stop streams, because in a large fleet the regular
    /// reports take too long.
    pub fn preemption_targets(&self, key: Key) -> Vec<&str> {
        let Some(entry) = self.entries.get(key) else { return Vec::new() };
        let total = entry.total();
        if total.online + total.batch <= entry.slots() {
            return Vec::new();
        }
        let has_batch = |peer: &PeerReport| {
            peer.report.counts.get(&entry.short_id).is_some_and(|count| count.batch > 0)
        };
        let targets = self.peer_reports.iter().filter(|(_, peer)| has_batch(peer));
        targets.map(|(name, _)| name.as_str()).collect()
    }

    /// Returns how many batch streams this relay stops at each upstream to free slots for online
    /// requests.
    ///
    /// The relays stop streams in the order of their ranks at the upstream, which is the same at all
    /// relays, so that two of them do not free a slot for the same request.
    pub fn preemptions(&mut self, now: Time) -> Vec<(Key, u32)> {
        self.expire_reports(now);
        let mut preemptions = Vec::new();
        for (key, entry) in &self.entries {
            if entry.own.batch == 0 {
                continue;
            }
            let total = entry.total();
            let mut excess = (total.online + total.batch).saturating_sub(entry.slots());
            if excess == 0 {
                continue;
            }
            let own = rank(self.hash, entry.hash);
            for peer in self.peer_reports.values().filter(|peer| rank(peer.hash, entry.hash) < own)
            {
                let count = peer.report.counts.get(&entry.short_id);
                excess = excess.saturating_sub(count.map_or(0, |count| count.batch));
            }
            let stopped = excess.min(entry.own.batch);
            if stopped > 0 {
                preemptions.push((key, stopped));
            }
        }
        preemptions
    }
}
