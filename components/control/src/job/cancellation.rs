//! Cancelling a job.

use std::time::Duration;

use super::row::{Job, State, job_key};
use crate::{
    store::{Call, Reply, Row, Transaction},
    time::Time,
};

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The request arrived.
    Start,
    /// The call in flight was answered.
    Reply(Reply),
    /// The time that an action asked for has passed.
    Waited,
}

/// What to do; one action at a time is outstanding.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table.
    Call(Call),
    /// Wait and send `Waited`.
    Wait(Duration),
    /// Answer the caller.
    Answer(Ended),
}

/// Result of a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum Ended {
    /// This cancellation ended the job, whose final row this is; after a lost reply a concurrent
    /// one may have.
    Cancelled(Job),
    /// The final row of a job that had ended before.
    Job(Job),
    /// The client has no such job.
    NotFound,
    /// The platform is down and the job was certainly not cancelled.
    Refused,
    /// The platform is down and whether the job was cancelled is not known.
    Unknown,
}

/// The state machine of one cancellation.
#[derive(Clone, Debug)]
pub struct Cancellation {
    client: String,
    id: String,
    deadline: Time,
    /// The row that the transaction in flight writes.
    writing: Option<Job>,
    uncertain: bool,
}

/// Time between two attempts while the platform is down.
const RETRY: Duration = Duration::from_millis(200);

impl Cancellation {
    /// A cancellation of the client's job that is given up at `deadline`.
    pub const fn new(client: String, id: String, deadline: Time) -> Self {
        Self { client, id, deadline, writing: None, uncertain: false }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let action = match (self.writing.take(), input) {
            (_, Input::Start | Input::Waited) => self.read(),
            (Some(job), Input::Reply(Reply::Done(_))) => Action::Answer(Ended::Cancelled(job)),
            (_, Input::Reply(Reply::Rows(rows) | Reply::Conflict(rows))) => self.decide(rows),
            (_, Input::Reply(Reply::Unknown)) => {
                self.uncertain = true;
                self.wait(now)
            }
            (_, Input::Reply(Reply::Failed | Reply::Done(_))) => self.wait(now),
        };
        vec![action]
    }

    fn read(&self) -> Action {
        Action::Call(Call::Read(vec![job_key(&self.id)]))
    }

    fn decide(&mut self, rows: Vec<Option<Row>>) -> Action {
        let row = rows.into_iter().flatten().next();
        let Some((row, job)) = row.and_then(|row| row.decode::<Job>().map(|job| (row, job))) else {
            return Action::Answer(Ended::NotFound);
        };
        if job.client != self.client {
            return Action::Answer(Ended::NotFound);
        }
        if job.state == State::Cancelled && self.uncertain {
            return Action::Answer(Ended::Cancelled(job));
        }
        if job.state != State::Open {
            return Action::Answer(Ended::Job(job));
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

    fn wait(&self, now: Time) -> Action {
        if now + RETRY >= self.deadline {
            return Action::Answer(if self.uncertain { Ended::Unknown } else { Ended::Refused });
        }
        Action::Wait(RETRY)
    }
}
