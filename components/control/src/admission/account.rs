//! The share that one daemon has of a client's limits at one deployment.

use std::time::Duration;

use cyclamengrade_configuration::Limit;

use crate::{hash, time::Time};

/// Requests that a daemon may admit at once, however small its share of the rate is. Callers do not
/// arrive evenly at the daemons.
const SMALLEST_BURST: f64 = 2.0;
/// Time over which an unused share of the rate is saved up.
const BURST: Duration = Duration::from_secs(1);
/// Weight of the last second in the smoothed demand.
const NEW_SAMPLE: f64 = 0.3;
/// Demand below which an account is forgotten, in requests a second.
const IDLE: f64 = 0.001;
/// Time after which a caller over its concurrency may come back.
const CONCURRENCY_RETRY: Duration = Duration::from_millis(500);
/// Longest time after which a caller may come back.
const LONGEST_RETRY: Duration = Duration::from_secs(30);

/// The live daemons, as far as shares depend on them.
#[derive(Clone, Copy, Debug)]
pub struct Members<'a> {
    /// Name of this daemon.
    pub own: &'a str,
    /// Names of all live daemons.
    pub names: &'a [String],
}

/// Use of one client's limits at one deployment by this daemon.
#[derive(Clone, Debug, Default)]
pub struct Account {
    tokens: Option<f64>,
    refilled: Time,
    in_flight: u32,
    arrivals: u32,
    rate: f64,
    others: f64,
    rank: Option<u32>,
}

impl Account {
    /// Admits a request, or gives the time after which to come back.
    pub fn admit(
        &mut self,
        now: Time,
        limit: Option<&Limit>,
        key: (&str, &str),
        members: Members<'_>,
    ) -> Result<(), Duration> {
        self.arrivals = self.arrivals.saturating_add(1);
        let Some(limit) = limit else {
            self.in_flight += 1;
            return Ok(());
        };
        if let Some(most) = limit.concurrent_requests
            && self.in_flight >= self.concurrency(most, key, members)
        {
            return Err(CONCURRENCY_RETRY);
        }
        if let Some(rate) = limit.requests_per_s {
            self.take(now, rate * self.share(members))?;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Notes that an admitted request has its final outcome.
    pub const fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Ends a second of the demand measurement.
    pub fn second(&mut self) {
        self.rate += NEW_SAMPLE * (f64::from(self.arrivals) - self.rate);
        self.arrivals = 0;
    }

    /// Requests a second that this daemon sees, as reported to the others.
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether nothing would be lost with the account.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.arrivals == 0 && self.rate < IDLE
    }

    /// Sets the demand of all other daemons.
    pub const fn set_others(&mut self, requests_per_s: f64) {
        self.others = requests_per_s;
    }

    /// Forgets what was derived from the set of live daemons.
    pub const fn regroup(&mut self) {
        self.rank = None;
    }

    fn take(&mut self, now: Time, rate: f64) -> Result<(), Duration> {
        let most = (rate * BURST.as_secs_f64()).max(SMALLEST_BURST);
        let earned = now.since(self.refilled).as_secs_f64() * rate;
        let tokens = self.tokens.map_or(most, |tokens| (tokens + earned).min(most));
        self.refilled = now;
        if tokens >= 1.0 {
            self.tokens = Some(tokens - 1.0);
            return Ok(());
        }
        self.tokens = Some(tokens);
        let wait = if rate > 0.0 { (1.0 - tokens) / rate } else { LONGEST_RETRY.as_secs_f64() };
        Err(Duration::from_secs_f64(wait.min(LONGEST_RETRY.as_secs_f64())))
    }

    /// Half of a limit is split evenly, half in proportion to demand.
    fn share(&self, members: Members<'_>) -> f64 {
        let even = 1.0 / members.names.len().max(1) as f64;
        f64::midpoint(even, self.proportion().unwrap_or(even))
    }

    fn proportion(&self) -> Option<f64> {
        let total = self.rate + self.others;
        (total > 0.0).then(|| self.rate / total)
    }

    /// Whole requests are dealt out in an order that all daemons share, so that the parts of a
    /// limit below the number of daemons add up to the limit.
    fn concurrency(&mut self, most: u32, key: (&str, &str), members: Members<'_>) -> u32 {
        let daemons = u32::try_from(members.names.len().max(1)).unwrap_or(u32::MAX);
        let rank = *self.rank.get_or_insert_with(|| rank(key, members));
        let dealt = |part: u32| part / daemons + u32::from(rank < part % daemons);
        match self.proportion() {
            None => dealt(most),
            Some(proportion) => {
                let half = most / 2;
                dealt(most - half) + (f64::from(half) * proportion) as u32
            }
        }
    }
}

fn rank((client, deployment): (&str, &str), members: Members<'_>) -> u32 {
    let weight = |name: &str| hash::stable(&[name, client, deployment]);
    let own = (weight(members.own), members.own);
    let before = members.names.iter().filter(|name| (weight(name), name.as_str()) > own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
