//! Shares of client accounts in the slots of a shard.
//!
//! Online requests are ordered by start-time fair queueing (Goyal, Vin and Cheng, 1996). Batch items are
//! ordered by whether their account holds more than an equal share of the batch slots.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops::RangeBounds,
};

use super::{Charge, queue::BatchKey};
use crate::relay::origin::Software;

/// Cost in tokens that is assumed while no request of the shard has stated one.
const DEFAULT_COST: u64 = 1_000;
/// Largest cost in tokens of one request. Larger statements exceed what an upstream can hold.
const MAX_COST: u64 = 1 << 24;
/// Weight of a new sample, one in so many, in the moving average of the stated costs.
const MEAN_SAMPLES: u64 = 20;
/// Start tag of a request that has none yet.
const UNTAGGED: u64 = u64::MAX;
/// Weight of the requests with the most urgent priority. Each weight divides it.
const MAX_WEIGHT: u64 = 4;

/// An account in the order of a shard. Requests without an account count as those of one account.
pub type Member = Option<u32>;

/// Returns the weight of a priority. It is bounded, so that no priority takes all slots.
const fn weight(priority: u32) -> u64 {
    match priority {
        0 => MAX_WEIGHT,
        1 => 2,
        _ => 1,
    }
}

/// Waiting requests of an account.
#[derive(Clone, Debug)]
struct Flow<K> {
    /// Finish tag of the last request that was granted, or the virtual time at which the account began
    /// to wait if that was later.
    finish: u64,
    /// Start tags and costs, in the order in which the account's requests get slots.
    waiting: BTreeMap<K, (u64, u64)>,
}

/// Order of online requests by their start tags.
///
/// The requests of one account keep the order of their keys. The start tag of the first one is the finish
/// tag of its account, and that of each other one is the finish tag of the request before it. A request
/// that is refused or withdrawn therefore costs its account nothing.
#[derive(Clone, Debug)]
pub struct Order<K> {
    /// Start tag of the last request that was granted.
    virtual_time: u64,
    /// Accounts with waiting requests, or with a finish tag after the virtual time.
    flows: BTreeMap<Member, Flow<K>>,
    /// Finish tags of the accounts without waiting requests.
    idle: BTreeSet<(u64, Member)>,
    /// Start tags of the waiting requests.
    tags: BTreeSet<(u64, K)>,
    /// Number of waiting requests with an account.
    accounted: usize,
    /// Moving average of the stated costs.
    mean_cost: Option<u64>,
}

impl<K> Default for Order<K> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            flows: BTreeMap::new(),
            idle: BTreeSet::new(),
            tags: BTreeSet::new(),
            accounted: 0,
            mean_cost: None,
        }
    }
}

impl<K: Copy + Ord> Order<K> {
    /// Adds a request.
    pub fn push(&mut self, key: K, charge: Charge) {
        let cost = self.cost(charge);
        let flow = self.activate(charge.account);
        flow.waiting.insert(key, (UNTAGGED, cost));
        self.update_tags(charge.account, key);
        self.accounted += usize::from(charge.account.is_some());
    }

    /// Removes a request.
    pub fn remove(&mut self, key: K, account: Member) {
        let Some(flow) = self.flows.get_mut(&account) else { return };
        let Some((tag, _)) = flow.waiting.remove(&key) else { return };
        self.tags.remove(&(tag, key));
        self.accounted -= usize::from(account.is_some());
        self.update_tags(account, key);
        self.deactivate(account);
    }

    /// Removes a request that gets a slot, and charges it to its account. The virtual time does not pass
    /// the first request that `is_free` to use any slot, or later accounts would go behind requests that
    /// were overtaken.
    pub fn grant(&mut self, key: K, account: Member, is_free: impl Fn(&K) -> bool) {
        let Some(flow) = self.flows.get_mut(&account) else { return };
        let Some((tag, cost)) = flow.waiting.get(&key).copied() else { return };
        flow.finish = flow.finish.max(self.virtual_time).saturating_add(cost);
        let first = self.tags.iter().find(|(_, key)| is_free(key));
        let start = first.map_or(tag, |(first, _)| tag.min(*first));
        self.virtual_time = self.virtual_time.max(start);
        self.remove(key, account);
        self.update_all_tags(account);
        while let Some((finish, account)) = self.idle.first().copied()
            && finish <= self.virtual_time
        {
            self.idle.pop_first();
            self.flows.remove(&account);
        }
    }

    /// Charges a request that got a slot out of turn to its account.
    pub fn charge(&mut self, charge: Charge) {
        let cost = self.cost(charge);
        let flow = self.activate(charge.account);
        flow.finish = flow.finish.saturating_add(cost);
        self.update_all_tags(charge.account);
        self.deactivate(charge.account);
    }

