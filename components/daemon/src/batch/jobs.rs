//! Acceptance, state, results and cancellation of jobs.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cyclamengrade_caller::{
    Failure, Kind,
    backend::{Job, JobState, Submission},
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
    input::{self, Checked},
    reports, results,
};
use crate::{
    node::{Accepted as Configuration, Clock, Node},
    store,
};

/// Time for which a call is repeated while the platform is down.
const TIMEOUT: Duration = Duration::from_secs(5);

/// When a caller may come back after the platform was down.
const RETRY_AFTER: Duration = Duration::from_secs(5);

/// When a caller may come back that has too many open jobs, which take minutes to hours.
const LIMITED_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Objects of one input that are written at once.
const UPLOADS: usize = 8;

/// Batch jobs as the callers see them.
#[derive(Clone)]
pub struct Jobs {
    table: Arc<dyn Table>,
    objects: Arc<dyn Objects>,
    clock: Clock,
    limits: Limits,
    configuration: watch::Receiver<Arc<Configuration>>,
}

impl Jobs {
    /// Jobs in the platform's table and object store.
    pub const fn new(
        table: Arc<dyn Table>,
        objects: Arc<dyn Objects>,
        clock: Clock,
        limits: Limits,
        configuration: watch::Receiver<Arc<Configuration>>,
    ) -> Self {
        Self { table, objects, clock, limits, configuration }
    }

    /// Jobs of a daemon.
    pub fn of(node: &Node) -> Self {
        Self::new(
            node.table.clone(),
            node.objects.clone(),
            node.clock,
            node.settings.limits.clone(),
            node.configuration.clone(),
        )
    }

    /// Accepts a job durably; the same key and input give the same job.
    pub async fn submit(&self, submission: Submission) -> Result<Job, Failure> {
        self.check_target(&submission)?;
        let (body, deployment) = (submission.input.clone(), submission.deployment.clone());
        let limit = self.limits.batch_items;
        let checked = task::spawn_blocking(move || input::check(&body, &deployment, limit))
            .await
            .map_err(|error| {
                event!(InternalFault, error:% = error);
                Failure::not_run(Kind::Internal, format!("checking failed: {error}"))
            })??;
        let offer = self.offer(submission, &checked);
        let id = offer.id.clone();
        let mut machine = Acceptance::new(offer, self.clock.now() + TIMEOUT);
        let mut input = acceptance::Input::Start;
        loop {
            let Some(action) = machine.handle(self.clock.now(), input).pop() else {
                return Err(Failure::may_have_run(Kind::Internal, "the submission came to no end"));
            };
            input = match action {
                acceptance::Action::Call(call) => {
                    acceptance::Input::Reply(store::call(&*self.table, call).await)
                }
                acceptance::Action::Upload if self.upload(&id, &checked.parts).await => {
                    acceptance::Input::Uploaded
                }
                acceptance::Action::Upload => acceptance::Input::UploadFailed,
                acceptance::Action::Wait(delay) => {
                    time::sleep(delay).await;
                    acceptance::Input::Waited
                }
                acceptance::Action::Answer(accepted) => return answer(accepted),
            };
        }
    }

    /// State of a job of the client.
    pub async fn job(&self, client: &str, id: &str) -> Result<Job, Failure> {
        let row = self.row(client, id).await?;
        Ok(show(id, &row))
    }

    /// Results of a job of the client as JSON lines in order of the items, as far as they are
    /// committed.
    pub async fn results(
        &self,
        client: &str,
        id: &str,
    ) -> Result<mpsc::Receiver<Result<Bytes, Failure>>, Failure> {
        let row = self.row(client, id).await?;
        Ok(results::stream(self.table.clone(), self.objects.clone(), id.to_owned(), row))
    }

    /// Cancels a job of the client; returns its final state.
    pub async fn cancel(&self, client: &str, id: &str) -> Result<Job, Failure> {
        let deadline = self.clock.now() + TIMEOUT;
        let mut machine = Cancellation::new(client.to_owned(), id.to_owned(), deadline);
        let mut input = cancellation::Input::Start;
        loop {
            let Some(action) = machine.handle(self.clock.now(), input).pop() else {
                return Err(Failure::may_have_run(
                    Kind::Internal,
                    "the cancellation came to no end",
                ));
            };
            input = match action {
                cancellation::Action::Call(call) => {
                    cancellation::Input::Reply(store::call(&*self.table, call).await)
                }
                cancellation::Action::Wait(delay) => {
                    time::sleep(delay).await;
                    cancellation::Input::Waited
                }
                cancellation::Action::Answer(ended) => return cancelled(id, ended),
            };
        }
    }

