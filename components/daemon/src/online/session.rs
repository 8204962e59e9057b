//! Communication between the task of a request and the actor, and the failures and logs that
//! completions and service calls have in common. Also merges the tokens of an attempt into reports.

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

use super::actor::{Arrival, Command, Refused, Report, Traffic};

/// Request that is registered with the actor. Reports the request as abandoned when it is dropped
/// before the request has ended.
pub(super) struct Session {
    id: RequestId,
    traffic: ActorRef<Traffic>,
    commands: mpsc::UnboundedReceiver<Command>,
    ended: bool,
}

impl Session {
    /// Submits a request to the actor for admission.
    pub(super) fn new(traffic: ActorRef<Traffic>, request: Request) -> Self {
        let (sender, commands) = mpsc::unbounded_channel();
        let id = request.id;
        // Fails only while the daemon stops; the channel of commands is then closed.
        let _ = traffic.tell(Arrival { request, commands: sender }).try_send();
        Self { id, traffic, commands, ended: false }
    }

    /// Waits for the next command; `None` when the actor has stopped.
    pub(super) async fn next_command(&mut self) -> Option<Command> {
        self.commands.recv().await
    }

    /// Polls for the next command, like `next_command`.
    pub(super) fn poll_command(&mut self, cx: &mut Context<'_>) -> Poll<Option<Command>> {
        self.commands.poll_recv(cx)
    }

    /// Returns whether no command is pending and the actor is still running.
    pub(super) fn has_no_command(&self) -> bool {
        self.commands.is_empty() && !self.commands.is_closed()
    }

    /// Returns the next command if one is pending.
    pub(super) fn pending_command(&mut self) -> Option<Command> {
        self.commands.try_recv().ok()
    }

    /// Passes an input that concerns this request to the state machine.
    pub(super) fn report(&self, input: Input) {
        self.send(input, false);
    }

    /// Reports the end of an attempt, after which the actor may dispatch another one. `delivered`
    /// tells whether part of the response has reached the caller.
    pub(super) fn report_attempt_end(&self, attempt: AttemptId, outcome: Outcome, delivered: bool) {
        self.report(Input::Ended { attempt, outcome, delivered });
    }

    /// Reports that an attempt returned the complete response, which ends the request.
    pub(super) fn end_with_response(mut self, attempt: AttemptId) {
        self.ended = true;
        self.send(Input::Ended { attempt, outcome: Outcome::Done, delivered: true }, true);
    }

    /// Ends a request that the actor has refused, and has therefore already removed.
    pub(super) fn end_refused(mut self) {
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

/// Returns the outcome of a failed attempt, as reported to the state machine.
pub(super) const fn attempt_outcome(error: &Error) -> Outcome {
    match error.execution() {
        Execution::NotStarted => Outcome::NotRun,
        Execution::Started => Outcome::Failed,
        Execution::Unknown => Outcome::Unknown,
    }
}

/// Returns the failure that the caller gets for a refusal, with the error of the last failed
/// attempt in its message.
pub(super) fn refusal_failure(refused: Refused, last_error: Option<&Error>) -> Failure {
    let (kind, message) = match refused.refusal {
        Refusal::Limited => (Kind::Limited, "the client exceeds its limit for the deployment"),
        Refusal::Overloaded => {
            (Kind::Overloaded, "the queue of the deployment is full or too long for the deadline")
        }
        Refusal::Unavailable => (Kind::Unavailable, "no upstream of the deployment is available"),
        Refusal::Expired => (Kind::Expired, "the deadline passed before the response was complete"),
        Refusal::GivenUp => (Kind::UpstreamFailed, "all allowed attempts failed"),
        Refusal::OutcomeUnknown => {
            (Kind::OutcomeUnknown, "it is not known whether the non-idempotent request ran")
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

/// Logs a request that ended without a complete response.
pub(super) fn log_failure(failure: &Failure, client: &str, deployment: &str) {
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

/// Returns the failure of a request that has no complete response when the daemon stops.
pub(super) fn daemon_stopping(not_run: bool) -> Failure {
    let message = "the daemon is stopping";
    let failure = if not_run {
        Failure::not_run(Kind::Unavailable, message)
    } else {
        Failure::may_have_run(Kind::Unavailable, message)
    };
    failure.with_retry_after(Duration::from_secs(1))
}

/// Samples of the tokens of one attempt that are merged until the next report.
pub(super) struct Samples {
    attempt: AttemptId,
    last_token: Instant,
    last_report: Instant,
    /// Tokens since the last report.
    count: u32,
    /// Time over which these tokens arrived.
    elapsed: Duration,
    longest_gap: Duration,
}

impl Samples {
    /// Starts when the first tokens of an attempt arrive. They are not counted, because there is no
    /// gap before them.
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

    /// Adds tokens that arrived together. Returns a report if the last one is at least `period`
    /// ago.
    pub(super) fn add(&mut self, count: u32, now: Instant, period: Duration) -> Option<Input> {
        let gap = now.saturating_duration_since(self.last_token);
        self.count += count;
        self.elapsed += gap;
        self.longest_gap = self.longest_gap.max(gap);
        self.last_token = now;
        (now.saturating_duration_since(self.last_report) >= period).then(|| self.take_report(now))
    }

    /// Returns a report of the tokens that have not been reported yet, if any.
    pub(super) fn flush(&mut self) -> Option<Input> {
        (self.count > 0).then(|| self.take_report(self.last_token))
    }

    fn take_report(&mut self, now: Instant) -> Input {
        self.last_report = now;
        Input::Tokens {
            attempt: self.attempt,
            count: std::mem::take(&mut self.count),
            elapsed: std::mem::take(&mut self.elapsed),
            longest_gap: std::mem::take(&mut self.longest_gap),
        }
    }
}
