//! The order in which batch items get slots.
//!
//! Answers the pattern of a fleet that cannot finish all batch items in time: in order of due times
//! every item would be late by a little. Items that can still be in time go first, in order of due
//! times; those that cannot fill what is left.

use std::time::Duration;

/// Weight of a new sample in the moving averages.
const SMOOTHING: f64 = 0.1;
/// Events of an item assumed before the first one is complete.
const FIRST_EVENTS: f64 = 150.0;
/// Time between two events assumed before the first sample.
const FIRST_PACE: Duration = Duration::from_millis(30);

/// What completed items of one deployment took.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    events: f64,
    pace: Duration,
}

impl Default for Pace {
    fn default() -> Self {
        Self { events: FIRST_EVENTS, pace: FIRST_PACE }
    }
}

impl Pace {
    /// Records an item that is complete.
    pub fn complete(&mut self, events: u64) {
        self.events = self.events * (1.0 - SMOOTHING) + events as f64 * SMOOTHING;
    }

    /// Records a run that produced some events.
    pub fn run(&mut self, events: u64, elapsed: Duration) {
        let Ok(events) = u32::try_from(events) else { return };
        if events > 0 {
            let sample = elapsed / events;
            self.pace = self.pace.mul_f64(1.0 - SMOOTHING) + sample.mul_f64(SMOOTHING);
        }
    }

    /// Expected time until an item is complete that has produced some events.
    pub fn remaining(&self, events: u64) -> Duration {
        self.pace.mul_f64((self.events - events as f64).max(0.0))
    }
}

/// Urgency of an item; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Urgency {
    /// Whether it is expected to be late.
    late: bool,
    /// When it is due, in milliseconds.
    due_ms: u64,
}

impl Urgency {
    /// Urgency of an item that is due at `due_ms` and is expected to need `remaining` from `now_ms`
    /// on.
    pub const fn new(now_ms: u64, due_ms: u64, remaining: Duration) -> Self {
        Self { late: now_ms + remaining.as_millis() as u64 > due_ms, due_ms }
    }
}
