//! Retries and the final answer when the store fails during the submission of a batch job.
//!
//! A job is stored with two writes: first an object with its items, then its row, on the condition
//! that the row does not exist. The job exists only once its row does.

use std::time::Duration;

/// Time during which writes whose replies were lost are retried. The writes are conditional, so a
/// retry is idempotent.
const RETRY_PERIOD: Duration = Duration::from_secs(1);

/// A write of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// The object with the items.
    Object,
    /// The row of the job.
    Row,
}

/// How to continue after a failed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Retry both writes.
    Retry,
    /// Tell the caller that no part of the job runs or will run because of this call.
    Refuse,
    /// Tell the caller that the outcome is unknown: the job may or may not run.
    ReportUnknown,
}

/// State of one submission across its failed writes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Submission {
    /// Whether a row may have been written, or may be written later.
    may_be_stored: bool,
}

impl Submission {
    /// Records a failed write and returns how to continue. `may_take_effect` says whether the write
    /// may have taken effect or may do so later, and `elapsed` is the time since the submission
    /// began.
    pub const fn record_failure(
        &mut self,
        write: Write,
        may_take_effect: bool,
        elapsed: Duration,
    ) -> Action {
        self.may_be_stored |= may_take_effect && matches!(write, Write::Row);
        let is_expired = elapsed.as_micros() > RETRY_PERIOD.as_micros();
        match may_take_effect && !is_expired {
            true => Action::Retry,
            false if self.may_be_stored => Action::ReportUnknown,
            // An object without a row is not a job.
            false => Action::Refuse,
        }
    }
}
