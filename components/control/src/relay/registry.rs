//! Registry of the upstreams that the store lists, which tolerates outages of the store.
//!
//! The entry of an upstream expires when it is not renewed. Upstreams cannot renew their entries
//! during an outage, so after an outage an upstream with a missing entry is kept until it has had
//! time to renew it.

use std::{collections::BTreeMap, time::Duration};

use crate::{relay::selector::Upstream, time::Time};

/// Time without an answer of the store after which the store counts as unavailable. In a longer
/// outage, entries may have expired because they could not be renewed.
pub const OUTAGE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Effect of an update of the registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// A new upstream was added.
    Added,
    /// An upstream stopped accepting new work.
    Leaving,
    /// The entry of an upstream is missing, but the upstream is kept for the grace period.
    Lapsed,
    /// An upstream was removed.
    Removed,
    /// Nothing changed, or nothing that is logged.
    Minor,
}

struct Entry {
    version: u64,
    upstream: Upstream,
    /// When the upstream is removed, if its entry is missing after an outage and does not return.
    remove_at: Option<Time>,
}

/// The upstreams by id.
pub struct Registry {
    entries: BTreeMap<String, Entry>,
    grace_period: Duration,
    /// End of the grace period of the last outage.
    grace_until: Option<Time>,
}

impl Registry {
    /// Creates an empty registry. Entries that expired in an outage may return within
    /// `grace_period` after it.
    pub const fn new(grace_period: Duration) -> Self {
        Self { entries: BTreeMap::new(), grace_period, grace_until: None }
    }

    /// Records an answer of the store, which came after a time of `silence` without one.
    pub fn record_store_answer(&mut self, now: Time, silence: Duration) {
        if silence > OUTAGE_THRESHOLD {
            self.grace_until = Some(now + self.grace_period);
        }
    }

    /// Inserts or replaces an entry. Versions older than the known one are ignored.
    pub fn put(&mut self, id: &str, version: u64, upstream: Upstream) -> Change {
        let known = self.entries.get(id);
        if known.is_some_and(|known| known.version > version) {
            return Change::Minor;
        }
        let change = match known {
            None => Change::Added,
            Some(known) if upstream.leaving && !known.upstream.leaving => Change::Leaving,
            Some(_) => Change::Minor,
        };
        self.entries.insert(id.to_owned(), Entry { version, upstream, remove_at: None });
        change
    }

    /// Records that the store has no entry of an upstream. Removes the upstream, or keeps it until
    /// the end of a running grace period unless it was leaving.
    pub fn record_missing(&mut self, id: &str, now: Time) -> Change {
        let until = self.grace_until.filter(|until| now < *until);
        match (self.entries.get_mut(id), until) {
            (Some(entry), Some(until)) if !entry.upstream.leaving => {
                if entry.remove_at.is_some() {
                    return Change::Minor;
                }
                entry.remove_at = Some(until);
                Change::Lapsed
            }
            (Some(_), _) => self.remove(id),
            (None, _) => Change::Minor,
        }
    }

    /// Removes an upstream, for example because its entry cannot be parsed.
    pub fn remove(&mut self, id: &str) -> Change {
        match self.entries.remove(id) {
            Some(_) => Change::Removed,
            None => Change::Minor,
        }
    }

    /// Removes the upstreams whose entries did not return within the grace period, and returns
    /// their ids.
    pub fn remove_expired(&mut self, now: Time) -> Vec<String> {
        let is_expired = |entry: &Entry| entry.remove_at.is_some_and(|time| time <= now);
        let expired: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_expired(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.entries.remove(id);
        }
        expired
    }

    /// Returns the ids of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    /// Returns the upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// Returns a copy of all upstreams by id.
    pub fn upstreams(&self) -> BTreeMap<String, Upstream> {
        let entries = self.entries.iter();
        entries.map(|(id, entry)| (id.clone(), entry.upstream.clone())).collect()
    }
}
