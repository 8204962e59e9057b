//! Slots of upstreams, granted by one relay on behalf of all.
//!
//! Upstreams admit requests in order of arrival and know no priorities, so a burst of online
//! requests would queue behind batch streams. The upstreams of a deployment are divided into
//! shards, and each shard has one broker among the relays. A relay asks the broker for a slot before
//! it sends a request. The broker grants a free slot, or the slot of a batch stream that it stops, or
//! lets the request wait, or refuses it if it cannot start in time.
//!
//! Nothing here has to be exact for correctness: two relays that both act as the broker of a shard
//! overfill its upstreams for a time, and a lost message is repaired by the next [`Sync`].

pub mod fairness;
mod measuring;
mod message;
pub mod pace;
mod placement;
mod queue;
pub mod speed;
pub mod view;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

pub use self::message::{
    Answer, Ask, Charge, Class, Held, Holder, Load, Measure, Release, Sync, Ticket, Urgency, Want,
};
use self::{
    pace::Paces,
    queue::{Queue, Waiting},
    speed::Speeds,
};
use crate::{
    relay::{
        limit::{self, Buckets, Rate},
        origin::Software,
    },
    time::Time,
};

/// Time without a message after which the slots of a relay are free again.
const HOLDER_TIMEOUT: Duration = Duration::from_millis(1_600);
/// Wait of an online request from which a batch stream is stopped for it. Shorter waits end by
/// themselves, and each stop makes an upstream read an item again.
const PREEMPTION_WAIT: Duration = Duration::from_millis(20);
/// Batch items leave as many slots free as online requests arrive in this time, so that most online
/// requests find a free slot.
const RESERVE_TIME: Duration = Duration::from_millis(50);
/// Time after the first message about a shard in which no batch item gets a slot. By its end, all
/// relays have reported the slots that an earlier broker granted to them.
const LEARNING_TIME: Duration = Duration::from_millis(600);
/// Time without messages about a shard after which another relay may have been its broker.
const RELEARNING_TIME: Duration = Duration::from_secs(2);
/// Number of waiting online requests among which one with an open connection is sought.
const LOOKAHEAD: usize = 16;
/// Weight of a new sample in the moving average of the service time.
const EWMA_WEIGHT: f64 = 0.05;
/// Service time of an online request assumed before the first sample.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(500);
/// Shortest service time that the estimates use.
const MIN_SERVICE_TIME: Duration = Duration::from_millis(1);

/// An upstream as a broker sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Short id of the upstream.
    pub upstream: u32,
    pub shard: u32,
    pub slots: u32,
    /// Hash of its data centre.
    pub data_centre: u32,
    pub software: Software,
    /// Whether it accepts no new work.
    pub leaving: bool,
    /// Differs for each start of the upstream.
    pub start: u64,
}

/// Slots in use at an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Used {
    online: u32,
    batch: u32,
}

impl Used {
    const fn total(self) -> u32 {
        self.online + self.batch
    }
}

#[derive(Clone, Copy, Debug)]
struct Grant {
    upstream: u32,
    /// Shard of the upstream at the time of the grant.
    shard: u32,
    class: Class,
    charge: Charge,
    urgency: Urgency,
    since: Time,
    /// Requests at the upstream right after the grant.
    requests: u32,
}

/// A relay with slots, waiting requests or reported failures.
#[derive(Clone, Debug, Default)]
struct Client {
    grants: BTreeMap<Ticket, Grant>,
    /// Shards in which the relay has waiting requests.
    waiting: BTreeMap<Ticket, u32>,
    failed: BTreeSet<u32>,
    last_heard: Time,
}

/// A message to a relay.
pub type Outgoing = (Holder, Answer);

/// Grants the slots of the shards for which other relays ask it.
#[derive(Clone, Debug, Default)]
pub struct Broker {
    places: BTreeMap<u32, Place>,
    by_shard: BTreeMap<u32, Vec<u32>>,
    used: BTreeMap<u32, Used>,
    clients: BTreeMap<Holder, Client>,
    queues: BTreeMap<u32, Queue>,
    /// Times of the first and the last message about each shard.
    contacts: BTreeMap<u32, (Time, Time)>,
    paces: Paces,
    speeds: Speeds,
    limits: Buckets,
    /// Moving average of the service time of online requests, by shard.
    service: BTreeMap<u32, Duration>,
}

impl Broker {
    /// Creates a broker that knows no upstreams.
    pub fn new() -> Self {
        Self::default()
    }

