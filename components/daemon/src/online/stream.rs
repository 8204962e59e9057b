//! The task of one completion.

use std::{
    future::{Future, poll_fn},
    ops::ControlFlow::{self, Break, Continue},
    pin::{Pin, pin},
    sync::Arc,
    task::{Context, Poll},
    time::{Duration, Instant},
};

use bytes::Bytes;
use cyclamengrade_caller::{Failure, Kind, backend::Event};
use cyclamengrade_control::traffic::{AttemptId, Input, Outcome};
use cyclamengrade_telemetry::event;
use cyclamengrade_upstream::{Error, Progress, Token};
use serde::{Deserialize, Serialize};
use tokio::{
    sync::{mpsc, oneshot},
    time::{Sleep, sleep_until, timeout_at},
};

use super::{
    Shared,
    actor::{Dispatch, Order},
    attempt::Attempts,
    claim::Claim,
    claims::{End, Record},
    meter::Meter,
    session::{self, Samples, Session},
};

/// Time after the deadline at which the task stops waiting for the refusal by the actor.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// Result of a completion as a claim keeps it.
#[derive(Serialize, Deserialize)]
struct Answer {
    text: String,
    finish_reason: String,
}

/// One completion from admission to its end.
pub(super) struct Task {
    pub(super) shared: Arc<Shared>,
    pub(super) session: Session,
    pub(super) attempts: Attempts,
    pub(super) idempotent: bool,
    pub(super) client: String,
    pub(super) deployment: String,
    pub(super) meter: Meter,
    pub(super) deadline: Instant,
    pub(super) claim: Option<Claim>,
    pub(super) out: mpsc::Sender<Event>,
    /// Tells whether the first part of the answer has arrived.
    pub(super) opened: Option<oneshot::Sender<Result<(), Failure>>>,
    pub(super) progress: State,
}

/// What has happened to the request so far.
#[derive(Default)]
pub(super) struct State {
    /// Tokens that were passed on.
    received: u32,
    /// Whether an attempt ran or may have run.
    may_have_run: bool,
    /// The answer so far; kept only for a claim.
    text: String,
    last_error: Option<Error>,
    /// Whether orders, caller and timer would wake the task.
    registered: bool,
}

enum Step {
    Order(Option<Order>),
    Attempt(usize, Result<Progress, Error>),
    Gone,
    Time,
}

/// How the request ended.
enum Done {
    /// The answer is whole.
    Whole { attempt: AttemptId, finish_reason: String },
    /// An earlier request with the same key brought the answer.
    Before(Record),
    /// The actor refused it, and expects nothing more.
    Refused(Failure),
    /// The caller went away.
    Gone,
}

type Flow = ControlFlow<Result<Done, Failure>>;

impl Task {
    /// Runs the request to its end.
    pub(super) async fn run(mut self) {
        let mut timer = Box::pin(sleep_until(self.next_check().into()));
        let mut tokens = Vec::new();
        // Waits for as long as the request, so that it is registered only once.
        let out = self.out.clone();
        let mut closed = pin!(out.closed());
        loop {
            let step =
                poll_fn(|cx| self.poll_step(cx, timer.as_mut(), closed.as_mut(), &mut tokens))
                    .await;
            self.progress.registered = false;
            let flow = match step {
                Step::Order(Some(order)) => self.obey(order).await,
                Step::Order(None) => Break(Err(session::stopping(!self.progress.may_have_run))),
                Step::Attempt(index, result) => self.advance(index, result, &mut tokens).await,
                Step::Gone => return,
                Step::Time => self.check(),
            };
            match flow {
                Continue(()) => {
                    // Progress only moves the check to a later time, so the timer may fire early
                    // and is not reset for each token.
                    let next = self.next_check().into();
                    if timer.is_elapsed() || next < timer.deadline() {
                        timer.as_mut().reset(next);
                    }
                }
                Break(end) => return self.end(end).await,
            }
        }
    }

