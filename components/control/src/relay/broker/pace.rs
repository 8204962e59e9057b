//! Limits on the concurrent requests of upstreams that have failed or just started.
//!
//! A failed upstream has only free slots, and a restarted one has nothing cached: with all of its slots it
//! would attract requests that it cannot serve well. Such an upstream gets few requests at once, and more as its
//! answers show that it is well. The relays report an answer at its first event, so that the limit does not wait
//! for the end of a request.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use crate::{
    relay::broker::{Holder, Measure, Ticket},
    time::Time,
};

/// Time without new requests after the first failure; doubled for each further failure.
const MIN_PAUSE: Duration = Duration::from_millis(300);
/// Longest time without new requests.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Doublings after which a pause exceeds [`MAX_PAUSE`].
const MAX_DOUBLINGS: u32 = 4;
/// Time after the end of a request without an answer in which its relay may report a failure.
const REPORT_DELAY: Duration = Duration::from_millis(50);
/// Limit after a failure.
const FAILED_LIMIT: u32 = 1;
/// Limit after a start.
const STARTED_LIMIT: u32 = 2;
/// Time to the first event, as a multiple of the usual one, below which the limit is doubled. A slower answer
/// raises it by one: in an overload all answers are slow, and an upstream that gives any is well.
const PROMPT_FACTOR: u32 = 2;
/// Time to the first event, as a multiple of the usual one, from which the limit is halved.
const SLOW_FACTOR: u32 = 4;
/// Time in which the limit grows by one without an answer, so that an upstream to which nobody turns does not
/// stay limited.
const GROWTH_PERIOD: Duration = Duration::from_secs(1);

/// What relays tell each other of the pace of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct News {
    /// Short id of the upstream.
    pub upstream: u32,
    pub limit: u32,
    /// Time until it may be used.
    pub pause: Duration,
    pub failures: u32,
    /// Time since the limit last changed.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Pace {
    limit: u32,
    /// Failures since the last good answer.
    failures: u32,
    paused_until: Time,
    /// Until when a relay may report that the last request failed.
    report_until: Time,
    changed_at: Time,
    /// Requests that were granted since the pace began, and whether they were answered.
    granted: BTreeMap<(Holder, Ticket), bool>,
}

impl Pace {
    const fn new(limit: u32, now: Time) -> Self {
        let granted = BTreeMap::new();
        Self { limit, failures: 0, paused_until: now, report_until: now, changed_at: now, granted }
    }

    /// Returns the limit with what it has grown by since it changed.
    fn limit(&self, now: Time) -> u32 {
        let since = now.since(self.changed_at.max(self.paused_until));
        let grown = since.as_millis() / GROWTH_PERIOD.as_millis();
        self.limit.saturating_add(u32::try_from(grown).unwrap_or(u32::MAX))
    }

    fn is_paused(&self, now: Time) -> bool {
        self.paused_until.max(self.report_until) > now
    }

    fn set_limit(&mut self, limit: u32, now: Time) {
        self.limit = limit.max(FAILED_LIMIT);
        self.changed_at = now;
    }
}

/// Paces by upstream. An upstream without an entry is not limited.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    /// Upstreams that relays report as failed.
    reported: BTreeSet<u32>,
    /// Upstreams that started and have not been limited yet.
    started: BTreeSet<u32>,
    by_upstream: BTreeMap<u32, Pace>,
}

