//! Acceptance, status, results and cancellation of jobs on behalf of callers.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cyclamengrade_caller::{
    Failure, Kind,
    backend::{Job, JobState, Results, Submission},
};
use cyclamengrade_configuration::Kind as DeploymentKind;
use cyclamengrade_control::{
    hash,
    job::{
        self, State,
        acceptance::{self, Acceptance},
        cancellation::{self, Cancellation},
    },
    store::{Call, Reply},
};
use cyclamengrade_platform::{Objects, Table};
use cyclamengrade_settings::Limits;
use cyclamengrade_telemetry::event;
use futures_util::{StreamExt, TryStreamExt, stream};
use tokio::{
    sync::{mpsc, watch},
    task, time,
};

use super::{
    input::{self, Validated},
    reports, results,
};
use crate::{
    node::{Clock, Configuration, Node},
    store,
};

/// Time for which calls to the platform are retried before the request fails.
const RETRY_TIMEOUT: Duration = Duration::from_secs(5);

/// Delay after which a caller may retry when the platform is unavailable.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Delay after which a caller with too many open jobs may retry. Jobs take minutes to hours, so an
/// earlier retry would rarely succeed.
const LIMITED_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Maximum number of objects of one input that are written concurrently.
const MAX_CONCURRENT_UPLOADS: usize = 8;

/// Handles the requests of callers for batch jobs.
#[derive(Clone)]
pub struct Jobs {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    clock: Clock,
    limits: Limits,
    configuration: watch::Receiver<Arc<Configuration>>,
}

