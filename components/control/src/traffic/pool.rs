//! State of one deployment.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    time::Duration,
};

use cyclamengrade_configuration::Kind;
use slotmap::new_key_type;

use crate::{
    admission::{Account, Queue},
    fleet::UpstreamKey,
    retry::Budget,
    routing::{Smoothed, Typical, Usual, Window},
    time::Time,
    traffic::message::AttemptId,
};

/// First-token samples from which the hedge delay is taken.
const SAMPLES: usize = 256;
/// Quick first tokens that are kept as evidence that the service as a whole is not slow.
const QUICK: usize = 32;
/// Quicker attempts that make a wait a sign of a slow upstream. One may be a lucky one.
const OVERTAKEN: usize = 2;
/// Cache hints that are kept.
const HINTS: usize = 4_096;

new_key_type! {
    /// Key of a deployment.
    pub(super) struct PoolKey;
}

/// One deployment.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    /// Name.
    pub name: String,
    /// Kind of its upstreams.
    pub kind: Kind,
    /// Target for the time to first token.
    pub first_target: Duration,
    /// Target for the time between tokens.
    pub gap_target: Duration,
    /// All upstreams.
    pub all: Vec<UpstreamKey>,
    /// Upstreams that this daemon considers.
    pub subset: Vec<UpstreamKey>,
    /// Requests that wait.
    pub queue: Queue,
    /// Extra attempts.
    pub budget: Budget,
    /// Clients by name.
    pub accounts: BTreeMap<String, Account>,
    /// Times to first token at regular upstreams.
    pub firsts: Window,
    /// What is usual among the upstreams.
    pub typical: Typical,
    /// Duration of requests.
    pub duration: Smoothed,
    /// What is usual about the upstreams' load.
    pub usual: Usual,
    /// Attempts without a first token, in order of start.
    pub pending: BTreeSet<(Time, AttemptId)>,
    /// Starts of the attempts whose first token came in usual time, the latest ones only.
    pub quick: VecDeque<Time>,
    /// Upstreams that announced a prompt prefix.
    pub hints: Hints,
    /// Turn of the naive policy.
    pub turn: usize,
}

impl Pool {
    /// A deployment without upstreams.
    pub fn new(name: &str, share: f64) -> Self {
        Self {
            name: name.to_owned(),
            kind: Kind::Model,
            first_target: Duration::ZERO,
            gap_target: Duration::ZERO,
            all: Vec::new(),
            subset: Vec::new(),
            queue: Queue::default(),
            budget: Budget::new(share),
            accounts: BTreeMap::new(),
            firsts: Window::new(SAMPLES),
            typical: Typical::default(),
            duration: Smoothed::default(),
            usual: Usual::default(),
            pending: BTreeSet::new(),
            quick: VecDeque::new(),
            hints: Hints::default(),
            turn: 0,
        }
    }

    /// Notes an attempt whose first token came in usual time.
    pub fn quick(&mut self, started: Time) {
        if self.quick.len() == QUICK {
            self.quick.pop_front();
        }
        self.quick.push_back(started);
    }

    /// Whether attempts that started later than this one had their first token sooner. When the
    /// whole service is slow, none has.
    pub fn is_overtaken(&self, started: Time) -> bool {
        self.quick.iter().filter(|&&other| other >= started).count() >= OVERTAKEN
    }

    /// The client's account.
    pub fn account(&mut self, client: &str) -> &mut Account {
        self.accounts.entry(client.to_owned()).or_default()
    }
}

/// Upstreams that announced prompt prefixes, the latest ones only.
#[derive(Clone, Debug, Default)]
pub(super) struct Hints {
    upstreams: BTreeMap<u64, UpstreamKey>,
    order: VecDeque<u64>,
}

impl Hints {
    /// Takes an announcement.
    pub fn insert(&mut self, prefix: u64, upstream: UpstreamKey) {
        if self.upstreams.insert(prefix, upstream).is_none() {
            self.order.push_back(prefix);
        }
        if self.order.len() > HINTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.upstreams.remove(&oldest);
        }
    }

    /// The upstream that announced the prefix last.
    pub fn get(&self, prefix: u64) -> Option<UpstreamKey> {
        self.upstreams.get(&prefix).copied()
    }
}
