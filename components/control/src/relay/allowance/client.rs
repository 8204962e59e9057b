//! What a relay that asks owners for tokens remembers of their answers.

use std::{collections::BTreeMap, time::Duration};

use super::{Limit, MAX_WAIT, Report, WINDOW};
use crate::time::Time;

/// Time for which the level that an owner stated is remembered.
const REPORT_TIME: Duration = WINDOW;
/// Requests a second of one account from which a relay asks for blocks of tokens.
const BLOCK_RATE: u32 = 40;
/// Time for which a block is meant to last.
const BLOCK_PERIOD: Duration = Duration::from_millis(50);
/// Time after which the rest of a block is given back.
pub const BLOCK_TIME: Duration = Duration::from_millis(200);
/// Time in which the requests of an account are counted.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Longest time for which requests are refused without an ask. Tokens that other requests give back are
/// granted after it.
const MAX_EMPTY_TIME: Duration = Duration::from_millis(20);
/// Time between two searches for accounts to forget.
const PRUNE_PERIOD: Duration = Duration::from_secs(5);

/// How a request gets its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision<O> {
    /// It has one, which the owner granted in a block.
    Taken(O),
    /// It gets none; its caller may retry after the time.
    Refused(Duration),
    /// The owner is to be asked for this number of tokens.
    Ask(u32),
}

#[derive(Clone, Copy, Debug)]
struct Block<O> {
    owner: O,
    left: u32,
    granted_at: Time,
}

#[derive(Clone, Debug)]
struct Account<O> {
    used_at: Time,
    /// Owner that answered last, when, and the level that it stated in thousandths.
    stated: Option<(O, Time, i64)>,
    block: Option<Block<O>>,
    /// When the last block was asked for.
    block_asked_at: Option<Time>,
    /// Until when the bucket at the owner is known to be empty.
    empty_until: Time,
    /// Retry time of the last refusal.
    retry_at: Time,
    /// Requests since `counted_from`.
    count: u32,
    counted_from: Time,
    /// Requests in the window before.
    rate: u32,
}

impl<O> Account<O> {
    const fn new(now: Time) -> Self {
        Self {
            used_at: now,
            stated: None,
            block: None,
            block_asked_at: None,
            empty_until: now,
            retry_at: now,
            count: 0,
            counted_from: now,
            rate: 0,
        }
    }

    fn count_request(&mut self, now: Time) {
        let elapsed = now.since(self.counted_from);
        if elapsed >= RATE_WINDOW {
            self.rate = if elapsed < RATE_WINDOW * 2 { self.count } else { 0 };
            self.count = 0;
            self.counted_from = now;
        }
        self.count = self.count.saturating_add(1);
        self.used_at = now;
    }
}

/// What a relay remembers of the answers of owners, by account. `O` identifies an owner.
#[derive(Clone, Debug)]
pub struct Client<O> {
    accounts: BTreeMap<u64, Account<O>>,
    pruned_at: Time,
}

impl<O> Default for Client<O> {
    fn default() -> Self {
        Self { accounts: BTreeMap::new(), pruned_at: Time::default() }
    }
}

impl<O: Copy + PartialEq> Client<O> {
    /// Creates a client that remembers nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decides how a request of an account gets its token.
    pub fn take(&mut self, now: Time, id: u64, limit: Limit) -> Decision<O> {
        if now.since(self.pruned_at) >= PRUNE_PERIOD {
            self.pruned_at = now;
            self.accounts.retain(|_, account| now.since(account.used_at) < REPORT_TIME);
        }
        let account = self.accounts.entry(id).or_insert_with(|| Account::new(now));
        account.count_request(now);
        if let Some(block) = &mut account.block
            && now.since(block.granted_at) < BLOCK_TIME
        {
            block.left -= 1;
            let Block { owner, left, .. } = *block;
            if left == 0 {
                account.block = None;
            }
            return Decision::Taken(owner);
        }
        if now < account.empty_until {
            let next = account.retry_at.max(now) + limit.time_for(1.0);
            account.retry_at = if next > now + MAX_WAIT { now + MAX_WAIT / 2 } else { next };
            return Decision::Refused(account.retry_at.since(now));
        }
        let is_asked = account.block_asked_at.is_some_and(|at| now.since(at) < BLOCK_PERIOD);
        if account.rate <= BLOCK_RATE || account.block.is_some() || is_asked {
            return Decision::Ask(1);
        }
        account.block_asked_at = Some(now);
        Decision::Ask((f64::from(account.rate) * BLOCK_PERIOD.as_secs_f64()).ceil() as u32)
    }

    /// Returns what [`Self::take`] would decide, without taking a token.
    pub fn preview(&self, now: Time, id: u64, limit: Limit) -> Decision<O> {
        self.clone().take(now, id, limit)
    }

    /// Returns the owner that answered last, the time since then, and the level that it stated in thousandths.
    pub fn stated(&self, now: Time, id: u64) -> Option<(O, Duration, i64)> {
        let (owner, stated_at, level_milli) = self.accounts.get(&id)?.stated?;
        Some((owner, now.since(stated_at), level_milli))
    }

    /// Returns what to tell an owner of the level that another one stated.
    pub fn report(&self, now: Time, id: u64, owner: O) -> Option<Report> {
        let (former, stated_at, level_milli) = self.accounts.get(&id)?.stated?;
        let age = now.since(stated_at);
        (former != owner && age < REPORT_TIME).then_some(Report { level_milli, age })
    }

    /// Records that an owner granted tokens. Returns whether some are left beside the one of the request.
    pub fn record_grant(
        &mut self,
        now: Time,
        id: u64,
        owner: O,
        count: u32,
        level_milli: i64,
    ) -> bool {
        let account = self.accounts.entry(id).or_insert_with(|| Account::new(now));
        account.stated = Some((owner, now, level_milli));
        account.empty_until = now;
        let left = count.saturating_sub(1);
        if left > 0 {
            let former = account.block.filter(|block| block.owner == owner);
            let left = left + former.map_or(0, |block| block.left);
            account.block = Some(Block { owner, left, granted_at: now });
        }
        left > 0
    }

    /// Records that an owner refused an ask of the time `asked_at`.
    pub fn record_refusal(
        &mut self,
        now: Time,
        id: u64,
        owner: O,
        (asked_at, wait): (Time, Duration),
        (limit, level_milli): (Limit, i64),
    ) {
        let account = self.accounts.entry(id).or_insert_with(|| Account::new(now));
        account.stated = Some((owner, now, level_milli));
        let empty = limit.time_for(1.0 - level_milli as f64 / 1_000.0).min(MAX_EMPTY_TIME);
        // The owner has answered after the ask was sent.
        account.empty_until = asked_at + empty;
        account.retry_at = now + wait;
    }

    /// Records the level at which an owner that is shutting down stopped granting.
    pub fn record_closing(&mut self, now: Time, id: u64, owner: O, report: Report) {
        let account = self.accounts.entry(id).or_insert_with(|| Account::new(now));
        let stated_at = now - report.age;
        if account.stated.is_none_or(|(_, known_at, _)| known_at <= stated_at) {
            account.stated = Some((owner, stated_at, report.level_milli));
        }
    }

    /// Takes the rest of a block that is to be given back, if it is old enough.
    pub fn take_rest(&mut self, now: Time, id: u64) -> Option<(O, u32)> {
        let account = self.accounts.get_mut(&id)?;
        let block = account.block.filter(|block| now.since(block.granted_at) >= BLOCK_TIME)?;
        account.block = None;
        (block.left > 0).then_some((block.owner, block.left))
    }
}
