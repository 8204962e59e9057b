//! Task that runs one call of a plain service: it starts attempts as the actor commands, detects
//! silent connections, and returns the response to the caller.

use std::{
    future::{Future, poll_fn},
    ops::ControlFlow::{self, Break, Continue},
    pin::Pin,
    sync::Arc,
    task::Poll,
    time::{Duration, Instant},
};

use cyclamengrade_caller::{
    Failure, Kind,
    backend::{ServiceCall, ServiceResponse},
};
use cyclamengrade_control::traffic::{AttemptId, Input, Outcome};
use cyclamengrade_telemetry::trace::{self, Span};
use cyclamengrade_upstream::{Error, ServiceRequest, UpstreamResponse};
use tokio::{
    sync::oneshot,
    time::{sleep_until, timeout},
};

use super::{
    Shared,
    actor::{Command, Dispatch},
    claim::Claim,
    claims::{self, Answer},
    meter::Meter,
    session::{self, Session},
};

/// Time after the deadline for which the task waits for the refusal from the actor. The task then
/// fails the call itself.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// Maximum time for which a response waits until the outcome of its claim is recorded.
const CLAIM_RECORD_TIMEOUT: Duration = Duration::from_secs(5);

type ResponseFuture = Pin<Box<dyn Future<Output = Result<UpstreamResponse, Error>> + Send>>;

/// Attempt that runs at one upstream.
struct Attempt {
    dispatch: Dispatch,
    response: ResponseFuture,
    started: Instant,
    /// Number of silence timeouts so far.
    silences: u32,
}

impl Attempt {
    /// Returns the time at which the next silence timeout expires. The second timeout is twice as
    /// long as the first one, as for completions.
    fn silence_deadline(&self) -> Instant {
        self.started + self.dispatch.silence_timeout * (1 + 2 * self.silences.min(1))
    }
}

/// One service call, from admission to its end.
pub(super) struct Task {
    shared: Arc<Shared>,
    session: Session,
    call: Arc<ServiceCall>,
    idempotent: bool,
    deadline: Instant,
    claim: Option<Claim>,
    attempts: Vec<Attempt>,
    /// Whether an attempt ran or may have run.
    may_have_run: bool,
    /// Response with status 429, 502, 503 or 504, which the caller gets if no attempt returns
    /// another one.
    busy_response: Option<UpstreamResponse>,
    last_error: Option<Error>,
    meter: Meter,
    span: Span,
}

/// Event that the task handles next.
enum Step {
    Command(Option<Command>),
    Attempt(usize, Result<UpstreamResponse, Error>),
    CallerGone,
    Timer,
}

/// End of a call without a failure of the task itself.
enum Done {
    /// An attempt returned this response.
    Response(AttemptId, UpstreamResponse),
    /// An earlier request with the same idempotency key has this answer.
    Recorded(Answer),
    /// The actor refused the request, and expects no further report about it.
    Refused(Failure),
}

type Flow = ControlFlow<Result<Done, Failure>>;

impl Task {
    pub(super) fn new(
        shared: Arc<Shared>,
        session: Session,
        call: ServiceCall,
        idempotent: bool,
        deadline: Instant,
        claim: Option<Claim>,
    ) -> Self {
        Self {
            shared,
            session,
            meter: Meter::new(&call.deployment),
            span: trace::start("online", call.traceparent.as_deref()),
            call: Arc::new(call),
            idempotent,
            deadline,
            claim,
            attempts: Vec::new(),
            may_have_run: false,
            busy_response: None,
            last_error: None,
        }
    }

