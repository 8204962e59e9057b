//! Token buckets of accounts, as their owner keeps them.

use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use super::{Ask, Handover, Limit, MAX_WAIT, Message, Report, WINDOW};
use crate::{relay::broker::Holder, time::Time};

/// Time for which a repeated ask gets the answer of the first one.
const TICKET_TIME: Duration = Duration::from_secs(2);
/// Limit on the kept answers; the oldest are dropped.
const MAX_TICKETS: usize = 1 << 14;
/// Time without an ask after which a full bucket is dropped.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Time between two searches for buckets to drop.
const PRUNE_PERIOD: Duration = Duration::from_secs(10);
/// Limit on the buckets.
const MAX_BUCKETS: usize = 1 << 14;
/// Time of which the grants are counted together.
const SLOT_TIME: Duration = Duration::from_millis(50);
/// Tokens with which the bucket of a small account starts, although another owner may have granted as many.
const MIN_START: f64 = 4.0;

/// Time between two messages with the level of a bucket to its next owner.
const TELL_PERIOD: Duration = Duration::from_millis(100);
/// Part of the burst, and number of tokens, by which the level has to be lower than the next owner believes for
/// it to be told.
const TELL_DIFFERENCE: (f64, f64) = (0.05, 1.0);

/// Level that the next owner of a bucket was told.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Hash of the name of that relay.
    relay: u64,
    at: Time,
    level: f64,
}

#[derive(Clone, Debug)]
struct Bucket {
    limit: Limit,
    /// Version of the configuration that has the limit.
    configuration: u64,
    /// Tokens. Negative after grants of two owners at once.
    level: f64,
    filled_at: Time,
    asked_at: Time,
    /// Whether the level at the start was not reported by a relay.
    is_assumed: bool,
    /// Tokens granted in the last window, by the beginning of their slot of [`SLOT_TIME`].
    granted: VecDeque<(Time, u32)>,
    /// Retry time of the last refusal.
    retry_at: Time,
    /// When this ledger last answered an ask, other than only learning the level.
    answered_at: Option<Time>,
    told: Option<Told>,
}

impl Bucket {
    fn new(now: Time, limit: Limit, configuration: u64) -> Self {
        Self {
            limit,
            configuration,
            level: Self::start_level(limit),
            filled_at: now,
            asked_at: now,
            is_assumed: true,
            granted: VecDeque::new(),
            retry_at: now,
            answered_at: None,
            told: None,
        }
    }

    /// Returns the level of a bucket of which nothing is known.
    fn start_level(limit: Limit) -> f64 {
        // An earlier owner may have just granted a part of the burst.
        (limit.burst() / 2.0).max(limit.capacity().min(MIN_START))
    }

    /// Whether the relay that owns the bucket next believes that it holds more than it does.
    fn is_overestimated(&self, now: Time, relay: u64) -> bool {
        let told = self.told.filter(|told| told.relay == relay);
        if told.is_some_and(|told| now.since(told.at) < TELL_PERIOD) {
            return false;
        }
        let believed = told.map_or_else(
            || Self::start_level(self.limit),
            |told| (told.level + self.limit.gain(now.since(told.at))).min(self.limit.capacity()),
        );
        let (part, tokens) = TELL_DIFFERENCE;
        self.level <= believed - (self.limit.burst() * part).max(tokens)
    }

    fn fill(&mut self, now: Time) {
        let gained = self.limit.gain(now.since(self.filled_at));
        self.level = (self.level + gained).min(self.limit.capacity());
        self.filled_at = self.filled_at.max(now);
    }

    fn set_limit(&mut self, limit: Limit, configuration: u64) {
        self.limit = limit;
        self.configuration = configuration;
        self.level = self.level.min(limit.capacity());
    }

