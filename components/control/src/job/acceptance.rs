//! Durable acceptance of a job.

use std::{collections::BTreeMap, time::Duration};

use super::row::{Job, KeyRow, client_jobs_key, client_open_prefix, job_key, key_key};
use crate::{
    store::{Call, Reply, Row, Transaction},
    time::Time,
};

/// A job that asks to be accepted; its input has been checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Identifier, derived from client, key and digest, so that a resend writes the same objects.
    pub id: String,
    /// Key within the client.
    pub key: String,
    /// Digest of deployment and input.
    pub digest: String,
    /// The job's row.
    pub job: Job,
    /// Most open jobs of the client at the deployment; set if and only if the row is `limited`.
    pub open_jobs: Option<u32>,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// The submission arrived.
    Start,
    /// The call in flight was answered.
    Reply(Reply),
    /// The input is in the object store.
    Uploaded,
    /// The input could not be written.
    UploadFailed,
    /// The time that an action asked for has passed.
    Waited,
}

/// What to do; one action at a time is outstanding.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Call the table.
    Call(Call),
    /// Write the input to the object store.
    Upload,
    /// Wait and send `Waited`.
    Wait(Duration),
    /// Answer the caller.
    Answer(Accepted),
}

/// Result of a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Accepted {
    /// The job is accepted, now or by an earlier submission.
    Job {
        /// Identifier.
        id: String,
        /// Its row.
        job: Job,
        /// Whether this submission created it; after a lost reply a concurrent one may have.
        created: bool,
    },
    /// The key belongs to a job with other content.
    Conflict,
    /// The client has as many open jobs as it may have; the job was certainly not accepted.
    Limited,
    /// The platform is down and the job was certainly not accepted.
    Refused,
    /// The platform is down and whether the job was accepted is not known.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Reads the key's row.
    Looking,
    /// Counts the open jobs of the client.
    Counting,
    /// Reads the key's row again, because there is no room for another job.
    Refusing,
    /// Writes the input.
    Uploading,
    /// Creates the job.
    Creating,
    /// Reads the rows after a conflict or a lost reply.
    Resolving,
}

/// The state machine of one submission.
#[derive(Clone, Debug)]
pub struct Acceptance {
    offer: Offer,
    deadline: Time,
    step: Step,
    /// Whether a transaction was sent whose outcome is not known.
    uncertain: bool,
    uploaded: bool,
    /// Version of the row that acceptances under a limit change, read before the count.
    guard: u64,
    /// Open jobs counted so far.
    counted: u32,
}

/// Open jobs of a client in one read.
const PAGE: u32 = 1_000;

/// Time between two attempts while the platform is down.
const RETRY: Duration = Duration::from_millis(200);

impl Acceptance {
    /// A submission that is given up at `deadline`.
    pub const fn new(offer: Offer, deadline: Time) -> Self {
        Self {
            offer,
            deadline,
            step: Step::Looking,
            uncertain: false,
            uploaded: false,
            guard: 0,
            counted: 0,
        }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let action = match (self.step, input) {
            (_, Input::Start) => self.look(),
            (Step::Looking | Step::Resolving | Step::Refusing, Input::Reply(Reply::Rows(rows))) => {
                self.looked(rows)
            }
            (Step::Looking | Step::Counting | Step::Refusing, Input::Waited) => self.look(),
            (Step::Counting, Input::Reply(Reply::Rows(rows))) => self.counted(rows),
            (Step::Uploading, Input::Uploaded) => {
                self.uploaded = true;
                self.create()
            }
            (Step::Uploading, Input::Waited) => Action::Upload,
            (Step::Creating, Input::Reply(Reply::Done(_))) => self.accepted(),
            (Step::Creating, Input::Reply(reply @ (Reply::Conflict(_) | Reply::Unknown))) => {
                self.uncertain |= reply == Reply::Unknown;
                // Other acceptances of the client may come first again and again.
                if self.offer.open_jobs.is_some() && now >= self.deadline {
                    return vec![Action::Answer(Accepted::Unknown)];
                }
                self.resolve()
            }
            (Step::Creating, Input::Waited) => self.create(),
            (Step::Resolving, Input::Waited) => self.resolve(),
            _ => self.wait(now),
        };
        vec![action]
    }

    fn keys(&self) -> [String; 2] {
        [key_key(&self.offer.job.client, &self.offer.key), job_key(&self.offer.id)]
    }

