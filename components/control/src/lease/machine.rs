//! State machine that acquires, renews and releases the lease of this daemon.

use std::time::Duration;

use super::{Row, key};
use crate::{
    store::{Call, Reply, Transaction},
    time::Time,
};

/// Parameters of this daemon's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the daemon.
    pub daemon: String,
    /// Random number of this process.
    pub instance: u64,
    pub length: Duration,
    /// Time between two renewals.
    pub renewal: Duration,
}

/// Event that the state machine handles.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Time has passed.
    Tick,
    /// The call in flight has been answered.
    Reply(Reply),
    /// The daemon releases its lease.
    Release,
}

/// Action that the state machine requests from the daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table and pass the result back as `Input::Reply`; at most one call is in flight.
    Call(Call),
    /// The lease is held until this time.
    Held {
        /// Epoch of this process.
        epoch: u64,
        until: Time,
    },
    /// The lease could not be acquired or renewed, or its row could not be read; a new attempt
    /// follows.
    Failing,
    /// Another process with this name has started; this one has lost its lease permanently.
    Superseded,
    /// The lease has been released, or was never held.
    Released,
}

/// Progress of the current acquisition or renewal.
#[derive(Clone, Debug)]
enum Step {
    /// No call is in flight.
    Idle,
    /// Reads the row of an earlier process before acquiring the lease.
    Reading,
    /// Writes `row` with a call that was sent at `sent`.
    Writing { row: Row, sent: Time },
    /// Reads the row to find out whether the write was applied.
    Resolving { row: Row, sent: Time },
    /// That read has failed and is repeated at the next attempt.
    Unresolved { row: Row, sent: Time },
}

/// State machine of the lease of this daemon.
#[derive(Clone, Debug)]
pub struct Machine {
    settings: Settings,
    held: Option<(u64, Row)>,
    step: Step,
    next_attempt: Time,
    releasing: bool,
    ended: bool,
}

/// Time until the next attempt after one that failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

impl Machine {
    /// Creates a state machine that starts to acquire the lease at its first tick.
    pub const fn new(settings: Settings) -> Self {
        Self {
            settings,
            held: None,
            step: Step::Idle,
            next_attempt: Time(0),
            releasing: false,
            ended: false,
        }
    }

    /// Handles an input and returns the actions that follow from it.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        if self.ended {
            return Vec::new();
        }
        match input {
            Input::Tick => self.tick(now),
            Input::Release => {
                self.releasing = true;
                self.next_attempt = now;
                self.tick(now)
            }
            Input::Reply(reply) => self.reply(now, reply),
        }
    }

    fn tick(&mut self, now: Time) -> Vec<Action> {
        if now < self.next_attempt {
            return Vec::new();
        }
        match &self.step {
            Step::Idle => {}
            Step::Unresolved { row, sent } => {
                self.step = Step::Resolving { row: row.clone(), sent: *sent };
                return vec![Action::Call(Call::Read(vec![key(&self.settings.daemon)]))];
            }
            _ => return Vec::new(),
        }
        match &self.held {
            None if self.releasing => self.finish(Action::Released),
            None => {
                self.step = Step::Reading;
                vec![Action::Call(Call::Read(vec![key(&self.settings.daemon)]))]
            }
            Some((version, row)) => {
                let row = Row { counter: row.counter + 1, released: self.releasing, ..row.clone() };
                self.write(now, *version, row)
            }
        }
    }

    fn write(&mut self, now: Time, version: u64, row: Row) -> Vec<Action> {
        let key = key(&self.settings.daemon);
        let transaction = Transaction::new().with_condition(&*key, version).with_write(key, &row);
        self.step = Step::Writing { row, sent: now };
        vec![Action::Call(Call::Commit(transaction))]
    }

    fn reply(&mut self, now: Time, reply: Reply) -> Vec<Action> {
        let key = key(&self.settings.daemon);
        match (std::mem::replace(&mut self.step, Step::Idle), reply) {
            (Step::Reading, Reply::Rows(rows)) => {
                let current = rows.into_iter().flatten().next();
                let version = current.as_ref().map_or(0, |row| row.version);
                let epoch = current.and_then(|row| row.decode::<Row>()).map_or(0, |row| row.epoch);
                let row = Row {
                    epoch: epoch + 1,
                    counter: 0,
                    instance: self.settings.instance,
                    length_ms: u64::try_from(self.settings.length.as_millis()).unwrap_or(u64::MAX),
                    released: false,
                };
                self.write(now, version, row)
            }
            (Step::Writing { row, sent }, Reply::Done(versions)) => {
                let version = versions.get(&key).copied().unwrap_or_default();
                self.record_held(version, row, sent)
            }
            (Step::Writing { row, sent }, Reply::Conflict(_) | Reply::Unknown) => {
                self.step = Step::Resolving { row, sent };
                vec![Action::Call(Call::Read(vec![key]))]
            }
            (Step::Resolving { row, sent }, Reply::Rows(rows)) => {
                let current = rows.into_iter().flatten().next();
                let seen = current.as_ref().and_then(|row| row.decode::<Row>());
                match (seen, &self.held) {
                    (Some(seen), _) if seen == row => {
                        let version = current.map_or(0, |row| row.version);
                        self.record_held(version, row, sent)
                    }
                    // The row holds an earlier write of this process; continues from its version.
                    (Some(seen), Some(_)) if seen.instance == row.instance => {
                        self.held = Some((current.map_or(0, |row| row.version), seen));
                        self.next_attempt = now;
                        self.tick(now)
                    }
                    (_, Some(_)) => self.finish(Action::Superseded),
                    (_, None) => self.retry_later(now),
                }
            }
            (Step::Resolving { row, sent }, _) => {
                self.step = Step::Unresolved { row, sent };
                self.retry_later(now)
            }
            _ => self.retry_later(now),
        }
    }

    fn record_held(&mut self, version: u64, row: Row, sent: Time) -> Vec<Action> {
        if row.released {
            return self.finish(Action::Released);
        }
        let held = Action::Held { epoch: row.epoch, until: sent + self.settings.length };
        self.held = Some((version, row));
        self.next_attempt = if self.releasing { sent } else { sent + self.settings.renewal };
        vec![held]
    }

    fn retry_later(&mut self, now: Time) -> Vec<Action> {
        self.next_attempt = now + RETRY_DELAY;
        vec![Action::Failing]
    }

    fn finish(&mut self, action: Action) -> Vec<Action> {
        self.ended = true;
        vec![action]
    }
}