    /// Takes over the level that another owner stated, less what this one has granted since. After a change
    /// of the owner, both may have granted; the lower level is then the one closer to the truth.
    fn adopt(&mut self, now: Time, report: Report) {
        if report.age > WINDOW {
            return;
        }
        let stated_at = now - report.age;
        let later = self.granted.iter().filter(|(slot, _)| *slot >= stated_at);
        let granted: u32 = later.map(|(_, count)| count).sum();
        let capacity = self.limit.capacity();
        let stated = report.level_milli as f64 / 1_000.0 + self.limit.gain(report.age);
        let level = (stated - f64::from(granted)).clamp(-capacity, capacity);
        self.level = if self.is_assumed { level } else { level.min(self.level) };
        self.is_assumed = false;
    }

    /// Takes up to `count` tokens.
    fn take(&mut self, now: Time, count: u32) -> u32 {
        // Negative levels become zero.
        let taken = count.min(self.level as u32);
        self.level -= f64::from(taken);
        while self.granted.front().is_some_and(|(slot, _)| now.since(*slot) > WINDOW + SLOT_TIME) {
            self.granted.pop_front();
        }
        match self.granted.back_mut() {
            Some((slot, granted)) if now.since(*slot) < SLOT_TIME => {
                *granted = granted.saturating_add(taken);
            }
            _ if taken > 0 => self.granted.push_back((now, taken)),
            _ => {}
        }
        taken
    }

    /// Puts back tokens of the latest grants.
    fn put_back(&mut self, count: u32) {
        self.level = (self.level + f64::from(count)).min(self.limit.capacity());
        let mut left = count;
        for (_, granted) in self.granted.iter_mut().rev() {
            let returned = left.min(*granted);
            *granted -= returned;
            left -= returned;
        }
    }

    /// Returns when a refused caller may retry. Each one is told another time, so that they do not all
    /// come at once.
    fn next_wait(&mut self, now: Time) -> Duration {
        let ready = now + self.limit.time_for(1.0 - self.level);
        let next = (self.retry_at + self.limit.time_for(1.0)).max(ready);
        self.retry_at = if next > now + MAX_WAIT { ready.max(now + MAX_WAIT / 2) } else { next };
        self.retry_at.since(now)
    }

    fn level_milli(&self) -> i64 {
        (self.level * 1_000.0) as i64
    }

    fn is_idle(&self, now: Time) -> bool {
        let level = self.level + self.limit.gain(now.since(self.filled_at));
        now.since(self.asked_at) >= IDLE_TIME && level >= self.limit.capacity()
    }
}

/// Token buckets of the accounts that this relay owns.
#[derive(Debug, Default)]
pub struct Ledger {
    /// Version of this relay's configuration.
    configuration: u64,
    /// Limits of this relay's configuration, by account.
    limits: BTreeMap<u64, Limit>,
    buckets: BTreeMap<u64, Bucket>,
    pruned_at: Time,
    /// Answers to recent asks.
    answers: BTreeMap<(Holder, u64), Message>,
    /// Recent asks in the order of their arrival.
    tickets: VecDeque<(Time, Holder, u64)>,
    /// Since when another relay owns the accounts of this ledger, which grants nothing any more.
    closed_at: Option<Time>,
}

impl Ledger {
    /// Creates a ledger without buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version of the configuration whose limits are known.
    pub const fn configuration(&self) -> u64 {
        self.configuration
    }

    /// Sets the limits of this relay's configuration, by account.
    pub fn set_limits(&mut self, configuration: u64, limits: BTreeMap<u64, Limit>) {
        self.configuration = configuration;
        self.limits = limits;
    }

    /// Stops granting tokens, since another relay does from now on. A closed ledger stays closed.
    pub fn close(&mut self, now: Time) {
        if self.closed_at.is_none() {
            self.closed_at = Some(now);
            self.buckets.values_mut().for_each(|bucket| bucket.fill(now));
        }
    }

