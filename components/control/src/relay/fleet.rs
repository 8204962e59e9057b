//! Occupancy of the upstreams, and the choice among them.
//!
//! Answers the pattern of many entry daemons in front of upstreams that admit in order of arrival
//! and know no priority: online bursts meet slots that batch streams hold. Daemons exchange how many
//! requests they have at each upstream. Online requests take free slots first, then slots of batch
//! streams, which their owners give up in a fixed order; what cannot start within its latency
//! objective is refused before it waits.

mod candidate;
mod report;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BTreeSet, BinaryHeap},
    time::Duration,
};

use slotmap::{SlotMap, new_key_type};

pub use self::report::{Count, Report, number, report_pause};
use self::{
    candidate::Candidate,
    report::{Daemon, rank},
};
use crate::{hash, relay::failure::Failure, time::Time};

new_key_type! {
    /// Key of an upstream in a [`Fleet`].
    pub struct Key;
}

/// Slots assumed for an upstream that does not say how many it has.
const DEFAULT_SLOTS: u32 = 4;
/// First pause of an upstream that failed; doubled for each further failure.
const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause of an upstream that failed.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// Doublings of the first pause after which it is longer than the longest one.
const MOST_DOUBLINGS: u32 = 4;
/// Broken answers without a good one between them after which an upstream is passed over.
const BROKEN_IN_A_ROW: u32 = 3;
/// Time without any byte from an upstream that has requests, after which it is passed over.
const QUIET: Duration = Duration::from_millis(600);
/// Time after which the occupancy that another daemon reported no longer counts.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);
/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Share of the latency objective that the expected wait may use; the rest covers its error.
const OBJECTIVE_SHARE: f64 = 0.8;
/// Time from the start of an online request until batch streams of other daemons have made room for
/// it: a datagram, the stop of a run, and the first step without it. Batch work leaves as many slots
/// free as online requests arrive in this time.
const ROOM_TIME: Duration = Duration::from_millis(100);
/// Time without a refusal after which an overload is over. Several times the pause between two
/// refusals of one relay in an overload.
const OVERLOAD_GAP: Duration = Duration::from_millis(700);
/// Service time assumed before the first sample.
const FIRST_SERVICE_TIME: Duration = Duration::from_millis(500);
/// Time to the first byte assumed before the first sample.
const FIRST_RESPONSE_TIME: Duration = Duration::from_millis(50);

/// What the platform lists of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Identity of one start of the upstream.
    pub id: String,
    /// Deployment that it serves.
    pub deployment: String,
    /// Address and port.
    pub address: std::net::SocketAddr,
    /// Data centre that it is in.
    pub data_centre: String,
    /// Requests that it runs at once.
    pub slots: Option<u32>,
    /// Whether it accepts no new work.
    pub leaving: bool,
}

/// Class of a request at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A caller waits for it.
    Online,
    /// An item of a batch job.
    Batch,
}

struct Entry {
    upstream: Upstream,
    /// Hash of its id.
    hash: u64,
    number: u32,
    /// Requests of the other daemons.
    others: Count,
    own: Count,
    failures: u32,
    paused_until: Time,
    last_byte: Time,
    oldest_wait: Option<Time>,
}

impl Entry {
    fn total(&self) -> Count {
        let (own, others) = (self.own, self.others);
        Count { online: own.online + others.online, batch: own.batch + others.batch }
    }

    fn slots(&self) -> u32 {
        self.upstream.slots.unwrap_or(DEFAULT_SLOTS).max(1)
    }

    fn is_quiet(&self, now: Time) -> bool {
        let since = self.oldest_wait.map(|start| start.max(self.last_byte));
        since.is_some_and(|since| now.since(since) > QUIET)
    }
}

/// Moving averages of one deployment.
#[derive(Clone, Copy, Debug)]
struct Pace {
    service: Duration,
    response: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { service: FIRST_SERVICE_TIME, response: FIRST_RESPONSE_TIME }
    }
}

/// Refusals of one deployment that follow each other closely.
#[derive(Clone, Copy, Debug)]
struct Overload {
    first: Time,
    last: Time,
}

