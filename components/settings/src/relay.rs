//! Settings of a relay.

use std::{fs, net::SocketAddr, path::Path, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Error, Level, read};

/// Settings of `cyclamengrade relay`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Relay {
    /// Name of this vm, unique in the fleet.
    pub name: String,
    /// Data centre of this vm.
    pub data_centre: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where the load balancer asks whether this relay takes new connections.
    pub ready_listen: SocketAddr,
    /// Where metrics are served.
    pub metrics_listen: SocketAddr,
    /// Where other relays send datagrams.
    pub peer_listen: SocketAddr,
    /// What callers, upstreams and the store speak.
    #[serde(default)]
    pub dialect: Dialect,
    /// The platform's store.
    pub store: Store,
    /// Memory that the process may use, in bytes; bodies of requests take at most a quarter of it.
    #[serde(default = "default_memory_bytes")]
    pub memory_bytes: u64,
    /// The planned stop.
    #[serde(default)]
    pub stop: Stop,
    /// Lowest severity of the log lines.
    #[serde(default)]
    pub log_level: Level,
}

const fn default_memory_bytes() -> u64 {
    256 << 20
}

/// Names, formats and calls that a relay speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dialect {
    /// The project's own.
    #[default]
    Native,
    /// Those of a platform that has its own, met by the bridge.
    Bridge,
}

/// The platform's store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Store {
    /// Address.
    pub address: SocketAddr,
    /// Timeout of one call, in milliseconds. Covers a store that answers fifty times as slowly as
    /// usual.
    #[serde(default = "Store::default_timeout_ms")]
    pub timeout_ms: u64,
    /// Bytes of the largest row value.
    #[serde(default = "Store::default_row_bytes")]
    pub row_bytes: usize,
    /// Time after an outage in which upstreams whose entries lapsed may return, in milliseconds.
    #[serde(default = "Store::default_return_ms")]
    pub return_ms: u64,
    /// Time for which a job that has ended stays after its items may be abandoned, in seconds.
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

    const fn default_keep_s() -> u64 {
        120
    }

    /// Time for which a job that has ended stays after its items may be abandoned.
    pub const fn keep(&self) -> Duration {
        Duration::from_secs(self.keep_s)
    }
}

/// The planned stop of a relay.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time from the signal until the process is killed, in seconds.
    pub grace_s: f64,
    /// Time for which new connections are accepted after the signal, in milliseconds. The load
    /// balancer asks once a second and stops sending after the second refusal.
    pub leave_ms: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { grace_s: 8.0, leave_ms: 3_000 }
    }
}

impl Stop {
    /// Time from the signal to stop until the process is killed.
    pub fn grace(&self) -> Duration {
        Duration::try_from_secs_f64(self.grace_s).unwrap_or_default()
    }

    /// Time for which new connections are accepted after the signal to stop.
    pub const fn leave(&self) -> Duration {
        Duration::from_millis(self.leave_ms)
    }
}

impl Relay {
    /// Whether a file holds settings of a relay: it has the key `store`.
    pub fn is_meant(path: impl AsRef<Path>) -> bool {
        let path = path.as_ref();
        let text = fs::read_to_string(path).unwrap_or_default();
        read::document(path, &text).is_ok_and(|value| value.get("store").is_some())
    }

    /// Reads and checks the settings of a relay.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is not JSON with comments, or holds unknown keys, wrong types or
    /// values out of range; the error names the file and the cause.
    pub fn read(path: impl AsRef<Path>) -> Result<Self, Error> {
        let path = path.as_ref();
        let text = fs::read_to_string(path)
            .map_err(|cause| Error::Read { path: path.to_owned(), cause })?;
        let wrong = |cause| Error::Value { path: path.to_owned(), cause };
        let value = read::document(path, &text)?;
        // The path of an error names the key, which serde itself does not.
        let settings: Self = serde_path_to_error::deserialize(value)
            .map_err(|error| wrong(format!("{}: {}", error.path(), error.inner())))?;
        settings.check().map_err(wrong)?;
        Ok(settings)
    }

    fn check(&self) -> Result<(), String> {
        if self.name.is_empty() || self.name.contains('/') {
            return Err(format!("name is {:?}; write a name without a slash", self.name));
        }
        if self.stop.leave() >= self.stop.grace() {
            return Err(format!(
                "stop.leave_ms is {}; write less than stop.grace_s, which is {}",
                self.stop.leave_ms, self.stop.grace_s
            ));
        }
        if self.store.timeout_ms == 0 {
            return Err("store.timeout_ms is 0; write a time in milliseconds".into());
        }
        Ok(())
    }
}
