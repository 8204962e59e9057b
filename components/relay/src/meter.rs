//! Measures how an upstream answers a request.

use std::time::Duration;

use cyclamengrade_control::{
    relay::broker::{Measure, Ticket},
    time::Time,
};

/// Times of the events of one response.
#[derive(Clone, Copy, Debug)]
pub struct Meter {
    started: Time,
    first: Option<Time>,
    last: Time,
    events: u32,
    is_complete: bool,
}

impl Meter {
    pub const fn new(started: Time) -> Self {
        Self { started, first: None, last: started, events: 0, is_complete: false }
    }

    /// Records an event. Returns whether it is the first one.
    pub fn record_event(&mut self, now: Time) -> bool {
        let is_first = self.first.is_none();
        self.first.get_or_insert(now);
        self.last = now;
        self.events = self.events.saturating_add(1);
        is_first
    }

    /// Records that the response is complete.
    pub const fn record_end(&mut self) {
        self.is_complete = true;
    }

    /// Returns the measure of a request that holds the slot `ticket`, or `None` before its first event.
    pub fn measure(&self, ticket: Ticket) -> Option<Measure> {
        let first = self.first?;
        let gaps = self.events.saturating_sub(1);
        let gap = self.last.since(first).checked_div(gaps).unwrap_or(Duration::ZERO);
        Some(Measure {
            ticket,
            first: first.since(self.started),
            gap,
            events: self.events,
            complete: self.is_complete,
        })
    }
}
