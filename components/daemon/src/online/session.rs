//! A request's connection to the actor.

use std::{
    task::{Context, Poll},
    time::{Duration, Instant},
};

use cyclamengrade_caller::{Failure, Kind};
use cyclamengrade_control::traffic::{AttemptId, Input, Outcome, Refusal, Request, RequestId};
use cyclamengrade_telemetry::event;
use cyclamengrade_upstream::{Error, Execution};
use kameo::actor::ActorRef;
use tokio::sync::mpsc;

use super::actor::{Arrive, Order, Refused, Report, Traffic};

/// One request as the actor knows it; reports the request as abandoned when dropped early.
pub(super) struct Session {
    id: RequestId,
    traffic: ActorRef<Traffic>,
    orders: mpsc::UnboundedReceiver<Order>,
    ended: bool,
}

impl Session {
    /// Asks for the admission of a request.
    pub(super) fn new(traffic: ActorRef<Traffic>, request: Request) -> Self {
        let (sender, orders) = mpsc::unbounded_channel();
        let id = request.id;
        // Fails only while the daemon stops; then the channel closes.
        let _ = traffic.tell(Arrive { request, orders: sender }).try_send();
        Self { id, traffic, orders, ended: false }
    }

    /// The next order; absent when the actor is gone.
    pub(super) async fn order(&mut self) -> Option<Order> {
        self.orders.recv().await
    }

    /// Like `order`, for tasks that poll.
    pub(super) fn poll_order(&mut self, cx: &mut Context<'_>) -> Poll<Option<Order>> {
        self.orders.poll_recv(cx)
    }

    /// Whether there is no order and the actor is still there.
    pub(super) fn is_quiet(&self) -> bool {
        self.orders.is_empty() && !self.orders.is_closed()
    }

    /// The next order if it is already there.
    pub(super) fn ready_order(&mut self) -> Option<Order> {
        self.orders.try_recv().ok()
    }

    /// Reports something that concerns this request.
    pub(super) fn report(&self, input: Input) {
        self.send(input, false);
    }

    /// Reports the end of an attempt after which the actor may order another.
    pub(super) fn attempt_ended(&self, attempt: AttemptId, outcome: Outcome, delivered: bool) {
        self.report(Input::Ended { attempt, outcome, delivered });
    }

    /// Reports that an attempt brought the whole answer; nothing follows.
    pub(super) fn done(mut self, attempt: AttemptId) {
        self.ended = true;
        self.send(Input::Ended { attempt, outcome: Outcome::Done, delivered: true }, true);
    }

    /// Marks the request as ended by the actor itself.
    pub(super) fn refused(mut self) {
        self.ended = true;
    }

    fn send(&self, input: Input, last: bool) {
        // Fails only while the daemon stops.
        let _ = self.traffic.tell(Report { input, request: Some(self.id), last }).try_send();
    }
}

impl Drop for Session {
    fn drop(&mut self) {
        if !self.ended {
            self.send(Input::Abandoned { request: self.id }, true);
        }
    }
}

/// What the machine is told about an attempt that failed.
pub(super) const fn outcome(error: &Error) -> Outcome {
    match error.execution() {
        Execution::NotStarted => Outcome::NotRun,
        Execution::Started => Outcome::Failed,
        Execution::Unknown => Outcome::Unknown,
    }
}

/// What the caller is told about a refusal.
pub(super) fn failure(refused: Refused, last_error: Option<&Error>) -> Failure {
    let (kind, message) = match refused.refusal {
        Refusal::Limited => (Kind::Limited, "the client is over its limit at this deployment"),
        Refusal::Overloaded => (Kind::Overloaded, "the deployment is full"),
        Refusal::Unavailable => (Kind::Unavailable, "no upstream of the deployment is in service"),
        Refusal::Expired => (Kind::Expired, "the deadline passed before the answer was complete"),
        Refusal::GivenUp => (Kind::UpstreamFailed, "every allowed attempt failed"),
        Refusal::OutcomeUnknown => {
            (Kind::OutcomeUnknown, "whether the non-idempotent request ran is not known")
        }
    };
    let message = match last_error {
        Some(error) => format!("{message}: {error}"),
        None => message.to_owned(),
    };
    let failure = if refused.not_run {
        Failure::not_run(kind, message)
    } else {
        Failure::may_have_run(kind, message)
    };
    failure.with_retry_after(refused.retry_after)
}

/// Logs a request that ended without an answer.
pub(super) fn log(failure: &Failure, client: &str, deployment: &str) {
    let kind = failure.kind.name();
    if failure.not_run {
        let retry_after = failure.retry_after.unwrap_or_default();
        let retry_after_ms = u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX);
        event!(
            RequestRefused,
            client = client,
            deployment = deployment,
            kind = kind,
            retry_after_ms = retry_after_ms
        );
    } else {
        event!(RequestGivenUp, client = client, deployment = deployment, kind = kind);
    }
}

/// The daemon stops before the request was answered.
pub(super) fn stopping(not_run: bool) -> Failure {
    let message = "the daemon is stopping";
    let failure = if not_run {
        Failure::not_run(Kind::Unavailable, message)
    } else {
        Failure::may_have_run(Kind::Unavailable, message)
    };
    failure.with_retry_after(Duration::from_secs(1))
}

/// Merged samples of the tokens of one attempt.
pub(super) struct Samples {
    attempt: AttemptId,
    last_token: Instant,
    last_report: Instant,
    count: u32,
    elapsed: Duration,
    longest_gap: Duration,
}

impl Samples {
    /// Samples that begin with the first token of an attempt, which is not counted itself.
    pub(super) fn new(attempt: AttemptId, now: Instant) -> Self {
        Self {
            attempt,
            last_token: now,
            last_report: now,
            count: 0,
            elapsed: Duration::ZERO,
            longest_gap: Duration::ZERO,
        }
    }

    /// Adds tokens that arrived together; returns a report when one is due.
    pub(super) fn add(&mut self, count: u32, now: Instant, period: Duration) -> Option<Input> {
        let gap = now.saturating_duration_since(self.last_token);
        self.count += count;
        self.elapsed += gap;
        self.longest_gap = self.longest_gap.max(gap);
        self.last_token = now;
        (now.saturating_duration_since(self.last_report) >= period).then(|| self.take(now))
    }

    /// A report of what has not been reported yet.
    pub(super) fn rest(&mut self) -> Option<Input> {
        (self.count > 0).then(|| self.take(self.last_token))
    }

    fn take(&mut self, now: Instant) -> Input {
        self.last_report = now;
        Input::Tokens {
            attempt: self.attempt,
            count: std::mem::take(&mut self.count),
            elapsed: std::mem::take(&mut self.elapsed),
            longest_gap: std::mem::take(&mut self.longest_gap),
        }
    }
}
