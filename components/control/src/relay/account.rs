//! Client accounts and their keys.
//!
//! Keys are held as keyed digests, so that neither the time of a comparison nor a debug output tells one.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::{self, Debug, Formatter},
    sync::Arc,
};

use siphasher::sip128::SipHasher24;

use crate::{
    hash,
    relay::{allowance::Limit, shard},
};

/// Longest name of an account, in bytes. It is sent to upstreams as a header.
const MAX_NAME_BYTES: usize = 8 << 10;
/// Largest rate a second and largest burst of a quota. Larger ones have the same effect.
const MAX_QUOTA: f64 = 1e12;
/// Characters of a name that cannot be used which are quoted.
const MAX_QUOTED_CHARS: usize = 50;

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    pub name: String,
    /// Priority of the account's requests, which goes before that of the route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Limit on its requests over all relays; `None` for no limit.
    pub quota: Option<Limit>,
}

impl Account {
    /// Returns the identifier of the account in messages about slots.
    pub fn short_id(&self) -> u32 {
        shard::name_id(&self.name)
    }

    /// Returns the identifier of the account in messages about its quota.
    pub fn id(&self) -> u64 {
        hash::stable(&[&self.name])
    }
}

/// An account as a configuration states it.
#[derive(Clone, Default)]
pub struct Entry {
    pub name: String,
    pub keys: Vec<String>,
    pub priority: Option<u32>,
    /// Requests a second over all relays; 0 for no limit.
    pub rate: f64,
    /// Requests that may come at once after a pause.
    pub burst: f64,
}

/// Secret under which a process digests keys.
#[derive(Clone, Copy, PartialEq, Eq)]
pub struct Secret(pub [u8; 16]);

impl Secret {
    /// Returns the digest of a key by SipHash-2-4 (Aumasson and Bernstein, 2012).
    fn digest(self, key: &str) -> Digest {
        Digest(SipHasher24::new_with_key(&self.0).hash(key.as_bytes()).as_u128())
    }
}

/// Digest of a key under the secret of the process.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Digest(u128);

impl Debug for Digest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.write_str("Digest")
    }
}

/// Who sent a request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub enum Caller {
    /// The configuration had no accounts when the request arrived.
    #[default]
    Unchecked,
    /// A caller without a known key.
    Anonymous,
    /// A holder of a key of an account.
    Holder { account: Arc<Account>, key: Digest },
}

impl Caller {
    pub const fn account(&self) -> Option<&Arc<Account>> {
        match self {
            Self::Holder { account, .. } => Some(account),
            Self::Unchecked | Self::Anonymous => None,
        }
    }
}

/// The accounts of a configuration.
#[derive(Clone, PartialEq, Eq)]
pub struct Accounts {
    secret: Secret,
    /// Accounts by the digests of their keys.
    by_key: BTreeMap<Digest, Arc<Account>>,
    by_name: BTreeMap<String, Arc<Account>>,
}

impl Debug for Accounts {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        formatter.debug_set().entries(self.by_name.values()).finish()
    }
}

impl Accounts {
    /// Creates the accounts of a configuration. `secret` is drawn at random by each process.
    ///
    /// Also returns the parts that are left out, with the causes: an account whose name no header can hold or
    /// whose quota is no number, an empty key, and a key of several accounts, which belongs to none of them. Two
    /// entries with one name are one account with the keys of both. The texts do not contain a key.
    pub fn new(secret: Secret, entries: impl IntoIterator<Item = Entry>) -> (Self, Vec<String>) {
        let mut accounts = Self { secret, by_key: BTreeMap::new(), by_name: BTreeMap::new() };
        let (mut flaws, mut shared) = (Vec::new(), BTreeSet::new());
        for entry in entries {
            accounts.insert(entry, &mut flaws, &mut shared);
        }
        accounts.by_key.retain(|digest, _| !shared.contains(digest));
        (accounts, flaws)
    }

    fn insert(&mut self, entry: Entry, flaws: &mut Vec<String>, shared: &mut BTreeSet<Digest>) {
        let Entry { name, keys, priority, rate, burst } = entry;
        if !is_header_value(&name) {
            let start: String = name.chars().take(MAX_QUOTED_CHARS).collect();
            flaws.push(format!("account {start:?}: no header can hold its name"));
            return;
        }
        let Some(quota) = quota(rate, burst) else {
            flaws.push(format!("account {name}: its rate {rate} or burst {burst} is no limit"));
            return;
        };
        let account = match self.by_name.get(&name) {
            Some(known) => {
                flaws.push(format!(
                    "account {name} is listed twice; the first priority and quota count"
                ));
                known.clone()
            }
            None => Arc::new(Account { name, priority, quota }),
        };
        for key in keys {
            if key.is_empty() {
                flaws.push(format!("account {} has an empty key", account.name));
                continue;
            }
            let digest = self.secret.digest(&key);
            let former = self.by_key.insert(digest, account.clone());
            if let Some(former) = former.filter(|former| former.name != account.name) {
                flaws.push(format!(
                    "accounts {} and {} have a key in common, which is valid for neither",
                    former.name, account.name
                ));
                shared.insert(digest);
            }
        }
        self.by_name.insert(account.name.clone(), account);
    }

    /// Returns the account that holds a key.
    pub fn by_key(&self, key: &str) -> Option<&Arc<Account>> {
        self.by_key.get(&self.secret.digest(key))
    }

    /// Returns who sends a request with this key.
    pub fn caller(&self, key: Option<&str>) -> Caller {
        let digest = key.map(|key| self.secret.digest(key));
        let found = digest.and_then(|digest| Some((digest, self.by_key.get(&digest)?)));
        found.map_or(Caller::Anonymous, |(key, account)| Caller::Holder {
            account: account.clone(),
            key,
        })
    }

    /// Whether the key that a caller sent still belongs to the same account. The accounts have to be of the
    /// same process as those that identified the caller.
    pub fn confirms(&self, caller: &Caller) -> bool {
        match caller {
            Caller::Unchecked => false,
            Caller::Anonymous => true,
            Caller::Holder { account, key } => {
                self.by_key.get(key).is_some_and(|holder| holder.name == account.name)
            }
        }
    }

    /// Returns the account with a name.
    pub fn by_name(&self, name: &str) -> Option<&Arc<Account>> {
        self.by_name.get(name)
    }

    /// Returns the accounts, ordered by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Account>> {
        self.by_name.values()
    }
}

/// Whether a name arrives unchanged as the value of a header (RFC 9110, section 5.5), whose blanks at the ends are
/// dropped.
fn is_header_value(name: &str) -> bool {
    let is_text = |byte: u8| byte >= b' ' && byte != 0x7f;
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name.bytes().all(is_text)
        && !name.starts_with(' ')
        && !name.ends_with(' ')
}

/// Returns the quota of a rate and a burst, or no quota for a rate of 0; `None` if they are negative or no
/// numbers.
fn quota(rate: f64, burst: f64) -> Option<Option<Limit>> {
    let is_limit = |value: f64| value >= 0.0;
    let milli = |value: f64| (value.min(MAX_QUOTA) * 1_000.0) as u64;
    // A rate that is not 0 limits the requests, also if it rounds to 0.
    let limit = || Limit { rate_milli: milli(rate).max(1), burst_milli: milli(burst) };
    (is_limit(rate) && is_limit(burst)).then(|| (rate > 0.0).then(limit))
}
