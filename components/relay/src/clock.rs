//! The monotonic clock of this process, and the store's clock as seen from here.

use std::{
    sync::atomic::{AtomicI64, Ordering},
    time::Instant,
};

use cyclamengrade_control::time::Time;

/// Difference that stands for "the store's clock is not known".
const UNKNOWN: i64 = i64::MIN;

/// Clocks of a relay.
pub struct Clock {
    start: Instant,
    store_offset_ms: AtomicI64,
}

impl Clock {
    /// A clock that starts now.
    pub fn new() -> Self {
        // The origin lies a minute back, so that times before the start can be written.
        Self { start: Instant::now(), store_offset_ms: AtomicI64::new(UNKNOWN) }
    }

    /// The monotonic time.
    pub fn now(&self) -> Time {
        Time(self.start.elapsed().as_micros() as u64 + 60_000_000)
    }

    /// Takes over the store's clock.
    pub fn record_store_time(&self, store_ms: u64) {
        let offset = store_ms as i64 - (self.now().0 / 1_000) as i64;
        self.store_offset_ms.store(offset, Ordering::Relaxed);
    }

    /// The store's clock in milliseconds; `None` before it was seen.
    pub fn store_ms(&self) -> Option<u64> {
        match self.store_offset_ms.load(Ordering::Relaxed) {
            UNKNOWN => None,
            offset => u64::try_from((self.now().0 / 1_000) as i64 + offset).ok(),
        }
    }
}
