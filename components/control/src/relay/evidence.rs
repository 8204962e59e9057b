//! Evidence that the configuration in force was the newest one a short time ago.
//!
//! A key that was removed from the configuration may be used only for a limited time, also at relays that
//! do not reach the store. So a relay serves keys only while it has evidence of its configuration, which it
//! gets from the store or from a relay that has it. All times are on a clock that includes the time for
//! which the vm was suspended.

use std::{collections::BTreeMap, time::Duration};

use crate::time::Time;

/// Largest number of other relays that are asked at a time.
pub const MAX_PEERS: usize = 2;

/// The limit divided by this is the age from which other relays are asked.
const ASK_AGE_DIVISOR: u32 = 5;
/// The limit divided by this is the time between two rounds of questions, and the time by which an answer
/// of the store may be late before other relays are asked.
const ASK_PERIOD_DIVISOR: u32 = 10;
/// Part of the period by which it varies, so that relays which lost the store together do not ask together.
const JITTER_SHARE: f64 = 0.25;
/// Part of the limit from which a relay is not ready if another one reaches the store.
const UNREADY_SHARE: f64 = 0.6;
/// The limit divided by this is the time for which the answer of another relay counts more than the report of
/// the monitors that it reaches the store. They need about this time to learn of an outage.
const HEARD_DIVISOR: u32 = 2;

/// A call on the configuration table that confirmed a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Newest version of the configuration that the store had during the call.
    pub version: u64,
    /// When the call began.
    pub begin: Time,
}

/// What a relay states of its evidence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    pub version: u64,
    /// Time since the call of the store began, in milliseconds, rounded up.
    pub age_ms: u64,
}

impl Statement {
    /// Returns the confirmation that this is for a relay which asked at `asked`; `None` if the stated time
    /// is before the origin of its clock. All time since the question counts as age, since the statement
    /// may have been made right after it.
    pub fn received(&self, asked: Time) -> Option<Confirmation> {
        let age_us = self.age_ms.checked_mul(1_000)?;
        let begin = Time(asked.0.checked_sub(age_us)?);
        Some(Confirmation { version: self.version, begin })
    }
}

/// Another relay that may be asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    pub name: &'a str,
    /// Whether it reaches the store, as far as is known.
    pub reaches_store: bool,
}

/// What another relay answered.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Time,
    /// When the call began that its evidence is of; `None` without evidence.
    begin: Option<Time>,
}

/// Change of the evidence that is worth an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// It became too old, at this age.
    Lost(Duration),
    /// It is young again, after this time.
    Back(Duration),
}

/// Evidence of one relay.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Time for which a removed key may be used; `None` if revocation is not strict.
    limit: Option<Duration>,
    known: Option<Confirmation>,
    /// When the next answer of the store is overdue; `None` after a failed call and before the first answer.
    due: Option<Time>,
    next_round: Time,
    /// Last answers of other relays, by name.
    heard: BTreeMap<String, Heard>,
    /// Since when the evidence is too old, if a change of this was reported.
    lost_since: Option<Time>,
    /// Version in force when the store had a newer configuration that could not be used. Nothing confirms
    /// this version or an older one from then on.
    superseded: Option<u64>,
}

impl Evidence {
    /// Creates the state of a relay without evidence. `limit` is the time for which a removed key may be
    /// used; `None` if revocation is not strict.
    pub fn new(limit: Option<Duration>) -> Self {
        Self { limit, ..Self::default() }
    }

    /// Returns the longest time for which the store may hold a call, so that evidence stays young while
    /// it answers.
    pub fn bounded_wait(limit: Option<Duration>, wait: Duration) -> Duration {
        limit.map_or(wait, |limit| wait.min(limit / ASK_AGE_DIVISOR))
    }

    /// Records that the store confirmed a version, when `in_force` has been applied. The next call has
    /// begun, and the store may hold it for `wait`.
    pub fn record_store(
        &mut self,
        confirmation: Confirmation,
        in_force: u64,
        now: Time,
        wait: Duration,
    ) {
        let delay = self.limit.unwrap_or_default() / ASK_PERIOD_DIVISOR;
        self.due = Some(now + wait + delay);
        self.record(confirmation, in_force);
    }

    /// Records that the store has a newer configuration than the one in force, which cannot be used. The
    /// evidence grows old until a usable one is in force.
    pub const fn record_unusable(&mut self, in_force: u64) {
        self.superseded = Some(in_force);
        // Another relay may have a configuration that this one can use.
        self.due = None;
    }

    /// Records that a call on the configuration table failed.
    pub const fn record_store_failure(&mut self) {
        self.due = None;
    }

