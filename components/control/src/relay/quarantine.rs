//! Requests that end the upstreams that run them.
//!
//! A request may crash every upstream that begins to answer it. Sent to the next upstream after each
//! crash, a few such requests end a whole deployment. They have a part in common: a part of their
//! prompt, or all that makes repeats of one request alike, its target, its caller and its body. Relays blame the parts of requests that had no event when their upstream crashed. One relay
//! collects the blames, asks all whether a request with the part has been answered, and has the part
//! quarantined if none has.

use std::{collections::BTreeMap, time::Duration};

use crate::{hash, time::Time};

/// Crashes from which a part is suspect. Fewer may be a coincidence.
const SUSPECT_CRASHES: u32 = 3;
/// Time in which several blames for one upstream concern the same crash. An upstream takes longer to
/// start again.
const CRASH_SPREAD: Duration = Duration::from_secs(1);
/// Time without a further crash after which the crashes of a part are forgotten.
const SUSPICION_TIME: Duration = Duration::from_secs(60);
/// Time before the first crash in which an answered request still shows that a part is sound.
const SOUND_MARGIN: Duration = Duration::from_secs(10);
/// Time for the relays to say that a part is sound.
const QUERY_TIME: Duration = Duration::from_millis(250);
/// Time for which a part is quarantined. After it, the part may crash a few upstreams again.
pub const QUARANTINE_TIME: Duration = Duration::from_secs(600);
/// Limit on the parts in each table. Further ones are ignored until some can be forgotten.
const MAX_PARTS: usize = 1 << 14;
/// Shortest time between two searches of a full table for parts that can be forgotten.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

/// Identifies what requests have in common: a part of their prompts, or all of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Part(pub u64);

impl Part {
    /// Returns the identifier of the part with this id.
    pub fn new(id: &str) -> Self {
        Self(hash::stable(&["part", id]))
    }

    /// Returns the identifier of a request, which its repeats share. `credentials` tell callers apart.
    pub fn of_request(
        method: &str,
        host: &str,
        target: &str,
        credentials: &str,
        body: &[u8],
    ) -> Self {
        Self(hash::stable_with_bytes(&["request", method, host, target, credentials], body))
    }
}

/// A question to all relays whether parts are sound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Query {
    pub parts: Vec<Part>,
    /// Time before now since which an answered request counts.
    pub within: Duration,
}

#[derive(Debug)]
struct Suspicion {
    crashes: u32,
    /// Last crash of each upstream, by its short id.
    last_crashes: BTreeMap<u32, Time>,
    first_crash: Time,
    last_crash: Time,
    /// When the relays have had time to answer a query.
    query_end: Option<Time>,
}

/// Crashes that relays blame on parts, at the relay that collects them.
#[derive(Debug, Default)]
pub struct Suspicions {
    by_part: BTreeMap<Part, Suspicion>,
    pruned_at: Time,
}

impl Suspicions {
    /// Creates a record of no crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a relay blames parts for a crash of an upstream. Returns the query to send to all
    /// relays if some of the parts have become suspect.
    pub fn blame(&mut self, now: Time, upstream: u32, parts: &[Part]) -> Option<Query> {
        let mut query = Query { parts: Vec::new(), within: Duration::ZERO };
        for part in parts {
            let Some(suspicion) = self.suspicion(now, *part) else { continue };
            let last = suspicion.last_crashes.insert(upstream, now);
            if last.is_some_and(|last| now.since(last) < CRASH_SPREAD) {
                continue;
            }
            suspicion.crashes += 1;
            suspicion.last_crash = now;
            if suspicion.crashes >= SUSPECT_CRASHES && suspicion.query_end.is_none() {
                suspicion.query_end = Some(now + QUERY_TIME);
                query.parts.push(*part);
                query.within = query.within.max(now.since(suspicion.first_crash) + SOUND_MARGIN);
            }
        }
        (!query.parts.is_empty()).then_some(query)
    }

