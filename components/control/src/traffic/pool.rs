//! State of one deployment: its upstreams, queue, retry budget and latency baselines.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use cyclamengrade_configuration::Kind;
use slotmap::new_key_type;

use crate::{
    admission::{ClientLimiter, Queue},
    fleet::UpstreamKey,
    retry::RetryBudget,
    routing::{Ewma, LatencyBaseline, LoadBaseline, SampleWindow},
    time::Time,
    traffic::message::AttemptId,
};

/// Number of first-token samples from which the hedge delay is derived.
const FIRST_TOKEN_SAMPLES: usize = 256;
/// Number of timely attempts that are kept as evidence that the deployment as a whole is not slow.
const MAX_TIMELY_STARTS: usize = 32;
/// Later attempts that must have got their first token in time before a wait counts against the
/// upstream. A single one may be chance.
const OVERTAKING_ATTEMPTS: usize = 2;
/// Maximum number of prompt prefixes in `CacheHints`.
const MAX_CACHE_HINTS: usize = 4_096;

new_key_type! {
    /// Key of a [`Pool`].
    pub(super) struct PoolKey;
}

/// State of one deployment.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub name: String,
    pub kind: Kind,
    pub first_token_target: Duration,
    pub token_gap_target: Duration,
    /// All upstreams that are not leaving according to the platform.
    pub upstreams: Vec<UpstreamKey>,
    /// Upstreams among which this daemon selects, unless none of them is in service.
    pub subset: Vec<UpstreamKey>,
    /// Requests that wait for an upstream.
    pub queue: Queue,
    /// Budget for retries, hedges and probes.
    pub budget: RetryBudget,
    /// Limiters by name of the client.
    pub limiters: BTreeMap<String, ClientLimiter>,
    /// Times to first token at upstreams that are not ejected.
    pub first_token_samples: SampleWindow,
    /// Latency baseline of the upstreams in the subset.
    pub latency_baseline: LatencyBaseline,
    /// Smoothed duration of successful requests.
    pub request_duration: Ewma,
    /// Load baseline of the upstreams in the subset.
    pub load_baseline: LoadBaseline,
    /// Attempts without a first token, ordered by start.
    pub awaiting_first_token: BTreeSet<(Time, AttemptId)>,
    /// Start times of the latest attempts whose first token was not slow.
    pub timely_starts: VecDeque<Time>,
    /// Upstreams that announced cached prompt prefixes.
    pub cache_hints: CacheHints,
    /// Round-robin counter of the naive policy.
    pub round_robin: usize,
}

impl Pool {
    /// Creates a deployment without upstreams. `share` is the budget that each successful request
    /// earns.
    pub fn new(name: &str, share: f64) -> Self {
        Self {
            name: name.to_owned(),
            kind: Kind::Model,
            first_token_target: Duration::ZERO,
            token_gap_target: Duration::ZERO,
            upstreams: Vec::new(),
            subset: Vec::new(),
            queue: Queue::default(),
            budget: RetryBudget::new(share),
            limiters: BTreeMap::new(),
            first_token_samples: SampleWindow::new(FIRST_TOKEN_SAMPLES),
            latency_baseline: LatencyBaseline::default(),
            request_duration: Ewma::default(),
            load_baseline: LoadBaseline::default(),
            awaiting_first_token: BTreeSet::new(),
            timely_starts: VecDeque::new(),
            cache_hints: CacheHints::default(),
            round_robin: 0,
        }
    }

    /// Records the start of an attempt whose first token was not slow.
    pub fn record_timely_first_token(&mut self, started: Time) {
        if self.timely_starts.len() == MAX_TIMELY_STARTS {
            self.timely_starts.pop_front();
        }
        self.timely_starts.push_back(started);
    }

    /// Whether enough attempts that started at or after `started` already had a timely first token.
    /// When the whole deployment is slow, none has.
    pub fn is_overtaken(&self, started: Time) -> bool {
        self.timely_starts.iter().filter(|&&other| other >= started).count() >= OVERTAKING_ATTEMPTS
    }

    /// Returns the limiter of the client and creates it if needed.
    pub fn limiter(&mut self, client: &str) -> &mut ClientLimiter {
        self.limiters.entry(client.to_owned()).or_default()
    }
}

/// Upstreams by cached prompt prefix, limited to the most recent prefixes.
#[derive(Clone, Debug, Default)]
pub(super) struct CacheHints {
    upstreams: BTreeMap<u64, UpstreamKey>,
    order: VecDeque<u64>,
}

impl CacheHints {
    /// Records an announcement, evicting the oldest prefix above `MAX_CACHE_HINTS`.
    pub fn insert(&mut self, prefix: u64, upstream: UpstreamKey) {
        if self.upstreams.insert(prefix, upstream).is_none() {
            self.order.push_back(prefix);
        }
        if self.order.len() > MAX_CACHE_HINTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.upstreams.remove(&oldest);
        }
    }

    /// Returns the upstream that last announced the prefix.
    pub fn get(&self, prefix: u64) -> Option<UpstreamKey> {
        self.upstreams.get(&prefix).copied()
    }
}