    /// Records what another relay answered to a question of the time `asked`, when `in_force` has been
    /// applied. `statement` is `None` if it has no evidence.
    pub fn record_statement(
        &mut self,
        name: &str,
        statement: Option<&Statement>,
        asked: Time,
        in_force: u64,
        now: Time,
    ) {
        let confirmation = statement.and_then(|statement| statement.received(asked));
        let time = self.heard_time();
        self.heard.retain(|_, heard| now.since(heard.at) < time);
        let begin = confirmation.map(|confirmation| confirmation.begin);
        self.heard.insert(name.to_owned(), Heard { at: now, begin });
        if let Some(confirmation) = confirmation {
            self.record(confirmation, in_force);
        }
    }

    /// Whether another relay has old evidence, as it answered a short time ago.
    pub fn is_stale(&self, name: &str, now: Time) -> bool {
        let heard = self.heard.get(name);
        heard.filter(|heard| now.since(heard.at) < self.heard_time()).is_some_and(|heard| {
            heard.begin.is_none_or(|begin| now.since(begin) >= self.unready_age())
        })
    }

    fn heard_time(&self) -> Duration {
        self.limit.unwrap_or_default() / HEARD_DIVISOR
    }

    /// Returns the age from which this relay is not ready if another one reaches the store.
    fn unready_age(&self) -> Duration {
        self.limit.unwrap_or_default().mul_f64(UNREADY_SHARE)
    }

    /// Keeps the confirmation if it covers the version in force and is younger than the known one.
    fn record(&mut self, confirmation: Confirmation, in_force: u64) {
        let is_younger = self.known.is_none_or(|known| known.begin < confirmation.begin);
        // The other relay has a newer configuration, which this one could not apply.
        let is_covered = confirmation.version <= in_force;
        let is_superseded = self.superseded.is_some_and(|version| in_force <= version);
        if is_younger && is_covered && !is_superseded {
            self.known = Some(confirmation);
        }
    }

    /// Returns the time since the configuration in force was known to be the newest one; `None` if it never
    /// was.
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.known.map(|known| now.since(known.begin))
    }

    /// Whether the configuration in force was the newest one less than `within` ago.
    pub fn is_current(&self, now: Time, within: Duration) -> bool {
        self.age(now).is_some_and(|age| age < within)
    }

    /// Returns what this relay states to another one; `None` without evidence.
    pub fn statement(&self, now: Time) -> Option<Statement> {
        let known = self.known?;
        let age_ms = now.since(known.begin).as_micros().div_ceil(1_000);
        Some(Statement { version: known.version, age_ms: u64::try_from(age_ms).ok()? })
    }

    /// Whether to ask other relays now. `random` is between 0 and 1 and varies the time of the next round.
    pub fn begin_round(&mut self, now: Time, random: f64) -> bool {
        let Some(limit) = self.limit else { return false };
        let is_young = self.is_current(now, limit / ASK_AGE_DIVISOR);
        let is_followed = self.due.is_some_and(|due| now < due);
        if is_young || is_followed || now < self.next_round {
            return false;
        }
        let factor = 1.0 + JITTER_SHARE * (2.0 * random.clamp(0.0, 1.0) - 1.0);
        self.next_round = now + (limit / ASK_PERIOD_DIVISOR).mul_f64(factor);
        true
    }

    /// Whether new callers should go to other relays, because this one has old evidence. `connected` are the
    /// relays that reach the store, as far as the monitors say; those whose answers say otherwise do not.
    pub fn is_unready<'a>(&self, now: Time, connected: impl IntoIterator<Item = &'a str>) -> bool {
        self.limit.is_some()
            && !self.is_current(now, self.unready_age())
            && connected.into_iter().any(|name| !self.is_stale(name, now))
    }

    /// Returns the change since the last call, if there was one. Before the first evidence, none is lost.
    pub fn take_change(&mut self, now: Time) -> Option<Change> {
        let limit = self.limit?;
        let age = self.age(now)?;
        match (self.lost_since, age < limit) {
            (None, false) => {
                self.lost_since = Some(now);
                Some(Change::Lost(age))
            }
            (Some(since), true) => {
                self.lost_since = None;
                Some(Change::Back(now.since(since)))
            }
            (None, true) | (Some(_), false) => None,
        }
    }
}

/// Chooses the relays to ask: first those that reach the store. `random` returns a number for each
/// candidate, which orders equals.
pub fn choose<'a>(candidates: &[Candidate<'a>], mut random: impl FnMut() -> u64) -> Vec<&'a str> {
    let mut ordered: Vec<_> =
        candidates.iter().map(|peer| (!peer.reaches_store, random(), peer.name)).collect();
    ordered.sort_unstable();
    ordered.into_iter().take(MAX_PEERS).map(|(.., name)| name).collect()
}
