//! Follows the changes of one table of the store by long polling.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use cyclamengrade_control::{relay::evidence::Evidence, time::Time};
use cyclamengrade_platform::{Error, Feed, feed::Changes};
use cyclamengrade_telemetry::event;
use kameo::prelude::ActorRef;
use tokio::time::{sleep, timeout};

use crate::{
    clock::boot_time,
    directory::{Confirmed, Directory, Unchanged, Update},
    evidence::Call,
    job::key,
    listing::Follow,
    shared::Shared,
};

/// Part of the time in which a change has to be in force for which the store may hold a call until
/// there is a change. A silent connection is detected after this time and [`ANSWER_MARGIN`].
const LONG_POLL_SHARE: f64 = 0.4;
/// Time that is left for a new connection after a silent one, in addition.
const RECONNECT_TIME: Duration = Duration::from_millis(200);
/// Longest wait. With [`ANSWER_MARGIN`], it is at most the silence that counts as an outage.
const MAX_WAIT: Duration = Duration::from_millis(1_000);
/// Wait of calls for the changes of relays and jobs, by whose age jobs are admitted.
const FLEET_WAIT: Duration = Duration::from_millis(600);
/// Time after the requested wait within which the answer must arrive.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Timeout of a snapshot. It allows for a store that is fifty times slower than usual.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Shortest pause after changes of relays and jobs, so that further changes arrive together in one
/// call. Every change is delivered to every relay, and a reaction within seconds is soon enough.
const MIN_COALESCING_DELAY: Duration = Duration::from_millis(200);
/// Longest pause after changes of relays and jobs. The end of a job takes effect after it.
const MAX_COALESCING_DELAY: Duration = Duration::from_millis(1_000);
/// Number of relays up to which the pause is the shortest. In a larger fleet it grows with the
/// number of relays, and with it the number of changes in one call.
const COALESCING_RELAYS: u32 = 60;
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
    /// Longest time for which the store may hold a call until there is a change.
    wait: Duration,
    /// Version up to which changes were received; `None` before the first snapshot and after the
    /// store has dropped the history.
    version: Option<u64>,
    /// When the first of the current consecutive failures occurred; `None` after a success.
    lost_since: Option<Instant>,
    last_answer: Instant,
    backoff: Duration,
}

impl Follower {
    /// Creates a follower that begins with a snapshot of the table. A change of the table has to be
    /// in force within `apply`.
    pub fn new(
        shared: Arc<Shared>,
        feed: Arc<dyn Feed>,
        directory: ActorRef<Directory>,
        table: String,
        apply: Duration,
    ) -> Self {
        let last_answer = Instant::now();
        let wait = match table == key::FLEET {
            true => FLEET_WAIT,
            false => apply.mul_f64(LONG_POLL_SHARE).saturating_sub(RECONNECT_TIME).min(MAX_WAIT),
        };
        let wait = match table == shared.dialect.sources().configuration_table {
            true => Evidence::bounded_wait(shared.revocation_time(), wait),
            false => wait,
        };
        Self {
            shared,
            feed,
            directory,
            table,
            wait,
            version: None,
            lost_since: None,
            last_answer,
            backoff: MIN_BACKOFF,
        }
    }

    /// Follows the table until the process ends.
    pub async fn run(mut self) {
        loop {
            let paused = self.shared.clock.paused();
            let begin = boot_time();
            let (result, is_snapshot) = match self.version {
                None => (self.snapshot().await, true),
                Some(version) => (self.changes(version).await, false),
            };
            match result {
                Ok(changes) => {
                    let has_rows = !changes.rows.is_empty();
                    let until = self.shared.clock.now() + self.wait + ANSWER_MARGIN;
                    let follow = Follow { paused, until };
                    self.apply(changes, is_snapshot, follow, begin).await;
                    if has_rows && self.table == key::FLEET {
                        sleep(self.coalescing_delay()).await;
                    }
                }
                Err(Error::HistoryLost(_)) => {
                    self.record_failure(&Error::HistoryLost(self.version.unwrap_or(0)));
                    self.version = None;
                }
                Err(error) => {
                    self.record_failure(&error);
                    if matches!(error, Error::Protocol(_)) {
                        // The same call would get the same answer. A snapshot is read in pages.
                        self.version = None;
                    }
                    sleep(self.backoff).await;
                    self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
                }
            }
        }
    }

    fn coalescing_delay(&self) -> Duration {
        let relays = u32::try_from(self.shared.members().len()).unwrap_or(u32::MAX);
        let delay = MIN_COALESCING_DELAY * relays / COALESCING_RELAYS;
        delay.clamp(MIN_COALESCING_DELAY, MAX_COALESCING_DELAY)
    }

    async fn snapshot(&self) -> Result<Changes, Error> {
        let call = self.feed.snapshot(self.table.clone());
        timeout(SNAPSHOT_TIMEOUT, call).await.unwrap_or_else(|_| Err(timeout_error()))
    }

    async fn changes(&self, version: u64) -> Result<Changes, Error> {
        let wait = self.next_wait();
        let call = self.feed.changes(self.table.clone(), version, wait);
        timeout(wait + ANSWER_MARGIN, call).await.unwrap_or_else(|_| Err(timeout_error()))
    }

    /// Returns the time for which the store may hold the next call. After a failure, evidence of the
    /// configuration is needed at once.
    fn next_wait(&self) -> Duration {
        let is_needed = self.is_configuration() && self.shared.revocation_time().is_some();
        match is_needed && self.lost_since.is_some() {
            true => Duration::ZERO,
            false => self.wait,
        }
    }

    async fn apply(&mut self, changes: Changes, is_snapshot: bool, follow: Follow, begin: Time) {
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
        if self.table == key::FLEET {
            self.shared.record_fleet_answer();
        }
        self.shared.clock.record_store_time(changes.clock_ms);
        let known = self.version.unwrap_or(0);
        // An answer of an older version than the known one is not of the time of its call.
        let is_confirming = self.is_configuration() && changes.version >= known;
        let call = is_confirming.then_some(Call { begin, wait: self.wait });
        self.version = Some(changes.version.max(known));
        if changes.rows.is_empty() && !is_snapshot && silence < self.wait + ANSWER_MARGIN {
            if self.is_listing() {
                // Fails only if the directory actor has stopped, which the control thread logs.
                let _ = self.directory.tell(Unchanged { version: changes.version, follow }).await;
            }
            if let Some(call) = call {
                // After the updates that were told earlier, which the call confirms. Fails as above.
                let _ = self.directory.tell(Confirmed(call)).await;
            }
            return;
        }
        let table = self.table.clone();
        let update = Update { table, changes, is_snapshot, silence, follow, call };
        // Fails only if the directory actor has stopped, which the control thread logs.
        let _ = self.directory.tell(update).await;
    }

    /// Whether the table holds the upstreams.
    fn is_listing(&self) -> bool {
        self.table == self.shared.dialect.sources().upstream_table
    }

    fn is_configuration(&self) -> bool {
        self.table == self.shared.dialect.sources().configuration_table
    }

    fn record_failure(&mut self, error: &Error) {
        if self.is_configuration() {
            self.shared.record_configuration_loss();
        }
        if self.is_listing() {
            self.shared.listing.record_loss();
        }
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
