//! Whether a stream is complete whose end is marked by nothing but the close of its connection.
//!
//! The vm of an upstream that is killed closes its connections in order, so a close alone says nothing. A
//! run that resumes the stream after its last event and closes without a further event confirms the end,
//! if its upstream still lives afterwards.

/// Runs in a row, at one upstream, that closed their connections after the same event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ending {
    closes: u32,
}

impl Ending {
    /// Records that a further event arrived.
    pub const fn record_event(&mut self) {
        self.closes = 0;
    }

    /// Records that a run closed its connection. Returns whether this confirms an earlier close.
    pub const fn record_close(&mut self) -> bool {
        self.closes += 1;
        self.closes > 1
    }

    /// Forgets the closes so far, since another upstream goes on, or the last one does not answer. Closes
    /// of two upstreams have nothing to do with each other.
    pub const fn reset(&mut self) {
        self.closes = 0;
    }
}
