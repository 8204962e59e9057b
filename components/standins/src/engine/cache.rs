//! Prefix cache with limited memory, whose events are published late and with gaps.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use cyclamengrade_upstream::wire::CacheEvent;

/// Events that are kept for readers.
const KEPT_EVENTS: usize = 4_096;

/// Prefixes in order of use, and the events about them.
#[derive(Debug, Default)]
pub struct Cache {
    entries: usize,
    prefixes: VecDeque<u64>,
    events: VecDeque<(Instant, CacheEvent)>,
    number: u64,
}

impl Cache {
    /// An empty cache for this many prefixes.
    pub fn new(entries: usize) -> Self {
        Self { entries, ..Self::default() }
    }

    /// Uses a prefix; returns whether it was cached.
    pub fn touch(&mut self, prefix: u64) -> bool {
        let position = self.prefixes.iter().position(|known| *known == prefix);
        if let Some(position) = position {
            self.prefixes.remove(position);
        } else {
            self.publish(prefix, true);
        }
        self.prefixes.push_back(prefix);
        while self.prefixes.len() > self.entries {
            if let Some(evicted) = self.prefixes.pop_front() {
                self.publish(evicted, false);
            }
        }
        position.is_some()
    }

    /// Events above a number that are older than the lag, without those that fall into a gap.
    pub fn events(&self, after: u64, lag: Duration, gap: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(time, event)| event.number > after && time.elapsed() >= lag)
            .filter(|(_, event)| gap == 0 || !event.number.is_multiple_of(gap))
            .map(|(_, event)| event.clone())
            .collect()
    }

    fn publish(&mut self, prefix: u64, stored: bool) {
        self.number += 1;
        let event = CacheEvent { number: self.number, prefix: format!("{prefix:016x}"), stored };
        self.events.push_back((Instant::now(), event));
        if self.events.len() > KEPT_EVENTS {
            self.events.pop_front();
        }
    }
}
