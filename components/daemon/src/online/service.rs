//! The task of one call of a plain service.

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
    actor::{Dispatch, Order},
    claim::Claim,
    claims::{End, Record},
    meter::Meter,
    session::{self, Session},
};

/// Time after the deadline at which the task stops waiting for the refusal by the actor.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);
/// Longest wait for the actor after the answer has been found.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

type Calling = Pin<Box<dyn Future<Output = Result<UpstreamResponse, Error>> + Send>>;

struct Attempt {
    dispatch: Dispatch,
    calling: Calling,
    started: Instant,
    silences: u32,
}

impl Attempt {
    fn silent_at(&self) -> Instant {
        self.started + self.dispatch.silence * (1 + 2 * self.silences.min(1))
    }
}

/// One call from admission to its end.
pub(super) struct Task {
    shared: Arc<Shared>,
    session: Session,
    call: Arc<ServiceCall>,
    idempotent: bool,
    deadline: Instant,
    claim: Option<Claim>,
    attempts: Vec<Attempt>,
    may_have_run: bool,
    /// An answer that asks to come back later, kept in case that no attempt does better.
    busy: Option<UpstreamResponse>,
    last_error: Option<Error>,
    meter: Meter,
    span: Span,
}

enum Step {
    Order(Option<Order>),
    Attempt(usize, Result<UpstreamResponse, Error>),
    Gone,
    Time,
}