    /// Replaces the list of upstreams.
    pub fn set_places(&mut self, places: impl IntoIterator<Item = Place>) {
        let former = std::mem::take(&mut self.places);
        self.places = places.into_iter().map(|place| (place.upstream, place)).collect();
        let started = former.values().filter(|former| {
            self.places.get(&former.upstream).is_some_and(|place| place.start != former.start)
        });
        for upstream in started.map(|place| place.upstream) {
            // The failures and the limit of the earlier start say nothing about this one.
            self.paces.retain(|id| id != upstream);
            self.speeds.retain(|id| id != upstream);
            self.limits.retain(|id| id != upstream);
            for client in self.clients.values_mut() {
                client.failed.remove(&upstream);
            }
        }
        self.by_shard.clear();
        for place in self.places.values() {
            self.by_shard.entry(place.shard).or_default().push(place.upstream);
        }
        let places = &self.places;
        self.paces.retain(|upstream| places.contains_key(&upstream));
        self.speeds.retain(|upstream| places.contains_key(&upstream));
        self.limits.retain(|upstream| places.contains_key(&upstream));
        self.limit_started(&former);
    }

    /// Handles a request for a slot. A repeated request gets the current state of the first one.
    pub fn ask(&mut self, now: Time, from: Holder, ask: Ask) -> Vec<Outgoing> {
        let (ticket, shard) = (ask.ticket, ask.shard);
        if !self.by_shard.contains_key(&shard) {
            // The list of upstreams has not arrived yet. The relay places the request itself.
            return Vec::new();
        }
        self.record_contact(now, shard);
        let client = self.touch(now, from);
        let granted = client.grants.get(&ticket).map(|grant| grant.upstream);
        let is_waiting = client.waiting.contains_key(&ticket);
        let load = self.load(now, shard);
        if let Some(upstream) = granted {
            let paced = self.paces.available(upstream, now).is_some();
            return vec![(from, Answer::Granted { ticket, upstream, load, paced })];
        }
        if is_waiting {
            return vec![(from, Answer::Queued { ticket, load })];
        }
        if ask.is_restricted() && self.accepting(&ask).next().is_none() {
            return vec![(from, Answer::Refused { ticket, load })];
        }
        let start_by = now + ask.start_within;
        let start_within = ask.start_within;
        let waiting = Waiting { start_by, since: now, ask };
        self.queues.entry(shard).or_default().push_online(from, waiting);
        self.touch(now, from).waiting.insert(ticket, shard);
        let mut outgoing = self.fill(now, shard);
        if self.is_waiting(from, ticket) {
            let load = self.load(now, shard);
            let ahead =
                self.queues.get(&shard).map_or(0, |queue| queue.online_before(from, ticket));
            let refused = self.wait(shard, ahead) > start_within;
            if refused {
                self.forget(from, ticket);
                outgoing.push((from, Answer::Refused { ticket, load }));
            } else {
                outgoing.push((from, Answer::Queued { ticket, load }));
                self.refuse_pushed_back(now, shard, (from, ticket), &mut outgoing);
            }
        }
        outgoing
    }

    /// Refuses the requests that a new one has pushed back so far that they can no longer start in time.
    ///
    /// The order is that in which they get slots: each refusal brings the requests behind it forward.
    fn refuse_pushed_back(
        &mut self,
        now: Time,
        shard: u32,
        (from, ticket): (Holder, Ticket),
        outgoing: &mut Vec<Outgoing>,
    ) {
        let Some(queue) = self.queues.get(&shard) else { return };
        let pushed_back = queue.pushed_back(from, ticket);
        if pushed_back.is_empty() {
            return;
        }
        let (rate, load) = (self.rate(shard), self.load(now, shard));
        let mut refused = 0;
        for (position, (holder, ticket)) in pushed_back {
            let queue = self.queues.get(&shard);
            let start_by = queue.and_then(|queue| queue.start_by(holder, ticket)).unwrap_or(now);
            if wait(rate, position - refused) > start_by.since(now) {
                refused += 1;
                self.forget(holder, ticket);
                outgoing.push((holder, Answer::Refused { ticket, load }));
            }
        }
    }

    /// Frees slots, or withdraws requests for them.
    pub fn release(&mut self, now: Time, from: Holder, tickets: &[Ticket]) -> Vec<Outgoing> {
        let mut shards = BTreeSet::new();
        for ticket in tickets {
            shards.extend(self.remove(now, from, *ticket));
        }
        self.fill_all(now, shards)
    }

