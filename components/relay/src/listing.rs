//! Confirms that the list of upstreams is current.
//!
//! An answer of the store about something else says nothing of the list, and neither does the age of the
//! last answer: the clock stands while the vm is suspended, and an answer may have been on its way for long.
//! Only a call that begins after the question shows it.

use std::{sync::Arc, time::Duration};

use cyclamengrade_platform::{Error, Feed};
use cyclamengrade_telemetry::event;
use tokio::{sync::watch, time::timeout};

use crate::shared::Shared;

/// Time within which the store confirms the list. Callers that continue a stream wait for it.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Outcome of the last call that confirms the list.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    /// Number of the last question that was asked before the call.
    question: u64,
    is_current: bool,
}

/// Questions whether the list of upstreams is current, and their answers.
#[derive(Debug, Default)]
pub struct Listing {
    /// Number of questions so far.
    questions: watch::Sender<u64>,
    outcome: watch::Sender<Outcome>,
    /// Version of the store up to which the list was applied.
    applied: watch::Sender<u64>,
}

impl Listing {
    /// Records that the list was applied up to a version of the store.
    pub fn record_applied(&self, version: u64) {
        self.applied.send_if_modified(|applied| {
            let is_newer = version > *applied;
            *applied = version.max(*applied);
            is_newer
        });
    }
}

impl Shared {
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
