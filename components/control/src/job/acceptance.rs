//! Durable acceptance of a job.
//!
//! The input is written to the object store before the rows of the job are created in one
//! transaction. A submission is idempotent: the same key and content lead to the same job.

use std::{collections::BTreeMap, time::Duration};

use super::row::{
    IdempotencyRow, Job, client_jobs_key, client_open_prefix, idempotency_row_key, job_key,
};
use crate::{
    store::{Call, Reply, Row, Transaction},
    time::Time,
};

/// A submitted job whose input has been validated.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// Identifier, derived from client, key and digest, so that a repeated submission writes the
    /// same objects.
    pub id: String,
    /// Idempotency key, unique per client.
    pub key: String,
    /// Digest of the deployment and the input.
    pub digest: String,
    /// Row of the job to create.
    pub job: Job,
    /// Maximum number of open jobs of the client at the deployment; set if and only if
    /// `job.limited` is true.
    pub max_open_jobs: Option<u32>,
}

/// Input of an [`Acceptance`].
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The submission has arrived.
    Start,
    /// The call in flight was answered.
    Reply(Reply),
    /// The job's input was written to the object store.
    Uploaded,
    /// The job's input could not be written.
    UploadFailed,
    /// The delay of an [`Action::Wait`] has passed.
    Waited,
}

/// Action requested by an [`Acceptance`]; at most one is outstanding.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table and send [`Input::Reply`].
    Call(Call),
    /// Write the job's input to the object store and send [`Input::Uploaded`] or
    /// [`Input::UploadFailed`].
    Upload,
    /// Wait and send [`Input::Waited`].
    Wait(Duration),
    /// Answer the caller.
    Answer(Outcome),
}

/// Outcome of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The job exists, created by this or by an earlier submission.
    Accepted {
        /// Identifier of the job.
        id: String,
        job: Job,
        /// Whether this submission created the job. After a lost reply, a concurrent submission may
        /// have created it instead.
        created: bool,
    },
    /// The idempotency key belongs to a job with other content.
    Conflict,
    /// The client has reached its limit of open jobs; the job was certainly not accepted.
    Limited,
    /// The platform is down and the job was certainly not accepted.
    Refused,
    /// The platform is down, and it is not known whether the job was accepted.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Reads the idempotency row and the job's row.
    ReadingRows,
    /// Counts the open jobs of the client at the deployment.
    Counting,
    /// Reads the rows again after the count has reached the limit, because the job itself may be
    /// one of those counted.
    ConfirmingLimit,
    /// Writes the job's input to the object store.
    Uploading,
    /// Creates the rows of the job.
    Creating,
    /// Reads the rows again after a conflict or a lost reply.
    Resolving,
}

/// State machine of a submission.
#[derive(Clone, Debug)]
pub struct Acceptance {
    submission: Submission,
    deadline: Time,
    step: Step,
    /// Whether the reply to a transaction was lost, so that it may have taken effect.
    outcome_unknown: bool,
    uploaded: bool,
    /// Version of the guard row ([`client_jobs_key`]), read before the open jobs are counted.
    guard_version: u64,
    /// Number of open jobs counted so far.
    counted: u32,
}

/// Maximum number of rows in one page of a client's open jobs.
const OPEN_JOBS_PAGE_ROWS: u32 = 1_000;

