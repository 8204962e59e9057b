//! Cancellation of a job.

use std::time::Duration;

use super::row::{Job, State, job_key};
use crate::{
    store::{Call, Reply, Row, Transaction},
    time::Time,
};

/// Input of a [`Cancellation`].
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The request has arrived.
    Start,
    /// The call in flight was answered.
    Reply(Reply),
    /// The delay of an [`Action::Wait`] has passed.
    Waited,
}

/// Action requested by a [`Cancellation`]; at most one is outstanding.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table and send [`Input::Reply`].
    Call(Call),
    /// Wait and send [`Input::Waited`].
    Wait(Duration),
    /// Answer the caller.
    Answer(Outcome),
}

/// Outcome of a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// This cancellation ended the job, whose final row this is. After a lost reply, a concurrent
    /// cancellation may have ended it instead.
    Cancelled(Job),
    /// The job had already ended; this is its final row.
    AlreadyEnded(Job),
    /// The client has no such job.
    NotFound,
    /// The platform is down and the job was certainly not cancelled.
    Refused,
    /// The platform is down, and it is not known whether the job was cancelled.
    Unknown,
}

/// State machine of a cancellation.
#[derive(Clone, Debug)]
pub struct Cancellation {
    client: String,
    id: String,
    deadline: Time,
    /// Row of the job that the transaction in flight writes.
    writing: Option<Job>,
    /// Whether the reply to a transaction was lost, so that it may have taken effect.
    outcome_unknown: bool,
}

/// Delay before the next attempt while the platform is down.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Cancellation {
    /// Creates a cancellation of a job of the client that gives up at `deadline`.
    pub const fn new(client: String, id: String, deadline: Time) -> Self {
        Self { client, id, deadline, writing: None, outcome_unknown: false }
    }

    /// Handles an input and returns the next action.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let action = match (self.writing.take(), input) {
            (_, Input::Start | Input::Waited) => self.read(),
            (Some(job), Input::Reply(Reply::Done(_))) => Action::Answer(Outcome::Cancelled(job)),
            (_, Input::Reply(Reply::Rows(rows) | Reply::Conflict(rows))) => self.handle_rows(rows),
            (_, Input::Reply(Reply::Unknown)) => {
                self.outcome_unknown = true;
                self.retry_or_give_up(now)
            }
            (_, Input::Reply(Reply::Failed | Reply::Done(_))) => self.retry_or_give_up(now),
        };
        vec![action]
    }

    fn read(&self) -> Action {
        Action::Call(Call::Read(vec![job_key(&self.id)]))
    }

    fn handle_rows(&mut self, rows: Vec<Option<Row>>) -> Action {
        let row = rows.into_iter().flatten().next();
        let Some((row, job)) = row.and_then(|row| row.decode::<Job>().map(|job| (row, job))) else {
            return Action::Answer(Outcome::NotFound);
        };
        if job.client != self.client {
            return Action::Answer(Outcome::NotFound);
        }
        if job.state == State::Cancelled && self.outcome_unknown {
            return Action::Answer(Outcome::Cancelled(job));
        }
        if job.state != State::Open {
            return Action::Answer(Outcome::AlreadyEnded(job));
        }
        let cancelled = Job { state: State::Cancelled, ..job };
        let transaction = Transaction::new()
            .with_condition(&*row.key, row.version)
            .with_write(row.key, &cancelled);
        let open = cancelled.open_keys(&self.id).into_iter();
        let transaction = open.fold(transaction, |transaction, key| transaction.with_delete(key));
        self.writing = Some(cancelled);
        Action::Call(Call::Commit(transaction))
    }

    fn retry_or_give_up(&self, now: Time) -> Action {
        if now + RETRY_DELAY >= self.deadline {
            return Action::Answer(if self.outcome_unknown {
                Outcome::Unknown
            } else {
                Outcome::Refused
            });
        }
        Action::Wait(RETRY_DELAY)
    }
}
