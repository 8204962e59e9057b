//! What a runner did for one request.

use std::time::{Duration, Instant};

/// Time before the limit of a run from which on its caller may drop it.
const LIMIT_MARGIN: Duration = Duration::from_millis(100);

/// Record of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    pub id: String,
    /// Number of the last event that the caller already had (`Last-Event-Id`); `None` for a new
    /// stream.
    pub after: Option<u64>,
    /// Time limit of the request in milliseconds (`Deadline-Ms`).
    pub deadline_ms: Option<u64>,
    /// Name of the account that sent the request (`Tenant`); empty without one.
    pub tenant: String,
    /// Whether the request had an `Authorization` header.
    pub has_key: bool,
    /// When the run started.
    pub started: Instant,
    /// How the run ended, and when; `None` while it goes on.
    pub ended: Option<(Instant, End)>,
}

impl Run {
    /// Whether the caller closed the connection before the time limit, while the run went on.
    pub fn is_dropped(&self) -> bool {
        let Some((end, End::Dropped)) = self.ended else { return false };
        let limit = self.deadline_ms.map_or(Duration::MAX, Duration::from_millis);
        (end - self.started).saturating_add(LIMIT_MARGIN) < limit
    }
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The runner wrote all that it had to write.
    Written,
    /// The connection was closed before.
    Dropped,
}
