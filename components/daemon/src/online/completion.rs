//! Task that runs one completion: it starts attempts as the actor commands, detects silent
//! connections, and delivers the tokens to the caller.

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
    actor::{Command, Dispatch},
    attempt::Attempts,
    claim::Claim,
    claims::{self, Answer},
    meter::Meter,
    session::{self, Samples, Session},
};

/// Time after the deadline for which the task waits for the refusal from the actor. The task then
/// fails the request itself.
const DEADLINE_MARGIN: Duration = Duration::from_millis(250);

/// Result of a completion, as recorded in the body of its claim.
#[derive(Serialize, Deserialize)]
struct Output {
    text: String,
    finish_reason: String,
}

/// One completion, from admission to its end.
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
    /// Sends the events to the caller.
    pub(super) events: mpsc::Sender<Event>,
    /// Tells the caller that the first event is available, or that the request failed before.
    /// `None` once it has been used.
    pub(super) started: Option<oneshot::Sender<Result<(), Failure>>>,
    pub(super) state: State,
}

/// Progress of a completion.
#[derive(Default)]
pub(super) struct State {
    /// Number of tokens delivered to the caller; also the index of the next one.
    delivered_tokens: u32,
    /// Version of the model that was requested from the attempt with the first token.
    version: Option<String>,
    /// Whether an attempt ran or may have run.
    may_have_run: bool,
    /// Text of the delivered tokens; only kept for requests with a claim.
    text: String,
    last_error: Option<Error>,
    /// Whether the wakers for commands, the disconnection of the caller and the timer are
    /// registered.
    wakers_registered: bool,
}

/// Event that the task handles next.
enum Step {
    Command(Option<Command>),
    Attempt(usize, Result<Progress, Error>),
    CallerGone,
    Timer,
}

/// End of a completion without a failure of the task itself.
enum Done {
    /// An attempt returned the complete response.
    Complete { attempt: AttemptId, finish_reason: String },
    /// An earlier request with the same idempotency key has this answer.
    Recorded(Answer),
    /// The actor refused the request, and expects no further report about it.
    Refused(Failure),
    /// The caller disconnected.
    CallerGone,
}

type Flow = ControlFlow<Result<Done, Failure>>;

impl Task {
    /// Runs the completion to its end.
    pub(super) async fn run(mut self) {
        let mut timer = Box::pin(sleep_until(self.next_timeout().into()));
        let mut tokens = Vec::new();
        // The same future is polled until the request ends, so that its waker is registered only
        // once.
        let events = self.events.clone();
        let mut closed = pin!(events.closed());
        loop {
            let step =
                poll_fn(|cx| self.poll_step(cx, timer.as_mut(), closed.as_mut(), &mut tokens))
                    .await;
            self.state.wakers_registered = false;
            let flow = match step {
                Step::Command(Some(command)) => self.handle_command(command).await,
                Step::Command(None) => {
                    Break(Err(session::daemon_stopping(!self.state.may_have_run)))
                }
                Step::Attempt(index, result) => {
                    self.handle_progress(index, result, &mut tokens).await
                }
                Step::CallerGone => return,
                Step::Timer => self.handle_timeouts(),
            };
            match flow {
                Continue(()) => {
                    // Progress only postpones the next timeout. The timer is not reset for each
                    // token; it may fire early, and is then set again.
                    let next = self.next_timeout().into();
                    if timer.is_elapsed() || next < timer.deadline() {
                        timer.as_mut().reset(next);
                    }
                }
                Break(end) => return self.end(end).await,
            }
        }
    }