    fn look(&mut self) -> Action {
        self.read(Step::Looking)
    }

    fn resolve(&mut self) -> Action {
        self.read(Step::Resolving)
    }

    fn read(&mut self, step: Step) -> Action {
        self.step = step;
        let guard = self.offer.open_jobs.map(|_| self.guard_key());
        Action::Call(Call::Read(self.keys().into_iter().chain(guard).collect()))
    }

    fn guard_key(&self) -> String {
        client_jobs_key(&self.offer.job.client, &self.offer.job.deployment)
    }

    /// Reads the next page of the client's open jobs.
    fn count(&mut self, limit: u32, after: String) -> Action {
        self.step = Step::Counting;
        let Job { client, deployment, .. } = &self.offer.job;
        let prefix = client_open_prefix(client, deployment);
        let limit = (limit - self.counted).min(PAGE) as usize;
        Action::Call(Call::Scan { prefix, after, limit })
    }

    fn counted(&mut self, rows: Vec<Option<Row>>) -> Action {
        let limit = self.offer.open_jobs.unwrap_or(u32::MAX);
        let asked = (limit - self.counted).min(PAGE) as usize;
        let full = rows.len() >= asked;
        self.counted += u32::try_from(rows.len()).unwrap_or(u32::MAX).min(limit - self.counted);
        match rows.into_iter().flatten().last() {
            // The same submission to another daemon may be one of the jobs that were counted.
            _ if self.counted >= limit => self.read(Step::Refusing),
            Some(last) if full => self.count(limit, last.key),
            _ => self.proceed(),
        }
    }

    /// Goes on with a job that does not exist and for which there is room.
    fn proceed(&mut self) -> Action {
        if self.uploaded {
            return self.create();
        }
        self.step = Step::Uploading;
        Action::Upload
    }

    fn looked(&mut self, rows: Vec<Option<Row>>) -> Action {
        let rows: BTreeMap<_, _> =
            rows.into_iter().flatten().map(|row| (row.key.clone(), row)).collect();
        let [key, job] = self.keys();
        self.guard = rows.get(&self.guard_key()).map_or(0, |row| row.version);
        let known = rows.get(&key).and_then(Row::decode::<KeyRow>);
        match known {
            Some(known) if known.digest != self.offer.digest => Action::Answer(Accepted::Conflict),
            Some(_) => match rows.get(&job).and_then(Row::decode::<Job>) {
                Some(job) => {
                    let (id, created) = (self.offer.id.clone(), self.uncertain);
                    Action::Answer(Accepted::Job { id, job, created })
                }
                // The same digest gives the same identifier, so the job's row must exist.
                None => Action::Answer(Accepted::Conflict),
            },
            // A job's row without the key's row belongs to a colliding identifier.
            None if rows.contains_key(&job) => Action::Answer(Accepted::Conflict),
            None if self.step == Step::Refusing => {
                let unknown = self.uncertain;
                Action::Answer(if unknown { Accepted::Unknown } else { Accepted::Limited })
            }
            None => match self.offer.open_jobs {
                Some(0) => self.read(Step::Refusing),
                Some(limit) => {
                    self.counted = 0;
                    self.count(limit, String::new())
                }
                None => self.proceed(),
            },
        }
    }

    fn create(&mut self) -> Action {
        self.step = Step::Creating;
        let [key, job] = self.keys();
        let Offer { id, digest, job: row, .. } = &self.offer;
        let known = KeyRow { job: id.clone(), digest: digest.clone() };
        let mut transaction = Transaction::new()
            .with_condition(&*key, 0)
            .with_condition(&*job, 0)
            .with_write(key, &known)
            .with_write(job, row);
        for open in row.open_keys(id) {
            transaction = transaction.with_write(open, &serde_json::Map::new());
        }
        if row.limited {
            let guard = self.guard_key();
            transaction = transaction.with_condition(&*guard, self.guard).with_write(guard, &known);
        }
        Action::Call(Call::Commit(transaction))
    }

    fn accepted(&self) -> Action {
        let Offer { id, job, .. } = &self.offer;
        Action::Answer(Accepted::Job { id: id.clone(), job: job.clone(), created: true })
    }

    fn wait(&self, now: Time) -> Action {
        if now + RETRY >= self.deadline {
            let unknown = self.uncertain;
            return Action::Answer(if unknown { Accepted::Unknown } else { Accepted::Refused });
        }
        Action::Wait(RETRY)
    }
}
