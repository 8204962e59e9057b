//! Claims of non-idempotent requests, by which a request with an idempotency key runs at most once.
//!
//! A claim is a row of the table, which is written before the request is dispatched and again when
//! its outcome is known.

mod body;
mod recorder;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cyclamengrade_caller::{Failure, Kind, backend::BackendFuture};
use cyclamengrade_control::claim;
use cyclamengrade_platform::{Objects, Table};
use cyclamengrade_settings as settings;
use cyclamengrade_telemetry::{event, metrics::CLAIMS};
use kameo::actor::ActorRef;
use metrics::counter;
use tokio::{
    sync::{oneshot, watch},
    time::timeout,
};

use self::recorder::{Begin, Finish, Recorder};
use crate::{
    lease,
    node::{Clock, Node},
    online,
};

/// Maximum time for which [`Claims::finish`] waits for the object store, and again for the table.
const RECORD_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay after which a caller may retry when the request is running or the platform is unavailable.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Handle for the claims of this daemon.
#[derive(Clone)]
pub struct Claims {
    recorder: ActorRef<Recorder>,
    objects: Arc<dyn Objects>,
    clock: Clock,
    lease: watch::Receiver<lease::State>,
}

/// Decision on a request that asks for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may be dispatched.
    Run(Permit),
    /// An earlier request with this key has ended with this answer.
    Done(Answer),
    /// Another request with this key is running.
    InProgress,
    /// An earlier request with this key may have run; it never runs again.
    OutcomeUnknown,
    /// The key has already been used for a request with another digest.
    Conflict,
    /// The platform is unavailable or this daemon holds no lease; the request did not run.
    Refused,
}

/// Permission to run a request once.
///
/// It must be passed to [`Claims::finish`]. The claim of a permit that is dropped instead ends as
/// `outcome_unknown` once this process has ended.
#[derive(Debug, PartialEq, Eq, Clone)]
pub struct Permit {
    /// Key of the claim's row.
    key: String,
}

/// Answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    pub body: Bytes,
}

/// Outcome of a request that was allowed to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ended with this answer, which is returned to later requests with the key.
    Done(Answer),
    /// It certainly did not run; the key may be used again.
    NotRun,
    /// It may have run; it never runs again.
    Unknown,
}

impl Claims {
    /// Starts the recorder of `daemon` on the current runtime and returns a handle.
    pub fn start(
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        clock: Clock,
        daemon: &str,
        settings: &settings::Lease,
        lease: watch::Receiver<lease::State>,
    ) -> Self {
        let recorder = Recorder::start(table, clock, daemon, settings, lease.clone());
        Self { recorder, objects, clock, lease }
    }

    /// Starts the recorder of a daemon, as [`Claims::start`] does, with the platform, the clock and
    /// the settings of the daemon.
    pub fn from_node(node: &Node, lease: watch::Receiver<lease::State>) -> Self {
        let settings = &node.settings;
        Self::start(
            node.table.clone(),
            node.objects.clone(),
            node.clock,
            &settings.name,
            &settings.lease,
            lease,
        )
    }

    /// Returns whether this daemon holds its lease, without which a request with a permit must not
    /// be dispatched. Must be checked immediately before each dispatch after the first.
    pub fn may_dispatch(&self) -> bool {
        self.lease.borrow().held_epoch(self.clock.now()).is_some()
    }

    /// Claims a key of a client for a request with this digest.
    pub async fn begin(&self, client: &str, key: &str, digest: &str) -> Decision {
        let key = claim::key(client, key);
        let (reply, decision) = oneshot::channel();
        let begin = Begin { key: key.clone(), digest: digest.to_owned(), reply };
        if self.recorder.tell(begin).send().await.is_err() {
            return Decision::Refused;
        }
        match decision.await {
            Ok(claim::Decision::Run { until }) if self.clock.now() < until => {
                Decision::Run(Permit { key })
            }
            Ok(claim::Decision::Run { .. }) => {
                // The process was paused after the claim was granted, and the lease has lapsed.
                self.finish(Permit { key }, Outcome::NotRun).await;
                Decision::Refused
            }
            Ok(decision) => self.handle_declined(decision).await,
            Err(_) => Decision::Refused,
        }
    }

