//! Enforcement of a client's limits at one deployment. Each daemon enforces its share of the
//! limits.

use std::time::Duration;

use cyclamengrade_configuration::Limit;

use crate::{hash, time::Time};

/// Minimum burst that a daemon admits, however small its share of the rate is, because requests do
/// not arrive evenly at the daemons.
const MIN_BURST_REQUESTS: f64 = 2.0;
/// Time over which an unused share of the rate accumulates.
const BURST_WINDOW: Duration = Duration::from_secs(1);
/// Weight of the last second in the smoothed request rate.
const RATE_EWMA_WEIGHT: f64 = 0.3;
/// Request rate below which an unused limiter is dropped.
const IDLE_REQUESTS_PER_S: f64 = 0.001;
/// Retry delay for callers above the concurrency limit.
const CONCURRENCY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest retry delay for callers above the rate limit.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// The live daemons, between which the limits are split.
#[derive(Clone, Copy, Debug)]
pub struct LiveDaemons<'a> {
    /// Name of this daemon.
    pub own: &'a str,
    /// Names of all live daemons.
    pub names: &'a [String],
}

/// Limits the rate and the concurrency of one client at one deployment to the share of this daemon.
#[derive(Clone, Debug, Default)]
pub struct ClientLimiter {
    /// Tokens of the rate limit; `None` before the first request under a rate limit.
    tokens: Option<f64>,
    refilled_at: Time,
    in_flight: u32,
    /// Requests since the last update of `rate`.
    arrivals: u32,
    /// Smoothed requests per second at this daemon.
    rate: f64,
    /// Requests per second at all other daemons.
    remote_demand: f64,
    /// Position of this daemon in the order in which the requests of a concurrency limit are
    /// distributed.
    rank: Option<u32>,
}

impl ClientLimiter {
    /// Admits a request, or returns the time after which the caller may retry. `key` holds the
    /// names of the client and the deployment.
    pub fn admit(
        &mut self,
        now: Time,
        limit: Option<&Limit>,
        key: (&str, &str),
        live: LiveDaemons<'_>,
    ) -> Result<(), Duration> {
        self.arrivals = self.arrivals.saturating_add(1);
        let Some(limit) = limit else {
            self.in_flight += 1;
            return Ok(());
        };
        if let Some(max_requests) = limit.concurrent_requests
            && self.in_flight >= self.concurrency_share(max_requests, key, live)
        {
            return Err(CONCURRENCY_RETRY_AFTER);
        }
        if let Some(rate) = limit.requests_per_s {
            self.take_token(now, rate * self.rate_share(live))?;
        }
        self.in_flight += 1;
        Ok(())
    }

    /// Records that an admitted request has its final outcome.
    pub const fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Updates the smoothed request rate. Must be called once a second.
    pub fn update_rate(&mut self) {
        self.rate += RATE_EWMA_WEIGHT * (f64::from(self.arrivals) - self.rate);
        self.arrivals = 0;
    }

    /// Returns the smoothed demand at this daemon in requests per second, as reported to the other
    /// daemons.
    pub const fn rate(&self) -> f64 {
        self.rate
    }

    /// Whether the limiter holds no state that matters and can be dropped.
    pub fn is_idle(&self) -> bool {
        self.in_flight == 0 && self.arrivals == 0 && self.rate < IDLE_REQUESTS_PER_S
    }

    /// Sets the total demand at all other daemons.
    pub const fn set_remote_demand(&mut self, requests_per_s: f64) {
        self.remote_demand = requests_per_s;
    }

    /// Discards the cached rank. Must be called when the set of live daemons changes.
    pub const fn reset_rank(&mut self) {
        self.rank = None;
    }

    fn take_token(&mut self, now: Time, rate: f64) -> Result<(), Duration> {
        let capacity = (rate * BURST_WINDOW.as_secs_f64()).max(MIN_BURST_REQUESTS);
        let earned = now.since(self.refilled_at).as_secs_f64() * rate;
        let tokens = self.tokens.map_or(capacity, |tokens| (tokens + earned).min(capacity));
        self.refilled_at = now;
        if tokens >= 1.0 {
            self.tokens = Some(tokens - 1.0);
            return Ok(());
        }
        self.tokens = Some(tokens);
        let wait = if rate > 0.0 { (1.0 - tokens) / rate } else { MAX_RETRY_AFTER.as_secs_f64() };
        Err(Duration::from_secs_f64(wait.min(MAX_RETRY_AFTER.as_secs_f64())))
    }

    /// Returns this daemon's share of the rate. Half of a limit is split evenly between the
    /// daemons, the other half in proportion to demand.
    fn rate_share(&self, live: LiveDaemons<'_>) -> f64 {
        let even = 1.0 / live.names.len().max(1) as f64;
        f64::midpoint(even, self.demand_share().unwrap_or(even))
    }

    fn demand_share(&self) -> Option<f64> {
        let total = self.rate + self.remote_demand;
        (total > 0.0).then(|| self.rate / total)
    }

    /// Returns this daemon's share of a concurrency limit. Whole requests are distributed in an
    /// order on which all daemons agree, so that the shares add up to the limit even when it is
    /// below the number of daemons.
    fn concurrency_share(
        &mut self,
        max_requests: u32,
        key: (&str, &str),
        live: LiveDaemons<'_>,
    ) -> u32 {
        let daemons = u32::try_from(live.names.len().max(1)).unwrap_or(u32::MAX);
        let rank = *self.rank.get_or_insert_with(|| rank(key, live));
        let whole_share = |part: u32| part / daemons + u32::from(rank < part % daemons);
        match self.demand_share() {
            None => whole_share(max_requests),
            Some(demand_share) => {
                let half = max_requests / 2;
                whole_share(max_requests - half) + (f64::from(half) * demand_share) as u32
            }
        }
    }
}

fn rank((client, deployment): (&str, &str), live: LiveDaemons<'_>) -> u32 {
    let weight = |name: &str| hash::stable(&[name, client, deployment]);
    let own = (weight(live.own), live.own);
    let before = live.names.iter().filter(|name| (weight(name), name.as_str()) > own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}