impl Paces {
    /// Replaces the upstreams that relays report as failed.
    pub fn set_reported(&mut self, reported: BTreeSet<u32>, now: Time) {
        for upstream in reported.difference(&self.reported) {
            let pace =
                self.by_upstream.entry(*upstream).or_insert_with(|| Pace::new(FAILED_LIMIT, now));
            let doublings = pace.failures.min(MAX_DOUBLINGS);
            pace.failures = pace.failures.saturating_add(1);
            pace.paused_until = now + (MIN_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
            pace.set_limit(FAILED_LIMIT, now);
            pace.granted.clear();
        }
        self.reported = reported;
    }

    /// Records that an upstream has just started. It is limited from the next [`Self::begin_started`] on.
    pub fn record_start(&mut self, upstream: u32) {
        self.started.insert(upstream);
    }

    /// Limits the upstreams that have started.
    pub fn begin_started(&mut self, now: Time) {
        for upstream in std::mem::take(&mut self.started) {
            self.by_upstream.entry(upstream).or_insert_with(|| Pace::new(STARTED_LIMIT, now));
        }
    }

    /// Drops the upstreams for which `is_listed` is false.
    pub fn retain(&mut self, is_listed: impl Fn(u32) -> bool) {
        self.by_upstream.retain(|upstream, _| is_listed(*upstream));
        self.started.retain(|upstream| is_listed(*upstream));
        self.reported.retain(|upstream| is_listed(*upstream));
    }

    /// Whether an upstream gets no further request now.
    pub fn is_paused(&self, upstream: u32, now: Time) -> bool {
        self.reported.contains(&upstream)
            || self.by_upstream.get(&upstream).is_some_and(|pace| pace.is_paused(now))
            || self.available(upstream, now) == Some(0)
    }

    /// Returns how many further requests an upstream may have; `None` if it is not limited.
    pub fn available(&self, upstream: u32, now: Time) -> Option<u32> {
        let pace = self.by_upstream.get(&upstream)?;
        let granted = u32::try_from(pace.granted.len()).unwrap_or(u32::MAX);
        Some(pace.limit(now).saturating_sub(granted))
    }

    /// Records a grant. Returns whether the upstream is limited, so that the first event of the request is to
    /// be reported.
    pub fn record_grant(&mut self, upstream: u32, holder: Holder, ticket: Ticket) -> bool {
        let Some(pace) = self.by_upstream.get_mut(&upstream) else { return false };
        pace.granted.insert((holder, ticket), false);
        true
    }

    /// Records how an upstream answered a request: the first event, or the end of one that was granted before
    /// the limit began. `usual` is the time to the first event at other upstreams. An upstream whose limit
    /// reaches `slots` is no longer limited.
    pub fn record_answer(
        &mut self,
        upstream: u32,
        request: Holder,
        measure: &Measure,
        usual: Duration,
        slots: u32,
        now: Time,
    ) {
        let Some(pace) = self.by_upstream.get_mut(&upstream) else { return };
        let is_new = match pace.granted.get_mut(&(request, measure.ticket)) {
            Some(is_answered) => !std::mem::replace(is_answered, true),
            None => measure.complete,
        };
        if !is_new {
            return;
        }
        let limit = pace.limit(now);
        if measure.first >= usual * SLOW_FACTOR {
            pace.set_limit(limit / 2, now);
        } else if measure.first > usual * PROMPT_FACTOR {
            pace.failures = 0;
            pace.set_limit(limit.saturating_add(1), now);
        } else {
            pace.failures = 0;
            pace.set_limit(limit.saturating_mul(2), now);
        }
        if pace.limit >= slots && !self.reported.contains(&upstream) {
            self.by_upstream.remove(&upstream);
        }
    }

    /// Records the end of a request. The limit grows on also if no request is answered, since relays of earlier
    /// builds measure none.
    pub fn record_end(&mut self, upstream: u32, holder: Holder, ticket: Ticket, now: Time) {
        let Some(pace) = self.by_upstream.get_mut(&upstream) else { return };
        if pace.granted.remove(&(holder, ticket)) == Some(false) && pace.failures > 0 {
            pace.report_until = now + REPORT_DELAY;
        }
    }

    /// Drops the limits that have grown to the slots of their upstreams.
    pub fn remove_grown(&mut self, now: Time, slots: impl Fn(u32) -> u32) {
        let reported = &self.reported;
        self.by_upstream.retain(|upstream, pace| {
            reported.contains(upstream) || pace.is_paused(now) || pace.limit(now) < slots(*upstream)
        });
    }

    /// Returns what a new broker has to know.
    pub fn news(&self, now: Time) -> Vec<News> {
        let paces = self.by_upstream.iter();
        paces
            .map(|(upstream, pace)| News {
                upstream: *upstream,
                limit: pace.limit,
                pause: pace.paused_until.since(now),
                failures: pace.failures,
                age: now.since(pace.changed_at),
            })
            .collect()
    }

    /// Takes over what another broker knew, unless this one has a limit of its own for the upstream.
    pub fn adopt(&mut self, news: &News, now: Time) {
        self.by_upstream.entry(news.upstream).or_insert_with(|| Pace {
            limit: news.limit.max(FAILED_LIMIT),
            failures: news.failures,
            paused_until: now + news.pause.min(MAX_PAUSE),
            report_until: now,
            changed_at: now - news.age,
            granted: BTreeMap::new(),
        });
    }
}
