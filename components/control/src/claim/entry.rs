//! A claim whose outcome this daemon has not recorded yet.

use super::{Outcome, RequestId, Row};
use crate::time::Time;

/// A claim with the requests that wait for it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub digest: String,
    /// Row version on which the next write is conditional; 0 if there is no row.
    pub version: u64,
    /// Content of the row, or the content that the write in flight gives it; `None` if there is no
    /// row or the write deletes it.
    pub row: Option<Row>,
    pub phase: Phase,
    /// Unanswered requests in order of arrival, each with the time at which it is refused.
    pub waiting: Vec<(RequestId, Time)>,
}

/// Progress of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Writes the row; the first waiting request may run once the write is applied.
    Claim,
    /// The request may run; nothing is written until it ends.
    Granted,
    /// Writes the outcome.
    Record(Outcome),
    /// Deletes the row of an abandoned claim; requests that arrive meanwhile claim it again after
    /// that.
    Abandon,
    /// Writes to another holder's row that the outcome is unknown. `daemon` is the holder and the
    /// version that its lease row must still have; `None` if the holder has ended for certain.
    MarkUnknown { daemon: Option<(String, u64)> },
}

impl Phase {
    pub const fn needs_write(&self) -> bool {
        !matches!(self, Self::Granted)
    }
}