/// The answer to a request for an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Send to this upstream.
    Send(Key, View),
    /// Nothing can start it within its objective; it may come back after this time.
    Refuse(Duration, View),
}

/// What a choice was based on, for logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Requests at the best upstream, as far as known.
    pub count: Count,
    /// Its slots; zero when there is no upstream.
    pub slots: u32,
    /// Expected wait for a slot there.
    pub wait: Duration,
    /// Age of the oldest report of another daemon that was counted.
    pub report_age: Duration,
}

/// The upstreams as this daemon knows them.
pub struct Fleet {
    /// Hash of this daemon's name.
    hash: u64,
    data_centre: String,
    entries: SlotMap<Key, Entry>,
    by_id: BTreeMap<String, Key>,
    by_deployment: BTreeMap<String, Vec<Key>>,
    by_number: BTreeMap<u32, Key>,
    /// The other daemons; their reports are summed up in the entries.
    others: BTreeMap<String, Daemon>,
    waiting: u32,
    pace: BTreeMap<String, Pace>,
    overload: BTreeMap<String, Overload>,
}

impl Fleet {
    /// An empty fleet, seen by the daemon `name` in `data_centre`.
    pub fn new(name: &str, data_centre: impl Into<String>) -> Self {
        Self {
            hash: hash::stable(&[name]),
            data_centre: data_centre.into(),
            entries: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_deployment: BTreeMap::new(),
            by_number: BTreeMap::new(),
            others: BTreeMap::new(),
            waiting: 0,
            pace: BTreeMap::new(),
            overload: BTreeMap::new(),
        }
    }