    /// Frees slots that were granted and with which nothing was sent to the upstream.
    pub fn give_back(&mut self, now: Time, from: Holder, tickets: &[Ticket]) -> Vec<Outgoing> {
        for ticket in tickets {
            let grant = self.clients.get(&from).and_then(|client| client.grants.get(ticket));
            if let Some(upstream) = grant.map(|grant| grant.upstream) {
                self.limits.put_back(upstream, now);
            }
        }
        self.release(now, from, tickets)
    }

    /// Records that this relay got no processor time for a while, in which another one may have been the broker.
    pub fn record_pause(&mut self, now: Time) {
        self.limits.empty(now);
    }

    /// Returns what is known of the limits of upstreams, for the other relays.
    pub fn limits(&self, now: Time) -> Vec<limit::News> {
        self.limits.news(now)
    }

    /// Replaces what a relay holds and wants.
    pub fn sync(&mut self, now: Time, from: Holder, sync: Sync) -> Vec<Outgoing> {
        let failed = std::mem::replace(&mut self.touch(now, from).failed, sync.failed);
        if failed != self.clients[&from].failed {
            self.update_suspects(now);
        }
        let client = &self.clients[&from];
        let wanted: BTreeMap<Ticket, Want> =
            sync.wants.iter().map(|want| (want.ticket, *want)).collect();
        let held: BTreeMap<Ticket, Held> =
            sync.held.iter().map(|held| (held.ticket, *held)).collect();
        let is_current = |ticket: &Ticket| {
            wanted.contains_key(ticket)
                || held.contains_key(ticket)
                || sync.pending.contains(ticket)
        };
        let grants = client.grants.keys();
        let known = grants.chain(client.waiting.keys()).copied();
        let ended: Vec<Ticket> = known.filter(|ticket| !is_current(ticket)).collect();
        let mut shards = BTreeSet::new();
        for ticket in ended {
            shards.extend(self.remove(now, from, ticket));
        }
        for news in &sync.limits {
            if self.places.contains_key(&news.upstream) {
                self.limits.update(now, news);
            }
        }
        for news in sync.paces.iter().filter(|news| self.places.contains_key(&news.upstream)) {
            self.paces.adopt(news, now);
        }
        for news in sync.speeds.iter().filter(|news| self.places.contains_key(&news.upstream)) {
            self.speeds.adopt(news, now);
        }
        let mut outgoing = Vec::new();
        for held in held.values() {
            if let Some(shard) = self.places.get(&held.upstream).map(|place| place.shard) {
                self.record_contact(now, shard);
            }
            shards.extend(self.adopt(now, from, *held));
        }
        for want in wanted.values() {
            self.record_contact(now, want.shard);
            let client = self.touch(now, from);
            if let Some(grant) = client.grants.get(&want.ticket) {
                // The answer was lost.
                let (ticket, upstream) = (want.ticket, grant.upstream);
                let load = self.load(now, want.shard);
                let paced = self.paces.available(upstream, now).is_some();
                outgoing.push((from, Answer::Granted { ticket, upstream, load, paced }));
                continue;
            }
            self.forget(from, want.ticket);
            self.touch(now, from).waiting.insert(want.ticket, want.shard);
            self.queues.entry(want.shard).or_default().push_batch(from, *want);
            shards.insert(want.shard);
        }
        outgoing.extend(self.fill_all(now, shards));
        outgoing
    }

    /// Removes relays that have fallen silent, refuses requests that can no longer start in time,
    /// and stops batch streams for requests that wait.
    pub fn tick(&mut self, now: Time) -> Vec<Outgoing> {
        let is_silent = |client: &Client| now.since(client.last_heard) > HOLDER_TIMEOUT;
        let silent: Vec<Holder> = self
            .clients
            .iter()
            .filter(|(_, client)| is_silent(client))
            .map(|(holder, _)| *holder)
            .collect();
        for holder in silent {
            let Some(client) = self.clients.get(&holder) else { continue };
            let tickets: Vec<Ticket> =
                client.grants.keys().chain(client.waiting.keys()).copied().collect();
            for ticket in tickets {
                self.remove(now, holder, ticket);
            }
            self.clients.remove(&holder);
            self.update_suspects(now);
        }
        self.limits.remove_ended(now);
        let places = &self.places;
        let slots = |upstream: u32| places.get(&upstream).map_or(0, |place| place.slots);
        self.paces.remove_grown(now, slots);
        let mut outgoing = Vec::new();
        let shards: Vec<u32> = self.queues.keys().copied().collect();
        for shard in &shards {
            let load = self.load(now, *shard);
            while let Some((holder, ticket)) =
                self.queues.get(shard).and_then(|queue| queue.expired(now))
            {
                self.forget(holder, ticket);
                outgoing.push((holder, Answer::Refused { ticket, load }));
            }
        }
        outgoing.extend(self.fill_all(now, shards));
        outgoing
    }

