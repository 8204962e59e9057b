//! Follows the changes of one table of the store by long polling.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cyclamengrade_platform::{Error, Feed, feed::Changes};
use cyclamengrade_telemetry::event;
use kameo::prelude::ActorRef;
use tokio::time::{sleep, timeout};

use crate::{
    directory::{Directory, Update},
    job::key,
    shared::Shared,
};

/// Longest time for which the store may hold a call until a change exists. A silent connection is
/// detected after this time and [`ANSWER_MARGIN`], well within the two seconds in which a change
/// must be in force.
const LONG_POLL_WAIT: Duration = Duration::from_millis(600);
/// Time after [`LONG_POLL_WAIT`] within which the answer must arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Timeout of a snapshot. It allows for a store that is fifty times slower than usual.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Pause after changes of relays and jobs, so that further changes arrive together in one call.
/// Every change is delivered to every relay, and a reaction within seconds is soon enough.
const FLEET_COALESCING_DELAY: Duration = Duration::from_millis(200);
/// Backoff after the first failed call; doubled for each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);
/// Longest backoff after a failed call. It is short, because all requests depend on the state that
/// the store delivers.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Follows one table and passes its changes to the directory.
pub struct Follower {
    shared: Arc<Shared>,
    feed: Arc<dyn Feed>,
    directory: ActorRef<Directory>,
    table: String,
    /// Version up to which changes were received; `None` before the first snapshot and after the
    /// store has dropped the history.
    version: Option<u64>,
    /// When the first of the current consecutive failures occurred; `None` after a success.
    lost_since: Option<Instant>,
    last_answer: Instant,
    backoff: Duration,
}

impl Follower {
    /// Creates a follower that begins with a snapshot of the table.
    pub fn new(
        shared: Arc<Shared>,
        feed: Arc<dyn Feed>,
        directory: ActorRef<Directory>,
        table: String,
    ) -> Self {
        let last_answer = Instant::now();
        Self {
            shared,
            feed,
            directory,
            table,
            version: None,
            lost_since: None,
            last_answer,
            backoff: MIN_BACKOFF,
        }
    }

    /// Follows the table until the process ends.
    pub async fn run(mut self) {
        loop {
            let (result, is_snapshot) = match self.version {
                None => (self.snapshot().await, true),
                Some(version) => (self.changes(version).await, false),
            };
            match result {
                Ok(changes) => {
                    let has_rows = !changes.rows.is_empty();
                    self.apply(changes, is_snapshot).await;
                    if has_rows && self.table == key::FLEET {
                        sleep(FLEET_COALESCING_DELAY).await;
                    }
                }
                Err(Error::HistoryLost(_)) => {
                    self.record_failure(&Error::HistoryLost(self.version.unwrap_or(0)));
                    self.version = None;
                }
                Err(error) => {
                    self.record_failure(&error);
                    sleep(self.backoff).await;
                    self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    async fn snapshot(&self) -> Result<Changes, Error> {
        let call = self.feed.snapshot(self.table.clone());
        timeout(SNAPSHOT_TIMEOUT, call).await.unwrap_or_else(|_| Err(timeout_error()))
    }

    async fn changes(&self, version: u64) -> Result<Changes, Error> {
        let call = self.feed.changes(self.table.clone(), version, LONG_POLL_WAIT);
        timeout(LONG_POLL_WAIT + ANSWER_MARGIN, call).await.unwrap_or_else(|_| Err(timeout_error()))
    }

    async fn apply(&mut self, changes: Changes, is_snapshot: bool) {
        if let Some(since) = self.lost_since.take() {
            event!(
                FeedBack,
                table:% = self.table,
                version = changes.version,
                elapsed_ms = since.elapsed().as_millis() as u64
            );
        }
        self.backoff = MIN_BACKOFF;
        let silence = std::mem::replace(&mut self.last_answer, Instant::now()).elapsed();
        self.shared.record_store_contact();
        self.shared.clock.record_store_time(changes.clock_ms);
        self.version = Some(changes.version.max(self.version.unwrap_or(0)));
        if changes.rows.is_empty() && !is_snapshot && silence < LONG_POLL_WAIT + ANSWER_MARGIN {
            return;
        }
        let update = Update { table: self.table.clone(), changes, is_snapshot, silence };
        // Fails only if the directory actor has stopped, which the control thread logs.
        let _ = self.directory.tell(update).await;
    }

    fn record_failure(&mut self, error: &Error) {
        if self.lost_since.is_none() {
            self.lost_since = Some(Instant::now());
            event!(
                FeedLost,
                table:% = self.table,
                error:% = error,
                version = self.version.unwrap_or(0)
            );
        }
    }
}

fn timeout_error() -> Error {
    Error::Unreachable("the store did not answer before the timeout".into())
}
