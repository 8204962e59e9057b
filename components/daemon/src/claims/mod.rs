//! Claims of non-idempotent requests, which run at most once.

mod body;
mod recorder;

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cyclamengrade_caller::{Failure, Kind, backend::BackendFuture};
use cyclamengrade_control::claim::{self, Outcome};
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

/// Time for which the end of a request waits until its outcome is in the table.
const RECORD_TIME: Duration = Duration::from_secs(1);

/// When a caller may come back while the request is running or the table is down.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Claims of this daemon.
#[derive(Clone)]
pub struct Claims {
    recorder: ActorRef<Recorder>,
    objects: Arc<dyn Objects>,
    clock: Clock,
    lease: watch::Receiver<lease::State>,
}

/// Answer to a request for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Begun {
    /// The request may be dispatched.
    Run(Ticket),
    /// An earlier request with this key ended with this answer.
    Done(Answer),
    /// Another request with this key is running.
    InProgress,
    /// An earlier request with this key may have run; it never runs again.
    OutcomeUnknown,
    /// The key was used for another request.
    Conflict,
    /// The table is down or the lease lapsed; the request did not run.
    Refused,
}

/// The right to run a request once.
///
/// It ends with `Claims::finish`; a ticket that is dropped ends as `outcome_unknown` when this
/// process has ended.
#[derive(Debug, PartialEq, Eq, Clone)]
pub struct Ticket {
    key: String,
}

/// Answer of a request that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<String>,
    /// Body.
    pub body: Bytes,
}

/// How a request with a ticket ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With this answer, which resends get.
    Done(Answer),
    /// It certainly did not run; the key may be used again.
    NotRun,
    /// Whether it ran is not known; it never runs again.
    Unknown,
}

impl Claims {
    /// Starts the claims of `daemon` on the current runtime.
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

    /// Starts the claims of a daemon on the current runtime.
    pub fn of(node: &Node, lease: watch::Receiver<lease::State>) -> Self {
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

    /// Whether a request with a ticket may be dispatched now; to be asked right before each
    /// dispatch after the first.
    pub fn may_dispatch(&self) -> bool {
        self.lease.borrow().held(self.clock.now()).is_some()
    }

    /// Claims a key of a client for a request with this digest.
    pub async fn begin(&self, client: &str, key: &str, digest: &str) -> Begun {
        let key = claim::key(client, key);
        let (reply, answer) = oneshot::channel();
        let begin = Begin { key: key.clone(), digest: digest.to_owned(), reply };
        if self.recorder.tell(begin).send().await.is_err() {
            return Begun::Refused;
        }
        match answer.await {
            Ok(claim::Decision::Run { until }) if self.clock.now() < until => {
                Begun::Run(Ticket { key })
            }
            Ok(claim::Decision::Run { .. }) => {
                // The process was paused between the grant and here.
                self.finish(Ticket { key }, End::NotRun).await;
                Begun::Refused
            }
            Ok(begun) => self.repeated(begun).await,
            Err(_) => Begun::Refused,
        }
    }

    /// The answer to a request that may not run because of an earlier one with its key.
    async fn repeated(&self, begun: claim::Decision) -> Begun {
        if matches!(
            begun,
            claim::Decision::Done(_)
                | claim::Decision::InProgress
                | claim::Decision::OutcomeUnknown
        ) {
            count("repeated");
        }
        match begun {
            claim::Decision::Done(answer) => match body::read(&*self.objects, answer).await {
                Some(answer) => Begun::Done(answer),
                None => Begun::Refused,
            },
            claim::Decision::InProgress => Begun::InProgress,
            claim::Decision::OutcomeUnknown => Begun::OutcomeUnknown,
            claim::Decision::Conflict => Begun::Conflict,
            claim::Decision::Run { .. } | claim::Decision::Refused => Begun::Refused,
        }
    }

    /// Records the end of a request; returns once it is in the table, or after a second, when
    /// recording goes on in the background.
    pub async fn finish(&self, ticket: Ticket, end: End) {
        let outcome = match end {
            End::Done(answer) => {
                match timeout(RECORD_TIME, body::store(&*self.objects, &ticket.key, answer)).await {
                    Ok(Some(answer)) => Outcome::Done(answer),
                    // Without its body the answer cannot be given again.
                    Ok(None) | Err(_) => Outcome::Unknown,
                }
            }
            End::NotRun => Outcome::NotRun,
            End::Unknown => Outcome::Unknown,
        };
        match outcome {
            Outcome::Done(_) => count("ok"),
            Outcome::NotRun => count("failed"),
            Outcome::Unknown => report_unknown(&ticket.key),
        }
        let (recorded, wait) = oneshot::channel();
        let finish = Finish { key: ticket.key, outcome, recorded };
        if self.recorder.tell(finish).send().await.is_ok() {
            // An error means that recording takes longer or the daemon ends.
            let _ = timeout(RECORD_TIME, wait).await;
        }
    }
}

fn count(outcome: &'static str) {
    counter!(CLAIMS, "outcome" => outcome).increment(1);
}

/// Reports a claim that ended without a known outcome.
fn report_unknown(key: &str) {
    count("outcome_unknown");
    let name = key.strip_prefix("claim/").unwrap_or(key);
    let (client, key) = name.split_once('/').unwrap_or(("", name));
    event!(ClaimOutcomeUnknown, client = client, key = key);
}

impl online::Claims for Claims {
    fn begin(&self, client: String, key: String, digest: String) -> BackendFuture<online::Begin> {
        let claims = self.clone();
        Box::pin(async move {
            let wait = |failure: Failure| Err(failure.with_retry_after(RETRY_AFTER));
            match Self::begin(&claims, &client, &key, &digest).await {
                Begun::Run(_) => Ok(online::Begin::Run),
                Begun::Done(Answer { status, content_type, body }) => {
                    Ok(online::Begin::Done(online::Record { status, content_type, body }))
                }
                // The same request is running, so a refusal as not run would be wrong.
                Begun::InProgress => wait(Failure::may_have_run(
                    Kind::Conflict,
                    "a request with this key is running; ask for its answer later",
                )),
                Begun::OutcomeUnknown => Err(Failure::may_have_run(
                    Kind::OutcomeUnknown,
                    "an earlier request with this key may have run and is not run again",
                )),
                Begun::Conflict => Err(Failure::not_run(
                    Kind::Conflict,
                    "the key was used for another request; use another Idempotency-Key",
                )),
                Begun::Refused => wait(Failure::not_run(
                    Kind::Unavailable,
                    "the platform is out of service, so the request cannot be claimed",
                )),
            }
        })
    }

    fn finish(&self, client: String, key: String, end: online::End) -> BackendFuture<()> {
        let claims = self.clone();
        Box::pin(async move {
            let end = match end {
                online::End::Done(online::Record { status, content_type, body }) => {
                    End::Done(Answer { status, content_type, body })
                }
                online::End::NotRun => End::NotRun,
                online::End::Unknown => End::Unknown,
            };
            Self::finish(&claims, Ticket { key: claim::key(&client, &key) }, end).await;
            Ok(())
        })
    }
}
