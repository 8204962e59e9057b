//! What the caller of a submission is told when the store fails.
//!
//! A job is accepted by two writes: its items become an object, then its row is written under the
//! condition that there is none. Only the row makes it a job.

use std::time::Duration;

/// Time in which writes whose replies were lost are repeated. They are conditional, so that a
/// repetition finds its own effect.
const RETRY_TIME: Duration = Duration::from_secs(1);

/// A write of an acceptance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// The object with the items.
    Object,
    /// The row.
    Row,
}

/// What follows from a write that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Both writes are repeated.
    Repeat,
    /// The caller is told that nothing of the job runs, or will run because of this call.
    Refuse,
    /// The caller is told that the job may or may not run.
    Admit,
}

/// The failed writes of one submission.
#[derive(Clone, Copy, Debug, Default)]
pub struct Acceptance {
    /// Whether a row may have been written, or may be written later.
    is_uncertain: bool,
}

impl Acceptance {
    /// Takes over a failed write. `may_take_effect` says whether it may have taken effect or will do
    /// so later, and `elapsed` is the time since the submission began.
    pub const fn fail(&mut self, write: Write, may_take_effect: bool, elapsed: Duration) -> Next {
        self.is_uncertain |= may_take_effect && matches!(write, Write::Row);
        let is_over = elapsed.as_micros() > RETRY_TIME.as_micros();
        match may_take_effect && !is_over {
            true => Next::Repeat,
            false if self.is_uncertain => Next::Admit,
            // An object without a row is no job.
            false => Next::Refuse,
        }
    }
}