    fn check_target(&self, submission: &Submission) -> Result<(), Failure> {
        if submission.key.is_empty() {
            let message = "a batch job needs a key; send the header Idempotency-Key";
            return Err(Failure::not_run(Kind::Invalid, message));
        }
        let name = &submission.deployment;
        let accepted = self.configuration.borrow();
        match accepted.document.deployments.get(name) {
            Some(deployment) if deployment.kind == DeploymentKind::Model => Ok(()),
            Some(_) => {
                let message = format!("the deployment {name:?} serves no model");
                Err(Failure::not_run(Kind::Invalid, message))
            }
            None => {
                let message = format!("the deployment {name:?} does not exist");
                Err(Failure::not_run(Kind::NotFound, message))
            }
        }
    }

    fn offer(&self, submission: Submission, checked: &Checked) -> acceptance::Submission {
        let Submission { client, key, deployment, due, .. } = submission;
        let digest = checked.digest.clone();
        let open_jobs = self.open_jobs(&client, &deployment);
        // The client's own part keeps identifiers of different clients apart.
        let own = hash::stable(&[&client]);
        let rest = input::digest(&[client.as_bytes(), key.as_bytes(), digest.as_bytes()]);
        let chunk_items = u32::try_from(self.limits.chunk_items.max(1)).unwrap_or(u32::MAX);
        let due_ms = u64::try_from(due.as_millis()).unwrap_or(u64::MAX);
        let job = job::Job {
            client,
            deployment,
            items: checked.items,
            chunk_items,
            due_unix_ms: self.clock.unix_ms().saturating_add(due_ms),
            state: State::Open,
            chunks: checked.items.div_ceil(chunk_items),
            next: 0,
            returned: Vec::new(),
            done: 0,
            succeeded: 0,
            failed: 0,
            limited: open_jobs.is_some(),
        };
        acceptance::Submission { id: format!("{own:016x}{rest}"), key, digest, job, open_jobs }
    }

    /// Most open jobs that the client may have at the deployment.
    fn open_jobs(&self, client: &str, deployment: &str) -> Option<u32> {
        let accepted = self.configuration.borrow();
        let limits = &accepted.document.clients.get(client)?.limits;
        limits.get(deployment).or_else(|| limits.get("*"))?.open_jobs
    }

    async fn upload(&self, id: &str, parts: &[Bytes]) -> bool {
        let mut puts = Vec::with_capacity(parts.len());
        for (part, content) in parts.iter().enumerate() {
            puts.push(self.objects.put_new(job::input_key(id, part), content.clone()));
        }
        // An object that exists already holds the same content, because the identifier of the job
        // contains the digest of the input.
        stream::iter(puts).buffer_unordered(UPLOADS).try_for_each(async |_| Ok(())).await.is_ok()
    }

    async fn row(&self, client: &str, id: &str) -> Result<job::Job, Failure> {
        let deadline = self.clock.now() + TIMEOUT;
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
                let message = "the platform's table is out of service; try again";
                return Err(unavailable(Failure::not_run(Kind::Unavailable, message)));
            }
            time::sleep(Duration::from_millis(200)).await;
        }
    }
}

fn answer(accepted: acceptance::Outcome) -> Result<Job, Failure> {
    match accepted {
        acceptance::Outcome::Accepted { id, job, created } => {
            if created {
                reports::accepted(&id, &job);
            }
            Ok(show(&id, &job))
        }
        acceptance::Outcome::Conflict => Err(Failure::not_run(
            Kind::Conflict,
            "the key belongs to a job with other content; use another Idempotency-Key",
        )),
        acceptance::Outcome::Limited => Err(Failure::not_run(
            Kind::Limited,
            "the client has as many open jobs at this deployment as it may have; send it again \
             when one has ended",
        )
        .with_retry_after(LIMITED_RETRY_AFTER)),
        acceptance::Outcome::Refused => Err(unavailable(Failure::not_run(
            Kind::Unavailable,
            "the platform is out of service; the job was not accepted",
        ))),
        acceptance::Outcome::Unknown => Err(unavailable(Failure::may_have_run(
            Kind::Unavailable,
            "the platform did not confirm the job; send it again with the same key",
        ))),
    }
}

fn cancelled(id: &str, ended: cancellation::Outcome) -> Result<Job, Failure> {
    match ended {
        cancellation::Outcome::Cancelled(job) => {
            reports::cancelled(id, &job);
            Ok(show(id, &job))
        }
        cancellation::Outcome::AlreadyEnded(job) => Ok(show(id, &job)),
        cancellation::Outcome::NotFound => Err(not_found(id)),
        cancellation::Outcome::Refused => Err(unavailable(Failure::not_run(
            Kind::Unavailable,
            "the platform's table is out of service; the job was not cancelled",
        ))),
        cancellation::Outcome::Unknown => Err(unavailable(Failure::may_have_run(
            Kind::Unavailable,
            "the platform did not confirm the cancellation; send it again",
        ))),
    }
}

fn unavailable(failure: Failure) -> Failure {
    failure.with_retry_after(RETRY_AFTER)
}

fn not_found(id: &str) -> Failure {
    Failure::not_run(Kind::NotFound, format!("the client has no job {id:?}"))
}

fn show(id: &str, job: &job::Job) -> Job {
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
