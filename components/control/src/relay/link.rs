//! Links of one relay to the upstreams, and the relays that carry connections for it.
//!
//! A relay that cannot open a connection to an upstream does not know whether the upstream or its own link
//! failed. Another relay that reaches the upstream shows that it was the link.

use std::{collections::BTreeMap, time::Duration};

use crate::time::Time;

/// Time between two attempts to reach an upstream again on a lost link.
pub const PROBE_PERIOD: Duration = Duration::from_millis(500);
/// Time between two checks of the link to an upstream that is silent.
const CHECK_PERIOD: Duration = Duration::from_secs(2);
/// Time for which a connection or a response shows that the link to an upstream is sound.
const REACHED_TIME: Duration = Duration::from_secs(3);
/// Time for which a relay that carried a connection is preferred.
const CARRIER_TIME: Duration = Duration::from_secs(3);
/// Time for which a relay that did not carry a connection is not asked again.
const DECLINE_TIME: Duration = Duration::from_secs(1);

/// Why a connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The vm, or one on the way, refused or reset it.
    Refused,
    /// Nothing answered.
    Timeout,
}

impl Cause {
    /// Returns the name used in logs.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Timeout => "timeout",
        }
    }
}

/// A link on which no connection can be opened.
#[derive(Clone, Copy, Debug)]
struct Lost {
    cause: Cause,
    since: Time,
    probed_at: Time,
    /// Whether another relay reaches the upstream.
    is_confirmed: bool,
}

/// Links to upstreams, by the ids of the upstreams.
#[derive(Debug, Default)]
pub struct Links {
    lost: BTreeMap<String, Lost>,
    /// Times of the last connections and responses.
    reached: BTreeMap<String, Time>,
    /// Times of the last checks.
    checked: BTreeMap<String, Time>,
}

impl Links {
    /// Records that a connection was opened. Returns the time for which the link was lost, if another
    /// relay had confirmed that it was.
    pub fn record_reached(&mut self, id: &str, now: Time) -> Option<Duration> {
        self.reached.insert(id.to_owned(), now);
        let lost = self.lost.remove(id)?;
        lost.is_confirmed.then(|| now.since(lost.since))
    }

    /// Records that a response began on an open connection, which says nothing of new connections.
    pub fn record_response(&mut self, id: &str, now: Time) {
        if !self.lost.contains_key(id) {
            self.reached.insert(id.to_owned(), now);
        }
    }

    /// Records that a connection could not be opened.
    pub fn record_lost(&mut self, id: &str, cause: Cause, now: Time) {
        self.reached.remove(id);
        let new = Lost { cause, since: now, probed_at: now, is_confirmed: false };
        self.lost.entry(id.to_owned()).or_insert(new).cause = cause;
    }

    /// Records that another relay reaches an upstream. Returns the cause if the link to it is lost and
    /// this was not known yet.
    pub fn confirm_lost(&mut self, id: &str) -> Option<Cause> {
        let lost = self.lost.get_mut(id)?;
        (!std::mem::replace(&mut lost.is_confirmed, true)).then_some(lost.cause)
    }

    /// Returns why no connection can be opened to an upstream, if the last one failed.
    pub fn failure(&self, id: &str) -> Option<Cause> {
        self.lost.get(id).map(|lost| lost.cause)
    }

    /// Whether another relay reaches an upstream to which no connection can be opened.
    pub fn is_lost(&self, id: &str) -> bool {
        self.lost.get(id).is_some_and(|lost| lost.is_confirmed)
    }

    /// Returns the number of lost links.
    pub fn lost_count(&self) -> usize {
        self.lost.values().filter(|lost| lost.is_confirmed).count()
    }

    /// Whether most of the links that were used recently are lost. Such a relay cannot tell whether an
    /// upstream or the link to it failed, and carries no connections for others.
    pub fn is_cut_off(&self, now: Time) -> bool {
        let reached = self.reached.values().filter(|at| now.since(**at) < REACHED_TIME);
        self.lost_count() > reached.count()
    }

