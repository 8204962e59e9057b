//! Fault injection that every stand-in offers at `/_faults`.

use std::{
    sync::{
        Arc, PoisonError, RwLock,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::time::sleep;

/// Interval at which a frozen stand-in checks whether it is still frozen.
const FROZEN_POLL_PERIOD: Duration = Duration::from_millis(5);

/// Body of `POST /_faults`, in which absent fields keep their value, and of the response to
/// `GET /_faults`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Refuses every call with 503, without any effect.
    pub down: bool,
    /// Delay of every call before it takes effect, in milliseconds.
    pub slow_ms: u64,
    /// Factor by which all processing times of an engine or a service are multiplied.
    pub slow_factor: f64,
    /// Number of writes or runs that take effect but whose connection is then closed without a
    /// reply.
    pub lose_replies: u64,
    /// Suspends processing on all connections, existing and new, until switched off.
    pub frozen: bool,
    /// Switching this on makes all connections that are open at that time silent until they
    /// close. Connections opened later work.
    pub silent: bool,
    /// Number of bytes to write before the process exits; zero switches this off.
    pub die_after_bytes: u64,
    /// Whether an engine reports in its load that it is leaving.
    pub leaving: bool,
    /// Parts of the platform (`table`, `objects`, `vms`) to which `down`, `slow_ms` and
    /// `lose_replies` apply; empty for all.
    pub parts: Vec<String>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            slow_ms: 0,
            slow_factor: 1.0,
            lose_replies: 0,
            frozen: false,
            silent: false,
            die_after_bytes: 0,
            leaving: false,
            parts: Vec::new(),
        }
    }
}

/// The fault switches of one process.
#[derive(Debug, Default)]
pub struct Switches {
    faults: RwLock<Arc<Faults>>,
    lose_replies: AtomicU64,
    /// Number of the newest connection that `silent` affects.
    last_silent: AtomicU64,
    /// Number of the connection that switched `silent` on and is not affected.
    silent_exempt: AtomicU64,
    /// Bytes until the process exits; zero if it does not.
    bytes_left: AtomicU64,
    /// Number of connections accepted so far.
    connections: AtomicU64,
}

/// Error that closes the connection without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyLost;

impl std::fmt::Display for ReplyLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("reply dropped by an injected fault")
    }
}

impl std::error::Error for ReplyLost {}

impl Switches {
    /// Returns the current switches. `lose_replies` and `die_after_bytes` are as last set, without
    /// what has been counted down since.
    pub fn faults(&self) -> Arc<Faults> {
        let faults = self.faults.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&faults)
    }

    /// Returns the current switches with the number of replies that are still to be dropped.
    pub fn report(&self) -> Faults {
        let lose_replies = self.lose_replies.load(Ordering::SeqCst);
        Faults { lose_replies, ..Faults::clone(&self.faults()) }
    }

    /// Applies the given fields and returns the resulting switches. `connection` is the connection
    /// that carries the request; switching on `silent` does not affect it.
    pub fn update(&self, fields: &Value, connection: u64) -> Result<Faults, String> {
        let mut merged = serde_json::to_value(self.report()).map_err(|error| error.to_string())?;
        let (Some(all), Some(changed)) = (merged.as_object_mut(), fields.as_object()) else {
            return Err("the body must be a JSON object of switches".into());
        };
        all.extend(changed.iter().map(|(name, value)| (name.clone(), value.clone())));
        let next: Faults = serde_json::from_value(merged).map_err(|error| error.to_string())?;
        if next.silent && changed.contains_key("silent") {
            self.silent_exempt.store(connection, Ordering::SeqCst);
            let newest = self.connections.load(Ordering::SeqCst);
            self.last_silent.store(newest, Ordering::SeqCst);
        }
        if changed.contains_key("lose_replies") {
            self.lose_replies.store(next.lose_replies, Ordering::SeqCst);
        }
        if changed.contains_key("die_after_bytes") {
            self.bytes_left.store(next.die_after_bytes, Ordering::SeqCst);
        }
        let mut faults = self.faults.write().unwrap_or_else(PoisonError::into_inner);
        *faults = Arc::new(next.clone());
        Ok(next)
    }

    /// Registers a new connection and returns its number, counted from 1.
    pub fn register_connection(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Returns whether a connection neither delivers received bytes nor sends any.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection <= self.last_silent.load(Ordering::SeqCst)
            && connection != self.silent_exempt.load(Ordering::SeqCst)
    }

    /// Counts bytes that are about to be written. Returns how many of them may be written and
    /// whether the process must exit after them.
    pub fn count_bytes(&self, bytes: usize) -> (usize, bool) {
        let left = self.bytes_left.load(Ordering::SeqCst);
        if left == 0 {
            return (bytes, false);
        }
        let allowed = usize::try_from(left).unwrap_or(usize::MAX).min(bytes);
        let rest = left - allowed as u64;
        self.bytes_left.store(rest, Ordering::SeqCst);
        (allowed, rest == 0)
    }

    /// Waits while `frozen` is switched on.
    pub async fn wait_while_frozen(&self) {
        while self.faults().frozen {
            sleep(FROZEN_POLL_PERIOD).await;
        }
    }

    /// Applies `frozen`, `slow_ms` and `down` to a call that has not taken effect yet. Returns
    /// whether the call may proceed.
    pub async fn admit(&self, part: &str) -> bool {
        self.wait_while_frozen().await;
        let faults = self.faults();
        if !faults.affects(part) {
            return true;
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
            self.wait_while_frozen().await;
        }
        !self.faults().down
    }

    /// Checks whether the reply to a write or run may be sent, and counts down `lose_replies`.
    ///
    /// # Errors
    ///
    /// The reply must be dropped.
    pub fn check_reply(&self, part: &str) -> Result<(), ReplyLost> {
        if !self.faults().affects(part) {
            return Ok(());
        }
        let dropped = self
            .lose_replies
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        dropped.map_or(Ok(()), |_| Err(ReplyLost))
    }
}

impl Faults {
    /// Returns whether `down`, `slow_ms` and `lose_replies` apply to a part of the stand-in.
    fn affects(&self, part: &str) -> bool {
        self.parts.is_empty() || self.parts.iter().any(|name| name == part)
    }
}