enum Done {
    Whole(AttemptId, UpstreamResponse),
    Before(Record),
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
            busy: None,
            last_error: None,
        }
    }

    /// Runs the call to its end and sends the answer.
    pub(super) async fn run(mut self, mut out: oneshot::Sender<Result<ServiceResponse, Failure>>) {
        loop {
            // A claimed call runs to its end, so that a resend finds the result.
            let claimed = self.claim.as_ref().is_some_and(|claim| claim.held);
            let next = self.next_check();
            let step = tokio::select! {
                biased;
                order = self.session.order() => Step::Order(order),
                (index, result) = next_answer(&mut self.attempts) => Step::Attempt(index, result),
                () = out.closed(), if !claimed => Step::Gone,
                () = sleep_until(next.into()) => Step::Time,
            };
            let flow = match step {
                Step::Order(Some(order)) => self.obey(order).await,
                Step::Order(None) => Break(Err(session::stopping(!self.may_have_run))),
                Step::Attempt(index, result) => self.answered(index, result),
                Step::Gone => return,
                Step::Time => self.check(),
            };
            if let Break(end) = flow {
                // The caller may be gone.
                let _ = out.send(self.end(end).await);
                return;
            }
        }
    }

    fn next_check(&self) -> Instant {
        let silences = self.attempts.iter().map(Attempt::silent_at);
        silences.fold(self.deadline + DEADLINE_MARGIN, Instant::min)
    }

    async fn obey(&mut self, order: Order) -> Flow {
        match order {
            Order::Dispatch(dispatch) => self.dispatch(dispatch).await,
            Order::Cancel(id) => {
                // Dropping the call closes its connection.
                self.attempts.retain(|attempt| attempt.dispatch.id != id);
                Continue(())
            }
            Order::Refuse(mut refused) => {
                refused.not_run &= !self.may_have_run;
                let failure = session::failure(refused, self.last_error.as_ref());
                Break(Ok(Done::Refused(failure)))
            }
        }
    }

    async fn dispatch(&mut self, dispatch: Dispatch) -> Flow {
        if let Some(claim) = &mut self.claim {
            match claim.begin().await {
                Ok(None) => {}
                Ok(Some(record)) => return Break(Ok(Done::Before(record))),
                Err(failure) => return Break(Err(failure)),
            }
            // The attempt may have been cancelled while the claim was written.
            while let Some(order) = self.session.ready_order() {
                match order {
                    Order::Cancel(attempt) if attempt == dispatch.id => return Continue(()),
                    Order::Refuse(_) => return Box::pin(self.obey(order)).await,
                    Order::Cancel(_) | Order::Dispatch(_) => {}
                }
            }
        }
        let client = self.shared.client.clone();
        let call = Arc::clone(&self.call);
        let address = dispatch.address;
        // An idle connection that the service closes at this moment leaves the outcome unknown.
        let fresh = !self.idempotent;
        self.meter.attempt(self.attempts.len(), 0);
        let mut span = self.span.child("attempt");
        if span.is_sampled() {
            span.set("upstream", dispatch.upstream.clone());
        }
        let calling = Box::pin(async move {
            let traceparent = span.traceparent();
            let call = ServiceRequest {
                path: &call.path,
                body: &call.body,
                content_type: call.content_type.as_deref(),
                idempotency_key: call.idempotency_key.as_deref(),
                traceparent: traceparent.as_deref(),
                new_connection: fresh,
            };
            client.call_service(address, call).await
        });
        self.attempts.push(Attempt { dispatch, calling, started: Instant::now(), silences: 0 });
        Continue(())
    }

    fn answered(&mut self, index: usize, result: Result<UpstreamResponse, Error>) -> Flow {
        let attempt = self.attempts.swap_remove(index);
        let id = attempt.dispatch.id;
        match result {
            // Another upstream may do better; a call that must not be repeated stays as it is.
            Ok(answer) if self.idempotent && matches!(answer.status, 429 | 502..=504) => {
                self.may_have_run = true;
                self.busy = Some(answer);
                self.session.attempt_ended(id, Outcome::Failed, false);
                Continue(())
            }
            Ok(answer) => {
                self.session.report(Input::FirstToken { attempt: id });
                Break(Ok(Done::Whole(id, answer)))
            }
            Err(error) => {
                let outcome = session::outcome(&error);
                self.may_have_run |= outcome != Outcome::NotRun;
                self.last_error = Some(error);
                self.session.attempt_ended(id, outcome, false);
                Continue(())
            }
        }
    }

    /// Handles silent attempts and a deadline that passed.
    fn check(&mut self) -> Flow {
        let now = Instant::now();
        if now >= self.deadline + DEADLINE_MARGIN {
            let not_run = !self.may_have_run && self.attempts.is_empty();
            let kind =
                if not_run || self.idempotent { Kind::Expired } else { Kind::OutcomeUnknown };
            let message = "the deadline passed before the answer was complete";
            return Break(Err(Failure { not_run, ..Failure::may_have_run(kind, message) }));
        }
        let mut index = 0;
        while let Some(attempt) = self.attempts.get_mut(index) {
            if attempt.silent_at() > now {
                index += 1;
                continue;
            }
            attempt.silences += 1;
            let id = attempt.dispatch.id;
            self.session.report(Input::Silent { attempt: id });
            self.meter.silent();
            if attempt.silences == 1 && !self.idempotent {
                // A second run is not allowed, so the answer may still come.
                index += 1;
                continue;
            }
            self.shared.client.close_idle(attempt.dispatch.address);
            self.attempts.swap_remove(index);
            self.may_have_run = true;
            self.session.attempt_ended(id, Outcome::Unknown, false);
        }
        Continue(())
    }

    async fn end(mut self, end: Result<Done, Failure>) -> Result<ServiceResponse, Failure> {
        self.attempts.clear();
        match &end {
            Ok(Done::Refused(failure)) | Err(failure) => {
                session::log(failure, &self.call.client, &self.call.deployment);
                self.meter.failed(failure);
            }
            Ok(Done::Whole(..)) => {
                self.meter.first_token(Instant::now());
                self.meter.whole(1);
            }
            Ok(Done::Before(_)) => {}
        }
        match end {
            Ok(Done::Whole(attempt, answer)) => {
                if let Some(claim) = &mut self.claim {
                    let record = Record {
                        status: answer.status,
                        content_type: answer.content_type.clone(),
                        body: answer.body.clone(),
                    };
                    // The answer is not held back for a table that does not respond.
                    let _ = timeout(CLOSE_TIMEOUT, claim.finish(End::Done(record))).await;
                }
                self.session.done(attempt);
                Ok(passed_on(answer))
            }
            Ok(Done::Before(record)) => Ok(ServiceResponse {
                status: record.status,
                content_type: record.content_type,
                body: record.body,
            }),
            Ok(Done::Refused(failure)) => {
                self.session.refused();
                release(self.claim, &failure).await;
                self.busy.map_or(Err(failure), |answer| Ok(passed_on(answer)))
            }
            Err(failure) => {
                drop(self.session);
                release(self.claim, &failure).await;
                Err(failure)
            }
        }
    }
}

fn passed_on(answer: UpstreamResponse) -> ServiceResponse {
    ServiceResponse { status: answer.status, content_type: answer.content_type, body: answer.body }
}

async fn release(claim: Option<Claim>, failure: &Failure) {
    if let Some(mut claim) = claim {
        claim.finish(if failure.not_run { End::NotRun } else { End::Unknown }).await;
    }
}

/// Waits for the first attempt that ends; never completes when there is none.
async fn next_answer(attempts: &mut [Attempt]) -> (usize, Result<UpstreamResponse, Error>) {
    poll_fn(|cx| {
        for (index, attempt) in attempts.iter_mut().enumerate() {
            if let Poll::Ready(result) = attempt.calling.as_mut().poll(cx) {
                return Poll::Ready((index, result));
            }
        }
        Poll::Pending
    })
    .await
}