    /// Returns the requests in the order in which they get slots.
    pub fn iter(&self) -> impl Iterator<Item = K> {
        self.tags.iter().map(|(_, key)| *key)
    }

    /// Returns the number of requests before one that waits.
    pub fn before(&self, key: K, account: Member) -> usize {
        self.entry(key, account).map_or(0, |entry| self.tags.range(..entry).count())
    }

    /// Returns the requests after one that waits.
    pub fn after(&self, key: K, account: Member) -> impl Iterator<Item = K> {
        let entry = self.entry(key, account).into_iter();
        entry.flat_map(|entry| self.tags.range(entry..).skip(1)).map(|(_, key)| *key)
    }

    /// Whether requests with an account wait.
    pub const fn has_accounts(&self) -> bool {
        self.accounted > 0
    }

    /// Returns the number of accounts that are remembered.
    pub fn accounts(&self) -> usize {
        self.flows.len()
    }

    fn entry(&self, key: K, account: Member) -> Option<(u64, K)> {
        let (tag, _) = self.flows.get(&account)?.waiting.get(&key)?;
        Some((*tag, key))
    }

    /// Returns the cost of a request divided by its weight. A request that states none costs as much as
    /// the mean of those that do, so that it gains nothing.
    fn cost(&mut self, charge: Charge) -> u64 {
        let tokens = match u64::from(charge.tokens) {
            0 => self.mean_cost.unwrap_or(DEFAULT_COST),
            stated => {
                let stated = stated.min(MAX_COST);
                let mean = self.mean_cost.unwrap_or(stated);
                let sum = mean * (MEAN_SAMPLES - 1) + stated;
                self.mean_cost = Some(sum.div_ceil(MEAN_SAMPLES));
                stated
            }
        };
        tokens * (MAX_WEIGHT / weight(charge.priority))
    }

    /// Returns an account that gets a request, or a slot.
    fn activate(&mut self, account: Member) -> &mut Flow<K> {
        let now = self.virtual_time;
        let flow =
            self.flows.entry(account).or_insert(Flow { finish: now, waiting: BTreeMap::new() });
        if flow.waiting.is_empty() {
            self.idle.remove(&(flow.finish, account));
            flow.finish = flow.finish.max(now);
        }
        flow
    }

    /// Drops an account that has no waiting request once the virtual time has passed its finish tag.
    fn deactivate(&mut self, account: Member) {
        let Some(flow) = self.flows.get(&account).filter(|flow| flow.waiting.is_empty()) else {
            return;
        };
        if flow.finish <= self.virtual_time {
            self.flows.remove(&account);
        } else {
            self.idle.insert((flow.finish, account));
        }
    }

    fn update_all_tags(&mut self, account: Member) {
        let flow = self.flows.get(&account);
        if let Some(first) = flow.and_then(|flow| flow.waiting.keys().next().copied()) {
            self.update_tags(account, first);
        }
    }

    /// Updates the start tags of an account's requests from `key` on.
    fn update_tags(&mut self, account: Member, key: K) {
        let Some(flow) = self.flows.get_mut(&account) else { return };
        let before = flow.waiting.range(..key).next_back();
        let start = before.map_or(flow.finish, |(_, (tag, cost))| tag.saturating_add(*cost));
        let mut start = start.max(self.virtual_time);
        for (key, (tag, cost)) in flow.waiting.range_mut(key..) {
            if *tag == start {
                // The tags of the requests after it depend only on this one.
                break;
            }
            self.tags.remove(&(*tag, *key));
            *tag = start;
            self.tags.insert((start, *key));
            start = start.saturating_add(*cost);
        }
    }
}

/// Batch items that any upstream of the same software can run for the same account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Group {
    account: Member,
    software: Option<Software>,
}

/// Batch slots that accounts hold, and their waiting items.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    /// Slots held by account.
    held: BTreeMap<Member, u32>,
    total: u64,
    waiting: BTreeMap<Group, BTreeSet<BatchKey>>,
    /// Most urgent item of each group, by the number of slots that the account holds. These numbers
    /// differ for few accounts, since their sum is at most the number of slots of the shard.
    first: BTreeMap<u32, BTreeSet<(BatchKey, Group)>>,
    /// Number of groups with waiting items, by account.
    groups: BTreeMap<Member, u32>,
    /// Number of accounts that hold slots or have waiting items.
    members: u64,
}

impl Shares {
    /// Adds an item.
    pub fn push(&mut self, key: BatchKey, account: Member, software: Option<Software>) {
        let group = Group { account, software };
        if let Some(items) = self.waiting.get_mut(&group)
            && items.first().is_some_and(|first| *first < key)
        {
            items.insert(key);
            return;
        }
        self.change(account, |shares| {
            let items = shares.waiting.entry(group).or_default();
            if items.is_empty() {
                *shares.groups.entry(account).or_default() += 1;
            }
            items.insert(key);
        });
    }

