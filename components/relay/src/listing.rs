//! Tells whether the list of upstreams is current.
//!
//! An answer of the store about something else says nothing of the list, and neither does the age of the
//! last answer: the clock stands while the vm is suspended, and an answer may have been on its way for long.
//! Only a call that begins after the question shows it. Where each question would cost too many calls, it
//! is enough that the list is followed: changes arrive at once while the feed answers in time and this
//! process runs.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use cyclamengrade_control::time::Time;
use cyclamengrade_platform::{Error, Feed};
use cyclamengrade_telemetry::event;
use tokio::{sync::watch, time::timeout};

use crate::{
    clock::Clock,
    shared::{Shared, lock},
};

/// Time within which the store confirms the list. Callers that continue a stream wait for it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of the last call that confirms the list.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Number of the last question that was asked before the call.
    question: u64,
    is_current: bool,
}

/// What an answer of the feed says of the time after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Follow {
    /// Pauses of this process before the call began. A later one may have held up the answer, or the next
    /// call.
    pub paused: Duration,
    /// When the next answer is due.
    pub until: Time,
}

impl Follow {
    fn is_in_force(&self, clock: &Clock) -> bool {
        clock.paused() == self.paused && clock.now() < self.until
    }
}

/// Questions whether the list of upstreams is current, and their answers.
#[derive(Debug, Default)]
pub struct Listing {
    /// Number of questions so far.
    questions: watch::Sender<u64>,
    outcome: watch::Sender<Outcome>,
    /// Version of the store up to which the list was applied.
    applied: watch::Sender<u64>,
    /// Says whether the list is followed; `None` before the first answer and after a failed call.
    follow: Mutex<Option<Follow>>,
}

impl Listing {
    /// Records that the list was applied up to a version of the store, with what the answer that brought it
    /// says of the time after it.
    pub fn record_applied(&self, version: u64, follow: Follow) {
        *lock(&self.follow) = Some(follow);
        self.applied.send_if_modified(|applied| {
            let is_newer = version > *applied;
            *applied = version.max(*applied);
            is_newer
        });
    }

    /// Records that a call for changes failed.
    pub fn record_loss(&self) {
        *lock(&self.follow) = None;
    }
}

impl Shared {
    /// Whether this relay has learned of each change of the list at once since the last answer of the feed.
    pub fn is_listing_followed(&self) -> bool {
        lock(&self.listing.follow).is_some_and(|follow| follow.is_in_force(&self.clock))
    }

    /// Whether the list of upstreams is that of the store at some moment after this call began.
    pub async fn is_listing_current(&self) -> bool {
        let mut question = 0;
        self.listing.questions.send_modify(|questions| {
            *questions += 1;
            question = *questions;
        });
        let mut outcome = self.listing.outcome.subscribe();
        let answered = outcome.wait_for(|outcome| outcome.question >= question);
        // Fails only after the timeout: the sender is a field of `self`.
        let answered = timeout(CONFIRM_TIMEOUT, answered).await;
        matches!(answered, Ok(Ok(outcome)) if outcome.is_current)
    }
}

/// Answers the questions, until the process ends. Questions that are asked during a call share the next one.
pub async fn confirm(shared: Arc<Shared>, feed: Arc<dyn Feed>, table: String) {
    let mut questions = shared.listing.questions.subscribe();
    while questions.changed().await.is_ok() {
        let question = *questions.borrow_and_update();
        let confirmed = timeout(CONFIRM_TIMEOUT, await_current(&shared, &*feed, &table)).await;
        let is_current = match confirmed {
            Ok(Ok(())) => true,
            Ok(Err(error)) => {
                event!(ListUnconfirmed, error:% = error);
                false
            }
            Err(error) => {
                event!(ListUnconfirmed, error:% = error);
                false
            }
        };
        shared.listing.outcome.send_replace(Outcome { question, is_current });
    }
}

/// Waits until the list has all changes that the store knows now.
async fn await_current(shared: &Shared, feed: &dyn Feed, table: &str) -> Result<(), Error> {
    let known = *shared.listing.applied.borrow();
    let changes = feed.changes(table.to_owned(), known, Duration::ZERO).await?;
    let newest = changes.rows.iter().map(|row| row.version).max().unwrap_or(known);
    // The follower brings these changes. Cannot fail: the sender is a field of `shared`.
    let _ = shared.listing.applied.subscribe().wait_for(|applied| *applied >= newest).await;
    Ok(())
}
