//! Client accounts of a run, and their keys, which are added and removed during the run.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use rand::{RngExt, rngs::StdRng};
use serde_json::{Value, json};

/// Time for which a removed key may be used, in milliseconds.
pub const REVOKE_MS: u64 = 2_000;
/// Longest time from a change of the keys until the store has it, and from the sending of a request by a relay
/// until this process has recorded it.
const RECORD_SLACK: Duration = Duration::from_millis(500);
/// Time after which a relay knows an added key or does not reject it: the default of `store.apply_ms` and a margin.
const ADD_TIME: Duration = Duration::from_millis(2_500);
/// Span of time in which the requests of an account are counted.
const WINDOW: Duration = Duration::from_secs(5);
/// Share of the requests with any key that the account has had, with an unknown one, and with none.
const ANY_KEY_SHARE: f64 = 0.3;
const UNKNOWN_KEY_SHARE: f64 = 0.03;
const NO_KEY_SHARE: f64 = 0.02;

/// A client account.
#[derive(Debug)]
pub struct Account {
    pub name: &'static str,
    /// Requests a second, and burst; 0 for no limit.
    rate: f64,
    burst: f64,
    priority: u32,
    /// Share of the requests, relative to the other accounts.
    weight: u32,
}

/// Accounts of unequal size, of which the first one sends far more than its quota with callers of its own.
pub const ACCOUNTS: [Account; 4] = [
    Account { name: "loud", rate: 6.0, burst: 8.0, priority: 1, weight: 3 },
    Account { name: "large", rate: 0.0, burst: 0.0, priority: 1, weight: 8 },
    Account { name: "small", rate: 60.0, burst: 60.0, priority: 0, weight: 3 },
    Account { name: "tiny", rate: 0.0, burst: 0.0, priority: 2, weight: 1 },
];

impl Account {
    /// Returns the account with this name.
    pub fn named(name: &str) -> Option<&'static Self> {
        ACCOUNTS.iter().find(|account| account.name == name)
    }

    pub fn has_quota(&self) -> bool {
        self.rate > 0.0
    }

    /// Returns a moment and the number of requests that began within the window after it, if they are more
    /// than the quota allows.
    pub fn excess(&self, mut starts: Vec<Instant>) -> Option<(Instant, usize)> {
        let quota = self.rate.mul_add(WINDOW.as_secs_f64(), self.burst);
        let most = quota.mul_add(1.1, 20.0) as usize;
        starts.sort_unstable();
        let windows = starts.iter().enumerate().map(|(number, first)| {
            let end = starts.partition_point(|start| *start < *first + WINDOW);
            (*first, end - number)
        });
        windows
            .filter(|(_, count)| self.has_quota() && *count > most)
            .max_by_key(|(_, count)| *count)
    }
}

#[derive(Debug)]
struct Key {
    account: &'static str,
    added: Instant,
    removed: Option<Instant>,
}

/// The keys of all accounts so far.
#[derive(Clone, Debug, Default)]
pub struct Keyring(Arc<Mutex<BTreeMap<String, Key>>>);

impl Keyring {
    /// Creates a keyring with a key of each account.
    pub fn new() -> Self {
        let keyring = Self::default();
        ACCOUNTS.iter().for_each(|account| keyring.add(account.name));
        keyring
    }

    fn keys(&self) -> MutexGuard<'_, BTreeMap<String, Key>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a key to an account, right before the configuration with it is written.
    pub fn add(&self, account: &'static str) {
        let mut keys = self.keys();
        let text = format!("kx{account}-{}", keys.len());
        keys.insert(text, Key { account, added: Instant::now(), removed: None });
    }

    /// Returns the accounts with their listed keys, as a configuration has them.
    pub fn tenants(&self) -> Value {
        let keys = self.keys();
        let tenants = ACCOUNTS.iter().map(|account| {
            let is_listed = |key: &Key| key.account == account.name && key.removed.is_none();
            let listed: Vec<&String> =
                keys.iter().filter(|(_, key)| is_listed(key)).map(|(text, _)| text).collect();
            json!({
                "Name": account.name, "ApiKeys": listed, "Priority": account.priority,
                "RatePerS": account.rate, "Burst": account.burst
            })
        });
        tenants.collect()
    }

    /// Removes all keys of an account, right before the configuration without them is written.
    pub fn remove(&self, account: &str) {
        let now = Instant::now();
        let mut keys = self.keys();
        let left = keys.values_mut().filter(|key| key.account == account && key.removed.is_none());
        left.for_each(|key| key.removed = Some(now));
    }

    /// Returns the account of a key that is or was listed.
    pub fn account(&self, key: &str) -> Option<&'static str> {
        self.keys().get(key).map(|key| key.account)
    }

    /// Returns a listed key of an account.
    pub fn listed(&self, account: &str) -> Option<String> {
        let keys = self.keys();
        let mut listed =
            keys.iter().filter(|(_, key)| key.account == account && key.removed.is_none());
        listed.next().map(|(text, _)| text.clone())
    }

    /// Whether a request that began at this moment could run with a key.
    pub fn may_run(&self, key: &str, at: Instant) -> bool {
        self.keys().get(key).is_some_and(|key| {
            let end = |removed| removed + Duration::from_millis(REVOKE_MS) + RECORD_SLACK;
            key.added <= at && key.removed.is_none_or(|removed| at <= end(removed))
        })
    }

    /// Whether all relays that serve keys know a key from one moment to another.
    pub fn is_known(&self, key: &str, begin: Instant, end: Instant) -> bool {
        self.keys().get(key).is_some_and(|key| {
            key.added + ADD_TIME <= begin
                && key.removed.is_none_or(|removed| removed > end + RECORD_SLACK)
        })
    }

    /// Chooses an account by its share of the requests.
    pub fn choose_account(random: &mut StdRng) -> &'static str {
        let sum = ACCOUNTS.iter().map(|account| account.weight).sum();
        let mut left = random.random_range(0..sum);
        let chosen = ACCOUNTS.iter().find(|account| {
            let is_chosen = left < account.weight;
            left = left.saturating_sub(account.weight);
            is_chosen
        });
        chosen.map_or(ACCOUNTS[0].name, |account| account.name)
    }

    /// Chooses a key for a request of an account, which may be one that is removed or never was listed;
    /// empty for none.
    pub fn choose(&self, random: &mut StdRng, account: &str) -> String {
        let choice: f64 = random.random();
        if choice < NO_KEY_SHARE {
            return String::new();
        }
        if choice < NO_KEY_SHARE + UNKNOWN_KEY_SHARE {
            return format!("kx{account}-unknown");
        }
        if choice > ANY_KEY_SHARE
            && let Some(key) = self.listed(account)
        {
            return key;
        }
        let keys = self.keys();
        let own: Vec<&String> =
            keys.iter().filter(|(_, key)| key.account == account).map(|(text, _)| text).collect();
        own[random.random_range(0..own.len())].clone()
    }
}