    /// Removes an item.
    pub fn remove(&mut self, key: BatchKey, account: Member, software: Option<Software>) {
        let group = Group { account, software };
        if let Some(items) = self.waiting.get_mut(&group)
            && items.first().is_some_and(|first| *first < key)
        {
            items.remove(&key);
            return;
        }
        self.change(account, |shares| {
            let Some(items) = shares.waiting.get_mut(&group) else { return };
            items.remove(&key);
            if items.is_empty() {
                shares.waiting.remove(&group);
                decrement(&mut shares.groups, account);
            }
        });
    }

    /// Records that an account holds one slot more.
    pub fn hold(&mut self, account: Member) {
        self.change(account, |shares| {
            *shares.held.entry(account).or_default() += 1;
            shares.total += 1;
        });
    }

    /// Records that an account holds one slot less.
    pub fn release(&mut self, account: Member) {
        self.change(account, |shares| {
            if shares.held.contains_key(&account) {
                decrement(&mut shares.held, account);
                shares.total -= 1;
            }
        });
    }

    /// Whether no items wait.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether an account holds more than an equal share.
    pub fn is_above(&self, account: Member) -> bool {
        self.held(account) > self.share()
    }

    /// Returns the item that gets a slot next: the most urgent one of the accounts that do not hold more
    /// than an equal share, else the most urgent one. Only items whose software `has_place` accepts are
    /// considered.
    pub fn next(
        &self,
        has_place: impl Fn(Option<Software>) -> bool,
    ) -> Option<(BatchKey, Option<Software>)> {
        let share = self.share();
        let has_place = &has_place;
        self.most_urgent(..=share, has_place).or_else(|| self.most_urgent(share + 1.., has_place))
    }

    fn most_urgent(
        &self,
        held: impl RangeBounds<u32>,
        has_place: impl Fn(Option<Software>) -> bool,
    ) -> Option<(BatchKey, Option<Software>)> {
        let accepted = self
            .first
            .range(held)
            .filter_map(|(_, first)| first.iter().find(|(_, group)| has_place(group.software)));
        accepted.min().map(|(key, group)| (*key, group.software))
    }

    fn held(&self, account: Member) -> u32 {
        self.held.get(&account).copied().unwrap_or(0)
    }

    /// Returns an equal share of the slots in use, rounded down.
    fn share(&self) -> u32 {
        u32::try_from(self.total / self.members.max(1)).unwrap_or(u32::MAX - 1)
    }

    fn is_member(&self, account: Member) -> bool {
        self.held.contains_key(&account) || self.groups.contains_key(&account)
    }

    /// Changes the slots or the items of an account.
    fn change(&mut self, account: Member, change: impl FnOnce(&mut Self)) {
        let was_member = self.is_member(account);
        self.unlist(account);
        change(self);
        self.list(account);
        match (was_member, self.is_member(account)) {
            (false, true) => self.members += 1,
            (true, false) => self.members -= 1,
            _ => {}
        }
    }

    fn first_of(&self, account: Member) -> Vec<(BatchKey, Group)> {
        let from = Group { account, software: None };
        let groups = self.waiting.range(from..).take_while(|(group, _)| group.account == account);
        groups.filter_map(|(group, items)| Some((*items.first()?, *group))).collect()
    }

    fn unlist(&mut self, account: Member) {
        let (held, firsts) = (self.held(account), self.first_of(account));
        if let Some(listed) = self.first.get_mut(&held) {
            for first in &firsts {
                listed.remove(first);
            }
            if listed.is_empty() {
                self.first.remove(&held);
            }
        }
    }

    fn list(&mut self, account: Member) {
        let (held, firsts) = (self.held(account), self.first_of(account));
        if !firsts.is_empty() {
            self.first.entry(held).or_default().extend(firsts);
        }
    }
}

/// Lowers the number of an account by one and drops it at zero.
fn decrement(numbers: &mut BTreeMap<Member, u32>, account: Member) {
    if let Some(number) = numbers.get_mut(&account) {
        *number -= 1;
        if *number == 0 {
            numbers.remove(&account);
        }
    }
}

/// Returns items in turns of their accounts: the first one of each account, then the second one of each, and
/// so on. Items of the same turn keep their order, and so do all of one account.
pub fn by_turns<T>(
    items: impl IntoIterator<Item = T>,
    account: impl Fn(&T) -> Member,
) -> impl Iterator<Item = T> {
    let mut counts: BTreeMap<Member, usize> = BTreeMap::new();
    let mut turns: BTreeMap<usize, Vec<T>> = BTreeMap::new();
    for item in items {
        let count = counts.entry(account(&item)).or_default();
        turns.entry(*count).or_default().push(item);
        *count += 1;
    }
    turns.into_values().flatten()
}