impl Jobs {
    /// Creates a handler of jobs that are stored in `table` and `objects`.
    pub const fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        clock: Clock,
        limits: Limits,
        configuration: watch::Receiver<Arc<Configuration>>,
    ) -> Self {
        Self { table, objects, clock, limits, configuration }
    }

    /// Creates a handler that uses the platform, the clock and the configuration of a daemon.
    pub fn from_node(node: &Node) -> Self {
        Self::new(
            node.table.clone(),
            node.objects.clone(),
            node.clock,
            node.settings.limits.clone(),
            node.configuration.clone(),
        )
    }

    /// Accepts a job durably. A repeated submission with the same key, deployment and input returns
    /// the existing job.
    pub async fn submit(&self, submission: Submission) -> Result<Job, Failure> {
        self.check_key_and_deployment(&submission)?;
        let (body, deployment) = (submission.input.clone(), submission.deployment.clone());
        let limit = self.limits.batch_items;
        let input = task::spawn_blocking(move || input::validate(&body, &deployment, limit))
            .await
            .map_err(|error| {
                event!(InternalFault, error:% = error);
                Failure::not_run(
                    Kind::Internal,
                    format!("the validation of the input failed: {error}"),
                )
            })??;
        let submission = self.build_submission(submission, &input);
        let id = submission.id.clone();
        let mut machine = Acceptance::new(submission, self.clock.now() + RETRY_TIMEOUT);
        let mut next_input = acceptance::Input::Start;
        loop {
            let Some(action) = machine.handle(self.clock.now(), next_input).pop() else {
                return Err(Failure::may_have_run(
                    Kind::Internal,
                    "the submission stopped without an outcome",
                ));
            };
            next_input = match action {
                acceptance::Action::Call(call) => {
                    acceptance::Input::Reply(store::call(&*self.table, call).await)
                }
                acceptance::Action::Upload if self.upload(&id, &input.parts).await => {
                    acceptance::Input::Uploaded
                }
                acceptance::Action::Upload => acceptance::Input::UploadFailed,
                acceptance::Action::Wait(delay) => {
                    time::sleep(delay).await;
                    acceptance::Input::Waited
                }
                acceptance::Action::Answer(outcome) => return submission_response(outcome),
            };
        }
    }

    /// Returns the status of a job of the client.
    pub async fn job(&self, client: &str, id: &str) -> Result<Job, Failure> {
        let row = self.read_row(client, id).await?;
        Ok(job_status(id, &row))
    }

    /// Streams the committed results of a job of the client as JSON lines, in order of the items.
    pub async fn results(
        &self,
        client: &str,
        id: &str,
    ) -> Result<mpsc::Receiver<Results>, Failure> {
        let row = self.read_row(client, id).await?;
        Ok(results::stream(self.table.clone(), self.objects.clone(), id.to_owned(), row))
    }

    /// Cancels a job of the client and returns its final status. A job that has already ended stays
    /// unchanged.
    pub async fn cancel(&self, client: &str, id: &str) -> Result<Job, Failure> {
        let deadline = self.clock.now() + RETRY_TIMEOUT;
        let mut machine = Cancellation::new(client.to_owned(), id.to_owned(), deadline);
        let mut next_input = cancellation::Input::Start;
        loop {
            let Some(action) = machine.handle(self.clock.now(), next_input).pop() else {
                return Err(Failure::may_have_run(
                    Kind::Internal,
                    "the cancellation stopped without an outcome",
                ));
            };
            next_input = match action {
                cancellation::Action::Call(call) => {
                    cancellation::Input::Reply(store::call(&*self.table, call).await)
                }
                cancellation::Action::Wait(delay) => {
                    time::sleep(delay).await;
                    cancellation::Input::Waited
                }
                cancellation::Action::Answer(outcome) => return cancellation_response(id, outcome),
            };
        }
    }

    fn check_key_and_deployment(&self, submission: &Submission) -> Result<(), Failure> {
        if submission.key.is_empty() {
            let message = "a batch job needs an idempotency key; send the header Idempotency-Key";
            return Err(Failure::not_run(Kind::Invalid, message));
        }
        let name = &submission.deployment;
        let configuration = self.configuration.borrow();
        match configuration.document.deployments.get(name) {
            Some(deployment) if deployment.kind == DeploymentKind::Model => Ok(()),
            Some(_) => {
                let message = format!("the deployment {name:?} does not serve a model");
                Err(Failure::not_run(Kind::Invalid, message))
            }
            None => {
                let message = format!("the deployment {name:?} does not exist");
                Err(Failure::not_run(Kind::NotFound, message))
            }
        }
    }

    fn build_submission(
        &self,
        submission: Submission,
        input: &Validated,
    ) -> acceptance::Submission {
        let Submission { client, key, deployment, due, .. } = submission;
        let digest = input.digest.clone();
        let max_open_jobs = self.open_jobs_limit(&client, &deployment);
        // The first part of the identifier depends on the client alone, so that jobs of different
        // clients do not share an identifier.
        let client_hash = hash::stable(&[&client]);
        let submission_digest =
            input::digest(&[client.as_bytes(), key.as_bytes(), digest.as_bytes()]);
        let chunk_items = u32::try_from(self.limits.chunk_items.max(1)).unwrap_or(u32::MAX);
        let due_ms = u64::try_from(due.as_millis()).unwrap_or(u64::MAX);
        let job = job::Job {
            client,
            deployment,
            items: input.items,
            chunk_items,
            due_unix_ms: self.clock.unix_ms().saturating_add(due_ms),
            state: State::Open,
            chunks: input.items.div_ceil(chunk_items),
            next: 0,
            returned: Vec::new(),
            done: 0,
            succeeded: 0,
            failed: 0,
            limited: max_open_jobs.is_some(),
        };
        acceptance::Submission {
            id: format!("{client_hash:016x}{submission_digest}"),
            key,
            digest,
            job,
            max_open_jobs,
        }
    }

    /// Returns the maximum number of open jobs of the client at the deployment, if it is limited.
    fn open_jobs_limit(&self, client: &str, deployment: &str) -> Option<u32> {
        let configuration = self.configuration.borrow();
        let limits = &configuration.document.clients.get(client)?.limits;
        limits.get(deployment).or_else(|| limits.get("*"))?.open_jobs
    }

    /// Writes the objects of an input and returns whether all of them exist.
    async fn upload(&self, id: &str, parts: &[Bytes]) -> bool {
        let mut puts = Vec::with_capacity(parts.len());
        for (part, content) in parts.iter().enumerate() {
            puts.push(self.objects.put_new(job::input_key(id, part), content.clone()));
        }
        // An object that already exists has the same content, because the identifier of the job
        // contains the digest of the input.
        stream::iter(puts)
            .buffer_unordered(MAX_CONCURRENT_UPLOADS)
            .try_for_each(async |_| Ok(()))
            .await
            .is_ok()
    }

    /// Reads the row of a job of the client, with retries while the table is unavailable.
    async fn read_row(&self, client: &str, id: &str) -> Result<job::Job, Failure> {
        let deadline = self.clock.now() + RETRY_TIMEOUT;
        loop {
            let reply = store::call(&*self.table, Call::Read(vec![job::job_key(id)])).await;
            if let Reply::Rows(rows) = reply {
                return rows
                    .into_iter()
                    .flatten()
                    .next()
                    .and_then(|row| row.decode::<job::Job>())
                    .filter(|job| job.client == client)
                    .ok_or_else(|| not_found(id));
            }
            if self.clock.now() >= deadline {
                let message = "the platform's table is unavailable; try again";
                return Err(retry_later(Failure::not_run(Kind::Unavailable, message)));
            }
            time::sleep(Duration::from_millis(200)).await;
        }
    }
}

