//! Types of the settings of a relay, their defaults, and the reading of its settings file.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Error, Level, read};

/// Shortest `store.apply_ms`. With less, a silent connection to the store would not be detected in
/// time.
const MIN_APPLY_MS: u64 = 1_000;
/// Shortest `accounts.revoke_ms`. With less, evidence would be too old between two answers of the store.
const MIN_REVOKE_MS: u64 = 1_000;

/// Settings of `cyclamengrade relay`, read from its settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Relay {
    /// Name of this vm, unique in the fleet, without a slash.
    pub name: String,
    /// Data centre of this vm.
    pub data_centre: String,
    /// Address on which callers connect.
    pub listen: SocketAddr,
    /// Address on which the load balancer probes whether this relay accepts new connections.
    pub ready_listen: SocketAddr,
    /// Address on which metrics are served.
    pub metrics_listen: SocketAddr,
    /// Address on which other relays send UDP datagrams.
    pub peer_listen: SocketAddr,
    /// Wire format of callers, upstreams and the store.
    #[serde(default)]
    pub dialect: Dialect,
    pub store: Store,
    #[serde(default)]
    pub accounts: Accounts,
    /// Memory that the process may use, in bytes. Request bodies take at most a quarter of it.
    #[serde(default = "default_memory_bytes")]
    pub memory_bytes: u64,
    /// Processor time that the process may use, in cores, above 0. Larger vms grant the slots of
    /// upstreams to all relays.
    #[serde(default = "default_cpu_share")]
    pub cpu_share: f64,
    #[serde(default)]
    pub stop: Stop,
    /// Least severe level that is logged.
    #[serde(default)]
    pub log_level: Level,
}

const fn default_cpu_share() -> f64 {
    1.0
}

const fn default_memory_bytes() -> u64 {
    256 << 20
}

/// Names, formats and calls on the wire of a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dialect {
    /// The names, formats and calls of this project.
    #[default]
    Native,
    /// Those of a platform with an interface of its own, to which the bridge adapts.
    Bridge,
}

/// Connection to the platform's store, and retention of what the relay keeps there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    pub address: SocketAddr,
    /// Timeout of one call, in milliseconds, above 0. The default covers a store that answers fifty
    /// times as slowly as usual.
    #[serde(default = "Store::default_timeout_ms")]
    pub timeout_ms: u64,
    /// Size of the largest row value, in bytes.
    #[serde(default = "Store::default_row_bytes")]
    pub row_bytes: usize,
    /// Time after an outage of the store within which upstreams whose entries expired in the outage
    /// may return, in milliseconds.
    #[serde(default = "Store::default_return_ms")]
    pub return_ms: u64,
    /// Time within which a change of the configuration or of the upstreams has to be in force, in
    /// milliseconds, at least 1000. The longer it is, the fewer calls to the store are needed.
    #[serde(default = "Store::default_apply_ms")]
    pub apply_ms: u64,
    /// Time for which an ended job stays in the store, counted from when its items may be abandoned,
    /// in seconds.
    #[serde(default = "Store::default_keep_s")]
    pub keep_s: u64,
}

impl Store {
    const fn default_timeout_ms() -> u64 {
        1_500
    }

    const fn default_row_bytes() -> usize {
        64 << 10
    }

    const fn default_return_ms() -> u64 {
        2_000
    }

    const fn default_apply_ms() -> u64 {
        2_000
    }

    const fn default_keep_s() -> u64 {
        120
    }

    /// Returns `keep_s` as a duration.
    pub const fn keep(&self) -> Duration {
        Duration::from_secs(self.keep_s)
    }
}

/// Settings about the accounts of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Accounts {
    /// Longest time for which a key that was removed from the configuration may be used, in milliseconds,
    /// at least 1000. Without it, a relay that does not reach the store goes on to serve the keys it knows.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub revoke_ms: Option<u64>,
}

impl Accounts {
    /// Returns `revoke_ms` as a duration.
    pub fn revocation_time(&self) -> Option<Duration> {
        self.revoke_ms.map(Duration::from_millis)
    }
}

/// Times of the graceful shutdown of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: f64,
    /// Time for which new connections are still accepted after the stop signal, in milliseconds.
    /// Less than `grace_s`. The load balancer probes once a second and sends no new connections
    /// after the second failed probe.
    pub leave_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { grace_s: 8.0, leave_ms: 3_000 }
    }
}

impl Stop {
    /// Returns `grace_s` as a duration; zero when it is negative or too large for one.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    /// Returns `leave_ms` as a duration.
    pub const fn leave(&self) -> Duration {
        Duration::from_millis(self.leave_ms)
    }
}

impl Relay {
    /// Returns whether a file holds settings of a relay, which have the key `store`; `false` when the
    /// file cannot be read or parsed.
    pub fn is_relay_file(path: impl AsRef<Path>) -> bool {
        let path = path.as_ref();
        let text = fs::read_to_string(path).unwrap_or_default();
        read::document(path, &text).is_ok_and(|value| value.get("store").is_some())
    }

    /// Reads and checks the settings of a relay.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON with comments, or holds an unknown key, a wrong type or an
    /// invalid value. The error names the file and the first cause.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let text = fs::read_to_string(path)
            .map_err(|cause| Error::Read { path: path.to_owned(), cause })?;
        let invalid = |cause| Error::Value { path: path.to_owned(), cause };
        let value = read::document(path, &text)?;
        // Errors of serde alone do not name the path of the key.
        let settings: Self = serde_path_to_error::deserialize(value)
            .map_err(|error| invalid(format!("{}: {}", error.path(), error.inner())))?;
        settings.check().map_err(invalid)?;
        Ok(settings)
    }

    /// Returns `cpu_share` in thousandths of a core.
    pub fn capacity(&self) -> u32 {
        (self.cpu_share * 1_000.0) as u32
    }

    fn check(&self) -> Result<(), String> {
        if !(self.cpu_share > 0.0 && self.cpu_share.is_finite()) {
            return Err(format!(
                "cpu_share is {}; write a number of cores above 0",
                self.cpu_share
            ));
        }
        if self.name.is_empty() || self.name.contains('/') {
            return Err(format!("name is {:?}; write a name without a slash", self.name));
        }
        if self.stop.leave() >= self.stop.grace() {
            return Err(format!(
                "stop.leave_ms is {}; write less than stop.grace_s, which is {}",
                self.stop.leave_ms, self.stop.grace_s
            ));
        }
        if self.store.apply_ms < MIN_APPLY_MS {
            return Err(format!(
                "store.apply_ms is {}; write {MIN_APPLY_MS} or more",
                self.store.apply_ms
            ));
        }
        if let Some(revoke_ms) = self.accounts.revoke_ms.filter(|ms| *ms < MIN_REVOKE_MS) {
            return Err(format!(
                "accounts.revoke_ms is {revoke_ms}; write {MIN_REVOKE_MS} or more"
            ));
        }
        if self.store.timeout_ms == 0 {
            return Err("store.timeout_ms is 0; write a time in milliseconds".into());
        }
        Ok(())
    }
}
