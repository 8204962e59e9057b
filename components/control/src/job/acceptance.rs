//! Durable acceptance of a job.

use std::{collections::BTreeMap, time::Duration};

use super::row::{Job, KeyRow, job_key, key_key, open_key};
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
    /// The platform is down and the job was certainly not accepted.
    Refused,
    /// The platform is down and whether the job was accepted is not known.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    /// Reads the key's row.
    Looking,
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
}

/// Time between two attempts while the platform is down.
const RETRY: Duration = Duration::from_millis(200);

impl Acceptance {
    /// A submission that is given up at `deadline`.
    pub const fn new(offer: Offer, deadline: Time) -> Self {
        Self { offer, deadline, step: Step::Looking, uncertain: false }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Time, input: Input) -> Vec<Action> {
        let action = match (self.step, input) {
            (_, Input::Start) => self.look(),
            (Step::Looking, Input::Reply(Reply::Rows(rows))) => self.looked(rows),
            (Step::Looking, Input::Waited) => self.look(),
            (Step::Uploading, Input::Uploaded) => self.create(),
            (Step::Uploading, Input::Waited) => Action::Upload,
            (Step::Creating, Input::Reply(Reply::Done(_))) => self.accepted(),
            (Step::Creating, Input::Reply(reply @ (Reply::Conflict(_) | Reply::Unknown))) => {
                self.uncertain |= reply == Reply::Unknown;
                self.resolve()
            }
            (Step::Creating, Input::Waited) => self.create(),
            (Step::Resolving, Input::Reply(Reply::Rows(rows))) => self.looked(rows),
            (Step::Resolving, Input::Waited) => self.resolve(),
            _ => self.wait(now),
        };
        vec![action]
    }

    fn keys(&self) -> [String; 2] {
        [key_key(&self.offer.job.client, &self.offer.key), job_key(&self.offer.id)]
    }

    fn look(&mut self) -> Action {
        self.step = Step::Looking;
        Action::Call(Call::Read(self.keys().into()))
    }

    fn resolve(&mut self) -> Action {
        self.step = Step::Resolving;
        Action::Call(Call::Read(self.keys().into()))
    }

    fn looked(&mut self, rows: Vec<Option<Row>>) -> Action {
        let rows: BTreeMap<_, _> =
            rows.into_iter().flatten().map(|row| (row.key.clone(), row)).collect();
        let [key, job] = self.keys();
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
            None if self.step == Step::Resolving => self.create(),
            None => {
                self.step = Step::Uploading;
                Action::Upload
            }
        }
    }

    fn create(&mut self) -> Action {
        self.step = Step::Creating;
        let [key, job] = self.keys();
        let Offer { id, digest, job: row, .. } = &self.offer;
        let open = open_key(&row.deployment, row.due_unix_ms, id);
        let known = KeyRow { job: id.clone(), digest: digest.clone() };
        Action::Call(Call::Commit(
            Transaction::new()
                .with_condition(&*key, 0)
                .with_condition(&*job, 0)
                .with_write(key, &known)
                .with_write(job, row)
                .with_write(open, &serde_json::Map::new()),
        ))
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