fn submission_response(outcome: acceptance::Outcome) -> Result<Job, Failure> {
    match outcome {
        acceptance::Outcome::Accepted { id, job, created } => {
            if created {
                reports::job_accepted(&id, &job);
            }
            Ok(job_status(&id, &job))
        }
        acceptance::Outcome::Conflict => Err(Failure::not_run(
            Kind::Conflict,
            "the idempotency key belongs to a job with other content; use another key",
        )),
        acceptance::Outcome::Limited => Err(Failure::not_run(
            Kind::Limited,
            "the client has reached its limit of open jobs at this deployment; send the job again \
             when one of them has ended",
        )
        .with_retry_after(LIMITED_RETRY_AFTER)),
        acceptance::Outcome::Refused => Err(retry_later(Failure::not_run(
            Kind::Unavailable,
            "the platform is unavailable; the job was not accepted",
        ))),
        acceptance::Outcome::Unknown => Err(retry_later(Failure::may_have_run(
            Kind::Unavailable,
            "the platform did not confirm the job; send it again with the same Idempotency-Key",
        ))),
    }
}

fn cancellation_response(id: &str, outcome: cancellation::Outcome) -> Result<Job, Failure> {
    match outcome {
        cancellation::Outcome::Cancelled(job) => {
            reports::job_cancelled(id, &job);
            Ok(job_status(id, &job))
        }
        cancellation::Outcome::AlreadyEnded(job) => Ok(job_status(id, &job)),
        cancellation::Outcome::NotFound => Err(not_found(id)),
        cancellation::Outcome::Refused => Err(retry_later(Failure::not_run(
            Kind::Unavailable,
            "the platform's table is unavailable; the job was not cancelled",
        ))),
        cancellation::Outcome::Unknown => Err(retry_later(Failure::may_have_run(
            Kind::Unavailable,
            "the platform did not confirm the cancellation; send it again",
        ))),
    }
}

/// Adds the delay after which the caller may retry once the platform is available.
fn retry_later(failure: Failure) -> Failure {
    failure.with_retry_after(UNAVAILABLE_RETRY_AFTER)
}

fn not_found(id: &str) -> Failure {
    Failure::not_run(Kind::NotFound, format!("the client has no job {id:?}"))
}

/// Converts a job's row to the status that callers see.
fn job_status(id: &str, job: &job::Job) -> Job {
    Job {
        id: id.to_owned(),
        deployment: job.deployment.clone(),
        state: match job.state {
            State::Open => JobState::Open,
            State::Completed => JobState::Completed,
            State::Cancelled => JobState::Cancelled,
        },
        items: job.items.into(),
        succeeded: job.succeeded.into(),
        failed: job.failed.into(),
        due_unix_ms: job.due_unix_ms,
    }
}