    /// Whether the link to an upstream is to be checked, because the upstream is silent. Records the
    /// check.
    pub fn begin_check(&mut self, id: &str, now: Time) -> bool {
        let is_due = |at: &Time| now.since(*at) >= CHECK_PERIOD;
        if self.lost.contains_key(id) || !self.checked.get(id).is_none_or(is_due) {
            return false;
        }
        self.checked.insert(id.to_owned(), now);
        true
    }

    /// Whether there are links to probe.
    pub fn has_probes(&self) -> bool {
        !self.lost.is_empty()
    }

    /// Returns up to `max` upstreams that are to be probed, those first that were not probed for the
    /// longest time. Records the probes.
    pub fn begin_probes(&mut self, max: usize, now: Time) -> Vec<String> {
        let due = self.lost.iter().filter(|(_, lost)| now.since(lost.probed_at) >= PROBE_PERIOD);
        let mut due: Vec<(Time, String)> =
            due.map(|(id, lost)| (lost.probed_at, id.clone())).collect();
        due.sort_unstable();
        due.truncate(max);
        for (_, id) in &due {
            if let Some(lost) = self.lost.get_mut(id) {
                lost.probed_at = now;
            }
        }
        due.into_iter().map(|(_, id)| id).collect()
    }

    /// Forgets an upstream that is no longer listed.
    pub fn forget(&mut self, id: &str) {
        self.lost.remove(id);
        self.reached.remove(id);
        self.checked.remove(id);
    }
}

/// Another relay that may carry a connection.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    pub name: &'a str,
    /// Processing capacity; larger relays carry more connections.
    pub capacity: u32,
}

/// What a relay did when it was last asked.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Carried(Time),
    Declined(Time),
}

/// Relays that carry connections, by their names.
#[derive(Debug, Default)]
pub struct Carriers {
    answers: BTreeMap<String, Answer>,
}

impl Carriers {
    /// Returns up to `max` relays in the order in which they are to be asked: first those that carried a
    /// connection recently, and between equals at random, by their capacity. `random` returns numbers
    /// between 0 and 1.
    pub fn choose(
        &self,
        candidates: &[Candidate<'_>],
        max: usize,
        now: Time,
        mut random: impl FnMut() -> f64,
    ) -> Vec<String> {
        let is_declined = |name: &str| match self.answers.get(name) {
            Some(Answer::Declined(at)) => now.since(*at) < DECLINE_TIME,
            Some(Answer::Carried(_)) | None => false,
        };
        let is_carrier = |name: &str| match self.answers.get(name) {
            Some(Answer::Carried(at)) => now.since(*at) < CARRIER_TIME,
            Some(Answer::Declined(_)) | None => false,
        };
        let usable = candidates.iter().filter(|candidate| !is_declined(candidate.name));
        // Weighted sampling without replacement by exponential keys (Efraimidis and Spirakis, 2006).
        let mut ordered: Vec<(bool, f64, &str)> = usable
            .map(|candidate| {
                let key = -(1.0 - random()).max(f64::MIN_POSITIVE).ln();
                let weight = f64::from(candidate.capacity.max(1));
                (!is_carrier(candidate.name), key / weight, candidate.name)
            })
            .collect();
        ordered.sort_by(|one, other| one.0.cmp(&other.0).then(one.1.total_cmp(&other.1)));
        ordered.into_iter().take(max).map(|(.., name)| name.to_owned()).collect()
    }

    /// Records that a relay carries a connection.
    pub fn record_carried(&mut self, name: &str, now: Time) {
        self.answers.insert(name.to_owned(), Answer::Carried(now));
    }

    /// Records that a relay declined or did not answer.
    pub fn record_declined(&mut self, name: &str, now: Time) {
        self.answers.insert(name.to_owned(), Answer::Declined(now));
    }

    /// Forgets the relays that are no longer in the fleet.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.answers.retain(|name, _| is_member(name));
    }
}