    /// Returns the crashes of a part, without those that are to be forgotten.
    fn suspicion(&mut self, now: Time, part: Part) -> Option<&mut Suspicion> {
        let is_old = |suspicion: &Suspicion| now.since(suspicion.last_crash) >= SUSPICION_TIME;
        if self.by_part.len() >= MAX_PARTS && now.since(self.pruned_at) >= PRUNE_PERIOD {
            self.by_part.retain(|_, suspicion| !is_old(suspicion));
            self.pruned_at = now;
        }
        if self.by_part.get(&part).is_some_and(is_old) {
            self.by_part.remove(&part);
        }
        if self.by_part.len() >= MAX_PARTS && !self.by_part.contains_key(&part) {
            return None;
        }
        Some(self.by_part.entry(part).or_insert_with(|| Suspicion {
            crashes: 0,
            last_crashes: BTreeMap::new(),
            first_crash: now,
            last_crash: now,
            query_end: None,
        }))
    }

    /// Records that parts are sound, since a request with them was answered.
    pub fn clear(&mut self, parts: &[Part]) {
        for part in parts {
            self.by_part.remove(part);
        }
    }

    /// Removes and returns the suspect parts of which no relay has said in time that they are sound.
    pub fn take_confirmed(&mut self, now: Time) -> Vec<Part> {
        let is_over = |end: &Time| *end <= now;
        let over = self
            .by_part
            .iter()
            .filter(|(_, suspicion)| suspicion.query_end.as_ref().is_some_and(is_over));
        let confirmed: Vec<Part> = over.map(|(part, _)| *part).collect();
        self.clear(&confirmed);
        confirmed
    }
}

/// What one relay knows of the parts of prompts.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// When a request with the part was last answered.
    sound: BTreeMap<Part, Time>,
    pruned_at: Time,
    /// When the quarantine of a part ends.
    ends: BTreeMap<Part, Time>,
}

impl Quarantine {
    /// Creates a quarantine without parts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an upstream began to answer a request with these parts.
    pub fn record_answer(&mut self, now: Time, parts: &[Part]) {
        if self.sound.len() >= MAX_PARTS && now.since(self.pruned_at) >= PRUNE_PERIOD {
            self.sound.retain(|_, last| now.since(*last) < SOUND_MARGIN);
            self.pruned_at = now;
        }
        for part in parts {
            if self.sound.len() < MAX_PARTS || self.sound.contains_key(part) {
                self.sound.insert(*part, now);
            }
        }
    }

    /// Returns those of the parts with which no request was answered recently.
    pub fn suspects(&self, now: Time, parts: &[Part]) -> Vec<Part> {
        parts.iter().copied().filter(|part| !self.is_sound(now, *part, SOUND_MARGIN)).collect()
    }

    /// Returns those of the queried parts that are sound.
    pub fn sound_parts(&self, now: Time, query: &Query) -> Vec<Part> {
        let parts = query.parts.iter().copied();
        parts.filter(|part| self.is_sound(now, *part, query.within)).collect()
    }

    fn is_sound(&self, now: Time, part: Part, within: Duration) -> bool {
        self.sound.get(&part).is_some_and(|last| now.since(*last) < within)
    }

    /// Quarantines a part for a time, unless a request with it was answered recently here. Returns
    /// whether this is new.
    pub fn hold(&mut self, now: Time, part: Part, left: Duration) -> bool {
        self.ends.retain(|_, end| *end > now);
        if self.is_sound(now, part, SOUND_MARGIN) || left.is_zero() || self.ends.len() >= MAX_PARTS
        {
            return false;
        }
        let end = now + left.min(QUARANTINE_TIME);
        let known = self.ends.insert(part, end);
        known.is_none()
    }

    /// Returns the time for which requests with one of the parts are still refused.
    pub fn left(&self, now: Time, parts: &[Part]) -> Option<Duration> {
        let ends = parts.iter().filter_map(|part| self.ends.get(part));
        ends.max().filter(|end| **end > now).map(|end| end.since(now))
    }
}