    /// Runs the call to its end and sends the response or the failure.
    pub(super) async fn run(
        mut self,
        mut sender: oneshot::Sender<Result<ServiceResponse, Failure>>,
    ) {
        loop {
            // A call that holds a claim runs to its end, so that a repeated call finds the result.
            let claimed = self.claim.as_ref().is_some_and(|claim| claim.held);
            let next = self.next_timeout();
            let step = tokio::select! {
                biased;
                command = self.session.next_command() => Step::Command(command),
                (index, result) = next_response(&mut self.attempts) => Step::Attempt(index, result),
                () = sender.closed(), if !claimed => Step::CallerGone,
                () = sleep_until(next.into()) => Step::Timer,
            };
            let flow = match step {
                Step::Command(Some(command)) => self.handle_command(command).await,
                Step::Command(None) => Break(Err(session::daemon_stopping(!self.may_have_run))),
                Step::Attempt(index, result) => self.handle_response(index, result),
                Step::CallerGone => return,
                Step::Timer => self.handle_timeouts(),
            };
            if let Break(end) = flow {
                // Fails if the caller has disconnected.
                let _ = sender.send(self.end(end).await);
                return;
            }
        }
    }

    /// Returns the time of the next silence timeout or of the deadline, whichever is first.
    fn next_timeout(&self) -> Instant {
        let silences = self.attempts.iter().map(Attempt::silence_deadline);
        silences.fold(self.deadline + DEADLINE_MARGIN, Instant::min)
    }