    /// Whether online requests wait.
    pub fn has_waiting(&self) -> bool {
        self.queues.values().any(|queue| queue.online_len() > 0)
    }

    /// Returns the load of a shard.
    pub fn load(&self, now: Time, shard: u32) -> Load {
        let (mut slots, mut used, mut free) = (0_u64, 0_u64, 0_u64);
        for place in self.shard(shard) {
            let in_use = u64::from(self.used(place.upstream).total());
            let free_here = u64::from(self.free(place, now));
            slots += if self.limits.rate(place.upstream).is_some() {
                in_use + free_here
            } else {
                place.slots.into()
            };
            used += in_use;
            free += free_here;
        }
        let waiting = self.queues.get(&shard).map_or(0, Queue::online_len);
        let permille = match slots {
            0 => 1_000,
            slots => (used + waiting as u64) * 1_000 / slots,
        };
        let permille = u32::try_from(permille).unwrap_or(u32::MAX);
        let wait = if free > 0 { Duration::ZERO } else { self.wait(shard, waiting) };
        Load { permille, wait }
    }

    fn record_contact(&mut self, now: Time, shard: u32) {
        let (first, last) = self.contacts.entry(shard).or_insert((now, now));
        if now.since(*last) > RELEARNING_TIME {
            *first = now;
        }
        *last = now;
    }

    fn is_learning(&self, now: Time, shard: u32) -> bool {
        self.contacts.get(&shard).is_none_or(|(first, _)| now.since(*first) < LEARNING_TIME)
    }

    fn touch(&mut self, now: Time, holder: Holder) -> &mut Client {
        let client = self.clients.entry(holder).or_default();
        client.last_heard = now;
        self.paces.begin_started(now);
        client
    }

    fn shard(&self, shard: u32) -> impl Iterator<Item = &Place> {
        let upstreams = self.by_shard.get(&shard).map_or(&[][..], Vec::as_slice);
        upstreams.iter().filter_map(|upstream| self.places.get(upstream))
    }

    fn used(&self, upstream: u32) -> Used {
        self.used.get(&upstream).copied().unwrap_or_default()
    }

    fn is_waiting(&self, holder: Holder, ticket: Ticket) -> bool {
        self.clients.get(&holder).is_some_and(|client| client.waiting.contains_key(&ticket))
    }

    /// Determines the upstreams that relays report as failed. Reports that name more than half of a
    /// shard are ignored for that shard: then the fault is more likely in the network of the relays
    /// that sent them.
    fn update_suspects(&mut self, now: Time) {
        let mut suspects = BTreeSet::new();
        for upstreams in self.by_shard.values() {
            let reports = self.clients.values().map(|client| {
                let failed = upstreams.iter().copied().filter(|id| client.failed.contains(id));
                failed.collect::<BTreeSet<u32>>()
            });
            let plausible = reports.filter(|failed| failed.len() * 2 <= upstreams.len());
            let failed: BTreeSet<u32> = plausible.flatten().collect();
            if failed.len() * 2 <= upstreams.len() {
                suspects.extend(failed);
            }
        }
        self.paces.set_reported(suspects, now);
    }

    /// Returns the rate at which online requests of a shard end, per second, without those at
    /// upstreams with a limit. By Little's law (1961), it is their number divided by their service
    /// time.
    fn online_rate(&self, shard: u32) -> f64 {
        let unlimited =
            self.shard(shard).filter(|place| self.limits.rate(place.upstream).is_none());
        let online: u32 = unlimited.map(|place| self.used(place.upstream).online).sum();
        let service = self.service.get(&shard).copied().unwrap_or(INITIAL_SERVICE_TIME);
        f64::from(online) / service.max(MIN_SERVICE_TIME).as_secs_f64()
    }

    /// Returns the rate at which the upstreams of a shard that have a limit take requests, per second.
    fn limited_rate(&self, shard: u32) -> f64 {
        let accepting = self.shard(shard).filter(|place| !place.leaving);
        accepting.filter_map(|place| self.limits.rate(place.upstream)).map(Rate::per_second).sum()
    }

