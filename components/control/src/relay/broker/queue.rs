//! Requests that wait for a slot of one shard.

use std::collections::BTreeMap;

use crate::{
    relay::broker::{
        Ask, Charge, Holder, Ticket, Urgency, Want,
        fairness::{Order, Shares},
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
/// middle of a response. The others go in the order of the shares of their accounts, and those of one
/// account, or without accounts, in the order in which they have to start.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    /// Requests that continue a stream.
    continued: BTreeMap<OnlineKey, Waiting>,
    /// Requests that begin at any upstream.
    new: BTreeMap<OnlineKey, Waiting>,
    /// The order of `new`.
    order: Order<OnlineKey>,
    /// Batch items, and the batch slots in use.
    batch: Shares,
    online_keys: BTreeMap<(Holder, Ticket), OnlineKey>,
    wants: BTreeMap<(Holder, Ticket), Want>,
}

impl Queue {
    pub fn push_online(&mut self, holder: Holder, waiting: Waiting) {
        let ticket = waiting.ask.ticket;
        let key = (waiting.start_by, holder, ticket);
        self.online_keys.insert((holder, ticket), key);
        if waiting.ask.software.is_some() {
            self.continued.insert(key, waiting);
        } else {
            self.order.push(key, waiting.ask.charge);
            self.new.insert(key, waiting);
        }
    }

    pub fn push_batch(&mut self, holder: Holder, want: Want) {
        let key = (want.urgency, holder, want.ticket);
        self.wants.insert((holder, want.ticket), want);
        self.batch.push(key, want.charge.account, want.software);
    }

    pub fn remove(&mut self, holder: Holder, ticket: Ticket) {
        if let Some(key) = self.online_keys.remove(&(holder, ticket)) {
            self.continued.remove(&key);
            if let Some(waiting) = self.new.remove(&key) {
                self.order.remove(key, waiting.ask.charge.account);
            }
        }
        if let Some(want) = self.wants.remove(&(holder, ticket)) {
            let key = (want.urgency, holder, ticket);
            self.batch.remove(key, want.charge.account, want.software);
        }
    }

    /// Removes a request that gets a slot, and charges an online one to its account. Returns the charge.
    pub fn grant(&mut self, holder: Holder, ticket: Ticket) -> Charge {
        let key = self.online_keys.get(&(holder, ticket)).copied();
        let charge = match key {
            Some(key) => self.charge_online(key),
            None => self.wants.get(&(holder, ticket)).map(|want| want.charge),
        };
        self.remove(holder, ticket);
        charge.unwrap_or_default()
    }

    fn charge_online(&mut self, key: OnlineKey) -> Option<Charge> {
        if let Some(waiting) = self.continued.get(&key) {
            self.order.charge(waiting.ask.charge);
            return Some(waiting.ask.charge);
        }
        let charge = self.new.get(&key)?.ask.charge;
        let is_free =
            |key: &OnlineKey| self.new.get(key).is_some_and(|waiting| !waiting.ask.is_restricted());
        self.order.grant(key, charge.account, is_free);
        Some(charge)
    }

    /// Returns the online requests in the order in which they get slots.
    pub fn online(&self) -> impl Iterator<Item = (Holder, &Waiting)> {
        let continued = self.continued.iter().map(|((_, holder, _), waiting)| (*holder, waiting));
        let new = self.order.iter().filter_map(|key| Some((key.1, self.new.get(&key)?)));
        continued.chain(new)
    }

    /// Returns the number of batch items that wait.
    pub fn batch_len(&self) -> usize {
        self.wants.len()
    }

    pub fn online_len(&self) -> usize {
        self.continued.len() + self.new.len()
    }

    /// Returns the number of online requests before one that waits.
    pub fn online_before(&self, holder: Holder, ticket: Ticket) -> usize {
        let Some(key) = self.online_keys.get(&(holder, ticket)) else { return 0 };
        match self.new.get(key) {
            None => self.continued.range(..key).count(),
            Some(waiting) => {
                self.continued.len() + self.order.before(*key, waiting.ask.charge.account)
            }
        }
    }

    /// Returns the requests that a new one has pushed back, with their positions, in the order in which
    /// they get slots. There are none while no request has an account.
    pub fn pushed_back(&self, holder: Holder, ticket: Ticket) -> Vec<(usize, (Holder, Ticket))> {
        let Some(key) = self.online_keys.get(&(holder, ticket)) else { return Vec::new() };
        if !self.order.has_accounts() {
            return Vec::new();
        }
        let continued = self.continued.len();
        let request = |(_, holder, ticket): OnlineKey| (holder, ticket);
        match self.new.get(key) {
            None => (continued..).zip(self.order.iter().map(request)).collect(),
            Some(waiting) => {
                let account = waiting.ask.charge.account;
                let first = continued + self.order.before(*key, account) + 1;
                (first..).zip(self.order.after(*key, account).map(request)).collect()
            }
        }
    }

    /// Returns the time by which a waiting online request has to be sent to its upstream.
    pub fn start_by(&self, holder: Holder, ticket: Ticket) -> Option<Time> {
        self.online_keys.get(&(holder, ticket)).map(|(start_by, ..)| *start_by)
    }

    /// Returns an online request that can no longer start in time.
    pub fn expired(&self, now: Time) -> Option<(Holder, Ticket)> {
        let first = [&self.continued, &self.new].map(BTreeMap::first_key_value);
        let mut keys = first.into_iter().flatten().map(|(key, _)| *key);
        let (_, holder, ticket) = keys.find(|(start_by, ..)| *start_by < now)?;
        Some((holder, ticket))
    }

    /// Returns the batch items, and the batch slots in use.
    pub const fn batch(&self) -> &Shares {
        &self.batch
    }

    pub const fn batch_mut(&mut self) -> &mut Shares {
        &mut self.batch
    }
}
