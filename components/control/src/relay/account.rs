//! Client accounts and their keys.
//!
//! Keys are held as keyed digests, so that neither the time of a comparison nor a debug output tells one.

use std::{
    collections::BTreeMap,
    fmt::{self, Debug, Formatter},
    sync::Arc,
};

use siphasher::sip128::SipHasher24;

use crate::{
    hash,
    relay::{allowance::Limit, shard},
};

/// Longest name of an account, in bytes. It is sent to upstreams as a header.
const MAX_NAME_BYTES: usize = 200;
/// Largest rate a second and largest burst of a quota.
const MAX_QUOTA: f64 = 1e12;

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
    /// # Errors
    ///
    /// Returns which account is invalid and why. The text does not contain a key.
    pub fn new(secret: Secret, entries: impl IntoIterator<Item = Entry>) -> Result<Self, String> {
        let mut accounts = Self { secret, by_key: BTreeMap::new(), by_name: BTreeMap::new() };
        for entry in entries {
            accounts.insert(entry)?;
        }
        Ok(accounts)
    }

    fn insert(&mut self, entry: Entry) -> Result<(), String> {
        let Entry { name, keys, priority, rate, burst } = entry;
        let is_valid_name = !name.is_empty()
            && name.len() <= MAX_NAME_BYTES
            && name.bytes().all(|byte| byte.is_ascii_graphic() || byte == b' ')
            && name.trim() == name;
        if !is_valid_name {
            return Err(format!("account {name:?} has an invalid name"));
        }
        if self.by_name.contains_key(&name) {
            return Err(format!("account {name} is listed twice"));
        }
        let quota = quota(rate, burst).map_err(|cause| format!("account {name}: {cause}"))?;
        let account = Arc::new(Account { name, priority, quota });
        for key in keys {
            if key.is_empty() {
                return Err(format!("account {} has an empty key", account.name));
            }
            let former = self.by_key.insert(self.secret.digest(&key), account.clone());
            if let Some(former) = former.filter(|former| former.name != account.name) {
                return Err(format!("accounts {} and {} share a key", former.name, account.name));
            }
        }
        self.by_name.insert(account.name.clone(), account);
        Ok(())
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

/// Returns the quota of a rate and a burst; `None` for a rate of 0.
fn quota(rate: f64, burst: f64) -> Result<Option<Limit>, String> {
    for (name, value) in [("rate", rate), ("burst", burst)] {
        if !(0.0..=MAX_QUOTA).contains(&value) {
            return Err(format!("the {name} {value} is not between 0 and {MAX_QUOTA}"));
        }
    }
    let milli = |value: f64| (value * 1_000.0) as u64;
    // A rate that is not 0 limits the requests, also if it rounds to 0.
    let limit = || Limit { rate_milli: milli(rate).max(1), burst_milli: milli(burst) };
    Ok((rate > 0.0).then(limit))
}