    /// Converts the decision on a request that must not run, and counts it as repeated if an
    /// earlier request has the same key and digest.
    async fn handle_declined(&self, decision: claim::Decision) -> Decision {
        if matches!(
            decision,
            claim::Decision::Done(_)
                | claim::Decision::InProgress
                | claim::Decision::OutcomeUnknown
        ) {
            count("repeated");
        }
        match decision {
            claim::Decision::Done(answer) => match body::load(&*self.objects, answer).await {
                Some(answer) => Decision::Done(answer),
                None => Decision::Refused,
            },
            claim::Decision::InProgress => Decision::InProgress,
            claim::Decision::OutcomeUnknown => Decision::OutcomeUnknown,
            claim::Decision::Conflict => Decision::Conflict,
            claim::Decision::Run { .. } | claim::Decision::Refused => Decision::Refused,
        }
    }

    /// Records the outcome of a request.
    ///
    /// Returns once the outcome is in the table. If the table takes longer than `RECORD_TIMEOUT`,
    /// the method returns after that time and recording continues in the background.
    pub async fn finish(&self, permit: Permit, outcome: Outcome) {
        let outcome = match outcome {
            Outcome::Done(answer) => {
                match timeout(RECORD_TIMEOUT, body::store(&*self.objects, &permit.key, answer))
                    .await
                {
                    Ok(Some(answer)) => claim::Outcome::Done(answer),
                    // Without its body, the answer cannot be returned to later requests.
                    Ok(None) | Err(_) => claim::Outcome::Unknown,
                }
            }
            Outcome::NotRun => claim::Outcome::NotRun,
            Outcome::Unknown => claim::Outcome::Unknown,
        };
        match outcome {
            claim::Outcome::Done(_) => count("ok"),
            claim::Outcome::NotRun => count("failed"),
            claim::Outcome::Unknown => report_outcome_unknown(&permit.key),
        }
        let (recorded, confirmation) = oneshot::channel();
        let finish = Finish { key: permit.key, outcome, recorded };
        if self.recorder.tell(finish).send().await.is_ok() {
            // An error means that recording takes longer or that the recorder has stopped.
            let _ = timeout(RECORD_TIMEOUT, confirmation).await;
        }
    }
}

fn count(outcome: &'static str) {
    counter!(CLAIMS, "outcome" => outcome).increment(1);
}

/// Logs and counts a claim whose request may have run without a recorded answer.
fn report_outcome_unknown(row_key: &str) {
    count("outcome_unknown");
    let name = row_key.strip_prefix("claim/").unwrap_or(row_key);
    let (client, key) = name.split_once('/').unwrap_or(("", name));
    event!(ClaimOutcomeUnknown, client = client, key = key);
}

impl online::Claims for Claims {
    fn begin(
        &self,
        client: String,
        key: String,
        digest: String,
    ) -> BackendFuture<online::Decision> {
        let claims = self.clone();
        Box::pin(async move {
            let retry_later = |failure: Failure| Err(failure.with_retry_after(RETRY_AFTER));
            match Self::begin(&claims, &client, &key, &digest).await {
                Decision::Run(_) => Ok(online::Decision::Run),
                Decision::Done(Answer { status, content_type, body }) => {
                    Ok(online::Decision::Done(online::Answer { status, content_type, body }))
                }
                // The same request is running, so it would be wrong to report it as not run.
                Decision::InProgress => retry_later(Failure::may_have_run(
                    Kind::Conflict,
                    "a request with this key is running; send it again later to get its answer",
                )),
                Decision::OutcomeUnknown => Err(Failure::may_have_run(
                    Kind::OutcomeUnknown,
                    "an earlier request with this key may have run; it is not run again",
                )),
                Decision::Conflict => Err(Failure::not_run(
                    Kind::Conflict,
                    "the key was used for another request; use another Idempotency-Key",
                )),
                Decision::Refused => retry_later(Failure::not_run(
                    Kind::Unavailable,
                    "the platform is unavailable, so the idempotency key cannot be claimed",
                )),
            }
        })
    }

    fn finish(&self, client: String, key: String, outcome: online::Outcome) -> BackendFuture<()> {
        let claims = self.clone();
        Box::pin(async move {
            let outcome = match outcome {
                online::Outcome::Done(online::Answer { status, content_type, body }) => {
                    Outcome::Done(Answer { status, content_type, body })
                }
                online::Outcome::NotRun => Outcome::NotRun,
                online::Outcome::Unknown => Outcome::Unknown,
            };
            Self::finish(&claims, Permit { key: claim::key(&client, &key) }, outcome).await;
            Ok(())
        })
    }
}