/// Delay before the next attempt while the platform is down.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Acceptance {
    /// Creates a submission that gives up at `deadline`.
    pub const fn new(submission: Submission, deadline: Time) -> Self {
        Self {
            submission,
            deadline,
            step: Step::ReadingRows,
            outcome_unknown: false,
            uploaded: false,
            guard_version: 0,
            counted: 0,
        }
    }

    /// Handles an input and returns the next action.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let action = match (self.step, input) {
            (_, Input::Start) => self.read_rows(),
            (
                Step::ReadingRows | Step::Resolving | Step::ConfirmingLimit,
                Input::Reply(Reply::Rows(rows)),
            ) => self.handle_rows(rows),
            (Step::ReadingRows | Step::Counting | Step::ConfirmingLimit, Input::Waited) => {
                self.read_rows()
            }
            (Step::Counting, Input::Reply(Reply::Rows(rows))) => self.handle_open_jobs(rows),
            (Step::Uploading, Input::Uploaded) => {
                self.uploaded = true;
                self.create()
            }
            (Step::Uploading, Input::Waited) => Action::Upload,
            (Step::Creating, Input::Reply(Reply::Done(_))) => self.accepted(),
            (Step::Creating, Input::Reply(reply @ (Reply::Conflict(_) | Reply::Unknown))) => {
                self.outcome_unknown |= reply == Reply::Unknown;
                // Other submissions of the client change the same guard row and may win every time.
                if self.submission.max_open_jobs.is_some() && now >= self.deadline {
                    return vec![Action::Answer(Outcome::Unknown)];
                }
                self.resolve()
            }
            (Step::Creating, Input::Waited) => self.create(),
            (Step::Resolving, Input::Waited) => self.resolve(),
            _ => self.retry_or_give_up(now),
        };
        vec![action]
    }

    /// Returns the keys of the idempotency row and the job's row.
    fn keys(&self) -> [String; 2] {
        [
            idempotency_row_key(&self.submission.job.client, &self.submission.key),
            job_key(&self.submission.id),
        ]
    }

    fn read_rows(&mut self) -> Action {
        self.read(Step::ReadingRows)
    }

    fn resolve(&mut self) -> Action {
        self.read(Step::Resolving)
    }

    fn read(&mut self, step: Step) -> Action {
        self.step = step;
        let guard_key = self.submission.max_open_jobs.map(|_| self.guard_key());
        Action::Call(Call::Read(self.keys().into_iter().chain(guard_key).collect()))
    }

    fn guard_key(&self) -> String {
        client_jobs_key(&self.submission.job.client, &self.submission.job.deployment)
    }

    /// Reads the next page of the client's open jobs.
    fn count(&mut self, limit: u32, after: String) -> Action {
        self.step = Step::Counting;
        let Job { client, deployment, .. } = &self.submission.job;
        let prefix = client_open_prefix(client, deployment);
        let limit = (limit - self.counted).min(OPEN_JOBS_PAGE_ROWS) as usize;
        Action::Call(Call::Scan { prefix, after, limit })
    }

    fn handle_open_jobs(&mut self, rows: Vec<Option<Row>>) -> Action {
        let limit = self.submission.max_open_jobs.unwrap_or(u32::MAX);
        let requested = (limit - self.counted).min(OPEN_JOBS_PAGE_ROWS) as usize;
        let page_is_full = rows.len() >= requested;
        self.counted += u32::try_from(rows.len()).unwrap_or(u32::MAX).min(limit - self.counted);
        match rows.into_iter().flatten().last() {
            // The counted jobs may include this job, submitted through another daemon.
            _ if self.counted >= limit => self.read(Step::ConfirmingLimit),
            Some(last) if page_is_full => self.count(limit, last.key),
            _ => self.upload_or_create(),
        }
    }

    /// Continues with a job that does not exist yet and does not exceed the limit.
    fn upload_or_create(&mut self) -> Action {
        if self.uploaded {
            return self.create();
        }
        self.step = Step::Uploading;
        Action::Upload
    }

    fn handle_rows(&mut self, rows: Vec<Option<Row>>) -> Action {
        let rows: BTreeMap<_, _> =
            rows.into_iter().flatten().map(|row| (row.key.clone(), row)).collect();
        let [key, job] = self.keys();
        self.guard_version = rows.get(&self.guard_key()).map_or(0, |row| row.version);
        let key_row = rows.get(&key).and_then(Row::decode::<IdempotencyRow>);
        match key_row {
            Some(key_row) if key_row.digest != self.submission.digest => {
                Action::Answer(Outcome::Conflict)
            }
            Some(_) => match rows.get(&job).and_then(Row::decode::<Job>) {
                Some(job) => {
                    let (id, created) = (self.submission.id.clone(), self.outcome_unknown);
                    Action::Answer(Outcome::Accepted { id, job, created })
                }
                // The same digest gives the same identifier, so the job's row must exist.
                None => Action::Answer(Outcome::Conflict),
            },
            // A job's row without an idempotency row belongs to another key with the same
            // identifier.
            None if rows.contains_key(&job) => Action::Answer(Outcome::Conflict),
            None if self.step == Step::ConfirmingLimit => {
                let unknown = self.outcome_unknown;
                Action::Answer(if unknown { Outcome::Unknown } else { Outcome::Limited })
            }
            None => match self.submission.max_open_jobs {
                Some(0) => self.read(Step::ConfirmingLimit),
                Some(limit) => {
                    self.counted = 0;
                    self.count(limit, String::new())
                }
                None => self.upload_or_create(),
            },
        }
    }

    fn create(&mut self) -> Action {
        self.step = Step::Creating;
        let [key, job] = self.keys();
        let Submission { id, digest, job: row, .. } = &self.submission;
        let key_row = IdempotencyRow { job: id.clone(), digest: digest.clone() };
        let mut transaction = Transaction::new()
            .with_condition(&*key, 0)
            .with_condition(&*job, 0)
            .with_write(key, &key_row)
            .with_write(job, row);
        for open in row.open_keys(id) {
            transaction = transaction.with_write(open, &serde_json::Map::new());
        }
        if row.limited {
            let guard_key = self.guard_key();
            transaction = transaction
                .with_condition(&*guard_key, self.guard_version)
                .with_write(guard_key, &key_row);
        }
        Action::Call(Call::Commit(transaction))
    }

    fn accepted(&self) -> Action {
        let Submission { id, job, .. } = &self.submission;
        Action::Answer(Outcome::Accepted { id: id.clone(), job: job.clone(), created: true })
    }

    fn retry_or_give_up(&self, now: Time) -> Action {
        if now + RETRY_DELAY >= self.deadline {
            let unknown = self.outcome_unknown;
            return Action::Answer(if unknown { Outcome::Unknown } else { Outcome::Refused });
        }
        Action::Wait(RETRY_DELAY)
    }
}