    /// Grants tokens again after no other relay is left that does. What the buckets gained meanwhile may have
    /// been granted elsewhere.
    pub fn reopen(&mut self, now: Time) {
        if self.closed_at.take().is_some() {
            self.buckets.values_mut().for_each(|bucket| bucket.filled_at = now);
        }
    }

    /// Whether another relay owns the accounts, since this one is shutting down.
    pub const fn is_closed(&self) -> bool {
        self.closed_at.is_some()
    }

    /// Returns the accounts for which this ledger has answered asks lately.
    pub fn active(&self, now: Time) -> Vec<u64> {
        let is_active =
            |bucket: &Bucket| bucket.answered_at.is_some_and(|at| now.since(at) < WINDOW);
        let active = self.buckets.iter().filter(|(_, bucket)| is_active(bucket));
        active.map(|(account, _)| *account).collect()
    }

    /// Returns what the relay that owns an account after this one, `relay` by the hash of its name, has to know of the
    /// level in case this relay ends without a handover; `None` if it knows enough or the ledger is closed.
    pub fn tell(&mut self, now: Time, account: u64, relay: u64) -> Option<Handover> {
        let bucket = self.buckets.get_mut(&account).filter(|_| self.closed_at.is_none())?;
        bucket.fill(now);
        if !bucket.is_overestimated(now, relay) {
            return None;
        }
        bucket.told = Some(Told { relay, at: now, level: bucket.level });
        let report = Report { level_milli: bucket.level_milli(), age: Duration::ZERO };
        let Bucket { limit, configuration, .. } = *bucket;
        Some(Handover { account, limit, configuration, report })
    }

    /// Returns what the next owners of the accounts have to know of a closed ledger.
    pub fn handovers(&self, now: Time) -> Vec<Handover> {
        let handover = |(account, bucket): (&u64, &Bucket)| {
            let report = self.closing_report(now, *account)?;
            let Bucket { limit, configuration, .. } = *bucket;
            Some(Handover { account: *account, limit, configuration, report })
        };
        self.buckets.iter().filter_map(handover).collect()
    }

    /// Takes over the level of an account from its former owner.
    pub fn take_over(&mut self, now: Time, handover: &Handover) {
        let Handover { account, limit, configuration, report } = *handover;
        // A closed ledger grants nothing, and its own report is older than this one.
        if self.closed_at.is_none() {
            self.bucket(now, account, limit, configuration).adopt(now, report);
        }
    }

    /// Returns what another relay that claims an account has to know of its level; `None` if nothing is known.
    pub fn report(&self, now: Time, account: u64) -> Option<Report> {
        if self.closed_at.is_some() {
            return self.closing_report(now, account);
        }
        let is_known = |bucket: &&Bucket| bucket.answered_at.is_some() || !bucket.is_assumed;
        let bucket = self.buckets.get(&account).filter(is_known);
        let mut bucket = bucket.filter(|bucket| now.since(bucket.asked_at) < WINDOW)?.clone();
        bucket.fill(now);
        Some(Report { level_milli: bucket.level_milli(), age: Duration::ZERO })
    }

    /// Takes over the level of an account that is known here, as another relay states it.
    pub fn learn(&mut self, now: Time, account: u64, report: Report) {
        if let Some(bucket) = self.buckets.get_mut(&account) {
            bucket.fill(now);
            bucket.adopt(now, report);
        }
    }

    /// Creates the bucket of an account, so that it learns its level before the first grant.
    pub fn prepare(&mut self, now: Time, ask: &Ask) {
        self.bucket(now, ask.account, ask.limit, ask.configuration);
    }

    /// Limits the level of an account to what is certain if only the grants in the time `memory` are known.
    /// Returns the level.
    pub fn doubt(&mut self, now: Time, ask: &Ask, memory: Duration) -> f64 {
        let bucket = self.bucket(now, ask.account, ask.limit, ask.configuration);
        let certain = bucket.limit.certain_level(memory);
        if certain < bucket.level {
            bucket.level = certain;
            bucket.is_assumed = false;
        }
        bucket.level
    }

