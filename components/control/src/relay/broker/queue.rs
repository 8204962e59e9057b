//! Requests that wait for a slot of one shard.

use std::collections::BTreeMap;

use crate::{
    relay::{
        broker::{Ask, Holder, Ticket, Urgency, Want},
        origin::Software,
    },
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
pub type BatchKey = (Urgency, Holder, Ticket);

/// Online requests in the order in which they get slots, and batch items in the order of their
/// urgency.
///
/// Requests that continue a stream go first: few upstreams suit them, and their callers wait in the
/// middle of a response. The others go in the order in which they have to start.
#[derive(Debug, Default)]
pub struct Queue {
    /// Requests that continue a stream.
    continued: BTreeMap<OnlineKey, Waiting>,
    /// Requests that begin at any upstream.
    new: BTreeMap<OnlineKey, Waiting>,
    /// Batch items, with the software that they need.
    batch: BTreeMap<BatchKey, Option<Software>>,
    online_keys: BTreeMap<(Holder, Ticket), OnlineKey>,
    batch_keys: BTreeMap<(Holder, Ticket), BatchKey>,
}

impl Queue {
    pub fn push_online(&mut self, holder: Holder, waiting: Waiting) {
        let ticket = waiting.ask.ticket;
        let key = (waiting.start_by, holder, ticket);
        self.online_keys.insert((holder, ticket), key);
        match waiting.ask.software {
            Some(_) => self.continued.insert(key, waiting),
            None => self.new.insert(key, waiting),
        };
    }

    pub fn push_batch(&mut self, holder: Holder, want: Want) {
        let Want { ticket, urgency, software, .. } = want;
        let key = (urgency, holder, ticket);
        self.batch_keys.insert((holder, ticket), key);
        self.batch.insert(key, software);
    }

    pub fn remove(&mut self, holder: Holder, ticket: Ticket) {
        if let Some(key) = self.online_keys.remove(&(holder, ticket)) {
            self.continued.remove(&key);
            self.new.remove(&key);
        }
        if let Some(key) = self.batch_keys.remove(&(holder, ticket)) {
            self.batch.remove(&key);
        }
    }

    /// Returns the online requests in the order in which they get slots.
    pub fn online(&self) -> impl Iterator<Item = (Holder, &Waiting)> {
        let requests = self.continued.iter().chain(&self.new);
        requests.map(|((_, holder, _), waiting)| (*holder, waiting))
    }

    pub fn online_len(&self) -> usize {
        self.continued.len() + self.new.len()
    }

    /// Returns the number of online requests before one that waits.
    pub fn online_before(&self, holder: Holder, ticket: Ticket) -> usize {
        let Some(key) = self.online_keys.get(&(holder, ticket)) else { return 0 };
        match self.continued.contains_key(key) {
            true => self.continued.range(..key).count(),
            false => self.continued.len() + self.new.range(..key).count(),
        }
    }

    /// Returns an online request that can no longer start in time.
    pub fn expired(&self, now: Time) -> Option<(Holder, Ticket)> {
        let first = [&self.continued, &self.new].map(BTreeMap::first_key_value);
        let mut keys = first.into_iter().flatten().map(|(key, _)| *key);
        let (_, holder, ticket) = keys.find(|(start_by, ..)| *start_by < now)?;
        Some((holder, ticket))
    }

    pub fn batch_len(&self) -> usize {
        self.batch.len()
    }

    /// Returns the batch items with the software that they need, the most urgent first.
    pub fn batch(&self) -> impl Iterator<Item = (BatchKey, Option<Software>)> {
        self.batch.iter().map(|(key, software)| (*key, *software))
    }
}
