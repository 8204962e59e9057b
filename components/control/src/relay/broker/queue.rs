//! Requests that wait for a slot of one shard.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    relay::broker::{Ask, Holder, Ticket, Urgency},
    time::Time,
};

/// An online request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// Time by which it has to be sent to its upstream.
    pub start_by: Time,
    /// When it began to wait.
    pub since: Time,
    pub ask: Ask,
}

type OnlineKey = (Time, Holder, Ticket);
type BatchKey = (Urgency, Holder, Ticket);

/// Online requests in the order in which they have to start, and batch items in the order of their
/// urgency.
#[derive(Debug, Default)]
pub struct Queue {
    online: BTreeMap<OnlineKey, Waiting>,
    batch: BTreeSet<BatchKey>,
    online_keys: BTreeMap<(Holder, Ticket), OnlineKey>,
    batch_keys: BTreeMap<(Holder, Ticket), BatchKey>,
}

impl Queue {
    pub fn push_online(&mut self, holder: Holder, waiting: Waiting) {
        let ticket = waiting.ask.ticket;
        let key = (waiting.start_by, holder, ticket);
        self.online_keys.insert((holder, ticket), key);
        self.online.insert(key, waiting);
    }

    pub fn push_batch(&mut self, holder: Holder, ticket: Ticket, urgency: Urgency) {
        let key = (urgency, holder, ticket);
        self.batch_keys.insert((holder, ticket), key);
        self.batch.insert(key);
    }

    pub fn remove(&mut self, holder: Holder, ticket: Ticket) {
        if let Some(key) = self.online_keys.remove(&(holder, ticket)) {
            self.online.remove(&key);
        }
        if let Some(key) = self.batch_keys.remove(&(holder, ticket)) {
            self.batch.remove(&key);
        }
    }

    /// Returns the online requests, those that have to start first before the others.
    pub fn online(&self) -> impl Iterator<Item = (Holder, &Waiting)> {
        self.online.iter().map(|((_, holder, _), waiting)| (*holder, waiting))
    }

    pub fn online_len(&self) -> usize {
        self.online.len()
    }

    /// Returns the number of online requests before one that waits.
    pub fn online_before(&self, holder: Holder, ticket: Ticket) -> usize {
        let key = self.online_keys.get(&(holder, ticket));
        key.map_or(0, |key| self.online.range(..key).count())
    }

    /// Returns an online request that can no longer start in time.
    pub fn expired(&self, now: Time) -> Option<(Holder, Ticket)> {
        let ((start_by, holder, ticket), _) = self.online.first_key_value()?;
        (*start_by < now).then_some((*holder, *ticket))
    }

    pub fn batch_len(&self) -> usize {
        self.batch.len()
    }

    pub fn most_urgent(&self) -> Option<(Urgency, Holder, Ticket)> {
        self.batch.first().copied()
    }
}