    /// Polls for the next step.
    ///
    /// Tokens that can be delivered without waiting are delivered here. The commands, the caller
    /// and the timer are then not polled if their wakers are still registered from an earlier poll:
    /// it is cheaper to check whether one of them has become ready since then.
    fn poll_step(
        &mut self,
        cx: &mut Context<'_>,
        mut timer: Pin<&mut Sleep>,
        closed: Pin<&mut impl Future<Output = ()>>,
        tokens: &mut Vec<Token>,
    ) -> Poll<Step> {
        if let Poll::Ready((index, result)) = self.attempts.poll_next(cx, tokens) {
            if !matches!(result, Ok(Progress::Tokens)) || !self.try_deliver(index, tokens) {
                return Poll::Ready(Step::Attempt(index, result));
            }
            let nothing_ready =
                self.session.has_no_command() && !self.events.is_closed() && !timer.is_elapsed();
            if self.state.wakers_registered && nothing_ready {
                return Poll::Pending;
            }
        }
        self.state.wakers_registered = false;
        if let Poll::Ready(command) = self.session.poll_command(cx) {
            return Poll::Ready(Step::Command(command));
        }
        // A request that holds a claim runs to its end, so that a repeated request finds the
        // result.
        let claimed = self.claim.as_ref().is_some_and(|claim| claim.held);
        if !claimed && closed.poll(cx).is_ready() {
            return Poll::Ready(Step::CallerGone);
        }
        if timer.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Step::Timer);
        }
        self.state.wakers_registered = true;
        Poll::Pending
    }

    /// Delivers all tokens if only one attempt is in flight and the channel has enough capacity.
    /// Returns whether the tokens were delivered.
    fn try_deliver(&mut self, index: usize, tokens: &mut Vec<Token>) -> bool {
        if self.started.is_some()
            || self.claim.is_some()
            || self.attempts.in_flight().len() != 1
            || self.events.capacity() < tokens.len()
        {
            return false;
        }
        self.record_tokens(index, tokens.len());
        for token in tokens.drain(..) {
            if token.index == self.state.delivered_tokens {
                self.state.delivered_tokens += 1;
                // Fails only if the caller has disconnected, which `poll_step` checks next.
                let _ = self.events.try_send(Event::Token(token.text));
            }
        }
        true
    }

    /// Returns the time of the next silence timeout or of the deadline, whichever is first.
    fn next_timeout(&self) -> Instant {
        let silences = self.attempts.in_flight().iter().map(|attempt| attempt.silence_deadline());
        silences.fold(self.deadline + DEADLINE_MARGIN, Instant::min)
    }

    async fn handle_command(&mut self, command: Command) -> Flow {
        match command {
            Command::Dispatch(dispatch) => self.dispatch(dispatch).await,
            Command::Cancel(attempt) => {
                self.attempts.cancel(attempt);
                Continue(())
            }
            Command::Refuse(mut refused) => {
                refused.not_run &= !self.state.may_have_run;
                Break(Ok(Done::Refused(session::refusal_failure(
                    refused,
                    self.state.last_error.as_ref(),
                ))))
            }
        }
    }

    /// Starts an attempt, after the claim has been acquired if the request has one.
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
        // The actor sent this hedge before it heard of the first token, and will cancel it. If the
        // hedge were started and made progress first, it would replace the attempt that the actor
        // keeps, and nothing would be left after the cancellation.
        if self.attempts.in_flight().iter().any(|attempt| attempt.samples.is_some()) {
            return Continue(());
        }
        // The actor sent this hedge before it heard of the first token, and will cancel it. If the
        // hedge were started and made progress first, it would replace the attempt that the actor
        // keeps, and nothing would be left after the cancellation.
        if self.attempts.in_flight().iter().any(|attempt| attempt.samples.is_some()) {
            return Continue(());
        }
        self.meter.record_attempt(self.attempts.in_flight().len(), self.state.delivered_tokens);
        // What two versions of a model write does not fit together.
        let version = match self.state.delivered_tokens {
            0 => self.shared.required_version(&self.deployment, &dispatch.upstream),
            _ => self.state.version.clone(),
        };
        self.attempts.start(dispatch, version, self.state.delivered_tokens);
        Continue(())
    }

    /// Handles progress or the end of an attempt. The first attempt that makes progress is kept,
    /// and the others are cancelled.
    async fn handle_progress(
        &mut self,
        index: usize,
        result: Result<Progress, Error>,
        tokens: &mut Vec<Token>,
    ) -> Flow {
        let mut index = index;
        if !tokens.is_empty() || result.is_ok() {
            self.state.may_have_run = true;
            if self.attempts.in_flight().len() > 1 {
                self.attempts.keep_only(index);
                index = 0;
            }
            self.record_tokens(index, tokens.len());
            if self.deliver(tokens).await.is_err() {
                return Break(Ok(Done::CallerGone));
            }
            // The time for which delivery waited for the caller does not count as silence.
            self.attempts.get_mut(index).last_progress = Instant::now();
        }
        match result {
            Ok(Progress::Tokens) => Continue(()),
            Ok(Progress::End { finish_reason }) => {
                let mut attempt = self.attempts.remove(index);
                if let Some(report) = attempt.samples.as_mut().and_then(Samples::flush) {
                    self.session.report(report);
                }
                Break(Ok(Done::Complete { attempt: attempt.dispatch.id, finish_reason }))
            }
            Err(error) => self.handle_failure(index, error),
        }
    }

    /// Records that `count` tokens of an attempt arrived, and reports them to the state machine
    /// when a report is due.
    fn record_tokens(&mut self, index: usize, count: usize) {
        let now = Instant::now();
        let count = u32::try_from(count).unwrap_or(u32::MAX);
        let period = self.shared.token_report_period();
        let attempt = self.attempts.get_mut(index);
        if self.state.delivered_tokens == 0 {
            self.state.version.clone_from(&attempt.version);
        }
        attempt.silences = 0;
        attempt.last_progress = now;
        let report = match &mut attempt.samples {
            Some(samples) => samples.add(count, now, period),
            samples => {
                *samples = Some(Samples::new(attempt.dispatch.id, now));
                self.meter.record_first_token(now);
                Some(Input::FirstToken { attempt: attempt.dispatch.id })
            }
        };
        if let Some(report) = report {
            self.session.report(report);
        }
    }

    /// Delivers tokens, and waits while the channel to the caller is full. Fails if the caller has
    /// disconnected or the deadline has passed, unless the request has a claim: it then goes on
    /// without delivering the tokens.
    async fn deliver(&mut self, tokens: &mut Vec<Token>) -> Result<(), ()> {
        for token in tokens.drain(..) {
            if token.index != self.state.delivered_tokens {
                continue;
            }
            if self.claim.is_some() {
                self.state.text.push_str(&token.text);
            }
            self.state.delivered_tokens += 1;
            if let Some(started) = self.started.take() {
                // Fails only if the caller has disconnected, which the channel of events shows too.
                let _ = started.send(Ok(()));
            }
            let has_claim = self.claim.is_some();
            match self.events.try_send(Event::Token(token.text)) {
                Ok(()) => {}
                Err(mpsc::error::TrySendError::Full(event)) => {
                    let limit = (self.deadline + DEADLINE_MARGIN).into();
                    match timeout_at(limit, self.events.send(event)).await {
                        Ok(Ok(())) => {}
                        _ if has_claim => {}
                        _ => return Err(()),
                    }
                }
                Err(mpsc::error::TrySendError::Closed(_)) if has_claim => {}
                Err(mpsc::error::TrySendError::Closed(_)) => return Err(()),
            }
        }
        Ok(())
    }

    fn handle_failure(&mut self, index: usize, error: Error) -> Flow {
        let mut attempt = self.attempts.remove(index);
        if let Some(report) = attempt.samples.as_mut().and_then(Samples::flush) {
            self.session.report(report);
        }
        if let Error::Refused { status: 400 | 413 | 422, message, .. } = &error
            && !self.state.may_have_run
        {
            // Every other upstream would reject the request too.
            let message = format!("the engine rejected the request: {message}");
            return Break(Err(Failure::not_run(Kind::Invalid, message)));
        }
        let mut outcome = session::attempt_outcome(&error);
        if outcome == Outcome::NotRun {
            // `error` concerns only the last connection. An attempt with tokens has run, and a
            // reopened one may have run on its first connection.
            outcome = match (&attempt.samples, attempt.silences) {
                (Some(_), _) => Outcome::Failed,
                (None, 1..) => Outcome::Unknown,
                (None, 0) => outcome,
            };
        }
        self.state.may_have_run |= outcome != Outcome::NotRun;
        self.state.last_error = Some(error);
        let delivered = self.state.delivered_tokens > 0;
        self.session.report_attempt_end(attempt.dispatch.id, outcome, delivered);
        Continue(())
    }

    /// Fails the request if its deadline has passed, and handles the silence timeouts that have
    /// expired.
    fn handle_timeouts(&mut self) -> Flow {
        let now = Instant::now();
        if now >= self.deadline + DEADLINE_MARGIN {
            let message = "the deadline passed before the response was complete";
            let kind = if self.state.may_have_run && !self.idempotent {
                Kind::OutcomeUnknown
            } else {
                Kind::Expired
            };
            return Break(Err(Failure {
                not_run: self.is_known_not_run(),
                ..Failure::may_have_run(kind, message)
            }));
        }
        let attempts = self.attempts.in_flight();
        let silent: Vec<_> = (0..attempts.len())
            .filter(|&index| attempts[index].silence_deadline() <= now)
            .collect();
        // Starts with the last index, because removing an attempt moves the one at the end.
        for index in silent.into_iter().rev() {
            self.handle_silence(index);
        }
        Continue(())
    }

    fn is_known_not_run(&self) -> bool {
        !self.state.may_have_run && self.attempts.in_flight().is_empty()
    }

    /// Reopens the stream of an attempt at its first silence timeout, and cancels the attempt at
    /// the second one.
    fn handle_silence(&mut self, index: usize) {
        let attempt = self.attempts.get_mut(index);
        attempt.silences += 1;
        let (id, silences) = (attempt.dispatch.id, attempt.silences);
        let has_first_token = attempt.samples.is_some();
        self.session.report(Input::Silent { attempt: id });
        self.meter.record_silence();
        if silences > 1 {
            let attempt = self.attempts.cancel_at(index);
            self.shared.client.close_idle(attempt.dispatch.address);
            self.state.may_have_run = true;
            let outcome = if has_first_token { Outcome::Failed } else { Outcome::Unknown };
            self.session.report_attempt_end(id, outcome, self.state.delivered_tokens > 0);
        } else if self.idempotent {
            let delivered = self.state.delivered_tokens;
            event!(StreamResumed, upstream:% = attempt.dispatch.upstream, received = delivered);
            self.attempts.reopen(index, delivered);
        }
        // A non-idempotent request must not run a second time, but its response may still arrive on
        // the original connection until the second timeout.
    }

    fn record_failure(&mut self, failure: &Failure) {
        session::log_failure(failure, &self.client, &self.deployment);
        self.meter.record_failure(failure);
    }

    /// Records the end of the completion and sends the last event to the caller.
    async fn end(mut self, end: Result<Done, Failure>) {
        self.attempts.cancel_all();
        match &end {
            Ok(Done::Refused(failure)) | Err(failure) => self.record_failure(failure),
            Ok(Done::Complete { .. }) => self.meter.record_response(self.state.delivered_tokens),
            Ok(Done::Recorded(_) | Done::CallerGone) => {}
        }
        match end {
            Ok(Done::Complete { attempt, finish_reason }) => {
                let text = std::mem::take(&mut self.state.text);
                if let Some(claim) = &mut self.claim {
                    let output = Output { text, finish_reason: finish_reason.clone() };
                    let answer = Answer {
                        status: 200,
                        content_type: Some("application/json".to_owned()),
                        body: Bytes::from(serde_json::to_vec(&output).unwrap_or_default()),
                    };
                    claim.finish(claims::Outcome::Done(answer)).await;
                }
                self.session.end_with_response(attempt);
                send_end(self.started, &self.events, finish_reason).await;
            }
            Ok(Done::Recorded(answer)) => match serde_json::from_slice::<Output>(&answer.body) {
                Ok(Output { text, finish_reason }) => {
                    let _ = self.events.send(Event::Token(text)).await;
                    send_end(self.started, &self.events, finish_reason).await;
                }
                Err(error) => {
                    let message =
                        format!("the recorded result of the completion cannot be decoded: {error}");
                    send_failure(
                        self.started,
                        &self.events,
                        Failure::may_have_run(Kind::Internal, message),
                    )
                    .await;
                }
            },
            Ok(Done::CallerGone) => {}
            Ok(Done::Refused(failure)) => {
                finish_claim(self.claim, &failure).await;
                self.session.end_refused();
                send_failure(self.started, &self.events, failure).await;
            }
            Err(failure) => {
                finish_claim(self.claim, &failure).await;
                drop(self.session);
                send_failure(self.started, &self.events, failure).await;
            }
        }
    }
}

type Started = Option<oneshot::Sender<Result<(), Failure>>>;

/// Sends the end of a complete response. Does nothing if the caller has disconnected.
async fn send_end(started: Started, events: &mpsc::Sender<Event>, finish_reason: String) {
    if let Some(started) = started {
        let _ = started.send(Ok(()));
    }
    let _ = events.send(Event::End { finish_reason }).await;
}

/// Sends the failure of a request, before or after its first event. Does nothing if the caller has
/// disconnected.
async fn send_failure(started: Started, events: &mpsc::Sender<Event>, failure: Failure) {
    match started {
        Some(started) => {
            let _ = started.send(Err(failure));
        }
        None => {
            let _ = events.send(Event::Failed(failure)).await;
        }
    }
}

/// Records the outcome of a claimed request that has no result.
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
