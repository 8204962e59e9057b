//! Identification of callers by their keys, and the headers that tell upstreams who sent a request.

use std::sync::LazyLock;

use cyclamengrade_control::relay::account::{Accounts, Caller, Entry, Secret};
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::shared::Shared;

/// Secret under which this process digests keys.
static SECRET: LazyLock<Secret> = LazyLock::new(|| Secret(rand::random()));

/// Why a request is rejected because of its caller. It has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// No configuration has been read yet.
    Unconfigured,
    /// It is not known whether the configuration is current.
    Unconfirmed,
    /// The request brings no key that is valid. The reason is logged.
    Unauthorized(&'static str),
}

impl Shared {
    /// Returns who sends a request with these headers.
    ///
    /// # Errors
    ///
    /// Fails if the request may not be served. On a public route, it fails only for a known key.
    pub fn identify(&self, is_public: bool, headers: &HeaderMap) -> Result<Caller, Rejection> {
        // Evidence that comes after the configuration was loaded may be of a newer one.
        let checked = self.check_revocations();
        let routes = self.routes.load();
        if routes.is_empty() {
            return Err(Rejection::Unconfigured);
        }
        let Some(accounts) = &routes.accounts else { return Ok(Caller::Unchecked) };
        let key = self.dialect.key(headers);
        let caller = accounts.caller(key);
        let is_known = caller.account().is_some();
        if is_public && !is_known {
            return Ok(caller);
        }
        checked?;
        match key {
            _ if is_known => Ok(caller),
            // The key may have been added just now.
            Some(_) if !self.is_configuration_current(self.apply_time) => {
                Err(Rejection::Unconfirmed)
            }
            Some(_) => Err(Rejection::Unauthorized("unknown key")),
            None => Err(Rejection::Unauthorized("no key")),
        }
    }

    /// Checks a caller again after a wait, with the newest configuration. Returns who the caller counts as
    /// now if this has changed. `headers` are those of the request.
    ///
    /// # Errors
    ///
    /// Fails under the same conditions as [`Self::identify`].
    pub fn identify_again(
        &self,
        caller: &Caller,
        is_public: bool,
        headers: &HeaderMap,
    ) -> Result<Option<Caller>, Rejection> {
        let checked = self.check_revocations();
        let routes = self.routes.load();
        let Some(accounts) = &routes.accounts else { return Ok(None) };
        match caller {
            Caller::Unchecked => self.identify(is_public, headers).map(Some),
            Caller::Anonymous => Ok(None),
            Caller::Holder { .. } => {
                checked?;
                match accounts.confirms(caller) {
                    true => Ok(None),
                    false if is_public => Ok(Some(Caller::Anonymous)),
                    false => Err(Rejection::Unauthorized("key was removed")),
                }
            }
        }
    }

    /// Fails if a key may have been taken away for longer than revocation may take.
    fn check_revocations(&self) -> Result<(), Rejection> {
        match self.revocation_time() {
            Some(within) if !self.is_configuration_current(within) => Err(Rejection::Unconfirmed),
            _ => Ok(()),
        }
    }

    /// Sets the header with the name of the account, and removes the key, of a request to upstreams. The
    /// headers stay as they are if the configuration had no accounts when the caller was identified.
    pub fn set_caller(&self, headers: &mut HeaderMap, caller: &Caller) {
        if *caller != Caller::Unchecked {
            let account = caller.account().map(|account| account.name.as_str());
            self.set_account(headers, account);
        }
    }

    /// Sets the header with the name of the account, and removes the key, of a request to upstreams.
    pub fn set_account(&self, headers: &mut HeaderMap, account: Option<&str>) {
        let name = &self.dialect.headers().account;
        headers.remove(AUTHORIZATION);
        headers.remove(name);
        let value = account.and_then(|account| HeaderValue::from_bytes(account.as_bytes()).ok());
        if let Some(value) = value {
            headers.insert(name, value);
        }
    }
}

/// Checks that a configuration is a JSON object. The error of a decoder may quote a text, which may
/// contain keys.
///
/// # Errors
///
/// Fails if it is not.
pub fn check_object(configuration: &Value) -> Result<(), String> {
    match configuration {
        Value::Object(_) => Ok(()),
        _ => Err("the configuration is not an object".to_owned()),
    }
}

/// Decodes the accounts of a configuration, of the dialect's type `T`; `None` if it has no list of them.
/// `name_field` is the field with the name of an account. Accounts and keys that cannot be used are left out,
/// and added to `flaws` without the keys.
///
/// # Errors
///
/// Fails if the accounts are not a list, so that no key can be told from others.
pub fn read_accounts<T: DeserializeOwned + Into<Entry>>(
    list: Option<Value>,
    name_field: &str,
    flaws: &mut Vec<String>,
) -> Result<Option<Accounts>, String> {
    let list = match list {
        None => return Ok(None),
        Some(Value::Array(list)) => list,
        Some(_) => return Err("the accounts are not a list".to_owned()),
    };
    let mut entries: Vec<Entry> = Vec::new();
    for (index, value) in list.into_iter().enumerate() {
        let name = value.get(name_field).and_then(Value::as_str).map(str::to_owned);
        match T::deserialize(value) {
            Ok(entry) => entries.push(entry.into()),
            // The error of the decoder may quote a key.
            Err(_) => flaws.push(match name {
                Some(name) => format!("account {name:?} is malformed"),
                None => format!("account {index} of the list is malformed"),
            }),
        }
    }
    let (accounts, unusable) = Accounts::new(*SECRET, entries);
    flaws.extend(unusable);
    Ok(Some(accounts))
}
