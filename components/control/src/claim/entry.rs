//! A claim that this daemon works on.

use super::{Outcome, RequestId, Row};
use crate::time::Time;

/// A claim with the requests that wait for it.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub digest: String,
    /// Version of the row on which the next write is conditional; zero when there is none.
    pub version: u64,
    /// The row as it is, or as the write in flight makes it; absent when that deletes it.
    pub row: Option<Row>,
    pub phase: Phase,
    /// Requests without an answer, in order of arrival, with the time at which they are refused.
    pub waiting: Vec<(RequestId, Time)>,
}

/// What happens to a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Writes the row that lets the first waiting request run.
    Claim,
    /// The request may run.
    Granted,
    /// Writes the outcome.
    Record(Outcome),
    /// Deletes the row of a claim that was given up before its outcome was known.
    GiveUp,
    /// Writes that the outcome is not known, on the condition that the holder has not renewed.
    MarkUnknown { daemon: Option<(String, u64)> },
}

impl Phase {
    /// Whether a write is to be made.
    pub const fn writes(&self) -> bool {
        !matches!(self, Self::Granted)
    }
}
