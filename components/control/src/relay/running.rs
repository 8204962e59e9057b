//! Time for which this process has run.
//!
//! A process without processor time reads nothing that arrives, and finds its timers expired when it goes
//! on. Silence of others is therefore measured in the time in which this process could have heard them.

use std::time::Duration;

use crate::time::Time;

/// Interval between two ticks of a [`Stopwatch`].
pub const TICK_PERIOD: Duration = Duration::from_millis(50);
/// Longest time between two ticks that counts in full. A vm with a quota of processor time may stop for
/// up to a tenth of a second at a time and still hears what arrives.
const MAX_STEP: Duration = Duration::from_millis(150);

/// Measures running time, which leaves out the pauses of this process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stopwatch {
    ticked_at: Time,
    /// Running time up to the last tick.
    total: Time,
}

impl Stopwatch {
    /// Creates a stopwatch that starts at `now`, which is also its first reading.
    pub const fn new(now: Time) -> Self {
        Self { ticked_at: now, total: now }
    }

    /// Records that this process runs. Returns the time since the last tick that does not count.
    pub fn tick(&mut self, now: Time) -> Duration {
        let pause = now.since(self.ticked_at).saturating_sub(MAX_STEP);
        self.total = self.read(now);
        self.ticked_at = now;
        pause
    }

    /// Returns the running time, on a scale with the same origin as `now`. Without ticks it stands still.
    pub fn read(&self, now: Time) -> Time {
        self.total + now.since(self.ticked_at).min(MAX_STEP)
    }
}
