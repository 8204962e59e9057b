//! Limit on the tokens of a batch route that wait for a run.
//!
//! Each relay adds up the rows of all open jobs, which it follows anyway. Its view lags behind the
//! submissions at other relays by the age of the view, so the limit is exceeded by at most the
//! tokens that the fleet accepts in that time.

use std::time::Duration;

/// Age of the view up to which the limit alone decides.
const MAX_VIEW_AGE: Duration = Duration::from_millis(2_000);
/// Part of the limit up to which jobs are admitted with an older view.
const STALE_VIEW_SHARE: f64 = 0.5;
/// Part of the limit from which owners store the tokens that the finished items of a job free. Below
/// it, a job counts in full until it is done, which saves a write of its row for each result.
const EXACT_COUNT_SHARE: f64 = 0.4;
/// Shortest time after which the caller of a job that does not fit may retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Longest time after which the caller of a job that does not fit may retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

/// Tokens of a route that wait, as one relay knows them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Tokens of the unfinished items of open jobs.
    pub waiting: u64,
    /// Tokens of jobs that this relay is storing.
    pub reserved: u64,
    /// Time since the store last confirmed the jobs.
    pub age: Duration,
}

/// Decision on a submitted job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    Admitted,
    /// The job does not fit now. The caller may retry after the duration.
    Full(Duration),
    /// The job alone exceeds the limit.
    TooLarge,
    /// The view is too old to tell whether the job fits.
    Unknown,
}

/// Limit on the waiting tokens of a route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Quota {
    /// Largest number of waiting tokens; `None` for no limit.
    limit: Option<u64>,
}

impl Quota {
    /// Creates a quota of `limit` tokens; 0 means no limit.
    pub const fn new(limit: u64) -> Self {
        Self { limit: if limit == 0 { None } else { Some(limit) } }
    }

    /// Returns the largest number of waiting tokens; `None` for no limit.
    pub const fn limit(self) -> Option<u64> {
        self.limit
    }

    /// Whether there is a limit.
    pub const fn is_limited(self) -> bool {
        self.limit.is_some()
    }

    /// Decides on a job of `tokens`. `completion` is the time in which the jobs of the route are to
    /// be completed.
    pub fn admit(self, view: View, tokens: u64, completion: Duration) -> Admission {
        let Some(limit) = self.limit else { return Admission::Admitted };
        if tokens > limit {
            return Admission::TooLarge;
        }
        let total = view.waiting.saturating_add(view.reserved).saturating_add(tokens);
        match total.checked_sub(limit) {
            Some(excess) if excess > 0 => {
                // A full route drains within about the completion time of its jobs.
                let wait = completion.as_secs_f64() * excess as f64 / limit as f64;
                let wait = Duration::try_from_secs_f64(wait).unwrap_or(MAX_RETRY_AFTER);
                Admission::Full(wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER))
            }
            _ if view.age > MAX_VIEW_AGE && total as f64 > limit as f64 * STALE_VIEW_SHARE => {
                Admission::Unknown
            }
            _ => Admission::Admitted,
        }
    }

    /// Whether the owners of jobs store the tokens that finished items free.
    pub fn needs_exact_count(self, waiting: u64) -> bool {
        self.limit.is_some_and(|limit| waiting as f64 > limit as f64 * EXACT_COUNT_SHARE)
    }
}