    /// Returns the rate at which online requests of a shard get slots, per second.
    fn rate(&self, shard: u32) -> f64 {
        self.online_rate(shard) + self.limited_rate(shard)
    }

    /// Returns the expected wait of an online request behind `ahead` others.
    fn wait(&self, shard: u32, ahead: usize) -> Duration {
        wait(self.rate(shard), ahead)
    }

    fn fill_all(&mut self, now: Time, shards: impl IntoIterator<Item = u32>) -> Vec<Outgoing> {
        shards.into_iter().flat_map(|shard| self.fill(now, shard)).collect()
    }

    /// Grants the slots of a shard: free ones to online requests first, then those of batch streams,
    /// then the free ones beyond the reserve to batch items.
    fn fill(&mut self, now: Time, shard: u32) -> Vec<Outgoing> {
        let mut outgoing = Vec::new();
        self.trim(now, shard, &mut outgoing);
        while let Some((holder, ticket, upstream)) = self.next_grant(now, shard) {
            outgoing.push(self.grant(now, holder, ticket, upstream, Class::Online, None));
        }
        self.preempt(now, shard, &mut outgoing);
        self.fill_batch(now, shard, &mut outgoing);
        outgoing
    }

    /// Stops batch streams at upstreams with more requests than slots. Two brokers may have granted the
    /// same slots, or the message that stops a stream was lost.
    fn trim(&mut self, now: Time, shard: u32, outgoing: &mut Vec<Outgoing>) {
        let overfull: Vec<(u32, u32)> = self
            .shard(shard)
            .filter(|place| self.used(place.upstream).total() > place.slots)
            .map(|place| (place.upstream, place.slots))
            .collect();
        for (upstream, slots) in overfull {
            while self.used(upstream).total() > slots {
                let Some((holder, ticket)) = self.least_urgent_at(|other| other == upstream) else {
                    break;
                };
                self.remove(now, holder, ticket);
                outgoing.push((holder, Answer::Stop { ticket }));
            }
        }
    }

    /// Stops batch streams for online requests that would wait too long.
    fn preempt(&mut self, now: Time, shard: u32, outgoing: &mut Vec<Outgoing>) {
        let mut skipped = BTreeSet::new();
        while let Some((holder, waiting)) = self.next_online(shard, &skipped) {
            let ticket = waiting.ask.ticket;
            let length = self.queues.get(&shard).map_or(0, Queue::online_len);
            let has_waited = now.since(waiting.since) >= PREEMPTION_WAIT;
            if !has_waited && self.wait(shard, length - 1) <= PREEMPTION_WAIT {
                return;
            }
            let Some((victim, stopped)) = self.least_urgent(now, &waiting.ask) else {
                if !waiting.ask.is_restricted() {
                    // The others may use the same upstreams or fewer.
                    return;
                }
                skipped.insert((holder, ticket));
                continue;
            };
            let upstream = self.clients[&victim].grants[&stopped].upstream;
            self.remove(now, victim, stopped);
            outgoing.push((victim, Answer::Stop { ticket: stopped }));
            outgoing.push(self.grant(now, holder, ticket, upstream, Class::Online, None));
        }
    }

    /// Grants the free slots beyond the reserve to batch items.
    fn fill_batch(&mut self, now: Time, shard: u32, outgoing: &mut Vec<Outgoing>) {
        if self
            .queues
            .get(&shard)
            .is_none_or(|queue| queue.batch().is_empty() || queue.online_len() > 0)
            || self.is_learning(now, shard)
        {
            return;
        }
        let reserve = self.online_rate(shard) * RESERVE_TIME.as_secs_f64();
        let usable: Vec<Place> = self
            .shard(shard)
            .filter(|place| !place.leaving && !self.paces.is_paused(place.upstream, now))
            .copied()
            .collect();
        let mut spare: u64 = usable.iter().map(|place| u64::from(self.open(place, now))).sum();
        while spare as f64 > reserve {
            let Some(((urgency, holder, ticket), upstream)) = self.next_batch(now, shard, &usable)
            else {
                return;
            };
            outgoing.push(self.grant(now, holder, ticket, upstream, Class::Batch, Some(urgency)));
            spare -= 1;
        }
    }

