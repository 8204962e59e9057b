//! Requests that relays admit while no owner of an account answers.

use std::{collections::BTreeMap, time::Duration};

use super::{Limit, MAX_WAIT, WINDOW};
use crate::time::Time;

/// Time without a request after which a share is forgotten.
const IDLE_TIME: Duration = WINDOW;
/// Time between two searches for shares to forget.
const PRUNE_PERIOD: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Share {
    level: f64,
    filled_at: Time,
    used_at: Time,
}

impl Share {
    /// Creates a share of which `random`, a number between 0 and 1, decides the level. All relays together
    /// begin with half of what they may admit in a window. With buckets of one token, that number are full;
    /// the others are filled evenly, so that they become full one after the other.
    ///
    /// `gained`, between 0 and 1, is the part of it that the relay may use: one that has just started may have used its
    /// share before.
    fn new(now: Time, half: f64, random: f64, gained: f64) -> Self {
        let part = half * gained;
        let level = if half >= 1.0 {
            part
        } else if random < part {
            1.0
        } else {
            (random - part) / (1.0 - part) * gained
        };
        Self { level, filled_at: now, used_at: now }
    }
}

/// Shares of this relay in the requests that may exceed the quotas, by account.
///
/// An owner that this relay does not reach may grant the quota itself. So relays without an owner together
/// admit no more than the allowed excess.
#[derive(Debug, Default)]
pub struct Shares {
    by_account: BTreeMap<u64, Share>,
    pruned_at: Time,
    /// When this relay started.
    started_at: Time,
}

impl Shares {
    /// Creates shares of which nothing is used.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets when this relay started.
    pub fn with_start(self, started_at: Time) -> Self {
        Self { started_at, ..self }
    }

    /// Admits a request of an account as one of `relays` relays. `random` is a number between 0 and 1.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may retry.
    pub fn take(
        &mut self,
        now: Time,
        account: u64,
        limit: Limit,
        relays: usize,
        random: f64,
    ) -> Result<(), Duration> {
        if now.since(self.pruned_at) >= PRUNE_PERIOD {
            self.pruned_at = now;
            self.by_account.retain(|_, share| now.since(share.used_at) < IDLE_TIME);
        }
        // Half of the excess may come at once, the other half is gained in the window.
        let half = limit.spare() / 2.0 / relays.max(1) as f64;
        let rate = half / WINDOW.as_secs_f64();
        let age = now.since(self.started_at).min(WINDOW);
        let gained_since_start = age.as_secs_f64() / WINDOW.as_secs_f64();
        let new = || Share::new(now, half, random, gained_since_start);
        let share = self.by_account.entry(account).or_insert_with(new);
        let gained = rate * now.since(share.filled_at).as_secs_f64();
        share.level = (share.level + gained).min(half.max(1.0));
        share.filled_at = now;
        share.used_at = now;
        if share.level >= 1.0 {
            share.level -= 1.0;
            return Ok(());
        }
        // An owner is likely to answer before the share has a token again.
        Err(MAX_WAIT.mul_f64((1.0 + random) / 4.0))
    }

    /// Takes back a request that was not sent to an upstream.
    pub fn give_back(&mut self, account: u64) {
        if let Some(share) = self.by_account.get_mut(&account) {
            share.level += 1.0;
        }
    }
}