    /// Takes over the list of upstreams; returns the ids that are no longer in it.
    pub fn list(&mut self, upstreams: &BTreeMap<String, Upstream>) -> Vec<String> {
        let gone: Vec<String> =
            self.by_id.keys().filter(|id| !upstreams.contains_key(*id)).cloned().collect();
        for id in &gone {
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
                        number: number(id),
                        others: Count::default(),
                        own: Count::default(),
                        failures: 0,
                        paused_until: Time::default(),
                        last_byte: Time::default(),
                        oldest_wait: None,
                    });
                    self.by_id.insert(id.clone(), key);
                }
            }
        }
        self.by_deployment.clear();
        self.by_number.clear();
        for (key, entry) in &self.entries {
            self.by_deployment.entry(entry.upstream.deployment.clone()).or_default().push(key);
            self.by_number.insert(entry.number, key);
        }
        for entry in self.entries.values_mut() {
            entry.others = Count::default();
        }
        let others = std::mem::take(&mut self.others);
        for daemon in others.values() {
            self.count_report(&daemon.report, u32::saturating_add);
        }
        self.others = others;
        gone
    }

    /// Changes the counts of the entries by those of a report: adds them, or takes them off again.
    fn count_report(&mut self, report: &Report, change: fn(u32, u32) -> u32) {
        for (number, count) in &report.counts {
            let key = self.by_number.get(number);
            if let Some(entry) = key.and_then(|key| self.entries.get_mut(*key)) {
                entry.others.online = change(entry.others.online, count.online);
                entry.others.batch = change(entry.others.batch, count.batch);
            }
        }
    }

    /// Drops the reports of daemons that have been silent for too long.
    fn expire(&mut self, now: Time) {
        let silent = |daemon: &Daemon| now.since(daemon.at) >= REPORT_LIFE;
        let gone = self.others.extract_if(.., |_, daemon| silent(daemon));
        let gone: Vec<Daemon> = gone.map(|(_, daemon)| daemon).collect();
        for daemon in gone {
            self.count_report(&daemon.report, u32::saturating_sub);
        }
    }

    /// The upstream of a key, unless it was removed.
    pub fn upstream(&self, key: Key) -> Option<&Upstream> {
        self.entries.get(key).map(|entry| &entry.upstream)
    }

    /// Takes over what another daemon has at the upstreams.
    pub fn report(&mut self, now: Time, from: &str, report: Report) {
        self.forget(from);
        self.count_report(&report, u32::saturating_add);
        let daemon = Daemon { hash: hash::stable(&[from]), at: now, report };
        self.others.insert(from.to_owned(), daemon);
    }

    /// Forgets another daemon.
    pub fn forget(&mut self, from: &str) {
        if let Some(daemon) = self.others.remove(from) {
            self.count_report(&daemon.report, u32::saturating_sub);
        }
    }

    /// What this daemon has at the upstreams.
    pub fn own(&self, now: Time) -> Report {
        let counts = self.entries.values().filter(|entry| entry.own != Count::default());
        let counts = counts.map(|entry| (entry.number, entry.own)).collect();
        let failed = self.entries.values().filter(|entry| entry.paused_until > now);
        let failed = failed.map(|entry| entry.number).collect();
        Report { counts, waiting: self.waiting, failed }
    }

    /// Records how many batch items of this daemon wait for a slot; returns whether that changes
    /// whether any waits.
    pub const fn set_waiting(&mut self, waiting: u32) -> bool {
        let changed = (self.waiting == 0) != (waiting == 0);
        self.waiting = waiting;
        changed
    }

    /// Daemons with waiting batch items whose turn at an upstream comes before this one's.
    ///
    /// A slot that becomes free is taken by one of them. Where several are free, daemons that have
    /// not heard of each other may start more than fit; a stricter division fills free slots too
    /// slowly.
    fn turn(&self, entry: &Entry) -> u32 {
        let own = rank(self.hash, entry.hash);
        let waiting = self.others.values().filter(|daemon| daemon.report.waiting > 0);
        waiting.filter(|daemon| rank(daemon.hash, entry.hash) < own).count() as u32
    }

    /// Whether an upstream may be down: it failed here, it is quiet, or another daemon says that it
    /// failed there and nothing was heard of it here since.
    fn is_doubtful(&self, entry: &Entry, now: Time) -> bool {
        if entry.paused_until > now || entry.is_quiet(now) {
            return true;
        }
        let is_heard = now.since(entry.last_byte) < QUIET;
        !is_heard
            && self.others.values().any(|daemon| {
                let failed = &daemon.report.failed;
                // A daemon that fails to reach most upstreams says more of itself.
                failed.contains(&entry.number) && failed.len() * 2 <= self.entries.len()
            })
    }

    /// Records a request that is sent to an upstream.
    pub fn start(&mut self, key: Key, class: Class, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            match class {
                Class::Online => entry.own.online += 1,
                Class::Batch => entry.own.batch += 1,
            }
            entry.oldest_wait.get_or_insert(now);
        }
    }

    /// Records that bytes of an answer arrived.
    pub fn progress(&mut self, key: Key, now: Time) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.last_byte = now;
            entry.failures = 0;
            entry.paused_until = Time::default();
        }
    }

    /// Records the time from the send of a request to the first byte of its answer.
    pub fn responded(&mut self, key: Key, elapsed: Duration) {
        self.sample(key, |pace| &mut pace.response, elapsed);
    }

    /// Records the time that an online request took at its upstream.
    pub fn served(&mut self, key: Key, elapsed: Duration) {
        self.sample(key, |pace| &mut pace.service, elapsed);
    }

    fn sample(&mut self, key: Key, field: fn(&mut Pace) -> &mut Duration, elapsed: Duration) {
        let Some(entry) = self.entries.get(key) else { return };
        let pace = self.pace.entry(entry.upstream.deployment.clone()).or_default();
        let value = field(pace);
        *value = value.mul_f64(1.0 - SMOOTHING) + elapsed.mul_f64(SMOOTHING);
    }

    /// Records that a request is no longer at an upstream.
    pub fn end(&mut self, key: Key, class: Class) {
        if let Some(entry) = self.entries.get_mut(key) {
            match class {
                Class::Online => entry.own.online = entry.own.online.saturating_sub(1),
                Class::Batch => entry.own.batch = entry.own.batch.saturating_sub(1),
            }
            if entry.own == Count::default() {
                entry.oldest_wait = None;
            }
        }
    }

    /// Records a failure; returns the time for which the upstream is passed over, if it is.
    ///
    /// One broken answer says little of the upstream; several in a row, a connection that cannot be
    /// made or silence do.
    pub fn fail(&mut self, key: Key, failure: Failure, now: Time) -> Option<Duration> {
        let entry = self.entries.get_mut(key)?;
        // A full upstream is not a failed one.
        entry.failures += u32::from(failure != Failure::NotRun);
        let doublings = entry.failures.saturating_sub(1).min(MOST_DOUBLINGS);
        let doubled = (FIRST_PAUSE * 2_u32.pow(doublings)).min(LONGEST_PAUSE);
        let pause = match failure {
            Failure::NotRun => return None,
            Failure::Broken if entry.failures < BROKEN_IN_A_ROW => return None,
            // One request that waits behind others, while others are answered.
            Failure::Silent if now.since(entry.last_byte) < QUIET => return None,
            Failure::NotSent | Failure::Broken | Failure::Silent => doubled,
            // The upstream is no longer at its address; the list will say so.
            Failure::Misdirected => LONGEST_PAUSE,
        };
        entry.paused_until = now + pause;
        Some(pause)
    }

    /// Upstreams of a deployment that take new work, from a point between 0 and 1 on.
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

    /// Chooses the upstream of an online request.
    ///
    /// `point` is random between 0 and 1. It breaks ties, and it says how many of the requests that
    /// arrived elsewhere since the reports are taken to have their places before this one: daemons
    /// with the same view would otherwise all send to the upstream that looks best, and the more the
    /// older the reports are. Upstreams that failed are used only when no other can start the request.
    pub fn choose(
        &mut self,
        deployment: &str,
        tried: &BTreeSet<Key>,
        left: Duration,
        now: Time,
        point: f64,
    ) -> Choice {
        self.expire(now);
        let pace = self.pace.get(deployment).copied().unwrap_or_default();
        let mut candidates = BinaryHeap::new();
        for (key, entry) in self.candidates(deployment, tried, point) {
            let near = if entry.upstream.data_centre == self.data_centre { 0.0 } else { 0.01 };
            let doubt = match self.is_doubtful(entry, now) {
                true => 100.0 + f64::from(entry.failures),
                false => 0.0,
            };
            let (count, slots) = (entry.total(), entry.slots());
            // Of equal ones, the first from the point on.
            let order = Reverse(candidates.len());
            candidates.push(Candidate { base: near + doubt, count, slots, order, key });
        }
        let unseen = self.unseen(deployment, pace.service, now);
        let share = (point * self.keys(deployment).len() as f64).fract();
        for _ in 0..(share * 2.0 * unseen) as usize {
            if let Some(mut first) = candidates.peek_mut() {
                first.count.online += 1;
            }
        }
        let Some(Candidate { key, .. }) = candidates.pop() else {
            return Choice::Refuse(FIRST_PAUSE, View::default());
        };
        let (count, slots) = (self.entries[key].total(), self.entries[key].slots());
        let excess = (count.online + 1).saturating_sub(slots);
        let wait = pace.service.mul_f64(f64::from(excess) / f64::from(slots));
        let view = View { count, slots, wait, report_age: self.report_age(now) };
        let response = pace.response.min(left.mul_f64(0.5));
        let in_time = view.wait + response <= left.mul_f64(OBJECTIVE_SHARE);
        match in_time || view.wait.is_zero() {
            true => Choice::Send(key, view),
            false => Choice::Refuse(view.wait, view),
        }
    }

    /// Records a refusal; returns when the caller may come back.
    ///
    /// An overload is expected to go on for as long as it has lasted: a caller that comes back in the
    /// same overload is refused again, and callers that are told the same short time add to it.
    pub fn refuse(&mut self, deployment: &str, wait: Duration, now: Time) -> Duration {
        let overload = self
            .overload
            .entry(deployment.to_owned())
            .or_insert(Overload { first: now, last: now });
        if now.since(overload.last) > OVERLOAD_GAP {
            overload.first = now;
        }
        overload.last = now;
        wait.max(now.since(overload.first))
    }

    /// Online requests that other daemons have sent and not reported, on average: their number divided
    /// by their service time is the rate of their arrival (Little, 1961). A daemon reports each change
    /// after its pause, so that an older report says that nothing has changed.
    fn unseen(&self, deployment: &str, service: Duration, now: Time) -> f64 {
        let entries = self.entries(deployment);
        let online: f64 = entries.map(|entry| f64::from(entry.others.online)).sum();
        let pause = report_pause(self.others.len());
        let ages = self.others.values().map(|daemon| now.since(daemon.at).min(pause).as_secs_f64());
        let age = ages.sum::<f64>() / self.others.len().max(1) as f64;
        // As many as are there now have come and gone in a service time; more say nothing new.
        online * (age / service.as_secs_f64().max(0.001)).min(1.0)
    }

    fn report_age(&self, now: Time) -> Duration {
        self.others.values().map(|daemon| now.since(daemon.at)).max().unwrap_or_default()
    }

    /// Chooses the upstream of a batch item: one with a slot that nothing else needs.
    pub fn choose_spare(&mut self, deployment: &str, now: Time, point: f64) -> Option<Key> {
        self.expire(now);
        if self.free(deployment, now) <= self.reserve(deployment) {
            return None;
        }
        let mut best: Option<(f64, Key)> = None;
        for (key, entry) in self.candidates(deployment, &BTreeSet::new(), point) {
            let total = entry.total();
            let used = total.online + total.batch;
            if self.is_doubtful(entry, now) || used + self.turn(entry) >= entry.slots() {
                continue;
            }
            let cost = f64::from(used) / f64::from(entry.slots());
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Free slots of the upstreams that can be used.
    fn free(&self, deployment: &str, now: Time) -> f64 {
        let entries = self.entries(deployment);
        let usable =
            entries.filter(|entry| !entry.upstream.leaving && !self.is_doubtful(entry, now));
        let free = usable.map(|entry| {
            let total = entry.total();
            f64::from(entry.slots().saturating_sub(total.online + total.batch))
        });
        free.sum()
    }

    /// Slots that batch work leaves to online requests: their number times the share of their
    /// service time that making room takes, which is the rate of their arrival (Little, 1961) times
    /// that time.
    fn reserve(&self, deployment: &str) -> f64 {
        let entries = self.entries(deployment);
        let online = entries.map(|entry| f64::from(entry.total().online));
        let service = self.pace.get(deployment).copied().unwrap_or_default().service;
        let share = ROOM_TIME.as_secs_f64() / service.as_secs_f64().max(ROOM_TIME.as_secs_f64());
        online.sum::<f64>() * share
    }

    /// Daemons whose batch streams have to make room at an upstream, if it has more requests than
    /// slots. They are told at once: in a large fleet, the regular reports take too long.
    pub fn holders(&self, key: Key) -> Vec<&str> {
        let Some(entry) = self.entries.get(key) else { return Vec::new() };
        let total = entry.total();
        if total.online + total.batch <= entry.slots() {
            return Vec::new();
        }
        let has_batch = |daemon: &Daemon| {
            daemon.report.counts.get(&entry.number).is_some_and(|count| count.batch > 0)
        };
        let holders = self.others.iter().filter(|(_, daemon)| has_batch(daemon));
        holders.map(|(name, _)| name.as_str()).collect()
    }

    /// How many batch streams this daemon gives up, by upstream, so that online requests get their
    /// slots.
    ///
    /// Owners give up their streams in an order that depends on the upstream and is the same at all
    /// daemons, so that two of them do not make room for the same request.
    pub fn surplus(&mut self, now: Time) -> Vec<(Key, u32)> {
        self.expire(now);
        let mut surplus = Vec::new();
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
            for daemon in self.others.values().filter(|daemon| rank(daemon.hash, entry.hash) < own)
            {
                let count = daemon.report.counts.get(&entry.number);
                excess = excess.saturating_sub(count.map_or(0, |count| count.batch));
            }
            let give_up = excess.min(entry.own.batch);
            if give_up > 0 {
                surplus.push((key, give_up));
            }
        }
        surplus
    }
}
