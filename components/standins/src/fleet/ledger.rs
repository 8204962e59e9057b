//! What callers were told, compared with what the stand-ins really ran.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use cyclamengrade_caller::backend::{Item, Job, JobState};
use tokio::time::sleep;

use super::{Answer, Completion, Error, Fleet, POLL, VERSION};
use crate::{
    answer,
    client::{self, Reply},
    engine, service,
};

/// Longest wait for a job to end.
const JOB_LIMIT: Duration = Duration::from_secs(60);

/// What a caller was told about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The whole answer.
    Answered,
    /// It certainly did not run.
    NotRun,
    /// It may have run, or nothing at all.
    Unknown,
}

/// Records of all callers of a test.
#[derive(Debug, Default)]
pub struct Ledger {
    records: Mutex<Records>,
}

#[derive(Debug, Default)]
struct Records {
    completions: Vec<(Completion, Outcome, String)>,
    services: BTreeMap<String, Vec<Outcome>>,
    jobs: BTreeMap<String, Vec<Item>>,
    cancelled: BTreeSet<String>,
}

impl Ledger {
    /// A ledger without records.
    pub fn new() -> Self {
        Self::default()
    }

    fn lock(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a completion and records what the caller was told. Prompts must be unique.
    pub async fn complete(&self, fleet: &Fleet, daemon: usize, completion: Completion) -> Answer {
        let result = fleet.complete(daemon, &completion).await;
        self.record_completion(completion, result)
    }

    /// Records what the caller of a completion was told.
    pub fn record_completion(
        &self,
        completion: Completion,
        result: Result<Answer, client::Error>,
    ) -> Answer {
        let answer = result.unwrap_or_else(|error| Answer {
            error: Some(error.to_string()),
            not_run: matches!(error, client::Error::Connect(_)),
            ..Answer::default()
        });
        let outcome = match (answer.whole, answer.not_run) {
            (true, _) => Outcome::Answered,
            (false, true) => Outcome::NotRun,
            (false, false) => Outcome::Unknown,
        };
        self.lock().completions.push((completion, outcome, answer.text.clone()));
        answer
    }

    /// Calls the plain service with a key and records what the caller was told.
    pub async fn call_service(
        &self,
        fleet: &Fleet,
        daemon: usize,
        key: &str,
    ) -> Result<Reply, client::Error> {
        let result = fleet.call_service(daemon, key, Duration::from_secs(20)).await;
        let outcome = match &result {
            Ok(reply) if reply.status == 200 => Outcome::Answered,
            Ok(reply) if reply.not_run() => Outcome::NotRun,
            Err(client::Error::Connect(_)) => Outcome::NotRun,
            Ok(_) | Err(_) => Outcome::Unknown,
        };
        self.lock().services.entry(key.to_owned()).or_default().push(outcome);
        result
    }

    /// Submits a job and records it when it was accepted.
    pub async fn submit(
        &self,
        fleet: &Fleet,
        daemon: usize,
        key: &str,
        items: &[Item],
    ) -> Result<Job, Error> {
        let reply = fleet.submit(daemon, key, Duration::from_secs(600), items).await?;
        if !(200..300).contains(&reply.status) {
            return Err(Error::Refused(reply.status, reply.text()));
        }
        let job: Job = reply.json()?;
        self.lock().jobs.insert(job.id.clone(), items.to_vec());
        Ok(job)
    }

    /// Records that a caller was told that a job is cancelled.
    pub fn record_cancelled(&self, job: &Job) {
        self.lock().cancelled.insert(job.id.clone());
    }

    /// All contradictions between what callers were told and what ran. Jobs are awaited at the
    /// daemon with this number.
    pub async fn contradictions(&self, fleet: &Fleet, daemon: usize) -> Result<Vec<String>, Error> {
        let mut found = Vec::new();
        self.check_jobs(fleet, daemon, &mut found).await?;
        self.check_completions(fleet, &mut found).await?;
        self.check_services(fleet, &mut found).await?;
        Ok(found)
    }

    async fn check_jobs(
        &self,
        fleet: &Fleet,
        daemon: usize,
        found: &mut Vec<String>,
    ) -> Result<(), Error> {
        let jobs = self.lock().jobs.clone();
        let cancelled = self.lock().cancelled.clone();
        for (id, items) in jobs {
            let job = await_job(fleet, daemon, &id).await?;
            let results = fleet.results(daemon, &id).await?;
            let by_id: BTreeMap<_, _> =
                results.iter().map(|result| (result.id.as_str(), result)).collect();
            if by_id.len() != results.len() {
                found.push(format!("job {id} has several results for one item"));
            }
            let wanted = match cancelled.contains(&id) {
                true => JobState::Cancelled,
                false => JobState::Completed,
            };
            if job.state != wanted {
                found.push(format!("job {id} is {:?} instead of {wanted:?}", job.state));
            }
            for item in &items {
                let Some(result) = by_id.get(item.id.as_str()) else {
                    if wanted == JobState::Completed {
                        found.push(format!("item {} of job {id} has no result", item.id));
                    }
                    continue;
                };
                let can_fail = [answer::FAIL_MARKER, answer::KILL_MARKER]
                    .iter()
                    .any(|m| item.prompt.contains(m));
                let right = answer::text(&item.prompt, VERSION, item.max_tokens);
                let fits = match &result.text {
                    Some(text) => *text == right && !can_fail,
                    None => can_fail && result.error.is_some(),
                };
                if !fits {
                    found.push(format!("item {} of job {id} has the result {result:?}", item.id));
                }
            }
        }
        Ok(())
    }

    async fn check_completions(&self, fleet: &Fleet, found: &mut Vec<String>) -> Result<(), Error> {
        let completions = self.lock().completions.clone();
        let mut started: BTreeMap<String, u64> = BTreeMap::new();
        for engine in &fleet.engines {
            // An engine that was killed has taken its counters with it.
            let Ok(runs) = engine.read::<engine::Runs>(&fleet.client, "/_runs").await else {
                continue;
            };
            for (prompt, runs) in runs.prompts {
                *started.entry(prompt).or_default() += runs.started;
            }
        }
        for (completion, outcome, text) in completions {
            let prompt = &completion.prompt;
            let runs = started.get(prompt).copied().unwrap_or(0);
            if outcome == Outcome::Answered && text != completion.expected() {
                found.push(format!("{prompt:?} was answered wrongly: {text:?}"));
            }
            if !completion.expected().starts_with(&text) {
                found.push(format!("{prompt:?} was answered with a wrong part: {text:?}"));
            }
            if outcome == Outcome::NotRun && runs > 0 {
                found.push(format!("{prompt:?} was refused as not run but ran {runs} times"));
            }
            if completion.idempotent == Some(false) && runs > 1 {
                found.push(format!("{prompt:?} is not idempotent but ran {runs} times"));
            }
        }
        Ok(())
    }

    async fn check_services(&self, fleet: &Fleet, found: &mut Vec<String>) -> Result<(), Error> {
        let mut keys: BTreeMap<String, u64> = BTreeMap::new();
        for service in &fleet.services {
            let runs: service::Runs = service.read(&fleet.client, "/_runs").await?;
            for (key, count) in runs.keys {
                *keys.entry(key).or_default() += count;
            }
        }
        for (key, outcomes) in &self.lock().services {
            let runs = keys.get(key).copied().unwrap_or(0);
            if runs > 1 {
                found.push(format!("service call {key} ran {runs} times"));
            }
            if outcomes.contains(&Outcome::Answered) && runs == 0 {
                found.push(format!("service call {key} was answered but did not run"));
            }
            if outcomes.iter().all(|outcome| *outcome == Outcome::NotRun) && runs > 0 {
                found.push(format!("service call {key} was refused as not run but ran"));
            }
        }
        Ok(())
    }
}

/// Waits until a job has ended; returns its last state in any case.
async fn await_job(fleet: &Fleet, daemon: usize, id: &str) -> Result<Job, Error> {
    let start = Instant::now();
    loop {
        let job = fleet.job(daemon, id).await;
        match job {
            Ok(job) if job.state != JobState::Open || start.elapsed() > JOB_LIMIT => {
                return Ok(job);
            }
            Err(error) if start.elapsed() > JOB_LIMIT => return Err(error),
            Ok(_) | Err(_) => sleep(POLL).await,
        }
    }
}
