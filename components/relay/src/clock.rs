//! The monotonic clock of the process, and an estimate of the store's clock.

use std::{
    sync::atomic::{AtomicI64, Ordering},
    time::Instant,
};

use cyclamengrade_control::time::Time;

/// Offset that marks the store's clock as unknown.
const UNKNOWN_OFFSET: i64 = i64::MIN;

/// Latest plausible time of the store's clock: a hundred thousand years. Times and durations that are
/// added to it stay within 64 bits.
const MAX_STORE_MS: u64 = 100_000 * 365 * 24 * 3_600 * 1_000;

/// Clocks of a relay.
pub struct Clock {
    start: Instant,
    /// Difference between the store's clock and the monotonic clock, in milliseconds.
    store_offset_ms: AtomicI64,
}

impl Clock {
    pub fn new() -> Self {
        Self { start: Instant::now(), store_offset_ms: AtomicI64::new(UNKNOWN_OFFSET) }
    }

    /// Returns the monotonic time. Its origin is one minute before the start, so that times before
    /// the start can be expressed.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64 + 60_000_000)
    }

    /// Sets the store's clock from an answer of the store. A time that no clock reaches is ignored.
    pub fn record_store_time(&self, store_ms: u64) {
        if store_ms > MAX_STORE_MS {
            return;
        }
        let offset = store_ms as i64 - (self.now().0 / 1_000) as i64;
        self.store_offset_ms.store(offset, Ordering::Relaxed);
    }

    /// Returns the store's clock in milliseconds, or `None` before the first answer of the store.
    pub fn store_ms(&self) -> Option<u64> {
        match self.store_offset_ms.load(Ordering::Relaxed) {
            UNKNOWN_OFFSET => None,
            offset => u64::try_from((self.now().0 / 1_000) as i64 + offset).ok(),
        }
    }
}
