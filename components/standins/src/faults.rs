//! Fault switches that every stand-in has.

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

/// Time between two looks at the switch of a frozen stand-in.
const FROZEN_POLL: Duration = Duration::from_millis(5);

/// Body of `POST /_faults`, where absent fields keep their value, and answer of `GET /_faults`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Answers every call with 503 before its effect.
    pub down: bool,
    /// Delays every call before its effect, in milliseconds.
    pub slow_ms: u64,
    /// Multiplies all times of an engine or a service.
    pub slow_factor: f64,
    /// Closes the connection instead of a reply after the effect of this many writes or runs.
    pub lose_replies: u64,
    /// Makes no progress on any connection, old or new, until switched off.
    pub frozen: bool,
    /// Switching on makes all connections that are open at that time silent for good. New ones
    /// work.
    pub silent: bool,
    /// Ends the process after it has written this many more bytes; zero switches this off.
    pub die_after_bytes: u64,
    /// Whether an engine reports that it is leaving.
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

/// The switches of one process.
#[derive(Debug, Default)]
pub struct Switches {
    faults: RwLock<Arc<Faults>>,
    lose_replies: AtomicU64,
    silent_until: AtomicU64,
    silent_exempt: AtomicU64,
    bytes_left: AtomicU64,
    connections: AtomicU64,
}

/// The connection is closed without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyLost;

impl std::fmt::Display for ReplyLost {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("the reply is lost on purpose")
    }
}

impl std::error::Error for ReplyLost {}

impl Switches {
    /// The current switches.
    pub fn faults(&self) -> Arc<Faults> {
        let faults = self.faults.read().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(&faults)
    }

    /// The current switches with the number of replies that are still to be lost.
    pub fn report(&self) -> Faults {
        let lose_replies = self.lose_replies.load(Ordering::SeqCst);
        Faults { lose_replies, ..Faults::clone(&self.faults()) }
    }

    /// Applies the given fields. `connection` is the one that carries the change; it never
    /// becomes silent.
    pub fn change(&self, fields: &Value, connection: u64) -> Result<Faults, String> {
        let mut merged = serde_json::to_value(self.report()).map_err(|error| error.to_string())?;
        let (Some(all), Some(changed)) = (merged.as_object_mut(), fields.as_object()) else {
            return Err("the body must be a JSON object of switches".into());
        };
        all.extend(changed.iter().map(|(name, value)| (name.clone(), value.clone())));
        let next: Faults = serde_json::from_value(merged).map_err(|error| error.to_string())?;
        if next.silent && changed.contains_key("silent") {
            self.silent_exempt.store(connection, Ordering::SeqCst);
            let newest = self.connections.load(Ordering::SeqCst);
            self.silent_until.store(newest, Ordering::SeqCst);
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

    /// Number of a new connection, from 1.
    pub fn connect(&self) -> u64 {
        self.connections.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Whether a connection makes no progress any more.
    pub fn is_silent(&self, connection: u64) -> bool {
        connection <= self.silent_until.load(Ordering::SeqCst)
            && connection != self.silent_exempt.load(Ordering::SeqCst)
    }

    /// Counts bytes that are about to be written. Returns how many of them may be written and
    /// whether the process must end after them.
    pub fn spend(&self, bytes: usize) -> (usize, bool) {
        let left = self.bytes_left.load(Ordering::SeqCst);
        if left == 0 {
            return (bytes, false);
        }
        let allowed = usize::try_from(left).unwrap_or(usize::MAX).min(bytes);
        let rest = left - allowed as u64;
        self.bytes_left.store(rest, Ordering::SeqCst);
        (allowed, rest == 0)
    }

    /// Waits while the stand-in is frozen.
    pub async fn thaw(&self) {
        while self.faults().frozen {
            sleep(FROZEN_POLL).await;
        }
    }

    /// Waits as long as the switches say before the effect of a call. Returns whether the call
    /// may go on.
    pub async fn enter(&self, part: &str) -> bool {
        self.thaw().await;
        let faults = self.faults();
        if !faults.concerns(part) {
            return true;
        }
        if faults.slow_ms > 0 {
            sleep(Duration::from_millis(faults.slow_ms)).await;
            self.thaw().await;
        }
        !self.faults().down
    }

    /// Whether the reply of a write or run is lost; counts down the switch.
    pub fn take_reply(&self, part: &str) -> Result<(), ReplyLost> {
        if !self.faults().concerns(part) {
            return Ok(());
        }
        let lost = self
            .lose_replies
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1));
        lost.map_or(Ok(()), |_| Err(ReplyLost))
    }
}

impl Faults {
    fn concerns(&self, part: &str) -> bool {
        self.parts.is_empty() || self.parts.iter().any(|name| name == part)
    }
}
