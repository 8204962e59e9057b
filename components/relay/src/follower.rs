//! Follows the changes of one table of the store.

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

/// Longest wait of one call for changes. A connection that went silent is found after this time and
/// the margin, well within the two seconds in which a change has to be in force.
const WAIT: Duration = Duration::from_millis(600);
/// Time beyond the wait in which an answer must arrive.
const MARGIN: Duration = Duration::from_millis(500);
/// Longest time of a snapshot. Covers a store that answers fifty times as slowly as usual.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Time in which changes of relays and jobs gather for one call. Every change goes to every relay,
/// and nothing that follows from one is due in less than seconds.
const GATHER: Duration = Duration::from_millis(200);
/// First pause after a failed call; doubled for each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(50);
/// Longest pause after a failed call. Short, since all requests depend on what the store says.
const LONGEST_PAUSE: Duration = Duration::from_millis(400);

/// Follows one table and passes its changes to the directory.
pub struct Follower {
    shared: Arc<Shared>,
    feed: Arc<dyn Feed>,
    directory: ActorRef<Directory>,
    table: String,
    version: Option<u64>,
    lost: Option<Instant>,
    heard: Instant,
    pause: Duration,
}

impl Follower {
    /// A follower that has read nothing yet.
    pub fn new(
        shared: Arc<Shared>,
        feed: Arc<dyn Feed>,
        directory: ActorRef<Directory>,
        table: String,
    ) -> Self {
        let heard = Instant::now();
        Self {
            shared,
            feed,
            directory,
            table,
            version: None,
            lost: None,
            heard,
            pause: FIRST_PAUSE,
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
                        sleep(GATHER).await;
                    }
                }
                Err(Error::HistoryLost(_)) => {
                    self.lose(&Error::HistoryLost(self.version.unwrap_or(0)));
                    self.version = None;
                }
                Err(error) => {
                    self.lose(&error);
                    sleep(self.pause).await;
                    self.pause = (self.pause * 2).min(LONGEST_PAUSE);
                }
            }
        }
    }

    async fn snapshot(&self) -> Result<Changes, Error> {
        let call = self.feed.snapshot(self.table.clone());
        timeout(SNAPSHOT_TIMEOUT, call).await.unwrap_or_else(|_| Err(silent()))
    }

    async fn changes(&self, version: u64) -> Result<Changes, Error> {
        let call = self.feed.changes(self.table.clone(), version, WAIT);
        timeout(WAIT + MARGIN, call).await.unwrap_or_else(|_| Err(silent()))
    }

    async fn apply(&mut self, changes: Changes, is_snapshot: bool) {
        if let Some(since) = self.lost.take() {
            event!(
                FeedBack,
                table:% = self.table,
                version = changes.version,
                elapsed_ms = since.elapsed().as_millis() as u64
            );
        }
        self.pause = FIRST_PAUSE;
        let silence = std::mem::replace(&mut self.heard, Instant::now()).elapsed();
        self.shared.record_store_contact();
        self.shared.clock.record_store_time(changes.clock_ms);
        self.version = Some(changes.version.max(self.version.unwrap_or(0)));
        if changes.rows.is_empty() && !is_snapshot && silence < WAIT + MARGIN {
            return;
        }
        let update = Update { table: self.table.clone(), changes, is_snapshot, silence };
        // The directory lives as long as the process.
        let _ = self.directory.tell(update).await;
    }

    fn lose(&mut self, error: &Error) {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            event!(
                FeedLost,
                table:% = self.table,
                error:% = error,
                version = self.version.unwrap_or(0)
            );
        }
    }
}

fn silent() -> Error {
    Error::Unreachable("no answer in time".into())
}
