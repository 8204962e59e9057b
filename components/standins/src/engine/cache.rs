//! Prefix cache of limited size. Its events are published with a delay and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use cyclamengrade_upstream::wire::CacheEvent;

/// Number of newest events that are kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Least-recently-used cache of prefixes with a log of its changes.
#[derive(Debug, Default)]
pub struct Cache {
    /// Largest number of prefixes.
    capacity: usize,
    /// Least recently used first.
    prefixes: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    last_number: u64,
}

impl Cache {
    /// Creates an empty cache for at most `capacity` prefixes.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, ..Self::default() }
    }

    /// Marks a prefix as most recently used and caches it. Returns whether it was already cached.
    pub fn touch(&mut self, prefix: u64) -> bool {
        let position = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
        } else {
            self.publish(prefix, true);
        }
        self.prefixes.push_back(prefix);
        while self.prefixes.len() > self.capacity {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.publish(evicted, false);
            }
        }
        position.is_some()
    }

    /// Returns the events with numbers above `after` that are at least as old as `lag`. Leaves out
    /// those whose number is a multiple of `gap`, unless `gap` is zero.
    pub fn events(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(time, event)| event.number > after && time.elapsed() >= lag)
            .filter(|(_, event)| gap == 0 || !event.number.is_multiple_of(gap))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn publish(&mut self, prefix: u64, stored: bool) {
        self.last_number += 1;
        let event =
            CacheEvent { number: self.last_number, prefix: format!("{prefix:016x}"), stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