    /// Waits for the next step.
    ///
    /// Tokens that can be passed on at once are passed on here. Then the other sources are looked
    /// at without being polled: their wakers are still registered from the last time when there
    /// were no tokens, and a wake-up since then leaves a trace that is cheaper to read.
    fn poll_step(
        &mut self,
        cx: &mut Context<'_>,
        mut timer: Pin<&mut Sleep>,
        closed: Pin<&mut impl Future<Output = ()>>,
        tokens: &mut Vec<Token>,
    ) -> Poll<Step> {
        if let Poll::Ready((index, result)) = self.attempts.poll_next(cx, tokens) {
            if !matches!(result, Ok(Progress::Tokens)) || !self.pass_on(index, tokens) {
                return Poll::Ready(Step::Attempt(index, result));
            }
            let quiet = self.session.is_quiet() && !self.out.is_closed() && !timer.is_elapsed();
            if self.progress.registered && quiet {
                return Poll::Pending;
            }
        }
        self.progress.registered = false;
        if let Poll::Ready(order) = self.session.poll_order(cx) {
            return Poll::Ready(Step::Order(order));
        }
        // A claimed request runs to its end, so that a resend finds the result.
        let claimed = self.claim.as_ref().is_some_and(|claim| claim.held);
        if !claimed && closed.poll(cx).is_ready() {
            return Poll::Ready(Step::Gone);
        }
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Step::Time);
        }
        self.progress.registered = true;
        Poll::Pending
    }

    /// Passes on all tokens of the only attempt if that needs no waiting.
    fn pass_on(&mut self, index: usize, tokens: &mut Vec<Token>) -> bool {
        if self.opened.is_some()
            || self.claim.is_some()
            || self.attempts.list().len() != 1
            || self.out.capacity() < tokens.len()
        {
            return false;
        }
        self.sample(index, tokens.len());
        for token in tokens.drain(..) {
            if token.index == self.progress.received {
                self.progress.received += 1;
                // Fails only when the caller has gone, which the next look finds.
                let _ = self.out.try_send(Event::Token(token.text));
            }
        }
        true
    }

    /// The next time at which silence or the deadline must be checked.
    fn next_check(&self) -> Instant {
        let silences = self.attempts.list().iter().map(|attempt| attempt.silent_at());
        silences.fold(self.deadline + DEADLINE_MARGIN, Instant::min)
    }

    async fn obey(&mut self, order: Order) -> Flow {
        match order {
            Order::Dispatch(dispatch) => self.dispatch(dispatch).await,
            Order::Cancel(attempt) => {
                self.attempts.cancel(attempt);
                Continue(())
            }
            Order::Refuse(mut refused) => {
                refused.not_run &= !self.progress.may_have_run;
                Break(Ok(Done::Refused(session::failure(
                    refused,
                    self.progress.last_error.as_ref(),
                ))))
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
        self.meter.attempt(self.attempts.list().len(), self.progress.received);
        let version = self.shared.version(&self.deployment, &dispatch.upstream);
        self.attempts.start(dispatch, version, self.progress.received);
        Continue(())
    }

    async fn advance(
        &mut self,
        index: usize,
        result: Result<Progress, Error>,
        tokens: &mut Vec<Token>,
    ) -> Flow {
        let mut index = index;
        if !tokens.is_empty() || result.is_ok() {
            self.progress.may_have_run = true;
            if self.attempts.list().len() > 1 {
                self.attempts.keep_only(index);
                index = 0;
            }
            self.sample(index, tokens.len());
            if self.deliver(tokens).await.is_err() {
                return Break(Ok(Done::Gone));
            }
            // The caller may have taken long to read.
            self.attempts.get_mut(index).progress = Instant::now();
        }
        match result {
            Ok(Progress::Tokens) => Continue(()),
            Ok(Progress::End { finish_reason }) => {
                let mut attempt = self.attempts.remove(index);
                if let Some(rest) = attempt.samples.as_mut().and_then(Samples::rest) {
                    self.session.report(rest);
                }
                Break(Ok(Done::Whole { attempt: attempt.dispatch.id, finish_reason }))
            }
            Err(error) => self.failed(index, error),
        }
    }

    fn sample(&mut self, index: usize, count: usize) {
        let now = Instant::now();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let period = self.shared.sample_period();
        let attempt = self.attempts.get_mut(index);
        attempt.silences = 0;
        attempt.progress = now;
        let report = match &mut attempt.samples {
            Some(samples) => samples.add(count, now, period),
            none => {
                *none = Some(Samples::new(attempt.dispatch.id, now));
                self.meter.first_token(now);
                Some(Input::FirstToken { attempt: attempt.dispatch.id })
            }
        };
        if let Some(report) = report {
            self.session.report(report);
        }
    }

    async fn deliver(&mut self, tokens: &mut Vec<Token>) -> Result<(), ()> {
        for token in tokens.drain(..) {
            if token.index != self.progress.received {
                continue;
            }
            if self.claim.is_some() {
                self.progress.text.push_str(&token.text);
            }
            self.progress.received += 1;
            if let Some(opened) = self.opened.take() {
                // A caller that is gone is noticed by the channel of events.
                let _ = opened.send(Ok(()));
            }
            let claimed = self.claim.is_some();
            match self.out.try_send(Event::Token(token.text)) {
                Ok(()) => {}
                Err(mpsc::error::TrySendError::Full(event)) => {
                    let limit = (self.deadline + DEADLINE_MARGIN).into();
                    match timeout_at(limit, self.out.send(event)).await {
                        Ok(Ok(())) => {}
                        _ if claimed => {}
                        _ => return Err(()),
                    }
                }
                Err(mpsc::error::TrySendError::Closed(_)) if claimed => {}
                Err(mpsc::error::TrySendError::Closed(_)) => return Err(()),
            }
        }
        Ok(())
    }

    fn failed(&mut self, index: usize, error: Error) -> Flow {
        let mut attempt = self.attempts.remove(index);
        if let Some(rest) = attempt.samples.as_mut().and_then(Samples::rest) {
            self.session.report(rest);
        }
        if let Error::Refused { status: 400 | 413 | 422, message, .. } = &error
            && !self.progress.may_have_run
        {
            // Every upstream would refuse the same request.
            let message = format!("the model engine does not accept the request: {message}");
            return Break(Err(Failure::not_run(Kind::Invalid, message)));
        }
        let mut outcome = session::outcome(&error);
        if outcome == Outcome::NotRun {
            // The first connection of a reopened stream carried the request.
            outcome = match (&attempt.samples, attempt.silences) {
                (Some(_), _) => Outcome::Failed,
                (None, 1..) => Outcome::Unknown,
                (None, 0) => outcome,
            };
        }
        self.progress.may_have_run |= outcome != Outcome::NotRun;
        self.progress.last_error = Some(error);
        let delivered = self.progress.received > 0;
        self.session.attempt_ended(attempt.dispatch.id, outcome, delivered);
        Continue(())
    }

    /// Handles silent attempts and a deadline that passed.
    fn check(&mut self) -> Flow {
        let now = Instant::now();
        if now >= self.deadline + DEADLINE_MARGIN {
            let message = "the deadline passed before the answer was complete";
            let kind = if self.progress.may_have_run && !self.idempotent {
                Kind::OutcomeUnknown
            } else {
                Kind::Expired
            };
            return Break(Err(Failure {
                not_run: self.nothing_ran(),
                ..Failure::may_have_run(kind, message)
            }));
        }
        let list = self.attempts.list();
        let silent: Vec<_> = (0..list.len()).filter(|&i| list[i].silent_at() <= now).collect();
        // From the last one, so that removing one does not move those that follow.
        for index in silent.into_iter().rev() {
            self.silent(index);
        }
        Continue(())
    }

    fn nothing_ran(&self) -> bool {
        !self.progress.may_have_run && self.attempts.list().is_empty()
    }

    fn silent(&mut self, index: usize) {
        let attempt = self.attempts.get_mut(index);
        attempt.silences += 1;
        let (id, silences) = (attempt.dispatch.id, attempt.silences);
        let streaming = attempt.samples.is_some();
        self.session.report(Input::Silent { attempt: id });
        self.meter.silent();
        if silences > 1 {
            let attempt = self.attempts.cancel_at(index);
            self.shared.client.close_idle(attempt.dispatch.address);
            self.progress.may_have_run = true;
            let outcome = if streaming { Outcome::Failed } else { Outcome::Unknown };
            self.session.attempt_ended(id, outcome, self.progress.received > 0);
        } else if self.idempotent {
            let received = self.progress.received;
            event!(StreamResumed, upstream:% = attempt.dispatch.upstream, received = received);
            self.attempts.reopen(index, received);
        }
        // A second run of other requests is not allowed, but the answer may still come.
    }

    fn failure(&mut self, failure: &Failure) {
        session::log(failure, &self.client, &self.deployment);
        self.meter.failed(failure);
    }

    async fn end(mut self, end: Result<Done, Failure>) {
        self.attempts.cancel_all();
        match &end {
            Ok(Done::Refused(failure)) | Err(failure) => self.failure(failure),
            Ok(Done::Whole { .. }) => self.meter.whole(self.progress.received),
            Ok(Done::Before(_) | Done::Gone) => {}
        }
        match end {
            Ok(Done::Whole { attempt, finish_reason }) => {
                let text = std::mem::take(&mut self.progress.text);
                if let Some(claim) = &mut self.claim {
                    let answer = Answer { text, finish_reason: finish_reason.clone() };
                    let record = Record {
                        status: 200,
                        content_type: Some("application/json".to_owned()),
                        body: Bytes::from(serde_json::to_vec(&answer).unwrap_or_default()),
                    };
                    claim.finish(End::Done(record)).await;
                }
                self.session.done(attempt);
                finish(self.opened, &self.out, finish_reason).await;
            }
            Ok(Done::Before(record)) => match serde_json::from_slice::<Answer>(&record.body) {
                Ok(Answer { text, finish_reason }) => {
                    let _ = self.out.send(Event::Token(text)).await;
                    finish(self.opened, &self.out, finish_reason).await;
                }
                Err(error) => {
                    let message = format!("the recorded result cannot be read: {error}");
                    fail(self.opened, &self.out, Failure::may_have_run(Kind::Internal, message))
                        .await;
                }
            },
            Ok(Done::Gone) => {}
            Ok(Done::Refused(failure)) => {
                release(self.claim, &failure).await;
                self.session.refused();
                fail(self.opened, &self.out, failure).await;
            }
            Err(failure) => {
                release(self.claim, &failure).await;
                drop(self.session);
                fail(self.opened, &self.out, failure).await;
            }
        }
    }
}

type Opened = Option<oneshot::Sender<Result<(), Failure>>>;

/// Ends a whole answer; a caller that is gone gets nothing.
async fn finish(opened: Opened, out: &mpsc::Sender<Event>, finish_reason: String) {
    if let Some(opened) = opened {
        let _ = opened.send(Ok(()));
    }
    let _ = out.send(Event::End { finish_reason }).await;
}

/// Ends a request without a whole answer; a caller that is gone gets nothing.
async fn fail(opened: Opened, out: &mpsc::Sender<Event>, failure: Failure) {
    match opened {
        Some(opened) => {
            let _ = opened.send(Err(failure));
        }
        None => {
            let _ = out.send(Event::Failed(failure)).await;
        }
    }
}

/// Records the end of a claimed request that has no result.
async fn release(claim: Option<Claim>, failure: &Failure) {
    if let Some(mut claim) = claim {
        claim.finish(if failure.not_run { End::NotRun } else { End::Unknown }).await;
    }
}