    fn grant(
        &mut self,
        now: Time,
        holder: Holder,
        ticket: Ticket,
        upstream: u32,
        class: Class,
        urgency: Option<Urgency>,
    ) -> Outgoing {
        let shard = self.places.get(&upstream).map_or(0, |place| place.shard);
        let charge = self.take(holder, ticket);
        let paced = self.paces.record_grant(upstream, holder, ticket);
        self.limits.take(upstream, now);
        self.insert(
            holder,
            ticket,
            Grant {
                upstream,
                shard,
                class,
                charge,
                urgency: urgency.unwrap_or(Urgency { late: false, due_ms: 0 }),
                since: now,
                requests: 0,
            },
        );
        (holder, Answer::Granted { ticket, upstream, load: self.load(now, shard), paced })
    }

    fn insert(&mut self, holder: Holder, ticket: Ticket, mut grant: Grant) {
        let used = self.used.entry(grant.upstream).or_default();
        match grant.class {
            Class::Online => used.online += 1,
            Class::Batch => {
                used.batch += 1;
                let queue = self.queues.entry(grant.shard).or_default();
                queue.batch_mut().hold(grant.charge.account);
            }
        }
        grant.requests = used.total();
        if let Some(client) = self.clients.get_mut(&holder) {
            client.grants.insert(ticket, grant);
        }
    }

    /// Records a slot that a relay holds without a grant of this broker, for example because an
    /// earlier broker granted it. Returns the shard.
    fn adopt(&mut self, now: Time, from: Holder, held: Held) -> Option<u32> {
        let shard = self.places.get(&held.upstream)?.shard;
        let known = self.clients.get(&from).and_then(|client| client.grants.get(&held.ticket));
        if known.is_some_and(|grant| grant.upstream == held.upstream) {
            return None;
        }
        self.remove(now, from, held.ticket);
        if !self.is_learning(now, shard) {
            // The relay has sent a request without a grant.
            self.limits.take(held.upstream, now);
        }
        let urgency = Urgency { late: held.class == Class::Batch, due_ms: u64::MAX };
        let Held { upstream, class, charge, .. } = held;
        let grant = Grant { upstream, shard, class, charge, urgency, since: now, requests: 0 };
        self.insert(from, held.ticket, grant);
        Some(shard)
    }

    /// Removes a grant or a waiting request. Returns its shard.
    fn remove(&mut self, now: Time, holder: Holder, ticket: Ticket) -> Option<u32> {
        let waited_in = self.forget(holder, ticket);
        let grant = self.clients.get_mut(&holder).and_then(|client| client.grants.remove(&ticket));
        let Some(grant) = grant else { return waited_in };
        self.paces.record_end(grant.upstream, holder, ticket, now);
        if grant.class == Class::Batch
            && let Some(queue) = self.queues.get_mut(&grant.shard)
        {
            queue.batch_mut().release(grant.charge.account);
        }
        if let Some(used) = self.used.get_mut(&grant.upstream) {
            match grant.class {
                Class::Online => used.online = used.online.saturating_sub(1),
                Class::Batch => used.batch = used.batch.saturating_sub(1),
            }
            if used.total() == 0 {
                self.used.remove(&grant.upstream);
            }
        }
        let shard = self.places.get(&grant.upstream)?.shard;
        if grant.class == Class::Online {
            let service = self.service.entry(shard).or_insert(INITIAL_SERVICE_TIME);
            let sample = now.since(grant.since);
            *service = service.mul_f64(1.0 - EWMA_WEIGHT) + sample.mul_f64(EWMA_WEIGHT);
        }
        Some(shard)
    }

    /// Removes a waiting request that gets a slot. Returns whom it is charged to.
    fn take(&mut self, holder: Holder, ticket: Ticket) -> Charge {
        let client = self.clients.get_mut(&holder);
        let shard = client.and_then(|client| client.waiting.remove(&ticket));
        let queue = shard.and_then(|shard| self.queues.get_mut(&shard));
        queue.map(|queue| queue.grant(holder, ticket)).unwrap_or_default()
    }

    /// Removes a waiting request. Returns its shard.
    fn forget(&mut self, holder: Holder, ticket: Ticket) -> Option<u32> {
        let shard = self.clients.get_mut(&holder)?.waiting.remove(&ticket)?;
        if let Some(queue) = self.queues.get_mut(&shard) {
            queue.remove(holder, ticket);
        }
        Some(shard)
    }
}

/// Returns the expected wait behind `ahead` others while `rate` requests get slots per second.
fn wait(rate: f64, ahead: usize) -> Duration {
    let seconds = (ahead + 1) as f64 / rate.max(0.001);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}
