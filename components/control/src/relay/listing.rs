//! Which upstreams exist, by the store's list and its outages.
//!
//! Entries of upstreams lapse when they cannot be renewed, so an entry that is missing after an
//! outage of the store says nothing until its upstream had time to renew it.

use std::{collections::BTreeMap, time::Duration};

use crate::{relay::fleet::Upstream, time::Time};

/// Time without an answer of the store after which it counts as away: entries may have lapsed for want
/// of renewal.
pub const OUTAGE: Duration = Duration::from_millis(1_500);

/// What a change of the list did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// An upstream is new.
    Added,
    /// An upstream accepts no new work from now on.
    Leaving,
    /// An upstream stays although its entry lapsed.
    Lapsed,
    /// An upstream is gone.
    Removed,
    /// Nothing that matters for logs.
    Minor,
}

struct Entry {
    version: u64,
    upstream: Upstream,
    /// When it counts as gone although the store was away when its entry lapsed.
    gone_at: Option<Time>,
}

/// The upstreams by id.
pub struct Listing {
    entries: BTreeMap<String, Entry>,
    return_time: Duration,
    returning_until: Option<Time>,
}

impl Listing {
    /// An empty list. Lapsed entries may return within `return_time` after an outage.
    pub const fn new(return_time: Duration) -> Self {
        Self { entries: BTreeMap::new(), return_time, returning_until: None }
    }

    /// Records that the store answered after a time without an answer.
    pub fn hear(&mut self, now: Time, silence: Duration) {
        if silence > OUTAGE {
            self.returning_until = Some(now + self.return_time);
        }
    }

    /// Takes over an entry.
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
        self.entries.insert(id.to_owned(), Entry { version, upstream, gone_at: None });
        change
    }

    /// Records that the store has no entry of an upstream.
    pub fn lapse(&mut self, id: &str, now: Time) -> Change {
        let until = self.returning_until.filter(|until| now < *until);
        match (self.entries.get_mut(id), until) {
            (Some(entry), Some(until)) if !entry.upstream.leaving => {
                if entry.gone_at.is_some() {
                    return Change::Minor;
                }
                entry.gone_at = Some(until);
                Change::Lapsed
            }
            (Some(_), _) => self.remove(id),
            (None, _) => Change::Minor,
        }
    }

    /// Removes an upstream whose entry names none that can be used.
    pub fn remove(&mut self, id: &str) -> Change {
        match self.entries.remove(id) {
            Some(_) => Change::Removed,
            None => Change::Minor,
        }
    }

    /// Removes the upstreams whose entries did not return; returns their ids.
    pub fn sweep(&mut self, now: Time) -> Vec<String> {
        let overdue = |entry: &Entry| entry.gone_at.is_some_and(|gone_at| gone_at <= now);
        let gone: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, entry)| overdue(entry))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.entries.remove(id);
        }
        gone
    }

    /// Ids of all upstreams.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.entries.keys().map(String::as_str)
    }

    /// The upstream with this id.
    pub fn get(&self, id: &str) -> Option<&Upstream> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// All upstreams.
    pub fn upstreams(&self) -> BTreeMap<String, Upstream> {
        let entries = self.entries.iter();
        entries.map(|(id, entry)| (id.clone(), entry.upstream.clone())).collect()
    }
}
