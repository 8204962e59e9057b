//! The monotonic clock of the process, the time for which it has run, and an estimate of the store's clock.

use std::{
    pin::pin,
    sync::{
        Arc, Mutex,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, Instant},
};

use cyclamengrade_control::{
    relay::running::{Stopwatch, TICK_PERIOD},
    time::Time,
};
use cyclamengrade_telemetry::{event, metrics::RELAY_PAUSE_SECONDS};
use metrics::histogram;
use rustix::time::{ClockId, clock_gettime};
use tokio::time::{sleep, timeout};

use crate::shared::{Shared, lock};

/// Shortest pause that is logged. Shorter ones are frequent on a busy vm.
const MIN_LOGGED_PAUSE: Duration = Duration::from_millis(250);
/// Time before the start of the process at which the monotonic clock has its origin.
const ORIGIN: Duration = Duration::from_secs(60);

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
    running: Mutex<Stopwatch>,
}

impl Clock {
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            store_offset_ms: AtomicI64::new(UNKNOWN_OFFSET),
            running: Mutex::new(Stopwatch::new(Time::default() + ORIGIN)),
        }
    }

    /// Returns the monotonic time. Its origin is one minute before the start, so that times before
    /// the start can be expressed.
    pub fn now(&self) -> Time {
        Time::default() + ORIGIN + self.start.elapsed()
    }

    /// Returns the time for which this process has run, see [`Stopwatch`], with the origin of [`Self::now`].
    pub fn running(&self) -> Time {
        lock(&self.running).read(self.now())
    }

    /// Returns the time since the start for which this process has not run. It grows with each pause.
    pub fn paused(&self) -> Duration {
        let running = lock(&self.running);
        // Not before the last tick.
        let now = self.now();
        now.since(running.read(now))
    }

    /// Waits for a future for at most `limit` of running time. Returns `None` after that.
    pub async fn timeout<T>(&self, limit: Duration, future: impl Future<Output = T>) -> Option<T> {
        let mut future = pin!(future);
        let begin = self.running();
        loop {
            let left = limit.saturating_sub(self.running().since(begin));
            match timeout(left, &mut future).await {
                Ok(output) => return Some(output),
                Err(_) if left.is_zero() => return None,
                Err(_) => {}
            }
        }
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

/// Returns the time since the vm was started, which includes the time for which it was suspended.
pub fn boot_time() -> Time {
    let now = clock_gettime(ClockId::Boottime);
    Time(now.tv_sec.unsigned_abs() * 1_000_000 + now.tv_nsec.unsigned_abs() / 1_000)
}

/// Measures the running time of this process, and logs its pauses, until the process ends.
pub async fn watch_pauses(shared: Arc<Shared>) {
    loop {
        sleep(TICK_PERIOD).await;
        shared.record_running();
        let pause = lock(&shared.clock.running).tick(shared.clock.now());
        if pause >= MIN_LOGGED_PAUSE {
            event!(RelayPaused, pause_ms = pause.as_millis() as u64);
        }
        if !pause.is_zero() {
            histogram!(RELAY_PAUSE_SECONDS).record(pause.as_secs_f64());
        }
    }
}