    /// Returns the level of an account at which the ledger was closed, if it is recent.
    fn closing_report(&self, now: Time, account: u64) -> Option<Report> {
        let age = now.since(self.closed_at?);
        let bucket = self.buckets.get(&account).filter(|_| age < WINDOW)?;
        Some(Report { level_milli: bucket.level_milli(), age })
    }

    /// Returns the bucket of an account, filled up to now, with the newest limit that is known.
    fn bucket(&mut self, now: Time, account: u64, limit: Limit, configuration: u64) -> &mut Bucket {
        let own = self.limits.get(&account).filter(|_| self.configuration >= configuration);
        let (limit, configuration) =
            own.map_or((limit, configuration), |own| (*own, self.configuration));
        if self.buckets.len() >= MAX_BUCKETS && !self.buckets.contains_key(&account) {
            self.buckets.pop_first();
        }
        let bucket =
            self.buckets.entry(account).or_insert_with(|| Bucket::new(now, limit, configuration));
        bucket.fill(now);
        bucket.asked_at = now;
        if configuration > bucket.configuration {
            bucket.set_limit(limit, configuration);
        }
        bucket
    }

    /// Answers an ask of a relay.
    pub fn ask(&mut self, now: Time, holder: Holder, ask: &Ask) -> Message {
        self.forget(now);
        if let Some(answer) = self.answers.get(&(holder, ask.ticket)) {
            return *answer;
        }
        let Ask { ticket, account, .. } = *ask;
        if self.closed_at.is_some() {
            return Message::Closed { ticket, account, report: self.closing_report(now, account) };
        }
        let bucket = self.bucket(now, account, ask.limit, ask.configuration);
        bucket.answered_at = Some(now);
        if let Some(report) = ask.report {
            bucket.adopt(now, report);
        }
        let count = bucket.take(now, ask.count.max(1));
        let level_milli = bucket.level_milli();
        let answer = match count {
            0 => Message::Refused { ticket, account, wait: bucket.next_wait(now), level_milli },
            count => Message::Granted { ticket, account, count, level_milli },
        };
        self.answers.insert((holder, ticket), answer);
        self.tickets.push_back((now, holder, ticket));
        answer
    }

    /// Puts back tokens whose requests were not sent to an upstream.
    pub fn give_back(&mut self, now: Time, account: u64, count: u32) {
        let is_closed = self.closed_at.is_some();
        if let Some(bucket) = self.buckets.get_mut(&account) {
            if !is_closed {
                bucket.fill(now);
            }
            bucket.put_back(count);
        }
    }

    /// Returns the level of an account, and the time after which a caller may retry if it is below one token,
    /// without taking any. `None` before the first ask.
    pub fn preview(&self, now: Time, account: u64) -> Option<(f64, Option<Duration>)> {
        let mut bucket = self.buckets.get(&account)?.clone();
        bucket.fill(now);
        let wait = (bucket.level < 1.0).then(|| bucket.next_wait(now));
        Some((bucket.level, wait))
    }

    /// Returns the number of buckets.
    pub fn len(&self) -> usize {
        self.buckets.len()
    }

    /// Whether there are no buckets.
    pub fn is_empty(&self) -> bool {
        self.buckets.is_empty()
    }

    /// Drops old answers and idle buckets.
    fn forget(&mut self, now: Time) {
        while let Some((asked_at, holder, ticket)) = self.tickets.front().copied() {
            if now.since(asked_at) < TICKET_TIME && self.tickets.len() < MAX_TICKETS {
                break;
            }
            self.tickets.pop_front();
            self.answers.remove(&(holder, ticket));
        }
        if now.since(self.pruned_at) >= PRUNE_PERIOD {
            self.pruned_at = now;
            self.buckets.retain(|_, bucket| !bucket.is_idle(now));
        }
    }
}
