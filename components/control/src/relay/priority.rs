//! Scheduling priority of batch items.
//!
//! Items that can still finish in time go first, earliest due time first; the other items use the
//! slots that remain. With due times alone, a fleet that cannot finish all items in time would
//! finish nearly every item a little late.

use std::time::Duration;

use crate::relay::broker::Urgency;

/// Weight of a new sample in the exponentially weighted moving averages.
const EWMA_WEIGHT: f64 = 0.1;
/// Events per item assumed before the first item is complete.
const INITIAL_EVENTS: f64 = 150.0;
/// Time between two events assumed before the first sample.
const INITIAL_EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// Estimate of the time that items take, from moving averages of earlier items.
#[derive(Clone, Copy, Debug)]
pub struct Estimate {
    /// Stream events per item.
    events: f64,
    /// Time between two events.
    event_interval: Duration,
}

impl Default for Estimate {
    fn default() -> Self {
        Self { events: INITIAL_EVENTS, event_interval: INITIAL_EVENT_INTERVAL }
    }
}

impl Estimate {
    /// Records the number of events of a completed item.
    pub fn record_completed(&mut self, events: u64) {
        self.events = self.events * (1.0 - EWMA_WEIGHT) + events as f64 * EWMA_WEIGHT;
    }

    /// Records a run that produced `events` in `elapsed`. Runs without events are ignored.
    pub fn record_run(&mut self, events: u64, elapsed: Duration) {
        let Ok(events) = u32::try_from(events) else { return };
        if events > 0 {
            let sample = elapsed / events;
            self.event_interval =
                self.event_interval.mul_f64(1.0 - EWMA_WEIGHT) + sample.mul_f64(EWMA_WEIGHT);
        }
    }

    /// Returns the expected time until an item that has produced `events` is complete.
    pub fn remaining(&self, events: u64) -> Duration {
        self.event_interval.mul_f64((self.events - events as f64).max(0.0))
    }
}

/// Priority of an item; the smallest value is scheduled first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Priority {
    /// Whether the item is expected to miss its due time.
    late: bool,
    due_ms: u64,
}

impl From<Priority> for Urgency {
    fn from(priority: Priority) -> Self {
        Self { late: priority.late, due_ms: priority.due_ms }
    }
}

impl Priority {
    /// Returns the priority of an item that is due at `due_ms` and is expected to run for
    /// `remaining` from `now_ms`. Both times are milliseconds of the same clock.
    pub const fn new(now_ms: u64, due_ms: u64, remaining: Duration) -> Self {
        Self { late: now_ms.saturating_add(remaining.as_millis() as u64) > due_ms, due_ms }
    }
}