    async fn handle_command(&mut self, command: Command) -> Flow {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(dispatch).await,
            Command::Cancel(id) => {
                // Dropping the attempt closes its connection.
                self.attempts.retain(|attempt| attempt.dispatch.id != id);
                Continue(())
            }
            Command::Refuse(mut refused) => {
                refused.not_run &= !self.may_have_run;
                let failure = session::refusal_failure(refused, self.last_error.as_ref());
                Break(Ok(Done::Refused(failure)))
            }
        }
    }

    /// Starts an attempt, after the claim has been acquired if the call has one.
    async fn dispatch(&mut self, dispatch: Dispatch) -> Flow {
        if let Some(claim) = &mut self.claim {
            match claim.begin().await {
                Ok(None) => {}
                Ok(Some(answer)) => return Break(Ok(Done::Recorded(answer))),
                Err(failure) => return Break(Err(failure)),
            }
            // The attempt may have been cancelled while the claim was being written.
            while let Some(command) = self.session.pending_command() {
                match command {
                    Command::Cancel(attempt) if attempt == dispatch.id => return Continue(()),
                    Command::Refuse(_) => return Box::pin(self.handle_command(command)).await,
                    Command::Cancel(_) | Command::Dispatch(_) => {}
                }
            }
        }
        let client = self.shared.client.clone();
        let call = Arc::clone(&self.call);
        let address = dispatch.address;
        self.meter.record_attempt(self.attempts.len(), 0);
        let mut span = self.span.child("attempt");
        if span.is_sampled() {
            span.set("upstream", dispatch.upstream.clone());
        }
        let response = Box::pin(async move {
            let traceparent = span.traceparent();
            let request = ServiceRequest {
                path: &call.path,
                body: &call.body,
                content_type: call.content_type.as_deref(),
                idempotency_key: call.idempotency_key.as_deref(),
                traceparent: traceparent.as_deref(),
            };
            client.call_service(address, request).await
        });
        self.attempts.push(Attempt { dispatch, response, started: Instant::now(), silences: 0 });
        Continue(())
    }

    fn handle_response(&mut self, index: usize, result: Result<UpstreamResponse, Error>) -> Flow {
        let attempt = self.attempts.swap_remove(index);
        let id = attempt.dispatch.id;
        match result {
            // Another upstream may be able to serve the call. A call that must not be repeated gets
            // this response.
            Ok(response) if self.idempotent && matches!(response.status, 429 | 502..=504) => {
                self.may_have_run = true;
                self.busy_response = Some(response);
                self.session.report_attempt_end(id, Outcome::Failed, false);
                Continue(())
            }
            Ok(response) => {
                self.session.report(Input::FirstToken { attempt: id });
                Break(Ok(Done::Response(id, response)))
            }
            Err(error) => {
                let outcome = session::attempt_outcome(&error);
                self.may_have_run |= outcome != Outcome::NotRun;
                self.last_error = Some(error);
                self.session.report_attempt_end(id, outcome, false);
                Continue(())
            }
        }
    }

    /// Fails the call if its deadline has passed, and handles the silence timeouts that have
    /// expired. An attempt is given up at its first timeout, or at its second one if the call is
    /// not idempotent.
    fn handle_timeouts(&mut self) -> Flow {
        let now = Instant::now();
        if now >= self.deadline + DEADLINE_MARGIN {
            let not_run = !self.may_have_run && self.attempts.is_empty();
            let kind =
                if not_run || self.idempotent { Kind::Expired } else { Kind::OutcomeUnknown };
            let message = "the deadline passed before the response was complete";
            return Break(Err(Failure { not_run, ..Failure::may_have_run(kind, message) }));
        }
        let mut index = 0;
        while let Some(attempt) = self.attempts.get_mut(index) {
            if attempt.silence_deadline() > now {
                index += 1;
                continue;
            }
            attempt.silences += 1;
            let id = attempt.dispatch.id;
            self.session.report(Input::Silent { attempt: id });
            self.meter.record_silence();
            if attempt.silences == 1 && !self.idempotent {
                // The call must not run a second time, but its response may still arrive until the
                // second timeout.
                index += 1;
                continue;
            }
            self.shared.client.close_idle(attempt.dispatch.address);
            self.attempts.swap_remove(index);
            self.may_have_run = true;
            self.session.report_attempt_end(id, Outcome::Unknown, false);
        }
        Continue(())
    }

    /// Records the end of the call and returns the response or the failure for the caller.
    async fn end(mut self, end: Result<Done, Failure>) -> Result<ServiceResponse, Failure> {
        self.attempts.clear();
        match &end {
            Ok(Done::Refused(failure)) | Err(failure) => {
                session::log_failure(failure, &self.call.client, &self.call.deployment);
                self.meter.record_failure(failure);
            }
            Ok(Done::Response(..)) => {
                self.meter.record_first_token(Instant::now());
                self.meter.record_response(1);
            }
            Ok(Done::Recorded(_)) => {}
        }
        match end {
            Ok(Done::Response(attempt, response)) => {
                if let Some(claim) = &mut self.claim {
                    let answer = Answer {
                        status: response.status,
                        content_type: response.content_type.clone(),
                        body: response.body.clone(),
                    };
                    // The response must not wait without limit for a table that does not respond.
                    let _ =
                        timeout(CLAIM_RECORD_TIMEOUT, claim.finish(claims::Outcome::Done(answer)))
                            .await;
                }
                self.session.end_with_response(attempt);
                Ok(service_response(response))
            }
            Ok(Done::Recorded(answer)) => Ok(ServiceResponse {
                status: answer.status,
                content_type: answer.content_type,
                body: answer.body,
            }),
            Ok(Done::Refused(failure)) => {
                self.session.end_refused();
                finish_claim(self.claim, &failure).await;
                self.busy_response.map_or(Err(failure), |response| Ok(service_response(response)))
            }
            Err(failure) => {
                drop(self.session);
                finish_claim(self.claim, &failure).await;
                Err(failure)
            }
        }
    }
}

fn service_response(response: UpstreamResponse) -> ServiceResponse {
    ServiceResponse {
        status: response.status,
        content_type: response.content_type,
        body: response.body,
    }
}

/// Records the outcome of a claimed call that has no result.
async fn finish_claim(claim: Option<Claim>, failure: &Failure) {
    if let Some(mut claim) = claim {
        claim
            .finish(if failure.not_run {
                claims::Outcome::NotRun
            } else {
                claims::Outcome::Unknown
            })
            .await;
    }
}

/// Waits until an attempt returns a response or an error; never completes if there is no attempt.
async fn next_response(attempts: &mut [Attempt]) -> (usize, Result<UpstreamResponse, Error>) {
    poll_fn(|cx| {
        for (index, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.response.as_mut().poll(cx) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    })
    .await
}
